//===- RankLink.cpp - status queries and orders to one rank ---------------===//
//
// See RankLink.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/RankLink.h"

#include "platform/RankWire.h"

using namespace ospreyspur;
namespace asio = boost::asio;

/// A rank on the same host responds within 1 to 2 ms.
static constexpr Duration CallTimeout = std::chrono::milliseconds(400);

asio::awaitable<Result<std::string>> RankLink::fetch(HttpRequest request) {
  Result<HttpResponse> response = co_await Client.call(
      std::move(request), CallTimeout, ResendPolicy::AfterLostConnection);
  if (!response)
    co_return response.error();
  if (response.value().result_int() != 200)
    co_return Error{ResultCode::PlatformBadAnswer,
                    "the rank's HTTP status is not 200"};
  co_return std::move(response.value().body());
}

asio::awaitable<Result<RankStatus>> RankLink::readReport() {
  HttpRequest report = platform::makeReportCall();
  Result<std::string> body = co_await fetch(std::move(report));
  if (!body)
    co_return body.error();
  co_return platform::readReport(body.value());
}

asio::awaitable<Result<RankStatus>> RankLink::readStatus(bool withCounts) {
  Result<RankStatus> status = co_await readReport();
  if (!status || status.value().Group.get().empty())
    co_return status;
  Result<void> read = boost::outcome_v2::success();
  if (withCounts)
    read = co_await readCounts(status.value());
  if (read)
    read = co_await readPlacement(status.value());
  if (!read)
    co_return read.error();
  co_return status;
}

asio::awaitable<Result<void>> RankLink::readCounts(RankStatus &out) {
  HttpRequest request = platform::makeCountsCall();
  Result<std::string> body = co_await fetch(std::move(request));
  if (!body)
    co_return body.error();
  Result<std::vector<std::uint64_t>> counts =
      platform::readCounts(body.value());
  if (!counts)
    co_return counts.error();
  out.Counts = std::move(counts.value());
  co_return boost::outcome_v2::success();
}

/// Reads the rank's placement unless it is known already: a placement changes
/// only with the rank's incarnation, the group's formation or the map.
asio::awaitable<Result<void>> RankLink::readPlacement(RankStatus &out) {
  std::tuple wanted(out.Incarnation, out.Formation, out.Map);
  if (PlacementOf != wanted) {
    HttpRequest request = platform::makePlacementCall();
    Result<std::string> body = co_await fetch(std::move(request));
    if (!body)
      co_return body.error();
    Result<RankPlacement> placement = platform::readPlacement(body.value());
    if (!placement)
      co_return placement.error();
    Placement = std::move(placement.value());
    PlacementOf = wanted;
  }
  out.Placement = Placement;
  co_return boost::outcome_v2::success();
}

asio::awaitable<MapOrderResult> RankLink::sendOrder(MapOrder order) {
  HttpRequest request = platform::makeOrderCall(order);
  // Retry at once if the connection is lost: a second copy of the order has the
  // same fencing token and the same effect, and a step that waits for the order
  // must not wait until the coordinator retries.
  Result<HttpResponse> response = co_await Client.call(
      std::move(request), CallTimeout, ResendPolicy::AfterLostConnection);
  if (response)
    co_return platform::readOrderResult(response.value().result_int());
  // The order may have arrived, unless there was no connection to send it on.
  co_return MapOrderResult::Unanswered;
}
