//===- Pushback.cpp - reading what an endpoint asks for -------------------===//
//
// See Pushback.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Pushback/Pushback.h"

#include <algorithm>
#include <charconv>
#include <cmath>

using namespace ospreyspur;

/// A rate beyond this bounds nothing.
static constexpr double MaxRequestsPerSecond = 1e6;
/// Of a value that cannot be read, for the log.
static constexpr std::size_t MaxQuotedBytes = 32;

/// A decimal number of zero or more.
static std::optional<double> readNumber(const std::string &text) {
  double out = 0;
  const char *end = text.data() + text.size();
  auto [at, ec] = std::from_chars(text.data(), end, out);
  bool isWhole = ec == std::errc() && at == end;
  if (!isWhole || !std::isfinite(out) || std::signbit(out))
    return std::nullopt;
  return out;
}

static void note(const std::vector<std::string> &values, Pushback &out) {
  if (out.Malformed.empty())
    out.Malformed = '"' + values.front().substr(0, MaxQuotedBytes) + '"';
}

Pushback ospreyspur::readPushback(const PushbackText &text) {
  Pushback out;
  if (text.Rates.size() == 1)
    out.RequestsPerSecond = readNumber(text.Rates.front());
  if (out.RequestsPerSecond)
    out.RequestsPerSecond =
        std::min(*out.RequestsPerSecond, MaxRequestsPerSecond);
  else if (!text.Rates.empty())
    note(text.Rates, out);
  return out;
}
