//===- MetricsServer.h - a process's metrics over HTTP ----------*- C++ -*-===//
//
// GET /metrics returns all metrics in the Prometheus text format.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_METRICSSERVER_H
#define OSPREYSPUR_PROCESS_METRICSSERVER_H

#include "ospreyspur/Http/HttpServer.h"
#include "ospreyspur/Support/Metrics.h"

#include <string>

namespace ospreyspur {

/// Serves the metrics of one process on one io_context's thread.
class MetricsServer {
public:
  MetricsServer(boost::asio::io_context &ioc, const Metrics &metrics);

  /// Listens on \p address. Errors: SettingInvalid.
  Result<void> listen(const std::string &address);

private:
  boost::asio::awaitable<void> serve(HttpExchange &exchange);

  const Metrics &Measures;
  HttpServer Server;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_METRICSSERVER_H
