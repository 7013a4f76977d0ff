//===- ProbePickerTest.cpp - candidates and offers ------------------------===//
//
// Compares the picker with a direct implementation of the rules, on random
// fleets and offers.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/ProbePicker.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace ospreyspur;
using std::chrono::microseconds;
using std::chrono::milliseconds;

static const DataCentreId nearDataCentre("near");
static constexpr PickerWeights Weights{milliseconds(4), milliseconds(2)};

static ServiceView makeService(std::size_t n) {
  ServiceView service;
  for (std::size_t i = 0; i < n; ++i)
    service.Endpoints.push_back(
        {EndpointId("e" + std::to_string(i)),
         ServiceId("s"),
         i % 3 == 0 ? nearDataCentre : DataCentreId("far"),
         "",
         {},
         i % 7 == 6});
  return service;
}

static bool excludesNone(const EndpointId & /*id*/) { return false; }

TEST_CASE("candidates are distinct and not leaving, the home endpoint first, "
          "then endpoints of the own data centre") {
  std::mt19937_64 random(1);
  for (std::size_t n = 0; n < 40; ++n) {
    ServiceView service = makeService(n);
    for (std::uint64_t prefix = 0; prefix < 20; ++prefix) {
      INFO("endpoints " << n << ", prefix " << prefix);
      ProbePicker picker(3, Weights, nearDataCentre);
      auto chosen =
          picker.pickCandidates(service, prefix, excludesNone, random);
      std::size_t staying = 0;
      std::size_t near = 0;
      for (const EndpointView &it : service.Endpoints) {
        staying += !it.IsLeaving;
        near += !it.IsLeaving && it.DataCentre == nearDataCentre;
      }
      CHECK(chosen.size() == std::min<std::size_t>(3, staying));
      std::set<EndpointId> distinct(chosen.begin(), chosen.end());
      CHECK(distinct.size() == chosen.size());
      const EndpointView *home = findPrefixHome(service, prefix);
      CHECK((home == nullptr) == (prefix == 0 || n == 0));
      if (home && !home->IsLeaving)
        CHECK(chosen.front() == home->Id);
      std::size_t nearChosen = 0;
      for (const EndpointView &it : service.Endpoints)
        nearChosen +=
            it.DataCentre == nearDataCentre && distinct.contains(it.Id);
      // All candidates but the home endpoint are in the own data centre, as
      // long as enough endpoints are there.
      CHECK(nearChosen + 1 >= std::min(near, chosen.size()));
    }
  }
}

TEST_CASE("a prompt's home moves only if its endpoint is removed") {
  ServiceView all = makeService(30);
  for (std::uint64_t prefix = 1; prefix < 200; ++prefix) {
    const EndpointView *home = findPrefixHome(all, prefix);
    ServiceView fewer = all;
    std::size_t gone = prefix % fewer.Endpoints.size();
    bool isGone = fewer.Endpoints[gone].Id == home->Id;
    fewer.Endpoints.erase(fewer.Endpoints.begin() +
                          static_cast<std::ptrdiff_t>(gone));
    CHECK((findPrefixHome(fewer, prefix)->Id == home->Id) == !isGone);
  }
}

TEST_CASE("the cheapest accepting offer is picked") {
  std::mt19937_64 random(1);
  auto below = [&](std::uint64_t n) { return random() % n; };
  ServiceView service = makeService(10);
  ProbePicker picker(3, Weights, nearDataCentre);
  for (int round = 0; round < 2000; ++round) {
    std::uint64_t prefix = below(5);
    const EndpointView *home = findPrefixHome(service, prefix);
    std::vector<ProbeOffer> offers;
    std::vector<Duration> costs;
    for (std::size_t i = 0; i < below(6); ++i) {
      ProbeOffer offer;
      offer.Endpoint = service.Endpoints[below(10)].Id;
      offer.Reply.Wait = microseconds(below(8000));
      offer.Reply.Load = static_cast<std::uint32_t>(below(4));
      bool isRefused = below(4) == 0;
      offer.Reply.Code = isRefused ? ResultCode::QueueFull : ResultCode::Ok;
      Duration cost = offer.Reply.Wait + milliseconds(2) * offer.Reply.Load;
      if (home && offer.Endpoint == home->Id)
        cost -= milliseconds(4);
      costs.push_back(isRefused ? Duration::max() : cost);
      offers.push_back(offer);
    }
    auto best = picker.pickOffer(offers, service, prefix);
    auto cheapest = std::min_element(costs.begin(), costs.end());
    bool hasNone = costs.empty() || *cheapest == Duration::max();
    REQUIRE(best.has_value() == !hasNone);
    if (best)
      CHECK(costs[*best] == *cheapest);
  }
}
