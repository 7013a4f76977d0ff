//===- Pushback.cpp - parsing load hints of responses ---------------------===//
//
// See Pushback.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Pushback/Pushback.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <ctime>
#include <iomanip>
#include <sstream>

using namespace ospreyspur;

/// Higher rates are lowered to this one, which limits nothing in practice.
static constexpr double MaxRequestsPerSecond = 1e6;
/// Length to which a value that cannot be parsed is shortened for the log.
static constexpr std::size_t MaxQuotedBytes = 32;

/// Parses a non-negative decimal number.
static std::optional<double> parseNumber(const std::string &text) {
  double out = 0;
  const char *end = text.data() + text.size();
  auto [at, ec] = std::from_chars(text.data(), end, out);
  bool isWhole = ec == std::errc() && at == end;
  if (!isWhole || !std::isfinite(out) || std::signbit(out))
    return std::nullopt;
  return out;
}

/// Parses an HTTP date into seconds since the epoch.
static std::optional<std::time_t> parseDate(const std::string &text) {
  std::tm fields{};
  std::istringstream is(text);
  is >> std::get_time(&fields, "%a, %d %b %Y %H:%M:%S GMT");
  if (is.fail())
    return std::nullopt;
  return ::timegm(&fields);
}

static std::optional<Duration> parseBackoff(const std::string &text,
                                            const std::string &date) {
  std::optional<double> seconds = parseNumber(text);
  if (!seconds) {
    std::optional<std::time_t> from = parseDate(date);
    std::optional<std::time_t> until = parseDate(text);
    if (!from || !until)
      return std::nullopt;
    seconds = std::max(0.0, std::difftime(*until, *from));
  }
  using Seconds = std::chrono::duration<double>;
  Seconds backoff = std::min(Seconds(*seconds), Seconds(MaxBackoff));
  return std::chrono::duration_cast<Duration>(backoff);
}

/// Whether a response with \p status refuses its request.
static bool isRefusal(unsigned status) {
  return status == 429 || status == 503;
}

static void noteMalformed(const std::vector<std::string> &values,
                          Pushback &out) {
  if (out.Malformed.empty())
    out.Malformed = '"' + values.front().substr(0, MaxQuotedBytes) + '"';
}

Pushback ospreyspur::readPushback(const PushbackText &text) {
  Pushback out;
  if (text.Rates.size() == 1)
    out.RequestsPerSecond = parseNumber(text.Rates.front());
  if (out.RequestsPerSecond)
    out.RequestsPerSecond =
        std::min(*out.RequestsPerSecond, MaxRequestsPerSecond);
  else if (!text.Rates.empty())
    noteMalformed(text.Rates, out);
  out.IsLeaving = text.Leavings == std::vector<std::string>{"1"};
  if (!out.IsLeaving && !text.Leavings.empty())
    noteMalformed(text.Leavings, out);
  if (!isRefusal(text.Status) || text.RetryAfters.empty())
    return out;
  if (text.RetryAfters.size() == 1)
    out.Backoff = parseBackoff(text.RetryAfters.front(), text.Date);
  if (!out.Backoff)
    noteMalformed(text.RetryAfters, out);
  return out;
}
