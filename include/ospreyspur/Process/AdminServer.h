//===- AdminServer.h - status, metrics and configuration --------*- C++ -*-===//
//
// The admin port of a process. All paths but /live and /ready require the admin
// token. Queries are answered from this process's state; commands are written
// to the platform's key-value store.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_ADMINSERVER_H
#define OSPREYSPUR_PROCESS_ADMINSERVER_H

#include "ospreyspur/Config/ClientLimits.h"
#include "ospreyspur/Config/ConfigWriter.h"
#include "ospreyspur/Config/Settings.h"
#include "ospreyspur/Control/ControlPlane.h"
#include "ospreyspur/Http/HttpServer.h"
#include "ospreyspur/Support/Metrics.h"

#include <functional>
#include <string>

namespace ospreyspur {

/// Serves the admin API of one process on its control thread.
class AdminServer {
public:
  AdminServer(boost::asio::io_context &ioc, const CommonSettings &settings,
              ControlPlane &control, PlatformClient &platform, Metrics &metrics,
              const ClientLimits &limits);

  /// Starts to accept connections. Errors: SettingInvalid.
  Result<void> start();

  /// Reports "not ready" from now on, so that the platform's load balancer
  /// sends no more requests.
  void setStopping() { IsStopping = true; }

private:
  boost::asio::awaitable<void> handle(HttpExchange &exchange);
  boost::asio::awaitable<void> handleQuery(HttpExchange &exchange);
  boost::asio::awaitable<void> handleCommand(HttpExchange &exchange);
  boost::asio::awaitable<ConfigWriter::Done> write(ConfigChange change);
  bool isAllowed(const HttpExchange &exchange) const;
  std::string statusText() const;

  const CommonSettings &Settings;
  ControlPlane &Control;
  PlatformClient &Platform;
  Metrics &Measures;
  HttpServer Server;
  bool IsStopping = false;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_ADMINSERVER_H
