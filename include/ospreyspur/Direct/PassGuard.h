//===- PassGuard.h - keeps passes shorter than pauses may be ----*- C++ -*-===//
//
// Predicts the pass that a request would bring about at an endpoint and says
// whether the streams of the endpoint's group could bear it. A first event has
// some hundred milliseconds to spare, a pause has not: so a request that would
// make a pass too long waits for a better one.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_PASSGUARD_H
#define OSPREYSPUR_DIRECT_PASSGUARD_H

#include "ospreyspur/Direct/EndpointBook.h"
#include "ospreyspur/Direct/PassModel.h"

#include <map>
#include <utility>

namespace ospreyspur {

/// Watches the passes of all groups that one entry uses.
class PassGuard {
public:
  explicit PassGuard(const EndpointBook &book) : Book(book) {}

  /// A stream at \p state's endpoint got events, \p gap after its last ones.
  /// Whether they are the first of a pass.
  bool onEvents(const EndpointState &state, const EngineFigures &engine,
                Duration gap, TimePoint now);

  /// Whether a request with \p prompt tokens at \p state's endpoint would leave
  /// the pauses of its group within \p bound, or could not make them worse.
  bool fits(const EndpointState &state, const EngineFigures &engine,
            unsigned prompt, Duration bound, TimePoint now) const;

private:
  /// What the ranks of a group have to do in their next pass, evenly in demand.
  struct GroupLoad {
    Duration Slowest{};
    /// Without any reading, on a rank with the mean number of writers.
    Duration Writing{};
  };

  GroupLoad loadOf(const EndpointState &state, const EngineFigures &engine,
                   TimePoint now) const;

  const EndpointBook &Book;
  std::map<std::pair<ServiceId, GroupId>, PassModel> Models;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_PASSGUARD_H
