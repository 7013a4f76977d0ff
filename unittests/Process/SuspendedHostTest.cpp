//===- SuspendedHostTest.cpp - a host that is suspended for a while -------===//
//
// While a host is suspended its steady clock stops, but leases, reports and
// deadlines elsewhere expire. Decisions must count that time, and a timer that
// expired during the suspension must not wait for the same time again.
//
// The tests advance the clock that counts suspensions, CLOCK_BOOTTIME, for this
// whole process.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/LeaseHolder.h"
#include "ospreyspur/Process/NodeTimer.h"
#include "ospreyspur/Support/Time.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <ctime>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Simulated time for which this host has been suspended, in seconds.
static std::atomic<long> suspended = 0;

// Replaces the C library's function in this program.
extern "C" int clock_gettime(clockid_t clock, timespec *out) noexcept {
  long rc = ::syscall(SYS_clock_gettime, clock, out);
  if (rc == 0 && clock == CLOCK_BOOTTIME)
    out->tv_sec += suspended;
  return static_cast<int>(rc);
}

TEST_CASE("monotonicNow() counts the time that a host is suspended") {
  TimePoint before = monotonicNow();
  suspended += 5;
  CHECK(monotonicNow() - before >= seconds(5));
}

TEST_CASE("a lease that ran out while its holder was suspended is not held") {
  LeaseHolder lease("key", "self", LeaseLimits());
  TimePoint now = monotonicNow();
  REQUIRE(lease.nextCall(now));
  lease.onReply({ResultCode::NotFound, {}, {}}, now);
  REQUIRE(lease.nextCall(now));
  lease.onReply({ResultCode::Ok, Revision(7), {}}, now);
  REQUIRE(lease.isHeld(monotonicNow()));
  suspended += 6;
  CHECK_FALSE(lease.isHeld(monotonicNow()));
}

TEST_CASE("a timer that came due while its host was suspended fires soon") {
  boost::asio::io_context ioc;
  bool isDue = false;
  NodeTimer timer(ioc, [&] { isDue = true; });
  timer.set(monotonicNow() + seconds(5));
  ioc.run_for(milliseconds(50));
  REQUIRE_FALSE(isDue);
  suspended += 6;
  // A HostTimer reads the clock at least every 200 ms.
  ioc.run_for(milliseconds(600));
  CHECK(isDue);
}
