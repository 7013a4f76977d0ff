//===- Reassembler.h - reassembles a response from its chunks ---*- C++ -*-===//
//
// Emits each byte of a response exactly once and in order, whatever the order
// in which chunks arrive. Chunks of an abandoned attempt are dropped.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_ROUTING_REASSEMBLER_H
#define OSPREYSPUR_ROUTING_REASSEMBLER_H

#include "ospreyspur/Support/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace ospreyspur {

/// Reassembles the chunks of one response.
class Reassembler {
public:
  /// Switches to \p attempt and drops the out-of-order chunks of any other.
  void beginAttempt(AttemptNumber attempt);

  /// Adds a chunk and returns the bytes that are now in order.
  std::string add(AttemptNumber attempt, std::uint64_t offset,
                  std::string data);

  /// Sets the total length of the response.
  void setLength(AttemptNumber attempt, std::uint64_t length);

  /// Whether the length is known and all bytes were emitted.
  bool isComplete() const { return Length && *Length == Next; }

  /// The offset of the next byte to emit.
  std::uint64_t nextOffset() const { return Next; }

  /// Bytes buffered because an earlier chunk is missing.
  std::size_t earlyBytes() const { return EarlyBytes; }

private:
  AttemptNumber Current{0};
  std::uint64_t Next = 0;
  std::optional<std::uint64_t> Length;
  std::map<std::uint64_t, std::string> Early;
  std::size_t EarlyBytes = 0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_ROUTING_REASSEMBLER_H
