//===- MetricsServer.h - a process's metrics over HTTP ----------*- C++ -*-===//
//
// GET /metrics returns all metrics in the Prometheus text format.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_METRICSSERVER_H
#define OSPREYSPUR_PROCESS_METRICSSERVER_H

#include "ospreyspur/Config/ClientLimits.h"
#include "ospreyspur/Http/HttpServer.h"
#include "ospreyspur/Support/Metrics.h"

#include <string>

namespace ospreyspur {

/// Serves the metrics of one process on one io_context's thread.
class MetricsServer {
public:
  /// \p limits are the bounds on all clients of the process.
  MetricsServer(boost::asio::io_context &ioc, Metrics &metrics,
                const ClientLimits &limits);

  /// Listens on \p address. Errors: SettingInvalid.
  Result<void> listen(const std::string &address);

private:
  boost::asio::awaitable<void> serve(HttpExchange &exchange);

  Metrics &Measures;
  HttpServer Server;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_METRICSSERVER_H
