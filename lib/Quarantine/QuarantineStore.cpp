//===- QuarantineStore.cpp - persists quarantined requests ----------------===//
//
// The stored value is a space-separated list of request digests in hex.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Quarantine/QuarantineStore.h"

#include <algorithm>
#include <sstream>
#include <utility>

using namespace ospreyspur;

static constexpr char QuarantineKey[] = "ospreyspur/quarantine";

static std::string format(const std::vector<RequestDigest> &requests) {
  std::string out;
  for (RequestDigest it : requests)
    out += (out.empty() ? "" : " ") + toHex(it);
  return out;
}

/// Skips words that are not request digests.
static std::vector<RequestDigest> parse(const std::string &text) {
  std::vector<RequestDigest> out;
  std::istringstream is(text);
  for (std::string word; out.size() < QuarantineStore::MaxStored && is >> word;)
    if (RequestDigest it = parseRequestDigest(word); it != RequestDigest())
      out.push_back(it);
  return out;
}

static bool contains(const std::vector<RequestDigest> &requests,
                     RequestDigest request) {
  return std::find(requests.begin(), requests.end(), request) != requests.end();
}

void QuarantineStore::setLocalQuarantine(
    std::vector<RequestDigest> quarantined,
    const std::vector<RequestDigest> &cleared, TimePoint now) {
  Own = std::move(quarantined);
  if (Own.size() > MaxStored)
    Own.resize(MaxStored);
  Cleared.clear();
  for (RequestDigest it : cleared)
    Cleared.insert(it);
  if (!HasRead || IsCalling || !needsWrite())
    return;
  std::uniform_int_distribution<Duration::rep> spread(0, WriteSpread.count());
  TimePoint next = now + Duration(spread(Random));
  if (DueAt && *DueAt <= next)
    return;
  DueAt = next;
  IsFresh = false;
}

bool QuarantineStore::needsWrite() const {
  bool isMissing = std::any_of(Own.begin(), Own.end(), [&](RequestDigest it) {
    return !contains(Stored, it);
  });
  return isMissing ||
         std::any_of(Stored.begin(), Stored.end(),
                     [&](RequestDigest it) { return Cleared.contains(it); });
}

std::vector<RequestDigest> QuarantineStore::merged() const {
  std::vector<RequestDigest> out = Own;
  for (RequestDigest it : Stored)
    if (out.size() < MaxStored && !contains(out, it) && !Cleared.contains(it))
      out.push_back(it);
  return out;
}

std::optional<KvCall> QuarantineStore::nextCall(TimePoint now) {
  if (IsCalling || !DueAt || now < *DueAt)
    return std::nullopt;
  DueAt.reset();
  IsCalling = true;
  if (!IsFresh)
    return KvGet{QuarantineKey, false};
  Writing = merged();
  return KvPut{QuarantineKey, format(*Writing), StoredRevision, LeaseSpan};
}

std::vector<RequestDigest> QuarantineStore::onReply(const KvReply &reply,
                                                    TimePoint now) {
  IsCalling = false;
  std::optional<std::vector<RequestDigest>> written =
      std::exchange(Writing, std::nullopt);
  if (written && reply.Code == ResultCode::Ok) {
    Stored = std::move(*written);
    StoredRevision = reply.At;
    WrittenAt = now;
    RetryDelay = MinRetryDelay;
    if (needsWrite()) {
      DueAt = now + MinRetryDelay;
    } else if (!Own.empty()) {
      DueAt = now + RewriteAfter;
      IsFresh = false;
    }
    return {};
  }
  bool isRead = !written && (reply.Code == ResultCode::Ok ||
                             reply.Code == ResultCode::NotFound);
  bool hasConflict = written && reply.Code == ResultCode::PlatformConflict;
  if (!isRead && !hasConflict) {
    scheduleRetry(now);
    return {};
  }
  // The entry that wrote the value last renews the lease.
  bool isLastWriter = isRead && reply.Code == ResultCode::Ok &&
                      reply.At == StoredRevision &&
                      now - WrittenAt >= RewriteAfter;
  updateStored(reply);
  bool isFirst = !std::exchange(HasRead, true);
  IsFresh = true;
  RetryDelay = MinRetryDelay;
  if (needsWrite() || (isLastWriter && !Own.empty()))
    DueAt = now;
  return isFirst ? Stored : std::vector<RequestDigest>();
}

void QuarantineStore::updateStored(const KvReply &reply) {
  bool isAbsent = reply.Code == ResultCode::NotFound;
  StoredRevision = isAbsent ? Revision(0) : reply.At;
  Stored = isAbsent ? std::vector<RequestDigest>() : parse(reply.Value);
}

void QuarantineStore::scheduleRetry(TimePoint now) {
  IsFresh = false;
  DueAt = now + RetryDelay;
  RetryDelay = std::min(RetryDelay * 2, MaxRetryDelay);
}

std::optional<TimePoint> QuarantineStore::nextTimer() const {
  return IsCalling ? std::nullopt : DueAt;
}
