//===- DirectRole.cpp - the process of the direct path --------------------===//
//
// Creates and connects the control thread and the traffic thread of a direct
// entry.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Control/DirectControl.h"
#include "ospreyspur/Process/DirectTraffic.h"
#include "ospreyspur/Process/ListenerLimits.h"
#include "ospreyspur/Process/MetricsServer.h"
#include "ospreyspur/Process/PlannedStop.h"
#include "ospreyspur/Process/ProcessThreads.h"
#include "ospreyspur/Process/Roles.h"
#include "ospreyspur/Process/SettingsWatch.h"
#include "ospreyspur/Support/LogEvent.h"

#include <glog/logging.h>

#include <random>

using namespace ospreyspur;

namespace {
/// All components of a direct entry process.
class DirectProcess {
public:
  explicit DirectProcess(const DirectSettings &settings);

  /// Runs until a graceful shutdown is complete. Errors: SettingInvalid.
  Result<void> run();

private:
  boost::asio::awaitable<void> respondReady(HttpExchange &exchange);
  PlannedStop::Handlers makeStopHandlers();
  void reload(SettingsReader &reader);

  const DirectSettings &Settings;
  const ClientLimits Limits;
  ProcessThreads Threads;
  Metrics Measures;
  DirectTraffic Traffic;
  DirectControl Control;
  HttpServer Ready;
  MetricsServer Exporter;
  PlannedStop Stop;
  SettingsWatch Watch;
  bool IsStopping = false;
};
} // namespace

DirectProcess::DirectProcess(const DirectSettings &settings)
    : Settings(settings),
      Limits(findClientLimits(settings.Machine, CallerAccess::Listener)),
      Traffic(Threads.traffic(), settings, Measures, std::random_device{}(),
              [this](std::vector<RequestDigest> quarantined,
                     std::vector<RequestDigest> cleared) {
                Threads.postToControl([this, own = std::move(quarantined),
                                       cleared = std::move(cleared)]() mutable {
                  Control.setQuarantine(std::move(own), cleared);
                });
              }),
      Control(Threads.control(), settings, Measures, std::random_device{}(),
              [this](std::shared_ptr<const DirectSnapshot> it) {
                Threads.postToTraffic(
                    [this, it = std::move(it)] { Traffic.setSnapshot(it); });
              }),
      Ready(
          Threads.control(), makeServiceLimits(Limits, NoBodyBytes),
          [this](HttpExchange &it) { return respondReady(it); },
          makeServiceContext("ready", Limits, Measures)),
      Exporter(Threads.control(), Measures, Limits),
      Stop(Threads.control(), {settings.StopNotice, settings.StopLimit},
           makeStopHandlers()),
      Watch(Threads.control(), settings.File,
            [this](SettingsReader &reader) { reload(reader); }) {}

/// Applies changed retry limits at once; all other changed settings take effect
/// at the next start.
void DirectProcess::reload(SettingsReader &reader) {
  DirectSettings next = readDirectSettings(reader);
  reader.finish();
  if (!reader.errors().empty())
    return;
  Threads.postToTraffic([this, next] { Traffic.setRetries(next.Retries); });
}

boost::asio::awaitable<void> DirectProcess::respondReady(HttpExchange &it) {
  bool isReady = Control.isReady() && !IsStopping;
  co_await it.respond(isReady ? 200 : 503, "text/plain",
                      isReady ? "ready\n" : "not ready\n");
}

PlannedStop::Handlers DirectProcess::makeStopHandlers() {
  PlannedStop::Handlers handlers;
  handlers.Announce = [this](TimePoint respondBy) {
    IsStopping = true;
    Threads.postToTraffic(
        [this, respondBy] { Traffic.announceStop(respondBy); });
  };
  handlers.Close = [this] {
    Threads.postToTraffic([this] { Traffic.stopAccepting(); });
  };
  // The platform's load balancer does not confirm that it has seen the stop, so
  // IsConfirmed stays false and the whole notice period is waited out.
  handlers.QueryProgress = [this](std::function<void(StopProgress)> done) {
    Threads.postToTraffic([this, done = std::move(done)] {
      StopProgress progress{Traffic.busyCount(), false};
      Threads.postToControl([done, progress] { done(progress); });
    });
  };
  handlers.End = [this] {
    Control.stop();
    Threads.stop();
  };
  return handlers;
}

Result<void> DirectProcess::run() {
  Result<TcpAddress> ready = parseAddress(Settings.ReadyListen);
  if (!ready)
    return ready.error();
  for (const Result<void> &started :
       {Traffic.start(), Ready.listen(ready.value()), Control.start()})
    if (!started)
      return started;
  if (!Settings.MetricsListen.empty()) {
    Result<void> listening = Exporter.listen(Settings.MetricsListen);
    if (!listening)
      return listening;
  }
  Traffic.onProcessStarted();
  Stop.start();
  Watch.start();
  LOG(INFO) << LogEvent("direct.start")
                   .with("name", Settings.Name)
                   .with("listen", Settings.Listen)
                   .with("data_centre", Settings.DataCentre);
  Threads.run();
  return boost::outcome_v2::success();
}

Result<void> ospreyspur::runDirect(const DirectSettings &settings) {
  return DirectProcess(settings).run();
}
