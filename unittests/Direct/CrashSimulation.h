//===- CrashSimulation.h - entries with endpoints that crash ----*- C++ -*-===//
//
// Complete DirectNodes on virtual time with groups of endpoints. Each endpoint
// crashes when it runs a deadly request, or by itself. Reports between entries
// arrive late or get lost. Entries are killed, replaced and frozen.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_UNITTESTS_DIRECT_CRASHSIMULATION_H
#define OSPREYSPUR_UNITTESTS_DIRECT_CRASHSIMULATION_H

#include "ospreyspur/Direct/DirectNode.h"

#include "RandomScheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace test {

using namespace ospreyspur;

/// Parameters of a CrashSimulation.
struct CrashSimulationOptions {
  unsigned Entries = 4;
  unsigned Groups = 2;
  unsigned Ranks = 8;
  /// Reports between entries that are lost, out of 100.
  unsigned LostReports = 5;
  double HarmlessPerSecond = 50;
};

/// The part that the prompts of all harmless requests have, and the number of
/// other parts, of which each has one.
inline constexpr RequestDigest CommonPart(1000001);
inline constexpr unsigned HarmlessParts = 20;
/// Returns one of these parts.
inline RequestDigest makeHarmlessPart(unsigned i) {
  return RequestDigest(1000100 + i % HarmlessParts);
}

class CrashSimulation {
public:
  CrashSimulation(std::uint64_t seed, CrashSimulationOptions sizes);

  /// From now on \p request arrives repeatedly and crashes every endpoint that
  /// runs it.
  void addDeadlyRequest(RequestDigest request, Duration meanInterval);
  /// From now on requests arrive whose prompts have \p parts. No two are alike,
  /// and each crashes every endpoint that runs it if \p part is among \p parts.
  void addDeadlyPart(RequestDigest part,
                     const std::vector<RequestDigest> &parts,
                     Duration meanInterval);
  /// Lets \p n endpoints crash by themselves within \p span.
  void addCrashWave(unsigned n, Duration span);
  void killEntry(unsigned i);
  void freezeEntry(unsigned i, Duration span);
  /// Entries receive no reports from each other for \p span.
  void cutReports(Duration span) { ReportsCutUntil = Time.now() + span; }
  void run(Duration span) { Time.runUntil(Time.now() + span); }

  /// Returns the times at which endpoints crashed because of \p cause, a
  /// request or a part of a prompt.
  const std::vector<TimePoint> &crashTimes(RequestDigest cause) {
    return CrashTimes[cause];
  }
  /// Returns the times at which the request \p cause, or requests with the
  /// deadly part \p cause, reached an endpoint, sent by an entry that had been
  /// running for at least ContactTime.
  const std::vector<TimePoint> &arrivals(RequestDigest cause) {
    return Arrivals[cause];
  }
  /// Returns how often callers of harmless requests received \p code.
  unsigned harmlessResults(ResultCode code) { return HarmlessResults[code]; }
  unsigned harmlessCompleted() const { return HarmlessCompleted; }
  /// Returns the largest number of arrivals of one harmless request.
  std::size_t maxHarmlessArrivals() const;
  /// Returns how often callers of deadly requests received \p code.
  unsigned deadlyResults(ResultCode code) { return DeadlyResults[code]; }
  ospreyspur::test::RandomScheduler &time() { return Time; }
  const DirectNode &node(unsigned i) const { return *Entries[i].Node; }

private:
  struct Entry {
    std::unique_ptr<DirectNode> Node;
    unsigned Incarnation = 0;
    TimePoint FrozenUntil;
    TimePoint TimerAt;
    /// When the entry was last started or resumed.
    TimePoint DisturbedAt;
  };
  struct Caller {
    RequestDigest Request;
    std::vector<RequestDigest> Parts;
    unsigned Tries = 0;
  };
  struct Run {
    unsigned Entry = 0;
    unsigned EntryIncarnation = 0;
    CallId Call;
    Caller From;
    bool HasBegun = false;
  };
  struct Endpoint {
    unsigned Group = 0;
    unsigned Incarnation = 1;
    bool IsUp = true;
    std::map<std::uint64_t, Run> Runs;
  };
  static constexpr unsigned Slots = 12;
  static constexpr Duration ContactTime = std::chrono::seconds(3);

  /// Returns what makes \p caller's request crash endpoints; 0 if nothing does.
  RequestDigest deadlyCauseOf(const Caller &caller) const;
  bool isDeadly(const Caller &caller) const {
    return deadlyCauseOf(caller) != RequestDigest();
  }
  EndpointRecord recordOf(unsigned i) const;
  std::vector<ListedEndpoint> list() const;
  void publish();
  void startEntry(unsigned i);
  void toEntry(unsigned i, std::function<DirectActions(DirectNode &)> input);
  void deliver(unsigned i, unsigned incarnation,
               const std::function<DirectActions(DirectNode &)> &input);
  void setTimer(unsigned i);
  void report(unsigned i, unsigned incarnation);
  void sendReport(unsigned i, unsigned incarnation);
  void scheduleHarmlessRequest();
  void scheduleDeadlyRequest(RequestDigest request, Duration meanInterval);
  void scheduleDeadlyPart(const std::vector<RequestDigest> &parts,
                          Duration meanInterval);
  void call(Caller caller);
  void onResult(CallId id, ResultCode code);
  void perform(unsigned i, const StartAttempt &it);
  void perform(unsigned i, const EndCall &it);
  void perform(unsigned i, const ForwardResponse &it);
  void perform(unsigned i, const QueryEndpoint &it);
  void perform(unsigned i, const CheckEndpoint &it);
  void perform(unsigned i, const StopAttempt &it);
  void onArrival(unsigned endpoint, const Run &run, const EndpointId &meant);
  void finish(unsigned endpoint, std::uint64_t run, unsigned incarnation);
  void crash(unsigned endpoint);
  void stall(unsigned group);
  void endRun(const Run &run, AttemptEnd end, ConnectionEnd connection);
  unsigned indexOf(const EndpointId &id) const;
  Duration between(Duration least, Duration most) {
    return least + Duration(Time.below(std::uint64_t((most - least).count())));
  }

  ospreyspur::test::RandomScheduler Time;
  CrashSimulationOptions Sizes;
  std::shared_ptr<const FleetConfig> Config;
  std::vector<Entry> Entries;
  std::vector<Endpoint> Endpoints;
  /// When each group accepts requests again.
  std::vector<TimePoint> OpenAt;
  std::set<RequestDigest> DeadlyRequests;
  std::set<RequestDigest> DeadlyParts;
  std::map<CallId, Caller> Callers;
  std::map<RequestDigest, std::vector<TimePoint>> CrashTimes;
  std::map<RequestDigest, std::vector<TimePoint>> Arrivals;
  std::map<ResultCode, unsigned> HarmlessResults;
  std::map<ResultCode, unsigned> DeadlyResults;
  unsigned HarmlessCompleted = 0;
  TimePoint ReportsCutUntil;
  std::uint64_t LastCall = 0;
  std::uint64_t LastHarmless = 1000000;
  std::uint64_t LastRun = 0;
};

} // namespace test

#endif // OSPREYSPUR_UNITTESTS_DIRECT_CRASHSIMULATION_H
