//===- CoordinatorWatch.h - may a member take its group over? ---*- C++ -*-===//
//
// A group that stands still is no proof that its coordinator is gone: it may be
// at work on just that, or its orders may be slow. A member that doubts asks it
// first, and takes the lease only if there is no answer. Members wait in the
// order of their ranks, so that mostly one of them acts.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_COORDINATORWATCH_H
#define OSPREYSPUR_EXPERTS_COORDINATORWATCH_H

#include "ospreyspur/Support/Time.h"

#include <optional>
#include <string>

namespace ospreyspur {

/// What a member should do about a group that stands still.
enum class StallAdvice : std::uint8_t {
  Wait,
  /// Ask the coordinator whether it is at work.
  Ask,
  TakeOver,
};

/// One member's view of its coordinator, for as long as the group stands.
class CoordinatorWatch {
public:
  /// Some round trips of a busy host.
  static constexpr Duration AnswerTime = std::chrono::milliseconds(150);
  /// A write to the store and what follows take some 20 ms.
  static constexpr Duration NextRankAfter = std::chrono::milliseconds(30);
  /// The last rank of a large group waits no longer than this for the others.
  static constexpr Duration LongestTurn = std::chrono::milliseconds(500);
  /// A coordinator that answers and yet does not get its group to move for this
  /// time may be cut off from some of its ranks; its own phases end earlier.
  static constexpr Duration LongestTrust = std::chrono::milliseconds(2500);

  /// The group stands, as seen by the member of \p rank, which takes \p holder
  /// for its coordinator. Another one than before is doubted anew: the silence
  /// of its predecessor says nothing of it.
  StallAdvice onStalled(const std::string &holder, unsigned rank,
                        TimePoint now);
  /// The coordinator has answered.
  void onAnswer(TimePoint now);
  /// The group moves.
  void onMoving();

private:
  std::string Holder;
  std::optional<TimePoint> DoubtedAt;
  std::optional<TimePoint> AskedAt;
  TimePoint TrustedUntil;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_COORDINATORWATCH_H
