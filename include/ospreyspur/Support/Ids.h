//===- Ids.h - identifier types ---------------------------------*- C++ -*-===//
//
// Identifiers that several modules share. Each has a distinct type.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_SUPPORT_IDS_H
#define OSPREYSPUR_SUPPORT_IDS_H

#include "ospreyspur/Support/StrongType.h"

#include <cstdint>
#include <string>

namespace ospreyspur {

/// Names one endpoint: a replica of a model group or a plain service instance.
using EndpointId = StrongType<struct EndpointIdTag, std::string>;
/// Names a workspace, the unit of fairness and of access.
using WorkspaceId = StrongType<struct WorkspaceIdTag, std::string>;
/// Names a service or a model that callers request.
using ServiceId = StrongType<struct ServiceIdTag, std::string>;
/// Names a data centre.
using DataCentreId = StrongType<struct DataCentreIdTag, std::string>;
/// Names a lock-step group of model endpoints.
using GroupId = StrongType<struct GroupIdTag, std::string>;
/// One incarnation of a process; drawn at random when the process starts.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
/// Numbers the incarnations of an endpoint's process: the number of exits that
/// one agent incarnation has seen before.
using EngineIncarnation =
    StrongType<struct EngineIncarnationTag, std::uint64_t>;
/// Numbers the tickets of one agent incarnation, from 1 up.
using TicketSequence = StrongType<struct TicketSequenceTag, std::uint64_t>;
/// Numbers a caller's request within one entry process.
using CallId = StrongType<struct CallIdTag, std::uint64_t>;
/// Numbers the dispatches of all calls of one entry process.
using AttemptNumber = StrongType<struct AttemptNumberTag, std::uint32_t>;
/// Identifies one connection between two Ospreyspur processes at its receiver.
using LinkId = StrongType<struct LinkIdTag, std::uint64_t>;
/// A position in the key-value store's revision order; 0 means "absent".
using Revision = StrongType<struct RevisionTag, std::uint64_t>;

/// Identifies one request for its whole lifetime: the agent incarnation that
/// issued its ticket, and the ticket's number at that incarnation.
struct RequestId {
  Incarnation Issuer;
  TicketSequence Sequence;

  friend auto operator<=>(const RequestId &, const RequestId &) = default;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_SUPPORT_IDS_H
