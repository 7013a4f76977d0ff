//===- EndpointDocument.h - endpoint list as a JSON document ----*- C++ -*-===//
//
// Processes exchange the endpoint list as one value with one revision.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_ENDPOINTDOCUMENT_H
#define OSPREYSPUR_DIRECT_ENDPOINTDOCUMENT_H

#include "ospreyspur/Direct/EndpointRecord.h"

#include <string>
#include <vector>

namespace ospreyspur {

std::string formatEndpoints(const std::vector<EndpointRecord> &endpoints);

/// Errors: PlatformBadAnswer.
Result<std::vector<EndpointRecord>> parseEndpoints(const std::string &text);

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_ENDPOINTDOCUMENT_H
