//===- EndpointBook.h - load and health of each endpoint --------*- C++ -*-===//
//
// What an entry knows of the endpoints: its own requests there, those of the
// other entries, and evidence of failures. An endpoint that fails is left out
// for a time that doubles with each failure in a row.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_ENDPOINTBOOK_H
#define OSPREYSPUR_DIRECT_ENDPOINTBOOK_H

#include "ospreyspur/Direct/DirectActions.h"
#include "ospreyspur/Direct/EndpointList.h"
#include "ospreyspur/Direct/GroupPaces.h"
#include "ospreyspur/Quarantine/CrashReport.h"
#include "ospreyspur/Support/Time.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace ospreyspur {

/// Requests of one entry at one endpoint.
struct EndpointLoad {
  EndpointId Endpoint;
  unsigned Running = 0;
  /// Prompt tokens of those without a first byte.
  unsigned Unread = 0;
  /// How many times slower than usual the endpoint told this entry that it
  /// works; 0 if it was not asked lately.
  double Pace = 0;
};

/// One endpoint as an entry sees it.
struct EndpointState {
  EndpointRecord Record;
  /// What its life is known by in crash reports.
  LifeDigest Life;
  bool IsMissing = false;
  /// This entry's requests there.
  unsigned Own = 0;
  /// Prompt tokens of this entry's requests without a first byte.
  unsigned OwnUnread = 0;
  unsigned FailuresInRow = 0;
  /// Answers in a row that said that the run had failed.
  unsigned FailedAnswersInRow = 0;
  /// Left out until then, if there is any other.
  TimePoint SuspectUntil;
  /// It said that it was full; taken as full until then.
  TimePoint FullUntil;
  unsigned FullInRow = 0;
  /// When it last began or ended an answer.
  TimePoint ProvenAt;
  /// Its group, once it has told it.
  GroupId Group;
  /// Another incarnation has its address: it is excluded until then. The number
  /// of reports that still have to say so.
  TimePoint ReplacedUntil;
  unsigned ReplacedTellings = 0;
  /// It gets nothing before it has told that it takes requests.
  bool MustTell = false;
  TimePoint AskAt;
  /// It did not answer a question; others of its group are asked until then.
  TimePoint UnansweredUntil;
  /// How many times slower than usual it works, and when it told.
  double Pace = 1;
  TimePoint PaceAt;
  /// The same, if it told this entry and not another one.
  TimePoint PaceToldAt;
  /// When this entry asks, if no other one has told by then.
  std::optional<TimePoint> AskPaceAt;
};

/// Load and health by endpoint.
class EndpointBook {
public:
  static constexpr Duration FirstSuspicion = std::chrono::milliseconds(500);
  static constexpr Duration LongestSuspicion = std::chrono::seconds(8);
  /// How long a replaced endpoint is excluded.
  static constexpr Duration ReplacedTime = std::chrono::minutes(1);
  /// Reports in which a replaced endpoint is told, as datagrams may be lost,
  /// and most of them in one report.
  static constexpr unsigned ReplacedRepeats = 3;
  static constexpr std::size_t MaxToldReplaced = 32;
  /// From this number of failed answers in a row on an endpoint is suspect: one
  /// may be the request's own fault. An endpoint that fails at once is always
  /// the least loaded; unsuspected, a fifth of them got two thirds of all
  /// requests.
  static constexpr unsigned SuspectFailedAnswers = 2;
  /// How long an endpoint that said it was full gets nothing new: about two
  /// passes of an engine; twice as long each time in a row, as ranks whose
  /// group is being formed say the same.
  static constexpr Duration FullTime = std::chrono::milliseconds(100);
  static constexpr Duration LongestFullTime = std::chrono::milliseconds(400);
  /// Between two questions to an endpoint that takes nothing; a group is formed
  /// in 600 ms on the users' platform.
  static constexpr Duration AskPause = std::chrono::milliseconds(100);
  /// With more entries than this each asks less often, so that a group that is
  /// being formed gets no more than this many questions in a pause.
  static constexpr std::size_t AskersPerPause = 8;
  /// After this time a question without an answer is asked again.
  static constexpr Duration AskTimeout = std::chrono::seconds(1);
  /// From this pause between the events of a group's streams on its ranks are
  /// asked how fast they work: passes of a full group with a map that fits stay
  /// below it on the users' platform.
  static constexpr Duration SlowPass = std::chrono::milliseconds(180);
  /// How long after the end of one of its endpoints a group is asked again at
  /// the earliest: it has to be started and the group formed, which takes 600
  /// ms on the users' platform, and reports are 200 ms old there.
  static constexpr Duration BrokenPause = std::chrono::milliseconds(500);
  /// Between two such questions of all entries to an endpoint, at the mean;
  /// what it told holds for two. Each entry asks in its turn, which is drawn
  /// at random, and tells the others: 52 entries that each asked 192 endpoints
  /// once a second put 225,000 questions on a day of 17,000 requests.
  static constexpr Duration PaceEvery = std::chrono::milliseconds(1000);
  /// After this time another entry's report no longer counts.
  static constexpr Duration PeerLoadAge = std::chrono::seconds(1);

  // Commands.

  void setEndpoints(const std::vector<ListedEndpoint> &endpoints);
  /// What the entry \p peer has at the endpoints.
  void setPeerLoad(const std::string &peer,
                   const std::vector<EndpointLoad> &loads, TimePoint now);
  void onStarted(const EndpointId &id, unsigned promptTokens);
  /// The first byte of an answer came.
  void onFirstByte(const EndpointId &id, unsigned promptTokens, TimePoint now);
  /// The prompt of a request that ended without an answer no longer counts.
  void dropUnread(const EndpointId &id, unsigned promptTokens);
  /// Events came, \p gap after the last ones.
  void onEvents(const EndpointId &id, Duration gap, TimePoint now);
  /// \p wasWriting: whether the first byte had come.
  void onEnded(const EndpointId &id, bool wasWriting);
  /// A stream's attempt ended after \p silence.
  void onSilence(const EndpointId &id, Duration silence, TimePoint now);
  void onSuccess(const EndpointId &id, TimePoint now);
  void onFailure(const EndpointId &id, TimePoint now);
  /// It answered that the run had failed.
  void onFailedAnswer(const EndpointId &id, TimePoint now);
  void onFull(const EndpointId &id, TimePoint now);
  /// Says whether an endpoint may be sent a question now; one that is sent
  /// counts as a request.
  using MayAsk = std::function<bool(const EndpointState &)>;

  /// The endpoints to ask for their condition now, one of each known group.
  std::vector<EndpointRecord> takeQuestions(const MayAsk &mayAsk,
                                            TimePoint now);
  /// The endpoints of slow groups to ask how fast they work.
  std::vector<EndpointRecord> takePaceQuestions(const MayAsk &mayAsk,
                                                TimePoint now,
                                                std::mt19937_64 &random);
  /// What an endpoint told; nothing if it did not answer.
  void onTold(const EndpointId &id,
              const std::optional<EndpointCondition> &condition, TimePoint now);
  /// Forgets what has passed of nextFree().
  void forgetFull(TimePoint now);
  /// The endpoint's process has ended: its group takes nothing before one of it
  /// has told so. Returns the group's endpoints.
  std::vector<EndpointId> onLifeEnded(const EndpointId &id, TimePoint now);
  /// Another incarnation has the endpoint's address.
  void onReplaced(const EndpointId &id, TimePoint now);
  /// Another entry reported the lives \p lives as replaced.
  void mergeReplaced(const std::vector<LifeDigest> &lives, TimePoint now);
  /// The replaced endpoints to report to the other entries now.
  std::vector<LifeDigest> takeReplacedReport();

  // Queries.

  const std::map<EndpointId, EndpointState> &states() const { return States; }
  const EndpointState *find(const EndpointId &id) const;
  /// The endpoint with the life \p life; null if it is not known.
  const EndpointState *findLife(LifeDigest life) const;
  /// When an endpoint that said that it was full may next be tried again.
  std::optional<TimePoint> nextFree() const;
  /// When takeQuestions() is next needed.
  std::optional<TimePoint> nextQuestion() const;
  /// What all entries have at \p state's endpoint.
  EndpointLoad totalLoad(const EndpointState &state, TimePoint now) const;
  /// The pause between events to expect at \p state's endpoint; zero if it is
  /// of no group or nothing is known.
  Duration gapOf(const EndpointState &state, TimePoint now) const;
  /// The same, of several streams at least.
  Duration sureGapOf(const EndpointState &state, TimePoint now) const;
  /// How many times slower than usual the endpoint works; 1 if that is not
  /// known.
  static double paceOf(const EndpointState &state, TimePoint now) {
    return now - state.PaceAt < 2 * PaceEvery ? state.Pace : 1;
  }
  /// This entry's load, for the other entries.
  std::vector<EndpointLoad> ownLoads(TimePoint now) const;
  /// Other entries heard of lately.
  std::size_t livePeers(TimePoint now) const;

private:
  struct PeerLoad {
    TimePoint At;
    std::unordered_map<EndpointId, EndpointLoad> Loads;
  };

  static void pauseFull(EndpointState &state, TimePoint now);
  void onUnanswered(EndpointState &asked, TimePoint now);
  EndpointState *findMutable(const EndpointId &id);
  std::vector<EndpointState *> groupOf(EndpointState &state);
  Duration askPause(TimePoint now) const;

  std::map<EndpointId, EndpointState> States;
  std::map<std::string, PeerLoad> Peers;
  GroupPaces Paces;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_ENDPOINTBOOK_H
