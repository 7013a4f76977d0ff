//===- Codec.cpp - messages to and from protobuf --------------------------===//
//
// put() encodes and get() decodes one type of message, field by field. decode()
// itself decodes the messages that need no function of their own.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Rpc/Codec.h"

#include "CrashCodec.h"
#include "MapCodec.h"

#include "generated/peer.pb.h"

#include <algorithm>

using namespace ospreyspur;

static void put(const RequestId &id, wire::RequestId *out) {
  out->set_issuer(id.Issuer.get());
  out->set_sequence(id.Sequence.get());
}

static RequestId get(const wire::RequestId &in) {
  return {Incarnation(in.issuer()), TicketSequence(in.sequence())};
}

static void put(const Ticket &ticket, wire::Ticket *out) {
  out->set_endpoint(ticket.Endpoint.get());
  put(ticket.Id, out->mutable_id());
  out->set_expires_us(ticket.Expires.time_since_epoch().count());
  out->set_workspace(ticket.Workspace.get());
  out->set_mac(ticket.Mac);
}

static Ticket get(const wire::Ticket &in) {
  Ticket ticket;
  ticket.Endpoint = EndpointId(in.endpoint());
  ticket.Id = get(in.id());
  ticket.Expires = TimePoint(Duration(in.expires_us()));
  ticket.Workspace = WorkspaceId(in.workspace());
  ticket.Mac = in.mac();
  return ticket;
}

static ResultCode getCode(std::uint32_t n) {
  return static_cast<ResultCode>(static_cast<std::uint16_t>(n));
}

static std::uint32_t putCode(ResultCode code) {
  return static_cast<std::uint32_t>(code);
}

static void put(const Probe &in, wire::Message &message) {
  auto *out = message.mutable_probe();
  out->set_call(in.Call.get());
  out->set_workspace(in.Workspace.get());
  out->set_valid_for_us(in.ValidFor.count());
  out->set_prefix(in.Prefix);
  out->set_priority(in.Priority);
  out->set_deadline_us(in.Deadline.count());
}

static Probe get(const wire::Probe &in) {
  return {CallId(in.call()),
          WorkspaceId(in.workspace()),
          Duration(in.valid_for_us()),
          in.prefix(),
          in.priority(),
          Duration(in.deadline_us())};
}

static void put(const ProbeReply &in, wire::Message &message) {
  auto *out = message.mutable_probe_reply();
  out->set_call(in.Call.get());
  out->set_code(putCode(in.Code));
  out->set_wait_us(in.Wait.count());
  out->set_load(in.Load);
  out->set_retry_after_us(in.RetryAfter.count());
  if (in.Code == ResultCode::Ok)
    put(in.Permit, out->mutable_ticket());
}

static ProbeReply get(const wire::ProbeReply &in) {
  return {CallId(in.call()),
          getCode(in.code()),
          Duration(in.wait_us()),
          in.load(),
          Duration(in.retry_after_us()),
          get(in.ticket())};
}

static void put(const Dispatch &in, wire::Message &message) {
  auto *out = message.mutable_dispatch();
  put(in.Permit, out->mutable_ticket());
  out->set_attempt(in.Attempt.get());
  out->set_resume_from(in.ResumeFrom);
  out->set_deadline_us(in.Deadline.count());
  out->set_priority(in.Priority);
  out->set_repeatable(in.Repeatable);
  out->set_method(in.Method);
  out->set_target(in.Target);
  out->set_content_type(in.ContentType);
  out->set_body(in.Body);
}

static Dispatch get(const wire::Dispatch &in) {
  Dispatch out;
  out.Permit = get(in.ticket());
  out.Attempt = AttemptNumber(in.attempt());
  out.ResumeFrom = in.resume_from();
  out.Deadline = Duration(in.deadline_us());
  out.Priority = in.priority();
  out.Repeatable = in.repeatable();
  out.Method = in.method();
  out.Target = in.target();
  out.ContentType = in.content_type();
  out.Body = in.body();
  return out;
}

static void put(const Resolve &in, wire::Message &message) {
  put(in.Permit, message.mutable_resolve()->mutable_ticket());
}

static void put(const Cancel &in, wire::Message &message) {
  auto *out = message.mutable_cancel();
  put(in.Id, out->mutable_id());
  out->set_attempt(in.Attempt.get());
}

static void put(const Accepted &in, wire::Message &message) {
  auto *out = message.mutable_accepted();
  put(in.Id, out->mutable_id());
  out->set_attempt(in.Attempt.get());
}

static void put(const Refused &in, wire::Message &message) {
  auto *out = message.mutable_refused();
  put(in.Id, out->mutable_id());
  out->set_attempt(in.Attempt.get());
  out->set_code(putCode(in.Code));
  out->set_retry_after_us(in.RetryAfter.count());
}

static Refused get(const wire::Refused &in) {
  return {get(in.id()), AttemptNumber(in.attempt()), getCode(in.code()),
          Duration(in.retry_after_us())};
}

static void put(const Head &in, wire::Message &message) {
  auto *out = message.mutable_head();
  put(in.Id, out->mutable_id());
  out->set_attempt(in.Attempt.get());
  out->set_status(in.Status);
  out->set_content_type(in.ContentType);
}

static Head get(const wire::Head &in) {
  return {get(in.id()), AttemptNumber(in.attempt()), in.status(),
          in.content_type()};
}

static void put(const Chunk &in, wire::Message &message) {
  auto *out = message.mutable_chunk();
  put(in.Id, out->mutable_id());
  out->set_attempt(in.Attempt.get());
  out->set_offset(in.Offset);
  out->set_data(in.Data);
}

static Chunk get(const wire::Chunk &in) {
  return {get(in.id()), AttemptNumber(in.attempt()), in.offset(), in.data()};
}

static void put(const Finish &in, wire::Message &message) {
  auto *out = message.mutable_finish();
  put(in.Id, out->mutable_id());
  out->set_attempt(in.Attempt.get());
  out->set_length(in.Length);
  out->set_code(putCode(in.Code));
  out->set_life(in.Incarnation.get());
}

static Finish get(const wire::Finish &in) {
  return {get(in.id()), AttemptNumber(in.attempt()), in.length(),
          getCode(in.code()), EngineIncarnation(in.life())};
}

static void put(const ResolveReply &in, wire::Message &message) {
  auto *out = message.mutable_resolve_reply();
  put(in.Id, out->mutable_id());
  out->set_state(static_cast<std::uint32_t>(in.State));
}

static ResolveReply get(const wire::ResolveReply &in) {
  auto last = static_cast<std::uint32_t>(RunState::CannotTell);
  auto state = static_cast<RunState>(std::min(in.state(), last));
  return {get(in.id()), state};
}

static void put(const Leaving &in, wire::Message &message) {
  message.mutable_leaving()->set_leaving(in.IsLeaving);
}

static void put(const LeavingSeen & /*in*/, wire::Message &message) {
  message.mutable_leaving_seen();
}

static void put(const GroupOrder &in, wire::Message &message) {
  auto *out = message.mutable_group_order();
  out->set_group(in.Group.get());
  out->set_epoch(in.CoordinatorEpoch.get());
  out->set_generation(in.GroupGeneration.get());
  out->set_attempt(in.Attempt.get());
  out->set_version(in.Version.get());
  out->set_step(in.Step.get());
  out->set_kind(static_cast<std::uint32_t>(in.Kind));
  out->set_sender(in.Sender.get());
  out->set_map(in.Map);
  for (const EndpointId &it : in.Members)
    out->add_members(it.get());
}

static std::optional<Message> get(const wire::GroupOrder &in) {
  if (in.kind() > static_cast<std::uint32_t>(GroupOrderKind::Report))
    return std::nullopt;
  GroupOrder out;
  out.Group = GroupId(in.group());
  out.CoordinatorEpoch = Epoch(in.epoch());
  out.GroupGeneration = Generation(in.generation());
  out.Attempt = ChangeAttempt(in.attempt());
  out.Version = MapVersion(in.version());
  out.Step = StepNumber(in.step());
  out.Kind = static_cast<GroupOrderKind>(in.kind());
  out.Sender = EndpointId(in.sender());
  out.Map = in.map();
  for (const std::string &it : in.members())
    out.Members.emplace_back(it);
  return out;
}

static void put(const GroupReply &in, wire::Message &message) {
  auto *out = message.mutable_group_reply();
  out->set_group(in.Group.get());
  out->set_member(in.Member.get());
  out->set_epoch(in.CoordinatorEpoch.get());
  out->set_generation(in.GroupGeneration.get());
  out->set_attempt(in.Attempt.get());
  out->set_version(in.Version.get());
  out->set_step(in.Step.get());
  out->set_kind(static_cast<std::uint32_t>(in.Kind));
  out->mutable_slot_tokens()->Add(in.SlotTokens.begin(), in.SlotTokens.end());
}

static std::optional<Message> get(const wire::GroupReply &in) {
  if (in.kind() > static_cast<std::uint32_t>(GroupReplyKind::Fenced))
    return std::nullopt;
  GroupReply out;
  out.Group = GroupId(in.group());
  out.Member = EndpointId(in.member());
  out.CoordinatorEpoch = Epoch(in.epoch());
  out.GroupGeneration = Generation(in.generation());
  out.Attempt = ChangeAttempt(in.attempt());
  out.Version = MapVersion(in.version());
  out.Step = StepNumber(in.step());
  out.Kind = static_cast<GroupReplyKind>(in.kind());
  out.SlotTokens.assign(in.slot_tokens().begin(), in.slot_tokens().end());
  return out;
}

static void put(const CopyState &in, wire::CopyState &out) {
  out.set_revision(in.At.get());
  out.set_age_us(in.Age.count());
}

static CopyState get(const wire::CopyState &in) {
  // A damaged age is as good as none.
  constexpr std::int64_t Limit = std::int64_t(1) << 58U;
  return {Revision(in.revision()),
          Duration(std::clamp(in.age_us(), -Limit, Limit))};
}

static void put(const GossipDigest &in, wire::Message &message) {
  auto *out = message.mutable_gossip_digest();
  for (const CopyState &it : in.Copies)
    put(it, *out->add_copies());
  out->set_is_subscription(in.IsSubscription);
  out->set_sent_ms(toMillis(in.SentAt));
  if (!in.Echo)
    return;
  out->set_echo_sent_ms(toMillis(in.Echo->SentAt));
  out->set_echo_age_ms(toMillis(in.Echo->Age));
}

/// Reads a time of a peer; no sum of two overflows.
static Duration getMillis(std::int64_t ms) {
  constexpr std::int64_t Limit = std::int64_t(1) << 48U;
  return std::chrono::milliseconds(std::clamp(ms, -Limit, Limit));
}

static std::optional<Message> get(const wire::GossipDigest &in) {
  if (in.copies_size() != static_cast<int>(SharedKeyCount))
    return std::nullopt;
  GossipDigest out;
  for (std::size_t i = 0; i < SharedKeyCount; ++i)
    out.Copies[i] = get(in.copies(static_cast<int>(i)));
  out.IsSubscription = in.is_subscription();
  out.SentAt = getMillis(in.sent_ms());
  if (in.has_echo_sent_ms())
    out.Echo =
        DigestEcho{getMillis(in.echo_sent_ms()), getMillis(in.echo_age_ms())};
  return out;
}

static void put(const GossipUpdate &in, wire::Message &message) {
  auto *out = message.mutable_gossip_update();
  out->set_key(static_cast<std::uint32_t>(in.Key));
  put(in.State, *out->mutable_state());
  out->set_value(in.Value);
}

static std::optional<Message> get(const wire::GossipUpdate &in) {
  if (in.key() >= SharedKeyCount)
    return std::nullopt;
  return GossipUpdate{static_cast<SharedKey>(in.key()), get(in.state()),
                      in.value()};
}

static void put(const RankStatus &in, wire::Message &message) {
  encodeMap(in, message);
}

static void put(const MapOrder &in, wire::Message &message) {
  encodeMap(in, message);
}

static void put(const MapOrderReply &in, wire::Message &message) {
  encodeMap(in, message);
}

static void put(const LeaderCheck &in, wire::Message &message) {
  encodeMap(in, message);
}

static void put(const CrashUpdate &in, wire::Message &message) {
  auto *out = message.mutable_crash_update();
  out->set_sender(in.Sender);
  out->set_entries(in.Entries);
  encodeCrashes(in.Report, *out);
}

static CrashUpdate get(const wire::CrashUpdate &in) {
  return {in.sender(), in.entries(), decodeCrashes(in)};
}

void ospreyspur::encode(const Message &message, wire::Message &out) {
  std::visit([&out](const auto &it) { put(it, out); }, message);
}

std::size_t ospreyspur::encodedSize(const Message &message) {
  wire::Message out;
  encode(message, out);
  return out.ByteSizeLong();
}

std::optional<Message> ospreyspur::decode(const wire::Message &in) {
  switch (in.body_case()) {
  case wire::Message::kProbe:
    return get(in.probe());
  case wire::Message::kProbeReply:
    return get(in.probe_reply());
  case wire::Message::kDispatch:
    return get(in.dispatch());
  case wire::Message::kResolve:
    return Resolve{get(in.resolve().ticket())};
  case wire::Message::kCancel:
    return Cancel{get(in.cancel().id()), AttemptNumber(in.cancel().attempt())};
  case wire::Message::kAccepted:
    return Accepted{get(in.accepted().id()),
                    AttemptNumber(in.accepted().attempt())};
  case wire::Message::kRefused:
    return get(in.refused());
  case wire::Message::kHead:
    return get(in.head());
  case wire::Message::kChunk:
    return get(in.chunk());
  case wire::Message::kFinish:
    return get(in.finish());
  case wire::Message::kResolveReply:
    return get(in.resolve_reply());
  case wire::Message::kLeaving:
    return Leaving{in.leaving().leaving()};
  case wire::Message::kLeavingSeen:
    return LeavingSeen{};
  case wire::Message::kGroupOrder:
    return get(in.group_order());
  case wire::Message::kGroupReply:
    return get(in.group_reply());
  case wire::Message::kGossipDigest:
    return get(in.gossip_digest());
  case wire::Message::kRankReport:
    return decodeMap(in.rank_report());
  case wire::Message::kMapOrder:
    return decodeMap(in.map_order());
  case wire::Message::kMapOrderReply:
    return decodeMap(in.map_order_reply());
  case wire::Message::kLeaderCheck:
    return decodeMap(in.leader_check());
  case wire::Message::kGossipUpdate:
    return get(in.gossip_update());
  case wire::Message::kCrashUpdate:
    return get(in.crash_update());
  case wire::Message::BODY_NOT_SET:
    return std::nullopt;
  }
  return std::nullopt;
}
