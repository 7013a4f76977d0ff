//===- MapCodec.cpp - expert map messages to and from protobuf ------------===//
//
// See MapCodec.h.
//
//===----------------------------------------------------------------------===//

#include "MapCodec.h"

#include "generated/peer.pb.h"

#include <algorithm>
#include <cmath>
#include <limits>

using namespace ospreyspur;

static constexpr std::uint32_t MaxByte = 255;
/// This shift moves the highest bit of a byte to that of a 32-bit number.
static constexpr unsigned MaxPicksShift = 24;
/// Larger slowdown factors are capped; such slow ranks are of no use.
static constexpr double MaxSlowdown = 100;
/// Largest number of ranks or sets accepted. No group has as many; the bound
/// limits the memory and time that an invalid order can take.
static constexpr std::uint32_t MaxMapDimension = 4096;
/// Largest product of sets and experts, and of sets and ranks, accepted for an
/// initial map. No model has as many; the bound limits the cost of an invalid
/// order.
static constexpr std::uint32_t MaxInitialMapRows = 1U << 18U;

static void put(const RankPlacement &in, wire::RankPlacement *out) {
  for (const auto &set : in) {
    wire::SetExperts *row = out->add_sets();
    row->mutable_experts()->Add(set.begin(), set.end());
  }
}

static RankPlacement get(const wire::RankPlacement &in) {
  RankPlacement out;
  for (const wire::SetExperts &set : in.sets())
    out.emplace_back(set.experts().begin(), set.experts().end());
  return out;
}

/// Encodes one byte for each count: shifts all counts right until the largest
/// fits into a byte, and truncates the others alike. A sample is used for
/// shares, for which an eighth of a percent is more than enough.
static void putPicks(const std::vector<std::uint32_t> &in,
                     wire::RankReport &out) {
  if (in.empty())
    return;
  std::uint32_t largest = *std::max_element(in.begin(), in.end());
  unsigned shift = 0;
  while ((largest >> shift) > MaxByte)
    ++shift;
  std::string *bytes = out.mutable_picks();
  bytes->reserve(in.size());
  for (std::uint32_t it : in)
    bytes->push_back(static_cast<char>(it >> shift));
  out.set_picks_shift(shift);
}

void ospreyspur::encodeMap(const RankStatus &in, wire::Message &message) {
  auto *out = message.mutable_rank_report();
  out->set_group(in.Group.get());
  out->set_formation(in.Formation.get());
  out->set_life(in.Incarnation.get());
  out->set_rank(in.Rank);
  out->set_size(in.Size);
  out->set_is_open(in.IsOpen);
  out->set_step(in.Step.get());
  out->set_map(in.Map.get());
  if (in.Prepared)
    out->set_prepared(in.Prepared->get());
  if (in.Armed) {
    out->set_armed_version(in.Armed->Version.get());
    out->set_armed_step(in.Armed->Step.get());
  }
  if (in.Held)
    out->set_held(in.Held->get());
  putPicks(in.SampledCounts, *out);
  out->set_pace(static_cast<float>(in.Slowdown));
  put(in.Placement, out->mutable_placement());
  out->set_endpoint(in.Endpoint);
}

std::optional<Message> ospreyspur::decodeMap(const wire::RankReport &in) {
  RankStatus out;
  out.Group = GroupId(in.group());
  out.Formation = FormationEpoch(in.formation());
  out.Incarnation = RankIncarnation(in.life());
  out.Rank = in.rank();
  out.Size = in.size();
  out.IsOpen = in.is_open();
  out.Step = StepNumber(in.step());
  out.Map = MapVersion(in.map());
  if (in.has_prepared())
    out.Prepared = MapVersion(in.prepared());
  if (in.has_armed_version())
    out.Armed =
        ArmedMap{MapVersion(in.armed_version()), StepNumber(in.armed_step())};
  if (in.has_held())
    out.Held = StepNumber(in.held());
  if (in.picks_shift() > MaxPicksShift)
    return std::nullopt;
  // A slowdown factor that is not finite is ignored; one below 1 counts as 1.
  if (std::isfinite(in.pace()))
    out.Slowdown = std::clamp(double(in.pace()), 1.0, MaxSlowdown);
  for (char it : in.picks())
    out.SampledCounts.push_back(std::uint32_t(static_cast<unsigned char>(it))
                                << in.picks_shift());
  out.Placement = get(in.placement());
  out.Endpoint = in.endpoint();
  return out;
}

static void putMap(const GroupPlacement &in, wire::MapOrder &out) {
  std::size_t sets = in.empty() ? 0 : in.front().size();
  out.add_map(static_cast<std::uint32_t>(in.size()));
  out.add_map(static_cast<std::uint32_t>(sets));
  for (const RankPlacement &rank : in)
    for (const std::vector<ExpertNumber> &set : rank) {
      out.add_map(static_cast<std::uint32_t>(set.size()));
      out.mutable_map()->Add(set.begin(), set.end());
    }
}

/// Returns null if \p in does not hold exactly one complete map.
static std::shared_ptr<const GroupPlacement> getMap(const wire::MapOrder &in) {
  const std::uint32_t *it = in.map().data();
  const std::uint32_t *end = it + in.map_size();
  if (end - it < 2 || it[0] > MaxMapDimension || it[1] > MaxMapDimension)
    return nullptr;
  auto out = std::make_shared<GroupPlacement>(it[0]);
  std::uint32_t sets = it[1];
  it += 2;
  for (RankPlacement &rank : *out)
    for (std::uint32_t set = 0; set < sets; ++set) {
      if (it == end || *it >= std::uint64_t(end - it))
        return nullptr;
      std::uint32_t n = *it++;
      rank.emplace_back(it, it + n);
      it += n;
    }
  return it == end ? out : nullptr;
}

/// Encodes each replaced expert as two numbers: the distance of its place's
/// number to that of the previous place, and the new expert. Most distances are
/// small, so a place takes about three bytes.
static void putReplaced(const std::vector<ReplacedExpert> &in,
                        wire::MapOrder &out) {
  if (in.empty())
    return;
  std::uint32_t sets = 0;
  std::uint32_t places = 0;
  for (const ReplacedExpert &it : in) {
    sets = std::max(sets, it.Set + 1);
    places = std::max(places, it.Place + 1);
  }
  out.add_replaced(sets);
  out.add_replaced(places);
  std::uint32_t last = 0;
  for (const ReplacedExpert &it : in) {
    std::uint32_t number = (it.Rank * sets + it.Set) * places + it.Place;
    out.add_replaced(number - last);
    out.add_replaced(it.Expert);
    last = number;
  }
}

/// Returns nothing if the replaced experts in \p in are malformed.
static std::optional<std::vector<ReplacedExpert>>
getReplaced(const wire::MapOrder &in) {
  constexpr int HeadSize = 2;
  std::vector<ReplacedExpert> out;
  if (in.replaced_size() == 0)
    return out;
  bool isValid = in.replaced_size() % 2 == 0 && in.replaced(0) > 0 &&
                 in.replaced(0) <= MaxMapDimension && in.replaced(1) > 0 &&
                 in.replaced(1) <= MaxMapDimension;
  if (!isValid)
    return std::nullopt;
  std::uint64_t sets = in.replaced(0);
  std::uint64_t places = in.replaced(1);
  std::uint64_t number = 0;
  for (int i = HeadSize; i < in.replaced_size(); i += 2) {
    number += in.replaced(i);
    std::uint64_t rank = number / places / sets;
    std::uint32_t expert = in.replaced(i + 1);
    if (rank > MaxMapDimension ||
        expert > std::numeric_limits<ExpertNumber>::max())
      return std::nullopt;
    out.push_back({static_cast<std::uint32_t>(rank),
                   static_cast<std::uint32_t>(number / places % sets),
                   static_cast<std::uint32_t>(number % places),
                   static_cast<ExpertNumber>(expert)});
  }
  return out;
}

/// A base of 0 stands for the map that a group is formed with. The dimensions
/// of that map then precede the sets.
static void putDelta(const MapDelta &in, wire::MapOrder &out) {
  out.set_base(in.Initial ? 0 : in.Base.get());
  if (in.Initial) {
    out.add_map(in.Initial->Ranks);
    out.add_map(in.Initial->Sets);
    out.add_map(in.Initial->Experts);
  }
  for (const RankSet &it : in.Sets) {
    out.add_map(it.Rank);
    out.add_map(it.Set);
    out.add_map(static_cast<std::uint32_t>(it.Experts.size()));
    out.mutable_map()->Add(it.Experts.begin(), it.Experts.end());
  }
  putReplaced(in.Replaced, out);
}

/// Returns nothing if no group can have these dimensions.
static std::optional<InitialMapShape> getShape(const std::uint32_t *it) {
  InitialMapShape out{it[0], it[1], it[2]};
  bool isValid = out.Ranks > 0 && out.Ranks <= MaxMapDimension &&
                 out.Sets <= MaxMapDimension &&
                 out.Experts <= MaxMapDimension &&
                 out.Sets * out.Experts <= MaxInitialMapRows &&
                 out.Sets * out.Ranks <= MaxInitialMapRows;
  return isValid ? std::optional(out) : std::nullopt;
}

/// Returns nothing if \p in ends within the dimensions or a set, or if the
/// replaced experts are malformed.
static std::optional<MapDelta> getDelta(const wire::MapOrder &in) {
  constexpr std::ptrdiff_t HeadSize = 3;
  constexpr std::ptrdiff_t ShapeSize = 3;
  MapDelta out;
  out.Base = MapVersion(in.base());
  const std::uint32_t *it = in.map().data();
  const std::uint32_t *end = it + in.map_size();
  if (in.base() == 0) {
    if (end - it < ShapeSize || !(out.Initial = getShape(it)))
      return std::nullopt;
    it += ShapeSize;
  }
  while (it != end) {
    if (end - it < HeadSize || it[2] > std::uint64_t(end - it - HeadSize))
      return std::nullopt;
    const std::uint32_t *experts = it + HeadSize;
    out.Sets.push_back({it[0], it[1], {experts, experts + it[2]}});
    it = experts + it[2];
  }
  auto replaced = getReplaced(in);
  if (!replaced)
    return std::nullopt;
  out.Replaced = std::move(*replaced);
  return out;
}

void ospreyspur::encodeMap(const MapOrder &in, wire::Message &message) {
  auto *out = message.mutable_map_order();
  out->set_id(in.Id.get());
  out->set_kind(static_cast<std::uint32_t>(in.Kind));
  out->set_fence(in.Fence.get());
  out->set_formation(in.Formation.get());
  out->set_version(in.Version.get());
  out->set_step(in.Step.get());
  if (in.Map)
    putMap(*in.Map, *out);
  else if (in.Delta)
    putDelta(*in.Delta, *out);
}

std::optional<Message> ospreyspur::decodeMap(const wire::MapOrder &in) {
  if (in.kind() > static_cast<std::uint32_t>(MapOrderKind::Release))
    return std::nullopt;
  MapOrder out;
  out.Id = MapOrderId(in.id());
  out.Kind = static_cast<MapOrderKind>(in.kind());
  out.Fence = FencingToken(in.fence());
  out.Formation = FormationEpoch(in.formation());
  out.Version = MapVersion(in.version());
  out.Step = StepNumber(in.step());
  if (in.has_base())
    out.Delta = getDelta(in);
  else if (in.map_size() > 0)
    out.Map = getMap(in);
  bool needsMap = out.Kind == MapOrderKind::Prepare;
  if (needsMap != (out.Map || out.Delta))
    return std::nullopt;
  return out;
}

void ospreyspur::encodeMap(const MapOrderReply &in, wire::Message &message) {
  auto *out = message.mutable_map_order_reply();
  out->set_id(in.Id.get());
  out->set_result(static_cast<std::uint32_t>(in.Result));
}

std::optional<Message> ospreyspur::decodeMap(const wire::MapOrderReply &in) {
  if (in.result() > static_cast<std::uint32_t>(MapOrderResult::Unanswered))
    return std::nullopt;
  return MapOrderReply{MapOrderId(in.id()),
                       static_cast<MapOrderResult>(in.result())};
}

void ospreyspur::encodeMap(const LeaderCheck &in, wire::Message &message) {
  message.mutable_leader_check()->set_group(in.Group.get());
}

std::optional<Message> ospreyspur::decodeMap(const wire::LeaderCheck &in) {
  return LeaderCheck{GroupId(in.group())};
}
