//===- MapCodecTest.cpp - messages about maps survive the wire ------------===//
//
// What a coordinator decides by must arrive as it was sent.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Rpc/Codec.h"

#include "generated/peer.pb.h"

#include <doctest/doctest.h>

using namespace ospreyspur;

/// \p message after it has been written and read; it must be of the same kind.
template <typename T> static T pass(const T &message) {
  wire::Message bytes;
  encode(message, bytes);
  std::optional<Message> read = decode(bytes);
  REQUIRE(read.has_value());
  REQUIRE(std::holds_alternative<T>(*read));
  return std::get<T>(*read);
}

TEST_CASE("a rank's status survives the wire") {
  RankStatus status;
  status.Group = GroupId("g");
  status.Formation = FormationEpoch(3);
  status.Rank = 5;
  status.Size = 8;
  status.IsOpen = true;
  status.Step = StepNumber(812);
  status.Map = MapVersion(4);
  status.Prepared = MapVersion(6);
  status.Armed = ArmedMap{MapVersion(6), StepNumber(815)};
  status.Held = StepNumber(815);
  status.Counts = {1, 0, 7};
  status.Placement = {{1, 2}, {0}};
  status.Endpoint = "10.0.0.1:8725";
  RankStatus read = pass(status);
  CHECK(read.Group == status.Group);
  CHECK(read.Formation == status.Formation);
  CHECK(read.Rank == status.Rank);
  CHECK(read.Size == status.Size);
  CHECK(read.IsOpen);
  CHECK(read.Step == status.Step);
  CHECK(read.Map == status.Map);
  CHECK(read.Prepared == status.Prepared);
  CHECK((read.Armed == status.Armed));
  CHECK(read.Held == status.Held);
  CHECK(read.Counts == status.Counts);
  CHECK(read.Placement == status.Placement);
  CHECK(read.Endpoint == status.Endpoint);
}

TEST_CASE("an order and its answer survive the wire, unknown kinds do not") {
  MapOrder order;
  order.Id = MapOrderId(9);
  order.Kind = MapOrderKind::Arm;
  order.Fence = FencingToken(1ULL << 40U);
  order.Version = MapVersion(6);
  order.Step = StepNumber(815);
  order.Map = {{{1, 2}}, {{0}}};
  MapOrder read = pass(order);
  CHECK(read.Id == order.Id);
  CHECK((read.Kind == order.Kind));
  CHECK(read.Fence == order.Fence);
  CHECK(read.Version == order.Version);
  CHECK(read.Step == order.Step);
  CHECK(read.Map == order.Map);
  MapOrderReply reply{order.Id, MapOrderResult::Fenced};
  CHECK((pass(reply).Result == reply.Result));
  wire::Message bytes;
  encode(order, bytes);
  bytes.mutable_map_order()->set_kind(99);
  CHECK_FALSE(decode(bytes).has_value());
}
