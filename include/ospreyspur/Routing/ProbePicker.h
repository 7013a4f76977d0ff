//===- ProbePicker.h - selects endpoints to probe and to use ----*- C++ -*-===//
//
// An entry of a large fleet sees few requests, so its knowledge of an
// endpoint's load is stale. The entry therefore probes a few endpoints for each
// request and takes the best offer. The prompt's home endpoint is probed first,
// as its cache may hold the prompt's prefix, then endpoints in the same data
// centre.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_ROUTING_PROBEPICKER_H
#define OSPREYSPUR_ROUTING_PROBEPICKER_H

#include "ospreyspur/Routing/RoutingSnapshot.h"
#include "ospreyspur/Rpc/Messages.h"
#include "ospreyspur/Support/Time.h"

#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace ospreyspur {

/// An endpoint's reply to a probe.
struct ProbeOffer {
  EndpointId Endpoint;
  ProbeReply Reply;
};

/// Factors beside the expected wait, each expressed as waiting time.
struct PickerWeights {
  /// Bonus of the endpoint whose cache may hold the prompt's prefix.
  Duration Prefix = std::chrono::milliseconds(4);
  /// Cost of each request at an endpoint. All ranks of a group step together,
  /// so the most loaded endpoint slows down its whole group.
  Duration Request = std::chrono::milliseconds(2);
};

/// Chooses probe candidates and the best offer.
class ProbePicker {
public:
  /// Returns whether to exclude an endpoint.
  using Filter = std::function<bool(const EndpointId &)>;

  /// \p probes endpoints are probed for each request. \p dataCentre is the
  /// entry's own data centre.
  ProbePicker(std::size_t probes, PickerWeights weights,
              DataCentreId dataCentre)
      : Probes(probes), Weights(weights), DataCentre(std::move(dataCentre)) {}

  /// Returns the endpoints of \p service to probe, except those for which
  /// \p isExcluded returns true.
  std::vector<EndpointId> pickCandidates(const ServiceView &service,
                                         std::uint64_t prefix,
                                         const Filter &isExcluded,
                                         std::mt19937_64 &random) const;

  /// Returns the index of the cheapest accepting offer, if there is one.
  std::optional<std::size_t> pickOffer(const std::vector<ProbeOffer> &offers,
                                       const ServiceView &service,
                                       std::uint64_t prefix) const;

private:
  std::size_t Probes;
  PickerWeights Weights;
  DataCentreId DataCentre;
};

/// Returns the home endpoint of \p prefix in \p service, by rendezvous (highest
/// random weight) hashing, or null if there is none.
const EndpointView *findPrefixHome(const ServiceView &service,
                                   std::uint64_t prefix);

} // namespace ospreyspur

#endif // OSPREYSPUR_ROUTING_PROBEPICKER_H
