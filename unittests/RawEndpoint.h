//===- RawEndpoint.h - an endpoint that sends given bytes -------*- C++ -*-===//
//
// Answers requests with the bytes of a script, whether or not they are a
// response. The last bytes may be repeated until the connection is closed.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_UNITTESTS_RAWENDPOINT_H
#define OSPREYSPUR_UNITTESTS_RAWENDPOINT_H

#include "FreeAddress.h"

#include "ospreyspur/Support/Time.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ospreyspur::test {

/// What a RawEndpoint sends for one request.
struct RawReply {
  /// "{id}" stands for the id of the request.
  std::string Bytes;
  /// Sent again and again after Bytes until the other side closes the
  /// connection. If empty, the endpoint closes it.
  std::string Repeated = {};
  /// The pause after each repetition.
  Duration Pause = {};
  /// Whether the endpoint resets the connection instead of closing it.
  bool EndsWithReset = false;
};

/// The replies of several endpoints to their requests, in the order in which
/// the requests arrive anywhere; the last one is used for all further requests.
struct RawScript {
  std::vector<RawReply> Replies;
  /// Whether health checks are requests like others. If not, they are answered
  /// properly.
  bool CoversChecks = false;
  /// Number of requests received.
  unsigned Runs = 0;
  /// Whether the last reply ends with a reset of its connection.
  bool EndsWithReset = false;
  /// Bytes written by repetitions.
  std::size_t RepeatedBytes = 0;
  /// Number of connections that the other side closed during repetitions.
  unsigned Closed = 0;
};

/// An endpoint on one io_context's thread.
class RawEndpoint {
public:
  using tcp = boost::asio::ip::tcp;

  RawEndpoint(boost::asio::io_context &ioc, std::string name, RawScript &script)
      : Name(std::move(name)), Script(script), Acceptor(ioc, findFreeAddress()),
        Address(Acceptor.local_endpoint()) {
    boost::asio::co_spawn(ioc, acceptAll(), boost::asio::detached);
  }

  const tcp::endpoint &address() const { return Address; }
  const std::string &name() const { return Name; }

private:
  using Socket = std::shared_ptr<tcp::socket>;

  static constexpr auto AsTuple =
      boost::asio::as_tuple(boost::asio::use_awaitable);

  boost::asio::awaitable<void> acceptAll() {
    for (;;) {
      auto [ec, socket] = co_await Acceptor.async_accept(AsTuple);
      if (ec)
        co_return;
      boost::asio::co_spawn(
          Acceptor.get_executor(),
          serve(std::make_shared<tcp::socket>(std::move(socket))),
          boost::asio::detached);
    }
  }

  static std::string idOf(const std::string &text) {
    static constexpr std::string_view Header = "\r\nRequest-Id: ";
    std::size_t at = text.find(Header);
    if (at == std::string::npos)
      return "";
    at += Header.size();
    return text.substr(at, text.find('\r', at) - at);
  }

  static std::string withId(std::string text, const std::string &id) {
    static constexpr std::string_view Gap = "{id}";
    for (std::size_t at = text.find(Gap); at != std::string::npos;
         at = text.find(Gap))
      text.replace(at, Gap.size(), id);
    return text;
  }

  boost::asio::awaitable<void> serve(Socket socket) {
    std::string text;
    for (;;) {
      auto [ec, n] = co_await boost::asio::async_read_until(
          *socket, boost::asio::dynamic_buffer(text), "\r\n\r\n", AsTuple);
      if (ec)
        co_return;
      bool isCheck = text.starts_with("GET /health");
      if (!isCheck || Script.CoversChecks) {
        co_await reply(socket, idOf(text));
        break;
      }
      text.erase(0, n);
      std::string out = "HTTP/1.1 200 OK\r\nReplica-Id: " + Name +
                        "\r\nContent-Length: 0\r\n\r\n";
      co_await boost::asio::async_write(*socket, boost::asio::buffer(out),
                                        AsTuple);
    }
    boost::system::error_code ignored;
    if (Script.EndsWithReset)
      socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
    else
      socket->shutdown(tcp::socket::shutdown_both, ignored);
    socket->close(ignored);
  }

  boost::asio::awaitable<void> reply(Socket socket, std::string id) {
    std::size_t number =
        std::min<std::size_t>(Script.Runs++, Script.Replies.size() - 1);
    RawReply next = Script.Replies[number];
    Script.EndsWithReset = next.EndsWithReset;
    std::string bytes = withId(next.Bytes, id);
    auto [ec, n] = co_await boost::asio::async_write(
        *socket, boost::asio::buffer(bytes), AsTuple);
    boost::system::error_code writeError = ec;
    boost::asio::steady_timer timer(Acceptor.get_executor());
    while (!writeError && !next.Repeated.empty()) {
      auto [repeatError, written] = co_await boost::asio::async_write(
          *socket, boost::asio::buffer(next.Repeated), AsTuple);
      Script.RepeatedBytes += written;
      writeError = repeatError;
      timer.expires_after(next.Pause);
      if (next.Pause > Duration::zero())
        co_await timer.async_wait(AsTuple);
    }
    if (writeError && !next.Repeated.empty())
      ++Script.Closed;
  }

  std::string Name;
  RawScript &Script;
  tcp::acceptor Acceptor;
  tcp::endpoint Address;
};

} // namespace ospreyspur::test

#endif // OSPREYSPUR_UNITTESTS_RAWENDPOINT_H
