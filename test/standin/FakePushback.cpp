//===- FakePushback.cpp - fake pushback of an endpoint --------------------===//
//
// See FakePushback.h.
//
//===----------------------------------------------------------------------===//

#include "FakePushback.h"

#include "Standins.h"

#include <fstream>

using namespace standin;
using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time after the first announcement of a rate limit, a backoff or leaving from
/// which all senders must comply.
static constexpr Duration RateGrace = seconds(3);
static constexpr Duration BackoffGrace = milliseconds(500);
static constexpr Duration LeavingGrace = seconds(1);
static constexpr Duration RateWindow = seconds(4);
/// Tolerance: RateFactor times the requests that the rate limit allows within
/// the window, and RateSlack more.
static constexpr double RateFactor = 1.5;
static constexpr double RateSlack = 5;

void FakePushback::configure(const json::object &in, TimePoint now) {
  if (std::int64_t ms = integerOf(in, "rest_ms"); ms > 0) {
    if (now >= BackoffUntil)
      BackoffAnnouncedAt.reset();
    BackoffUntil = now + milliseconds(ms);
  }
  if (std::int64_t ms = integerOf(in, "for_ms"); ms > 0) {
    // Senders get the grace period for a new rate limit, too.
    RateAnnouncedAt.reset();
    Rate = double(integerOf(in, "rate", 1));
    RateUntil = now + milliseconds(ms);
  }
  if (integerOf(in, "leaving") > 0)
    IsLeaving = true;
}

void FakePushback::recordViolation(const std::string &violation) const {
  std::ofstream(History, std::ios::app) << violation << '\n';
}

bool FakePushback::onRequest(TimePoint now) {
  Arrivals.push_back(now);
  while (Arrivals.front() <= now - RateWindow)
    Arrivals.pop_front();
  using Seconds = std::chrono::duration<double>;
  double allowed = RateFactor * Rate * Seconds(RateWindow).count() + RateSlack;
  bool isLimitEnforced =
      now < RateUntil &&
      isGraceOver(RateAnnouncedAt, RateGrace + RateWindow, now);
  if (isLimitEnforced && double(Arrivals.size()) > allowed)
    recordViolation("over-rate");
  if (isGraceOver(LeavingAnnouncedAt, LeavingGrace, now))
    recordViolation("after-leaving");
  bool isInBackoff = now < BackoffUntil;
  if (isInBackoff && isGraceOver(BackoffAnnouncedAt, BackoffGrace, now))
    recordViolation("in-rest");
  return isInBackoff;
}

void FakePushback::addTo(HttpResponse &response, TimePoint now) {
  auto markAnnounced = [now](std::optional<TimePoint> &announcedAt) {
    announcedAt = announcedAt.value_or(now);
  };
  if (now < RateUntil) {
    response.set(Headers.Rate, std::to_string(Rate));
    markAnnounced(RateAnnouncedAt);
  }
  if (IsLeaving) {
    response.set(Headers.Leaving, "1");
    markAnnounced(LeavingAnnouncedAt);
  }
  if (now < BackoffUntil) {
    using Seconds = std::chrono::duration<double>;
    response.set("Retry-After",
                 std::to_string(Seconds(BackoffUntil - now).count()));
    markAnnounced(BackoffAnnouncedAt);
  }
}
