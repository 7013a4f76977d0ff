//===- LeaseHolder.h - gets and keeps a lease -------------------*- C++ -*-===//
//
// The state machine that holds a group's coordinator lease. Its holder acts
// only while its own monotonic clock says that the lease must still stand, less
// a margin; a pause between that check and the act is covered by the epoch,
// which the receivers compare.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_LEASEHOLDER_H
#define OSPREYSPUR_EXPERTS_LEASEHOLDER_H

#include "ospreyspur/Experts/GroupMessages.h"
#include "ospreyspur/Platform/KeyValue.h"
#include "ospreyspur/Support/Time.h"

#include <algorithm>
#include <optional>
#include <string>

namespace ospreyspur {

/// Times of a lease.
struct LeaseLimits {
  Duration Span = std::chrono::seconds(6);
  /// Not acted on in the lease's last part.
  Duration Margin = std::chrono::seconds(1);
  Duration RenewEvery = std::chrono::seconds(2);
  /// How often a candidate looks whether the lease is free. It reads first:
  /// most agents of a large fleet are candidates, and writes are scarce.
  Duration RetryEvery = std::chrono::seconds(4);
  /// After this time a call without an answer is given up.
  Duration CallTimeout = std::chrono::seconds(2);
  /// Whether a holder whose renewals are not answered acts on until it learns
  /// that the lease is gone. Only where something else ends what it may do: the
  /// fencing of all that it orders, or its members' consent.
  bool OutlastsOutage = false;
  /// Whether a lease of an earlier life of the process is taken at once: nobody
  /// else acts under it. What that life ordered and is carried out late must be
  /// fenced, or refused because its step has begun; a change that it left is
  /// ended sooner the sooner the lease is taken.
  bool TakesOwn = false;
};

/// Gets and keeps one lease.
class LeaseHolder {
public:
  /// \p self is written as the key's value, for operators to read.
  LeaseHolder(std::string key, std::string self, LeaseLimits limits);

  /// The call to make now, if any; its answer goes to onReply().
  std::optional<KvCall> nextCall(TimePoint now);
  /// The number of the call that nextCall() gave last.
  std::uint64_t lastCall() const { return LastCall; }
  /// Takes the answer to the call \p number. One to an earlier call than the
  /// latest is passed over: a late answer to a read would pass for one to a
  /// write, and two holders would have one revision.
  void onReply(std::uint64_t number, const KvReply &reply, TimePoint now) {
    if (number == LastCall)
      onReply(reply, now);
  }
  /// Takes the answer to the latest call.
  void onReply(const KvReply &reply, TimePoint now);
  /// The holder gives no sign of life: takes the lease from it by the next
  /// call, if it still has the revision that was read. Only where all that
  /// holders order is fenced.
  void takeOver(TimePoint now);
  /// Doubts that it still holds the lease: acts no more until the next call
  /// has found its own write to stand.
  void doubt(TimePoint now);
  /// Stops trying, and gives a held lease no further renewal.
  void stop() { IsStopped = true; }

  /// Whether the holder may act at \p now.
  bool isHeld(TimePoint now) const {
    return Holder.get() > 0 && (Limits.OutlastsOutage || now < ActUntil);
  }
  /// Whether the store has confirmed that the lease stands at \p now.
  bool isConfirmed(TimePoint now) const {
    return Holder.get() > 0 && now < ActUntil;
  }
  /// The newest holder's revision that is known, the own one included; 0 if
  /// none is.
  Revision newestHolder() const { return std::max(Holder, OtherHolder); }
  /// The epoch; only meaningful while held.
  Epoch epoch() const { return Epoch(Holder.get()); }
  /// What the present holder wrote, as last read; empty if there was none.
  const std::string &holder() const { return HolderText; }
  /// When nextCall() is next needed.
  TimePoint nextTimer() const;

private:
  void lose(TimePoint now);
  void hold(Revision at);
  void noteHolder(const KvReply &reply);

  std::string Key;
  std::string Self;
  LeaseLimits Limits;
  Revision Holder;
  std::string HolderText;
  /// What this holder wrote last, if it came to doubt it.
  Revision Doubted;
  /// The other holder's revision as last read; 0 if there was none.
  Revision OtherHolder;
  TimePoint ActUntil;
  TimePoint NextCall;
  TimePoint SentAt;
  std::uint64_t LastCall = 0;
  bool IsCalling = false;
  /// Whether the key was read as absent.
  bool IsFree = false;
  /// Whether the next call takes the lease from OtherHolder.
  bool IsTakingOver = false;
  /// Whether the call under way tries to take the lease.
  bool IsTaking = false;
  bool IsStopped = false;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_LEASEHOLDER_H
