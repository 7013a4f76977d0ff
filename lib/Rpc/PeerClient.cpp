//===- PeerClient.cpp - gRPC's callback client ----------------------------===//
//
// Retries of gRPC's own are off: whether something may be sent again is decided
// by the nodes.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Rpc/PeerClient.h"

#include "ospreyspur/Rpc/LinkWriter.h"

#include "generated/peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <mutex>

using namespace ospreyspur;

static constexpr int MaxEnvelopeBytes = 64 << 20;
static constexpr int KeepaliveMs = 30000;
static constexpr int KeepaliveTimeoutMs = 3000;
static constexpr int FirstReconnectMs = 100;
static constexpr int MaxReconnectMs = 1000;

namespace {
using ClientReactor = grpc::ClientBidiReactor<wire::Envelope, wire::Envelope>;

/// One stream; deletes itself when gRPC is done with it.
class ClientLink final : public ClientReactor {
public:
  ClientLink(wire::Peer::Stub &stub,
             std::function<void(std::vector<Message>)> onMessages,
             std::function<void()> onDone)
      : OnMessages(std::move(onMessages)), Done(std::move(onDone)),
        Writer(*this) {
    stub.async()->Link(&Context, this);
    // Writes come from other threads, outside of the reactions.
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
    OnMessages(std::move(messages));
    StartRead(&Incoming);
  }

  void OnWriteDone(bool isOk) override { Writer.onWriteDone(isOk); }

  void OnDone(const grpc::Status & /*status*/) override {
    Done();
    delete this;
  }

private:
  void dropHold() {
    if (!std::exchange(HasDroppedHold, true))
      RemoveHold();
  }

  std::function<void(std::vector<Message>)> OnMessages;
  std::function<void()> Done;
  grpc::ClientContext Context;
  LinkWriter<ClientLink> Writer;
  wire::Envelope Incoming;
  bool HasDroppedHold = false;
};
} // namespace

class PeerClient::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(std::string address, PeerClientHandlers handlers)
      : Address(std::move(address)), Handlers(std::move(handlers)) {
    grpc::ChannelArguments args;
    args.SetMaxReceiveMessageSize(MaxEnvelopeBytes);
    args.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    args.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, KeepaliveMs);
    args.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepaliveTimeoutMs);
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
    // A refused message means that OnDown is under way.
    if (!Current->send(message))
      Current->cancel();
  }

  void close() {
    std::lock_guard lock(Mutex);
    IsClosed = true;
    if (Current)
      Current->cancel();
  }

  const std::string Address;

private:
  void open() {
    auto self = shared_from_this();
    auto onMessages = [self](std::vector<Message> messages) {
      self->Handlers.OnMessages(std::move(messages));
    };
    auto onDone = [self] {
      {
        std::lock_guard lock(self->Mutex);
        self->Current = nullptr;
        if (self->IsClosed)
          return;
      }
      self->Handlers.OnDown();
    };
    Current = new ClientLink(*Stub, onMessages, onDone);
  }

  PeerClientHandlers Handlers;
  std::mutex Mutex;
  std::shared_ptr<grpc::Channel> Channel;
  std::unique_ptr<wire::Peer::Stub> Stub;
  ClientLink *Current = nullptr;
  bool IsClosed = false;
};

PeerClient::PeerClient(std::string address, PeerClientHandlers handlers)
    : Pimpl(std::make_shared<Impl>(std::move(address), std::move(handlers))) {}

PeerClient::~PeerClient() { Pimpl->close(); }

void PeerClient::send(const Message &message) { Pimpl->send(message); }

const std::string &PeerClient::address() const { return Pimpl->Address; }
