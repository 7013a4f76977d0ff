//===- MemberConsentTest.cpp - leading during a store outage --------------===//
//
// No two coordinators are ever both followed by every agent, and an agent never
// returns to an earlier coordinator.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/MemberConsent.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr TimePoint Start{seconds(100)};
static constexpr unsigned Size = 3;

/// A coordinator that the key-value store has confirmed and all agents follow.
static MemberConsent makeFollowed() {
  MemberConsent out;
  out.onActive(Start);
  out.onConfirmed();
  for (unsigned rank = 0; rank < Size; ++rank)
    out.onReport(rank, Start);
  return out;
}

TEST_CASE("a group follows its coordinator while every agent reports") {
  MemberConsent consent = makeFollowed();
  CHECK(consent.isFollowed(Size, MemberConsent::MaxReportAge, Start));
  CHECK_FALSE(consent.isFollowed(Size + 1, MemberConsent::MaxReportAge, Start));
  CHECK_FALSE(consent.isFollowed(0, MemberConsent::MaxReportAge, Start));
  TimePoint later = Start + MemberConsent::MaxReportAge;
  consent.onReport(0, later);
  consent.onReport(2, later);
  CHECK_FALSE(consent.isFollowed(Size, MemberConsent::MaxReportAge, later));
  CHECK(consent.isFollowed(Size, MemberConsent::MaxChangeTime, later));
  consent.onReport(1, later);
  CHECK(consent.isFollowed(Size, MemberConsent::MaxReportAge, later));
}

TEST_CASE("a successor waits longer than its predecessor acts") {
  // The predecessor may receive a last report this long after it was sent.
  Duration goesOn = MemberConsent::MaxChangeTime + MemberConsent::Pause;
  CHECK(goesOn < MemberConsent::SuccessorWait);
}

TEST_CASE(
    "reports read after a pause count only after the store's confirmation") {
  MemberConsent consent = makeFollowed();
  TimePoint woken = Start + MemberConsent::Pause;
  consent.onActive(woken);
  for (unsigned rank = 0; rank < Size; ++rank)
    consent.onReport(rank, woken);
  CHECK_FALSE(consent.isFollowed(Size, MemberConsent::MaxChangeTime, woken));
  consent.onActive(woken + milliseconds(60));
  CHECK_FALSE(consent.isFollowed(Size, MemberConsent::MaxChangeTime, woken));
  consent.onConfirmed();
  CHECK(consent.isFollowed(Size, MemberConsent::MaxChangeTime, woken));
}

TEST_CASE("an agent passes on orders of the latest coordinator only") {
  OrderGate gate;
  CHECK(gate.accepts(5, 5));
  CHECK(gate.accepts(7, 5));
  CHECK_FALSE(gate.accepts(5, 5));
  CHECK(gate.accepts(7, 7));
  // The key-value store reports a later holder before its first order arrives.
  CHECK_FALSE(gate.accepts(7, 9));
  CHECK_FALSE(gate.accepts(8, 7));
  CHECK(gate.accepts(9, 9));
}
