//===- EndpointStatusQueries.cpp - which endpoints are queried ------------===//
//
// The part of EndpointTable that decides which endpoints get status queries and
// takes their reports.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/EndpointTable.h"

#include "ospreyspur/Support/Digest.h"

#include <algorithm>
#include <iterator>

using namespace ospreyspur;

std::vector<EndpointRecord>
EndpointTable::takeStatusQueries(const MayQuery &mayQuery, TimePoint now,
                                 std::mt19937_64 &random) {
  std::vector<EndpointState *> due;
  for (const auto &[id, state] : Closed)
    if (!state->IsOutside && now >= state->QueryAt)
      due.push_back(state);
  for (EndpointState *it : dueOutside(now, random))
    due.push_back(it);
  std::vector<EndpointRecord> out;
  for (EndpointState *state : due) {
    // A query to another member of the group may have postponed this one.
    if (now < state->QueryAt)
      continue;
    if (!mayQuery(*state)) {
      state->QueryAt = now + queryInterval(now);
      continue;
    }
    out.push_back(state->Record);
    for (EndpointState *member : groupOf(*state))
      member->QueryAt = now + QueryTimeout;
  }
  return out;
}

void EndpointTable::requestOutside(TimePoint now) {
  OutsideWantedUntil = now + OutsideWantedTime;
  OutsideQueryAt = std::max(OutsideQueryAt, now);
}

/// Returns a random choice of the endpoints outside of the subset that are to
/// be queried now, if any are wanted.
std::vector<EndpointState *>
EndpointTable::dueOutside(TimePoint now, std::mt19937_64 &random) {
  if (now < OutsideQueryAt || now >= OutsideWantedUntil)
    return {};
  OutsideQueryAt = now + QueryInterval;
  std::vector<EndpointState *> due;
  for (const auto &[id, state] : Closed)
    if (state->IsOutside && now >= state->QueryAt)
      due.push_back(state);
  std::vector<EndpointState *> out;
  std::sample(due.begin(), due.end(), std::back_inserter(out),
              MaxOutsideQueries, random);
  return out;
}

std::vector<EndpointRecord>
EndpointTable::takeSlowdownQueries(const MayQuery &mayQuery,
                                   const std::set<EndpointId> &followed,
                                   std::uint64_t self, TimePoint now) {
  std::vector<EndpointRecord> out;
  NextSlowdownQuery.reset();
  // Determined only if needed: its cost grows with the number of entries.
  std::optional<std::vector<std::uint64_t>> others;
  for (auto &[id, state] : States) {
    bool isWanted =
        state.Record.AnswersStatusQueries && !state.MustReport &&
        (gapOf(state, now) >= SlowdownQueryGap || followed.contains(id));
    if (!isWanted) {
      state.QuerySlowdownAt.reset();
      continue;
    }
    if (!state.QuerySlowdownAt) {
      if (!others)
        others = decodingPeers(now);
      auto rank = int(rendezvousRank(self, *others, state.Incarnation.get()));
      state.QuerySlowdownAt =
          std::max(now, state.SlowdownAt + SlowdownInterval) +
          rank * SuccessorDelay;
    }
    if (now >= *state.QuerySlowdownAt) {
      state.QuerySlowdownAt = now + SlowdownInterval;
      if (mayQuery(state))
        out.push_back(state.Record);
    }
    NextSlowdownQuery = std::min(NextSlowdownQuery.value_or(TimePoint::max()),
                                 *state.QuerySlowdownAt);
  }
  return out;
}

std::optional<TimePoint> EndpointTable::nextStatusQuery() const {
  std::optional<TimePoint> next;
  bool hasOutside = false;
  for (const auto &[id, state] : Closed) {
    hasOutside = hasOutside || state->IsOutside;
    if (!state->IsOutside && (!next || state->QueryAt < *next))
      next = state->QueryAt;
  }
  bool wantsOutside = hasOutside && OutsideQueryAt < OutsideWantedUntil;
  if (wantsOutside && (!next || OutsideQueryAt < *next))
    next = OutsideQueryAt;
  return next;
}

void EndpointTable::onStatusReport(const EndpointId &id,
                                   const std::optional<EndpointStatus> &status,
                                   TimePoint now) {
  EndpointState *reporter = findMutable(id);
  if (reporter && status) {
    setSlowdown(*reporter, status->Slowdown, now);
    reporter->SlowdownReportedAt = now;
  }
  if (!reporter || !reporter->MustReport)
    return;
  if (!status) {
    onNoResponse(*reporter, now);
    return;
  }
  setGroup(*reporter, status->Group);
  reporter->UnresponsiveUntil = TimePoint();
  bool isFull = status->Running >= reporter->Record.Slots;
  if (status->IsOpen && isFull)
    extendFull(*reporter, now);
  // Whether the group accepts requests is the same for all its ranks; the load
  // is the endpoint's own.
  for (EndpointState *it : groupOf(*reporter)) {
    setMustReport(*it, !status->IsOpen);
    it->QueryAt = std::max(now + queryInterval(now), it->UnresponsiveUntil);
  }
  if (status->IsOpen && !isFull)
    reporter->KnownServingAt = now;
}

/// A status query without a response says nothing about the group, so another
/// member is queried at once. Otherwise a group of which only this one endpoint
/// is unreachable would stay closed to this entry for as long.
void EndpointTable::onNoResponse(EndpointState &queried, TimePoint now) {
  onFailure(queried.Record.Id, now);
  queried.QueryAt = now + queryInterval(now);
  for (EndpointState *it : groupOf(queried)) {
    if (it == &queried)
      continue;
    it->QueryAt = std::max(now, it->UnresponsiveUntil);
    queried.QueryAt = now + QueryTimeout;
  }
  queried.UnresponsiveUntil = now + QueryTimeout;
}

Duration EndpointTable::queryInterval(TimePoint now) const {
  std::size_t entries = livePeers(now) + 1;
  return QueryInterval *
         ((entries + MaxQueriesPerInterval - 1) / MaxQueriesPerInterval);
}
