//===- PlannedStop.h - graceful shutdown of a process -----------*- C++ -*-===//
//
// On SIGTERM or SIGINT the process goes through the phases of a StopSequence.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_PLANNEDSTOP_H
#define OSPREYSPUR_PROCESS_PLANNEDSTOP_H

#include "ospreyspur/Support/StopSequence.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace ospreyspur {

/// Handles the signals on the control thread.
class PlannedStop {
public:
  /// Callbacks into the process; called on the control thread.
  struct Handlers {
    /// Announces to others that the process will stop. Requests that have not
    /// ended at the argument are to get their final response then.
    std::function<void(TimePoint)> Announce;
    /// Stops accepting new requests.
    std::function<void()> Close;
    /// Passes the progress of the stop to its argument.
    std::function<void(std::function<void(StopProgress)>)> QueryProgress;
    /// Ends the process.
    std::function<void()> End;
  };

  PlannedStop(boost::asio::io_context &ioc, StopSequence sequence,
              Handlers handlers);

  /// Starts to listen for the signals.
  void start();

private:
  void begin();
  void poll();
  void onProgress(StopProgress progress);

  StopSequence Sequence;
  Handlers Calls;
  boost::asio::signal_set Signals;
  boost::asio::steady_timer Timer;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_PLANNEDSTOP_H
