//===- ProbePicker.h - which endpoints to ask, and which to take -*- C++
//-*-===//
//
// An entry of a large fleet sees few requests, so what it remembers of an
// endpoint's load is old. It therefore asks a few endpoints for each request
// and takes the best answer. The prompt's home endpoint is asked first, as it
// may hold the prompt's prefix in its cache; then those in the same data
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

/// An endpoint's answer to a probe.
struct ProbeOffer {
  EndpointId Endpoint;
  ProbeReply Reply;
};

/// What counts beside the expected wait, each as waiting time.
struct PickerWeights {
  /// What it is worth that the prompt's prefix may be cached.
  Duration Prefix = std::chrono::milliseconds(4);
  /// What each request at an endpoint costs a new one: all ranks of a group
  /// step together, so the fullest endpoint holds up its whole group.
  Duration Request = std::chrono::milliseconds(2);
};

/// Chooses probe candidates and the best offer.
class ProbePicker {
public:
  /// Says whether an endpoint should be left out.
  using Filter = std::function<bool(const EndpointId &)>;

  /// \p probes endpoints are asked for each request from \p dataCentre.
  ProbePicker(std::size_t probes, PickerWeights weights,
              DataCentreId dataCentre)
      : Probes(probes), Weights(weights), DataCentre(std::move(dataCentre)) {}

  /// The endpoints of \p service to ask, without those that \p isExcluded.
  std::vector<EndpointId> pickCandidates(const ServiceView &service,
                                         std::uint64_t prefix,
                                         const Filter &isExcluded,
                                         std::mt19937_64 &random) const;

  /// The index of the best accepting offer, if there is one.
  std::optional<std::size_t> pickOffer(const std::vector<ProbeOffer> &offers,
                                       const ServiceView &service,
                                       std::uint64_t prefix) const;

private:
  std::size_t Probes;
  PickerWeights Weights;
  DataCentreId DataCentre;
};

/// The endpoint of \p service that caches prompts with \p prefix, by highest
/// random weight; null if there is none.
const EndpointView *findPrefixHome(const ServiceView &service,
                                   std::uint64_t prefix);

} // namespace ospreyspur

#endif // OSPREYSPUR_ROUTING_PROBEPICKER_H
