//===- PlannedStop.cpp - ends a process without cutting requests ----------===//
//
// Polls the number of requests in flight; a stop is rare and short.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/PlannedStop.h"

#include "ospreyspur/Support/LogEvent.h"

#include <glog/logging.h>

#include <csignal>

using namespace ospreyspur;

static constexpr Duration PollInterval = std::chrono::milliseconds(50);

PlannedStop::PlannedStop(boost::asio::io_context &ioc, Duration limit,
                         Handlers handlers)
    : Limit(limit), Calls(std::move(handlers)), Signals(ioc, SIGTERM, SIGINT),
      Timer(ioc) {}

void PlannedStop::start() {
  Signals.async_wait([this](boost::system::error_code ec, int /*signal*/) {
    if (!ec)
      begin();
  });
}

void PlannedStop::begin() {
  LOG(INFO) << LogEvent("stop.begin");
  Deadline = monotonicNow() + Limit;
  Calls.Begin();
  poll();
}

void PlannedStop::poll() {
  Calls.CountInFlight([this](std::size_t n) { onCount(n); });
}

void PlannedStop::onCount(std::size_t inFlight) {
  bool isLate = monotonicNow() >= Deadline;
  if (inFlight == 0 || isLate) {
    LOG(INFO) << LogEvent("stop.end").with("cut_requests", inFlight);
    Calls.End();
    return;
  }
  Timer.expires_after(PollInterval);
  Timer.async_wait([this](boost::system::error_code ec) {
    if (!ec)
      poll();
  });
}
