//===- EndpointList.h - which endpoints exist -------------------*- C++ -*-===//
//
// The state machine that turns the platform's lists into the set of endpoints
// to use. One that vanishes stops being preferred at once and is dropped after
// a grace, as rows lapse while the platform is out and come back soon after it.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_ENDPOINTLIST_H
#define OSPREYSPUR_DIRECT_ENDPOINTLIST_H

#include "ospreyspur/Direct/EndpointRecord.h"
#include "ospreyspur/Support/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace ospreyspur {

/// An endpoint that may be used.
struct ListedEndpoint {
  EndpointRecord Record;
  /// Whether its row has vanished and may come back.
  bool IsMissing = false;
};

/// Keeps the set of endpoints.
class EndpointList {
public:
  /// How long a vanished endpoint is kept, not preferred. New work must end
  /// 2 s after the row went (the platform's drain bound).
  static constexpr Duration MissingGrace = std::chrono::milliseconds(1000);
  /// The same when many vanish at once: rows that lapsed in an outage are back
  /// within two seconds of the platform's return.
  static constexpr Duration LapseGrace = std::chrono::milliseconds(1900);
  /// Many: more than one in so many rows.
  static constexpr std::size_t ManyOneIn = 4;

  /// Takes a whole list.
  void replace(const std::vector<EndpointRecord> &records, TimePoint now);
  /// Drops what has been missing too long. True if something was dropped.
  bool onTimer(TimePoint now);

  /// All endpoints, in the order of their ids.
  std::vector<ListedEndpoint> endpoints() const;
  /// When onTimer() is next needed.
  std::optional<TimePoint> nextTimer() const;

private:
  struct Row {
    EndpointRecord Record;
    std::optional<TimePoint> DropAt;
  };

  std::map<EndpointId, Row> Rows;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_ENDPOINTLIST_H
