//===- RequestWorld.cpp - a simulated deployment with faults --------------===//
//
// Delivers messages, timers and faults to the nodes, and simulates the engines
// and the key-value store.
//
//===----------------------------------------------------------------------===//

#include "RequestWorld.h"

using namespace ospreyspur;
using namespace ospreyspur::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration KvTimeout = milliseconds(400);
static constexpr std::uint64_t EntriesPerLife = 64;
/// How long an engine takes to restart.
static constexpr Duration DownTime = milliseconds(600);
/// How long after it was marked as leaving an endpoint may get new requests.
static constexpr Duration LeavingGrace = seconds(5);

RequestWorld::RequestWorld(std::uint64_t seed, FaultRates rates,
                           std::size_t entries, std::size_t agents,
                           Duration claimLease, std::size_t ledgerRecords)
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

std::string RequestWorld::expectedBody(const std::string &name) {
  return "<" + name + " was done, and this is the whole of its answer>";
}

void RequestWorld::startEntry(std::size_t i) {
  Entry &entry = Entries[i];
  EntryLimits limits;
  limits.TicketValidity = seconds(2);
  limits.ClaimLease = ClaimLease;
  limits.RetryReserve = 100;
  entry.Node = std::make_unique<EntryNode>(DataCentreId("d"), limits,
                                           Scheduler.below(1U << 30U));
  entry.Node->setSnapshot(Snapshot);
  entry.Life = ++LastLife;
  toEntry(i, entry.Life,
          [this](EntryNode &node) { return node.onTimer(Scheduler.now()); });
}

void RequestWorld::startAgent(std::size_t i) {
  Agent &agent = Agents[i];
  AgentLimits limits;
  limits.Slots = 2;
  limits.MaxQueue = 3;
  limits.Ledger.MaxRecords = LedgerRecords;
  agent.Life = ++LastLife;
  agent.Node =
      std::make_unique<AgentNode>(agent.Id, Incarnation(agent.Life), "secret",
                                  limits, Scheduler.below(1U << 30U));
  apply(i, agent.Node->onTimer(Scheduler.now()));
  toAgent(i, agent.Life, [this, i](AgentNode &node) {
    return node.setLeaving(Agents[i].LeavingSince.has_value(), Scheduler.now());
  });
}

std::size_t RequestWorld::agentOf(const EndpointId &id) const {
  std::size_t i = 0;
  while (Agents[i].Id != id)
    ++i;
  return i;
}

LinkId RequestWorld::linkOf(std::size_t entry, std::uint64_t life) const {
  return LinkId(life * EntriesPerLife + entry);
}

CallRecord &
RequestWorld::ask(std::size_t i, const std::string &name,
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
  entry.Open[request.Id] = record.get();
  Calls.push_back(std::move(record));
  // A frozen entry receives the request when it resumes.
  TimePoint begin = std::max(Scheduler.now(), entry.FrozenUntil);
  out.Deadline = begin + request.Deadline;
  Scheduler.at(begin, [this, i, life = entry.Life, request] {
    if (Entries[i].Life == life)
      apply(i, Entries[i].Node->onCall(request, Scheduler.now()));
  });
  return out;
}

void RequestWorld::killEntry(std::size_t i) {
  Entry &entry = Entries[i];
  for (auto &[id, record] : entry.Open) {
    record->IsCut = true;
    record->Ended = Scheduler.now();
  }
  entry.Open.clear();
  LinkId link = linkOf(i, entry.Life);
  for (std::size_t k = 0; k < Agents.size(); ++k)
    toAgent(k, Agents[k].Life, [this, link](AgentNode &node) {
      return node.onLinkDown(link, Scheduler.now());
    });
  startEntry(i);
}

void RequestWorld::killAgent(std::size_t i) {
  for (std::size_t k = 0; k < Entries.size(); ++k)
    toEntry(k, Entries[k].Life, [this, i](EntryNode &node) {
      return node.onLinkDown(Agents[i].Id, Scheduler.now());
    });
  startAgent(i);
}

void RequestWorld::freezeAgent(std::size_t i, Duration span) {
  Agents[i].FrozenUntil = Scheduler.now() + span;
}

void RequestWorld::freezeEntry(std::size_t i, Duration span) {
  Entry &entry = Entries[i];
  entry.FrozenUntil = std::max(entry.FrozenUntil, Scheduler.now() + span);
  // Callers get no response before the entry resumes.
  for (auto &[id, record] : entry.Open)
    record->Deadline = std::max(record->Deadline, entry.FrozenUntil);
}

void RequestWorld::setLeaving(std::size_t i, bool leaving) {
  Agent &agent = Agents[i];
  if (!leaving)
    agent.LeavingSince.reset();
  else if (!agent.LeavingSince)
    agent.LeavingSince = Scheduler.now();
  // The agent sees the state of the host list at the time that it reads the
  // list.
  toAgent(i, agent.Life, [this, i](AgentNode &node) {
    return node.setLeaving(Agents[i].LeavingSince.has_value(), Scheduler.now());
  });
}

void RequestWorld::cutLink(std::size_t i, std::size_t k) {
  toEntry(i, Entries[i].Life, [this, k](EntryNode &node) {
    return node.onLinkDown(Agents[k].Id, Scheduler.now());
  });
  LinkId link = linkOf(i, Entries[i].Life);
  toAgent(k, Agents[k].Life, [this, link](AgentNode &node) {
    return node.onLinkDown(link, Scheduler.now());
  });
}

void RequestWorld::toEntry(
    std::size_t i, std::uint64_t life,
    const std::function<EntryActions(EntryNode &)> &input) {
  Scheduler.soon([this, i, life, input] {
    Entry &entry = Entries[i];
    if (entry.Life != life)
      return;
    if (Scheduler.now() < entry.FrozenUntil) {
      Scheduler.at(entry.FrozenUntil,
                   [this, i, life, input] { toEntry(i, life, input); });
      return;
    }
    apply(i, input(*entry.Node));
  });
}

void RequestWorld::toAgent(
    std::size_t i, std::uint64_t life,
    const std::function<AgentActions(AgentNode &)> &input) {
  Scheduler.soon([this, i, life, input] {
    Agent &agent = Agents[i];
    if (agent.Life != life)
      return;
    if (Scheduler.now() < agent.FrozenUntil) {
      Scheduler.at(agent.FrozenUntil,
                   [this, i, life, input] { toAgent(i, life, input); });
      return;
    }
    apply(i, input(*agent.Node));
  });
}

/// Runs the node's timer at \p due, or when a frozen node resumes.
template <typename Machines>
void RequestWorld::setTimer(Machines &machines, std::size_t i, TimePoint due) {
  std::uint64_t life = machines[i].Life;
  Scheduler.at(due, [this, &machines, i, life] {
    TimePoint now = Scheduler.now();
    if (machines[i].Life != life)
      return;
    if (now < machines[i].FrozenUntil) {
      setTimer(machines, i, machines[i].FrozenUntil);
      return;
    }
    auto next = machines[i].Node->nextTimer();
    if (next && *next <= now)
      apply(i, machines[i].Node->onTimer(now));
  });
}

void RequestWorld::apply(std::size_t i, const EntryActions &actions) {
  for (const EntryAction &action : actions)
    std::visit([this, i](const auto &it) { perform(i, it); }, action);
  if (auto due = Entries[i].Node->nextTimer())
    setTimer(Entries, i, *due);
}

void RequestWorld::apply(std::size_t i, const AgentActions &actions) {
  for (const AgentAction &action : actions)
    std::visit([this, i](const auto &it) { perform(i, it); }, action);
  if (auto due = Agents[i].Node->nextTimer())
    setTimer(Agents, i, *due);
}

void RequestWorld::perform(std::size_t i, const SendToAgent &action) {
  std::size_t k = agentOf(action.To);
  LinkId link = linkOf(i, Entries[i].Life);
  // The message reaches the agent's incarnation at the time of arrival.
  Scheduler.unreliably(Rates.Message, [this, k, link, body = action.Body] {
    toAgent(k, Agents[k].Life, [this, link, body](AgentNode &node) {
      return node.onMessage(link, body, Scheduler.now());
    });
  });
}

void RequestWorld::perform(std::size_t i, const SendToLink &action) {
  std::size_t k = action.To.get() % EntriesPerLife;
  std::uint64_t life = action.To.get() / EntriesPerLife;
  EndpointId from = Agents[i].Id;
  Scheduler.unreliably(Rates.Message,
                       [this, k, life, from, body = action.Body] {
                         toEntry(k, life, [this, from, body](EntryNode &node) {
                           return node.onMessage(from, body, Scheduler.now());
                         });
                       });
}

void RequestWorld::perform(std::size_t i, const CallPlatform &action) {
  std::uint64_t life = Entries[i].Life;
  KvCallId id = action.Request.Id;
  auto reply = [this, i, life, id](const KvReply &it) {
    toEntry(i, life, [this, id, it](EntryNode &node) {
      return node.onKvReply(id, it, Scheduler.now());
    });
  };
  KvReply lost;
  lost.Code = ResultCode::PlatformTimeout;
  bool isOut = Scheduler.now() < OutageUntil;
  if (isOut || Scheduler.chance(Rates.Platform)) {
    // The request or its reply is lost; the request may still take effect, and
    // late.
    if (Scheduler.chance(50))
      Scheduler.at(Scheduler.now() + Duration(Scheduler.below(4000000)),
                   [this, call = action.Request.Call] { callKv(call); });
    Scheduler.at(Scheduler.now() + KvTimeout, [reply, lost] { reply(lost); });
    return;
  }
  Scheduler.soon(
      [this, call = action.Request.Call, reply] { reply(callKv(call)); });
}

KvReply RequestWorld::callKv(const KvCall &call) {
  return Kv.perform(call, Scheduler.now());
}

void RequestWorld::perform(std::size_t /*i*/, const AnswerHead & /*head*/) {}

void RequestWorld::perform(std::size_t i, const AnswerData &action) {
  Entries[i].Open.at(action.Call)->Body += action.Data;
}

void RequestWorld::perform(std::size_t i, const AnswerEnd &action) {
  end(i, action.Call, ResultCode::Ok);
}

void RequestWorld::perform(std::size_t i, const AnswerError &action) {
  end(i, action.Call, action.Code);
}

void RequestWorld::perform(std::size_t i, const AnswerTicket &action) {
  Entries[i].Open.at(action.Call)->Given = action.Permit;
  end(i, action.Call, ResultCode::Ok);
}

void RequestWorld::end(std::size_t i, CallId id, ResultCode code) {
  CallRecord &record = *Entries[i].Open.at(id);
  record.Ended = Scheduler.now();
  record.Code = code;
  Entries[i].Open.erase(id);
}

void RequestWorld::perform(std::size_t i, const StartRun &action) {
  auto since = Agents[i].LeavingSince;
  if (since && Scheduler.now() > *since + LeavingGrace)
    ++LateStarts;
  std::uint64_t life = Agents[i].Life;
  RequestId id = action.Id;
  bool isDown = Scheduler.now() < Agents[i].DownUntil;
  if (isDown || Scheduler.chance(Rates.Endpoint)) {
    toAgent(i, life, [this, id](AgentNode &node) {
      return node.onRunEnd(id, ResultCode::EndpointUnreachable,
                           Scheduler.now());
    });
    return;
  }
  // The request reaches the endpoint even if the agent is killed.
  std::uint64_t from = action.ResumeFrom;
  std::uint64_t engine = Agents[i].Engine;
  Agents[i].Runs.insert(id);
  Scheduler.soon([this, i, life, engine, id, from, name = action.Body] {
    if (Agents[i].Engine != engine)
      return;
    Runs.push_back({name, Scheduler.now()});
    if (!Deadly.empty() && name == Deadly) {
      ++DeadlyEnds;
      endEngine(i);
      return;
    }
    toAgent(i, life, [this, i, life, engine, id, from, name](AgentNode &node) {
      AgentActions out = node.onRunHead(id, 200, "text/plain", Scheduler.now());
      stepRun(i, life, engine, id, expectedBody(name).substr(from));
      return out;
    });
  });
}

void RequestWorld::endEngine(std::size_t i) {
  Agent &agent = Agents[i];
  ++agent.Engine;
  agent.DownUntil = Scheduler.now() + DownTime;
  for (RequestId id : std::exchange(agent.Runs, {}))
    toAgent(i, agent.Life, [this, id](AgentNode &node) {
      return node.onRunEnd(id, ResultCode::EndpointFailed, Scheduler.now());
    });
}

void RequestWorld::stepRun(std::size_t i, std::uint64_t life,
                           std::uint64_t engine, RequestId id,
                           const std::string &rest) {
  toAgent(i, life, [this, i, life, engine, id, rest](AgentNode &node) {
    if (Agents[i].Engine != engine)
      return AgentActions();
    if (rest.empty()) {
      Agents[i].Runs.erase(id);
      return node.onRunEnd(id, ResultCode::Ok, Scheduler.now());
    }
    if (Scheduler.chance(Rates.Endpoint))
      return node.onRunEnd(id, ResultCode::EndpointFailed, Scheduler.now());
    std::size_t n = 1 + Scheduler.below(rest.size());
    AgentActions out = node.onRunData(id, rest.substr(0, n), Scheduler.now());
    stepRun(i, life, engine, id, rest.substr(n));
    return out;
  });
}

void RequestWorld::perform(std::size_t /*i*/, const StopRun & /*action*/) {}
