//===- ControlPlane.cpp - following the platform's keys -------------------===//
//
// Each key has a follower and a timer; a follower has at most one watch out.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Control/ControlPlane.h"

#include "ospreyspur/Config/EventSchedule.h"
#include "ospreyspur/Support/LogEvent.h"

#include <glog/logging.h>

#include <ctime>

using namespace ospreyspur;

static constexpr Duration CallTimeout = std::chrono::seconds(2);

ControlPlane::ControlPlane(boost::asio::io_context &ioc,
                           PlatformClient &platform, SnapshotHandler onSnapshot)
    : Platform(platform), OnSnapshot(std::move(onSnapshot)),
      Config(std::string(ConfigKey), FollowerLimits()),
      Hosts(std::string(HostsKey), FollowerLimits()), ConfigTimer(ioc),
      HostsTimer(ioc), EventTimer(ioc) {}

void ControlPlane::start() {
  poll(Config, ConfigTimer);
  poll(Hosts, HostsTimer);
}

bool ControlPlane::isReady() const {
  return Config.revision().get() > 0 && Hosts.revision().get() > 0;
}

void ControlPlane::poll(KeyFollower &follower,
                        boost::asio::steady_timer &timer) {
  TimePoint now = monotonicNow();
  std::optional<KvCall> call = follower.nextCall(now);
  if (!call) {
    timer.expires_after(follower.resumeAt() - now);
    timer.async_wait([this, &follower, &timer](boost::system::error_code ec) {
      if (!ec)
        poll(follower, timer);
    });
    return;
  }
  auto onReply = [this, &follower, &timer](const KvReply &reply) {
    if (follower.onReply(reply, monotonicNow()))
      &follower == &Config ? takeConfig() : takeHosts();
    poll(follower, timer);
  };
  Platform.call(std::move(*call), CallTimeout, onReply);
}

void ControlPlane::takeConfig() {
  Result<ConfigDocument> document = parseConfig(Config.value());
  if (!document) {
    LOG(ERROR) << LogEvent("config.unreadable")
                      .with("revision", Config.revision().get())
                      .with("code",
                            static_cast<unsigned>(document.error().Code))
                      .with("detail", document.error().Detail);
    return;
  }
  Document = std::move(document.value());
  LOG(INFO)
      << LogEvent("config.in_force").with("revision", Config.revision().get());
  publish();
}

void ControlPlane::takeHosts() {
  Result<std::vector<EndpointView>> endpoints = parseHosts(Hosts.value());
  if (!endpoints) {
    LOG(ERROR) << LogEvent("hosts.unreadable")
                      .with("revision", Hosts.revision().get())
                      .with("detail", endpoints.error().Detail);
    return;
  }
  Endpoints = std::move(endpoints.value());
  LOG(INFO) << LogEvent("hosts.in_force")
                   .with("revision", Hosts.revision().get())
                   .with("endpoints", Endpoints.size());
  publish();
}

void ControlPlane::publish() {
  if (!isReady())
    return;
  std::int64_t now = std::time(nullptr);
  auto snapshot =
      std::make_shared<RoutingSnapshot>(makeSnapshot(Document, Endpoints, now));
  snapshot->ConfigRevision = Config.revision();
  snapshot->HostsRevision = Hosts.revision();
  OnSnapshot(std::move(snapshot));
  waitForEvent(now);
}

/// Publishes anew when an event next starts or ends.
void ControlPlane::waitForEvent(std::int64_t nowUnix) {
  EventTimer.cancel();
  std::optional<std::int64_t> next = findNextEventChange(Document, nowUnix);
  if (!next)
    return;
  EventTimer.expires_at(std::chrono::system_clock::from_time_t(*next));
  EventTimer.async_wait([this](boost::system::error_code ec) {
    if (!ec)
      publish();
  });
}
