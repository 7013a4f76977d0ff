//===- SettingsWatch.cpp - reloads a changed settings file ----------------===//
//
// See SettingsWatch.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/SettingsWatch.h"

#include "ospreyspur/Support/LogEvent.h"

#include <glog/logging.h>

#include <csignal>
#include <fstream>
#include <iterator>

using namespace ospreyspur;

static std::string readText(const std::string &path) {
  std::ifstream is(path, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(is), {});
}

SettingsWatch::SettingsWatch(boost::asio::io_context &ioc, std::string path,
                             std::function<void(SettingsReader &)> onChange)
    : Path(std::move(path)), OnChange(std::move(onChange)),
      Signals(ioc, SIGHUP), Timer(ioc), Text(readText(Path)) {}

void SettingsWatch::start() {
  waitForSignal();
  waitForTime();
}

void SettingsWatch::waitForSignal() {
  Signals.async_wait([this](boost::system::error_code ec, int /*signal*/) {
    if (ec)
      return;
    reloadIfChanged("signal");
    waitForSignal();
  });
}

void SettingsWatch::waitForTime() {
  Timer.expires_after(Interval);
  Timer.async_wait([this](boost::system::error_code ec) {
    if (ec)
      return;
    reloadIfChanged("time");
    waitForTime();
  });
}

void SettingsWatch::reloadIfChanged(const char *cause) {
  std::string text = readText(Path);
  if (text == Text)
    return;
  Text = std::move(text);
  SettingsReader reader(Text, Path);
  OnChange(reader);
  for (const SettingError &it : reader.errors())
    LOG(ERROR) << LogEvent("settings.refused")
                      .with("cause", cause)
                      .with("detail", toString(it));
  if (reader.errors().empty())
    LOG(INFO) << LogEvent("settings.reloaded").with("cause", cause);
}
