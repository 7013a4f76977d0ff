//===- LinkGuard.cpp - what a peer may send on a link ---------------------===//
//
// Frames are those of RFC 9113; a message has a prefix of a flag and a length.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Rpc/LinkGuard.h"

#include <algorithm>

using namespace ospreyspur;

static constexpr std::string_view Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

enum FrameType : std::uint8_t {
  DataFrame = 0,
  HeadersFrame = 1,
  SettingsFrame = 4,
  PingFrame = 6,
  WindowUpdateFrame = 8,
  ContinuationFrame = 9,
};
static constexpr std::uint8_t AckFlag = 1;
static constexpr std::uint8_t EndHeadersFlag = 4;
static constexpr std::uint8_t PaddedFlag = 8;

static constexpr std::size_t MaxControlFrameBytes = 16U << 10U;
static constexpr std::size_t MaxHeaderBlockBytes = 16U << 10U;
/// A link has one stream at a time; another one follows when it has failed.
static constexpr double StreamBurst = 16;
static constexpr double StreamsPerSecond = 2;
/// Pings that estimate the bandwidth, changes of the window's size.
static constexpr double ControlBurst = 200;
static constexpr double ControlsPerSecond = 100;

bool LinkGuard::Allowance::take(double burst, double perSecond, TimePoint now) {
  double seconds = std::chrono::duration<double>(now - Since).count();
  Since = now;
  Used = std::max(0.0, Used - seconds * perSecond) + 1;
  return Used <= burst;
}

bool LinkGuard::check(std::string_view data, TimePoint now) {
  if (!checkPreface(data))
    return false;
  while (!data.empty()) {
    bool isGood = HeaderRead < FrameHeaderBytes ? readFrameHeader(data, now)
                                                : readPayload(data);
    if (!isGood)
      return false;
  }
  return true;
}

bool LinkGuard::checkPreface(std::string_view &data) {
  std::size_t n = std::min(Preface.size() - PrefaceRead, data.size());
  if (Preface.substr(PrefaceRead, n) != data.substr(0, n))
    return false;
  PrefaceRead += n;
  data.remove_prefix(n);
  return true;
}

bool LinkGuard::readFrameHeader(std::string_view &data, TimePoint now) {
  std::size_t n = std::min(FrameHeaderBytes - HeaderRead, data.size());
  std::copy_n(data.begin(), n, Header.begin() + std::ptrdiff_t(HeaderRead));
  HeaderRead += n;
  data.remove_prefix(n);
  return HeaderRead < FrameHeaderBytes || beginFrame(now);
}

bool LinkGuard::beginFrame(TimePoint now) {
  auto byte = [this](std::size_t i) { return std::uint32_t(Header.at(i)); };
  FrameBytes = byte(0) << 16U | byte(1) << 8U | byte(2);
  Type = Header[3];
  Flags = Header[4];
  Stream = (byte(5) & 0x7fU) << 24U | byte(6) << 16U | byte(7) << 8U | byte(8);
  PayloadLeft = FrameBytes;
  if (PayloadLeft == 0)
    HeaderRead = 0;
  if (Type == DataFrame)
    return Stream != 0 && Stream == LastStream && (Flags & PaddedFlag) == 0;
  if (FrameBytes > MaxControlFrameBytes)
    return false;
  if (Type == HeadersFrame)
    return beginHeaders(now);
  if (Type == ContinuationFrame)
    return addHeaderBytes();
  // The others may acknowledge what this side has sent, at any rate.
  bool isAck =
      (Type == SettingsFrame || Type == PingFrame) && (Flags & AckFlag) != 0;
  return Type == WindowUpdateFrame || isAck ||
         Controls.take(ControlBurst, ControlsPerSecond, now);
}

bool LinkGuard::beginHeaders(TimePoint now) {
  if (Stream != LastStream) {
    LastStream = Stream;
    PrefixRead = 0;
    MessageBytes = 0;
    MessageLeft = 0;
  }
  HeaderBlockBytes = 0;
  return Streams.take(StreamBurst, StreamsPerSecond, now) && addHeaderBytes();
}

/// Counts a frame of the header block that is being read.
bool LinkGuard::addHeaderBytes() {
  // Each frame counts at least its header, as empty ones may follow forever.
  HeaderBlockBytes += FrameHeaderBytes + FrameBytes;
  if (HeaderBlockBytes > MaxHeaderBlockBytes)
    return false;
  if ((Flags & EndHeadersFlag) != 0)
    HeaderBlockBytes = 0;
  return true;
}

bool LinkGuard::readPayload(std::string_view &data) {
  std::size_t n = std::min(PayloadLeft, data.size());
  bool isGood = Type != DataFrame || readMessages(data.substr(0, n));
  data.remove_prefix(n);
  PayloadLeft -= n;
  if (PayloadLeft == 0)
    HeaderRead = 0;
  return isGood;
}

bool LinkGuard::readMessages(std::string_view data) {
  while (!data.empty()) {
    if (PrefixRead < PrefixBytes) {
      Prefix.at(PrefixRead++) = static_cast<unsigned char>(data.front());
      data.remove_prefix(1);
      if (PrefixRead < PrefixBytes)
        continue;
      auto byte = [this](std::size_t i) { return std::size_t(Prefix.at(i)); };
      MessageBytes = byte(1) << 24U | byte(2) << 16U | byte(3) << 8U | byte(4);
      MessageLeft = MessageBytes;
      if (MessageBytes > MaxLinkMessageBytes)
        return false;
    }
    std::size_t n = std::min(MessageLeft, data.size());
    MessageLeft -= n;
    data.remove_prefix(n);
    if (MessageLeft > 0)
      continue;
    ++Messages;
    MessageBytes = 0;
    PrefixRead = 0;
  }
  return true;
}
