//===- EntryTraffic.h - the entry's traffic thread --------------*- C++ -*-===//
//
// Performs the I/O for EntryNode: callers' connections, links to agents, calls
// to the platform's key-value store and the timer. All of it runs on the thread
// of one io_context.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_ENTRYTRAFFIC_H
#define OSPREYSPUR_PROCESS_ENTRYTRAFFIC_H

#include "ospreyspur/Config/Settings.h"
#include "ospreyspur/Control/QuarantineSync.h"
#include "ospreyspur/Http/HttpServer.h"
#include "ospreyspur/Http/Mailbox.h"
#include "ospreyspur/Platform/PlatformClient.h"
#include "ospreyspur/Process/NodeTimer.h"
#include "ospreyspur/Process/PeerLinks.h"
#include "ospreyspur/Support/Metrics.h"

#include <map>
#include <memory>

namespace ospreyspur {

/// The traffic side of an entry process.
class EntryTraffic {
public:
  EntryTraffic(boost::asio::io_context &ioc, const EntrySettings &settings,
               TcpAddress platform, Metrics &metrics, std::uint64_t seed);

  /// Binds the address for callers. Connections are accepted from the first
  /// snapshot on. Errors: SettingInvalid.
  Result<void> start();

  /// Replaces the routing snapshot with a newer one.
  void setSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot);

  /// From now on responses close their connections; requests are still served.
  /// Those that have not ended at \p respondBy end then.
  void announceStop(TimePoint respondBy);

  /// Accepts no new connections and refuses further requests; requests already
  /// received are served.
  void stopAccepting();

  /// Number of connections that have a request being read or handled or that
  /// have not received their first request yet.
  std::size_t busyCount() const { return Server.busyCount(); }

private:
  using Inbox = Mailbox<EntryAction>;

  Result<CallerRequest> readRequest(const HttpRequest &request) const;
  boost::asio::awaitable<void> handle(HttpExchange &exchange);
  boost::asio::awaitable<void> writeResponse(HttpExchange &exchange,
                                             Inbox &inbox, CallId id);
  void apply(EntryActions actions);
  void perform(const SendToAgent &action);
  void perform(CallKeyValueStore action);
  template <typename ResponsePart> void perform(ResponsePart action);
  void finishCall(CallId id, ResultCode code, TimePoint began);
  void reportCrashes();

  boost::asio::io_context &Context;
  const EntrySettings &Settings;
  Metrics &Measures;
  EntryNode Node;
  HttpServer Server;
  PlatformClient Platform;
  QuarantineSync Quarantine;
  /// The last quarantine change that was passed on to the store.
  std::uint64_t LastReportedChange = 0;
  NodeTimer Timer;
  std::shared_ptr<const RoutingSnapshot> Snapshot;
  PeerLinks Peers;
  std::map<CallId, Inbox *> Inboxes;
  std::uint64_t LastCall = 0;
  bool IsAccepting = false;
  bool IsDraining = false;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_ENTRYTRAFFIC_H
