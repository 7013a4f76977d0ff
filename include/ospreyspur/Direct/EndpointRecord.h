//===- EndpointRecord.h - record of an endpoint -----------------*- C++ -*-===//
//
// One record of the platform's list of endpoints.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_ENDPOINTRECORD_H
#define OSPREYSPUR_DIRECT_ENDPOINTRECORD_H

#include "ospreyspur/Support/Address.h"
#include "ospreyspur/Support/Ids.h"
#include "ospreyspur/Support/Time.h"

#include <optional>

namespace ospreyspur {

/// Wall-clock start time of an endpoint's process in milliseconds, as reported
/// by the endpoint; 0 if unknown. Only compared for equality.
using EndpointIncarnation =
    StrongType<struct EndpointIncarnationTag, std::uint64_t>;

/// Returns the id of one incarnation of the endpoint \p name. A restarted
/// process has lost all earlier state, so the incarnations of a name must not
/// share an entry in any table: not for health, load, group, slowdown or
/// attempts.
inline EndpointId makeEndpointId(const std::string &name,
                                 EndpointIncarnation incarnation) {
  bool isKnown = incarnation != EndpointIncarnation(0);
  return EndpointId(isKnown ? name + "@" + std::to_string(incarnation.get())
                            : name);
}

/// One incarnation of an endpoint.
struct EndpointRecord {
  EndpointId Id;
  /// The name that all incarnations of the endpoint share.
  std::string Name;
  EndpointIncarnation Incarnation = EndpointIncarnation(0);
  ServiceId Service;
  TcpAddress Address;
  DataCentreId DataCentre;
  /// Number of requests that the endpoint runs at the same time.
  unsigned Slots = 1;
  bool IsLeaving = false;
  /// Whether the endpoint responds to status queries, as engines do.
  bool AnswersStatusQueries = false;
  /// Revision of the last change of the record. Of two records with the same
  /// address the later one is valid: the endpoint of the earlier one has exited
  /// without removing its record.
  Revision ListedAt = Revision(0);
  /// How much longer the endpoint was cold when it wrote the record; unset if
  /// it did not say.
  std::optional<Duration> ColdLeft;

  friend bool operator==(const EndpointRecord &,
                         const EndpointRecord &) = default;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_ENDPOINTRECORD_H
