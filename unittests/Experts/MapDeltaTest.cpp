//===- MapDeltaTest.cpp - encoding maps as differences --------------------===//
//
// Agents must reconstruct exactly the map that the coordinator sent, whatever
// was lost, and a change must not fill the coordinator's link.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/MapDelta.h"
#include "ospreyspur/Rpc/Codec.h"

#include "generated/peer.pb.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace ospreyspur;

/// Ranks, sets and experts of a large group.
static constexpr unsigned Ranks = 32;
static constexpr unsigned Sets = 12;
static constexpr unsigned Experts = 128;
static constexpr LinkId Link = LinkId(1);

static GroupPlacement makeMap() {
  GroupPlacement out(Ranks, RankPlacement(Sets));
  for (auto &rank : out)
    for (auto &set : rank)
      for (unsigned i = 0; i < 5; ++i)
        set.push_back(static_cast<ExpertNumber>((i * 31) % Experts));
  return out;
}

static MapOrder prepare(std::uint64_t version, const GroupPlacement &map) {
  MapOrder out;
  out.Kind = MapOrderKind::Prepare;
  out.Version = MapVersion(version);
  out.Map = std::make_shared<const GroupPlacement>(map);
  return out;
}

static std::size_t bytesOf(const MapOrder &order) {
  wire::Message bytes;
  encode(order, bytes);
  return bytes.ByteSizeLong();
}

TEST_CASE("a change of one expert per rank takes few bytes") {
  GroupPlacement map = makeMap();
  SentMaps sent;
  std::size_t first = bytesOf(sent.shorten(3, Link, prepare(1, map), 0));
  CHECK(first > std::size_t(Ranks) * Sets * 5);
  for (unsigned rank = 0; rank < Ranks; ++rank)
    map[rank][rank % Sets][0] = 100;
  std::size_t change = bytesOf(sent.shorten(3, Link, prepare(2, map), 0));
  // About three bytes per copy; whole sets would take eleven.
  CHECK(change < std::size_t(Ranks) * 4 + 32);
  // A repeated order without a reply only says that nothing has changed.
  CHECK(bytesOf(sent.shorten(3, Link, prepare(2, map), 1)) < 64);
}

TEST_CASE(
    "a group's first change is sent as differences from the initial map") {
  constexpr unsigned Size = 96;
  constexpr unsigned AllExperts = 192;
  GroupPlacement map(Size, RankPlacement(Sets));
  for (unsigned expert = 0; expert < AllExperts; ++expert)
    for (auto &set : map[expert % Size])
      set.push_back(static_cast<ExpertNumber>(expert));
  std::size_t whole = 0;
  for (const RankPlacement &rank : map)
    for (const auto &set : rank)
      whole += 1 + set.size();
  for (unsigned rank = 0; rank < Size; ++rank)
    map[rank][rank % Sets].push_back((rank * 7) % AllExperts);
  SentMaps sent;
  MapOrder order = sent.shorten(3, Link, prepare(9, map), 0);
  // Three bytes per place; whole sets would take ten.
  CHECK(bytesOf(order) < Size * 4 + 32);
  CHECK(bytesOf(order) < whole / 3);
  // Encode the order and decode it.
  wire::Message bytes;
  encode(order, bytes);
  std::optional<Message> read = decode(bytes);
  REQUIRE(read);
  auto decoded = std::get<MapOrder>(*read);
  REQUIRE(ReceivedMap().complete(decoded));
  CHECK(*decoded.Map == map);
  // A map that differs too much from the initial map is sent whole.
  for (auto &rank : map)
    for (auto &set : rank)
      std::reverse(set.begin(), set.end());
  CHECK(SentMaps().shorten(3, Link, prepare(10, map), 0).Map);
}

TEST_CASE("an initial map of an impossible shape is not decoded") {
  MapOrder order = prepare(1, {});
  order.Map = nullptr;
  for (InitialMapShape it :
       {InitialMapShape{0, 1, 1}, InitialMapShape{8, 4000, 4000},
        InitialMapShape{8, 1, 5000}, InitialMapShape{4000, 4000, 1},
        InitialMapShape{5000, 1, 1}}) {
    order.Delta = MapDelta{MapVersion(), {}, it};
    wire::Message bytes;
    encode(order, bytes);
    CHECK_FALSE(decode(bytes));
  }
}

TEST_CASE(
    "replaced experts survive encoding, and damaged ones are not decoded") {
  MapOrder order = prepare(7, {});
  order.Map = nullptr;
  order.Delta = MapDelta{MapVersion(6), {{1, 2, {3, 4}}}};
  order.Delta->Replaced = {{0, 0, 0, 9}, {0, 11, 4, 250}, {31, 3, 1, 0}};
  wire::Message bytes;
  encode(order, bytes);
  std::optional<Message> read = decode(bytes);
  REQUIRE(read);
  const auto &replaced = std::get<MapOrder>(*read).Delta->Replaced;
  REQUIRE(replaced.size() == 3);
  for (std::size_t i = 0; i < 3; ++i) {
    const ReplacedExpert &it = order.Delta->Replaced[i];
    CHECK(replaced[i].Rank == it.Rank);
    CHECK(replaced[i].Set == it.Set);
    CHECK(replaced[i].Place == it.Place);
    CHECK(replaced[i].Expert == it.Expert);
  }
  // The encoded field: number of sets, number of places, then for each replaced
  // expert the distance from the previous place and the expert.
  using Numbers = std::vector<std::uint32_t>;
  for (const Numbers &it :
       {Numbers{1}, Numbers{0, 5, 1, 1}, Numbers{12, 0, 1, 1},
        Numbers{12, 5, 1}, Numbers{5000, 5, 1, 1}, Numbers{12, 5, 1, 70000},
        Numbers{1, 1, 4000000000, 1, 4000000000, 1}}) {
    wire::Message damaged = bytes;
    auto *field = damaged.mutable_map_order()->mutable_replaced();
    field->Assign(it.begin(), it.end());
    CHECK_FALSE(decode(damaged));
  }
}

TEST_CASE("a map sent as differences is restored exactly, whatever was lost") {
  std::mt19937 random(1);
  GroupPlacement map = makeMap();
  SentMaps sent;
  ReceivedMap receiver;
  std::uint64_t link = 1;
  for (std::uint64_t version = 1; version <= 300; ++version) {
    for (unsigned i = 0; i < random() % 40; ++i)
      map[random() % Ranks][random() % Sets][random() % 5] =
          static_cast<ExpertNumber>(random() % Experts);
    MapOrder intended = prepare(version, map);
    bool isRestored = false;
    for (unsigned tries = 0; tries < 8 && !isRestored; ++tries) {
      bool isNewLink = random() % 50 == 0;
      link += isNewLink ? 1 : 0;
      MapOrder order = sent.shorten(3, LinkId(link), intended, tries);
      bool isLost = tries < 4 && random() % 4 == 0;
      if (isLost || !receiver.complete(order))
        continue;
      isRestored = true;
      REQUIRE(order.Map);
      CHECK_FALSE(order.Delta.has_value());
      CHECK(*order.Map == map);
    }
    CHECK(isRestored);
    // The agent may restart between two changes.
    if (random() % 20 == 0) {
      receiver = ReceivedMap();
      link += random() % 2;
    }
  }
}

TEST_CASE("a new link or two unanswered copies cause a whole map") {
  GroupPlacement map = makeMap();
  SentMaps sent;
  CHECK(sent.shorten(3, Link, prepare(1, map), 0).Map);
  CHECK_FALSE(sent.shorten(3, Link, prepare(2, map), 0).Map);
  CHECK(sent.shorten(3, LinkId(2), prepare(2, map), 0).Map);
  CHECK(sent.shorten(4, Link, prepare(2, map), 0).Map);
  CHECK_FALSE(sent.shorten(3, LinkId(2), prepare(2, map), 1).Map);
  CHECK(sent.shorten(3, LinkId(2), prepare(2, map), 2).Map);
  MapOrder hold;
  CHECK_FALSE(sent.shorten(3, Link, hold, 0).Delta.has_value());
}

TEST_CASE("differences from an unknown map are refused") {
  ReceivedMap receiver;
  MapOrder order;
  order.Kind = MapOrderKind::Prepare;
  order.Version = MapVersion(5);
  order.Delta = MapDelta{MapVersion(4), {}};
  CHECK_FALSE(receiver.complete(order));
  MapOrder whole = prepare(4, makeMap());
  CHECK(receiver.complete(whole));
  MapOrder beyond = order;
  beyond.Delta->Sets.push_back({Ranks, 0, {1}});
  CHECK_FALSE(receiver.complete(beyond));
  for (ReplacedExpert it :
       {ReplacedExpert{Ranks, 0, 0, 1}, ReplacedExpert{0, Sets, 0, 1},
        ReplacedExpert{0, 0, 6, 1}}) {
    MapOrder other = order;
    other.Delta.emplace(MapDelta{MapVersion(4), {}, std::nullopt, {it}});
    CHECK_FALSE(receiver.complete(other));
  }
  CHECK(receiver.complete(order));
  REQUIRE(order.Map);
  CHECK(*order.Map == makeMap());
  // The agent now knows version 5, so the earlier base is refused.
  MapOrder late;
  late.Kind = MapOrderKind::Prepare;
  late.Version = MapVersion(6);
  late.Delta = MapDelta{MapVersion(4), {}};
  CHECK_FALSE(receiver.complete(late));
}
