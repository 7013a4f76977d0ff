//===- ReplacedEndpointTest.cpp - reports of replaced endpoints -----------===//
//
// Guards against retries that each entry makes on its own when an endpoint has
// a new incarnation. While the store could not be read, each entry noticed that
// only by a failed request, as entries did not report replaced endpoints to
// each other.
//
//===----------------------------------------------------------------------===//

#include "Direct/NodeWorld.h"

#include "ospreyspur/Rpc/LoadCodec.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using namespace test;
using std::chrono::seconds;

/// Lets \p world find out that one of its endpoints was replaced. Returns that
/// endpoint's id.
static EndpointId findReplaced(NodeWorld &world) {
  DirectActions first = world.call(1);
  REQUIRE(only<StartAttempt>(first));
  EndpointId id = only<StartAttempt>(first)->Endpoint.Id;
  world.end(1, AttemptEnd::OtherEndpoint);
  return id;
}

/// Returns how many of 200 consecutive requests \p world sends to \p id.
static unsigned countSent(NodeWorld &world, const EndpointId &id) {
  unsigned n = 0;
  for (std::uint64_t call = 1000; call < 1200; ++call) {
    DirectActions actions = world.call(call);
    const auto *started = find<StartAttempt>(actions);
    REQUIRE(started);
    n += started->Endpoint.Id == id ? 1 : 0;
    world.end(call, AttemptEnd::Complete);
  }
  return n;
}

TEST_CASE(
    "an endpoint that one entry found replaced is not tried by other entries") {
  NodeWorld finder(3, makeRoute(RequestKind::Repeatable, 2));
  NodeWorld other(3, makeRoute(RequestKind::Repeatable, 2), 2);
  EndpointId id = findReplaced(finder);
  LoadReport told{"n", {}, {}, finder.Node.takeReplacedReport()};
  std::optional<LoadReport> heard = decodeLoad(encodeLoad(told));
  REQUIRE(heard);
  other.Node.mergeReplaced(heard->Replaced, other.Now);
  CHECK(countSent(other, id) == 0);
  CHECK(countSent(finder, id) == 0);
  // The same holds later, as the incarnation has ended for good.
  other.Now += seconds(20);
  CHECK(countSent(other, id) == 0);
}

TEST_CASE("a replaced endpoint is reported only a few times") {
  NodeWorld finder(3, makeRoute(RequestKind::Repeatable, 2));
  findReplaced(finder);
  unsigned told = 0;
  for (unsigned i = 0; i < 10; ++i)
    told += finder.Node.takeReplacedReport().size();
  CHECK(told == EndpointBook::ReplacedRepeats);
}
