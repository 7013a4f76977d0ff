//===- LinkGuard.h - what a peer may send on a link -------------*- C++ -*-===//
//
// Reads the HTTP/2 frames that a client sends on a link, and tells when the
// client sends more than a process of this system would. gRPC itself limits
// messages, but neither the number of streams, header fields and control frames
// nor what it keeps for them before the client has read the responses.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_RPC_LINKGUARD_H
#define OSPREYSPUR_RPC_LINKGUARD_H

#include "ospreyspur/Support/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ospreyspur {

/// Largest message on a link, in bytes.
inline constexpr std::size_t MaxLinkMessageBytes = 8U << 20U;

/// Checks the client's side of one connection.
class LinkGuard {
public:
  explicit LinkGuard(TimePoint now) : Streams(now), Controls(now) {}

  // Commands.

  /// Checks the next bytes. Returns false if the connection must be closed.
  bool check(std::string_view data, TimePoint now);

  // Queries.

  /// Number of complete messages.
  std::uint64_t messages() const { return Messages; }
  /// Size of the message of which a part has arrived; 0 if there is none.
  std::size_t openMessageBytes() const { return MessageBytes; }

private:
  /// How many of something may arrive: some at once, then so many a second.
  class Allowance {
  public:
    explicit Allowance(TimePoint now) : Since(now) {}
    /// Takes one; returns false if none is left.
    bool take(double burst, double perSecond, TimePoint now);

  private:
    TimePoint Since;
    double Used = 0;
  };

  static constexpr std::size_t FrameHeaderBytes = 9;
  static constexpr std::size_t PrefixBytes = 5;

  bool checkPreface(std::string_view &data);
  bool readFrameHeader(std::string_view &data, TimePoint now);
  bool beginFrame(TimePoint now);
  bool beginHeaders(TimePoint now);
  bool addHeaderBytes();
  bool readPayload(std::string_view &data);
  bool readMessages(std::string_view data);

  Allowance Streams;
  Allowance Controls;
  std::size_t PrefaceRead = 0;
  std::array<unsigned char, FrameHeaderBytes> Header{};
  std::size_t HeaderRead = 0;
  std::uint32_t FrameBytes = 0;
  std::uint8_t Type = 0;
  std::uint8_t Flags = 0;
  std::uint32_t Stream = 0;
  std::uint32_t LastStream = 0;
  std::size_t PayloadLeft = 0;
  /// Size of the header block that is not complete.
  std::size_t HeaderBlockBytes = 0;
  /// The flag and the length before a message.
  std::array<unsigned char, PrefixBytes> Prefix{};
  std::size_t PrefixRead = 0;
  std::size_t MessageBytes = 0;
  std::size_t MessageLeft = 0;
  std::uint64_t Messages = 0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_RPC_LINKGUARD_H
