//===- LeaseHolder.h - gets and keeps a lease -------------------*- C++ -*-===//
//
// State machine that acquires and keeps a group's coordinator lease. The holder
// acts only while its own monotonic clock shows that the lease must still be
// valid, less a margin, unless LeaseLimits::ActsDuringOutage is set. A pause
// between that check and an action is covered by the epoch, which receivers
// compare.
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

/// Durations and policies of a lease.
struct LeaseLimits {
  Duration Span = std::chrono::seconds(6);
  /// The holder does not act during this last part of the lease.
  Duration Margin = std::chrono::seconds(1);
  Duration RenewEvery = std::chrono::seconds(2);
  /// Interval at which a candidate checks whether the lease is free. The
  /// candidate reads before it writes: most agents of a large fleet are
  /// candidates, and the number of writes is limited.
  Duration RetryEvery = std::chrono::seconds(4);
  /// Longest time between two reads by a candidate that hears from the holder
  /// itself; with zero, replies of the holder postpone no read.
  Duration MaxReadInterval{};
  /// A call without a reply is abandoned after this time.
  Duration CallTimeout = std::chrono::seconds(2);
  /// Whether a holder whose renewals get no reply continues to act until it
  /// learns that the lease is lost. Safe only where something else limits its
  /// actions: fencing of all its orders, or the consent of the group's members.
  bool ActsDuringOutage = false;
  /// Whether a lease held by an earlier incarnation of this process is taken
  /// over at once; no other process acts under that lease. Late orders of the
  /// earlier incarnation must be fenced, or refused because their step has
  /// begun. The sooner the lease is taken over, the sooner a change that the
  /// earlier incarnation left unfinished is ended.
  bool TakesOverOwnLease = false;
};

/// Acquires and keeps one lease.
class LeaseHolder {
public:
  /// \p self is written as the key's value, so that operators can see the
  /// holder.
  LeaseHolder(std::string key, std::string self, LeaseLimits limits);

  /// The call to make now, if any; its reply goes to onReply().
  std::optional<KvCall> nextCall(TimePoint now);
  /// The number of the latest call returned by nextCall().
  std::uint64_t lastCall() const { return LastCall; }
  /// Handles the reply to call \p number. Replies to calls before the latest
  /// are ignored: a late reply to a read could be taken for the reply to a
  /// write, and two holders would then have the same revision.
  void onReply(std::uint64_t number, const KvReply &reply, TimePoint now) {
    if (number == LastCall)
      onReply(reply, now);
  }
  /// Handles the reply to the latest call.
  void onReply(const KvReply &reply, TimePoint now);
  /// Called when the current holder appears to be dead. Takes the lease over
  /// with the next call, if the lease still has the revision that was read.
  /// Does nothing while a call is pending. Allowed only where all orders of
  /// holders are fenced; for an own lease, see TakesOverOwnLease.
  void takeOver(TimePoint now);
  /// The process that this one knows as the holder has replied that it leads
  /// its group. The next read waits for another RetryEvery, up to
  /// MaxReadInterval after the previous one. Most candidates then need not read
  /// the store.
  void onHolderReply(TimePoint now);
  /// Called when this process may no longer hold the lease. It stops acting
  /// until the next call has found that its own write is still in place.
  void suspend(TimePoint now);
  /// Stops acquiring the lease, and does not renew a held lease again.
  void stop() { IsStopped = true; }

  /// Whether this process may act as the holder at \p now.
  bool isHeld(TimePoint now) const {
    return Holder.get() > 0 && (Limits.ActsDuringOutage || now < ActUntil);
  }
  /// Whether the lease is valid at \p now according to the last reply of the
  /// key-value store.
  bool isConfirmed(TimePoint now) const {
    return Holder.get() > 0 && now < ActUntil;
  }
  /// The revision of the newest known holder, this process included; 0 if none
  /// is known.
  Revision newestHolder() const { return std::max(Holder, OtherRevision); }
  /// The epoch; meaningful only while the lease is held.
  Epoch epoch() const { return Epoch(Holder.get()); }
  /// The value that the current holder wrote, as last read, or this process's
  /// own since it acquired the lease; empty if there was no holder.
  const std::string &holder() const { return HolderName; }
  /// When nextCall() must be called next.
  TimePoint nextTimer() const;

private:
  void lose(TimePoint now);
  void hold(Revision at);
  void recordHolder(const KvReply &reply);

  std::string Key;
  std::string Self;
  LeaseLimits Limits;
  Revision Holder;
  std::string HolderName;
  /// The last revision that this process wrote, if suspend() was called for it.
  Revision SuspendedRevision;
  /// The revision of another holder as last read; 0 if there was none.
  Revision OtherRevision;
  TimePoint ActUntil;
  TimePoint NextCall;
  TimePoint SentAt;
  std::uint64_t LastCall = 0;
  bool IsCalling = false;
  /// Whether the last read found no key.
  bool IsFree = false;
  /// Whether the next call takes the lease over from the holder that wrote
  /// OtherRevision.
  bool IsTakingOver = false;
  /// Whether the pending call tries to acquire the lease.
  bool IsAcquiring = false;
  bool IsStopped = false;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_LEASEHOLDER_H
