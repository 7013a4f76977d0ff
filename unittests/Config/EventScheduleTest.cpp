//===- EventScheduleTest.cpp - selectors and event priorities -------------===//
//
// Which labels a selector matches, and the priorities before, during and after
// events.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Config/EventSchedule.h"
#include "ospreyspur/Config/Selector.h"

#include <doctest/doctest.h>

using namespace ospreyspur;

static bool matches(const char *text, const Labels &labels) {
  Result<Selector> selector = Selector::parse(text);
  REQUIRE(selector.has_value());
  return selector.value().matches(labels);
}

TEST_CASE("selectors match by equality, membership and presence") {
  Labels labels{{"team", "crew"}, {"town", "perth"}};
  for (const char *yes :
       {"", " ", "team=crew", "team = crew , town=perth", "team!=riders",
        "team in (riders, crew)", "team notin (a,b)", "town", "!depot",
        "depot!=x", "depot notin (x)", "team in(crew), town in (perth,x)"}) {
    INFO(yes);
    CHECK(matches(yes, labels));
  }
  for (const char *no : {"team=riders", "team=", "team!=crew", "team in (a, b)",
                         "team notin (crew)", "depot", "!town",
                         "team=crew,town=rabat", "depot in (x)"}) {
    INFO(no);
    CHECK_FALSE(matches(no, labels));
  }
}

TEST_CASE("invalid selectors are rejected, also inside a document") {
  for (const char *bad : {"=", "a=b=c", "a in b", "a in (b", "a,,b", "a b",
                          "in (a)", "a=b,", "(a)"}) {
    INFO(bad);
    CHECK_FALSE(Selector::parse(bad).has_value());
  }
  CHECK_FALSE(
      Selector::parse(std::string(MaxSelectorBytes + 1, 'a')).has_value());
  CHECK_FALSE(parseConfig("{\"events\": {\"e\": {\"selector\": \"a b\"}}}"));
}

TEST_CASE("events raise priorities from their start to their end") {
  ConfigDocument document;
  document.Workspaces["crew"] = {"hash", 1, {{"team", "crew"}}};
  document.Events["dusk"] = {1000, 100, "team=crew", 2, {}};
  document.Events["storm"] = {1050, 100, "team", 5, {}};
  document.Events["other"] = {1000, 500, "team=riders", 9, {}};
  auto priorityAt = [&](std::int64_t now) {
    RoutingSnapshot snapshot = makeSnapshot(document, {}, now);
    return snapshot.WorkspacesByKeyHash.at("hash").Priority;
  };
  CHECK(priorityAt(999) == 0);
  CHECK(priorityAt(1000) == 2);
  CHECK(priorityAt(1050) == 5);
  CHECK(priorityAt(1149) == 5);
  CHECK(priorityAt(1150) == 0);
  CHECK(findNextEventChange(document, 999) == 1000);
  CHECK(findNextEventChange(document, 1000) == 1050);
  CHECK(findNextEventChange(document, 1499) == 1500);
  CHECK_FALSE(findNextEventChange(document, 1500).has_value());
}
