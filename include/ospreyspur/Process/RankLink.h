//===- RankLink.h - reading and ordering one rank ---------------*- C++ -*-===//
//
// Asks an endpoint for its state as a rank of a group and gives it orders.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_RANKLINK_H
#define OSPREYSPUR_PROCESS_RANKLINK_H

#include "ospreyspur/Experts/MapOrder.h"
#include "ospreyspur/Http/HttpClient.h"

#include <optional>
#include <tuple>

namespace ospreyspur {

/// One rank, on one io_context's thread.
class RankLink {
public:
  RankLink(boost::asio::io_context &ioc, TcpAddress address)
      : Client(ioc, std::move(address)) {}

  /// The rank's state with its placement and, if \p withCounts, its counts.
  /// Errors: PlatformTimeout, PlatformRefused, PlatformBadAnswer.
  boost::asio::awaitable<Result<RankStatus>> readStatus(bool withCounts);

  /// The rank's state without its placement and counts, which cost more from
  /// another host. Errors: PlatformTimeout, PlatformRefused,
  /// PlatformBadAnswer.
  boost::asio::awaitable<Result<RankStatus>> readReport();

  /// Gives \p order.
  boost::asio::awaitable<MapOrderResult> give(MapOrder order);

private:
  boost::asio::awaitable<Result<std::string>> fetch(HttpRequest request);
  boost::asio::awaitable<Result<void>> readCounts(RankStatus &out);
  boost::asio::awaitable<Result<void>> readPlacement(RankStatus &out);

  HttpClient Client;
  /// The placement as last read, and the map that it belongs to.
  RankPlacement Placement;
  std::optional<std::tuple<RankLife, FormationEpoch, MapVersion>> PlacementOf;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_RANKLINK_H
