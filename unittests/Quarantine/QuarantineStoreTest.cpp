//===- QuarantineStoreTest.cpp - persisting quarantined requests ----------===//
//
// Quarantined requests must survive the exit of all entries. An outage of the
// key-value store must cause neither lost nor excessive writes.
//
//===----------------------------------------------------------------------===//

#include "FakeKeyValueStore.h"

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
class StoreSimulation {
public:
  explicit StoreSimulation(unsigned entries) {
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
  bool IsStoreDown = false;
  unsigned Writes = 0;

private:
  void step(QuarantineStore &entry) {
    std::optional<KvCall> call = entry.nextCall(Now);
    if (!call)
      return;
    bool isWrite = std::holds_alternative<KvPut>(*call);
    Writes += isWrite ? 1 : 0;
    KvReply reply{ResultCode::PlatformTimeout, {}, {}};
    if (!IsStoreDown)
      reply = Service.perform(*call, Now);
    for (RequestDigest it : entry.onReply(reply, Now))
      Restored.push_back(it);
  }

  test::FakeKeyValueStore Service;
};
} // namespace

TEST_CASE("an entry restores requests that an earlier entry quarantined") {
  StoreSimulation simulation(1);
  simulation.run(seconds(1));
  simulation.Entries[0].setLocalQuarantine({First}, {}, simulation.Now);
  simulation.run(seconds(2));
  simulation.Entries.clear();
  simulation.Entries.emplace_back(9);
  simulation.run(seconds(1));
  CHECK(simulation.Restored == std::vector{First});
}

TEST_CASE("few of the entries that learn of a quarantined request write it") {
  StoreSimulation simulation(52);
  simulation.run(seconds(1));
  for (QuarantineStore &it : simulation.Entries)
    it.setLocalQuarantine({First}, {}, simulation.Now);
  simulation.run(seconds(5));
  CHECK(simulation.Writes <= 8);
  for (const QuarantineStore &it : simulation.Entries)
    CHECK(it.stored() == std::vector{First});
}

TEST_CASE("requests quarantined in a store outage are written after it") {
  StoreSimulation simulation(2);
  simulation.run(seconds(1));
  simulation.IsStoreDown = true;
  simulation.Entries[0].setLocalQuarantine({First}, {}, simulation.Now);
  simulation.Entries[1].setLocalQuarantine({Second}, {}, simulation.Now);
  simulation.run(seconds(30));
  CHECK(simulation.Writes == 0);
  simulation.IsStoreDown = false;
  simulation.run(seconds(10));
  CHECK(simulation.Entries[0].stored().size() +
            simulation.Entries[1].stored().size() >=
        3);
  simulation.Entries.emplace_back(9);
  simulation.run(seconds(1));
  CHECK(simulation.Restored.size() == 2);
}

TEST_CASE("a cleared request is removed from the store") {
  StoreSimulation simulation(1);
  simulation.run(seconds(1));
  simulation.Entries[0].setLocalQuarantine({First, Second}, {}, simulation.Now);
  simulation.run(seconds(2));
  simulation.Entries[0].setLocalQuarantine({Second}, {First}, simulation.Now);
  simulation.run(seconds(2));
  CHECK(simulation.Entries[0].stored() == std::vector{Second});
}

TEST_CASE("the value is kept while an entry knows it and expires after that") {
  StoreSimulation simulation(1);
  simulation.run(seconds(1));
  simulation.Entries[0].setLocalQuarantine({First}, {}, simulation.Now);
  simulation.run(minutes(25));
  simulation.Entries.emplace_back(9);
  simulation.run(seconds(1));
  CHECK(simulation.Restored == std::vector{First});
  CHECK(simulation.Writes <= 6);
  // No entry is left that knows the request.
  simulation.Restored.clear();
  simulation.Entries.clear();
  simulation.run(minutes(1));
  simulation.Now += minutes(15);
  simulation.Entries.emplace_back(10);
  simulation.run(seconds(1));
  CHECK(simulation.Restored.empty());
}

TEST_CASE("the stored value is bounded") {
  StoreSimulation simulation(1);
  simulation.run(seconds(1));
  std::vector<RequestDigest> many;
  for (std::uint64_t i = 1; i <= 10 * QuarantineStore::MaxStored; ++i)
    many.emplace_back(i);
  simulation.Entries[0].setLocalQuarantine(many, {}, simulation.Now);
  simulation.run(seconds(3));
  CHECK(simulation.Entries[0].stored().size() == QuarantineStore::MaxStored);
}
