//===- Mailbox.h - passes events to a waiting coroutine ---------*- C++ -*-===//
//
// A queue between a state machine and the coroutine that writes to one client.
// Both run on one thread, so the queue has no lock.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_HTTP_MAILBOX_H
#define OSPREYSPUR_HTTP_MAILBOX_H

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>
#include <utility>

namespace ospreyspur {

/// A queue of \p T with one reader.
template <typename T> class Mailbox {
public:
  explicit Mailbox(boost::asio::io_context &ioc)
      : Signal(ioc, boost::asio::steady_timer::time_point::max()) {}

  /// Adds \p item and wakes the reader.
  void post(T item) {
    Items.push_back(std::move(item));
    Signal.cancel();
  }

  /// Waits for the next item.
  boost::asio::awaitable<T> next() {
    constexpr auto Token = boost::asio::as_tuple(boost::asio::use_awaitable);
    while (Items.empty())
      co_await Signal.async_wait(Token);
    T item = std::move(Items.front());
    Items.pop_front();
    co_return item;
  }

private:
  boost::asio::steady_timer Signal;
  std::deque<T> Items;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_HTTP_MAILBOX_H
