//===- Standins.h - small fakes of the outside systems ----------*- C++ -*-===//
//
// Test-only processes: the platform, engines in a lock-step group, a plain
// service and callers. They hold no policy; they take fault orders and keep
// records for checkers.
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

/// A whole number field of \p in, or \p def.
std::int64_t numberOf(const json::object &in, std::string_view key,
                      std::int64_t def = 0);

/// A text field of \p in, or "".
std::string textOf(const json::object &in, std::string_view key);

/// Answers with \p body as JSON.
asio::awaitable<void> reply(ospreyspur::HttpExchange &exchange, unsigned status,
                            const json::value &body);

/// Runs the platform's key-value service on \p listen. Each of \p preload is
/// "key=file": the key holds the file's content from the start.
int runPlatform(const std::string &listen,
                const std::vector<std::string> &preload);

/// Runs a group of engines, one for each address, in lock-step.
int runGroup(const std::vector<std::string> &listens, std::int64_t stepMs,
             bool checksFences);

/// What ends whoever runs it, and the exit status of its process.
constexpr std::string_view DeadlyBody = "ends whoever runs it";
constexpr int DeadlyExit = 3;

/// Runs a plain service that counts each run by the request's id. With \p
/// history it ends when it runs the deadly body; the file gets a line for each
/// run, "deadly" or the request's id.
int runService(const std::string &listen, std::int64_t delayMs,
               const std::string &history);

/// What a load run sends.
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
  /// Admin addresses of Entries; an entry that is not ready is left out, as the
  /// platform's balancer does. Empty: all are used.
  std::vector<std::string> Admins;
};

/// An endpoint of the users' platform that ends on one body.
struct MortalPlan {
  std::string Listen;
  std::string Platform;
  std::string Name;
  /// A line for each run: the endpoint's id and the request's.
  std::string History;
};

/// Runs it until it ends.
int runMortal(const MortalPlan &plan);

/// Callers who keep their connections.
struct CrowdPlan {
  std::vector<std::string> Entries;
  /// Where each entry says whether it is ready.
  std::vector<std::string> Readies;
  std::int64_t Callers = 32;
  std::int64_t Seconds = 10;
  std::uint64_t Seed = 1;
  /// Whether some of them send nothing but the deadly body.
  bool HasDeadly = false;
  /// With a bearer key they speak our own interface, and ask for Service.
  std::string Key;
  std::string Service;
};

/// Prints how often each outcome was seen.
int runCrowd(const CrowdPlan &plan);

/// Joins a history with what the endpoints at \p runs ran; prints what broke
/// and gives the number of broken promises.
int verifyHistory(const std::string &historyFile,
                  const std::vector<std::string> &runs);

/// Sends requests by a fixed schedule and prints a table; 0 if all were whole.
int runLoad(const LoadPlan &plan);

} // namespace standin

#endif // OSPREYSPUR_TEST_STANDINS_H
