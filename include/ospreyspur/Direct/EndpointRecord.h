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

/// One incarnation of an endpoint; a restarted one has another id.
struct EndpointRecord {
  EndpointId Id;
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
