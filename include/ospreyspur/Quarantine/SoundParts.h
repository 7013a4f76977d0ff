//===- SoundParts.h - prompt parts that endpoints can run -------*- C++ -*-===//
//
// Records which prompt parts endpoints have run without crashing. Callers may
// invent any number of parts, so the table is bounded: the part that was
// recorded longest ago is evicted first.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_QUARANTINE_SOUNDPARTS_H
#define OSPREYSPUR_QUARANTINE_SOUNDPARTS_H

#include "ospreyspur/Support/Digest.h"
#include "ospreyspur/Support/Time.h"

#include <list>
#include <optional>
#include <unordered_map>

namespace ospreyspur {

/// The parts with which requests made progress or completed.
class SoundParts {
public:
  /// When requests with a part last made progress, and when one last completed.
  struct Times {
    TimePoint ProgressAt;
    std::optional<TimePoint> CompletedAt;
  };

  /// About 150 KB.
  static constexpr std::size_t MaxParts = 1024;

  void onProgress(RequestDigest part, TimePoint now);
  void onComplete(RequestDigest part, TimePoint now);

  /// Null if no request with \p part is known to have made progress.
  const Times *find(RequestDigest part) const;
  std::size_t size() const { return Parts.size(); }

private:
  struct Entry {
    RequestDigest Part;
    Times At;
  };

  Times &touch(RequestDigest part);

  /// The part that was recorded last comes first.
  std::list<Entry> Parts;
  std::unordered_map<RequestDigest, std::list<Entry>::iterator> Positions;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_QUARANTINE_SOUNDPARTS_H
