//===- LinkListener.cpp - accepts connections for links -------------------===//
//
// See LinkListener.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Rpc/LinkListener.h"

#include "GuardedLink.h"

#include "ospreyspur/Support/LogEvent.h"
#include "ospreyspur/Support/Metrics.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <sys/stat.h>

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

using namespace ospreyspur;
namespace asio = boost::asio;
using asio::ip::tcp;

static constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

/// Size of the kernel's buffers of a connection, each way.
static constexpr int SocketBufferBytes = 256 << 10;
/// Pause after the kernel could not accept a connection.
static constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(20);
/// Pause after a connection was closed to make room for another one; gRPC
/// closes its end meanwhile.
static constexpr Duration EvictionDelay = std::chrono::milliseconds(2);
/// Seconds between two log lines about refused clients.
static constexpr double RefusalLogInterval = 0.1;

LinkListener::State::State(asio::io_context &ioc, const LinkLimits &limits,
                           Metrics *metrics, OnConnection onConnection)
    : Context(ioc), Acceptor(ioc), LocalAcceptor(ioc), Limits(limits),
      Measures(metrics), HandOver(std::move(onConnection)),
      MessageBytes(std::make_shared<ByteBudget>(limits.MessageBytes)) {}

void LinkListener::State::evict(GuardedLink &link, std::string_view reason) {
  if (Measures)
    Measures->count("clients_refused_total{listener=\"link\",reason=\"" +
                    std::string(reason) + "\"}");
  LOG_EVERY_T(INFO, RefusalLogInterval)
      << LogEvent("client.refused")
             .with("listener", "link")
             .with("reason", reason)
             .with("client", link.client().to_string())
             .with("connections", Links.size())
             .with("message_bytes", MessageBytes->used());
  link.close();
}

std::size_t LinkListener::State::countOwned() {
  std::erase_if(Owned, [](const OwnedSocket &it) {
    struct stat status {};
    return ::fstat(it.Descriptor, &status) != 0 || status.st_ino != it.Inode;
  });
  return Owned.size();
}

GuardedLink *LinkListener::State::findExpendable() const {
  auto it = std::min_element(
      Links.begin(), Links.end(), [](const auto &a, const auto &b) {
        return std::tuple(a.first->isProven(), a.first->provenAt()) <
               std::tuple(b.first->isProven(), b.first->provenAt());
      });
  return it == Links.end() ? nullptr : it->first;
}

GuardedLink *LinkListener::State::findLongestMessage() const {
  GuardedLink *out = nullptr;
  for (const auto &[link, owner] : Links)
    if (link->messageSince() &&
        (!out || *link->messageSince() < *out->messageSince()))
      out = link;
  return out;
}

LinkListener::LinkListener(asio::io_context &ioc, const LinkLimits &limits,
                           Metrics *metrics, OnConnection onConnection)
    : Shared(std::make_shared<State>(ioc, limits, metrics,
                                     std::move(onConnection))) {}

LinkListener::~LinkListener() { close(); }

Result<void> LinkListener::listen(const TcpAddress &address) {
  auto &acceptor = Shared->Acceptor;
  boost::system::error_code ec;
  acceptor.open(address.protocol(), ec);
  if (!ec)
    acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec)
    acceptor.set_option(
        asio::socket_base::receive_buffer_size(SocketBufferBytes), ec);
  if (!ec)
    acceptor.set_option(asio::socket_base::send_buffer_size(SocketBufferBytes),
                        ec);
  if (!ec)
    acceptor.bind(address, ec);
  if (!ec)
    acceptor.listen(asio::socket_base::max_listen_connections, ec);
  auto &local = Shared->LocalAcceptor;
  if (!ec)
    local.open(tcp::v4(), ec);
  if (!ec)
    local.bind({asio::ip::address_v4::loopback(), 0}, ec);
  if (!ec)
    local.listen(asio::socket_base::max_listen_connections, ec);
  if (!ec)
    local.non_blocking(true, ec);
  if (ec)
    return Error{ResultCode::SettingInvalid,
                 "cannot listen on " + address.address().to_string() + ":" +
                     std::to_string(address.port()) + ": " + ec.message()};
  asio::co_spawn(Shared->Context, acceptLoop(Shared), asio::detached);
  return boost::outcome_v2::success();
}

void LinkListener::trust(std::uint16_t port) {
  for (const auto &[link, owner] : Shared->Links)
    if (link->port() == port) {
      Shared->TrustedHosts.insert(link->client());
      LOG(INFO) << LogEvent("link.trusted")
                       .with("host", link->client().to_string())
                       .with("hosts", Shared->TrustedHosts.size());
      link->close();
      return;
    }
}

void LinkListener::close() {
  boost::system::error_code ignored;
  Shared->Acceptor.close(ignored);
  Shared->LocalAcceptor.close(ignored);
  for (const auto &[link, owner] : std::map(Shared->Links))
    link->close();
}

/// Connects \p own and \p other over loopback.
static boost::system::error_code
connectPair(tcp::acceptor &acceptor, tcp::socket &own, tcp::socket &other) {
  boost::system::error_code ec;
  own.connect(acceptor.local_endpoint(), ec);
  if (!ec)
    acceptor.accept(other, ec);
  // Other processes of this host may connect, too.
  while (!ec && other.remote_endpoint(ec) != own.local_endpoint()) {
    other.close(ec);
    acceptor.accept(other, ec);
  }
  if (!ec)
    other.native_non_blocking(true, ec);
  return ec;
}

/// Hands the connection of a trusted host over.
static boost::system::error_code handOver(LinkListener::State &state,
                                          tcp::socket client) {
  boost::system::error_code ec;
  client.set_option(tcp::no_delay(true), ec);
  client.native_non_blocking(true, ec);
  struct stat status {};
  if (ec || ::fstat(client.native_handle(), &status) != 0)
    return ec;
  state.Owned.push_back({client.native_handle(), status.st_ino});
  state.HandOver(client.release());
  return {};
}

/// Hands a connection over, or one end of another one and copies between its
/// other end and \p client.
static boost::system::error_code
admit(const std::shared_ptr<LinkListener::State> &state, tcp::socket client) {
  boost::system::error_code ignored;
  bool isTrusted =
      state->TrustedHosts.contains(client.remote_endpoint(ignored).address());
  if (isTrusted)
    return handOver(*state, std::move(client));
  tcp::socket own(state->Context);
  tcp::socket other(state->Context);
  if (auto ec = connectPair(state->LocalAcceptor, own, other))
    return ec;
  state->HandOver(other.release());
  auto link = std::make_shared<GuardedLink>(state, std::move(client),
                                            std::move(own), monotonicNow());
  state->Links.emplace(link.get(), link);
  link->start();
  return {};
}

asio::awaitable<void> LinkListener::acceptLoop(std::shared_ptr<State> state) {
  asio::steady_timer timer(state->Context);
  while (state->Acceptor.is_open()) {
    auto [ec, socket] = co_await state->Acceptor.async_accept(AsTuple);
    if (ec == asio::error::operation_aborted)
      break;
    bool isFull =
        state->Links.size() + state->countOwned() >= state->Limits.Connections;
    GuardedLink *expendable = state->findExpendable();
    if (!ec && isFull && expendable)
      state->evict(*expendable, "connections");
    if (!ec && (!isFull || expendable))
      ec = admit(state, std::move(socket));
    bool isOutOfDescriptors = ec == asio::error::no_descriptors;
    GuardedLink *link = isOutOfDescriptors ? state->findExpendable() : nullptr;
    if (link)
      state->evict(*link, "descriptors");
    if (!ec && !isFull)
      continue;
    timer.expires_after(ec ? AcceptRetryDelay : EvictionDelay);
    co_await timer.async_wait(AsTuple);
  }
}
