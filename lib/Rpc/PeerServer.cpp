//===- PeerServer.cpp - gRPC callback server ------------------------------===//
//
// Each link has one reactor. A reactor deletes itself in OnDone, after which
// gRPC does not call it again.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Rpc/PeerServer.h"

#include "ospreyspur/Rpc/LinkWriter.h"

#include "generated/peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <map>
#include <mutex>

using namespace ospreyspur;

static constexpr int MaxEnvelopeBytes = 64 << 20;
/// Clients ping more rarely (LinkKeepAlive).
static constexpr int MinPingIntervalMs = 500;
/// A link that has fallen silent is given up by its client, which may not be
/// able to close it. The server then must, or descriptors would run out.
static constexpr int KeepaliveMs = 10000;
static constexpr int KeepaliveTimeoutMs = 3000;
static constexpr auto StopGrace = std::chrono::milliseconds(500);

namespace {
using ServerReactor = grpc::ServerBidiReactor<wire::Envelope, wire::Envelope>;

/// Called from OnDone of a link's reactor.
using DoneHandler = std::function<void(LinkId)>;

class ServerLink final : public ServerReactor {
public:
  ServerLink(LinkId id, const PeerServerHandlers &handlers, DoneHandler onDone)
      : Id(id), Handlers(handlers), Done(std::move(onDone)), Writer(*this) {}

  void start() { StartRead(&Incoming); }

  void send(const Message &message) {
    if (!Writer.send(message))
      closeOnce(grpc::Status(grpc::StatusCode::RESOURCE_EXHAUSTED,
                             "the peer reads too slowly"));
  }

  void closeOnce(const grpc::Status &status) {
    Writer.close();
    if (!IsFinishing.exchange(true))
      Finish(status);
  }

  void OnReadDone(bool isOk) override {
    if (!isOk) {
      closeOnce(grpc::Status::OK);
      return;
    }
    std::vector<Message> messages;
    for (const wire::Message &it : Incoming.messages())
      if (std::optional<Message> message = decode(it))
        messages.push_back(std::move(*message));
    Handlers.OnMessages(Id, std::move(messages));
    StartRead(&Incoming);
  }

  void OnWriteDone(bool isOk) override { Writer.onWriteDone(isOk); }

  void OnCancel() override { closeOnce(grpc::Status::CANCELLED); }

  void OnDone() override {
    Done(Id);
    delete this;
  }

private:
  LinkId Id;
  const PeerServerHandlers &Handlers;
  DoneHandler Done;
  LinkWriter<ServerLink> Writer;
  wire::Envelope Incoming;
  std::atomic<bool> IsFinishing = false;
};
} // namespace

class PeerServer::Impl final : public wire::Peer::CallbackService {
public:
  explicit Impl(PeerServerHandlers handlers) : Handlers(std::move(handlers)) {}

  ServerReactor *Link(grpc::CallbackServerContext * /*context*/) override {
    std::lock_guard lock(Mutex);
    LinkId id(++LastLink);
    auto onDone = [this](LinkId gone) { forget(gone); };
    auto *link = new ServerLink(id, Handlers, onDone);
    Links.emplace(id, link);
    link->start();
    return link;
  }

  void forget(LinkId id) {
    {
      std::lock_guard lock(Mutex);
      Links.erase(id);
    }
    Handlers.OnLinkDown(id);
  }

  PeerServerHandlers Handlers;
  std::mutex Mutex;
  std::uint64_t LastLink = 0;
  std::map<LinkId, ServerLink *> Links;
  std::unique_ptr<grpc::Server> Server;
};

PeerServer::PeerServer(PeerServerHandlers handlers)
    : Pimpl(std::make_unique<Impl>(std::move(handlers))) {}

PeerServer::~PeerServer() { stop(); }

Result<void> PeerServer::listen(const std::string &address) {
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
  builder.SetMaxReceiveMessageSize(MaxEnvelopeBytes);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddChannelArgument(
      GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, MinPingIntervalMs);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, KeepaliveMs);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepaliveTimeoutMs);
  builder.RegisterService(Pimpl.get());
  Pimpl->Server = builder.BuildAndStart();
  if (!Pimpl->Server || port == 0)
    return Error{ResultCode::SettingInvalid, "cannot listen on " + address};
  return boost::outcome_v2::success();
}

void PeerServer::send(LinkId link, const Message &message) {
  std::lock_guard lock(Pimpl->Mutex);
  auto it = Pimpl->Links.find(link);
  if (it != Pimpl->Links.end())
    it->second->send(message);
}

void PeerServer::stop() {
  if (!Pimpl->Server)
    return;
  Pimpl->Server->Shutdown(std::chrono::system_clock::now() + StopGrace);
  Pimpl->Server->Wait();
  Pimpl->Server.reset();
}
