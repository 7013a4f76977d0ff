//===- LostReplyTest.cpp - replies lost on sound connections --------------===//
//
// Guards against configurations that come into force late because the replies
// to all watches were lost although the connections stay open, so that neither
// a reset nor a keep-alive shows it. Real control threads run against a store
// on sockets and are linked to one another.
//
//===----------------------------------------------------------------------===//

#include "FakeStoreServer.h"
#include "FreeAddress.h"

#include "ospreyspur/Control/DirectControl.h"
#include "ospreyspur/Support/Metrics.h"
#include "platform/ConfigWire.h"

#include <doctest/doctest.h>

#include <list>
#include <sstream>

using namespace ospreyspur;
using namespace ospreyspur::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A version is in force this long after the store has become stable.
static constexpr Duration InForceLimit = seconds(3);
static constexpr Duration Silence = milliseconds(100);
static constexpr Duration Step = milliseconds(5);

static std::string formatAddress(const TcpAddress &address) {
  std::ostringstream os;
  os << address;
  return os.str();
}

static std::string formatVersion(unsigned version) {
  std::string text = std::to_string(version);
  return R"({"version":)" + text + R"(,"routes":[{"name":"r)" + text +
         R"(","host":"h","prefix":"/a/","kind":"safe","service":"s"}],)" +
         R"("services":[{"name":"s"}]})";
}

namespace {
/// An entry's control thread.
class LinkedEntry {
public:
  LinkedEntry(boost::asio::io_context &ioc, const TcpAddress &store,
              const std::vector<std::string> &links, std::size_t i)
      : Settings(makeSettings(store, links, i)),
        Control(ioc, Settings, Measures, i,
                [this](const std::shared_ptr<const DirectSnapshot> &it) {
                  Version = it->Config->Version;
                }) {
    REQUIRE(Control.start());
  }
  ~LinkedEntry() { Control.stop(); }

  std::uint64_t Version = 0;

private:
  static DirectSettings makeSettings(const TcpAddress &store,
                                     const std::vector<std::string> &links,
                                     std::size_t i) {
    DirectSettings out;
    out.Name = "entry-" + std::to_string(i);
    out.DataCentre = "d";
    out.PlatformAddress = formatAddress(store);
    out.LinkListen = links[i];
    out.Peers = links;
    out.PeerPorts = "1,2";
    return out;
  }

  Metrics Measures;
  DirectSettings Settings;
  DirectControl Control;
};
} // namespace

TEST_CASE("a configuration is in force in time although the replies to all "
          "watches were lost") {
  constexpr std::size_t Entries = 3;
  boost::asio::io_context ioc;
  FakeStoreServer store(ioc);
  store.write(platform::ConfigDocumentKey, formatVersion(1));
  std::vector<std::string> links;
  for (std::size_t i = 0; i < Entries; ++i)
    links.push_back(formatAddress(findFreeAddress()));
  std::list<LinkedEntry> entries;
  for (std::size_t i = 0; i < Entries; ++i)
    entries.emplace_back(ioc, store.address(), links, i);
  auto isInForce = [&](unsigned version) {
    return std::all_of(
        entries.begin(), entries.end(),
        [version](const LinkedEntry &it) { return it.Version >= version; });
  };
  auto runUntil = [&](unsigned version, TimePoint end) {
    while (!isInForce(version) && monotonicNow() < end) {
      ioc.restart();
      ioc.run_for(Step);
    }
  };
  runUntil(1, monotonicNow() + seconds(5));
  REQUIRE(isInForce(1));
  ioc.restart();
  ioc.run_for(seconds(4));
  // After the first change, all watches begin together.
  store.write(platform::ConfigDocumentKey, formatVersion(2));
  ioc.restart();
  ioc.run_for(Silence);
  store.write(platform::ConfigDocumentKey, formatVersion(3));
  store.loseReplies(Silence);
  TimePoint stableAt = monotonicNow() + Silence;
  runUntil(3, stableAt + 2 * InForceLimit);
  CHECK(monotonicNow() - stableAt <= InForceLimit);
}
