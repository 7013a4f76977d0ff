//===- EndpointTable.h - load and health of each endpoint -------*- C++ -*-===//
//
// What an entry knows of the endpoints: its own requests there, the load that
// other entries report, and evidence of failures. An endpoint that fails is
// avoided for a time that doubles with each consecutive failure.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_ENDPOINTTABLE_H
#define OSPREYSPUR_DIRECT_ENDPOINTTABLE_H

#include "ospreyspur/Direct/DirectActions.h"
#include "ospreyspur/Direct/EndpointList.h"
#include "ospreyspur/Direct/GroupGaps.h"
#include "ospreyspur/Quarantine/CrashReport.h"
#include "ospreyspur/Support/Time.h"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace ospreyspur {

/// The load that one entry puts on one endpoint.
struct EndpointLoad {
  EndpointId Endpoint;
  unsigned Running = 0;
  /// Pending prompt tokens: those of requests without a first byte.
  unsigned PendingPromptTokens = 0;
  /// Slowdown factor that the endpoint reported to this entry; 0 if the entry
  /// has not queried it recently.
  double Slowdown = 0;
};

/// One endpoint as an entry sees it.
struct EndpointState {
  EndpointRecord Record;
  /// Digest that identifies the endpoint's incarnation in crash reports.
  IncarnationDigest Incarnation;
  bool IsMissing = false;
  /// Whether operators drain the endpoint's data centre.
  bool IsDrained = false;
  /// Whether the endpoint is outside of the entry's subset; see EndpointSubset.
  bool IsOutside = false;
  /// Number of this entry's requests at the endpoint.
  unsigned OwnRequests = 0;
  /// Pending prompt tokens: those of this entry's requests without a first
  /// byte.
  unsigned OwnPendingTokens = 0;
  /// The load that the other entries last reported, in sum.
  unsigned PeerRequests = 0;
  unsigned PeerPendingTokens = 0;
  unsigned ConsecutiveFailures = 0;
  /// Consecutive responses that reported a failed run.
  unsigned ConsecutiveFailedResponses = 0;
  /// Until this time the endpoint is used only if there is no other.
  TimePoint AvoidedUntil;
  /// Until this time the endpoint counts as full, after it rejected a request
  /// as full or reported that it has no free slots.
  TimePoint FullUntil;
  unsigned ConsecutiveFull = 0;
  /// When a response last began or completed, or a status report last said that
  /// the endpoint accepts requests and has free slots.
  TimePoint KnownServingAt;
  /// The endpoint's group, once reported.
  GroupId Group;
  /// Until this time the endpoint is excluded, as another incarnation has its
  /// address. \c RemainingReplacedReports is the number of reports to other
  /// entries that still have to announce this.
  TimePoint ReplacedUntil;
  unsigned RemainingReplacedReports = 0;
  /// Whether the endpoint gets no requests until it or another rank of its
  /// group reports that the group accepts them.
  bool MustReport = false;
  TimePoint QueryAt;
  /// Until this time other members of the group are queried, as the endpoint
  /// did not respond to a status query.
  TimePoint UnresponsiveUntil;
  /// Slowdown factor, and when it was reported.
  double Slowdown = 1;
  TimePoint SlowdownAt;
  /// When the endpoint last reported its slowdown factor to this entry, rather
  /// than to another one.
  TimePoint SlowdownReportedAt;
  /// When this entry queries the slowdown factor unless a report of it arrives
  /// before; unset while there is no reason to.
  std::optional<TimePoint> QuerySlowdownAt;
};

/// Load and health by endpoint.
class EndpointTable {
public:
  static constexpr Duration FirstAvoidTime = std::chrono::milliseconds(500);
  static constexpr Duration MaxAvoidTime = std::chrono::seconds(8);
  /// How long a replaced endpoint is excluded.
  static constexpr Duration ReplacedTime = std::chrono::minutes(1);
  /// Number of reports that announce a replaced endpoint, as datagrams may be
  /// lost, and the maximum number of endpoints announced in one report.
  static constexpr unsigned ReplacedReports = 3;
  static constexpr std::size_t MaxReplacedPerReport = 32;
  /// Number of consecutive failed responses from which on an endpoint is
  /// avoided. A single one may be the fault of the request. An endpoint that
  /// fails requests immediately always has the least load: without this rule,
  /// the 20% of the endpoints that failed received two thirds of all requests.
  static constexpr unsigned AvoidAfterFailedResponses = 2;
  /// How long an endpoint that rejected a request as full gets no new ones:
  /// about two engine iterations. The time doubles with each consecutive
  /// rejection, as ranks whose group is being formed reject requests in the
  /// same way. It also applies after a status report without free slots. An
  /// endpoint that responds to status queries and has at most half of its slots
  /// in use must report that it accepts requests instead.
  static constexpr Duration FullTime = std::chrono::milliseconds(100);
  static constexpr Duration LongestFullTime = std::chrono::milliseconds(400);
  /// Interval between status queries to an endpoint that accepts no requests.
  /// Forming a group takes 600 ms on the platform.
  static constexpr Duration QueryInterval = std::chrono::milliseconds(100);
  /// Maximum number of status queries that a group being formed gets in one
  /// interval. With more entries than this, each entry queries less often.
  static constexpr std::size_t MaxQueriesPerInterval = 8;
  /// Maximum number of status queries that an entry sends to endpoints outside
  /// of its subset in one \c QueryInterval, and how long it goes on with them
  /// after a request found no endpoint in the subset.
  static constexpr std::size_t MaxOutsideQueries = 8;
  static constexpr Duration OutsideWantedTime = std::chrono::seconds(2);
  /// A status query without a response is repeated after this time.
  static constexpr Duration QueryTimeout = std::chrono::seconds(1);
  /// Inter-event gap of a group from which on its ranks are queried for their
  /// slowdown factors. Engine iterations of a full group with a well-fitting
  /// expert map stay below this value on the platform.
  static constexpr Duration SlowdownQueryGap = std::chrono::milliseconds(180);
  /// Delay before a group is queried again after one of its endpoints crashed.
  /// The endpoint has to be restarted and the group formed, which takes 600 ms
  /// on the platform, where reports are 200 ms old.
  static constexpr Duration CrashedGroupDelay = std::chrono::milliseconds(500);
  /// Interval between slowdown queries of all entries to one endpoint; a
  /// reported factor is used for two intervals. The entry that comes first for
  /// the endpoint by rendezvous hashing queries it and announces the result to
  /// the others. If every entry queried every endpoint itself, there would be
  /// many more queries than requests: 52 entries that each queried 192
  /// endpoints once a second sent 225,000 queries on a day with 17,000
  /// requests.
  static constexpr Duration SlowdownInterval = std::chrono::milliseconds(1000);
  /// How long each further entry in hash order waits for the report of the one
  /// before it. Longer than a query and a load report take together.
  static constexpr Duration SuccessorDelay = std::chrono::milliseconds(250);
  /// Slowdown factors below this one are not indexed; see slowed(). Such ranks
  /// only get fewer requests.
  static constexpr double MinSlowdown = 1.5;
  /// Age at which another entry's load report no longer counts.
  static constexpr Duration MaxPeerLoadAge = std::chrono::seconds(1);
  /// Entries whose reports are kept; the rest is ignored.
  static constexpr std::size_t MaxPeers = 4096;

  // Commands.

  void setEndpoints(const std::vector<ListedEndpoint> &endpoints);
  /// Records the load that the entry \p peer reports. Costs time for the rows
  /// of this report and of the previous one only, whatever the number of
  /// entries.
  void setPeerLoad(const std::string &peer,
                   const std::vector<EndpointLoad> &loads, TimePoint now);
  /// Drops the load reports that no longer count.
  void expirePeerLoads(TimePoint now);
  void onStarted(const EndpointId &id, unsigned promptTokens);
  /// The first byte of a response arrived.
  void onFirstByte(const EndpointId &id, unsigned promptTokens, TimePoint now);
  /// A request ended without a response; its prompt tokens no longer count as
  /// pending.
  void dropPendingPrompt(const EndpointId &id, unsigned promptTokens);
  /// Events arrived, \p gap after the previous ones.
  void onEvents(const EndpointId &id, Duration gap, TimePoint now);
  /// \p wasDecoding says whether the first byte had arrived.
  void onEnded(const EndpointId &id, bool wasDecoding);
  /// An attempt ended after an idle period of \p idleTime.
  void onEndedIdle(const EndpointId &id, Duration idleTime, TimePoint now);
  void onSuccess(const EndpointId &id, TimePoint now);
  void onFailure(const EndpointId &id, TimePoint now);
  /// The endpoint responded that the run had failed.
  void onFailedResponse(const EndpointId &id, TimePoint now);
  void onFull(const EndpointId &id, TimePoint now);
  /// Decides whether an endpoint may be sent a status query now. A query that
  /// is sent counts as a request toward the endpoint's rate limit.
  using MayQuery = std::function<bool(const EndpointState &)>;

  /// Returns the endpoints to send a status query to now, one of each known
  /// group.
  std::vector<EndpointRecord> takeStatusQueries(const MayQuery &mayQuery,
                                                TimePoint now,
                                                std::mt19937_64 &random);
  /// A request found no usable endpoint in the subset, so some of the others
  /// are queried, too.
  void requestOutside(TimePoint now);
  /// Returns the endpoints to query for their slowdown factors: those of slow
  /// groups, and those in \p followed. \p self is the digest of this entry's
  /// name.
  std::vector<EndpointRecord>
  takeSlowdownQueries(const MayQuery &mayQuery,
                      const std::set<EndpointId> &followed, std::uint64_t self,
                      TimePoint now);
  /// Takes an endpoint's status report; \p status is unset if the endpoint
  /// did not respond.
  void onStatusReport(const EndpointId &id,
                      const std::optional<EndpointStatus> &status,
                      TimePoint now);
  /// Clears the \c FullUntil times that have passed; see nextFree().
  void clearExpiredFull(TimePoint now);
  /// The endpoint's process has exited. Its group gets no requests until one of
  /// its endpoints reports that it accepts them. Returns the group's endpoints,
  /// or none if the endpoint cannot be queried for its status.
  std::vector<EndpointId> onIncarnationEnded(const EndpointId &id,
                                             TimePoint now);
  /// Another incarnation has the endpoint's address.
  void onReplaced(const EndpointId &id, TimePoint now);
  /// Another entry reported \p incarnations as replaced.
  void mergeReplaced(const std::vector<IncarnationDigest> &incarnations,
                     TimePoint now);
  /// Returns the replaced endpoints to report to the other entries now.
  std::vector<IncarnationDigest> takeReplacedReport();

  // Queries.

  const std::map<EndpointId, EndpointState> &states() const { return States; }
  const EndpointState *find(const EndpointId &id) const;
  /// Returns the endpoint of \p incarnation; null if unknown.
  const EndpointState *findIncarnation(IncarnationDigest incarnation) const;
  /// Whether any endpoint's data centre is being drained.
  bool hasDrained() const { return HasDrained; }
  /// Whether any endpoint is outside of the entry's subset.
  bool hasOutside() const { return HasOutside; }
  /// Returns the endpoints of \p service, ordered by id.
  std::vector<const EndpointState *> statesOf(const ServiceId &service) const;
  /// When the next endpoint that rejected a request as full may be tried again.
  std::optional<TimePoint> nextFree() const;
  /// When takeStatusQueries() must be called next.
  std::optional<TimePoint> nextStatusQuery() const;
  /// When takeSlowdownQueries() must be called next, as of its last call.
  std::optional<TimePoint> nextSlowdownQuery() const {
    return NextSlowdownQuery;
  }
  /// Returns the load of all entries at \p state's endpoint.
  EndpointLoad totalLoad(const EndpointState &state, TimePoint now) const;
  /// Returns the expected inter-event gap at \p state's endpoint; zero if the
  /// endpoint has no group or nothing is known.
  Duration gapOf(const EndpointState &state, TimePoint now) const;
  /// Like gapOf(), but the current idle period of a group's only decoding
  /// stream does not count.
  Duration confirmedGapOf(const EndpointState &state, TimePoint now) const;
  /// Returns the endpoint's slowdown factor; 1 if unknown.
  static double slowdownOf(const EndpointState &state, TimePoint now) {
    return now - state.SlowdownAt < 2 * SlowdownInterval ? state.Slowdown : 1;
  }
  /// The endpoints that last reported a slowdown factor of at least
  /// MinSlowdown, even if that factor is no longer used.
  const std::map<EndpointId, EndpointState *> &slowed() const { return Slowed; }
  /// Returns the number of endpoints in \p state's group.
  std::size_t groupSize(const EndpointState &state) const;
  /// Returns this entry's load, for reports to the other entries.
  std::vector<EndpointLoad> ownLoads(TimePoint now) const;
  /// Returns the number of other entries that reported recently.
  std::size_t livePeers(TimePoint now) const;

private:
  struct PeerLoad {
    std::string Peer;
    std::uint64_t NameDigest = 0;
    TimePoint At;
    std::vector<EndpointLoad> Loads;
  };

  void addPeerLoad(const PeerLoad &load);
  void removePeerLoad(const PeerLoad &load);
  void sumPeerLoads(EndpointState &state) const;

  void buildIndexes();
  void setGroup(EndpointState &state, const GroupId &group);
  void setMustReport(EndpointState &state, bool mustReport);
  void setSlowdown(EndpointState &state, double slowdown, TimePoint now);
  std::vector<std::uint64_t> decodingPeers(TimePoint now) const;
  std::vector<EndpointState *> dueOutside(TimePoint now,
                                          std::mt19937_64 &random);
  static void extendFull(EndpointState &state, TimePoint now);
  void onNoResponse(EndpointState &queried, TimePoint now);
  EndpointState *findMutable(const EndpointId &id);
  std::vector<EndpointState *> groupOf(EndpointState &state);
  Duration queryInterval(TimePoint now) const;

  std::map<EndpointId, EndpointState> States;
  bool HasDrained = false;
  bool HasOutside = false;
  /// Indexes of \c States. Pointers to elements of a map stay valid.
  std::unordered_map<ServiceId, std::vector<const EndpointState *>> Services;
  std::unordered_map<IncarnationDigest, const EndpointState *> Incarnations;
  std::map<GroupGaps::Key, std::vector<EndpointState *>> Groups;
  /// The endpoints that must report, by id.
  std::map<EndpointId, EndpointState *> Closed;
  std::map<EndpointId, EndpointState *> Slowed;
  std::optional<TimePoint> NextSlowdownQuery;
  TimePoint OutsideWantedUntil;
  TimePoint OutsideQueryAt;
  /// The latest report of each entry, the oldest first.
  std::list<PeerLoad> PeerLoads;
  std::unordered_map<std::string, std::list<PeerLoad>::iterator> Peers;
  GroupGaps Gaps;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_ENDPOINTTABLE_H
