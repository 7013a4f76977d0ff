//===- BrokenHeadTest.cpp - heads from agents that are none ---------------===//
//
// Guards against an entry that passes on what an agent, perhaps of an earlier
// version, reports as the status or the content type of a response.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/EntryNode.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using std::chrono::seconds;

namespace {
/// What a caller gets of a response that begins with this head.
class HeadFixture {
public:
  HeadFixture(std::uint32_t status, std::string contentType)
      : Status(status), ContentType(std::move(contentType)),
        Entry(DataCentreId("d"), EntryLimits(), 1) {
    auto snapshot = std::make_shared<RoutingSnapshot>();
    for (const char *name : {"e0", "e1"})
      snapshot->Services[ServiceId("s")].Endpoints.push_back(
          {EndpointId(name), ServiceId("s"), DataCentreId("d"), "", {}, false});
    Entry.setSnapshot(snapshot);
    CallerRequest request;
    request.Id = CallId(1);
    request.Service = ServiceId("s");
    request.Deadline = seconds(8);
    perform(Entry.onCall(request, Now));
  }

  bool HasHead = false;
  bool HasEnd = false;
  std::optional<ResultCode> Error;
  unsigned Runs = 0;

private:
  void perform(const EntryActions &actions) {
    for (const EntryAction &it : actions) {
      if (const auto *sent = std::get_if<SendToAgent>(&it))
        respond(*sent);
      if (const auto *error = std::get_if<ResponseError>(&it))
        Error = error->Code;
      HasHead = HasHead || std::holds_alternative<ResponseHead>(it);
      HasEnd = HasEnd || std::holds_alternative<ResponseEnd>(it);
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
      RequestId id = order->Permit.Id;
      AttemptNumber attempt = order->Attempt;
      for (const Message &it : std::initializer_list<Message>{
               Accepted{id, attempt}, Head{id, attempt, Status, ContentType},
               Chunk{id, attempt, 0, "ok"},
               Finish{id, attempt, 2, ResultCode::Ok, {}}})
        perform(Entry.onMessage(sent.To, it, Now));
    }
  }

  std::uint32_t Status;
  std::string ContentType;
  EntryNode Entry;
  TimePoint Now{std::chrono::hours(1)};
  std::uint64_t LastTicket = 0;
};
} // namespace

TEST_CASE("an entry passes on no status that is none") {
  for (std::uint32_t status :
       {0U, 1U, 99U, 100U, 101U, 199U, 600U, 999U, 1000U, 4294967295U}) {
    CAPTURE(status);
    HeadFixture fixture(status, "text/plain");
    CHECK_FALSE(fixture.HasHead);
    CHECK_FALSE(fixture.HasEnd);
    REQUIRE(fixture.Error);
    CHECK(*fixture.Error == ResultCode::AnswerBroken);
    CHECK(fixture.Runs == 1);
  }
}

TEST_CASE("an entry passes on no content type that is no header value") {
  for (const char *type : {"text/plain\r\nX-A: 1", "a\nb", "a\x01", "a\x7f"}) {
    HeadFixture fixture(200, type);
    CHECK_FALSE(fixture.HasHead);
    CHECK(fixture.Error.has_value());
    CHECK(fixture.Runs == 1);
  }
}

TEST_CASE("an entry passes on every status of a final response") {
  for (std::uint32_t status : {200U, 299U, 404U, 503U, 599U}) {
    CAPTURE(status);
    HeadFixture fixture(status, "text/plain; charset=\"\xe9\"");
    CHECK(fixture.HasHead);
    CHECK(fixture.HasEnd);
    CHECK_FALSE(fixture.Error);
  }
}
