//===- SettingsReader.h - checked reading of INI files ----------*- C++ -*-===//
//
// Reads settings by name, with a default and a range for each, and collects
// every error with file, line and key. A key in the file that the program does
// not read is also an error.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONFIG_SETTINGSREADER_H
#define OSPREYSPUR_CONFIG_SETTINGSREADER_H

#include "ospreyspur/Support/Result.h"
#include "ospreyspur/Support/Time.h"

#include <boost/property_tree/ptree.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace ospreyspur {

/// One error in a settings file.
struct SettingError {
  ResultCode Code = ResultCode::Ok;
  std::string File;
  /// Line number from 1, or 0 if the error belongs to no line.
  unsigned Line = 0;
  std::string Key;
  std::string Detail;
};

/// Formats \p error as "file:line: error 5004: key: detail".
std::string toString(const SettingError &error);

/// Documentation of one key.
struct SettingDoc {
  std::string Key;
  std::string Default;
  std::string Range;
  std::string Help;
};

/// Reads one settings file. Keys are named "section.key".
class SettingsReader {
public:
  /// \p text is the file's content, \p file its name for messages.
  SettingsReader(const std::string &text, std::string file);

  /// A text that must be present and not empty.
  std::string readText(const std::string &key, const std::string &help);
  /// A text that may be absent.
  std::string readText(const std::string &key, const std::string &def,
                       const std::string &help);
  /// An "ip:port" that must be present.
  std::string readAddress(const std::string &key, const std::string &help);
  /// An "ip:port" that may be absent.
  std::string readAddress(const std::string &key, const std::string &def,
                          const std::string &help);
  /// A comma-separated list of "ip:port" that may be absent.
  std::vector<std::string> readAddresses(const std::string &key,
                                         const std::string &help);
  /// A whole number from \p min to \p max.
  std::uint64_t readNumber(const std::string &key, std::uint64_t def,
                           std::uint64_t min, std::uint64_t max,
                           const std::string &help);
  /// A duration in milliseconds; the key must end in "_ms".
  Duration readMillis(const std::string &key, Duration def, Duration min,
                      Duration max, const std::string &help);

  /// A number with an optional fraction from \p min to \p max.
  double readFraction(const std::string &key, double def, double min,
                      double max, const std::string &help);

  /// "true" or "false".
  bool readFlag(const std::string &key, bool def, const std::string &help);

  /// Adds an error for each key that was not read; call after all reads.
  void finish();

  const std::string &file() const { return File; }
  const std::vector<SettingError> &errors() const { return Errors; }
  const std::vector<SettingDoc> &docs() const { return Docs; }

private:
  unsigned lineOf(const std::string &key) const;
  void fail(ResultCode code, const std::string &key, std::string detail);
  const std::string *find(const std::string &key) const;
  std::string checkAddress(const std::string &key, const std::string &value);

  std::string File;
  std::vector<std::string> Lines;
  boost::property_tree::ptree Tree;
  std::vector<SettingError> Errors;
  std::vector<SettingDoc> Docs;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_CONFIG_SETTINGSREADER_H
