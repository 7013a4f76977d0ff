//===- EndpointRecord.h - what an endpoint says of itself -------*- C++ -*-===//
//
// One row of the platform's list of endpoints.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_ENDPOINTRECORD_H
#define OSPREYSPUR_DIRECT_ENDPOINTRECORD_H

#include "ospreyspur/Support/Address.h"
#include "ospreyspur/Support/Ids.h"

namespace ospreyspur {

/// When an endpoint started, in ms of the time of day; 0 if it does not say.
/// Only ever compared for being the same.
using EndpointLife = StrongType<struct EndpointLifeTag, std::uint64_t>;

/// The id of one life of the endpoint \p name. One that starts again under its
/// name knows nothing of before, so it must share nothing with its earlier life
/// in any table: neither health nor load, group, pace or what was tried.
inline EndpointId makeEndpointId(const std::string &name, EndpointLife life) {
  bool isTold = life != EndpointLife(0);
  return EndpointId(isTold ? name + "@" + std::to_string(life.get()) : name);
}

/// One life of an endpoint.
struct EndpointRecord {
  EndpointId Id;
  /// What it is called, in this life and others.
  std::string Name;
  EndpointLife Life = EndpointLife(0);
  ServiceId Service;
  TcpAddress Address;
  DataCentreId DataCentre;
  /// Requests that it runs at one time.
  unsigned Slots = 1;
  bool IsLeaving = false;
  /// Whether it can be asked for its condition (engines can).
  bool TellsState = false;
  /// The last change of its row. Of two rows with one address the later stands:
  /// the earlier one's endpoint has ended without a word.
  Revision ListedAt = Revision(0);

  friend bool operator==(const EndpointRecord &,
                         const EndpointRecord &) = default;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_ENDPOINTRECORD_H
