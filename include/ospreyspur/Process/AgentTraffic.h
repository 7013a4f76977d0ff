//===- AgentTraffic.h - the agent's traffic thread --------------*- C++ -*-===//
//
// Performs the I/O for AgentNode: links from entries, requests to the endpoint
// and the timer. All of it runs on the thread of one io_context.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_AGENTTRAFFIC_H
#define OSPREYSPUR_PROCESS_AGENTTRAFFIC_H

#include "ospreyspur/Config/Settings.h"
#include "ospreyspur/Http/HttpClient.h"
#include "ospreyspur/Process/EndpointWatch.h"
#include "ospreyspur/Process/NodeTimer.h"
#include "ospreyspur/Rpc/PeerServer.h"
#include "ospreyspur/Support/Metrics.h"
#include "ospreyspur/Support/StopSequence.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace ospreyspur {

/// The traffic side of an agent process.
class AgentTraffic {
public:
  /// Callbacks for messages that are meant for the control thread and for links
  /// that went down; called on the traffic thread.
  struct ControlHandlers {
    std::function<void(LinkId, const Message &)> OnMessage;
    std::function<void(LinkId)> OnLinkDown;
  };

  AgentTraffic(boost::asio::io_context &ioc, const AgentSettings &settings,
               TcpAddress endpoint, Incarnation incarnation, std::string key,
               Metrics &metrics, std::uint64_t seed);

  /// Call before start().
  void setControlHandlers(ControlHandlers handlers) {
    Control = std::move(handlers);
  }

  /// Starts to accept links. Errors: SettingInvalid.
  Result<void> start();

  /// Stops the agent from taking requests, or lets it take them again, and
  /// reports this to the entries.
  void setLeaving(bool leaving);

  void setWeights(std::shared_ptr<const WorkspaceWeights> weights);

  /// Sends to one link. May be called from any thread.
  void send(LinkId to, const Message &message);

  /// Number of requests still running, and whether all linked entries have
  /// confirmed that the endpoint is leaving.
  StopProgress stopProgress() const {
    return {Node.runningCount(), Node.isLeavingConfirmed()};
  }

private:
  void onMessages(LinkId from, const std::vector<Message> &messages);
  void apply(AgentActions actions);
  void perform(const SendToLink &action);
  void perform(StartRun action);
  void perform(const StopRun &action);
  boost::asio::awaitable<void> run(StartRun order,
                                   std::shared_ptr<HttpRunHandle> handle);
  boost::asio::awaitable<void> awaitExit();
  void takePushback(RequestId id, const HttpResponseHead &head);
  boost::asio::awaitable<ResultCode> classifyEnd(RequestId id);
  boost::asio::awaitable<ResultCode> classifyFailure(RequestId id);
  void onWatchReplaced(WatchNumber lost, WatchNumber current);

  /// A request at the endpoint.
  struct Run {
    std::shared_ptr<HttpRunHandle> Handle;
    /// The watch that has lasted since the run began; 0 if none has.
    WatchNumber Watch = WatchNumber(0);
  };

  boost::asio::io_context &Context;
  const AgentSettings &Settings;
  Metrics &Measures;
  AgentNode Node;
  TcpAddress EndpointAddress;
  bool IsAwaitingExit = false;
  HttpClient Endpoint;
  EndpointWatch Watch;
  NodeTimer Timer;
  ControlHandlers Control;
  std::map<RequestId, Run> Runs;
  PeerServer Server;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_AGENTTRAFFIC_H
