//===- RateLimitedFleet.h - fleet with rate-limited endpoints ---*- C++ -*-===//
//
// Simulates entries and endpoints on virtual time. Endpoints advertise rate
// limits in their responses. Reports between entries may be lost, and entries
// may be killed or frozen. Records which requests each endpoint receives from
// which entry.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_UNITTESTS_PUSHBACK_RATELIMITEDFLEET_H
#define OSPREYSPUR_UNITTESTS_PUSHBACK_RATELIMITEDFLEET_H

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
  /// What a cold endpoint bears; 0 if the service does not state it.
  double ColdRequestsPerSecond = 0;
};

/// One request that reached an endpoint.
struct FleetArrival {
  TimePoint At;
  unsigned Entry = 0;
  /// When the current incarnation of the sending entry first received a rate
  /// limit of the endpoint.
  std::optional<TimePoint> LimitFirstReceivedAt;
};

/// The results of callers' requests.
struct FleetOutcomes {
  unsigned Served = 0;
  std::map<ResultCode, unsigned> Refused;
  /// The longest time that a refused request had waited.
  Duration LongestRefusal{};
  std::vector<Duration> RetryAfters;
};

class RateLimitedFleet {
public:
  explicit RateLimitedFleet(std::uint64_t seed,
                            FleetShape shape = FleetShape());

  void run(Duration span) { Time.runUntil(Time.now() + span); }
  TimePoint now() const { return Time.now(); }

  /// Sets the rate limit that the endpoint \p i advertises; empty for none.
  void advertise(unsigned i, std::optional<double> perSecond) {
    FakeEndpoints[i].Rate = perSecond;
  }
  /// The endpoint \p i is cold for \p span, and its record says so. The entries
  /// read the record within 0.2 s; one that is frozen does so when it wakes.
  void makeCold(unsigned i, Duration span);
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
    UsedEntries = n;
    FirstUsedEntry = first;
  }

  const std::vector<FleetArrival> &arrivals(unsigned endpoint) const {
    return FakeEndpoints[endpoint].Arrivals;
  }
  /// The largest number of requests that reached \p endpoint within any \p span
  /// after \p from. Counts entries that had received its rate limit half a
  /// second before, or all entries with \p ofAll.
  std::size_t mostWithin(unsigned endpoint, Duration span, TimePoint from,
                         bool ofAll = false) const;
  const FleetOutcomes &outcomes() const { return Outcomes; }
  const DirectNode &node(unsigned entry) const { return *Nodes[entry].Node; }

private:
  struct FakeEndpoint {
    EndpointRecord Record;
    std::optional<double> Rate;
    std::vector<FleetArrival> Arrivals;
  };
  struct Entry {
    std::unique_ptr<DirectNode> Node;
    unsigned IncarnationNumber = 0;
    TimePoint FrozenUntil;
    TimePoint CutUntil;
    /// When the node's timer fires next.
    std::optional<TimePoint> WakeAt;
    std::map<unsigned, TimePoint> LimitReceivedAt;
  };
  struct Pending {
    CallId Call;
    unsigned Entry = 0;
    unsigned IncarnationNumber = 0;
    unsigned Endpoint = 0;
    TimePoint SentAt;
    std::optional<double> Advertised;
  };

  void start(unsigned i);
  void listOthers(unsigned i);
  void listEndpoints(unsigned i, unsigned incarnation);
  bool isAwake(unsigned i, unsigned incarnation) const;
  void report(unsigned i, unsigned incarnation);
  void scheduleTimer(unsigned i, unsigned incarnation);
  void generateRequest();
  void perform(unsigned i, const DirectActions &actions);
  void send(unsigned i, unsigned incarnation, const StartAttempt &order);
  void deliver(Pending it);
  void answer(const Pending &it);
  void recordRefusal(const EndCall &end);

  RandomScheduler Time;
  FleetShape Shape;
  std::shared_ptr<const FleetConfig> Config;
  std::vector<ListedEndpoint> Listed;
  std::vector<FakeEndpoint> FakeEndpoints;
  std::vector<Entry> Nodes;
  std::map<CallId, TimePoint> ArrivedAt;
  FleetOutcomes Outcomes;
  TimePoint StoreOutUntil;
  std::uint64_t LastCall = 0;
  unsigned UsedEntries = 0;
  unsigned FirstUsedEntry = 0;
};

} // namespace ospreyspur::test

#endif // OSPREYSPUR_UNITTESTS_PUSHBACK_RATELIMITEDFLEET_H
