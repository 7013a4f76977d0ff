//===- FailingRunTest.cpp - a request that crashes its endpoints ----------===//
//
// On the path through agents: a request crashes each engine that runs it, the
// agents report EndpointFailed, and the caller sends the request repeatedly.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/EntryNode.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
/// An entry whose agents offer capacity at once and whose engines crash on
/// every request.
class CrashingEndpoints {
public:
  explicit CrashingEndpoints(unsigned endpoints)
      : Entry(DataCentreId("d"), EntryLimits(), 1) {
    auto snapshot = std::make_shared<RoutingSnapshot>();
    for (unsigned i = 0; i < endpoints; ++i)
      snapshot->Services[ServiceId("s")].Endpoints.push_back(
          {EndpointId("e" + std::to_string(i)),
           ServiceId("s"),
           DataCentreId("d"),
           "",
           {},
           false});
    Entry.setSnapshot(snapshot);
  }

  /// Sends the request, runs the call to its end and returns the result.
  ResultCode call() {
    CallerRequest request;
    request.Id = CallId(++LastCall);
    request.Service = ServiceId("s");
    request.Body = "crashes every engine";
    request.IsRetryable = true;
    request.Deadline = seconds(8);
    LastResult = ResultCode::Ok;
    perform(Entry.onCall(request, Now));
    Now += seconds(2);
    return LastResult;
  }

  unsigned runs() const { return Runs; }

private:
  void perform(const EntryActions &actions) {
    for (const EntryAction &it : actions) {
      if (const auto *sent = std::get_if<SendToAgent>(&it))
        respond(*sent);
      if (const auto *error = std::get_if<ResponseError>(&it))
        LastResult = error->Code;
    }
  }

  void respond(const SendToAgent &sent) {
    if (const auto *probe = std::get_if<Probe>(&sent.Body)) {
      ProbeReply reply;
      reply.Call = probe->Call;
      reply.Permit.Endpoint = sent.To;
      reply.Permit.Id = {Incarnation(1), TicketSequence(++LastTicket)};
      perform(Entry.onMessage(sent.To, reply, Now));
    } else if (const auto *order = std::get_if<Dispatch>(&sent.Body)) {
      ++Runs;
      perform(Entry.onMessage(sent.To,
                              Finish{order->Permit.Id, order->Attempt, 0,
                                     ResultCode::EndpointFailed},
                              Now));
    }
  }

  EntryNode Entry;
  TimePoint Now{std::chrono::hours(1)};
  std::uint64_t LastCall = 0;
  std::uint64_t LastTicket = 0;
  unsigned Runs = 0;
  ResultCode LastResult = ResultCode::Ok;
};
} // namespace

/// Three runs before the request can be quarantined, and three more while the
/// crash reports propagate.
static constexpr unsigned MaxRuns = 6;

TEST_CASE("through agents, a request that crashes its endpoints is run only a "
          "few times") {
  CrashingEndpoints simulation(32);
  for (unsigned i = 0; i < 12; ++i)
    CHECK(simulation.call() != ResultCode::Ok);
  CHECK(simulation.runs() <= MaxRuns);
}
