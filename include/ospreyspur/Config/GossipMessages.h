//===- GossipMessages.h - gossip digests and updates ------------*- C++ -*-===//
//
// Nodes compare their copies of the shared values with digests and send newer
// values with updates.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONFIG_GOSSIPMESSAGES_H
#define OSPREYSPUR_CONFIG_GOSSIPMESSAGES_H

#include "ospreyspur/Support/Ids.h"
#include "ospreyspur/Support/Time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace ospreyspur {

/// Values of the key-value store that every node has a copy of.
enum class SharedKey : std::uint8_t {
  /// The operators' configuration document.
  Config,
  /// The platform's host list; on the direct path, the endpoint list.
  Hosts,
};

inline constexpr std::size_t SharedKeyCount = 2;
inline constexpr std::array<SharedKey, SharedKeyCount> SharedKeys = {
    SharedKey::Config, SharedKey::Hosts};

/// Revision and age of a node's copy of one key.
struct CopyState {
  /// 0 until the node has a value.
  Revision At;
  /// Time since the key-value store was last known to hold this revision.
  Duration Age{};
};

/// Shows the receiver of a digest when that digest was sent, however long it
/// was under way or waited in a suspended process.
struct DigestEcho {
  /// GossipDigest::SentAt of the receiver's own last digest on the link.
  Duration SentAt{};
  /// Time since that digest arrived.
  Duration Age{};
};

/// The states of all of a node's copies, in the order of SharedKeys.
struct GossipDigest {
  std::array<CopyState, SharedKeyCount> Copies;
  /// In a request: whether the sender subscribes to updates; the subscription
  /// ends after GossipLimits::SubscriptionTime without another such digest. In
  /// a reply: whether the receiver is subscribed.
  bool IsSubscription = false;
  /// The sender's clock, in whole milliseconds.
  Duration SentAt{};
  /// Only in a reply; its ages are of no use without it.
  std::optional<DigestEcho> Echo = std::nullopt;
};

/// One value.
struct GossipUpdate {
  SharedKey Key = SharedKey::Config;
  CopyState State;
  std::string Value;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_CONFIG_GOSSIPMESSAGES_H
