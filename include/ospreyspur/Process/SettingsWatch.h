//===- SettingsWatch.h - reloads a changed settings file --------*- C++ -*-===//
//
// Reads the settings file on SIGHUP and at a fixed interval, and reloads the
// settings if the text has changed. Errors in the file are logged, and the
// settings in force stay.
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
  /// Time between two reads of the file.
  static constexpr Duration Interval = std::chrono::seconds(1);

  /// \p onChange reads the new text, calls SettingsReader::finish() and then
  /// applies the settings unless the reader has errors.
  SettingsWatch(boost::asio::io_context &ioc, std::string path,
                std::function<void(SettingsReader &)> onChange);

  void start();

private:
  void waitForSignal();
  void waitForTime();
  void reloadIfChanged(const char *cause);

  std::string Path;
  std::function<void(SettingsReader &)> OnChange;
  boost::asio::signal_set Signals;
  boost::asio::steady_timer Timer;
  /// The text as last read.
  std::string Text;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_SETTINGSWATCH_H
