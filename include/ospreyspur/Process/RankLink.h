//===- RankLink.h - status queries and orders to one rank -------*- C++ -*-===//
//
// Queries an endpoint for its state as a rank of a group and sends it orders.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_RANKLINK_H
#define OSPREYSPUR_PROCESS_RANKLINK_H

#include "ospreyspur/Experts/MapOrder.h"
#include "ospreyspur/Http/HttpClient.h"

#include <optional>
#include <tuple>

namespace ospreyspur {

/// A client of one rank, on one io_context's thread.
class RankLink {
public:
  RankLink(boost::asio::io_context &ioc, TcpAddress address)
      : Client(ioc, std::move(address)) {}

  /// Reads the rank's state with its expert placement and, if \p withCounts,
  /// how often each expert was selected. Errors: PlatformTimeout,
  /// PlatformRefused, PlatformBadAnswer.
  boost::asio::awaitable<Result<RankStatus>> readStatus(bool withCounts);

  /// Reads the rank's state without its placement and counts, which are more
  /// expensive to read from another host. Errors: PlatformTimeout,
  /// PlatformRefused, PlatformBadAnswer.
  boost::asio::awaitable<Result<RankStatus>> readReport();

  /// Sends \p order to the rank and returns the rank's result.
  boost::asio::awaitable<MapOrderResult> sendOrder(MapOrder order);

private:
  boost::asio::awaitable<Result<std::string>> fetch(HttpRequest request);
  boost::asio::awaitable<Result<void>> readCounts(RankStatus &out);
  boost::asio::awaitable<Result<void>> readPlacement(RankStatus &out);

  HttpClient Client;
  /// The placement as last read, and the map that it belongs to.
  RankPlacement Placement;
  std::optional<std::tuple<RankIncarnation, FormationEpoch, MapVersion>>
      PlacementOf;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_RANKLINK_H
