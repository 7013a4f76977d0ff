//===- SuspendedHostTest.cpp - a host that is suspended for a while -------===//
//
// While a host is suspended its steady clock stands still; the world goes on,
// with leases, reports and deadlines. What decides must see that time, and a
// timer whose moment has passed must not wait for as long again.
//
// The clock that counts the suspension is moved on here for this whole process.
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

/// For how long this host has been suspended, in seconds.
static std::atomic<long> suspended = 0;

// Stands in for the C library's in this program.
extern "C" int clock_gettime(clockid_t clock, timespec *out) noexcept {
  long rc = ::syscall(SYS_clock_gettime, clock, out);
  if (rc == 0 && clock == CLOCK_BOOTTIME)
    out->tv_sec += suspended;
  return static_cast<int>(rc);
}

TEST_CASE("the time that a host is suspended counts") {
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
  // Two looks at the clock.
  ioc.run_for(milliseconds(600));
  CHECK(isDue);
}
