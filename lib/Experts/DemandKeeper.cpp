//===- DemandKeeper.cpp - a group's demand outlasts its agents ------------===//
//
// See DemandKeeper.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/DemandKeeper.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

using namespace ospreyspur;
namespace json = boost::json;

/// The highest demand in a text; finer steps would not change a plan.
static constexpr double HighestKept = 255;

std::optional<KvCall> DemandKeeper::nextCall(const std::vector<double> &demand,
                                             TimePoint now) {
  if (SentAt && now < *SentAt + CallTimeout)
    return std::nullopt;
  if (now < NextCall)
    return std::nullopt;
  IsReading = !Kept;
  if (IsReading) {
    SentAt = now;
    NextCall = now + RetryEvery;
    return KvGet{Key, false};
  }
  bool isKnown = std::any_of(demand.begin(), demand.end(),
                             [](double it) { return it > 0; });
  if (!isKnown)
    return std::nullopt;
  SentAt = now;
  NextCall = now + KeepEvery;
  return KvPut{Key, formatDemand(demand), *Kept, Duration::zero()};
}

std::optional<std::vector<double>> DemandKeeper::onReply(const KvReply &reply,
                                                         TimePoint now) {
  if (!SentAt)
    return std::nullopt;
  SentAt.reset();
  bool isThere = reply.Code == ResultCode::Ok;
  if (!IsReading) {
    // Without an answer the write may have been done: read before the next.
    Kept = isThere ? std::optional(reply.At) : std::nullopt;
    return std::nullopt;
  }
  if (!isThere && reply.Code != ResultCode::NotFound)
    return std::nullopt;
  Kept = isThere ? reply.At : Revision(0);
  NextCall = now + KeepEvery;
  return isThere ? parseDemand(reply.Value) : std::nullopt;
}

std::string ospreyspur::formatDemand(const std::vector<double> &demand) {
  double highest = 0;
  for (double it : demand)
    highest = std::max(highest, it);
  json::array out;
  for (double it : demand)
    out.push_back(highest > 0 ? std::lround(HighestKept * it / highest) : 0);
  return json::serialize(out);
}

std::optional<std::vector<double>>
ospreyspur::parseDemand(const std::string &text) {
  boost::system::error_code ec;
  json::value body = json::parse(text, ec);
  if (ec || !body.is_array())
    return std::nullopt;
  std::vector<double> out;
  for (const json::value &it : body.get_array()) {
    if (!it.is_int64() || it.get_int64() < 0 || it.get_int64() > HighestKept)
      return std::nullopt;
    out.push_back(double(it.get_int64()));
  }
  return out;
}
