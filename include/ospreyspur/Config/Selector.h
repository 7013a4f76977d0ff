//===- Selector.h - selects objects by their labels -------------*- C++ -*-===//
//
// A selector is a list of requirements, separated by commas, that must all
// hold: "key=value", "key!=value", "key in (a, b)", "key notin (a, b)", "key"
// (the label exists), "!key" (the label does not exist). The empty selector
// matches every object.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONFIG_SELECTOR_H
#define OSPREYSPUR_CONFIG_SELECTOR_H

#include "ospreyspur/Support/Result.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ospreyspur {

using Labels = std::map<std::string, std::string>;

/// Longest selector, in bytes.
inline constexpr std::size_t MaxSelectorBytes = 1024;

/// A parsed selector.
class Selector {
public:
  /// Parses a selector. Errors: ConfigInvalid, with the invalid requirement.
  static Result<Selector> parse(std::string_view text);

  /// Whether every requirement holds for \p labels.
  bool matches(const Labels &labels) const;

private:
  /// One requirement: the label's value is one of Values, or is none of them if
  /// IsNegated.
  struct Requirement {
    std::string Key;
    /// If empty, the requirement is that the key is present.
    std::set<std::string> Values;
    bool IsNegated = false;
  };

  static Result<Requirement> parseRequirement(const std::string &text);

  std::vector<Requirement> Requirements;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_CONFIG_SELECTOR_H
