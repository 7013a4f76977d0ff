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
#include <mutex>
#include <utility>

namespace ospreyspur {

/// Bytes that may be queued on one link before the peer is treated as too slow.
inline constexpr std::size_t MaxPendingLinkBytes = 32U << 20U;

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
    wire::Message *added = Pending.add_messages();
    encode(message, *added);
    PendingBytes += added->ByteSizeLong();
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
    if (IsWriting || IsClosed || Pending.messages_size() == 0)
      return;
    Writing.Swap(&Pending);
    Pending.Clear();
    PendingBytes = 0;
    IsWriting = true;
    Stream.StartWrite(&Writing);
  }

  Reactor &Stream;
  std::mutex Mutex;
  wire::Envelope Pending;
  wire::Envelope Writing;
  std::size_t PendingBytes = 0;
  bool IsWriting = false;
  bool IsClosed = false;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_RPC_LINKWRITER_H
