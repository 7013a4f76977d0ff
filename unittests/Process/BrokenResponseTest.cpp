//===- BrokenResponseTest.cpp - bytes that are no response ----------------===//
//
// Guards against callers that receive bytes of an endpoint in trouble as a
// response, or a part of one. A real entry runs in front of endpoints that send
// such bytes, with all marks of a sound response.
//
//===----------------------------------------------------------------------===//

#include "EntryFixture.h"
#include "RawEndpoint.h"
#include "ResponseCorpus.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using namespace ospreyspur::test;
using std::chrono::seconds;

static constexpr Duration Deadline = seconds(4);
static constexpr Duration Limit = seconds(6);

namespace {
/// What the caller received, and how often its request ran.
struct Received {
  std::string Text;
  unsigned Runs = 0;

  bool hasStatus(unsigned status) const {
    return Text.starts_with("HTTP/1.1 " + std::to_string(status));
  }
  std::string body() const {
    std::size_t at = Text.find("\r\n\r\n");
    return at == std::string::npos ? "" : Text.substr(at + 4);
  }
  bool hasMarks() const { return Text.find("Replica-") != std::string::npos; }
};
} // namespace

/// Sends a request of this kind to an entry with two endpoints.
static Received call(RequestKind kind, RawScript script) {
  EntryFixture fixture;
  RawEndpoint first(fixture.context(), "e0", script);
  RawEndpoint second(fixture.context(), "e1", script);
  fixture.publish<RawEndpoint>(EntryFixture::makeRoute(kind),
                               {&first, &second});
  Received out;
  out.Text = fixture.call(Deadline, Limit);
  out.Runs = script.Runs;
  return out;
}

// Whether a request ran is unknown after such bytes, so that it is not sent
// again, nor reported as not run.
TEST_CASE("a broken response to a request that must not be repeated is a "
          "failure of this system") {
  for (const RawResponse &it : brokenResponses()) {
    CAPTURE(it.Name);
    Received received = call(RequestKind::OnceOnly, {{{it.Bytes}}});
    CHECK(received.hasStatus(502));
    CHECK_FALSE(received.hasMarks());
    CHECK(received.Runs == 1);
  }
}

TEST_CASE("a broken response to a request that may be repeated is replaced by "
          "a sound one") {
  for (const RawResponse &it : brokenResponses()) {
    CAPTURE(it.Name);
    Received received =
        call(RequestKind::Repeatable, {{{it.Bytes}, {framed()}}});
    CHECK(received.hasStatus(200));
    CHECK(received.body() == responseBody());
    CHECK(received.Runs == 2);
  }
}

TEST_CASE("a broken response in place of a stream is replaced by a stream") {
  const std::string stream =
      "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nReplica-Stamp: s\r\n"
      "Content-Type: text/event-stream\r\nContent-Length: 15\r\n\r\n"
      "id: 1\ndata: a\n\n";
  for (RawResponse it : brokenHeads()) {
    CAPTURE(it.Name);
    std::size_t at = it.Bytes.find("text/plain");
    if (at != std::string::npos)
      it.Bytes.replace(at, std::string("text/plain").size(),
                       "text/event-stream");
    Received received = call(RequestKind::Stream, {{{it.Bytes}, {stream}}});
    CHECK(received.hasStatus(200));
    CHECK(received.body().ends_with("data: a\n\n\r\n0\r\n\r\n"));
    CHECK(received.Runs == 2);
  }
}

// Each of these statements alone would decide what the caller is told.
TEST_CASE("a response that contradicts itself is a failure of this system") {
  for (const std::string &headers :
       {std::string("Not-Executed: 1\r\n"),
        std::string("Request-Id: other\r\n"),
        std::string("Request-Id: {id}\r\nRequest-Id: other\r\n")}) {
    CAPTURE(headers);
    Received received =
        call(RequestKind::OnceOnly, {{{framed("HTTP/1.1 200 OK", headers)}}});
    CHECK(received.hasStatus(502));
    CHECK_FALSE(received.hasMarks());
    CHECK(received.Runs == 1);
  }
}

TEST_CASE("a request that an endpoint has rejected is reported as not run") {
  for (const char *line :
       {"HTTP/1.1 503 Service Unavailable", "HTTP/1.1 429 Too Many Requests"}) {
    CAPTURE(std::string(line));
    Received received =
        call(RequestKind::OnceOnly,
             {{{framed(line, "Not-Executed: 1\r\n")}, {framed()}}});
    CHECK(received.hasStatus(503));
    CHECK_FALSE(received.hasMarks());
    CHECK(received.Runs == 1);
  }
}

TEST_CASE("an unusual but sound response reaches its caller") {
  for (const SoundResponse &it : soundResponses()) {
    CAPTURE(it.Sent.Name);
    for (RequestKind kind : {RequestKind::OnceOnly, RequestKind::Repeatable}) {
      Received received = call(kind, {{{it.Sent.Bytes}}});
      CHECK(received.hasStatus(it.Status));
      CHECK(received.body() == it.Body);
      CHECK(received.hasMarks());
      CHECK(received.Text.find("Replica-Stamp: t") == std::string::npos);
      CHECK(received.Runs == 1);
    }
  }
}

/// Calls \p test with each response that was cut off, and each way in which its
/// connection may end. A response cut off in its body is told from a whole one
/// by its framing.
template <typename Test>
static void forEachCut(const Test &test, std::size_t step = 1) {
  for (bool endsWithReset : {false, true})
    for (const RawResponse &it : allCutResponses("r1", step)) {
      CAPTURE(it.Name);
      CAPTURE(endsWithReset);
      RawReply reply{it.Bytes};
      reply.EndsWithReset = endsWithReset;
      test(std::move(reply));
    }
}

TEST_CASE("a response that was cut off is a failure of this system if the "
          "request must not be repeated") {
  forEachCut([](RawReply cut) {
    Received received = call(RequestKind::OnceOnly, {{std::move(cut)}});
    CHECK(received.hasStatus(502));
    CHECK_FALSE(received.hasMarks());
    CHECK(received.Runs == 1);
  });
}

TEST_CASE("a response that was cut off is replaced by a sound one if the "
          "request may be repeated") {
  // Each takes the delay before a repetition.
  constexpr std::size_t CutStep = 5;
  forEachCut(
      [](RawReply cut) {
        Received received =
            call(RequestKind::Repeatable, {{std::move(cut), {framed()}}});
        CHECK(received.hasStatus(200));
        CHECK(received.body() == responseBody());
        CHECK(received.Runs == 2);
      },
      CutStep);
}
