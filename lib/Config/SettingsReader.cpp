//===- SettingsReader.cpp - checked reading of INI files ------------------===//
//
// Boost.PropertyTree parses the file; this file checks ranges and finds line
// numbers.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Config/SettingsReader.h"

#include "ospreyspur/Support/Address.h"

#include <boost/algorithm/string.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <boost/property_tree/ini_parser.hpp>

#include <algorithm>
#include <cassert>
#include <sstream>

using namespace ospreyspur;
namespace ptree = boost::property_tree;

std::string ospreyspur::toString(const SettingError &error) {
  std::ostringstream os;
  os << error.File << ':' << error.Line << ": error "
     << static_cast<unsigned>(error.Code) << ": ";
  if (!error.Key.empty())
    os << error.Key << ": ";
  os << error.Detail;
  return os.str();
}

SettingsReader::SettingsReader(const std::string &text, std::string file)
    : File(std::move(file)) {
  boost::algorithm::split(Lines, text, boost::algorithm::is_any_of("\n"));
  std::istringstream is(text);
  try {
    ptree::read_ini(is, Tree);
  } catch (const ptree::ini_parser_error &error) {
    Errors.push_back({ResultCode::SettingsSyntax, File,
                      static_cast<unsigned>(error.line()), "",
                      error.message()});
  }
}

std::string SettingsReader::readText(const std::string &key,
                                     const std::string &help) {
  Docs.push_back({key, "(required)", "text", help});
  const std::string *value = find(key);
  if (value && !value->empty())
    return *value;
  fail(ResultCode::SettingMissing, key, "expected a value: " + help);
  return {};
}

std::string SettingsReader::readText(const std::string &key,
                                     const std::string &def,
                                     const std::string &help) {
  Docs.push_back({key, def.empty() ? "(none)" : def, "text", help});
  const std::string *value = find(key);
  return value ? *value : def;
}

std::string SettingsReader::readAddress(const std::string &key,
                                        const std::string &help) {
  Docs.push_back({key, "(required)", "ip:port", help});
  const std::string *value = find(key);
  if (value)
    return checkAddress(key, *value);
  fail(ResultCode::SettingMissing, key, "expected an ip:port: " + help);
  return {};
}

std::string SettingsReader::readAddress(const std::string &key,
                                        const std::string &def,
                                        const std::string &help) {
  Docs.push_back({key, def, "ip:port", help});
  const std::string *value = find(key);
  return value ? checkAddress(key, *value) : def;
}

std::string SettingsReader::checkAddress(const std::string &key,
                                         const std::string &value) {
  Result<TcpAddress> address = parseAddress(value);
  if (!address)
    fail(ResultCode::SettingInvalid, key, address.error().Detail);
  return value;
}

std::vector<std::string>
SettingsReader::readAddresses(const std::string &key, const std::string &help) {
  Docs.push_back({key, "(none)", "ip:port, ...", help});
  std::vector<std::string> out;
  const std::string *value = find(key);
  if (!value)
    return out;
  boost::algorithm::split(out, *value, boost::algorithm::is_any_of(","));
  for (std::string &it : out) {
    boost::algorithm::trim(it);
    if (Result<TcpAddress> address = parseAddress(it); !address)
      fail(ResultCode::SettingInvalid, key, address.error().Detail);
  }
  return out;
}

std::uint64_t SettingsReader::readNumber(const std::string &key,
                                         std::uint64_t def, std::uint64_t min,
                                         std::uint64_t max,
                                         const std::string &help) {
  std::string range = std::to_string(min) + " to " + std::to_string(max);
  Docs.push_back({key, std::to_string(def), range, help});
  const std::string *value = find(key);
  if (!value)
    return def;
  std::uint64_t n = 0;
  bool isNumber = !value->empty() && value->front() != '-' &&
                  boost::conversion::try_lexical_convert(*value, n);
  if (isNumber && n >= min && n <= max)
    return n;
  fail(ResultCode::SettingInvalid, key,
       "expected a whole number from " + range + ", got '" + *value + "'");
  return def;
}

Duration SettingsReader::readMillis(const std::string &key, Duration def,
                                    Duration min, Duration max,
                                    const std::string &help) {
  assert(key.ends_with("_ms") && "the key of a duration must name its unit");
  auto toMillis = [](Duration it) {
    using std::chrono::milliseconds;
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(it).count());
  };
  std::uint64_t n =
      readNumber(key, toMillis(def), toMillis(min), toMillis(max), help);
  return std::chrono::milliseconds(n);
}

/// \p n without trailing zeros.
static std::string formatFraction(double n) {
  std::ostringstream os;
  os << n;
  return os.str();
}

double SettingsReader::readFraction(const std::string &key, double def,
                                    double min, double max,
                                    const std::string &help) {
  std::string range = formatFraction(min) + " to " + formatFraction(max);
  Docs.push_back({key, formatFraction(def), range, help});
  const std::string *value = find(key);
  if (!value)
    return def;
  double n = 0;
  if (boost::conversion::try_lexical_convert(*value, n) && n >= min && n <= max)
    return n;
  fail(ResultCode::SettingInvalid, key,
       "expected a number from " + range + ", got '" + *value + "'");
  return def;
}

bool SettingsReader::readFlag(const std::string &key, bool def,
                              const std::string &help) {
  Docs.push_back({key, def ? "true" : "false", "true or false", help});
  const std::string *value = find(key);
  if (!value)
    return def;
  if (*value == "true" || *value == "false")
    return *value == "true";
  fail(ResultCode::SettingInvalid, key,
       "expected true or false, got '" + *value + "'");
  return def;
}

void SettingsReader::finish() {
  for (const auto &[section, keys] : Tree) {
    if (keys.empty())
      fail(ResultCode::SettingUnknown, section,
           "expected every key to be in a section");
    for (const auto &[name, value] : keys) {
      std::string key = section;
      key.append(".").append(name);
      auto isSame = [&](const SettingDoc &doc) { return doc.Key == key; };
      if (std::none_of(Docs.begin(), Docs.end(), isSame))
        fail(ResultCode::SettingUnknown, key, "this program has no such key");
    }
  }
}

unsigned SettingsReader::lineOf(const std::string &key) const {
  std::size_t dot = key.find('.');
  std::string header = "[" + key.substr(0, dot) + "]";
  std::string name = dot == std::string::npos ? key : key.substr(dot + 1);
  bool isInSection = dot == std::string::npos;
  for (unsigned i = 0; i < Lines.size(); ++i) {
    std::string line = boost::algorithm::trim_copy(Lines[i]);
    if (line.starts_with("["))
      isInSection = line == header;
    std::string left = line.substr(0, line.find('='));
    boost::algorithm::trim(left);
    if (isInSection && left == name)
      return i + 1;
  }
  return 0;
}

void SettingsReader::fail(ResultCode code, const std::string &key,
                          std::string detail) {
  Errors.push_back({code, File, lineOf(key), key, std::move(detail)});
}

const std::string *SettingsReader::find(const std::string &key) const {
  auto child = Tree.get_child_optional(key);
  return child ? &child->data() : nullptr;
}
