//===- FakeStoreServer.h - the key-value store on a socket ------*- C++ -*-===//
//
// The reads and watches of the platform's key-value store over HTTP. Writes are
// made by the test. Other calls are refused. Reads that may be stale can be
// made to return pages of different age.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_UNITTESTS_FAKESTORESERVER_H
#define OSPREYSPUR_UNITTESTS_FAKESTORESERVER_H

#include "ospreyspur/Http/HttpServer.h"
#include "ospreyspur/Support/Ids.h"
#include "ospreyspur/Support/Time.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ospreyspur::test {

/// A store on one io_context's thread.
class FakeStoreServer {
public:
  explicit FakeStoreServer(boost::asio::io_context &ioc);

  const TcpAddress &address() const { return Address; }
  void write(const std::string &key, const std::string &value);
  void remove(const std::string &key);
  /// The revision of the last change.
  Revision revision() const { return Revision(Last); }
  /// Limits the number of items on a page of a list.
  void setPageItems(std::size_t n) { PageItems = n; }
  /// From now on, reads that may be stale return page \p page of a list,
  /// counted from 0, as it was at revision \p at.
  void setStalePage(unsigned page, Revision at) { StalePages[page] = at; }
  /// Whether to refuse watches, as the store may do to some processes.
  void refuseWatches(bool areRefused) { AreWatchesRefused = areRefused; }
  /// For \p span no reply is sent. A connection on which a reply was due says
  /// nothing from then on, though it stays open.
  void loseReplies(Duration span) { RepliesLostUntil = monotonicNow() + span; }
  /// Number of watches received.
  unsigned watchCount() const { return Watches; }
  /// Number of pages of lists that were read.
  unsigned pageCount() const { return PagesRead; }

private:
  /// One change of a key; no value if it was removed.
  struct Change {
    std::uint64_t At = 0;
    std::string Key;
    std::optional<std::string> Value;
  };
  using Params = std::map<std::string, std::string>;

  boost::asio::awaitable<void> handle(HttpExchange &exchange);
  boost::asio::awaitable<void> awaitChange(std::string prefix,
                                           std::uint64_t after, Duration wait);
  boost::json::object formatPage(const Params &params);
  boost::json::object formatEvents(const std::string &prefix,
                                   std::uint64_t after) const;
  std::map<std::string, Change> itemsAt(std::uint64_t revision) const;

  std::vector<Change> History;
  std::uint64_t Last = 1;
  unsigned Watches = 0;
  unsigned PagesRead = 0;
  std::size_t PageItems = std::numeric_limits<std::size_t>::max();
  std::map<unsigned, Revision> StalePages;
  /// The number of the page that begins after a key, as last read.
  std::map<std::string, unsigned> PageNumbers;
  bool AreWatchesRefused = false;
  TimePoint RepliesLostUntil;
  /// Never expires; what waits for it never replies.
  boost::asio::steady_timer Never;
  /// Never expires; a write cancels all waits for it.
  boost::asio::steady_timer Changed;
  HttpServer Server;
  TcpAddress Address;
};

} // namespace ospreyspur::test

#endif // OSPREYSPUR_UNITTESTS_FAKESTORESERVER_H
