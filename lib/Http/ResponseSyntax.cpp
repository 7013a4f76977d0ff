//===- ResponseSyntax.cpp - what bytes are a response ---------------------===//
//
// Beast's parser joins folded lines and accepts statuses and codings that this
// system must not pass on.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Http/ResponseSyntax.h"

#include "ospreyspur/Support/HttpSyntax.h"

#include <boost/algorithm/string.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace ospreyspur;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

/// What each status line begins with, up to the minor version.
static constexpr std::string_view VersionPrefix = "HTTP/1.";
static constexpr std::size_t StatusOffset = VersionPrefix.size() + 2;
static constexpr std::size_t StatusDigits = 3;

static bool isDigit(char c) { return c >= '0' && c <= '9'; }

static bool isTokenChar(char c) {
  static constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  return isLetter || isDigit(c) || Marks.find(c) != std::string_view::npos;
}

static bool isToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), isTokenChar);
}

bool ospreyspur::mayBeginStatusLine(std::string_view text) {
  std::size_t n = std::min(text.size(), VersionPrefix.size());
  return text.substr(0, n) == VersionPrefix.substr(0, n) && isFieldText(text);
}

ErrorCode ospreyspur::checkStatusLine(std::string_view line) {
  constexpr std::size_t MinorOffset = VersionPrefix.size();
  bool isVersion = line.size() > StatusOffset &&
                   line.starts_with(VersionPrefix) &&
                   (line[MinorOffset] == '0' || line[MinorOffset] == '1') &&
                   line[MinorOffset + 1] == ' ';
  if (!isVersion)
    return http::error::bad_version;
  std::string_view rest = line.substr(StatusOffset);
  bool hasStatus =
      rest.size() > StatusDigits && rest[StatusDigits] == ' ' &&
      std::all_of(rest.begin(), rest.begin() + StatusDigits, isDigit);
  if (!hasStatus)
    return http::error::bad_status;
  unsigned status = 0;
  for (char c : rest.substr(0, StatusDigits))
    status = 10 * status + static_cast<unsigned>(c - '0');
  if (!isStatus(status))
    return http::error::bad_status;
  return isFieldText(rest) ? ErrorCode() : http::error::bad_reason;
}

ErrorCode ospreyspur::checkFieldLine(std::string_view line) {
  std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !isToken(line.substr(0, colon)))
    return http::error::bad_field;
  return isFieldText(line.substr(colon + 1)) ? ErrorCode()
                                             : http::error::bad_value;
}

/// Returns the elements of the list in all fields called \p name.
static std::vector<std::string> elementsOf(const http::fields &fields,
                                           http::field name) {
  std::vector<std::string> out;
  auto [first, last] = fields.equal_range(name);
  for (auto it = first; it != last; ++it) {
    std::vector<std::string> parts;
    std::string value(it->value());
    boost::algorithm::split(parts, value, [](char c) { return c == ','; });
    for (std::string &part : parts) {
      boost::algorithm::trim_if(part,
                                [](char c) { return c == ' ' || c == '\t'; });
      if (!part.empty())
        out.push_back(std::move(part));
    }
  }
  return out;
}

ErrorCode ospreyspur::checkFraming(const http::response_header<> &head) {
  if (!head.count(http::field::transfer_encoding))
    return {};
  // The request has asked for no other coding, and HTTP/1.0 has none.
  std::vector<std::string> codings =
      elementsOf(head, http::field::transfer_encoding);
  bool isChunked =
      codings.size() == 1 && beast::iequals(codings.front(), "chunked");
  if (!isChunked || head.version() < 11 ||
      head.count(http::field::content_length))
    return http::error::bad_transfer_encoding;
  return {};
}

ErrorCode ospreyspur::checkFieldNames(const http::fields &fields) {
  bool areTokens =
      std::all_of(fields.begin(), fields.end(), [](const auto &it) {
        auto name = it.name_string();
        return isToken({name.data(), name.size()});
      });
  return areTokens ? ErrorCode() : http::error::bad_field;
}
