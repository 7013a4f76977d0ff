//===- ProbePicker.cpp - probe candidates and offers ----------------------===//
//
// Candidates are drawn at random without replacement: the prompt's home
// endpoint first, then endpoints in the entry's data centre, then all others.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/ProbePicker.h"

#include <boost/container_hash/hash.hpp>

#include <algorithm>

using namespace ospreyspur;

const EndpointView *ospreyspur::findPrefixHome(const ServiceView &service,
                                               std::uint64_t prefix) {
  const EndpointView *home = nullptr;
  std::size_t best = 0;
  if (prefix == 0)
    return home;
  for (const EndpointView &it : service.Endpoints) {
    std::size_t weight = std::hash<EndpointId>()(it.Id);
    boost::hash_combine(weight, prefix);
    if (home && weight <= best)
      continue;
    home = &it;
    best = weight;
  }
  return home;
}

std::vector<EndpointId>
ProbePicker::pickCandidates(const ServiceView &service, std::uint64_t prefix,
                            const Filter &isExcluded,
                            std::mt19937_64 &random) const {
  const EndpointView *home = findPrefixHome(service, prefix);
  std::vector<const EndpointView *> usable;
  for (const EndpointView &it : service.Endpoints)
    if (!it.IsLeaving && !isExcluded(it.Id))
      usable.push_back(&it);
  std::shuffle(usable.begin(), usable.end(), random);
  auto rank = [&](const EndpointView *it) {
    if (it == home)
      return 0;
    return it->DataCentre == DataCentre ? 1 : 2;
  };
  std::stable_sort(usable.begin(), usable.end(),
                   [&](const EndpointView *a, const EndpointView *b) {
                     return rank(a) < rank(b);
                   });
  std::vector<EndpointId> chosen;
  for (const EndpointView *it : usable) {
    if (chosen.size() == Probes)
      break;
    chosen.push_back(it->Id);
  }
  return chosen;
}

std::optional<std::size_t>
ProbePicker::pickOffer(const std::vector<ProbeOffer> &offers,
                       const ServiceView &service, std::uint64_t prefix) const {
  const EndpointView *home = findPrefixHome(service, prefix);
  std::optional<std::size_t> best;
  Duration bestCost{};
  for (std::size_t i = 0; i < offers.size(); ++i) {
    if (offers[i].Reply.Code != ResultCode::Ok)
      continue;
    const ProbeReply &reply = offers[i].Reply;
    Duration cost = reply.Wait + Weights.Request * reply.Load;
    if (home && offers[i].Endpoint == home->Id)
      cost -= Weights.Prefix;
    if (best && cost >= bestCost)
      continue;
    best = i;
    bestCost = cost;
  }
  return best;
}
