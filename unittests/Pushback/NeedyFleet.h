//===- NeedyFleet.h - entries and endpoints with rate limits ----*- C++ -*-===//
//
// Simulates entries and endpoints on virtual time. Endpoints advertise rate
// limits in their responses. Reports between entries may be lost, and entries
// may be killed or frozen. Records which requests each endpoint receives from
// which entry.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_UNITTESTS_PUSHBACK_NEEDYFLEET_H
#define OSPREYSPUR_UNITTESTS_PUSHBACK_NEEDYFLEET_H

#include "RandomScheduler.h"

#include "ospreyspur/Direct/DirectNode.h"
#include "ospreyspur/Rpc/LoadCodec.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ospreyspur::test {

struct FleetShape {
  unsigned Entries = 20;
  unsigned Endpoints = 6;
  unsigned RequestsPerSecond = 120;
};

/// One request that reached an endpoint.
struct FleetArrival {
  TimePoint At;
  unsigned Entry = 0;
  /// When the current incarnation of the sending entry first received a rate
  /// limit of the endpoint.
  std::optional<TimePoint> EntryHeardAt;
};

/// The results of callers' requests.
struct FleetOutcomes {
  unsigned Served = 0;
  std::map<ResultCode, unsigned> Refused;
  /// The longest time that a refused request had waited.
  Duration LongestRefusal{};
  std::vector<Duration> RetryAfters;
};

class NeedyFleet {
public:
  explicit NeedyFleet(std::uint64_t seed, FleetShape shape = FleetShape());

  void run(Duration span) { Time.runUntil(Time.now() + span); }
  TimePoint now() const { return Time.now(); }

  /// Sets the rate limit that the endpoint \p i advertises; empty for none.
  void name(unsigned i, std::optional<double> perSecond) {
    Hosts[i].Rate = perSecond;
  }
  /// Drops all reports from and to \p entry for \p span.
  void cut(unsigned entry, Duration span) {
    Nodes[entry].CutUntil = Time.now() + span;
  }
  void freeze(unsigned entry, Duration span) {
    Nodes[entry].FrozenUntil = Time.now() + span;
  }
  /// Kills the entry. Its next incarnation starts after a restart delay.
  void kill(unsigned entry);
  /// Starts an outage of the key-value store for \p span. Entries that start
  /// during the outage get no list of the other entries until it is over.
  void setStoreOut(Duration span);
  /// Sends callers' requests only to \p n entries, starting at \p first.
  void useEntries(unsigned n, unsigned first = 0) {
    Used = n;
    FirstUsed = first;
  }

  const std::vector<FleetArrival> &arrivals(unsigned endpoint) const {
    return Hosts[endpoint].Arrivals;
  }
  /// The largest number of requests that reached \p endpoint within any \p span
  /// after \p from. Counts entries that had received its rate limit half a
  /// second before, or all entries with \p ofAll.
  std::size_t mostWithin(unsigned endpoint, Duration span, TimePoint from,
                         bool ofAll = false) const;
  const FleetOutcomes &outcomes() const { return Told; }
  const DirectNode &node(unsigned entry) const { return *Nodes[entry].Node; }

private:
  struct Host {
    EndpointRecord Record;
    std::optional<double> Rate;
    std::vector<FleetArrival> Arrivals;
  };
  struct Entry {
    std::unique_ptr<DirectNode> Node;
    unsigned Life = 0;
    TimePoint FrozenUntil;
    TimePoint CutUntil;
    /// When the node's timer fires next.
    std::optional<TimePoint> WakeAt;
    std::map<unsigned, TimePoint> HeardAt;
  };
  struct Pending {
    CallId Call;
    unsigned Entry = 0;
    unsigned Life = 0;
    unsigned Endpoint = 0;
    TimePoint SentAt;
    std::optional<double> Named;
  };

  void start(unsigned i);
  void list(unsigned i);
  bool isAwake(unsigned i, unsigned life) const;
  void report(unsigned i, unsigned life);
  void wake(unsigned i, unsigned life);
  void arrive();
  void take(unsigned i, const DirectActions &actions);
  void send(unsigned i, unsigned life, const StartAttempt &order);
  void reach(Pending it);
  void answer(const Pending &it);
  void note(const EndCall &end);

  RandomScheduler Time;
  FleetShape Shape;
  std::shared_ptr<const FleetConfig> Config;
  std::vector<ListedEndpoint> Listed;
  std::vector<Host> Hosts;
  std::vector<Entry> Nodes;
  std::map<CallId, TimePoint> ArrivedAt;
  FleetOutcomes Told;
  TimePoint StoreOutUntil;
  std::uint64_t LastCall = 0;
  unsigned Used = 0;
  unsigned FirstUsed = 0;
};

} // namespace ospreyspur::test

#endif // OSPREYSPUR_UNITTESTS_PUSHBACK_NEEDYFLEET_H
