//===- UnframedEndpoint.h - responses that end with their connection -*- C++
//-*-===//
//
// An endpoint whose responses have neither a length nor chunks. It sends the
// first half at once and the rest when the test says so, and can crash and
// restart at its address in between.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_UNITTESTS_PROCESS_UNFRAMEDENDPOINT_H
#define OSPREYSPUR_UNITTESTS_PROCESS_UNFRAMEDENDPOINT_H

#include "FreeAddress.h"

#include "ospreyspur/Support/Time.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace ospreyspur::test {

/// How an endpoint ends its response.
enum class UnframedEnd : std::uint8_t {
  /// It sends the rest and closes the connection.
  Whole,
  /// Its process exits.
  Crash,
  /// Its process exits, and another one listens at its address before anybody
  /// looks.
  CrashAndRestart,
  /// It closes the connection and replies to nothing any more.
  Silence,
};

/// How an endpoint replies to health checks.
enum class CheckReply : std::uint8_t {
  /// It replies to all and states its name.
  Named,
  /// It treats them like requests: it rejects those that are meant for another
  /// endpoint, and signs its responses to the others.
  LikeRequests,
  /// It rejects the first one because it is busy, and then states its name.
  BusyAtFirst,
  /// It rejects all because it is busy.
  Busy,
};

/// An endpoint on one io_context's thread.
class UnframedEndpoint {
public:
  using tcp = boost::asio::ip::tcp;

  UnframedEndpoint(boost::asio::io_context &ioc, std::string head,
                   std::string firstHalf, std::string secondHalf)
      : Context(ioc), Head(std::move(head)), FirstHalf(std::move(firstHalf)),
        SecondHalf(std::move(secondHalf)), Acceptor(ioc),
        Address(findFreeAddress()) {
    listen();
  }

  const tcp::endpoint &address() const { return Address; }
  const std::string &name() const { return Name; }
  /// Number of health checks that it rejected because it was busy.
  unsigned rejectedChecks() const { return RejectedChecks; }
  /// Number of requests that ran, health checks not counted.
  unsigned runs() const { return Runs; }
  /// How long the endpoint takes to reply to a health check.
  void setCheckDelay(Duration delay) { CheckDelay = delay; }
  void setCheckReply(CheckReply reply) { Reply = reply; }

  /// Closes the connections on which nothing was received.
  void closeIdle() {
    boost::system::error_code ec;
    for (const Socket &it : std::exchange(Idle, {})) {
      Open.erase(it);
      it->close(ec);
    }
  }

  void end(UnframedEnd how) {
    IsSilent = how == UnframedEnd::Silence;
    SendsRest = how == UnframedEnd::Whole;
    boost::system::error_code ec;
    if (how == UnframedEnd::Crash || how == UnframedEnd::CrashAndRestart) {
      Acceptor.close(ec);
      for (const Socket &it : std::exchange(Open, {}))
        it->close(ec);
    }
    if (how == UnframedEnd::CrashAndRestart) {
      Name += "-restarted";
      listen();
    }
    Ended.cancel();
  }

private:
  using Socket = std::shared_ptr<tcp::socket>;

  static constexpr auto AsTuple =
      boost::asio::as_tuple(boost::asio::use_awaitable);

  static constexpr std::string_view Misdirected =
      "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
  static constexpr std::string_view Rejected =
      "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
      "Content-Length: 0\r\n\r\n";
  static constexpr std::string_view Signed =
      "HTTP/1.1 200 OK\r\nReplica-Stamp: s\r\nContent-Length: 0\r\n\r\n";

  void listen() {
    Acceptor.open(tcp::v4());
    Acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    Acceptor.bind(Address);
    Acceptor.listen();
    boost::asio::co_spawn(Context, acceptAll(), boost::asio::detached);
  }

  boost::asio::awaitable<void> acceptAll() {
    for (;;) {
      auto [ec, socket] = co_await Acceptor.async_accept(AsTuple);
      if (ec)
        co_return;
      auto kept = std::make_shared<tcp::socket>(std::move(socket));
      Open.insert(kept);
      Idle.insert(kept);
      boost::asio::co_spawn(Context, serve(kept), boost::asio::detached);
    }
  }

  static std::string headerOf(const std::string &text,
                              const std::string &name) {
    std::size_t at = text.find("\r\n" + name + ": ");
    if (at == std::string::npos)
      return "";
    at += name.size() + 4;
    return text.substr(at, text.find('\r', at) - at);
  }

  /// Serves the only request of a connection.
  boost::asio::awaitable<void> serve(Socket socket) {
    std::string text;
    auto [ec, n] = co_await boost::asio::async_read_until(
        *socket, boost::asio::dynamic_buffer(text), "\r\n\r\n", AsTuple);
    Idle.erase(socket);
    if (!ec)
      co_await respond(socket, text);
    if (Open.erase(socket) == 1) {
      boost::system::error_code ignored;
      socket->close(ignored);
    }
  }

  boost::asio::awaitable<void> respond(const Socket &socket,
                                       const std::string &text) {
    std::string wanted = headerOf(text, "Expect-Replica");
    bool isOther = !wanted.empty() && wanted != Name;
    if (text.starts_with("GET /health")) {
      co_await replyToCheck(socket, isOther);
      co_return;
    }
    if (isOther) {
      co_await write(socket, std::string(Misdirected));
      co_return;
    }
    ++Runs;
    co_await write(socket, Head +
                               "Request-Id: " + headerOf(text, "Request-Id") +
                               "\r\n\r\n" + FirstHalf);
    Ended.expires_at(boost::asio::steady_timer::time_point::max());
    co_await Ended.async_wait(AsTuple);
    if (Open.contains(socket) && SendsRest)
      co_await write(socket, SecondHalf);
  }

  boost::asio::awaitable<void> replyToCheck(const Socket &socket,
                                            bool isOther) {
    boost::asio::steady_timer timer(
        Context, IsSilent ? Duration(std::chrono::hours(1)) : CheckDelay);
    co_await timer.async_wait(AsTuple);
    bool isBusy = Reply == CheckReply::Busy ||
                  (Reply == CheckReply::BusyAtFirst && RejectedChecks == 0);
    RejectedChecks += isBusy ? 1 : 0;
    if (isBusy)
      co_await write(socket, std::string(Rejected));
    else if (Reply == CheckReply::LikeRequests)
      co_await write(socket, std::string(isOther ? Misdirected : Signed));
    else
      co_await write(socket, "HTTP/1.1 200 OK\r\nReplica-Id: " + Name +
                                 "\r\nContent-Length: 0\r\n\r\n");
  }

  static boost::asio::awaitable<void> write(const Socket &socket,
                                            std::string data) {
    co_await boost::asio::async_write(*socket, boost::asio::buffer(data),
                                      AsTuple);
  }

  boost::asio::io_context &Context;
  std::string Head;
  std::string FirstHalf;
  std::string SecondHalf;
  std::string Name = "e0";
  tcp::acceptor Acceptor;
  tcp::endpoint Address;
  boost::asio::steady_timer Ended{Context};
  Duration CheckDelay{};
  CheckReply Reply = CheckReply::Named;
  unsigned RejectedChecks = 0;
  bool IsSilent = false;
  bool SendsRest = false;
  unsigned Runs = 0;
  std::set<Socket> Open;
  std::set<Socket> Idle;
};

} // namespace ospreyspur::test

#endif // OSPREYSPUR_UNITTESTS_PROCESS_UNFRAMEDENDPOINT_H
