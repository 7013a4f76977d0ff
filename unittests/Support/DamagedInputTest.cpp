//===- DamagedInputTest.cpp - parsers on damaged input --------------------===//
//
// Each of the project's parsers of external input gets valid texts with bytes
// changed, removed, copied to another place or cut off, or with extreme numbers
// inserted. It must give a value or a numbered error, and what it accepts must
// read back. Seeds are fixed; nothing is random between runs.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Config/ConfigDocument.h"
#include "ospreyspur/Config/Settings.h"
#include "ospreyspur/Config/SettingsReader.h"
#include "ospreyspur/Experts/ExpertMap.h"
#include "ospreyspur/Experts/GroupRecord.h"
#include "ospreyspur/Experts/RankCodec.h"
#include "ospreyspur/Ledger/Ticket.h"
#include "ospreyspur/Routing/Claim.h"

#include <doctest/doctest.h>

#include <random>

using namespace ospreyspur;

static constexpr int Rounds = 20000;

namespace {
/// Generates damaged versions of a text.
class DamageGenerator {
public:
  explicit DamageGenerator(std::string valid) : Valid(std::move(valid)) {}

  std::string next() {
    std::string text = Valid;
    for (std::uint64_t left = 1 + below(4); left > 0; --left)
      change(text);
    return text;
  }

private:
  std::uint64_t below(std::uint64_t n) { return Random() % n; }

  void change(std::string &text) {
    if (text.empty())
      return;
    std::size_t at = below(text.size());
    std::size_t length = 1 + below(8);
    switch (below(5)) {
    case 0:
      text[at] = static_cast<char>(below(256));
      return;
    case 1:
      text.erase(at, length);
      return;
    case 2:
      text.insert(at, text.substr(below(text.size()), length));
      return;
    case 3:
      text.resize(at);
      return;
    default:
      // Numbers beyond their limits are a common cause of parser errors.
      text.insert(at, below(2) == 0 ? "18446744073709551616" : "-1");
    }
  }

  std::string Valid;
  std::mt19937_64 Random{1};
};
} // namespace

/// Passes damaged versions of \p valid to \p parse and returns how many were
/// accepted.
template <typename Parse>
static int countAccepted(const std::string &valid, Parse parse) {
  REQUIRE(parse(valid));
  DamageGenerator damage(valid);
  int accepted = 0;
  for (int i = 0; i < Rounds; ++i)
    accepted += parse(damage.next());
  // Damage that is never noticed, or always, would test little.
  CHECK(accepted < Rounds);
  return accepted;
}

static Ticket makeTicket() {
  Ticket ticket;
  ticket.Endpoint = EndpointId("assistant-1");
  ticket.Id = {Incarnation(77), TicketSequence(3)};
  ticket.Expires = TimePoint(std::chrono::hours(1));
  ticket.Workspace = WorkspaceId("riders");
  ticket.Mac = std::string(32, 'm');
  return ticket;
}

TEST_CASE("damaged configuration and host lists give a value or an error") {
  ConfigDocument document;
  document.Workspaces["riders"] = {std::string(64, 'a'), 3, {{"team", "x"}}};
  document.Services["assistant"] = {ServiceKind::Model, true, {}};
  document.Events["dusk"] = {
      1798761600, 60, "team in (x, y), !old", 2, {{"a", "b"}}};
  document.Audit.push_back({1, "ann", "c1", "put workspaces/riders"});
  countAccepted(formatConfig(document), [](const std::string &text) {
    Result<ConfigDocument> read = parseConfig(text);
    if (!read) {
      CHECK_FALSE(read.error().Detail.empty());
      return false;
    }
    return parseConfig(formatConfig(read.value())).has_value();
  });
  countAccepted(
      R"([{"endpoint":"e","service":"s","data_centre":"d",)"
      R"("agent":"127.0.0.1:1","group":"g","state":"leaving"}])",
      [](const std::string &text) { return parseHosts(text).has_value(); });
}

TEST_CASE("damaged selectors and settings give a value or an error") {
  countAccepted("team in (x, y), town != perth, !old, depot",
                [](const std::string &text) {
                  return Selector::parse(text).has_value();
                });
  countAccepted("[process]\ndata_centre = osborne\nplatform = 127.0.0.1:7000\n"
                "peers = 127.0.0.1:1, 127.0.0.1:2\n[entry]\n"
                "listen = 127.0.0.1:7301\nprobe_timeout_ms = 50\n",
                [](const std::string &text) {
                  SettingsReader reader(text, "e.ini");
                  readEntrySettings(reader);
                  reader.finish();
                  return reader.errors().empty();
                });
}

TEST_CASE(
    "damaged tickets, claims, maps and records give a value or an error") {
  countAccepted(formatTicket(makeTicket()), [](const std::string &text) {
    Result<Ticket> read = parseTicket(text);
    return read && parseTicket(formatTicket(read.value())).has_value();
  });
  countAccepted(
      formatClaim({std::string(64, 'f'), makeTicket()}),
      [](const std::string &text) { return parseClaim(text).has_value(); });
  countAccepted(
      formatMap(makeRoundRobinMap({2, 8, 4, 3})),
      [](const std::string &text) { return parseMap(text).has_value(); });
  GroupRecord record;
  record.Committed.Map = formatMap(makeRoundRobinMap({1, 4, 2, 2}));
  countAccepted(formatRecord(record), [](const std::string &text) {
    return parseRecord(text).has_value();
  });
  countAccepted(formatRankOrder(RankOrder()), [](const std::string &text) {
    return parseRankOrder(text).has_value();
  });
  countAccepted(formatRankReply(RankReply()), [](const std::string &text) {
    return parseRankReply(text).has_value();
  });
}
