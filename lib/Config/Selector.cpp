//===- Selector.cpp - selects objects by their labels ---------------------===//
//
// Splits at commas outside parentheses and parses each requirement with regular
// expressions.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Config/Selector.h"

#include <boost/algorithm/string.hpp>

#include <algorithm>
#include <regex>

using namespace ospreyspur;

/// Splits \p text at the commas outside parentheses.
static std::vector<std::string> splitRequirements(std::string_view text) {
  std::vector<std::string> parts(1);
  int depth = 0;
  for (char it : text) {
    depth += it == '(' ? 1 : 0;
    depth -= it == ')' ? 1 : 0;
    if (it == ',' && depth == 0)
      parts.emplace_back();
    else
      parts.back() += it;
  }
  for (std::string &it : parts)
    boost::algorithm::trim(it);
  return parts;
}

Result<Selector> Selector::parse(std::string_view text) {
  if (text.size() > MaxSelectorBytes)
    return Error{ResultCode::ConfigInvalid, "the selector is too long"};
  Selector out;
  if (boost::algorithm::trim_copy(std::string(text)).empty())
    return out;
  for (const std::string &part : splitRequirements(text)) {
    Result<Requirement> requirement = parseRequirement(part);
    if (!requirement)
      return requirement.error();
    out.Requirements.push_back(std::move(requirement.value()));
  }
  return out;
}

Result<Selector::Requirement>
Selector::parseRequirement(const std::string &text) {
  static const std::regex equality(R"(([\w./-]+)\s*(=|!=)\s*([\w./-]*))");
  static const std::regex membership(
      R"(([\w./-]+)\s+(in|notin)\s*\(([\w./,\s-]*)\))");
  static const std::regex presence(R"((!?)\s*([\w./-]+))");
  std::smatch match;
  if (std::regex_match(text, match, equality))
    return Requirement{match[1], {match[3].str()}, match[2] == "!="};
  if (std::regex_match(text, match, membership)) {
    std::vector<std::string> values;
    std::string list = match[3];
    boost::algorithm::split(values, list, boost::algorithm::is_any_of(","));
    Requirement out{match[1], {}, match[2] == "notin"};
    for (std::string &it : values)
      out.Values.insert(boost::algorithm::trim_copy(it));
    return out;
  }
  if (std::regex_match(text, match, presence))
    return Requirement{match[2], {}, match[1] == "!"};
  return Error{ResultCode::ConfigInvalid,
               "the selector has an invalid requirement: '" + text + "'"};
}

bool Selector::matches(const Labels &labels) const {
  auto holds = [&labels](const Requirement &it) {
    auto label = labels.find(it.Key);
    bool isPresent = label != labels.end();
    bool isMatch =
        isPresent && (it.Values.empty() || it.Values.contains(label->second));
    return isMatch != it.IsNegated;
  };
  return std::all_of(Requirements.begin(), Requirements.end(), holds);
}
