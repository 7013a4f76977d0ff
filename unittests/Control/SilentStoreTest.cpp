//===- SilentStoreTest.cpp - connections to the store fall silent ---------===//
//
// Guards against configurations that come into force late because every open
// connection to the key-value store has fallen silent, without a reset, while
// new ones work. If a lost watch is noticed late, retried late, or retried on
// another silent connection, an entry serves an old version for longer than
// operators are promised. Real control threads run against a store on sockets.
//
//===----------------------------------------------------------------------===//

#include "FakeStoreServer.h"
#include "SilenceableRelay.h"

#include "ospreyspur/Control/DirectControl.h"
#include "ospreyspur/Support/Metrics.h"
#include "platform/ConfigWire.h"

#include <doctest/doctest.h>

#include <list>
#include <set>
#include <sstream>

using namespace ospreyspur;
using namespace ospreyspur::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Operators are promised that a version is in force this long after
/// connections fell silent.
static constexpr Duration InForceLimit = seconds(3);
static constexpr Duration Step = milliseconds(5);

static std::string formatVersion(unsigned version) {
  std::string text = std::to_string(version);
  return R"({"version":)" + text + R"(,"routes":[{"name":"r)" + text +
         R"(","host":"h","prefix":"/a/","kind":"safe","service":"s"}],)" +
         R"("services":[{"name":"s"}]})";
}

template <typename T> static std::string formatAddress(const T &address) {
  std::ostringstream os;
  os << address;
  return os.str();
}

namespace {
/// An entry's control thread with a connection to the store of its own.
class ControlledEntry {
public:
  ControlledEntry(boost::asio::io_context &ioc, const TcpAddress &store,
                  unsigned i)
      : Relay(ioc, store), Settings(makeSettings(i)),
        Control(ioc, Settings, Measures, i,
                [this](const std::shared_ptr<const DirectSnapshot> &it) {
                  Version = it->Config->Version;
                }) {
    REQUIRE(Control.start());
  }
  ~ControlledEntry() { Control.stop(); }

  SilenceableRelay Relay;
  std::uint64_t Version = 0;

private:
  DirectSettings makeSettings(unsigned i) const {
    DirectSettings out;
    out.Name = "entry-" + std::to_string(i);
    out.DataCentre = "d";
    out.PlatformAddress = formatAddress(Relay.address());
    out.LinkListen = formatAddress(findFreeAddress());
    out.PeerPorts = "1,2";
    return out;
  }

  Metrics Measures;
  DirectSettings Settings;
  DirectControl Control;
};

/// Entries that do not know each other, so that none gets a version from
/// another one.
class EntriesBeforeStore {
public:
  explicit EntriesBeforeStore(unsigned n) : Store(Context) {
    write(1);
    for (unsigned i = 0; i < n; ++i)
      Entries.emplace_back(Context, Store.address(), i);
    REQUIRE(awaitVersion(1, seconds(5)) < seconds(5));
  }

  void write(unsigned version) {
    Store.write(platform::ConfigDocumentKey, formatVersion(version));
  }
  void silence() {
    for (ControlledEntry &it : Entries)
      it.Relay.silence();
  }
  void run(Duration span) {
    Context.restart();
    Context.run_for(span);
  }
  /// Runs until \p version is in force at all entries, but at most for
  /// \p limit, and returns the elapsed time.
  Duration awaitVersion(unsigned version, Duration limit) {
    TimePoint began = monotonicNow();
    auto isInForce = [version](const ControlledEntry &it) {
      return it.Version >= version;
    };
    while (!std::all_of(Entries.begin(), Entries.end(), isInForce) &&
           monotonicNow() - began < limit)
      run(Step);
    return monotonicNow() - began;
  }
  /// Runs until an entry has made another watch.
  void awaitWatch() {
    for (unsigned before = Store.watchCount(); Store.watchCount() == before;)
      run(Step);
  }

private:
  boost::asio::io_context Context;
  FakeStoreServer Store;
  std::list<ControlledEntry> Entries;
};
} // namespace

TEST_CASE("a configuration is in force in time although all connections to the "
          "store fell silent") {
  EntriesBeforeStore entries(6);
  unsigned version = 1;
  // Connections fall silent at different moments of the watches.
  for (Duration rest : {milliseconds(2500), milliseconds(3100)}) {
    entries.run(rest);
    entries.awaitWatch();
    TimePoint silentSince = monotonicNow();
    entries.silence();
    entries.run(milliseconds(200));
    entries.write(++version);
    entries.awaitVersion(version, 2 * InForceLimit);
    CHECK(monotonicNow() - silentSince <= InForceLimit);
  }
}
