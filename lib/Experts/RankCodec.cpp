//===- RankCodec.cpp - an engine's orders and state as JSON ---------------===//
//
// Fields map one to one. A missing field or one of the wrong type makes the
// whole text malformed.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/RankCodec.h"

#include <boost/json.hpp>

using namespace ospreyspur;
namespace json = boost::json;

static std::uint64_t numberAt(const json::value &in, std::string_view key) {
  return in.at({key.data(), key.size()}).to_number<std::uint64_t>();
}

static json::array writeMembers(const std::vector<EndpointId> &members) {
  json::array out;
  for (const EndpointId &it : members)
    out.emplace_back(it.get());
  return out;
}

static std::vector<EndpointId> readMembers(const json::value &in) {
  std::vector<EndpointId> out;
  for (const json::value &it : in.at("members").as_array())
    out.emplace_back(std::string(it.as_string()));
  return out;
}

std::string ospreyspur::formatRankOrder(const RankOrder &order) {
  return json::serialize(
      json::object{{"kind", static_cast<unsigned>(order.Kind)},
                   {"epoch", order.CoordinatorEpoch.get()},
                   {"generation", order.GroupGeneration.get()},
                   {"attempt", order.Attempt.get()},
                   {"version", order.Version.get()},
                   {"step", order.Step.get()},
                   {"map", order.Map},
                   {"members", writeMembers(order.Members)}});
}

static RankOrder readOrder(const json::value &in) {
  constexpr auto LastKind = static_cast<std::uint64_t>(RankOrderKind::Abort);
  std::uint64_t kind = numberAt(in, "kind");
  if (kind > LastKind)
    throw std::out_of_range("unknown kind of order");
  RankOrder out;
  out.Kind = static_cast<RankOrderKind>(kind);
  out.CoordinatorEpoch = Epoch(numberAt(in, "epoch"));
  out.GroupGeneration = Generation(numberAt(in, "generation"));
  out.Attempt = ChangeAttempt(numberAt(in, "attempt"));
  out.Version = MapVersion(numberAt(in, "version"));
  out.Step = StepNumber(numberAt(in, "step"));
  out.Map = std::string(in.at("map").as_string());
  out.Members = readMembers(in);
  return out;
}

std::string ospreyspur::formatRankReply(const RankReply &reply) {
  const RankState &state = reply.State;
  json::object out{{"done", reply.IsDone},
                   {"generation", state.GroupGeneration.get()},
                   {"members", writeMembers(state.Members)},
                   {"step", state.Step.get()},
                   {"running", state.Running.get()},
                   {"spare", state.Spare.get()},
                   {"switching", state.IsSwitching},
                   {"refused_through", state.RefusedThrough.get()},
                   {"last_committed", state.LastCommitted.get()},
                   {"epoch", state.HighestEpoch.get()},
                   {"slot_tokens", json::value_from(state.SlotTokens)}};
  if (state.Armed)
    out["armed"] = {{"attempt", state.Armed->Attempt.get()},
                    {"version", state.Armed->Version.get()},
                    {"step", state.Armed->Step.get()}};
  return json::serialize(out);
}

static RankReply readReply(const json::value &in) {
  RankReply out;
  RankState &state = out.State;
  out.IsDone = in.at("done").as_bool();
  state.GroupGeneration = Generation(numberAt(in, "generation"));
  state.Members = readMembers(in);
  state.Step = StepNumber(numberAt(in, "step"));
  state.Running = MapVersion(numberAt(in, "running"));
  state.Spare = MapVersion(numberAt(in, "spare"));
  state.IsSwitching = in.at("switching").as_bool();
  state.RefusedThrough = ChangeAttempt(numberAt(in, "refused_through"));
  state.LastCommitted = ChangeAttempt(numberAt(in, "last_committed"));
  state.HighestEpoch = Epoch(numberAt(in, "epoch"));
  state.SlotTokens =
      json::value_to<std::vector<std::uint32_t>>(in.at("slot_tokens"));
  if (const json::value *armed = in.as_object().if_contains("armed"))
    state.Armed = ArmedChange{ChangeAttempt(numberAt(*armed, "attempt")),
                              MapVersion(numberAt(*armed, "version")),
                              StepNumber(numberAt(*armed, "step"))};
  return out;
}

/// Parses \p text and reads it with \p read; every fault gives the same error.
template <typename T, typename Read>
static Result<T> parseWith(std::string_view text, Read read) {
  try {
    return read(json::parse({text.data(), text.size()}));
  } catch (const std::exception &error) {
    return Error{ResultCode::BadRequest, error.what()};
  }
}

Result<RankOrder> ospreyspur::parseRankOrder(std::string_view text) {
  return parseWith<RankOrder>(text, readOrder);
}

Result<RankReply> ospreyspur::parseRankReply(std::string_view text) {
  return parseWith<RankReply>(text, readReply);
}
