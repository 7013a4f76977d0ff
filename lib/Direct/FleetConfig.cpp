//===- FleetConfig.cpp - lookup of routes and services --------------------===//
//
// A deployment has about a hundred routes, so a linear scan takes microseconds.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/FleetConfig.h"

#include <boost/algorithm/string/predicate.hpp>

using namespace ospreyspur;

const RouteRule *FleetConfig::findRoute(std::string_view host,
                                        std::string_view path) const {
  const RouteRule *best = nullptr;
  for (const RouteRule &it : Routes) {
    bool isLonger = !best || it.Prefix.size() > best->Prefix.size();
    if (isLonger && path.starts_with(it.Prefix) &&
        boost::algorithm::iequals(it.Host, host))
      best = &it;
  }
  return best;
}

const ServiceRule *FleetConfig::findService(const ServiceId &id) const {
  auto it = Services.find(id);
  return it == Services.end() ? nullptr : &it->second;
}
