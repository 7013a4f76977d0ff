//===- OddRowTest.cpp - rows that other writers leave in the store --------===//
//
// Guards against an entry that ends, or no longer follows the store, because of
// a row that no reader expects. A real control thread reads a store on sockets
// whose rows are odd from the start, or become so.
//
//===----------------------------------------------------------------------===//

#include "FakeStoreServer.h"
#include "FreeAddress.h"

#include "ospreyspur/Config/ConfigDocument.h"
#include "ospreyspur/Control/DirectControl.h"
#include "ospreyspur/Support/Metrics.h"
#include "platform/ConfigWire.h"
#include "platform/EndpointWire.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <sstream>

using namespace ospreyspur;
using namespace ospreyspur::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration Limit = seconds(4);

static std::string formatAddress(const TcpAddress &address) {
  std::ostringstream os;
  os << address;
  return os.str();
}

static std::string nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

static std::string replaced(std::string text, const std::string &from,
                            const std::string &to) {
  std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

static std::string formatRecord(const std::string &address = "10.0.0.1:80",
                                const char *state = "ready") {
  return R"({"service":"s","address":")" + address +
         R"(","zone":"d","version":"v1","slots":4,"state":")" + state +
         R"(","cold_left_ms":0,"seq":1})";
}

static std::string formatConfig(unsigned version,
                                const std::string &route = "") {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r","host":"h","prefix":"/a/","kind":"safe",)"
         R"("service":"s","timeout_ms":1000}])" +
         route + R"(,"services":[{"name":"s"}]})";
}

/// Values that are no record of an endpoint.
static std::vector<std::string> oddRecords() {
  const std::string good = formatRecord();
  std::vector<std::string> out = {"",
                                  "null",
                                  "true",
                                  "7",
                                  "[]",
                                  "\"",
                                  "{",
                                  "{\"a\":1",
                                  "no JSON",
                                  std::string(64, '\0'),
                                  "\xff",
                                  "{}",
                                  nested(33),
                                  nested(100000),
                                  "1e999",
                                  R"({"a":)" + nested(100000) + "}",
                                  std::string(100000, '{')};
  for (const char *address :
       {"10.0.0.1:65536", "10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1:0",
        "10.0.0.1:4294967376", "10.0.0.1:", "10.0.0.1", "10.0.0.1:80x",
        "10.0.0.1: 80", "10.0.0.256:80", "here:80", ":80", "", "::1"})
    out.push_back(formatRecord(address));
  for (const char *slots :
       {"0", "-1", "1.5", "1e300", "1e999", "-1e999", "18446744073709551615",
        "18446744073709551616", "9999999999999999999999999999999999999",
        "\"4\"", "null", "{}"})
    out.push_back(
        replaced(good, R"("slots":4)", std::string(R"("slots":)") + slots));
  out.push_back(replaced(good, R"("seq":1)", R"("seq":1e999)"));
  out.push_back(replaced(good, R"("seq":1)", R"("seq":)" + nested(1000)));
  out.push_back(replaced(good, R"("zone":"d")", R"("zone":)" + nested(40)));
  out.push_back(replaced(good, R"("zone":"d")", R"("zone":{"a":"d"})"));
  out.push_back(replaced(good, "ready", "asleep"));
  return out;
}

/// Records of sound endpoints with fields or values that are unusual.
static std::vector<std::string> unusualRecords() {
  const std::string good = formatRecord();
  return {
      replaced(good, R"("seq":1)", R"("seq":18446744073709551615)"),
      replaced(good, R"("cold_left_ms":0)",
               R"("cold_left_ms":18446744073709551615)"),
      replaced(good, R"("cold_left_ms":0)", R"("cold_left_ms":1e300)"),
      replaced(good, R"("cold_left_ms":0)", R"("cold_left_ms":-1)"),
      replaced(good, R"("seq":1)", R"("seq":1,"more":)" + nested(8)),
      replaced(good, R"("seq":1)", R"("seq":1,"born":18446744073709551615)"),
      formatRecord("[::1]:80")};
}

namespace {
/// An entry's control thread, a store, and what the entry knows.
class ControlFixture {
public:
  explicit ControlFixture(unsigned version = 1)
      : Store(Context), Settings(makeSettings()) {
    Store.write(platform::ConfigDocumentKey, formatConfig(version));
  }
  ~ControlFixture() {
    if (Control)
      Control->stop();
  }

  void start() {
    Control = std::make_unique<DirectControl>(
        Context, Settings, Measures, 1,
        [this](const std::shared_ptr<const DirectSnapshot> &it) { Last = it; });
    REQUIRE(Control->start());
  }

  void writeEndpoint(const std::string &name, const std::string &value) {
    Store.write(platform::EndpointKeyPrefix + name, value);
  }

  /// The names of the endpoints that may get requests.
  std::set<std::string> endpoints() const {
    std::set<std::string> out;
    if (Last)
      for (const ListedEndpoint &it : Last->Endpoints)
        if (!it.Record.IsLeaving && !it.IsMissing)
          out.insert(it.Record.Name);
    return out;
  }
  std::uint64_t version() const { return Last ? Last->Config->Version : 0; }
  std::set<std::string> nodes() const {
    std::set<std::string> out;
    if (Last)
      for (const NodeRecord &it : Last->Nodes)
        out.insert(it.Name);
    return out;
  }

  template <typename Condition> bool run(const Condition &isDone) {
    TimePoint until = monotonicNow() + Limit;
    while (!isDone() && monotonicNow() < until) {
      Context.restart();
      Context.run_for(milliseconds(2));
    }
    return isDone();
  }

  boost::asio::io_context Context;
  FakeStoreServer Store;

private:
  DirectSettings makeSettings() const {
    DirectSettings out;
    out.Name = "n";
    out.DataCentre = "d";
    out.PlatformAddress = formatAddress(Store.address());
    out.LinkListen = formatAddress(findFreeAddress());
    out.PeerPorts = "1,2";
    return out;
  }

  Metrics Measures;
  DirectSettings Settings;
  std::shared_ptr<const DirectSnapshot> Last;
  std::unique_ptr<DirectControl> Control;
};
} // namespace

using Names = std::set<std::string>;

TEST_CASE("odd endpoint records are skipped, and the rest of the list is "
          "followed") {
  std::vector<std::string> odd = oddRecords();
  ControlFixture fixture;
  fixture.writeEndpoint("a", formatRecord("10.0.0.1:1"));
  for (std::size_t i = 0; i < odd.size(); ++i)
    fixture.writeEndpoint("odd-" + std::to_string(i), odd[i]);
  fixture.start();
  CHECK(fixture.run([&] { return fixture.endpoints() == Names{"a"}; }));
  fixture.writeEndpoint("b", formatRecord("10.0.0.1:2"));
  CHECK(fixture.run([&] { return fixture.endpoints() == Names{"a", "b"}; }));
  fixture.writeEndpoint("a", formatRecord("10.0.0.1:1", "draining"));
  CHECK(fixture.run([&] { return fixture.endpoints() == Names{"b"}; }));
}

TEST_CASE("an endpoint record that becomes odd does not stop the list") {
  ControlFixture fixture;
  fixture.writeEndpoint("a", formatRecord("10.0.0.1:1"));
  fixture.start();
  REQUIRE(fixture.run([&] { return fixture.endpoints() == Names{"a"}; }));
  unsigned port = 2;
  for (const std::string &it : oddRecords()) {
    CAPTURE(it.substr(0, 200));
    fixture.writeEndpoint("odd", it);
    std::string next = "b" + std::to_string(port);
    fixture.writeEndpoint(next,
                          formatRecord("10.0.0.1:" + std::to_string(port++)));
    CHECK(fixture.run([&] { return fixture.endpoints().contains(next); }));
    CHECK_FALSE(fixture.endpoints().contains("odd"));
  }
}

TEST_CASE("unusual but sound endpoint records are used") {
  for (const std::string &it : unusualRecords()) {
    CAPTURE(it);
    ControlFixture fixture;
    fixture.writeEndpoint("a", it);
    fixture.start();
    CHECK(fixture.run([&] { return fixture.endpoints() == Names{"a"}; }));
  }
}

// The name is a header of each request to the endpoint.
TEST_CASE("an endpoint whose name is no header value is skipped") {
  for (const char *name :
       {"", "x\r\nX-A: 1", "x\ny", "x\x01", "x\x7f", " x", "x ", "x\ty"}) {
    CAPTURE(name);
    ControlFixture fixture;
    fixture.writeEndpoint("a", formatRecord("10.0.0.1:1"));
    fixture.writeEndpoint(name, formatRecord("10.0.0.1:2"));
    fixture.start();
    CHECK(fixture.run([&] { return fixture.endpoints() == Names{"a"}; }));
  }
}

/// Values that are no configuration.
static std::vector<std::string> oddConfigs() {
  return {"",
          "null",
          "[]",
          "[[",
          "no JSON",
          "{}",
          nested(100000),
          R"(["d"])",
          "[\"d\"]\n" + formatConfig(9),
          R"({"version":9,"routes":[7]})",
          R"({"version":9,"routes":[{"kind":"odd","prefix":"/"}]})",
          R"({"version":9,"more":)" + nested(100000) + "}",
          R"({"version":1e999})",
          R"({"version":-1})",
          R"({"version":"9"})"};
}

TEST_CASE("an odd configuration is skipped, and the next one is in force") {
  unsigned version = 1;
  ControlFixture fixture(version);
  fixture.writeEndpoint("a", formatRecord());
  fixture.start();
  REQUIRE(fixture.run([&] { return fixture.version() == version; }));
  for (const std::string &it : oddConfigs()) {
    CAPTURE(it.substr(0, 200));
    fixture.Store.write(platform::ConfigDocumentKey, it);
    fixture.Store.write("op/other", it);
    fixture.writeEndpoint("b", formatRecord("10.0.0.1:2"));
    CHECK(fixture.run([&] { return fixture.endpoints() == Names{"a", "b"}; }));
    CHECK(fixture.version() == version);
    fixture.Store.remove(std::string(platform::EndpointKeyPrefix) + "b");
    fixture.Store.write(platform::ConfigDocumentKey, formatConfig(++version));
    CHECK(fixture.run([&] { return fixture.version() == version; }));
    CHECK(fixture.run([&] { return fixture.endpoints() == Names{"a"}; }));
  }
}

/// Numbers that no unit of time and no count can hold.
static constexpr std::array OddNumbers = {"-1",
                                          "-1e300",
                                          "1e300",
                                          "1e999",
                                          "18446744073709551615",
                                          "18446744073709551616",
                                          "4294967296",
                                          "0",
                                          "0.5",
                                          "\"1\"",
                                          "null"};

TEST_CASE("a configuration with numbers out of range is in force within "
          "bounds") {
  const std::string text =
      R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/",)"
      R"("kind":"stream","timeout_ms":N,"slo_ms":N,"itl_target_ms":N,)"
      R"("priority":N,"attempts":N,"backends":[{"service":"s","weight":N},)"
      R"({"service":"s","weight":N}]}],"services":[{"name":"s","max_conns":N,)"
      R"("cold_start_s":N,"cold_per_s":N,"engine":{"slots":N,"step_ms":N,)"
      R"("per_seq_ms":N,"read_per_s":N,"stride":N,"chunk":N,"sets":N,)"
      R"("experts":N,"placements":N,"spare":N,"expert_mb":N,"link_mbps":N,)"
      R"("usual":{"answer":N}}}],"tenants":[{"name":"t","priority":N,)"
      R"("api_keys":["k"]}],"limits":{"max_header_bytes":N,)"
      R"("max_body_bytes":N,"header_timeout_ms":N,"idle_timeout_ms":N}})";
  constexpr Duration Longest = std::chrono::hours(24);
  for (const char *number : OddNumbers) {
    CAPTURE(number);
    std::string odd = text;
    for (std::size_t at = odd.find(":N"); at != std::string::npos;
         at = odd.find(":N"))
      odd.replace(at + 1, 1, number);
    Result<FleetConfig> config = platform::readConfig(odd);
    REQUIRE(config);
    const RouteRule &route = config.value().Routes.front();
    const ServiceRule &service = config.value().Services.at(ServiceId("s"));
    for (Duration it :
         {route.Timeout, route.Target, route.GapTarget, service.ColdTime,
          config.value().Limits.HeaderTimeout,
          config.value().Limits.IdleTimeout, service.Engine->Step,
          service.Engine->StepPerRequest, service.Engine->CopyTime}) {
      CHECK(it >= Duration::zero());
      CHECK(it <= Longest);
    }
    for (double it : {service.ColdRequestsPerSecond,
                      service.Engine->PrefillTokensPerSecond}) {
      CHECK(it >= 0);
      CHECK(it <= 1e18);
    }
    CHECK(route.Attempts >= 1);
    // The sum of the weights has to fit, too.
    for (const WeightedService &it : route.Services)
      CHECK(it.Weight <= 1U << 20U);
  }
}

TEST_CASE("odd records of other processes are skipped, and the rest is "
          "followed") {
  const std::string prefix = "ospreyspur/nodes/";
  ControlFixture fixture;
  fixture.writeEndpoint("a", formatRecord());
  std::vector<std::string> odd = {"",   "null", "[]",          "no JSON",
                                  "{}", "\xff", nested(100000)};
  for (const char *address : {"", "here:80", "10.0.0.1:65536", "10.0.0.1:0",
                              "10.0.0.1", "unix:/tmp/x", "7"}) {
    odd.push_back(R"({"data_centre":"d","links":")" + std::string(address) +
                  R"(","loads":"10.0.0.1:1"})");
    if (*address)
      odd.push_back(R"({"data_centre":"d","links":"10.0.0.1:1","loads":")" +
                    std::string(address) + R"("})");
  }
  for (std::size_t i = 0; i < odd.size(); ++i)
    fixture.Store.write(prefix + "odd-" + std::to_string(i), odd[i]);
  fixture.Store.write(prefix,
                      R"({"data_centre":"d","links":"10.0.0.1:1","loads":""})");
  fixture.Store.write("ospreyspur/quarantine", nested(100000));
  std::string address = formatAddress(findFreeAddress());
  fixture.Store.write(prefix + "good", R"({"data_centre":"d","links":")" +
                                           address + R"(","loads":")" +
                                           address + R"("})");
  fixture.start();
  CHECK(fixture.run([&] { return fixture.nodes() == Names{"good"}; }));
  CHECK(fixture.endpoints() == Names{"a"});
}

// The list of the path through agents is one row.
TEST_CASE("odd hosts in the host list are skipped, and the rest is used") {
  const std::string good =
      R"({"endpoint":"e","service":"s","data_centre":"d",)"
      R"("agent":"127.0.0.1:1","group":"","state":"live"})";
  std::vector<std::string> odd = {
      "null",
      "7",
      "[]",
      "{}",
      nested(20),
      replaced(good, R"("e")", "7"),
      replaced(good, R"("e")", R"("")"),
      replaced(good, "127.0.0.1:1", "127.0.0.1:65536"),
      replaced(good, "127.0.0.1:1", "127.0.0.1:0"),
      replaced(good, "127.0.0.1:1", "here:1"),
      replaced(good, R"("live")", "1e999"),
      replaced(good, R"("s")", nested(20))};
  for (const std::string &it : odd) {
    CAPTURE(it);
    auto hosts = parseHosts(
        std::string("[").append(it).append(",").append(good).append("]"));
    REQUIRE(hosts);
    REQUIRE(hosts.value().Endpoints.size() == 1);
    CHECK(hosts.value().Endpoints.front().Id == EndpointId("e"));
    CHECK(hosts.value().Skipped.size() == 1);
  }
}
