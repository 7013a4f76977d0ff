//===- GuardedLink.h - one connection of a LinkListener ---------*- C++ -*-===//
//
// Copies what a client sends to gRPC if the LinkGuard allows it, and gRPC's
// responses to the client. Each direction has one small buffer: a client that
// does not read holds up gRPC, which then reads nothing from it.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_LIB_RPC_GUARDEDLINK_H
#define OSPREYSPUR_LIB_RPC_GUARDEDLINK_H

#include "ospreyspur/Rpc/LinkGuard.h"
#include "ospreyspur/Rpc/LinkListener.h"
#include "ospreyspur/Support/ByteReservation.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace ospreyspur {

class GuardedLink;

struct LinkListener::State {
  State(boost::asio::io_context &ioc, const LinkLimits &limits,
        Metrics *metrics, OnConnection onConnection);

  /// Closes a link and counts it.
  void evict(GuardedLink &link, std::string_view reason);
  /// The link to close when there are too many: of those that have not sent a
  /// message the oldest one, else the one that has sent none for longest. Null
  /// if there is no link.
  GuardedLink *findExpendable() const;
  /// The link whose incomplete large message began first; null if none has one.
  GuardedLink *findLongestMessage() const;

  /// A socket that gRPC owns. The number identifies it once the descriptor
  /// belongs to another file.
  struct OwnedSocket {
    int Descriptor;
    std::uint64_t Inode;
  };

  /// Number of sockets that gRPC owns and has not closed.
  std::size_t countOwned();

  boost::asio::io_context &Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  /// Accepts the connections of this process to itself.
  boost::asio::ip::tcp::acceptor LocalAcceptor;
  LinkLimits Limits;
  Metrics *Measures;
  OnConnection HandOver;
  std::shared_ptr<ByteBudget> MessageBytes;
  std::map<GuardedLink *, std::shared_ptr<GuardedLink>> Links;
  std::set<boost::asio::ip::address> TrustedHosts;
  /// The connections of trusted hosts.
  std::vector<OwnedSocket> Owned;
};

/// One connection; all functions run on the listener's thread.
class GuardedLink : public std::enable_shared_from_this<GuardedLink> {
public:
  GuardedLink(std::shared_ptr<LinkListener::State> listener,
              boost::asio::ip::tcp::socket client,
              boost::asio::ip::tcp::socket server, TimePoint now);

  /// Starts to copy in both directions.
  void start();
  void close();

  bool isProven() const { return Guard.messages() > 0; }
  bool isOpen() const { return Client.is_open(); }
  /// When the last message was complete, or the connection was accepted.
  TimePoint provenAt() const { return ProvenAt; }
  /// When the incomplete large message began; empty if there is none.
  std::optional<TimePoint> messageSince() const { return MessageSince; }
  /// The client's address.
  boost::asio::ip::address client() const;
  /// The port of this process's end inside the process.
  std::uint16_t port() const;

private:
  boost::asio::awaitable<void> copyRequests();
  boost::asio::awaitable<void> copyResponses();
  boost::asio::awaitable<void> awaitFirstMessage();
  bool admit(std::string_view data, TimePoint now);
  bool holdMessage(TimePoint now);

  std::shared_ptr<LinkListener::State> Listener;
  boost::asio::ip::tcp::socket Client;
  boost::asio::ip::tcp::socket Server;
  LinkGuard Guard;
  ByteReservation MessageBytes;
  TimePoint ProvenAt;
  std::optional<TimePoint> MessageSince;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_LIB_RPC_GUARDEDLINK_H
