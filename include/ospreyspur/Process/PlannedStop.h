//===- PlannedStop.h - ends a process without cutting requests --*- C++ -*-===//
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

/// Watches for the signal on the control thread.
class PlannedStop {
public:
  /// What the stop needs from its process; called on the control thread.
  struct Handlers {
    /// Say that the process will stop.
    std::function<void()> Announce;
    /// Take no new work.
    std::function<void()> Close;
    /// Asks how far the stop is.
    std::function<void(std::function<void(StopProgress)>)> AskProgress;
    /// End the process.
    std::function<void()> End;
  };

  PlannedStop(boost::asio::io_context &ioc, StopSequence sequence,
              Handlers handlers);

  /// Begins to listen for the signals.
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
