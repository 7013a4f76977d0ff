//===- SettingsTest.cpp - settings files and configuration documents ------===//
//
// Every invalid example must be rejected with its result code, line and key.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Config/Settings.h"
#include "ospreyspur/Config/ConfigDocument.h"
#include "ospreyspur/Config/SettingsReader.h"

#include <doctest/doctest.h>

#include <fstream>
#include <iterator>

using namespace ospreyspur;

static constexpr char GoodEntry[] = "[process]\n"
                                    "data_centre = osborne\n"
                                    "platform = 127.0.0.1:7000\n"
                                    "[entry]\n"
                                    "listen = 127.0.0.1:7301\n";

static std::vector<SettingError> readEntry(const std::string &text) {
  SettingsReader reader(text, "e.ini");
  readEntrySettings(reader);
  reader.finish();
  return reader.errors();
}

TEST_CASE("a valid settings file has no errors") {
  CHECK(readEntry(GoodEntry).empty());
}

TEST_CASE("each invalid settings file is rejected with code, line and key") {
  struct {
    std::string Line;
    ResultCode Code;
    std::string Key;
  } const bad[] = {
      {"prbes = 3", ResultCode::SettingUnknown, "entry.prbes"},
      {"probes = many", ResultCode::SettingInvalid, "entry.probes"},
      {"probes = 0", ResultCode::SettingInvalid, "entry.probes"},
      {"probes = -1", ResultCode::SettingInvalid, "entry.probes"},
      {"probe_timeout_ms = 1s", ResultCode::SettingInvalid,
       "entry.probe_timeout_ms"},
      {"probe_timeout_ms = 99999999", ResultCode::SettingInvalid,
       "entry.probe_timeout_ms"},
  };
  for (const auto &it : bad) {
    INFO(it.Line);
    std::vector<SettingError> errors =
        readEntry(std::string(GoodEntry) + it.Line + "\n");
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].Code == it.Code);
    CHECK(errors[0].Key == it.Key);
    CHECK(errors[0].Line == 6);
  }
}

TEST_CASE("missing keys, invalid addresses and syntax errors are rejected") {
  CHECK(readEntry("").size() == 3);
  CHECK(readEntry("")[0].Code == ResultCode::SettingMissing);
  std::vector<SettingError> errors =
      readEntry("[process]\ndata_centre = d\nplatform = localhost:1\n[entry]\n"
                "listen = 127.0.0.1:99999\n");
  REQUIRE(errors.size() == 2);
  CHECK(errors[0].Code == ResultCode::SettingInvalid);
  CHECK(errors[0].Line == 3);
  CHECK(errors[1].Line == 5);
  CHECK(readEntry("no section\n")[0].Code == ResultCode::SettingsSyntax);
}

TEST_CASE("docs/SETTINGS.md contains the table of keys") {
  std::ifstream is(OSPREYSPUR_SOURCE_DIR "/docs/SETTINGS.md");
  std::string page(std::istreambuf_iterator<char>(is), {});
  CHECK(page.find(formatSettingsTable()) != std::string::npos);
}

TEST_CASE("a configuration document survives a round trip") {
  ConfigDocument document;
  document.Workspaces["riders"] = {std::string(64, 'a'), 3, {{"team", "x"}}};
  document.Services["assistant"] = {ServiceKind::Model, true, {}};
  document.Groups["wing"] = {{"size", "large"}};
  document.Events["dusk"] = {1798761600, 60, "team=x", 2, {}};
  document.Audit.push_back({1, "ann", "c1", "put workspaces/riders"});
  std::string text = formatConfig(document);
  Result<ConfigDocument> back = parseConfig(text);
  REQUIRE(back.has_value());
  CHECK(formatConfig(back.value()) == text);
}

TEST_CASE("each invalid configuration document is rejected") {
  for (const char *bad :
       {"", "[]", "{\"workspace\": {}}", "{\"workspaces\": []}",
        "{\"workspaces\": {\"w\": {\"weight\": 0}}}",
        "{\"workspaces\": {\"w\": {\"weight\": \"1\"}}}",
        "{\"services\": {\"s\": {\"kind\": \"other\"}}}",
        "{\"events\": {\"e\": {\"duration_s\": 0}}}",
        "{\"events\": {\"e\": {\"labels\": {\"a\": 1}}}}"}) {
    INFO(bad);
    Result<ConfigDocument> document = parseConfig(bad);
    REQUIRE_FALSE(document.has_value());
    CHECK(document.error().Code == ResultCode::ConfigInvalid);
  }
  std::string large(MaxConfigBytes + 1, ' ');
  CHECK(parseConfig(large).error().Code == ResultCode::ConfigTooLarge);
}
