//===- PlannedStop.h - ends a process without cutting requests --*- C++ -*-===//
//
// On SIGTERM or SIGINT: no new work, then wait until nothing is in flight or
// the operator's limit is reached, then end.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_PLANNEDSTOP_H
#define OSPREYSPUR_PROCESS_PLANNEDSTOP_H

#include "ospreyspur/Support/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>

namespace ospreyspur {

/// Watches for the signal on the control thread.
class PlannedStop {
public:
  /// What the stop needs from its process; called on the control thread.
  struct Handlers {
    /// Refuse new work.
    std::function<void()> Begin;
    /// Asks for the number of requests in flight.
    std::function<void(std::function<void(std::size_t)>)> CountInFlight;
    /// End the process.
    std::function<void()> End;
  };

  PlannedStop(boost::asio::io_context &ioc, Duration limit, Handlers handlers);

  /// Begins to listen for the signals.
  void start();

private:
  void begin();
  void poll();
  void onCount(std::size_t inFlight);

  Duration Limit;
  Handlers Calls;
  boost::asio::signal_set Signals;
  boost::asio::steady_timer Timer;
  TimePoint Deadline;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_PLANNEDSTOP_H
