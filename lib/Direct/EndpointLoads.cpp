//===- EndpointLoads.cpp - load of the entries at endpoints ---------------===//
//
// The part of EndpointTable that sums the load that entries put on endpoints.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/EndpointTable.h"

#include "ospreyspur/Support/Digest.h"

#include <algorithm>

using namespace ospreyspur;

void EndpointTable::setPeerLoad(const std::string &peer,
                                const std::vector<EndpointLoad> &loads,
                                TimePoint now) {
  expirePeerLoads(now);
  if (Peers.size() >= MaxPeers && !Peers.contains(peer))
    return;
  auto [at, isNew] = Peers.try_emplace(peer, PeerLoads.end());
  if (isNew) {
    at->second =
        PeerLoads.insert(PeerLoads.end(), {peer, digest64(peer), now, {}});
  } else {
    removePeerLoad(*at->second);
    PeerLoads.splice(PeerLoads.end(), PeerLoads, at->second);
  }
  PeerLoad &kept = *at->second;
  kept.At = now;
  kept.Loads = loads;
  addPeerLoad(kept);
  for (const EndpointLoad &it : loads) {
    EndpointState *state = it.Slowdown > 0 ? findMutable(it.Endpoint) : nullptr;
    if (state)
      setSlowdown(*state, it.Slowdown, now);
  }
}

void EndpointTable::expirePeerLoads(TimePoint now) {
  while (!PeerLoads.empty() && now - PeerLoads.front().At >= MaxPeerLoadAge) {
    removePeerLoad(PeerLoads.front());
    Peers.erase(PeerLoads.front().Peer);
    PeerLoads.pop_front();
  }
}

void EndpointTable::addPeerLoad(const PeerLoad &load) {
  for (const EndpointLoad &it : load.Loads)
    if (EndpointState *state = findMutable(it.Endpoint)) {
      state->PeerRequests += it.Running;
      state->PeerPendingTokens += it.PendingPromptTokens;
    }
}

void EndpointTable::removePeerLoad(const PeerLoad &load) {
  for (const EndpointLoad &it : load.Loads)
    if (EndpointState *state = findMutable(it.Endpoint)) {
      state->PeerRequests -= it.Running;
      state->PeerPendingTokens -= it.PendingPromptTokens;
    }
}

/// Sums the reports about an endpoint that was not in the table before.
void EndpointTable::sumPeerLoads(EndpointState &state) const {
  for (const PeerLoad &load : PeerLoads)
    for (const EndpointLoad &it : load.Loads)
      if (it.Endpoint == state.Record.Id) {
        state.PeerRequests += it.Running;
        state.PeerPendingTokens += it.PendingPromptTokens;
      }
}

EndpointLoad EndpointTable::totalLoad(const EndpointState &state,
                                      TimePoint now) const {
  EndpointLoad out{state.Record.Id, state.OwnRequests + state.PeerRequests,
                   state.OwnPendingTokens + state.PeerPendingTokens};
  // Reports that are too old but have not been dropped yet.
  for (const PeerLoad &load : PeerLoads) {
    if (now - load.At < MaxPeerLoadAge)
      break;
    for (const EndpointLoad &it : load.Loads)
      if (it.Endpoint == state.Record.Id) {
        out.Running -= it.Running;
        out.PendingPromptTokens -= it.PendingPromptTokens;
      }
  }
  return out;
}

std::vector<EndpointLoad> EndpointTable::ownLoads(TimePoint now) const {
  std::vector<EndpointLoad> out;
  for (const auto &[id, state] : States) {
    bool isReported = now - state.SlowdownReportedAt < SlowdownInterval;
    if (state.OwnRequests > 0 || isReported)
      out.push_back({id, state.OwnRequests, state.OwnPendingTokens,
                     isReported ? state.Slowdown : 0.0});
  }
  return out;
}

/// Returns the digests of the entries that have requests at endpoints. The
/// others observe no gaps, so they send no slowdown queries.
std::vector<std::uint64_t> EndpointTable::decodingPeers(TimePoint now) const {
  std::vector<std::uint64_t> out;
  for (const PeerLoad &load : PeerLoads) {
    bool hasRequests =
        std::any_of(load.Loads.begin(), load.Loads.end(),
                    [](const EndpointLoad &it) { return it.Running > 0; });
    if (now - load.At < MaxPeerLoadAge && hasRequests)
      out.push_back(load.NameDigest);
  }
  return out;
}

std::size_t EndpointTable::livePeers(TimePoint now) const {
  std::size_t live = PeerLoads.size();
  for (const PeerLoad &load : PeerLoads) {
    if (now - load.At < MaxPeerLoadAge)
      break;
    --live;
  }
  return live;
}
