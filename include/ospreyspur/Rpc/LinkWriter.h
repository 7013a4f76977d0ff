//===- LinkWriter.h - batches messages onto one stream ----------*- C++ -*-===//
//
// gRPC allows one write at a time on a stream. Messages that are sent while a
// write is in progress are collected in one envelope, so that a busy link
// carries many messages in each write.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_RPC_LINKWRITER_H
#define OSPREYSPUR_RPC_LINKWRITER_H

#include "ospreyspur/Rpc/Codec.h"

#include "generated/peer.pb.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <utility>

namespace ospreyspur {

/// Bytes that may be queued on one link before the peer is treated as too slow.
inline constexpr std::size_t MaxPendingLinkBytes = 32U << 20U;

/// An envelope of this size gets no more messages.
inline constexpr std::size_t MaxEnvelopeBytes = 1U << 20U;

/// The sending side of one stream. \p Reactor is the stream's gRPC reactor.
template <typename Reactor> class LinkWriter {
public:
  explicit LinkWriter(Reactor &reactor) : Stream(reactor) {}

  /// Sends \p message now or with the next envelope. Returns false if the link
  /// has closed or the peer is too slow.
  bool send(const Message &message) {
    std::lock_guard lock(Mutex);
    if (IsClosed || PendingBytes > MaxPendingLinkBytes)
      return false;
    if (Pending.empty() || LastEnvelopeBytes > MaxEnvelopeBytes) {
      Pending.emplace_back();
      LastEnvelopeBytes = 0;
    }
    wire::Message *added = Pending.back().add_messages();
    encode(message, *added);
    std::size_t n = added->ByteSizeLong();
    LastEnvelopeBytes += n;
    PendingBytes += n;
    startWrite();
    return true;
  }

  /// Must be called from the reactor's OnWriteDone.
  void onWriteDone(bool isOk) {
    std::lock_guard lock(Mutex);
    IsWriting = false;
    if (isOk)
      startWrite();
    else
      IsClosed = true;
  }

  /// Starts no further writes after this call.
  void close() {
    std::lock_guard lock(Mutex);
    IsClosed = true;
  }

private:
  void startWrite() {
    if (IsWriting || IsClosed || Pending.empty())
      return;
    Writing.Swap(&Pending.front());
    Pending.pop_front();
    std::size_t n = 0;
    for (const wire::Message &it : Writing.messages())
      n += it.ByteSizeLong();
    PendingBytes -= n;
    IsWriting = true;
    Stream.StartWrite(&Writing);
  }

  Reactor &Stream;
  std::mutex Mutex;
  /// Envelopes to be written; messages are added to the last one.
  std::deque<wire::Envelope> Pending;
  wire::Envelope Writing;
  std::size_t PendingBytes = 0;
  std::size_t LastEnvelopeBytes = 0;
  bool IsWriting = false;
  bool IsClosed = false;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_RPC_LINKWRITER_H
