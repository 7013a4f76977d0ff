//===- bench.cpp - cost of the state machines -----------------------------===//
//
// Drives the shipped state machines without I/O and prints time and bytes per
// request, token, endpoint or map. An argument selects another benchmark:
// "links" measures the links between processes, "spread" the distribution of
// shared values by gossip, "pickers" methods of picking an endpoint, and
// "overload" the behaviour beyond capacity. Not a test; docs/BENCHMARKS.md and
// docs/CAPACITY.md name the command for each figure.
//
//===----------------------------------------------------------------------===//

#include "GossipBench.h"
#include "PickerBench.h"

#include "ospreyspur/Config/ConfigDocument.h"
#include "ospreyspur/Experts/ExpertPlanner.h"
#include "ospreyspur/Experts/GroupRecord.h"
#include "ospreyspur/Routing/AgentNode.h"
#include "ospreyspur/Routing/EntryNode.h"
#include "ospreyspur/Rpc/Codec.h"
#include "ospreyspur/Rpc/PeerClient.h"
#include "ospreyspur/Rpc/PeerServer.h"

#include "generated/peer.pb.h"

#include <malloc.h>
#include <unistd.h>

#include <atomic>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <random>
#include <semaphore>
#include <thread>

using namespace ospreyspur;

static double secondsSince(TimePoint began) {
  return std::chrono::duration<double>(monotonicNow() - began).count();
}

static std::size_t heapBytes() { return mallinfo2().uordblks; }

static std::size_t wireBytes(const Message &message) {
  wire::Message out;
  encode(message, out);
  return out.ByteSizeLong();
}

static ExpertDemand drawDemand(const MapShape &shape, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  ExpertDemand demand;
  for (std::size_t layer = 0; layer < shape.Layers; ++layer) {
    std::vector<double> row(shape.Experts);
    for (std::size_t i = 0; i < row.size(); ++i)
      row[i] = 1000.0 / std::pow(double(i + 1), 0.7);
    std::shuffle(row.begin(), row.end(), random);
    demand.push_back(row);
  }
  return demand;
}

static void benchPlanner() {
  for (MapShape shape : {MapShape{58, 64, 64, 2}, MapShape{58, 128, 128, 2},
                         MapShape{58, 256, 256, 2}}) {
    for (double move : {0.0005, 0.02}) {
      ExpertPlanner planner({1.0, move, 100000, 0.005});
      ExpertMap map = makeRoundRobinMap(shape);
      TimePoint began = monotonicNow();
      MapPlan first = planner.plan(map, drawDemand(shape, 1));
      double cold = secondsSince(began);
      // A demand that has changed slightly since the first plan.
      ExpertDemand changed = drawDemand(shape, 1);
      ExpertDemand other = drawDemand(shape, 2);
      for (std::size_t i = 0; i < changed.size(); ++i)
        for (std::size_t k = 0; k < changed[i].size(); ++k)
          changed[i][k] = 0.95 * changed[i][k] + 0.05 * other[i][k];
      began = monotonicNow();
      MapPlan next = planner.plan(first.Map, changed);
      double warm = secondsSince(began);
      std::printf("plan ranks=%zu move_weight=%.4f first: %.0f ms skew "
                  "%.2f->%.2f moves %zu; after a small change: %.0f ms skew "
                  "%.2f->%.2f moves %zu; record %zu bytes\n",
                  shape.Ranks, move, cold * 1e3, first.SkewBefore,
                  first.SkewAfter, first.Moves, warm * 1e3, next.SkewBefore,
                  next.SkewAfter, next.Moves, formatMap(next.Map).size());
    }
  }
}

/// The cost of a request in the state machines of one entry and one agent,
/// which are connected directly.
static void benchRequest(std::size_t tokens) {
  const std::size_t requests = tokens == 0 ? 20000 : 2000;
  auto snapshot = std::make_shared<RoutingSnapshot>();
  EndpointId id("endpoint-1");
  snapshot->Services[ServiceId("m")] = {
      ServiceKind::Model, true, {{id, ServiceId("m"), {}, "", {}, false}}};
  EntryNode entry(DataCentreId("d"), EntryLimits(), 1);
  entry.setSnapshot(snapshot);
  AgentLimits limits;
  limits.Ledger.MaxRecords = 10 * requests;
  limits.Ledger.MaxResponseBytes = 1U << 30U;
  AgentNode agent(id, Incarnation(1), "0123456789abcdef", limits, 1);
  TimePoint now(std::chrono::hours(1));
  agent.setLeaving(false, now);
  LinkId link(1);
  std::size_t toAgent = 0;
  std::size_t toEntry = 0;
  std::size_t count = 0;
  std::vector<StartRun> runs;
  std::string token(60, 't');

  std::function<void(EntryActions)> onEntry;
  std::function<void(AgentActions)> onAgent = [&](AgentActions actions) {
    for (AgentAction &it : actions) {
      if (auto *run = std::get_if<StartRun>(&it))
        runs.push_back(std::move(*run));
      auto *send = std::get_if<SendToLink>(&it);
      if (!send)
        continue;
      ++count;
      toEntry += wireBytes(send->Body);
      onEntry(entry.onMessage(id, send->Body, now));
    }
  };
  onEntry = [&](EntryActions actions) {
    for (EntryAction &it : actions) {
      auto *send = std::get_if<SendToAgent>(&it);
      if (!send)
        continue;
      ++count;
      toAgent += wireBytes(send->Body);
      onAgent(agent.onMessage(link, send->Body, now));
    }
  };
  std::size_t heap = heapBytes();
  TimePoint began = monotonicNow();
  for (std::size_t i = 1; i <= requests; ++i) {
    CallerRequest request;
    request.Id = CallId(i);
    request.Workspace = WorkspaceId("workspace-1");
    request.Service = ServiceId("m");
    request.Method = "POST";
    request.Target = "/v1/completions";
    request.IsRetryable = true;
    request.Deadline = std::chrono::seconds(60);
    request.Body = std::string(1000, 'p');
    onEntry(entry.onCall(std::move(request), now));
    for (StartRun &run : std::exchange(runs, {})) {
      onAgent(agent.onRunHead(run.Id, 200, "text/event-stream", now));
      for (std::size_t k = 0; k < tokens; ++k)
        onAgent(agent.onRunData(run.Id, token, now));
      onAgent(agent.onRunEnd(run.Id, ResultCode::Ok, now));
    }
    now += std::chrono::milliseconds(10);
    onAgent(agent.onTimer(now));
  }
  double seconds = secondsSince(began);
  std::printf(
      "request tokens=%zu decisions+encoding %.2f us/request, %.2f "
      "us/token; messages %.1f; bytes to agent %.0f, to entry %.0f per "
      "request; ledger %.0f bytes/record (%zu records)\n",
      tokens, seconds * 1e6 / double(requests),
      seconds * 1e6 / double(requests * std::max<std::size_t>(tokens, 1)),
      double(count) / double(requests), double(toAgent) / double(requests),
      double(toEntry) / double(requests),
      double(heapBytes() - heap) / double(agent.ledger().size()),
      agent.ledger().size());
}

static void benchSnapshot() {
  ConfigDocument document;
  for (int i = 0; i < 1200; ++i) {
    std::string name = "workspace-" + std::to_string(i);
    document.Workspaces[name] = {std::string(64, 'a'), 1, {{"team", name}}};
  }
  for (int i = 0; i < 6; ++i)
    document.Services["model-" + std::to_string(i)] = {
        ServiceKind::Model, true, {}};
  std::vector<EndpointView> endpoints;
  endpoints.reserve(600);
  for (int i = 0; i < 600; ++i)
    endpoints.push_back({EndpointId("endpoint-" + std::to_string(i)),
                         ServiceId("model-" + std::to_string(i % 6)),
                         DataCentreId("dc-" + std::to_string(i % 6)),
                         "10.0.0.1:7000", GroupId("g"), false});
  std::string text = formatConfig(document);
  std::size_t heap = heapBytes();
  TimePoint began = monotonicNow();
  ConfigDocument read = parseConfig(text).value();
  double parse = secondsSince(began);
  began = monotonicNow();
  RoutingSnapshot snapshot = makeSnapshot(read, endpoints, 0);
  std::printf("config workspaces=1200 document %zu bytes, parse %.1f ms, "
              "snapshot %.1f ms, document+snapshot %zu bytes in memory\n",
              text.size(), parse * 1e3, secondsSince(began) * 1e3,
              heapBytes() - heap);
}

static void benchGroupMessages() {
  GroupOrder order;
  order.Group = GroupId("group-1");
  order.CoordinatorEpoch = Epoch(100000);
  order.GroupGeneration = Generation(10);
  order.Attempt = ChangeAttempt(1000);
  order.Step = StepNumber(100000000);
  order.Sender = EndpointId("endpoint-123");
  GroupReply reply;
  reply.Group = order.Group;
  reply.Member = order.Sender;
  reply.CoordinatorEpoch = order.CoordinatorEpoch;
  reply.Attempt = order.Attempt;
  reply.Step = order.Step;
  std::size_t plain = wireBytes(order);
  order.Map = formatMap(makeRoundRobinMap({58, 256, 256, 2}));
  std::printf("group order %zu bytes, with map %zu bytes, reply %zu bytes\n",
              plain, wireBytes(order), wireBytes(reply));
}

/// Resident memory of this process, in bytes.
static double residentBytes() {
  std::ifstream is("/proc/self/statm");
  double pages = 0;
  double resident = 0;
  is >> pages >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Connects \p count clients to one server in this process. Prints memory for
/// both ends of a link and the processor time of idle links.
static void benchLinks(std::size_t count) {
  PeerServer server({[](LinkId, const auto &) {}, [](LinkId) {}});
  if (!server.listen("0.0.0.0:7990"))
    return;
  double before = residentBytes();
  std::vector<std::unique_ptr<PeerClient>> clients;
  std::atomic<std::size_t> failed = 0;
  for (std::size_t i = 0; i < count; ++i) {
    PeerClientHandlers handlers{[](const auto &) {}, [&] { ++failed; }};
    // gRPC would share one connection among clients with the same address.
    std::string address = "127.0." + std::to_string(1 + i / 250) + "." +
                          std::to_string(1 + i % 250) + ":7990";
    clients.push_back(std::make_unique<PeerClient>(address, handlers));
    clients.back()->send(Probe{CallId(1), WorkspaceId("w"), {}, 0});
  }
  std::this_thread::sleep_for(std::chrono::seconds(3));
  double after = residentBytes();
  auto cpu = std::clock();
  std::this_thread::sleep_for(std::chrono::seconds(12));
  double idle = double(std::clock() - cpu) / CLOCKS_PER_SEC / 12;
  std::printf("links=%zu failed %zu: %.0f bytes per link for both ends, idle "
              "%.3f%% of a core\n",
              count, failed.load(), (after - before) / double(count),
              idle * 100);
}

/// Measures round trips on one link, \p gap apart.
static void benchRoundTrip(std::chrono::milliseconds gap) {
  constexpr std::size_t Trips = 300;
  PeerServer *echo = nullptr;
  PeerServer server({[&](LinkId link, const std::vector<Message> &messages) {
                       echo->send(link, messages.front());
                     },
                     [](LinkId) {}});
  echo = &server;
  if (!server.listen("127.0.0.1:7991"))
    return;
  std::binary_semaphore arrived(0);
  PeerClientHandlers handlers{[&](const auto &) { arrived.release(); }, [] {}};
  PeerClient client("127.0.0.1:7991", handlers);
  std::vector<double> times;
  times.reserve(Trips);
  for (std::size_t i = 0; i < Trips; ++i) {
    std::this_thread::sleep_for(gap);
    TimePoint began = monotonicNow();
    client.send(Probe{CallId(i), WorkspaceId("w"), {}, 0});
    arrived.acquire();
    times.push_back(secondsSince(began) * 1e6);
  }
  std::sort(times.begin(), times.end());
  std::printf("round trip on a link, %lld ms between two: median %.0f us, p99 "
              "%.0f us\n",
              static_cast<long long>(gap.count()), times[Trips / 2],
              times[Trips * 99 / 100]);
}

int main(int argc, char **argv) {
  setvbuf(stdout, nullptr, _IOLBF, 0);
  if (argc > 1 && std::string(argv[1]) == "links") {
    benchRoundTrip(std::chrono::milliseconds(0));
    benchRoundTrip(std::chrono::milliseconds(10));
    benchLinks(200);
    return 0;
  }
  if (argc > 1 && std::string(argv[1]) == "spread") {
    bench::benchGossip();
    return 0;
  }
  if (argc > 1 && std::string(argv[1]) == "pickers") {
    bench::benchPickers();
    return 0;
  }
  if (argc > 1 && std::string(argv[1]) == "overload") {
    bench::benchOverload();
    return 0;
  }
  benchPlanner();
  benchRequest(0);
  benchRequest(100);
  benchRequest(367);
  benchSnapshot();
  benchGroupMessages();
  return 0;
}
