//===- DirectTraffic.h - traffic thread of the direct path ------*- C++ -*-===//
//
// Turns callers' requests into inputs of a DirectNode, and the node's actions
// into attempts and responses.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_DIRECTTRAFFIC_H
#define OSPREYSPUR_PROCESS_DIRECTTRAFFIC_H

#include "ospreyspur/Config/ClientLimits.h"
#include "ospreyspur/Config/Settings.h"
#include "ospreyspur/Control/DirectControl.h"
#include "ospreyspur/Direct/DirectNode.h"
#include "ospreyspur/Http/EndpointPool.h"
#include "ospreyspur/Http/HttpServer.h"
#include "ospreyspur/Process/DirectCall.h"
#include "ospreyspur/Process/HostTimer.h"
#include "ospreyspur/Process/LoadExchange.h"
#include "ospreyspur/Process/NodeTimer.h"
#include "ospreyspur/Support/Metrics.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace ospreyspur {

/// The traffic side of a direct entry; all functions run on its thread.
class DirectTraffic {
public:
  /// Takes the requests that are quarantined, and those that have been cleared.
  using OnQuarantine = std::function<void(std::vector<RequestDigest>,
                                          std::vector<RequestDigest>)>;

  /// \p onQuarantine is called on each change of the quarantined requests.
  DirectTraffic(boost::asio::io_context &ioc, const DirectSettings &settings,
                Metrics &metrics, std::uint64_t seed,
                OnQuarantine onQuarantine = nullptr);

  /// Starts to listen. Callers are queued until the first snapshot is known,
  /// but only for a short time. Errors: SettingInvalid.
  Result<void> start();
  void setSnapshot(const std::shared_ptr<const DirectSnapshot> &snapshot);
  /// Starts the retry budget. Earlier incarnations of this process may have
  /// spent a part of it, and listed entries from which no report has been
  /// received share it.
  /// Call once, when the process starts.
  void onProcessStarted() { Node.onProcessStarted(monotonicNow()); }
  void setRetries(const RetryLimits &limits) { Node.setRetries(limits); }
  /// From now on responses close their connections, so that callers connect to
  /// another entry. Requests that have not ended at \p respondBy end then.
  void announceStop(TimePoint respondBy);
  /// Refuses further requests; requests in flight continue.
  void stopAccepting();
  std::size_t busyCount() const { return Server.busyCount(); }

private:
  boost::asio::awaitable<void> handle(HttpExchange &exchange);
  boost::asio::awaitable<void> serve(HttpExchange &exchange, DirectCall &call);
  boost::asio::awaitable<void> refuse(HttpExchange &exchange, DirectCall &call,
                                      EndCall end);
  Result<DirectRequest> readRequest(const HttpRequest &request);
  boost::asio::awaitable<void> attempt(HttpExchange &exchange, DirectCall &call,
                                       StartAttempt order);
  void apply(DirectActions actions);
  void perform(QueryEndpoint &action);
  void perform(CheckEndpoint &action);
  void perform(StopAttempt &action);
  /// Passes an action of a call to the call's coroutine.
  template <typename Action> void perform(Action &action) {
    auto it = Calls.find(action.Call);
    if (it != Calls.end())
      it->second->Inbox.post(std::move(action));
  }
  boost::asio::awaitable<void> queryStatus(EndpointRecord endpoint);
  boost::asio::awaitable<void> checkEndpoint(EndpointRecord endpoint);
  boost::asio::awaitable<EndpointLiveness>
  findLiveness(EndpointRecord endpoint);
  boost::asio::awaitable<bool> outlivesResponse(const DirectCall &call,
                                                StartAttempt order);
  void takeReport(const LoadReport &report);
  void takePushback(const EndpointId &id, const Pushback &pushback,
                    std::optional<TimePoint> sentAt);
  void logWaits();
  void logSlowRanks();
  void logPushback();
  void logSharing();
  void logColdEndpoints();
  void logUnread(const DirectCall &call);
  static void logEarlyClose(const DirectCall &call, const StartAttempt &order,
                            AttemptEnd end, Duration ran);
  void logBrokenResponse(const DirectCall &call, const StartAttempt &order,
                         const std::string &detail);
  void logCrashes();
  void onCallerGone(CallId id);
  void finish(const DirectCall &call, ResultCode code);
  void closeUnused();
  void stopAttempts();
  void beginAccepting();

  boost::asio::io_context &Context;
  const DirectSettings &Settings;
  Metrics &Measures;
  /// Bounds on what callers can make this process hold.
  ClientLimits Bounds;
  /// For responses that are held until they are complete.
  std::shared_ptr<ByteBudget> ResponseBytes;
  OnQuarantine ReportQuarantine;
  /// The last quarantine change that was passed to ReportQuarantine.
  std::uint64_t LastReportedChange = 0;
  /// Number of entries that share advertised rate limits, as last logged.
  std::size_t LoggedSharing = 0;
  DirectNode Node;
  NodeTimer Timer;
  EndpointPool Pool;
  boost::asio::steady_timer PoolTimer;
  boost::asio::steady_timer StartTimer;
  HostTimer StopTimer;
  HttpServer Server;
  LoadExchange Loads;
  std::shared_ptr<const FleetConfig> Config;
  bool IsAccepting = false;
  bool IsDraining = false;
  std::uint64_t LastCall = 0;
  std::unordered_map<CallId, DirectCall *> Calls;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_DIRECTTRAFFIC_H
