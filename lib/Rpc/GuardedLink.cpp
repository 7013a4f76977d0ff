//===- GuardedLink.cpp - one connection of a LinkListener -----------------===//
//
// See GuardedLink.h.
//
//===----------------------------------------------------------------------===//

#include "GuardedLink.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <tuple>
#include <utility>

using namespace ospreyspur;
namespace asio = boost::asio;

static constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

static constexpr std::size_t CopyBytes = 16U << 10U;
/// Smaller messages are not counted.
static constexpr std::size_t SmallMessageBytes = 64U << 10U;
/// A process of this system sends a message as soon as it has connected.
static constexpr Duration FirstMessageTime = std::chrono::seconds(5);

GuardedLink::GuardedLink(std::shared_ptr<LinkListener::State> listener,
                         asio::ip::tcp::socket client,
                         asio::ip::tcp::socket server, TimePoint now)
    : Listener(std::move(listener)), Client(std::move(client)),
      Server(std::move(server)), Guard(now),
      MessageBytes(Listener->MessageBytes), ProvenAt(now) {
  boost::system::error_code ignored;
  Client.set_option(asio::ip::tcp::no_delay(true), ignored);
  Server.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void GuardedLink::start() {
  for (auto run : {&GuardedLink::copyRequests, &GuardedLink::copyResponses,
                   &GuardedLink::awaitFirstMessage})
    asio::co_spawn(Listener->Context, (this->*run)(),
                   [self = shared_from_this()](const std::exception_ptr &) {});
}

void GuardedLink::close() {
  boost::system::error_code ignored;
  Client.close(ignored);
  Server.close(ignored);
  MessageBytes.reset();
  MessageSince.reset();
  Listener->Links.erase(this);
}

asio::ip::address GuardedLink::client() const {
  boost::system::error_code ec;
  return Client.remote_endpoint(ec).address();
}

std::uint16_t GuardedLink::port() const {
  boost::system::error_code ec;
  return Server.local_endpoint(ec).port();
}

asio::awaitable<void> GuardedLink::copyRequests() {
  std::array<char, CopyBytes> buf;
  while (isOpen()) {
    auto [ec, n] = co_await Client.async_read_some(asio::buffer(buf), AsTuple);
    if (ec)
      break;
    if (!admit({buf.data(), n}, monotonicNow())) {
      if (isOpen())
        Listener->evict(*this, "excess");
      co_return;
    }
    auto [writeError, written] =
        co_await asio::async_write(Server, asio::buffer(buf, n), AsTuple);
    if (writeError)
      break;
  }
  close();
}

asio::awaitable<void> GuardedLink::copyResponses() {
  std::array<char, CopyBytes> buf;
  while (isOpen()) {
    auto [ec, n] = co_await Server.async_read_some(asio::buffer(buf), AsTuple);
    if (ec)
      break;
    auto [writeError, written] =
        co_await asio::async_write(Client, asio::buffer(buf, n), AsTuple);
    if (writeError)
      break;
  }
  close();
}

asio::awaitable<void> GuardedLink::awaitFirstMessage() {
  asio::steady_timer timer(Listener->Context, FirstMessageTime);
  co_await timer.async_wait(AsTuple);
  if (isOpen() && !isProven())
    Listener->evict(*this, "no_message");
}

bool GuardedLink::admit(std::string_view data, TimePoint now) {
  std::uint64_t before = Guard.messages();
  if (!Guard.check(data, now))
    return false;
  if (Guard.messages() != before) {
    ProvenAt = now;
    MessageBytes.reset();
    MessageSince.reset();
  }
  return holdMessage(now);
}

/// Takes memory for the incomplete message. If there is none left, clients lose
/// theirs whose messages began earlier.
bool GuardedLink::holdMessage(TimePoint now) {
  std::size_t n = Guard.openMessageBytes();
  if (n <= SmallMessageBytes || MessageSince)
    return true;
  while (!MessageBytes.grow(n)) {
    GuardedLink *longest = Listener->findLongestMessage();
    if (!longest)
      return false;
    Listener->evict(*longest, "memory");
  }
  MessageSince = now;
  return true;
}
