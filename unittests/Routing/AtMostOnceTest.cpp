//===- AtMostOnceTest.cpp - at-most-once runs under random faults ---------===//
//
// Thousands of seeded interleavings with killed and frozen processes, lost,
// duplicated and late messages, faults of the key-value store and callers that
// retry. The checker compares the results that callers received with the runs
// at the endpoints.
//
//===----------------------------------------------------------------------===//

#include "RequestWorld.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using namespace ospreyspur::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr std::uint64_t Seeds = 3000;
static constexpr std::size_t EntryCount = 3;
static constexpr std::size_t AgentCount = 3;

static void injectFault(RequestWorld &world) {
  RandomScheduler &random = world.Scheduler;
  std::size_t agent = random.below(AgentCount);
  switch (random.below(7)) {
  case 0:
    return world.killEntry(random.below(EntryCount));
  case 1:
    return world.killAgent(agent);
  case 2:
    return world.freezeAgent(agent, milliseconds(random.below(6000)));
  case 3:
    return world.setLeaving(agent, random.chance(50));
  case 4:
    return world.freezeEntry(random.below(EntryCount),
                             milliseconds(random.below(6000)));
  case 5:
    return world.cutLink(random.below(EntryCount), agent);
  default:
    return world.setOutage(milliseconds(random.below(2500)));
  }
}

/// Sends a request under an idempotency key, up to three times and sometimes
/// concurrently.
static void sendWithKey(RequestWorld &world, const std::string &name) {
  std::uint64_t tries = 1 + world.Scheduler.below(3);
  for (std::uint64_t i = 0; i < tries; ++i) {
    auto after = milliseconds(world.Scheduler.below(6000));
    world.Scheduler.at(world.Scheduler.now() + after, [&world, name] {
      world.sendRequest(world.Scheduler.below(EntryCount), name,
                        [&](CallerRequest &it) { it.IdempotencyKey = name; });
    });
  }
}

/// Gets a ticket and sends the request with the ticket through several entries.
static void sendWithTicket(RequestWorld &world, const std::string &name) {
  CallRecord &record =
      world.sendRequest(world.Scheduler.below(EntryCount), "ticket",
                        [](CallerRequest &it) { it.WantsTicket = true; });
  for (unsigned i = 0; i < 2; ++i) {
    auto after = milliseconds(500 + world.Scheduler.below(4000));
    world.Scheduler.at(world.Scheduler.now() + after, [&world, &record, name] {
      if (record.IssuedTicket)
        world.sendRequest(
            world.Scheduler.below(EntryCount), name,
            [&](CallerRequest &it) { it.CallerTicket = record.IssuedTicket; });
    });
  }
}

static void sendOnce(RequestWorld &world, const std::string &name) {
  world.sendRequest(world.Scheduler.below(EntryCount), name,
                    [](CallerRequest &) {});
}

/// Sends a request that may run more than once.
static void sendRepeatable(RequestWorld &world, const std::string &name) {
  world.sendRequest(world.Scheduler.below(EntryCount), "again " + name,
                    [&](CallerRequest &it) {
                      it.IsRepeatable = true;
                      if (world.Scheduler.chance(50))
                        it.Service = ServiceId("ask");
                    });
}

static constexpr void (*RequestKinds[])(RequestWorld &, const std::string &) = {
    sendOnce, sendWithKey, sendWithTicket, sendRepeatable};

static bool overlaps(const CallRecord &a, const CallRecord &b) {
  return a.Began <= *b.Ended && b.Began <= *a.Ended;
}

/// Whether \p run proves that \p call wrongly ended as "not run".
static bool disprovesNotRun(const RequestWorld &world, const CallRecord &call,
                            const RunRecord &run) {
  if (run.Name != call.Name || run.Began > *call.Ended)
    return false;
  if (run.Began < call.Began)
    return true;
  // A run during the call belongs to another call only if another call of the
  // same name overlaps.
  for (const auto &it : world.Calls)
    if (it.get() != &call && it->Name == call.Name && overlaps(*it, call))
      return false;
  return true;
}

/// Returns a description of the first violated guarantee, or "".
static std::string findViolation(const RequestWorld &world) {
  std::map<std::string, unsigned> runs;
  for (const RunRecord &it : world.Runs)
    if (++runs[it.Name] > 1 && !it.Name.starts_with("again"))
      return it.Name + " ran twice";
  for (const auto &call : world.Calls) {
    if (!call->Ended)
      return call->Name + " got no final answer";
    if (*call->Ended > call->Deadline)
      return call->Name + " was answered after its deadline";
    if (call->IsAborted || call->Name == "ticket")
      continue;
    if (call->Code == ResultCode::Ok &&
        call->Body != RequestWorld::expectedBody(call->Name))
      return call->Name + " got a wrong answer: " + call->Body;
    if (call->Code == ResultCode::Ok && runs[call->Name] == 0)
      return call->Name + " was answered but did not run";
    if (describe(call->Code).Kind != Outcome::NotRun)
      continue;
    for (const RunRecord &run : world.Runs)
      if (disprovesNotRun(world, *call, run))
        return call->Name + " was told not-run but ran";
  }
  return "";
}

TEST_CASE("under random faults no request runs twice, and none that ended as "
          "not run has run") {
  std::map<Outcome, unsigned> outcomes;
  std::size_t runs = 0;
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    RequestWorld world(seed, FaultRates(), EntryCount, AgentCount);
    RandomScheduler &random = world.Scheduler;
    TimePoint begin = random.now();
    for (unsigned i = 0; i < 12; ++i) {
      std::string name = "r" + std::to_string(i);
      auto sendRequest = RequestKinds[i % std::size(RequestKinds)];
      random.at(begin + milliseconds(random.below(3000)),
                [&world, sendRequest, name] { sendRequest(world, name); });
    }
    for (unsigned i = 0; i < 5; ++i)
      random.at(begin + milliseconds(random.below(8000)),
                [&world] { injectFault(world); });
    random.runUntil(begin + seconds(20));
    std::string violation = findViolation(world);
    INFO("seed ", seed);
    REQUIRE(violation == "");
    REQUIRE(world.LateStarts == 0);
    runs += world.Runs.size();
    for (const auto &it : world.Calls)
      if (!it->IsAborted)
        ++outcomes[describe(it->Code).Kind];
  }
  // The test is meaningful only if calls ended with every kind of outcome.
  CHECK(runs > Seeds);
  CHECK(outcomes[Outcome::Complete] > Seeds);
  CHECK(outcomes[Outcome::NotRun] > Seeds / 10);
  CHECK(outcomes[Outcome::Unknown] > Seeds / 10);
  MESSAGE("runs ", runs, ", complete ", outcomes[Outcome::Complete],
          ", not-run ", outcomes[Outcome::NotRun], ", failed ",
          outcomes[Outcome::Failed], ", unknown ", outcomes[Outcome::Unknown]);
}

TEST_CASE("without faults every request gets a complete response") {
  RequestWorld world(7, {0, 0, 0, 0}, EntryCount, AgentCount);
  for (unsigned i = 0; i < 6; ++i)
    sendOnce(world, "r" + std::to_string(i));
  world.Scheduler.runUntil(world.Scheduler.now() + seconds(10));
  CHECK(findViolation(world) == "");
  for (const auto &it : world.Calls)
    CHECK(it->Code == ResultCode::Ok);
}

TEST_CASE("an entry that resumes after its claim has expired starts no run") {
  constexpr Duration Lease = seconds(3);
  constexpr Duration Freeze = seconds(8);
  std::size_t lapsed = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    RequestWorld world(seed, {0, 0, 0, 0}, 2, 2, Lease);
    RandomScheduler &random = world.Scheduler;
    auto sendRequest = [&world](std::size_t entry) {
      world.sendRequest(entry, "refund", [](CallerRequest &it) {
        it.IdempotencyKey = "refund";
        it.Deadline = seconds(30);
      });
    };
    random.runUntil(random.now() + seconds(1));
    sendRequest(0);
    // Freeze the entry at a random point between the first read of the key and
    // the dispatch.
    random.runUntil(random.now() + milliseconds(random.below(20)));
    bool hasStarted = !world.Runs.empty();
    world.freezeEntry(0, Freeze);
    TimePoint wake = random.now() + Freeze;
    random.runUntil(random.now() + Lease + seconds(1));
    sendRequest(1);
    random.runUntil(wake + seconds(30));
    INFO("seed " << seed);
    // Its own run may lie before the freeze; then the retention has passed.
    lapsed += !hasStarted;
    for (const RunRecord &it : world.Runs)
      CHECK(it.Began < wake);
    for (const auto &it : world.Calls)
      CHECK(it->Ended.has_value());
  }
  CHECK(lapsed > 100);
}

TEST_CASE(
    "with all endpoints leaving, callers are refused as not run at once") {
  RequestWorld world(3, {0, 0, 0, 0}, EntryCount, AgentCount);
  RandomScheduler &random = world.Scheduler;
  random.runUntil(random.now() + seconds(1));
  for (std::size_t i = 0; i < AgentCount; ++i)
    world.setLeaving(i, true);
  random.runUntil(random.now() + seconds(1));
  for (unsigned i = 0; i < 6; ++i)
    sendOnce(world, "r" + std::to_string(i));
  random.runUntil(random.now() + seconds(1));
  CHECK(world.Runs.empty());
  for (const auto &it : world.Calls) {
    REQUIRE(it->Ended.has_value());
    bool isNotRun = describe(it->Code).Kind == Outcome::NotRun;
    CHECK(isNotRun);
  }
  // Once the endpoints stop leaving, requests are served again.
  for (std::size_t i = 0; i < AgentCount; ++i)
    world.setLeaving(i, false);
  random.runUntil(random.now() + seconds(2));
  sendOnce(world, "later");
  random.runUntil(random.now() + seconds(2));
  CHECK(world.Calls.back()->Code == ResultCode::Ok);
}
