//===- ReplacedEndpointTest.cpp - reports of replaced endpoints -----------===//
//
// Guards against retries that each entry makes on its own when an endpoint has
// a new incarnation. While the store could not be read, each entry noticed that
// only by a failed request, as entries did not report replaced endpoints to
// each other.
//
//===----------------------------------------------------------------------===//

#include "Direct/NodeFixture.h"

#include "ospreyspur/Rpc/LoadCodec.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using namespace test;
using std::chrono::seconds;

/// Lets \p fixture find out that one of its endpoints was replaced. Returns
/// that endpoint's id.
static EndpointId findReplaced(NodeFixture &fixture) {
  DirectActions first = fixture.call(1);
  REQUIRE(only<StartAttempt>(first));
  EndpointId id = only<StartAttempt>(first)->Endpoint.Id;
  fixture.end(1, AttemptEnd::OtherIncarnation);
  return id;
}

/// Returns how many of 200 consecutive requests \p fixture sends to \p id.
static unsigned countSent(NodeFixture &fixture, const EndpointId &id) {
  unsigned n = 0;
  for (std::uint64_t call = 1000; call < 1200; ++call) {
    DirectActions actions = fixture.call(call);
    const auto *started = find<StartAttempt>(actions);
    REQUIRE(started);
    n += started->Endpoint.Id == id ? 1 : 0;
    fixture.end(call, AttemptEnd::Complete);
  }
  return n;
}

TEST_CASE(
    "an endpoint that one entry found replaced is not tried by other entries") {
  NodeFixture finder(3, makeRoute(RequestKind::Repeatable, 2));
  NodeFixture other(3, makeRoute(RequestKind::Repeatable, 2), 2);
  EndpointId id = findReplaced(finder);
  LoadReport reported{"n", {}, {}, finder.Node.takeReplacedReport()};
  std::optional<LoadReport> decoded = decodeLoad(encodeLoad(reported));
  REQUIRE(decoded);
  other.Node.mergeReplaced(decoded->Replaced, other.Now);
  CHECK(countSent(other, id) == 0);
  CHECK(countSent(finder, id) == 0);
  // The same holds later, as the incarnation has ended for good.
  other.Now += seconds(20);
  CHECK(countSent(other, id) == 0);
}

TEST_CASE("a replaced endpoint is reported only a few times") {
  NodeFixture finder(3, makeRoute(RequestKind::Repeatable, 2));
  findReplaced(finder);
  unsigned reported = 0;
  for (unsigned i = 0; i < 10; ++i)
    reported += finder.Node.takeReplacedReport().size();
  CHECK(reported == EndpointTable::ReplacedReports);
}
