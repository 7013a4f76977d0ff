//===- RankRole.cpp - the process beside a rank ---------------------------===//
//
// The agent of a rank handles no callers' traffic, so one thread is sufficient.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/ListenerLimits.h"
#include "ospreyspur/Process/MetricsServer.h"
#include "ospreyspur/Process/RankAgent.h"
#include "ospreyspur/Process/Roles.h"
#include "ospreyspur/Process/SettingsWatch.h"
#include "ospreyspur/Support/LogEvent.h"

#include <boost/asio/signal_set.hpp>
#include <glog/logging.h>

#include <csignal>

using namespace ospreyspur;

Result<void> ospreyspur::runRank(const RankSettings &settings) {
  boost::asio::io_context ioc(1);
  Metrics measures;
  MetricsServer exporter(
      ioc, measures, findClientLimits(settings.Machine, CallerAccess::None));
  RankAgent agent(ioc, settings, measures, std::random_device{}());
  Result<void> started = agent.start();
  if (started && !settings.MetricsListen.empty())
    started = exporter.listen(settings.MetricsListen);
  if (!started)
    return started;
  boost::asio::signal_set signals(ioc, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code ec, int /*signal*/) {
    if (ec)
      return;
    LOG(INFO) << LogEvent("rank.stop").with("name", settings.Name);
    agent.stop();
    ioc.stop();
  });
  // A changed file is only validated; the agent applies its settings at the
  // next start.
  SettingsWatch watch(ioc, settings.File, [](SettingsReader &reader) {
    readRankSettings(reader);
    reader.finish();
  });
  watch.start();
  LOG(INFO) << LogEvent("rank.start")
                   .with("name", settings.Name)
                   .with("endpoint", settings.EndpointAddress);
  ioc.run();
  return boost::outcome_v2::success();
}
