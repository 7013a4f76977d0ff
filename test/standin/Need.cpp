//===- Need.cpp - an endpoint that asks for less --------------------------===//
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

/// From when on senders must have heard of a rate, a rest, a leaving.
static constexpr Duration RateGrace = seconds(3);
static constexpr Duration RestGrace = milliseconds(500);
static constexpr Duration LeavingGrace = seconds(1);
static constexpr Duration RateWindow = seconds(4);
/// What a rate allows within the window beside itself.
static constexpr double RatePart = 1.5;
static constexpr double RateSlack = 5;

void Need::order(const json::object &in, TimePoint now) {
  if (std::int64_t ms = numberOf(in, "rest_ms"); ms > 0) {
    RestFrom = now;
    RestUntil = now + milliseconds(ms);
  }
  if (std::int64_t ms = numberOf(in, "for_ms"); ms > 0) {
    bool isNew = now >= RateUntil;
    Rate = double(numberOf(in, "rate", 1));
    RateFrom = isNew ? now : RateFrom;
    RateUntil = now + milliseconds(ms);
  }
  if (numberOf(in, "leaving") > 0)
    LeavingFrom = std::min(LeavingFrom, now);
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
  bool isBound = now < RateUntil && now - RateFrom >= RateGrace + RateWindow;
  if (isBound && double(Arrivals.size()) > allowed)
    note("over-rate");
  if (now - LeavingFrom >= LeavingGrace && LeavingFrom != TimePoint::max())
    note("after-leaving");
  bool isResting = now < RestUntil;
  if (isResting && now - RestFrom >= RestGrace)
    note("in-rest");
  return isResting;
}

void Need::addTo(HttpResponse &answer, TimePoint now) {
  if (now < RateUntil)
    answer.set(Headers.Rate, std::to_string(Rate));
  if (now >= LeavingFrom)
    answer.set(Headers.Leaving, "1");
  if (now < RestUntil)
    answer.set(
        "Retry-After",
        std::to_string(std::chrono::duration<double>(RestUntil - now).count()));
}
