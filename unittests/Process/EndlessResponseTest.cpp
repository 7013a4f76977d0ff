//===- EndlessResponseTest.cpp - bytes of endpoints without an end --------===//
//
// Guards against endpoints in trouble that send bytes until their connection is
// closed: an entry has to close it at a bound of size and of time, and its
// caller gets a failure.
//
//===----------------------------------------------------------------------===//

#include "EntryFixture.h"
#include "RawEndpoint.h"
#include "ResponseCorpus.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using namespace ospreyspur::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration Deadline = seconds(2);
/// How long after its deadline a caller may still wait.
static constexpr Duration Slack = milliseconds(500);
static constexpr std::size_t MaxBodyBytes = 16U << 20U;
/// A body of the largest size, as much framing, and what the kernel buffers.
static constexpr std::size_t MaxSentBytes = 48U << 20U;
/// A head of the largest size, and what the kernel buffers if the sender
/// pauses after each few kilobytes.
static constexpr std::size_t MaxPacedHeadBytes = 1U << 20U;

namespace {
struct EndlessCall {
  std::string Text;
  Duration Took{};
  RawScript Script;
};
} // namespace

/// Sends a request that must not be repeated.
static EndlessCall call(RequestKind kind, RawReply reply) {
  EndlessCall out;
  out.Script = {{std::move(reply)}};
  EntryFixture fixture;
  RawEndpoint endpoint(fixture.context(), "e0", out.Script);
  RouteRule route = EntryFixture::makeRoute(kind);
  route.IsResumable = false;
  fixture.publish<RawEndpoint>(route, {&endpoint});
  TimePoint began = monotonicNow();
  out.Text = fixture.call(Deadline, Deadline + 4 * Slack);
  out.Took = monotonicNow() - began;
  fixture.run([&] { return out.Script.Closed > 0; }, Slack);
  return out;
}

static void checkFailure(const EndlessCall &called) {
  CHECK(called.Text.starts_with("HTTP/1.1 50"));
  CHECK_FALSE(called.Text.starts_with("HTTP/1.1 503"));
  CHECK(called.Text.find("Replica-") == std::string::npos);
  CHECK(called.Took < Deadline + Slack);
  CHECK(called.Script.Runs == 1);
  CHECK(called.Script.Closed == 1);
}

TEST_CASE("a response without an end is given up at a bound of its size") {
  for (const EndlessResponse &it : endlessResponses()) {
    CAPTURE(it.Name);
    EndlessCall called =
        call(RequestKind::OnceOnly, {it.Bytes, it.Repeated, {}});
    checkFailure(called);
    CHECK(called.Script.RepeatedBytes < MaxSentBytes);
  }
}

TEST_CASE("a head that arrives in whole fields is given up at its bound") {
  for (const EndlessResponse &it : endlessResponses()) {
    if (it.Name != "fields" && it.Name != "interim responses")
      continue;
    CAPTURE(it.Name);
    EndlessCall called =
        call(RequestKind::OnceOnly, {it.Bytes, it.Repeated, milliseconds(1)});
    checkFailure(called);
    CHECK(called.Script.RepeatedBytes < MaxPacedHeadBytes);
  }
}

TEST_CASE("a slow response without an end is given up at the deadline") {
  for (const EndlessResponse &it : endlessResponses()) {
    CAPTURE(it.Name);
    EndlessCall called =
        call(RequestKind::OnceOnly,
             {it.Bytes, it.Repeated.substr(0, 8), milliseconds(20)});
    checkFailure(called);
  }
}

// An event that does not end is held back, and what is held back is bounded.
TEST_CASE("an event without an end is given up") {
  std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n"
                     "Replica-Stamp: s\r\nContent-Type: text/event-stream\r\n"
                     "\r\ndata: ";
  for (Duration pause : {Duration(), Duration(milliseconds(20))}) {
    CAPTURE(toMillis(pause));
    bool isSlow = pause > Duration::zero();
    std::string part(isSlow ? 16 : 4096, 'x');
    EndlessCall called = call(RequestKind::Stream, {head, part, pause});
    checkFailure(called);
    CHECK(called.Script.RepeatedBytes < MaxSentBytes);
    // A fast one ends at the bound of size, well before the deadline.
    if (!isSlow)
      CHECK(called.Script.RepeatedBytes > MaxBodyBytes);
  }
}
