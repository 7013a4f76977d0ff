//===- PlannedStop.cpp - graceful shutdown of a process -------------------===//
//
// Polls the number of requests in flight. Notifications would not pay off, as a
// stop is rare and short.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/PlannedStop.h"

#include "ospreyspur/Support/LogEvent.h"

#include <glog/logging.h>

#include <csignal>

using namespace ospreyspur;

static constexpr Duration PollInterval = std::chrono::milliseconds(50);

PlannedStop::PlannedStop(boost::asio::io_context &ioc, StopSequence sequence,
                         Handlers handlers)
    : Sequence(sequence), Calls(std::move(handlers)),
      Signals(ioc, SIGTERM, SIGINT), Timer(ioc) {}

void PlannedStop::start() {
  Signals.async_wait([this](boost::system::error_code ec, int /*signal*/) {
    if (!ec)
      begin();
  });
}

void PlannedStop::begin() {
  LOG(INFO) << LogEvent("stop.begin");
  Sequence.begin(monotonicNow());
  Calls.Announce(Sequence.respondBy());
  poll();
}

void PlannedStop::poll() {
  Calls.QueryProgress([this](StopProgress progress) { onProgress(progress); });
}

void PlannedStop::onProgress(StopProgress progress) {
  StopPhase before = Sequence.phase();
  Sequence.advance(progress, monotonicNow());
  if (Sequence.phase() == StopPhase::Ended) {
    LOG(INFO) << LogEvent("stop.end").with("cut_requests", progress.InFlight);
    Calls.End();
    return;
  }
  if (Sequence.phase() == StopPhase::Draining &&
      before != StopPhase::Draining) {
    LOG(INFO) << LogEvent("stop.draining")
                     .with("in_flight", progress.InFlight)
                     .with("confirmed", progress.IsConfirmed);
    Calls.Close();
  }
  Timer.expires_after(PollInterval);
  Timer.async_wait([this](boost::system::error_code ec) {
    if (!ec)
      poll();
  });
}
