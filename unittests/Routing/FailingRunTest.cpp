//===- FailingRunTest.cpp - a request whose runs end its endpoints --------===//
//
// On the path through agents: each engine that runs one request ends, and its
// agent says that the endpoint failed while it ran it. The request comes again
// and again.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/EntryNode.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
/// An entry before agents each of which offers at once, and whose engine ends
/// under whatever it is given.
class EndingAgents {
public:
  explicit EndingAgents(unsigned endpoints)
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

  /// Sends the request and lets it take its course. Returns how it ended.
  ResultCode call() {
    CallerRequest request;
    request.Id = CallId(++LastCall);
    request.Service = ServiceId("s");
    request.Body = "ends whoever runs it";
    request.IsRepeatable = true;
    request.Deadline = seconds(8);
    Told = ResultCode::Ok;
    take(Entry.onCall(request, Now));
    Now += seconds(2);
    return Told;
  }

  unsigned runs() const { return Runs; }

private:
  void take(const EntryActions &actions) {
    for (const EntryAction &it : actions) {
      if (const auto *sent = std::get_if<SendToAgent>(&it))
        answer(*sent);
      if (const auto *error = std::get_if<AnswerError>(&it))
        Told = error->Code;
    }
  }

  void answer(const SendToAgent &sent) {
    if (const auto *probe = std::get_if<Probe>(&sent.Body)) {
      ProbeReply reply;
      reply.Call = probe->Call;
      reply.Permit.Endpoint = sent.To;
      reply.Permit.Id = {Incarnation(1), TicketSequence(++LastTicket)};
      take(Entry.onMessage(sent.To, reply, Now));
    } else if (const auto *order = std::get_if<Dispatch>(&sent.Body)) {
      ++Runs;
      take(Entry.onMessage(sent.To,
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
  ResultCode Told = ResultCode::Ok;
};
} // namespace

/// Three before it can be known, three more while the news travels.
static constexpr unsigned MostRuns = 6;

TEST_CASE("through agents, a request that ends its endpoints is not sent on") {
  EndingAgents world(32);
  for (unsigned i = 0; i < 12; ++i)
    CHECK(world.call() != ResultCode::Ok);
  CHECK(world.runs() <= MostRuns);
}
