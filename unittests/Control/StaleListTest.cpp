//===- StaleListTest.cpp - lists with pages of different age --------------===//
//
// Guards against an entry that starts with a list of which some pages are old,
// takes a leaving or removed endpoint for ready, and makes the other entries do
// so. Real control threads run against a store on sockets.
//
//===----------------------------------------------------------------------===//

#include "FakeStoreServer.h"
#include "FreeAddress.h"

#include "ospreyspur/Control/DirectControl.h"
#include "ospreyspur/Support/Metrics.h"
#include "platform/ConfigWire.h"
#include "platform/EndpointWire.h"

#include <doctest/doctest.h>

#include <sstream>

using namespace ospreyspur;
using namespace ospreyspur::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration Step = milliseconds(5);
static constexpr char LeavingName[] = "i-z";

static std::string formatAddress(const TcpAddress &address) {
  std::ostringstream os;
  os << address;
  return os.str();
}

static std::string formatRecord(unsigned port, const char *state) {
  return R"({"service":"s","address":"10.0.0.1:)" + std::to_string(port) +
         R"(","zone":"d","version":"v1","slots":4,"state":")" + state +
         R"(","cold_left_ms":0,"seq":1})";
}

namespace {
/// An entry's control thread that notes how it sees the leaving endpoint.
class Entry {
public:
  Entry(boost::asio::io_context &ioc, const TcpAddress &store,
        const TcpAddress &own, const TcpAddress &peer, const std::string &name)
      : Settings(makeSettings(store, own, peer, name)),
        Control(ioc, Settings, Measures, 1,
                [this](const std::shared_ptr<const DirectSnapshot> &it) {
                  onSnapshot(*it);
                }) {
    REQUIRE(Control.start());
  }
  ~Entry() { Control.stop(); }

  bool HasList = false;
  /// Whether the endpoint may get requests, by the last list.
  bool IsReady = false;
  /// Whether it was ever ready.
  bool WasReady = false;
  /// How often it became ready after it was known not to be.
  unsigned Returns = 0;

private:
  static DirectSettings makeSettings(const TcpAddress &store,
                                     const TcpAddress &own,
                                     const TcpAddress &peer,
                                     const std::string &name) {
    DirectSettings out;
    out.Name = name;
    out.DataCentre = "d";
    out.PlatformAddress = formatAddress(store);
    out.LinkListen = formatAddress(own);
    out.Peers = {formatAddress(own), formatAddress(peer)};
    out.PeerPorts = "1,2";
    return out;
  }

  void onSnapshot(const DirectSnapshot &snapshot) {
    bool wasReady = !HasList || IsReady;
    HasList = true;
    IsReady = false;
    for (const ListedEndpoint &it : snapshot.Endpoints)
      if (it.Record.Name == LeavingName)
        IsReady = !it.Record.IsLeaving && !it.IsMissing;
    WasReady = WasReady || IsReady;
    Returns += IsReady && !wasReady ? 1 : 0;
  }

  Metrics Measures;
  DirectSettings Settings;
  DirectControl Control;
};

/// A store with two pages of endpoints, the leaving one on the second page or,
/// if the others' names come after its name, on the first.
class StoreWithPages {
public:
  explicit StoreWithPages(const std::string &others) : Store(Context) {
    Store.write(platform::ConfigDocumentKey,
                R"({"version":1,"routes":[{"name":"r","host":"h",)"
                R"("prefix":"/a/","kind":"safe","service":"s"}],)"
                R"("services":[{"name":"s"}]})");
    for (unsigned i = 0; i < 4; ++i)
      writeEndpoint(others + std::to_string(i), i + 1, "ready");
    writeEndpoint(LeavingName, 99, "ready");
    Store.setPageItems(3);
  }

  void writeEndpoint(const std::string &name, unsigned port,
                     const char *state) {
    Store.write(platform::EndpointKeyPrefix + name, formatRecord(port, state));
  }
  void run(Duration span) {
    Context.restart();
    Context.run_for(span);
  }
  template <typename Test> bool runUntil(Test test, Duration limit) {
    TimePoint began = monotonicNow();
    while (!test() && monotonicNow() - began < limit)
      run(Step);
    return test();
  }

  boost::asio::io_context Context;
  FakeStoreServer Store;
};
} // namespace

/// When something else than the list changes, so that the newer page has a
/// higher revision than the change of the list.
enum class OtherChange : std::uint8_t {
  /// The informed entry's list has this revision, too.
  AtOnce,
  /// Once the informed entry has its list, so that its list has a lower one.
  Later,
};

/// An entry knows that the endpoint leaves; another one starts, to whom page
/// \p stalePage of the list is shown as it was before.
static void
startBesideInformedEntry(bool isRemoved, const std::string &others,
                         unsigned stalePage,
                         OtherChange otherChange = OtherChange::AtOnce) {
  INFO("removed " << isRemoved << ", others " << others << ", stale page "
                  << stalePage);
  StoreWithPages fleet(others);
  TcpAddress first = findFreeAddress();
  TcpAddress second = findFreeAddress();
  Entry informed(fleet.Context, fleet.Store.address(), first, second, "first");
  REQUIRE(fleet.runUntil([&] { return informed.IsReady; }, seconds(5)));
  Revision before = fleet.Store.revision();
  if (isRemoved)
    fleet.Store.remove(std::string(platform::EndpointKeyPrefix) + LeavingName);
  else
    fleet.writeEndpoint(LeavingName, 99, "draining");
  if (otherChange == OtherChange::AtOnce)
    fleet.Store.write("other", "");
  REQUIRE(fleet.runUntil([&] { return !informed.IsReady; }, seconds(5)));
  if (otherChange == OtherChange::Later)
    fleet.Store.write("other", "");
  fleet.Store.setStalePage(stalePage, before);
  Entry started(fleet.Context, fleet.Store.address(), second, first, "second");
  REQUIRE(fleet.runUntil([&] { return started.HasList; }, seconds(5)));
  CHECK_FALSE(started.IsReady);
  fleet.run(milliseconds(2000));
  CHECK(informed.Returns == 0);
  CHECK_FALSE(informed.IsReady);
  CHECK(started.Returns == 0);
  CHECK_FALSE(started.IsReady);
}

TEST_CASE("an old page of the list does not bring a leaving endpoint back") {
  for (bool isRemoved : {false, true}) {
    startBesideInformedEntry(isRemoved, "i-a", 1);
    // Both pages differ in age, and the old one is the first.
    startBesideInformedEntry(isRemoved, "i-zz", 0);
  }
}

// Guards against a list that spreads to entries which know better: it counts as
// newer than theirs if it has the revision of its newest page.
TEST_CASE("an old page of the list does not spread to other entries") {
  for (bool isRemoved : {false, true}) {
    startBesideInformedEntry(isRemoved, "i-a", 1, OtherChange::Later);
    startBesideInformedEntry(isRemoved, "i-zz", 0, OtherChange::Later);
  }
}

TEST_CASE(
    "an entry that starts alone uses no page that is older than another") {
  for (bool isRemoved : {false, true}) {
    INFO("removed " << isRemoved);
    StoreWithPages fleet("i-a");
    Revision before = fleet.Store.revision();
    if (isRemoved)
      fleet.Store.remove(std::string(platform::EndpointKeyPrefix) +
                         LeavingName);
    else
      fleet.writeEndpoint(LeavingName, 99, "draining");
    fleet.Store.setStalePage(1, before);
    TcpAddress own = findFreeAddress();
    Entry started(fleet.Context, fleet.Store.address(), own, own, "first");
    REQUIRE(fleet.runUntil([&] { return started.HasList; }, seconds(5)));
    CHECK_FALSE(started.WasReady);
  }
}

TEST_CASE("an entry that is refused the missing changes starts with what its "
          "peers know") {
  StoreWithPages fleet("i-a");
  TcpAddress first = findFreeAddress();
  TcpAddress second = findFreeAddress();
  Entry informed(fleet.Context, fleet.Store.address(), first, second, "first");
  REQUIRE(fleet.runUntil([&] { return informed.IsReady; }, seconds(5)));
  Revision before = fleet.Store.revision();
  fleet.writeEndpoint(LeavingName, 99, "draining");
  fleet.Store.write("other", "");
  REQUIRE(fleet.runUntil([&] { return !informed.IsReady; }, seconds(5)));
  fleet.Store.setStalePage(1, before);
  fleet.Store.refuseWatches(true);
  Entry started(fleet.Context, fleet.Store.address(), second, first, "second");
  REQUIRE(fleet.runUntil([&] { return started.HasList; }, seconds(5)));
  CHECK_FALSE(started.IsReady);
  CHECK(informed.Returns == 0);
}
