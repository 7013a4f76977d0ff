//===- SettingsWatch.h - notices a changed settings file --------*- C++ -*-===//
//
// Reads the settings file again on SIGHUP and when its text has changed. A file
// with faults is logged and the settings in force stay.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_SETTINGSWATCH_H
#define OSPREYSPUR_PROCESS_SETTINGSWATCH_H

#include "ospreyspur/Config/SettingsReader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace ospreyspur {

/// Watches one file on one io_context's thread.
class SettingsWatch {
public:
  /// Between two looks at the file.
  static constexpr Duration Interval = std::chrono::seconds(1);

  /// \p onChange reads the new text and puts it into force unless the reader
  /// has errors afterwards; it calls SettingsReader::finish() itself.
  SettingsWatch(boost::asio::io_context &ioc, std::string path,
                std::function<void(SettingsReader &)> onChange);

  void start();

private:
  void waitForSignal();
  void waitForTime();
  void look(const char *cause);

  std::string Path;
  std::function<void(SettingsReader &)> OnChange;
  boost::asio::signal_set Signals;
  boost::asio::steady_timer Timer;
  /// The text as last read.
  std::string Text;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_SETTINGSWATCH_H
