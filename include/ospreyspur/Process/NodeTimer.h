//===- NodeTimer.h - the timer of a state machine ---------------*- C++ -*-===//
//
// Keeps one timer set to the time at which a state machine is next due.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_NODETIMER_H
#define OSPREYSPUR_PROCESS_NODETIMER_H

#include "ospreyspur/Process/HostTimer.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>

namespace ospreyspur {

/// A timer on one io_context's thread.
class NodeTimer {
public:
  NodeTimer(boost::asio::io_context &ioc, std::function<void()> onDue)
      : Timer(ioc), OnDue(std::move(onDue)) {}

  /// Calls the handler at \p due, unless set() is called again before; cancels
  /// the timer if \p due is empty.
  void set(std::optional<TimePoint> due) {
    if (due == Due)
      return;
    Due = due;
    if (!due) {
      Timer.cancel();
      return;
    }
    Timer.expires_at(*due);
    Timer.async_wait([this](boost::system::error_code ec) {
      if (ec)
        return;
      Due.reset();
      OnDue();
    });
  }

private:
  HostTimer Timer;
  std::function<void()> OnDue;
  std::optional<TimePoint> Due;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_NODETIMER_H
