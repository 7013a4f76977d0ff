//===- Reassembler.h - puts an answer's pieces in order ---------*- C++ -*-===//
//
// Passes on each byte of an answer once and in order, whatever the order in
// which pieces arrive. Pieces of an attempt that was given up are dropped.
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

/// Orders the pieces of one answer.
class Reassembler {
public:
  /// Goes over to \p attempt; what arrived early for another is dropped.
  void beginAttempt(AttemptNumber attempt);

  /// Takes in a piece and gives the bytes that are now in order.
  std::string add(AttemptNumber attempt, std::uint64_t offset,
                  std::string data);

  /// Takes in where the answer ends.
  void setLength(AttemptNumber attempt, std::uint64_t length);

  /// Whether all bytes up to the known end were passed on.
  bool isComplete() const { return Length && *Length == Next; }

  /// The offset of the next byte to pass on.
  std::uint64_t nextOffset() const { return Next; }

  /// Bytes held because an earlier piece is missing.
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
