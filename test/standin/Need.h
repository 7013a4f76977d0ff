//===- Need.h - fake pushback of an endpoint --------------------*- C++ -*-===//
//
// Adds a rate limit, a backoff or a leaving header to a stand-in's responses,
// as set by POST /need, and records the requests that violate them.
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

/// The names of the headers that announce a rate limit and leaving.
struct NeedHeaders {
  std::string Rate;
  std::string Leaving;
};

class Need {
public:
  using TimePoint = ospreyspur::TimePoint;

  /// Each violating request adds a line to the file \p history: "over-rate",
  /// "in-rest" or "after-leaving".
  Need(NeedHeaders headers, std::string history)
      : Headers(std::move(headers)), History(std::move(history)) {}

  /// Sets the pushback from the fields "rate" and "for_ms", "rest_ms", or
  /// "leaving" of \p in.
  void order(const boost::json::object &in, TimePoint now);
  /// Records the arrival of a request. Returns true if the request must be
  /// rejected, with a response that asks for a backoff.
  bool onRequest(TimePoint now);
  /// Adds the pushback's headers to a response.
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
  /// When a response first announced each; senders could not know before.
  std::optional<TimePoint> RateSaidAt;
  std::optional<TimePoint> RestSaidAt;
  std::optional<TimePoint> LeavingSaidAt;
  std::deque<TimePoint> Arrivals;
};

} // namespace standin

#endif // OSPREYSPUR_TEST_NEED_H
