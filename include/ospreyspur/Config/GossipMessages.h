//===- GossipMessages.h - how copies of shared values spread ----*- C++ -*-===//
//
// Nodes compare what they have by digests and hand on newer values by updates.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONFIG_GOSSIPMESSAGES_H
#define OSPREYSPUR_CONFIG_GOSSIPMESSAGES_H

#include "ospreyspur/Support/Ids.h"
#include "ospreyspur/Support/Time.h"

#include <array>
#include <cstdint>
#include <string>

namespace ospreyspur {

/// The platform's values that every node has a copy of.
enum class SharedKey : std::uint8_t {
  /// The operators' configuration document.
  Config,
  /// The platform's list of hosts.
  Hosts,
};

inline constexpr std::size_t SharedKeyCount = 2;
inline constexpr std::array<SharedKey, SharedKeyCount> SharedKeys = {
    SharedKey::Config, SharedKey::Hosts};

/// What a node has of one key.
struct CopyState {
  /// 0 before the first value.
  Revision At;
  /// Time since the platform's service is known to have held this revision.
  Duration Age{};
};

/// What a node has of all keys, in the order of SharedKeys.
struct GossipDigest {
  std::array<CopyState, SharedKeyCount> Copies;
  /// In a question: whether the sender wants updates as they come, until it is
  /// silent for a while. In an answer: whether the receiver gets them.
  bool IsSubscription = false;
};

/// One value.
struct GossipUpdate {
  SharedKey Key = SharedKey::Config;
  CopyState State;
  std::string Value;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_CONFIG_GOSSIPMESSAGES_H
