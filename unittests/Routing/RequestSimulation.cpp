//===- RequestSimulation.cpp - a simulated deployment with faults ---------===//
//
// Delivers messages, timers and faults to the nodes, and simulates the engines
// and the key-value store.
//
//===----------------------------------------------------------------------===//

#include "RequestSimulation.h"

using namespace ospreyspur;
using namespace ospreyspur::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration KvTimeout = milliseconds(400);
static constexpr std::uint64_t EntriesPerIncarnation = 64;
/// How long an engine takes to restart.
static constexpr Duration EngineDowntime = milliseconds(600);
/// How long after it was marked as leaving an endpoint may get new requests.
static constexpr Duration LeavingGrace = seconds(5);

RequestSimulation::RequestSimulation(std::uint64_t seed, FaultRates rates,
                                     std::size_t entries, std::size_t agents,
                                     Duration claimLease,
                                     std::size_t ledgerRecords)
    : Scheduler(seed, rates.Late), Rates(rates), ClaimLease(claimLease),
      LedgerRecords(ledgerRecords),
      Snapshot(std::make_shared<RoutingSnapshot>()), Entries(entries),
      Agents(agents) {
  ServiceView &service = Snapshot->Services[ServiceId("pay")];
  for (std::size_t i = 0; i < agents; ++i) {
    Agents[i].Id = EndpointId("e" + std::to_string(i));
    service.Endpoints.push_back(
        {Agents[i].Id, ServiceId("pay"), DataCentreId("d"), "", {}, false});
  }
  // The same endpoints as a model service, whose responses can be resumed.
  ServiceView &model = Snapshot->Services[ServiceId("ask")];
  model = service;
  model.Kind = ServiceKind::Model;
  for (std::size_t i = 0; i < agents; ++i)
    startAgent(i);
  for (std::size_t i = 0; i < entries; ++i)
    startEntry(i);
}

std::string RequestSimulation::expectedBody(const std::string &name) {
  return "<" + name + " was done, and this is the whole of its answer>";
}

void RequestSimulation::startEntry(std::size_t i) {
  Entry &entry = Entries[i];
  EntryLimits limits;
  limits.TicketValidity = seconds(2);
  limits.ClaimLease = ClaimLease;
  limits.RetryReserve = 100;
  entry.Node = std::make_unique<EntryNode>(DataCentreId("d"), limits,
                                           Scheduler.below(1U << 30U));
  entry.Node->setSnapshot(Snapshot);
  entry.ProcessIncarnation = ++LastIncarnation;
  deliverToEntry(i, entry.ProcessIncarnation, [this](EntryNode &node) {
    return node.onTimer(Scheduler.now());
  });
}

void RequestSimulation::startAgent(std::size_t i) {
  Agent &agent = Agents[i];
  AgentLimits limits;
  limits.Slots = 2;
  limits.MaxQueue = 3;
  limits.Ledger.MaxRecords = LedgerRecords;
  agent.ProcessIncarnation = ++LastIncarnation;
  agent.Node = std::make_unique<AgentNode>(
      agent.Id, Incarnation(agent.ProcessIncarnation), "secret", limits,
      Scheduler.below(1U << 30U));
  apply(i, agent.Node->onTimer(Scheduler.now()));
  deliverToAgent(i, agent.ProcessIncarnation, [this, i](AgentNode &node) {
    return node.setLeaving(Agents[i].LeavingSince.has_value(), Scheduler.now());
  });
}

std::size_t RequestSimulation::agentOf(const EndpointId &id) const {
  std::size_t i = 0;
  while (Agents[i].Id != id)
    ++i;
  return i;
}

LinkId RequestSimulation::linkOf(std::size_t entry,
                                 std::uint64_t incarnation) const {
  return LinkId(incarnation * EntriesPerIncarnation + entry);
}

CallRecord &RequestSimulation::sendRequest(
    std::size_t i, const std::string &name,
    const std::function<void(CallerRequest &)> &change) {
  Entry &entry = Entries[i];
  CallerRequest request;
  request.Id = CallId(++entry.LastCall);
  request.Workspace = WorkspaceId("w");
  request.Service = ServiceId("pay");
  request.Method = "POST";
  request.Target = "/refund";
  request.Body = name;
  request.Deadline = seconds(3);
  change(request);
  auto record = std::make_unique<CallRecord>();
  record->Name = name;
  record->Began = Scheduler.now();
  record->Deadline = Scheduler.now() + request.Deadline;
  CallRecord &out = *record;
  entry.OpenCalls[request.Id] = record.get();
  Calls.push_back(std::move(record));
  // A frozen entry receives the request when it resumes.
  TimePoint begin = std::max(Scheduler.now(), entry.FrozenUntil);
  out.Deadline = begin + request.Deadline;
  Scheduler.at(begin,
               [this, i, incarnation = entry.ProcessIncarnation, request] {
                 if (Entries[i].ProcessIncarnation == incarnation)
                   apply(i, Entries[i].Node->onCall(request, Scheduler.now()));
               });
  return out;
}

void RequestSimulation::killEntry(std::size_t i) {
  Entry &entry = Entries[i];
  for (auto &[id, record] : entry.OpenCalls) {
    record->IsAborted = true;
    record->Ended = Scheduler.now();
  }
  entry.OpenCalls.clear();
  LinkId link = linkOf(i, entry.ProcessIncarnation);
  for (std::size_t k = 0; k < Agents.size(); ++k)
    deliverToAgent(k, Agents[k].ProcessIncarnation,
                   [this, link](AgentNode &node) {
                     return node.onLinkDown(link, Scheduler.now());
                   });
  startEntry(i);
}

void RequestSimulation::killAgent(std::size_t i) {
  for (std::size_t k = 0; k < Entries.size(); ++k)
    deliverToEntry(k, Entries[k].ProcessIncarnation,
                   [this, i](EntryNode &node) {
                     return node.onLinkDown(Agents[i].Id, Scheduler.now());
                   });
  startAgent(i);
}

void RequestSimulation::freezeAgent(std::size_t i, Duration span) {
  Agents[i].FrozenUntil = Scheduler.now() + span;
}

void RequestSimulation::freezeEntry(std::size_t i, Duration span) {
  Entry &entry = Entries[i];
  entry.FrozenUntil = std::max(entry.FrozenUntil, Scheduler.now() + span);
  // Callers get no response before the entry resumes.
  for (auto &[id, record] : entry.OpenCalls)
    record->Deadline = std::max(record->Deadline, entry.FrozenUntil);
}

void RequestSimulation::setLeaving(std::size_t i, bool leaving) {
  Agent &agent = Agents[i];
  if (!leaving)
    agent.LeavingSince.reset();
  else if (!agent.LeavingSince)
    agent.LeavingSince = Scheduler.now();
  // The agent sees the state of the host list at the time that it reads the
  // list.
  deliverToAgent(i, agent.ProcessIncarnation, [this, i](AgentNode &node) {
    return node.setLeaving(Agents[i].LeavingSince.has_value(), Scheduler.now());
  });
}

void RequestSimulation::cutLink(std::size_t i, std::size_t k) {
  deliverToEntry(i, Entries[i].ProcessIncarnation, [this, k](EntryNode &node) {
    return node.onLinkDown(Agents[k].Id, Scheduler.now());
  });
  LinkId link = linkOf(i, Entries[i].ProcessIncarnation);
  deliverToAgent(k, Agents[k].ProcessIncarnation,
                 [this, link](AgentNode &node) {
                   return node.onLinkDown(link, Scheduler.now());
                 });
}

void RequestSimulation::deliverToEntry(
    std::size_t i, std::uint64_t incarnation,
    const std::function<EntryActions(EntryNode &)> &input) {
  Scheduler.runSoon([this, i, incarnation, input] {
    Entry &entry = Entries[i];
    if (entry.ProcessIncarnation != incarnation)
      return;
    if (Scheduler.now() < entry.FrozenUntil) {
      Scheduler.at(entry.FrozenUntil, [this, i, incarnation, input] {
        deliverToEntry(i, incarnation, input);
      });
      return;
    }
    apply(i, input(*entry.Node));
  });
}

void RequestSimulation::deliverToAgent(
    std::size_t i, std::uint64_t incarnation,
    const std::function<AgentActions(AgentNode &)> &input) {
  Scheduler.runSoon([this, i, incarnation, input] {
    Agent &agent = Agents[i];
    if (agent.ProcessIncarnation != incarnation)
      return;
    if (Scheduler.now() < agent.FrozenUntil) {
      Scheduler.at(agent.FrozenUntil, [this, i, incarnation, input] {
        deliverToAgent(i, incarnation, input);
      });
      return;
    }
    apply(i, input(*agent.Node));
  });
}

/// Runs the node's timer at \p due, or when a frozen node resumes.
template <typename Nodes>
void RequestSimulation::setTimer(Nodes &nodes, std::size_t i, TimePoint due) {
  std::uint64_t incarnation = nodes[i].ProcessIncarnation;
  Scheduler.at(due, [this, &nodes, i, incarnation] {
    TimePoint now = Scheduler.now();
    if (nodes[i].ProcessIncarnation != incarnation)
      return;
    if (now < nodes[i].FrozenUntil) {
      setTimer(nodes, i, nodes[i].FrozenUntil);
      return;
    }
    auto next = nodes[i].Node->nextTimer();
    if (next && *next <= now)
      apply(i, nodes[i].Node->onTimer(now));
  });
}

void RequestSimulation::apply(std::size_t i, const EntryActions &actions) {
  for (const EntryAction &action : actions)
    std::visit([this, i](const auto &it) { perform(i, it); }, action);
  if (auto due = Entries[i].Node->nextTimer())
    setTimer(Entries, i, *due);
}

void RequestSimulation::apply(std::size_t i, const AgentActions &actions) {
  for (const AgentAction &action : actions)
    std::visit([this, i](const auto &it) { perform(i, it); }, action);
  if (auto due = Agents[i].Node->nextTimer())
    setTimer(Agents, i, *due);
}

void RequestSimulation::perform(std::size_t i, const SendToAgent &action) {
  std::size_t k = agentOf(action.To);
  LinkId link = linkOf(i, Entries[i].ProcessIncarnation);
  // The message reaches the agent's incarnation at the time of arrival.
  Scheduler.runUnreliably(Rates.Message, [this, k, link, body = action.Body] {
    deliverToAgent(k, Agents[k].ProcessIncarnation,
                   [this, link, body](AgentNode &node) {
                     return node.onMessage(link, body, Scheduler.now());
                   });
  });
}

void RequestSimulation::perform(std::size_t i, const SendToLink &action) {
  std::size_t k = action.To.get() % EntriesPerIncarnation;
  std::uint64_t incarnation = action.To.get() / EntriesPerIncarnation;
  EndpointId from = Agents[i].Id;
  Scheduler.runUnreliably(
      Rates.Message, [this, k, incarnation, from, body = action.Body] {
        deliverToEntry(k, incarnation, [this, from, body](EntryNode &node) {
          return node.onMessage(from, body, Scheduler.now());
        });
      });
}

void RequestSimulation::perform(std::size_t i,
                                const CallKeyValueStore &action) {
  std::uint64_t incarnation = Entries[i].ProcessIncarnation;
  KvCallId id = action.Request.Id;
  auto reply = [this, i, incarnation, id](const KvReply &it) {
    deliverToEntry(i, incarnation, [this, id, it](EntryNode &node) {
      return node.onKvReply(id, it, Scheduler.now());
    });
  };
  KvReply lost;
  lost.Code = ResultCode::PlatformTimeout;
  bool isOutage = Scheduler.now() < OutageUntil;
  if (isOutage || Scheduler.chance(Rates.Platform)) {
    // The request or its reply is lost; the request may still take effect, and
    // late.
    if (Scheduler.chance(50))
      Scheduler.at(Scheduler.now() + Duration(Scheduler.below(4000000)),
                   [this, call = action.Request.Call] { callKv(call); });
    Scheduler.at(Scheduler.now() + KvTimeout, [reply, lost] { reply(lost); });
    return;
  }
  Scheduler.runSoon(
      [this, call = action.Request.Call, reply] { reply(callKv(call)); });
}

KvReply RequestSimulation::callKv(const KvCall &call) {
  return Kv.perform(call, Scheduler.now());
}

void RequestSimulation::perform(std::size_t /*i*/,
                                const ResponseHead & /*head*/) {}

void RequestSimulation::perform(std::size_t i, const ResponseData &action) {
  Entries[i].OpenCalls.at(action.Call)->Body += action.Data;
}

void RequestSimulation::perform(std::size_t i, const ResponseEnd &action) {
  end(i, action.Call, ResultCode::Ok);
}

void RequestSimulation::perform(std::size_t i, const ResponseError &action) {
  end(i, action.Call, action.Code);
}

void RequestSimulation::perform(std::size_t i, const ReturnTicket &action) {
  Entries[i].OpenCalls.at(action.Call)->IssuedTicket = action.Permit;
  end(i, action.Call, ResultCode::Ok);
}

void RequestSimulation::end(std::size_t i, CallId id, ResultCode code) {
  CallRecord &record = *Entries[i].OpenCalls.at(id);
  record.Ended = Scheduler.now();
  record.Code = code;
  Entries[i].OpenCalls.erase(id);
}

void RequestSimulation::perform(std::size_t i, const StartRun &action) {
  auto since = Agents[i].LeavingSince;
  if (since && Scheduler.now() > *since + LeavingGrace)
    ++LateStarts;
  std::uint64_t incarnation = Agents[i].ProcessIncarnation;
  RequestId id = action.Id;
  bool isDown = Scheduler.now() < Agents[i].DownUntil;
  if (isDown || Scheduler.chance(Rates.Endpoint)) {
    deliverToAgent(i, incarnation, [this, id](AgentNode &node) {
      return node.onRunEnd(id, ResultCode::EndpointUnreachable,
                           Scheduler.now());
    });
    return;
  }
  // The request reaches the endpoint even if the agent is killed.
  std::uint64_t from = action.ResumeFrom;
  std::uint64_t engine = Agents[i].Engine;
  Agents[i].Runs.insert(id);
  Scheduler.runSoon(
      [this, i, incarnation, engine, id, from, name = action.Body] {
        if (Agents[i].Engine != engine)
          return;
        Runs.push_back({name, Scheduler.now()});
        if (!CrashingPrefix.empty() && name.starts_with(CrashingPrefix)) {
          CrashTimes.push_back(Scheduler.now());
          crashEngine(i);
          return;
        }
        deliverToAgent(
            i, incarnation,
            [this, i, incarnation, engine, id, from, name](AgentNode &node) {
              AgentActions out =
                  node.onRunHead(id, 200, "text/plain", Scheduler.now());
              continueRun(i, incarnation, engine, id,
                          expectedBody(name).substr(from));
              return out;
            });
      });
}

void RequestSimulation::crashEngine(std::size_t i) {
  Agent &agent = Agents[i];
  ++agent.Engine;
  agent.DownUntil = Scheduler.now() + EngineDowntime;
  for (RequestId id : std::exchange(agent.Runs, {}))
    deliverToAgent(i, agent.ProcessIncarnation, [this, id](AgentNode &node) {
      return node.onRunEnd(id, ResultCode::EndpointFailed, Scheduler.now());
    });
}

void RequestSimulation::continueRun(std::size_t i, std::uint64_t incarnation,
                                    std::uint64_t engine, RequestId id,
                                    const std::string &rest) {
  deliverToAgent(i, incarnation,
                 [this, i, incarnation, engine, id, rest](AgentNode &node) {
                   if (Agents[i].Engine != engine)
                     return AgentActions();
                   if (rest.empty()) {
                     Agents[i].Runs.erase(id);
                     return node.onRunEnd(id, ResultCode::Ok, Scheduler.now());
                   }
                   if (Scheduler.chance(Rates.Endpoint))
                     return node.onRunEnd(id, ResultCode::EndpointFailed,
                                          Scheduler.now());
                   std::size_t n = 1 + Scheduler.below(rest.size());
                   AgentActions out =
                       node.onRunData(id, rest.substr(0, n), Scheduler.now());
                   continueRun(i, incarnation, engine, id, rest.substr(n));
                   return out;
                 });
}

void RequestSimulation::perform(std::size_t /*i*/, const StopRun & /*action*/) {
}
