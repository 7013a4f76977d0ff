//===- Standins.h - fakes of the surrounding systems ------------*- C++ -*-===//
//
// Test-only processes: the platform, engines in a lock-step group, a plain
// service and callers. They implement no policy; they inject faults on request
// and record runs for checkers.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_TEST_STANDINS_H
#define OSPREYSPUR_TEST_STANDINS_H

#include "ospreyspur/Http/HttpServer.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace standin {

namespace asio = boost::asio;
namespace json = boost::json;
using Handler = ospreyspur::HttpHandler;

/// Waits \p ms milliseconds.
asio::awaitable<void> pause(std::int64_t ms);

/// The JSON object in the request's body; empty if there is none.
json::object bodyOf(const ospreyspur::HttpExchange &exchange);

/// An integer field of \p in, or \p def.
std::int64_t integerOf(const json::object &in, std::string_view key,
                       std::int64_t def = 0);

/// A text field of \p in, or "".
std::string textOf(const json::object &in, std::string_view key);

/// Sends a response with \p body as JSON.
asio::awaitable<void> reply(ospreyspur::HttpExchange &exchange, unsigned status,
                            const json::value &body);

/// Runs the platform's key-value store on \p listen. Each of \p preload is
/// "key=file": the initial value of the key is the file's content.
int runPlatform(const std::string &listen,
                const std::vector<std::string> &preload);

/// Runs a group of engines in lock-step, one for each address.
int runGroup(const std::vector<std::string> &listens, std::int64_t stepMs,
             bool checksFences);

/// The request body that makes a fake endpoint exit, and the exit status.
constexpr std::string_view DeadlyBody = "ends whoever runs it";
constexpr int DeadlyExit = 3;

/// Runs a plain service that counts runs by the request's id. With \p history
/// the service exits when it runs the deadly body, and the file gets a line for
/// each run, "deadly" or the request's id, and one for each violation of
/// pushback.
int runService(const std::string &listen, std::int64_t delayMs,
               const std::string &history);

/// Parameters of an open-loop load run.
struct LoadPlan {
  std::vector<std::string> Entries;
  std::string Key;
  std::string Model;
  std::string Service;
  std::int64_t Rate = 50;
  std::int64_t Seconds = 5;
  std::int64_t Tokens = 16;
  std::uint64_t Seed = 1;
  std::string HistoryFile;
  /// Admin addresses of Entries. An entry that is not ready is skipped, as by
  /// the platform's load balancer. If empty, all entries are used.
  std::vector<std::string> AdminAddresses;
};

/// Parameters of a platform endpoint that crashes on the deadly body.
struct CrashableEndpointPlan {
  std::string Listen;
  std::string Platform;
  std::string Name;
  /// A line for each run: the endpoint's id and the request's id or "deadly".
  /// Each violation of pushback adds a line, too (see FakePushback).
  std::string History;
};

/// Runs the endpoint until its process exits.
int runCrashableEndpoint(const CrashableEndpointPlan &plan);

/// Parameters of a load run with keep-alive connections.
struct ClosedLoopPlan {
  std::vector<std::string> Entries;
  /// Addresses of the readiness probes of Entries.
  std::vector<std::string> ReadinessAddresses;
  std::int64_t Callers = 32;
  std::int64_t Seconds = 10;
  std::uint64_t Seed = 1;
  /// Whether some callers send only requests with the deadly body.
  bool HasDeadly = false;
  /// If there is a bearer key, callers use ospreyspur's own interface to call
  /// Service, else the platform's interface.
  std::string Key;
  std::string Service;
};

/// Runs the callers and prints the count of each outcome.
int runClosedLoop(const ClosedLoopPlan &plan);

/// Compares a history with the records of the endpoints at \p runs. Prints each
/// violated guarantee and returns their number.
int verifyHistory(const std::string &historyFile,
                  const std::vector<std::string> &runs);

/// Sends requests on a fixed schedule and prints a table of outcomes. Returns 0
/// if all responses were complete.
int runLoad(const LoadPlan &plan);

} // namespace standin

#endif // OSPREYSPUR_TEST_STANDINS_H
