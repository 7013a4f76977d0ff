//===- PeerClient.cpp - gRPC callback client ------------------------------===//
//
// The retries of gRPC are disabled, because the nodes decide whether a message
// may be sent again.
//
// The last reference to a channel must not be released on one of gRPC's own
// threads: that thread would then destroy the queue that it serves. A link
// holds a reference to its channel, so close() waits until the link has been
// deleted.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Rpc/PeerClient.h"

#include "ospreyspur/Rpc/LinkWriter.h"

#include "generated/peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <mutex>

using namespace ospreyspur;

static constexpr int MaxEnvelopeBytes = 64 << 20;
static constexpr int FirstReconnectMs = 100;
static constexpr int MaxReconnectMs = 1000;

namespace {
using ClientReactor = grpc::ClientBidiReactor<wire::Envelope, wire::Envelope>;

/// Callbacks of a ClientLink to its owner.
struct ClientLinkHandlers {
  std::function<void(std::vector<Message>)> OnMessages;
  /// The stream has ended; the link must not be used after this call.
  std::function<void()> OnEnded;
  /// The link has been deleted.
  std::function<void()> OnDeleted;
};

/// One stream. Deletes itself in OnDone, after which gRPC does not use it.
class ClientLink final : public ClientReactor {
public:
  ClientLink(wire::Peer::Stub &stub, ClientLinkHandlers handlers)
      : Handlers(std::move(handlers)), Writer(*this) {
    stub.async()->Link(&Context, this);
    // Other threads start writes outside the callbacks of the reactor. The hold
    // keeps gRPC from finishing the stream meanwhile.
    AddHold();
    StartRead(&Incoming);
    StartCall();
  }

  bool send(const Message &message) { return Writer.send(message); }

  void cancel() {
    Writer.close();
    Context.TryCancel();
  }

  void OnReadDone(bool isOk) override {
    if (!isOk) {
      Writer.close();
      dropHold();
      return;
    }
    std::vector<Message> messages;
    for (const wire::Message &it : Incoming.messages())
      if (std::optional<Message> message = decode(it))
        messages.push_back(std::move(*message));
    Handlers.OnMessages(std::move(messages));
    StartRead(&Incoming);
  }

  void OnWriteDone(bool isOk) override { Writer.onWriteDone(isOk); }

  void OnDone(const grpc::Status & /*status*/) override {
    Handlers.OnEnded();
    auto onDeleted = std::move(Handlers.OnDeleted);
    delete this;
    onDeleted();
  }

private:
  void dropHold() {
    if (!std::exchange(HasDroppedHold, true))
      RemoveHold();
  }

  ClientLinkHandlers Handlers;
  grpc::ClientContext Context;
  LinkWriter<ClientLink> Writer;
  wire::Envelope Incoming;
  bool HasDroppedHold = false;
};
} // namespace

class PeerClient::Impl {
public:
  Impl(std::string address, PeerClientHandlers handlers)
      : Address(std::move(address)), Handlers(std::move(handlers)) {
    grpc::ChannelArguments args;
    args.SetMaxReceiveMessageSize(MaxEnvelopeBytes);
    args.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    args.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS,
                static_cast<int>(toMillis(LinkKeepAlive::IdleTime)));
    // On Linux gRPC also closes a connection whose data stays unacknowledged
    // for this time.
    args.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS,
                static_cast<int>(toMillis(LinkKeepAlive::ReplyTimeout)));
    args.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    args.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, FirstReconnectMs);
    args.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, FirstReconnectMs);
    args.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectMs);
    Channel = grpc::CreateCustomChannel(
        Address, grpc::InsecureChannelCredentials(), args);
    Stub = wire::Peer::NewStub(Channel);
  }

  void send(const Message &message) {
    std::lock_guard lock(Mutex);
    if (IsClosed)
      return;
    if (!Current)
      open();
    // send() fails if the link has closed or the peer is too slow. OnDown
    // follows in both cases.
    if (!Current->send(message))
      Current->cancel();
  }

  /// Cancels the link and waits until it has been deleted.
  void close() {
    std::unique_lock lock(Mutex);
    IsClosed = true;
    if (Current)
      Current->cancel();
    Deleted.wait(lock, [this] { return LiveLinks == 0; });
  }

  const std::string Address;

private:
  void open() {
    ClientLinkHandlers handlers;
    handlers.OnMessages = [this](std::vector<Message> messages) {
      Handlers.OnMessages(std::move(messages));
    };
    handlers.OnEnded = [this] {
      std::lock_guard lock(Mutex);
      Current = nullptr;
    };
    handlers.OnDeleted = [this, onDown = Handlers.OnDown] {
      {
        std::lock_guard lock(Mutex);
        --LiveLinks;
        Deleted.notify_all();
        if (IsClosed)
          return;
      }
      // Once the lock is released, close() may return and this object may be
      // destroyed, so the handler must not use members.
      onDown();
    };
    ++LiveLinks;
    Current = new ClientLink(*Stub, std::move(handlers));
  }

  PeerClientHandlers Handlers;
  std::mutex Mutex;
  std::condition_variable Deleted;
  std::size_t LiveLinks = 0;
  std::shared_ptr<grpc::Channel> Channel;
  std::unique_ptr<wire::Peer::Stub> Stub;
  ClientLink *Current = nullptr;
  bool IsClosed = false;
};

PeerClient::PeerClient(std::string address, PeerClientHandlers handlers)
    : Pimpl(std::make_unique<Impl>(std::move(address), std::move(handlers))) {}

PeerClient::~PeerClient() { Pimpl->close(); }

void PeerClient::send(const Message &message) { Pimpl->send(message); }

const std::string &PeerClient::address() const { return Pimpl->Address; }
