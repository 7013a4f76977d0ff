//===- Need.cpp - fake pushback of an endpoint ----------------------------===//
//
// See Need.h.
//
//===----------------------------------------------------------------------===//

#include "Need.h"

#include "Standins.h"

#include <fstream>

using namespace standin;
using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time after the first announcement of a rate limit, a backoff or leaving from
/// which all senders must comply.
static constexpr Duration RateGrace = seconds(3);
static constexpr Duration RestGrace = milliseconds(500);
static constexpr Duration LeavingGrace = seconds(1);
static constexpr Duration RateWindow = seconds(4);
/// Tolerance: RatePart times the requests that the rate limit allows within the
/// window, and RateSlack more.
static constexpr double RatePart = 1.5;
static constexpr double RateSlack = 5;

void Need::order(const json::object &in, TimePoint now) {
  if (std::int64_t ms = numberOf(in, "rest_ms"); ms > 0) {
    if (now >= RestUntil)
      RestSaidAt.reset();
    RestUntil = now + milliseconds(ms);
  }
  if (std::int64_t ms = numberOf(in, "for_ms"); ms > 0) {
    // Senders get the grace period for a new rate limit, too.
    RateSaidAt.reset();
    Rate = double(numberOf(in, "rate", 1));
    RateUntil = now + milliseconds(ms);
  }
  if (numberOf(in, "leaving") > 0)
    IsLeaving = true;
}

void Need::note(const std::string &what) const {
  std::ofstream(History, std::ios::app) << what << '\n';
}

bool Need::onRequest(TimePoint now) {
  Arrivals.push_back(now);
  while (Arrivals.front() <= now - RateWindow)
    Arrivals.pop_front();
  using Seconds = std::chrono::duration<double>;
  double allowed = RatePart * Rate * Seconds(RateWindow).count() + RateSlack;
  bool isBound =
      now < RateUntil && isPast(RateSaidAt, RateGrace + RateWindow, now);
  if (isBound && double(Arrivals.size()) > allowed)
    note("over-rate");
  if (isPast(LeavingSaidAt, LeavingGrace, now))
    note("after-leaving");
  bool isResting = now < RestUntil;
  if (isResting && isPast(RestSaidAt, RestGrace, now))
    note("in-rest");
  return isResting;
}

void Need::addTo(HttpResponse &answer, TimePoint now) {
  auto isSaid = [now](std::optional<TimePoint> &saidAt) {
    saidAt = saidAt.value_or(now);
  };
  if (now < RateUntil) {
    answer.set(Headers.Rate, std::to_string(Rate));
    isSaid(RateSaidAt);
  }
  if (IsLeaving) {
    answer.set(Headers.Leaving, "1");
    isSaid(LeavingSaidAt);
  }
  if (now < RestUntil) {
    using Seconds = std::chrono::duration<double>;
    answer.set("Retry-After", std::to_string(Seconds(RestUntil - now).count()));
    isSaid(RestSaidAt);
  }
}
