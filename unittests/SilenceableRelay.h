//===- SilenceableRelay.h - a relay whose connections fall silent -*- C++
//-*-===//
//
// Forwards bytes between clients and a server on loopback addresses. silence()
// makes all open connections carry nothing more, without closing any of them:
// the kernel drops what arrives, acknowledgements and keep-alive probes
// included. New connections work.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_UNITTESTS_SILENCEABLERELAY_H
#define OSPREYSPUR_UNITTESTS_SILENCEABLERELAY_H

#include "FreeAddress.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <list>
#include <memory>

namespace ospreyspur::test {

/// A relay on one io_context's thread.
class SilenceableRelay {
public:
  using tcp = boost::asio::ip::tcp;

  SilenceableRelay(boost::asio::io_context &ioc, tcp::endpoint server)
      : Context(ioc), Server(std::move(server)), Address(findFreeAddress()),
        Acceptor(ioc, Address) {
    boost::asio::co_spawn(Context, acceptAll(), boost::asio::detached);
  }

  /// Where clients connect.
  const tcp::endpoint &address() const { return Address; }

  /// Number of connections that clients have opened.
  std::size_t connectionCount() const { return Pairs.size(); }

  void silence() {
    for (const std::shared_ptr<Pair> &it : Pairs) {
      it->IsSilent = true;
      if (it->Client.is_open())
        dropArrivals(it->Client);
    }
  }

private:
  /// The two connections that stand for one of a client.
  struct Pair {
    explicit Pair(tcp::socket client)
        : Client(std::move(client)), Server(Client.get_executor()) {}

    tcp::socket Client;
    tcp::socket Server;
    bool IsSilent = false;
  };
  using PairPointer = std::shared_ptr<Pair>;

  static constexpr auto AsTuple =
      boost::asio::as_tuple(boost::asio::use_awaitable);

  static void dropArrivals(tcp::socket &socket) {
    sock_filter dropAll = BPF_STMT(BPF_RET | BPF_K, 0);
    sock_fprog program{1, &dropAll};
    REQUIRE(::setsockopt(socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER,
                         &program, sizeof(program)) == 0);
  }

  boost::asio::awaitable<void> acceptAll() {
    for (;;) {
      auto [ec, socket] = co_await Acceptor.async_accept(AsTuple);
      if (ec)
        co_return;
      Pairs.push_back(std::make_shared<Pair>(std::move(socket)));
      boost::asio::co_spawn(Context, connect(Pairs.back()),
                            boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> connect(PairPointer pair) {
    auto [ec] = co_await pair->Server.async_connect(Server, AsTuple);
    if (ec) {
      pair->Client.close();
      co_return;
    }
    boost::asio::co_spawn(Context, pump(pair, pair->Client, pair->Server),
                          boost::asio::detached);
    boost::asio::co_spawn(Context, pump(pair, pair->Server, pair->Client),
                          boost::asio::detached);
  }

  static boost::asio::awaitable<void> pump(PairPointer pair, tcp::socket &from,
                                           tcp::socket &to) {
    std::array<char, 16384> buf{};
    for (;;) {
      auto [ec, n] =
          co_await from.async_read_some(boost::asio::buffer(buf), AsTuple);
      if (pair->IsSilent)
        co_return;
      boost::system::error_code ignored;
      if (ec) {
        to.close(ignored);
        co_return;
      }
      co_await boost::asio::async_write(to, boost::asio::buffer(buf, n),
                                        AsTuple);
    }
  }

  boost::asio::io_context &Context;
  tcp::endpoint Server;
  tcp::endpoint Address;
  tcp::acceptor Acceptor;
  std::list<PairPointer> Pairs;
};

} // namespace ospreyspur::test

#endif // OSPREYSPUR_UNITTESTS_SILENCEABLERELAY_H
