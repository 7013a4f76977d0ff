//===- QuarantineStoreTest.cpp - persisting quarantined requests ----------===//
//
// Quarantined requests must survive the exit of all entries. An outage of the
// key-value store must cause neither lost nor excessive writes.
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
/// The QuarantineStores of several entries and one key-value store, on virtual
/// time.
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

TEST_CASE("an entry restores requests that an earlier entry quarantined") {
  StoreWorld world(1);
  world.run(seconds(1));
  world.Entries[0].setOwn({First}, {}, world.Now);
  world.run(seconds(2));
  world.Entries.clear();
  world.Entries.emplace_back(9);
  world.run(seconds(1));
  CHECK(world.Restored == std::vector{First});
}

TEST_CASE("few of the entries that learn of a quarantined request write it") {
  StoreWorld world(52);
  world.run(seconds(1));
  for (QuarantineStore &it : world.Entries)
    it.setOwn({First}, {}, world.Now);
  world.run(seconds(5));
  CHECK(world.Writes <= 8);
  for (const QuarantineStore &it : world.Entries)
    CHECK(it.stored() == std::vector{First});
}

TEST_CASE("requests quarantined in a store outage are written after it") {
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

TEST_CASE("a cleared request is removed from the store") {
  StoreWorld world(1);
  world.run(seconds(1));
  world.Entries[0].setOwn({First, Second}, {}, world.Now);
  world.run(seconds(2));
  world.Entries[0].setOwn({Second}, {First}, world.Now);
  world.run(seconds(2));
  CHECK(world.Entries[0].stored() == std::vector{Second});
}

TEST_CASE("the value is kept while an entry knows it and expires after that") {
  StoreWorld world(1);
  world.run(seconds(1));
  world.Entries[0].setOwn({First}, {}, world.Now);
  world.run(minutes(25));
  world.Entries.emplace_back(9);
  world.run(seconds(1));
  CHECK(world.Restored == std::vector{First});
  CHECK(world.Writes <= 6);
  // No entry is left that knows the request.
  world.Restored.clear();
  world.Entries.clear();
  world.run(minutes(1));
  world.Now += minutes(15);
  world.Entries.emplace_back(10);
  world.run(seconds(1));
  CHECK(world.Restored.empty());
}

TEST_CASE("the stored value is bounded") {
  StoreWorld world(1);
  world.run(seconds(1));
  std::vector<RequestDigest> many;
  for (std::uint64_t i = 1; i <= 10 * QuarantineStore::MaxStored; ++i)
    many.emplace_back(i);
  world.Entries[0].setOwn(many, {}, world.Now);
  world.run(seconds(3));
  CHECK(world.Entries[0].stored().size() == QuarantineStore::MaxStored);
}
