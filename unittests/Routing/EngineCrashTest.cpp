//===- EngineCrashTest.cpp - engine crashes on the path through agents ----===//
//
// Several entries and agents on virtual time. Guards against a request that
// crashes an engine each time it is sent. This happens if an entry keeps no
// record of failed runs, if an agent cannot distinguish a crash of its engine
// from a truncated response, or if entries do not share crash reports.
//
//===----------------------------------------------------------------------===//

#include "RequestSimulation.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace ospreyspur;
using namespace ospreyspur::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
constexpr unsigned Seeds = 20;
/// Three crashes before the request can be quarantined, and three more while
/// the crash reports propagate.
constexpr unsigned MaxCrashes = 6;
constexpr std::size_t EntryCount = 3;
constexpr std::size_t AgentCount = 12;

/// A deployment with a crashing request and, by default, no faults; all
/// requests may run more than once.
class EngineSimulation : public RequestSimulation {
public:
  explicit EngineSimulation(std::uint64_t seed, FaultRates rates = {0, 0, 0, 0})
      : RequestSimulation(seed, rates, EntryCount, AgentCount,
                          EntryLimits().ClaimLease, 10000) {
    setCrashingRequests("deadly");
  }

  /// Sends the request \p name every \p pause until \p end, to the entries in
  /// turn.
  void sendRepeatedly(const std::string &name, Duration pause, TimePoint end) {
    std::size_t n = 0;
    for (TimePoint at = Scheduler.now(); at < end; at += pause, ++n)
      Scheduler.at(at, [this, name, n] {
        bool isCrashing = name == "deadly";
        sendRequest(n % EntryCount,
                    isCrashing ? name : name + std::to_string(n),
                    [](CallerRequest &it) { it.IsRetryable = true; });
      });
  }

  /// Sends requests that have \p parts in their prompts every \p pause until
  /// \p end, to the entries in turn. No two are alike; their names start with
  /// \p name.
  void sendWithParts(const std::string &name,
                     const std::vector<std::string> &parts, Duration pause,
                     TimePoint end) {
    std::size_t n = 0;
    for (TimePoint at = Scheduler.now(); at < end; at += pause, ++n)
      Scheduler.at(at, [this, name, parts, n] {
        sendRequest(n % EntryCount, name + std::to_string(n),
                    [&parts](CallerRequest &it) {
                      it.IsRetryable = true;
                      it.PromptParts = parts;
                    });
      });
  }

  unsigned countCode(ResultCode code, bool ofCrashing) const {
    unsigned n = 0;
    for (const auto &it : Calls)
      n += it->Ended && !it->IsAborted && it->Code == code &&
                   it->Name.starts_with("deadly") == ofCrashing
               ? 1
               : 0;
    return n;
  }

  unsigned countOthers() const {
    unsigned n = 0;
    for (const auto &it : Calls)
      n += it->Name.starts_with("deadly") ? 0 : 1;
    return n;
  }
};
} // namespace

TEST_CASE(
    "through agents, copies of a crashing request at several entries crash "
    "only a few engines") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    EngineSimulation simulation(seed);
    TimePoint begin = simulation.Scheduler.now();
    simulation.Scheduler.runUntil(begin + milliseconds(200));
    simulation.sendRepeatedly("deadly", milliseconds(70), begin + seconds(8));
    simulation.sendRepeatedly("innocent", milliseconds(30), begin + seconds(8));
    simulation.Scheduler.runUntil(begin + seconds(14));
    CHECK(simulation.crashCount() >= 1);
    CHECK(simulation.crashCount() <= MaxCrashes);
    CHECK(simulation.countCode(ResultCode::Ok, true) == 0);
    CHECK(simulation.countCode(ResultCode::RequestQuarantined, true) > 0);
    CHECK(simulation.countCode(ResultCode::RequestQuarantined, false) == 0);
    CHECK(simulation.countCode(ResultCode::Ok, false) * 100 >=
          simulation.countOthers() * 98);
  }
}

TEST_CASE("through agents, restarted entries run no crashing request while the "
          "key-value store is unavailable") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    EngineSimulation simulation(seed);
    TimePoint begin = simulation.Scheduler.now();
    simulation.setOutage(seconds(60));
    simulation.Scheduler.runUntil(begin + milliseconds(200));
    simulation.sendRepeatedly("deadly", milliseconds(70), begin + seconds(12));
    simulation.Scheduler.runUntil(begin + seconds(3));
    unsigned before = simulation.crashCount();
    CHECK(before >= 1);
    CHECK(before <= MaxCrashes);
    // Kill the entries one by one, then all at once, then one together with two
    // relays.
    for (std::size_t i = 0; i < EntryCount; ++i) {
      simulation.killEntry(i);
      simulation.Scheduler.runUntil(simulation.Scheduler.now() +
                                    milliseconds(400));
    }
    for (std::size_t i = 0; i < EntryCount; ++i)
      simulation.killEntry(i);
    simulation.Scheduler.runUntil(begin + seconds(7));
    simulation.killAgent(simulation.Scheduler.below(AgentCount));
    simulation.killAgent(simulation.Scheduler.below(AgentCount));
    simulation.killEntry(0);
    simulation.Scheduler.runUntil(begin + seconds(15));
    CHECK(simulation.crashCount() == before);
  }
}

TEST_CASE("through agents, a crashing request crashes only a few engines while "
          "entries are killed and disconnected") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    EngineSimulation simulation(seed, {0, 15, 0, 2});
    TimePoint begin = simulation.Scheduler.now();
    simulation.Scheduler.runUntil(begin + milliseconds(200));
    simulation.sendRepeatedly("deadly", milliseconds(110), begin + seconds(10));
    simulation.sendRepeatedly("innocent", milliseconds(40),
                              begin + seconds(10));
    for (unsigned k = 0; k < 12; ++k) {
      TimePoint at = begin + milliseconds(300 + 700 * k);
      simulation.Scheduler.at(at, [&simulation, k] {
        std::size_t i = simulation.Scheduler.below(EntryCount);
        std::size_t n = simulation.Scheduler.below(AgentCount);
        switch (k % 4) {
        case 0:
          simulation.killEntry(i);
          break;
        case 1:
          simulation.freezeEntry(i, milliseconds(900));
          break;
        case 2:
          simulation.killAgent(n);
          break;
        default:
          simulation.cutLink(i, n);
        }
      });
    }
    simulation.Scheduler.runUntil(begin + seconds(16));
    CHECK(simulation.crashCount() <= MaxCrashes);
    CHECK(simulation.countCode(ResultCode::RequestQuarantined, false) == 0);
  }
}

TEST_CASE("through agents, unrelated engine crashes quarantine no request") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    EngineSimulation simulation(seed);
    TimePoint begin = simulation.Scheduler.now();
    simulation.Scheduler.runUntil(begin + milliseconds(200));
    simulation.sendRepeatedly("innocent", milliseconds(15), begin + seconds(8));
    // The same request repeatedly, as from a polling caller.
    for (unsigned k = 0; k < 300; ++k)
      simulation.Scheduler.at(begin + milliseconds(200 + 25 * k), [&simulation,
                                                                   k] {
        simulation.sendRequest(k % EntryCount, "poll", [](CallerRequest &it) {
          it.IsRetryable = true;
        });
      });
    for (unsigned k = 0; k < 24; ++k)
      simulation.Scheduler.at(
          begin + milliseconds(400 + 300 * k), [&simulation] {
            simulation.crashEngine(simulation.Scheduler.below(AgentCount));
          });
    simulation.Scheduler.runUntil(begin + seconds(14));
    CHECK(simulation.countCode(ResultCode::RequestQuarantined, false) == 0);
    CHECK(simulation.countCode(ResultCode::Ok, false) * 100 >=
          simulation.countOthers() * 97);
  }
}

/// Time for reports to spread after the fifth crash, and the number of crashes
/// allowed after that time.
static constexpr Duration ReportTime = seconds(3);
static constexpr std::size_t CrashesBeforeBound = 5;
static constexpr std::size_t MaxLateCrashes = 3;
/// Entries that have just started reach no verdict yet.
static constexpr Duration CalmTime = seconds(3);

/// Returns the number of crashes after the reports of the fifth should have
/// arrived.
static std::size_t lateCrashes(const EngineSimulation &simulation) {
  const std::vector<TimePoint> &times = simulation.crashTimes();
  if (times.size() < CrashesBeforeBound)
    return 0;
  TimePoint from = times[CrashesBeforeBound - 1] + ReportTime;
  return std::count_if(times.begin(), times.end(),
                       [from](TimePoint it) { return it > from; });
}

TEST_CASE("through agents, requests that share a crashing prompt part crash "
          "only a few engines") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    EngineSimulation simulation(seed);
    TimePoint begin = simulation.Scheduler.now();
    simulation.sendWithParts("innocent", {"system"}, milliseconds(30),
                             begin + seconds(14));
    simulation.Scheduler.runUntil(begin + CalmTime);
    simulation.sendWithParts("deadly", {"system", "part"}, milliseconds(170),
                             begin + seconds(12));
    simulation.Scheduler.runUntil(begin + seconds(20));
    CHECK(simulation.crashCount() >= 1);
    CHECK(lateCrashes(simulation) <= MaxLateCrashes);
    CHECK(simulation.countCode(ResultCode::Ok, true) == 0);
    CHECK(simulation.countCode(ResultCode::PartQuarantined, true) > 20);
    CHECK(simulation.countCode(ResultCode::PartQuarantined, false) == 0);
    CHECK(simulation.countCode(ResultCode::Ok, false) * 100 >=
          simulation.countOthers() * 97);
  }
}

TEST_CASE("through agents, restarted entries hold back a crashing prompt part "
          "while the key-value store is unavailable") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    EngineSimulation simulation(seed);
    TimePoint begin = simulation.Scheduler.now();
    simulation.setOutage(seconds(60));
    simulation.sendWithParts("innocent", {"system"}, milliseconds(50),
                             begin + seconds(14));
    simulation.Scheduler.runUntil(begin + CalmTime);
    simulation.sendWithParts("deadly", {"system", "part"}, milliseconds(170),
                             begin + seconds(14));
    simulation.Scheduler.runUntil(begin + seconds(7));
    unsigned before = simulation.crashCount();
    CHECK(before >= 1);
    for (std::size_t i = 0; i < EntryCount; ++i) {
      simulation.killEntry(i);
      simulation.Scheduler.runUntil(simulation.Scheduler.now() +
                                    milliseconds(400));
    }
    for (std::size_t i = 0; i < EntryCount; ++i)
      simulation.killEntry(i);
    simulation.Scheduler.runUntil(begin + seconds(10));
    simulation.killAgent(simulation.Scheduler.below(AgentCount));
    simulation.killAgent(simulation.Scheduler.below(AgentCount));
    simulation.Scheduler.runUntil(begin + seconds(18));
    CHECK(lateCrashes(simulation) <= MaxLateCrashes);
    CHECK(simulation.crashCount() == before);
    CHECK(simulation.countCode(ResultCode::PartQuarantined, false) == 0);
  }
}

TEST_CASE("through agents, unrelated engine crashes quarantine no prompt "
          "part") {
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    EngineSimulation simulation(seed);
    TimePoint begin = simulation.Scheduler.now();
    simulation.sendWithParts("one", {"system", "a"}, milliseconds(40),
                             begin + seconds(10));
    simulation.sendWithParts("two", {"system", "b"}, milliseconds(300),
                             begin + seconds(10));
    for (unsigned k = 0; k < 24; ++k)
      simulation.Scheduler.at(
          begin + milliseconds(400 + 300 * k), [&simulation] {
            simulation.crashEngine(simulation.Scheduler.below(AgentCount));
          });
    simulation.Scheduler.runUntil(begin + seconds(16));
    CHECK(simulation.countCode(ResultCode::PartQuarantined, false) == 0);
  }
}
