//===- Need.h - an endpoint that asks for less ------------------*- C++ -*-===//
//
// What a stand-in asks for in its answers on order (POST /need), and a record
// of requests that come all the same.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_TEST_NEED_H
#define OSPREYSPUR_TEST_NEED_H

#include "ospreyspur/Http/HttpTypes.h"
#include "ospreyspur/Support/Time.h"

#include <boost/json.hpp>

#include <deque>
#include <optional>
#include <string>

namespace standin {

/// The headers by which an interface says it.
struct NeedHeaders {
  std::string Rate;
  std::string Leaving;
};

class Need {
public:
  using TimePoint = ospreyspur::TimePoint;

  /// Each request that comes against what was asked for is a line in \p
  /// history: "over-rate", "in-rest" or "after-leaving".
  Need(NeedHeaders headers, std::string history)
      : Headers(std::move(headers)), History(std::move(history)) {}

  /// Takes "rate" and "for_ms", "rest_ms", or "leaving".
  void order(const boost::json::object &in, TimePoint now);
  /// A request came. True if it is turned away; then its answer asks for rest.
  bool onRequest(TimePoint now);
  /// Adds what is asked for to an answer.
  void addTo(ospreyspur::HttpResponse &answer, TimePoint now);

private:
  static bool isPast(const std::optional<TimePoint> &saidAt,
                     ospreyspur::Duration grace, TimePoint now) {
    return saidAt && now - *saidAt >= grace;
  }
  void note(const std::string &what) const;

  NeedHeaders Headers;
  std::string History;
  double Rate = 0;
  TimePoint RateUntil;
  TimePoint RestUntil;
  bool IsLeaving = false;
  /// When an answer first said so: nobody could know before.
  std::optional<TimePoint> RateSaidAt;
  std::optional<TimePoint> RestSaidAt;
  std::optional<TimePoint> LeavingSaidAt;
  std::deque<TimePoint> Arrivals;
};

} // namespace standin

#endif // OSPREYSPUR_TEST_NEED_H
