//===- NeedyFleet.h - a fleet before endpoints in need ----------*- C++ -*-===//
//
// Entries on virtual time before endpoints that name a rate in their answers,
// with reports between the entries that may be cut and entries that are killed
// and frozen. Keeps what each endpoint got from whom.
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
  /// When its entry had first heard the endpoint name a rate, in that life.
  std::optional<TimePoint> EntryHeardAt;
};

/// How callers' requests ended.
struct FleetOutcomes {
  unsigned Served = 0;
  std::map<ResultCode, unsigned> Refused;
  /// How long refused callers had waited at most.
  Duration LongestRefusal{};
  std::vector<Duration> RetryAfters;
};

class NeedyFleet {
public:
  explicit NeedyFleet(std::uint64_t seed, FleetShape shape = FleetShape());

  void run(Duration span) { Time.runUntil(Time.now() + span); }
  TimePoint now() const { return Time.now(); }

  /// What the endpoint \p i names from now on; nothing for no rate.
  void name(unsigned i, std::optional<double> perSecond) {
    Hosts[i].Rate = perSecond;
  }
  /// Reports of and to \p entry are lost for \p span.
  void cut(unsigned entry, Duration span) {
    Nodes[entry].CutUntil = Time.now() + span;
  }
  void freeze(unsigned entry, Duration span) {
    Nodes[entry].FrozenUntil = Time.now() + span;
  }
  /// The entry ends, and another life of it begins.
  void kill(unsigned entry);
  /// The store lists nobody to entries that begin, until it is back.
  void setStoreOut(Duration span);
  /// Only \p n entries, from \p first on, get requests from now on.
  void useEntries(unsigned n, unsigned first = 0) {
    Used = n;
    FirstUsed = first;
  }

  const std::vector<FleetArrival> &arrivals(unsigned endpoint) const {
    return Hosts[endpoint].Arrivals;
  }
  /// Most requests that reached \p endpoint within \p span, from \p from on, of
  /// entries that had heard its rate half a second before; of all entries with
  /// \p ofAll.
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
    /// When the node's timer runs next.
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
