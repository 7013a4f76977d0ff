//===- CoordinatorWatch.h - when to take a coordinator over -----*- C++ -*-===//
//
// A stalled group does not prove that its coordinator is gone: the coordinator
// may be working on the stall, or its orders may be slow. A member that
// suspects its coordinator queries it first and takes the lease over only if
// there is no reply. Members wait in the order of their ranks, so that usually
// only one of them acts. A coordinator that has not ended the stall within
// MaxTrustTime loses the lease even if it replies, without any such wait.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_COORDINATORWATCH_H
#define OSPREYSPUR_EXPERTS_COORDINATORWATCH_H

#include "ospreyspur/Support/Time.h"

#include <optional>
#include <string>

namespace ospreyspur {

/// What a member should do about a stalled group.
enum class StallAdvice : std::uint8_t {
  Wait,
  /// Query whether the coordinator is working on the group.
  Ask,
  TakeOver,
};

/// One member's view of its coordinator while the group is stalled.
class CoordinatorWatch {
public:
  /// Time that a coordinator has for its reply: a few round trips of a busy
  /// host.
  static constexpr Duration ReplyTimeout = std::chrono::milliseconds(150);
  /// Additional wait per rank. Writing to the key-value store and the work that
  /// follows take about 20 ms.
  static constexpr Duration RankDelay = std::chrono::milliseconds(30);
  /// Upper bound of the additional wait, for the last ranks of a large group.
  static constexpr Duration MaxRankDelay = std::chrono::milliseconds(500);
  /// A coordinator that replies but does not get its group to progress within
  /// this time may be cut off from some of its ranks. The coordinator's own
  /// phases time out earlier.
  static constexpr Duration MaxTrustTime = std::chrono::milliseconds(2500);

  /// Called while the group is stalled, as seen by the member of \p rank, which
  /// regards \p holder as its coordinator. A new holder is evaluated from the
  /// start: the silence of its predecessor says nothing about it.
  StallAdvice onStalled(const std::string &holder, unsigned rank,
                        TimePoint now);
  /// The coordinator has replied. Has no effect unless a query is pending.
  void onQueryReply(TimePoint now);
  /// The group progresses again.
  void onProgress();

private:
  std::string Holder;
  std::optional<TimePoint> SuspectedAt;
  std::optional<TimePoint> QueriedAt;
  TimePoint TrustedUntil;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_COORDINATORWATCH_H
