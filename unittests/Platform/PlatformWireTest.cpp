//===- PlatformWireTest.cpp - parsing of the platform's messages ----------===//
//
// Valid messages of the platform and of endpoints are parsed to their values;
// damaged ones give numbered errors.
//
//===----------------------------------------------------------------------===//

#include "platform/Base64.h"
#include "platform/ConfigWire.h"
#include "platform/EndpointWire.h"
#include "platform/RankWire.h"
#include "platform/RequestWire.h"
#include "platform/StoreWire.h"

#include <doctest/doctest.h>

#include <random>

using namespace ospreyspur;
namespace http = boost::beast::http;

static constexpr char Document[] =
    R"({"version":7,"routes":[{"name":"r","host":"h.example","prefix":"/a/",)"
    R"("kind":"stream","timeout_ms":8000,"slo_ms":400,"priority":1,)"
    R"("backends":[{"service":"s","weight":90},{"service":"t","weight":10}],)"
    R"("attempts":2,"resumable":true},{"name":"q","host":"h.example",)"
    R"("prefix":"/a/b/","kind":"safe","service":"t"}],)"
    R"("services":[{"name":"s","health_path":"/up","max_conns":5,"engine":{"stride":6,)"
    R"("per_seq_ms":0.362,"sets":6,"experts":64,"placements":11,"spare":4}}],)"
    R"("limits":{"max_header_bytes":100,"idle_timeout_ms":9000},)"
    R"("tenants":[{"name":"w","api_keys":["k1","k2"],"priority":3}]})";

TEST_CASE("the operators' document is parsed to routes, services and keys") {
  Result<FleetConfig> config = platform::readConfig(Document);
  REQUIRE(config);
  const FleetConfig &it = config.value();
  CHECK(it.Version == 7);
  REQUIRE(it.findRoute("H.example", "/a/x"));
  CHECK(it.findRoute("H.example", "/a/x")->Name == "r");
  CHECK(it.findRoute("h.example", "/a/b/x")->Name == "q");
  CHECK(it.findRoute("h.example", "/b/") == nullptr);
  CHECK(it.findRoute("other", "/a/") == nullptr);
  CHECK(it.Routes[0].Services[1].Weight == 10);
  CHECK(it.Routes[0].IsResumable);
  CHECK(it.Keys.at("k2").Priority == 3U);
  REQUIRE(it.findService(ServiceId("s")));
  CHECK(it.findService(ServiceId("s"))->HealthPath == "/up");
  CHECK(it.findService(ServiceId("s"))->Engine->StepsPerIteration == 6);
  CHECK(it.Limits.IdleTimeout == std::chrono::seconds(9));
}

TEST_CASE("an invalid document gives a numbered error") {
  for (const char *it :
       {"", "[]", "{}", R"({"version":1,"routes":[1]})",
        R"({"version":1,"routes":[{"prefix":"/","kind":"odd"}]})",
        R"({"version":1,"routes":[{"kind":"safe"}]})"}) {
    INFO(it);
    Result<FleetConfig> config = platform::readConfig(it);
    REQUIRE_FALSE(config);
    CHECK(config.error().Code == ResultCode::ConfigInvalid);
  }
}

TEST_CASE("only endpoints whose record has a stage get status queries") {
  KvItem item;
  item.Key = std::string(platform::EndpointKeyPrefix) + "i-1";
  const std::string common =
      R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1",)"
      R"("state":"ready","slots":12,"seq":3)";
  item.Value = common + "}";
  REQUIRE(platform::readEndpoint(item));
  CHECK_FALSE(platform::readEndpoint(item).value().AnswersStatusQueries);
  item.Value = common + R"(,"stage":"mixed"})";
  CHECK(platform::readEndpoint(item).value().AnswersStatusQueries);
}

namespace {
KvItem makeItem(const std::string &value) {
  KvItem item;
  item.Key = std::string(platform::EndpointKeyPrefix) + "i-1";
  item.Value = value;
  return item;
}
} // namespace

TEST_CASE("malformed endpoint records name no endpoint") {
  const std::string good =
      R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1",)"
      R"("slots":12,"state":"ready","cold_left_ms":0,"seq":4,"born":1700})";
  REQUIRE(platform::readEndpoint(makeItem(good)));
  auto withReplaced = [&](const std::string &from, const std::string &to) {
    std::string text = good;
    std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
  };
  for (const std::string &it : {withReplaced(R"("service":"s",)", ""),
                                withReplaced(R"("s")", "7"),
                                withReplaced(R"("address":"10.0.0.1:80",)", ""),
                                withReplaced("10.0.0.1:80", "here"),
                                withReplaced(R"("zone":"a",)", ""),
                                withReplaced(R"("version":"v1",)", ""),
                                withReplaced(R"("slots":12,)", ""),
                                withReplaced("12", R"("12")"),
                                withReplaced("12", "-1"),
                                withReplaced("12", "0"),
                                withReplaced("12", "1.5"),
                                withReplaced("12", "99999999999"),
                                withReplaced(R"("ready")", R"("asleep")"),
                                withReplaced(R"("ready")", "true"),
                                withReplaced(R"("seq":4)", R"("seq":"4")"),
                                withReplaced("1700", R"("1700")"),
                                withReplaced("1700", "1.5"),
                                std::string("[]"),
                                std::string("\xff\x00{", 3),
                                std::string()}) {
    INFO(it);
    Result<EndpointRecord> read = platform::readEndpoint(makeItem(it));
    REQUIRE_FALSE(read);
    CHECK(read.error().Code == ResultCode::EndpointRowUnreadable);
  }
  KvItem nameless = makeItem(good);
  nameless.Key = platform::EndpointKeyPrefix;
  CHECK_FALSE(platform::readEndpoint(nameless));
}

TEST_CASE("incarnations of one endpoint have different ids and the same name") {
  const std::string head =
      R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1",)"
      R"("slots":12,"state":"ready","seq":4)";
  auto read = [&](const std::string &born) {
    return platform::readEndpoint(makeItem(head + born + "}")).value();
  };
  EndpointRecord first = read(R"(,"born":1700)");
  EndpointRecord second = read(R"(,"born":1701)");
  CHECK(first.Id != second.Id);
  CHECK(first.Name == "i-1");
  CHECK(second.Name == "i-1");
  CHECK(read("").Id == EndpointId("i-1"));
  CHECK(platform::readReport(R"({"born":1701,"group":{"name":"g"}})")
            .value()
            .Incarnation == RankIncarnation(1701));
}

TEST_CASE("damaged messages give errors and do not crash") {
  const std::string report =
      R"({"group":{"name":"g","epoch":1,"rank":2,"state":"open"},"size":8,)"
      R"("step":5,"map":1,"prepared":null,"armed":{"version":2,"step":9},)"
      R"("held":9})";
  std::mt19937_64 random(1);
  for (int i = 0; i < 4000; ++i) {
    for (std::string text : {std::string(Document), report}) {
      for (int n = 0; n < 3; ++n)
        text[random() % text.size()] = static_cast<char>(random() % 256);
      text.resize(random() % 4 ? text.size() : random() % text.size());
      (void)platform::readConfig(text);
      (void)platform::readReport(text);
      (void)platform::readCounts(text);
      (void)platform::readPlacement(text);
      (void)platform::decodeBase64(text);
      HttpResponse response;
      response.body() = text;
      (void)platform::readPage(response);
      (void)platform::readItem(response);
    }
  }
  Result<RankStatus> status = platform::readReport(report);
  REQUIRE(status);
  CHECK(status.value().Armed == ArmedMap{MapVersion(2), StepNumber(9)});
  CHECK(status.value().Held == StepNumber(9));
  CHECK_FALSE(status.value().Prepared);
}

TEST_CASE("base64 survives a round trip") {
  for (std::size_t n = 0; n < 70; ++n) {
    std::string bytes;
    for (std::size_t i = 0; i < n; ++i)
      bytes += static_cast<char>(i * 37 + n);
    CHECK(platform::decodeBase64(platform::encodeBase64(bytes)) == bytes);
  }
  CHECK_FALSE(platform::decodeBase64("a"));
  CHECK_FALSE(platform::decodeBase64("????"));
}

static HttpRequest makeRequest() {
  HttpRequest request(http::verb::post, "/a/x?y=1", 11);
  request.set(http::field::host, "h.example:80");
  request.set("Request-Id", "abc");
  request.set("Deadline-Ms", "8000");
  request.set("Token-Count", "1460,80");
  request.set("Authorization", "Bearer k1");
  request.set("Tenant", "forged");
  request.set("Connection", "keep-alive, X-Hop");
  request.set("X-Hop", "1");
  request.set("X-Keep", "2");
  request.body() = "body";
  return request;
}

TEST_CASE("the parts of a prompt that other requests may share are read") {
  auto partsOf = [](const std::vector<std::string> &values) {
    HttpRequest request = makeRequest();
    for (const std::string &it : values)
      request.insert("Prompt-Prefix", it);
    return platform::readCaller(request).PromptParts;
  };
  using Parts = std::vector<std::string>;
  CHECK(partsOf({}).empty());
  CHECK(partsOf({""}).empty());
  // The last part belongs to the request or its session.
  CHECK(partsOf({"5c1e07a2:800"}).empty());
  CHECK(partsOf({"5c1e07a2:800,91bd3f06:410,e4402b7d:250"}) ==
        Parts{"5c1e07a2", "91bd3f06"});
  CHECK(partsOf({"5C1E07A2:800 , 91bd3f06", "e4402b7d:250"}) ==
        Parts{"5c1e07a2", "91bd3f06"});
  CHECK(partsOf({",,:,a:1,b:2"}) == Parts{"a"});
  std::string many;
  for (unsigned i = 0; i < 1000; ++i)
    many += std::to_string(i) + ":1,";
  CHECK(partsOf({many}).size() == platform::MaxPromptParts);
}

TEST_CASE("a request is forwarded without its connection-specific headers") {
  HttpRequest request = makeRequest();
  platform::CallerHeaders caller = platform::readCaller(request);
  CHECK(caller.Label == "abc");
  CHECK(caller.Host == "h.example");
  CHECK(caller.Key == "k1");
  CHECK(caller.TimeLeft == std::chrono::seconds(8));
  CHECK(caller.Tokens.Prompt == 1460);
  CHECK(caller.Tokens.Output == 80);
  platform::EndpointRequest out = platform::makeEndpointRequest(
      request, {"i-1", WorkspaceId("w"), std::chrono::milliseconds(700), "12"});
  CHECK(std::string(out.target()) == "/a/x?y=1");
  CHECK(std::string(out.body().data(), out.body().size()) == "body");
  CHECK(std::string(out["Request-Id"]) == "abc");
  CHECK(std::string(out["Deadline-Ms"]) == "700");
  CHECK(std::string(out["Tenant"]) == "w");
  CHECK(std::string(out["Expect-Replica"]) == "i-1");
  CHECK(std::string(out["Last-Event-Id"]) == "12");
  CHECK(std::string(out["X-Keep"]) == "2");
  CHECK(out.find("X-Hop") == out.end());
  CHECK(out.find("Authorization") == out.end());
}

// Whoever reads another one of two values takes the request for another one.
TEST_CASE("a request with two values of a header that has one is ambiguous") {
  CHECK(platform::isUnambiguous(makeRequest()));
  for (const char *name : {"Request-Id", "Host", "Deadline-Ms", "Token-Count",
                           "Model", "Last-Event-Id", "Authorization"}) {
    CAPTURE(name);
    HttpRequest request = makeRequest();
    request.set(name, "1");
    CHECK(platform::isUnambiguous(request));
    request.insert(name, "2");
    CHECK_FALSE(platform::isUnambiguous(request));
  }
}

// An endpoint that does not get the id answers without one, and its sound
// response then counts as a failure of the endpoint.
TEST_CASE("a request that has its own headers dropped is ambiguous") {
  for (const char *name :
       {"request-id", "Host", "Model", "Prompt-Prefix", "Content-Type"}) {
    CAPTURE(name);
    HttpRequest request = makeRequest();
    request.insert("Connection", std::string("close, ") + name);
    CHECK_FALSE(platform::isUnambiguous(request));
  }
  HttpRequest request = makeRequest();
  request.insert("Connection", "X-Other");
  CHECK(platform::isUnambiguous(request));
}

TEST_CASE("numbers of callers are cut to a range without overflow") {
  HttpRequest request = makeRequest();
  request.set("Deadline-Ms", "9223372036854775807");
  request.set("Token-Count", "4294967295,4294967295");
  platform::CallerHeaders caller = platform::readCaller(request);
  CHECK(caller.TimeLeft == platform::MaxTimeLeft);
  CHECK(caller.Tokens.Prompt == platform::MaxTokens);
  CHECK(caller.Tokens.Output == platform::MaxTokens);
  request.set("Deadline-Ms", "9223372036854775808");
  CHECK_FALSE(platform::readCaller(request).TimeLeft);
}

// Endpoints answer a version that they do not have like a request for another
// endpoint, and would then be taken for replaced.
TEST_CASE("callers cannot set the headers of this system") {
  HttpRequest request = makeRequest();
  request.insert("Expect-Version", "99");
  request.insert("Expect-Replica", "i-9");
  request.insert("Request-Priority", "0");
  request.insert("Tenant", "other");
  request.insert("Accept-Encoding", "gzip");
  platform::EndpointRequest out = platform::makeEndpointRequest(
      request, {"i-1", WorkspaceId("w"), std::chrono::seconds(1), ""});
  CHECK(out.find("Expect-Version") == out.end());
  CHECK(out.find("Request-Priority") == out.end());
  CHECK(out.count("Expect-Replica") == 1);
  CHECK(std::string(out["Expect-Replica"]) == "i-1");
  CHECK(out.count("Tenant") == 1);
  CHECK(std::string(out["Tenant"]) == "w");
  CHECK(std::string(out["Accept-Encoding"]) == "identity");
}

static ResponseKind verdictOf(unsigned status,
                              std::initializer_list<const char *> headers) {
  HttpResponse response;
  response.result(status);
  for (const char *it : headers) {
    std::string text(it);
    std::size_t colon = text.find(':');
    response.set(text.substr(0, colon), text.substr(colon + 1));
  }
  return platform::parseEndpointResponse(response, "abc").Kind;
}

TEST_CASE("only an explicit response of the endpoint shows that nothing ran") {
  CHECK(verdictOf(200, {"Request-Id:abc", "Replica-Stamp:s"}) ==
        ResponseKind::Own);
  CHECK(verdictOf(500, {"Request-Id:abc", "Replica-Stamp:s"}) ==
        ResponseKind::Failed);
  CHECK(verdictOf(503, {"Not-Executed:1"}) == ResponseKind::Full);
  CHECK(verdictOf(421, {}) == ResponseKind::OtherIncarnation);
  CHECK(verdictOf(200, {"Request-Id:xyz", "Replica-Stamp:s"}) ==
        ResponseKind::Foreign);
  CHECK(verdictOf(200, {"Request-Id:abc"}) == ResponseKind::Unusable);
  CHECK(verdictOf(503, {"Request-Id:abc", "Replica-Stamp:s"}) ==
        ResponseKind::Unusable);
  CHECK(verdictOf(429, {}) == ResponseKind::Unusable);
  CHECK(verdictOf(200, {"Request-Id:abc", "Replica-Stamp:s",
                        "Content-Encoding:gzip"}) == ResponseKind::Unusable);
}

TEST_CASE("refusals by an entry have a Retry-After and no Replica-Stamp") {
  HttpResponse refusal = platform::makeRefusal(
      ResultCode::NoEndpoint, std::chrono::milliseconds(250), "abc");
  CHECK(refusal.result_int() == 503);
  CHECK(std::string(refusal[http::field::retry_after]) == "0.250");
  CHECK(std::string(refusal["Request-Id"]) == "abc");
  CHECK(refusal.find("Replica-Stamp") == refusal.end());
}

TEST_CASE("a rate limit in a response is parsed; a malformed one has no "
          "effect") {
  auto rateLimitOf = [](const std::string &rate, unsigned status = 200) {
    HttpResponse answer;
    answer.result(status);
    answer.set("Server-Limit", rate);
    return platform::parseEndpointResponse(answer, "r").ReceivedPushback;
  };
  CHECK(rateLimitOf("2").RequestsPerSecond == 2.0);
  CHECK(rateLimitOf("0.25").RequestsPerSecond == 0.25);
  CHECK(rateLimitOf("0").RequestsPerSecond == 0.0);
  CHECK(rateLimitOf("2", 503).RequestsPerSecond == 2.0);
  CHECK(rateLimitOf("1e300").RequestsPerSecond <= 1e6);
  for (const char *it : {"", "-1", "-0.5", "nan", "inf", "-inf", "1,2", "one",
                         "1 2", "1e999", "0x", "--1"}) {
    INFO(it);
    CHECK_FALSE(rateLimitOf(it).RequestsPerSecond);
  }
  CHECK(rateLimitOf("one").Malformed == "\"one\"");
  CHECK(rateLimitOf(std::string(9000, 'x')).Malformed.size() < 64);
  HttpResponse twice;
  twice.insert("Server-Limit", "1");
  twice.insert("Server-Limit", "2");
  CHECK_FALSE(platform::parseEndpointResponse(twice, "r")
                  .ReceivedPushback.RequestsPerSecond);
  // Status 421 means that another endpoint has the address.
  CHECK_FALSE(rateLimitOf("2", 421).RequestsPerSecond);
  CHECK(rateLimitOf("one", 421).Malformed.empty());
  CHECK_FALSE(platform::parseEndpointResponse(HttpResponse(), "r")
                  .ReceivedPushback.RequestsPerSecond);
}

TEST_CASE("the Retry-After of a refusal is parsed, in seconds or as a date") {
  auto retryAfterOf = [](const std::string &value, unsigned status = 503,
                         const std::string &date = "") {
    HttpResponse answer;
    answer.result(status);
    answer.set("Not-Executed", "1");
    answer.set("Retry-After", value);
    if (!date.empty())
      answer.set("Date", date);
    return platform::parseEndpointResponse(answer, "r")
        .ReceivedPushback.Backoff;
  };
  CHECK(retryAfterOf("3") == Duration(std::chrono::seconds(3)));
  CHECK(retryAfterOf("0.25") == Duration(std::chrono::milliseconds(250)));
  CHECK(retryAfterOf("3", 429) == Duration(std::chrono::seconds(3)));
  CHECK(retryAfterOf("0") == Duration::zero());
  CHECK(retryAfterOf("1e300") == MaxBackoff);
  CHECK_FALSE(retryAfterOf("3", 200));
  CHECK_FALSE(retryAfterOf("3", 421));
  static constexpr char Now[] = "Wed, 21 Oct 2015 07:28:00 GMT";
  CHECK(retryAfterOf("Wed, 21 Oct 2015 07:28:05 GMT", 503, Now) ==
        Duration(std::chrono::seconds(5)));
  CHECK(retryAfterOf("Wed, 21 Oct 2015 07:27:00 GMT", 503, Now) ==
        Duration::zero());
  // Clocks differ, so a date is meaningless without the sender's own date.
  CHECK_FALSE(retryAfterOf("Wed, 21 Oct 2015 07:28:05 GMT"));
  for (const char *it :
       {"", "-3", "nan", "inf", "soon", "1;2", "3 s", "Wed, 99 Foo 2015"}) {
    INFO(it);
    CHECK_FALSE(retryAfterOf(it, 503, Now));
  }
}

TEST_CASE("only the value 1 of Server-Leaving marks an endpoint as leaving") {
  auto leavingOf = [](const std::string &value, unsigned status = 200) {
    HttpResponse answer;
    answer.result(status);
    answer.set("Server-Leaving", value);
    return platform::parseEndpointResponse(answer, "r").ReceivedPushback;
  };
  CHECK(leavingOf("1").IsLeaving);
  CHECK(leavingOf("1", 503).IsLeaving);
  CHECK_FALSE(leavingOf("1", 421).IsLeaving);
  for (const char *it : {"", "0", "-1", "nan", "yes", "11", "1,1"}) {
    INFO(it);
    CHECK_FALSE(leavingOf(it).IsLeaving);
    CHECK_FALSE(leavingOf(it).Malformed.empty());
  }
}

// Guards against an endpoint that vouches for a response of the process that
// had its address before.
TEST_CASE("a response to a health check tells which endpoint wrote it") {
  auto isFrom = [](unsigned status, const char *header, const char *value) {
    HttpResponse response;
    response.result(status);
    response.set(header, value);
    return platform::isFromEndpoint(response, "e1");
  };
  CHECK(isFrom(200, "Replica-Id", "e1") == std::optional(true));
  CHECK(isFrom(503, "Replica-Id", "e1") == std::optional(true));
  CHECK(isFrom(200, "Replica-Id", "e2") == std::optional(false));
  CHECK(isFrom(421, "Replica-Id", "e1") == std::optional(false));
  CHECK(isFrom(421, "Not-Executed", "1") == std::optional(false));
  CHECK(isFrom(200, "Replica-Stamp", "s") == std::optional(true));
  CHECK(isFrom(503, "Not-Executed", "1") == std::nullopt);
  CHECK(isFrom(200, "Server", "x") == std::nullopt);
  HttpRequest check =
      platform::makeHealthCall("/h", "e1", std::chrono::milliseconds(300));
  CHECK(check.target() == "/h");
  CHECK(check["Expect-Replica"] == "e1");
  CHECK(check["Deadline-Ms"] == "300");
}
