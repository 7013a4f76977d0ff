//===- RetryWindow.cpp - retry budget of one entry ------------------------===//
//
// See RetryWindow.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/RetryWindow.h"

#include <algorithm>

using namespace ospreyspur;

void RetryWindow::onRequest(const ServiceId &service, TimePoint now) {
  Counts &counts = Services[service];
  dropExpired(counts, now);
  counts.Requests.push_back(now);
}

bool RetryWindow::canSpend(const ServiceId &service, std::size_t entries,
                           TimePoint now) {
  Counts &counts = Services[service];
  dropExpired(counts, now);
  return double(counts.Retries.size()) + 1 <= allowed(counts, entries, now);
}

double RetryWindow::allowed(const Counts &counts, std::size_t entries,
                            TimePoint now) const {
  double share = entries > 0 ? Limits.Allowance / double(entries) : 0;
  double fromRatio = Limits.Ratio * double(counts.Requests.size());
  if (!Begin || now - *Begin >= Limits.Window)
    return SafePart * (fromRatio + share);
  using Seconds = std::chrono::duration<double>;
  double age = Seconds(now - *Begin) / Seconds(Limits.Window);
  return FirstWindowPart * (fromRatio + share * age);
}

bool RetryWindow::spend(const ServiceId &service, std::size_t entries,
                        TimePoint now) {
  if (!canSpend(service, entries, now))
    return false;
  Services[service].Retries.push_back(now);
  return true;
}

void RetryWindow::refund(const ServiceId &service) {
  std::deque<TimePoint> &retries = Services[service].Retries;
  if (!retries.empty())
    retries.pop_back();
}

void RetryWindow::dropExpired(Counts &counts, TimePoint now) const {
  auto drop = [&](std::deque<TimePoint> &times) {
    while (!times.empty() && times.front() <= now - Limits.Window)
      times.pop_front();
  };
  drop(counts.Requests);
  drop(counts.Retries);
}
