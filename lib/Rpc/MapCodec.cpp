//===- MapCodec.cpp - messages about maps to and from protobuf ------------===//
//
// See MapCodec.h.
//
//===----------------------------------------------------------------------===//

#include "MapCodec.h"

#include "generated/peer.pb.h"

using namespace ospreyspur;

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

void ospreyspur::encodeMap(const RankStatus &in, wire::Message &message) {
  auto *out = message.mutable_rank_report();
  out->set_group(in.Group.get());
  out->set_formation(in.Formation.get());
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
  out->mutable_counts()->Add(in.Counts.begin(), in.Counts.end());
  put(in.Placement, out->mutable_placement());
  out->set_endpoint(in.Endpoint);
}

std::optional<Message> ospreyspur::decodeMap(const wire::RankReport &in) {
  RankStatus out;
  out.Group = GroupId(in.group());
  out.Formation = FormationEpoch(in.formation());
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
  out.Counts.assign(in.counts().begin(), in.counts().end());
  out.Placement = get(in.placement());
  out.Endpoint = in.endpoint();
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
  for (const RankPlacement &it : in.Map)
    put(it, out->add_map());
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
  for (const wire::RankPlacement &it : in.map())
    out.Map.push_back(get(it));
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
