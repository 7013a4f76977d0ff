//===- StatusFilter.h - which states a coordinator needs to hear *- C++ -*-===//
//
// A rank's state is read at about every step. Its coordinator is told when more
// than the step has changed, and otherwise only often enough to know that the
// rank can be reached: what it receives must not grow with the group.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_STATUSFILTER_H
#define OSPREYSPUR_EXPERTS_STATUSFILTER_H

#include "ospreyspur/Experts/RankStatus.h"
#include "ospreyspur/Support/Time.h"

#include <optional>
#include <string>

namespace ospreyspur {

/// Filters the states of one rank.
class StatusFilter {
public:
  /// Under half of the silence after which a coordinator reads a rank itself.
  static constexpr Duration Heartbeat = std::chrono::milliseconds(180);

  /// What to tell the coordinator at \p address of \p status, if anything. The
  /// placement is left out where the coordinator has been told it.
  std::optional<RankStatus> filter(const RankStatus &status,
                                   const std::string &address, TimePoint now);

  /// What was told before may not have arrived.
  void reset() { Told.reset(); }

private:
  bool isNews(const RankStatus &status) const;

  std::optional<RankStatus> Told;
  std::string Address;
  TimePoint ToldAt;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_STATUSFILTER_H
