//===- MapCodecTest.cpp - encoding of expert map messages -----------------===//
//
// A coordinator bases its decisions on these messages, so they must decode to
// the values that were encoded. Malformed messages must be rejected.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Rpc/Codec.h"

#include "generated/peer.pb.h"

#include <doctest/doctest.h>

#include <memory>

using namespace ospreyspur;

/// Returns \p message after encoding and decoding; the type must be unchanged.
template <typename T> static T roundTrip(const T &message) {
  wire::Message bytes;
  encode(message, bytes);
  std::optional<Message> read = decode(bytes);
  REQUIRE(read.has_value());
  REQUIRE(std::holds_alternative<T>(*read));
  return std::get<T>(*read);
}

TEST_CASE("a rank status is unchanged after encoding and decoding") {
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
  status.SampledCounts = {1, 0, 7};
  status.Slowdown = 2.5;
  status.Placement = {{1, 2}, {0}};
  status.Endpoint = "10.0.0.1:8725";
  RankStatus read = roundTrip(status);
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
  CHECK(read.SampledCounts == status.SampledCounts);
  CHECK(read.Slowdown == status.Slowdown);
  CHECK(read.Placement == status.Placement);
  CHECK(read.Endpoint == status.Endpoint);
}

TEST_CASE("map orders and replies round-trip, unknown kinds are rejected") {
  MapOrder order;
  order.Id = MapOrderId(9);
  order.Fence = FencingToken(1ULL << 40U);
  order.Version = MapVersion(6);
  order.Step = StepNumber(815);
  order.Kind = MapOrderKind::Prepare;
  order.Map =
      std::make_shared<const GroupPlacement>(GroupPlacement{{{1, 2}}, {{0}}});
  MapOrder read = roundTrip(order);
  CHECK(read.Id == order.Id);
  CHECK((read.Kind == order.Kind));
  CHECK(read.Fence == order.Fence);
  CHECK(read.Version == order.Version);
  CHECK(read.Step == order.Step);
  REQUIRE(read.Map);
  CHECK(*read.Map == *order.Map);
  MapOrderReply reply{order.Id, MapOrderResult::Fenced};
  CHECK((roundTrip(reply).Result == reply.Result));
  wire::Message bytes;
  encode(order, bytes);
  bytes.mutable_map_order()->set_kind(99);
  CHECK_FALSE(decode(bytes).has_value());
}

TEST_CASE("sampled expert counts take one byte per expert") {
  RankStatus status;
  for (std::uint32_t i = 0; i < 1536; ++i)
    status.SampledCounts.push_back(i * 40);
  wire::Message bytes;
  encode(status, bytes);
  CHECK(bytes.ByteSizeLong() < 1536 + 32);
  RankStatus read = roundTrip(status);
  REQUIRE(read.SampledCounts.size() == status.SampledCounts.size());
  // Rounding errors are at most 1/128 of the largest count.
  for (std::size_t i = 0; i < read.SampledCounts.size(); ++i)
    CHECK(status.SampledCounts[i] - read.SampledCounts[i] <= 1535 * 40 / 128);
  bytes.mutable_rank_report()->set_picks_shift(25);
  CHECK_FALSE(decode(bytes).has_value());
}

TEST_CASE("an order with a malformed map is rejected") {
  MapOrder order;
  order.Kind = MapOrderKind::Prepare;
  order.Map = std::make_shared<const GroupPlacement>(
      GroupPlacement{{{1, 2}, {}}, {{0}, {3}}});
  wire::Message complete;
  encode(order, complete);
  REQUIRE(decode(complete).has_value());
  for (int n = complete.map_order().map_size() - 1; n >= 0; --n) {
    wire::Message bytes = complete;
    bytes.mutable_map_order()->mutable_map()->Truncate(n);
    CHECK_FALSE(decode(bytes).has_value());
  }
  wire::Message longer = complete;
  longer.mutable_map_order()->add_map(1);
  CHECK_FALSE(decode(longer).has_value());
  wire::Message huge = complete;
  huge.mutable_map_order()->set_map(0, 1U << 30U);
  CHECK_FALSE(decode(huge).has_value());
}

TEST_CASE("a map delta is unchanged after encoding and decoding") {
  MapOrder order;
  order.Kind = MapOrderKind::Prepare;
  order.Version = MapVersion(7);
  order.Delta = MapDelta{MapVersion(6), {{1, 0, {4, 9}}, {3, 2, {}}}};
  MapOrder read = roundTrip(order);
  CHECK_FALSE(read.Map);
  REQUIRE(read.Delta.has_value());
  CHECK(read.Delta->Base == MapVersion(6));
  REQUIRE(read.Delta->Sets.size() == 2);
  CHECK(read.Delta->Sets[0].Rank == 1);
  CHECK(read.Delta->Sets[0].Set == 0);
  CHECK(read.Delta->Sets[0].Experts == order.Delta->Sets[0].Experts);
  CHECK(read.Delta->Sets[1].Rank == 3);
  CHECK(read.Delta->Sets[1].Experts.empty());
  order.Delta->Sets.clear();
  CHECK(roundTrip(order).Delta.has_value());
}

TEST_CASE("an order with a malformed or misplaced map delta is rejected") {
  MapOrder order;
  order.Kind = MapOrderKind::Prepare;
  order.Delta = MapDelta{MapVersion(6), {{1, 0, {4, 9}}}};
  wire::Message complete;
  encode(order, complete);
  for (int n = complete.map_order().map_size() - 1; n > 0; --n) {
    wire::Message bytes = complete;
    bytes.mutable_map_order()->mutable_map()->Truncate(n);
    CHECK_FALSE(decode(bytes).has_value());
  }
  wire::Message longer = complete;
  longer.mutable_map_order()->add_map(1);
  CHECK_FALSE(decode(longer).has_value());
  wire::Message other = complete;
  other.mutable_map_order()->set_kind(
      static_cast<unsigned>(MapOrderKind::Hold));
  CHECK_FALSE(decode(other).has_value());
}
