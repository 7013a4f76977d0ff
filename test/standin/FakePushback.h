//===- FakePushback.h - fake pushback of an endpoint ------------*- C++ -*-===//
//
// Adds a rate limit, a backoff or a leaving header to a stand-in's responses,
// as set by POST /need, and records the requests that violate them.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_TEST_FAKEPUSHBACK_H
#define OSPREYSPUR_TEST_FAKEPUSHBACK_H

#include "ospreyspur/Http/HttpTypes.h"
#include "ospreyspur/Support/Time.h"

#include <boost/json.hpp>

#include <deque>
#include <optional>
#include <string>

namespace standin {

/// The names of the headers that announce a rate limit and leaving.
struct PushbackHeaders {
  std::string Rate;
  std::string Leaving;
};

class FakePushback {
public:
  using TimePoint = ospreyspur::TimePoint;

  /// Each violating request adds a line to the file \p history: "over-rate",
  /// "in-rest" or "after-leaving".
  FakePushback(PushbackHeaders headers, std::string history)
      : Headers(std::move(headers)), History(std::move(history)) {}

  /// Sets the pushback from the fields "rate" and "for_ms", "rest_ms", or
  /// "leaving" of \p in.
  void configure(const boost::json::object &in, TimePoint now);
  /// Records the arrival of a request. Returns true if the request must be
  /// rejected, with a response that asks for a backoff.
  bool onRequest(TimePoint now);
  /// Adds the pushback's headers to a response.
  void addTo(ospreyspur::HttpResponse &response, TimePoint now);

private:
  static bool isGraceOver(const std::optional<TimePoint> &announcedAt,
                          ospreyspur::Duration grace, TimePoint now) {
    return announcedAt && now - *announcedAt >= grace;
  }
  void recordViolation(const std::string &violation) const;

  PushbackHeaders Headers;
  std::string History;
  double Rate = 0;
  TimePoint RateUntil;
  TimePoint BackoffUntil;
  bool IsLeaving = false;
  /// When a response first announced each; senders could not know before.
  std::optional<TimePoint> RateAnnouncedAt;
  std::optional<TimePoint> BackoffAnnouncedAt;
  std::optional<TimePoint> LeavingAnnouncedAt;
  std::deque<TimePoint> Arrivals;
};

} // namespace standin

#endif // OSPREYSPUR_TEST_FAKEPUSHBACK_H
