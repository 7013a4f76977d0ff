//===- QuarantineStoreTest.cpp - quarantined requests that last -----------===//
//
// Entries that end all at once must not forget, and an outage of the store must
// not make them write too much or too little.
//
//===----------------------------------------------------------------------===//

#include "FakeKeyValue.h"

#include "ospreyspur/Quarantine/QuarantineStore.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

static constexpr RequestDigest First(0x11);
static constexpr RequestDigest Second(0x22);

namespace {
/// Some entries' stores on virtual time before one service.
class StoreWorld {
public:
  explicit StoreWorld(unsigned entries) {
    for (unsigned i = 0; i < entries; ++i)
      Entries.emplace_back(i + 1);
  }

  void run(Duration span) {
    for (TimePoint end = Now + span; Now < end; Now += milliseconds(50))
      for (QuarantineStore &it : Entries)
        step(it);
  }

  std::vector<QuarantineStore> Entries;
  std::vector<RequestDigest> Restored;
  TimePoint Now{seconds(100)};
  bool IsOut = false;
  unsigned Writes = 0;

private:
  void step(QuarantineStore &entry) {
    std::optional<KvCall> call = entry.nextCall(Now);
    if (!call)
      return;
    bool isWrite = std::holds_alternative<KvPut>(*call);
    Writes += isWrite ? 1 : 0;
    KvReply reply{ResultCode::PlatformTimeout, {}, {}};
    if (!IsOut)
      reply = Service.perform(*call, Now);
    for (RequestDigest it : entry.onReply(reply, Now))
      Restored.push_back(it);
  }

  test::FakeKeyValue Service;
};
} // namespace

TEST_CASE("what one entry quarantined a later one restores") {
  StoreWorld world(1);
  world.run(seconds(1));
  world.Entries[0].setOwn({First}, {}, world.Now);
  world.run(seconds(2));
  world.Entries.clear();
  world.Entries.emplace_back(9);
  world.run(seconds(1));
  CHECK(world.Restored == std::vector{First});
}

TEST_CASE("all entries hear of a request, few write it") {
  StoreWorld world(52);
  world.run(seconds(1));
  for (QuarantineStore &it : world.Entries)
    it.setOwn({First}, {}, world.Now);
  world.run(seconds(5));
  CHECK(world.Writes <= 8);
  for (const QuarantineStore &it : world.Entries)
    CHECK(it.stored() == std::vector{First});
}

TEST_CASE("what was quarantined in an outage is written after it") {
  StoreWorld world(2);
  world.run(seconds(1));
  world.IsOut = true;
  world.Entries[0].setOwn({First}, {}, world.Now);
  world.Entries[1].setOwn({Second}, {}, world.Now);
  world.run(seconds(30));
  CHECK(world.Writes == 0);
  world.IsOut = false;
  world.run(seconds(10));
  CHECK(world.Entries[0].stored().size() + world.Entries[1].stored().size() >=
        3);
  world.Entries.emplace_back(9);
  world.run(seconds(1));
  CHECK(world.Restored.size() == 2);
}

TEST_CASE("a request that was cleared is taken out of the store") {
  StoreWorld world(1);
  world.run(seconds(1));
  world.Entries[0].setOwn({First, Second}, {}, world.Now);
  world.run(seconds(2));
  world.Entries[0].setOwn({Second}, {First}, world.Now);
  world.run(seconds(2));
  CHECK(world.Entries[0].stored() == std::vector{Second});
}

TEST_CASE("the value lasts as long as it is known, and not for ever") {
  StoreWorld world(1);
  world.run(seconds(1));
  world.Entries[0].setOwn({First}, {}, world.Now);
  world.run(minutes(25));
  world.Entries.emplace_back(9);
  world.run(seconds(1));
  CHECK(world.Restored == std::vector{First});
  CHECK(world.Writes <= 6);
  // Nobody knows it any more.
  world.Restored.clear();
  world.Entries.clear();
  world.run(minutes(1));
  world.Now += minutes(15);
  world.Entries.emplace_back(10);
  world.run(seconds(1));
  CHECK(world.Restored.empty());
}

TEST_CASE("the value is bounded") {
  StoreWorld world(1);
  world.run(seconds(1));
  std::vector<RequestDigest> many;
  for (std::uint64_t i = 1; i <= 10 * QuarantineStore::MaxStored; ++i)
    many.emplace_back(i);
  world.Entries[0].setOwn(many, {}, world.Now);
  world.run(seconds(3));
  CHECK(world.Entries[0].stored().size() == QuarantineStore::MaxStored);
}
