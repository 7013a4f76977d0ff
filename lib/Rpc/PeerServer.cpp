//===- PeerServer.cpp - gRPC callback server ------------------------------===//
//
// Each link has one reactor. A reactor deletes itself in OnDone, after which
// gRPC does not call it again. A thread of its own accepts connections and
// guards them.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Rpc/PeerServer.h"

#include "ospreyspur/Rpc/LinkGuard.h"
#include "ospreyspur/Rpc/LinkWriter.h"

#include "generated/peer.grpc.pb.h"

#include <boost/asio/post.hpp>
#include <grpcpp/grpcpp.h>

#include <atomic>
#include <cstdlib>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

using namespace ospreyspur;

/// Clients ping more rarely (LinkKeepAlive).
static constexpr int MinPingIntervalMs = 500;
/// A link that has fallen silent is given up by its client, which may not be
/// able to close it. The server then must, or descriptors would run out.
static constexpr int KeepaliveMs = 10000;
static constexpr int KeepaliveTimeoutMs = 3000;
/// How long a connection without a stream is kept.
static constexpr int UnusedConnectionMs = 30000;
static constexpr auto StopGrace = std::chrono::milliseconds(500);

using ConnectionAcceptor = grpc::experimental::ExternalConnectionAcceptor;
using ConnectionType =
    grpc::ServerBuilder::experimental_type::ExternalConnectionType;

namespace {
using ServerReactor = grpc::ServerBidiReactor<wire::Envelope, wire::Envelope>;

/// Called from OnDone of a link's reactor.
using DoneHandler = std::function<void(LinkId)>;

class ServerLink final : public ServerReactor {
public:
  ServerLink(LinkId id, std::string peer, const PeerServerHandlers &handlers,
             DoneHandler onDone)
      : Id(id), Peer(std::move(peer)), Handlers(handlers),
        Done(std::move(onDone)), Writer(*this) {}

  /// The port of the client's end, which is this process's own if the link is
  /// guarded; empty if this was called before.
  std::optional<std::uint16_t> takePort() {
    if (std::exchange(IsPortTaken, true))
      return std::nullopt;
    return static_cast<std::uint16_t>(
        std::strtoul(Peer.c_str() + Peer.rfind(':') + 1, nullptr, 10));
  }

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
  /// The client's address as gRPC writes it, "ipv4:ip:port".
  std::string Peer;
  bool IsPortTaken = false;
  const PeerServerHandlers &Handlers;
  DoneHandler Done;
  LinkWriter<ServerLink> Writer;
  wire::Envelope Incoming;
  std::atomic<bool> IsFinishing = false;
};
} // namespace

class PeerServer::Impl final : public wire::Peer::CallbackService {
public:
  Impl(PeerServerHandlers handlers, const LinkLimits &limits, Metrics *metrics)
      : Handlers(std::move(handlers)),
        Listener(Context, limits, metrics, [this](int fd) { handOver(fd); }) {}

  void handOver(int fd) {
    ConnectionAcceptor::NewConnectionParameters parameters;
    parameters.listener_fd = -1;
    parameters.fd = fd;
    Acceptor->HandleNewConnection(&parameters);
  }

  ServerReactor *Link(grpc::CallbackServerContext *context) override {
    std::lock_guard lock(Mutex);
    LinkId id(++LastLink);
    auto onDone = [this](LinkId gone) { forget(gone); };
    auto *link = new ServerLink(id, context->peer(), Handlers, onDone);
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
  std::unique_ptr<ConnectionAcceptor> Acceptor;
  boost::asio::io_context Context{1};
  LinkListener Listener;
  std::thread Thread;
};

PeerServer::PeerServer(PeerServerHandlers handlers, const LinkLimits &limits,
                       Metrics *metrics)
    : Pimpl(std::make_unique<Impl>(std::move(handlers), limits, metrics)) {}

PeerServer::~PeerServer() { stop(); }

Result<void> PeerServer::listen(const std::string &address) {
  Result<TcpAddress> parsed = parseAddress(address);
  if (!parsed)
    return parsed.error();
  grpc::ServerBuilder builder;
  Pimpl->Acceptor = builder.experimental().AddExternalConnectionAcceptor(
      ConnectionType::FROM_FD, grpc::InsecureServerCredentials());
  builder.SetMaxReceiveMessageSize(MaxLinkMessageBytes);
  builder.AddChannelArgument(GRPC_ARG_MAX_CONNECTION_IDLE_MS,
                             UnusedConnectionMs);
  builder.AddChannelArgument(
      GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, MinPingIntervalMs);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, KeepaliveMs);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepaliveTimeoutMs);
  builder.RegisterService(Pimpl.get());
  Pimpl->Server = builder.BuildAndStart();
  if (!Pimpl->Server)
    return Error{ResultCode::SettingInvalid, "cannot listen on " + address};
  Result<void> listening = Pimpl->Listener.listen(parsed.value());
  if (listening)
    Pimpl->Thread = std::thread([this] { Pimpl->Context.run(); });
  return listening;
}

void PeerServer::send(LinkId link, const Message &message) {
  std::lock_guard lock(Pimpl->Mutex);
  auto it = Pimpl->Links.find(link);
  if (it != Pimpl->Links.end())
    it->second->send(message);
}

void PeerServer::trust(LinkId link) {
  std::lock_guard lock(Pimpl->Mutex);
  auto it = Pimpl->Links.find(link);
  if (it == Pimpl->Links.end())
    return;
  if (std::optional<std::uint16_t> port = it->second->takePort())
    boost::asio::post(Pimpl->Context, [this, number = *port] {
      Pimpl->Listener.trust(number);
    });
}

void PeerServer::stop() {
  if (!Pimpl->Server)
    return;
  Pimpl->Server->Shutdown(std::chrono::system_clock::now() + StopGrace);
  Pimpl->Server->Wait();
  boost::asio::post(Pimpl->Context, [this] {
    Pimpl->Listener.close();
    Pimpl->Context.stop();
  });
  if (Pimpl->Thread.joinable())
    Pimpl->Thread.join();
  Pimpl->Server.reset();
}
