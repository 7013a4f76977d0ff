//===- LoadCodec.cpp - load reports as datagrams --------------------------===//
//
// See LoadCodec.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Rpc/LoadCodec.h"

#include "CrashCodec.h"

#include "generated/peer.pb.h"

#include <algorithm>
#include <cmath>

using namespace ospreyspur;

/// Bounds on what a damaged or malicious report can make this entry keep.
static constexpr int MaxRates = 64;
static constexpr int MaxLeaving = 64;
static constexpr int MaxLoads = 4096;
static constexpr std::size_t MaxNameBytes = 256;
static constexpr unsigned MaxRunning = 1U << 16U;
static constexpr unsigned MaxPendingTokens = 1U << 26U;
static constexpr Duration MaxAge = std::chrono::hours(1);

static std::uint64_t encodeAge(Duration age) {
  return static_cast<std::uint64_t>(std::max(age, Duration::zero()).count());
}

static Duration decodeAge(std::uint64_t microseconds) {
  auto maxAge = static_cast<std::uint64_t>(MaxAge.count());
  return Duration(static_cast<Duration::rep>(std::min(microseconds, maxAge)));
}

static void encodeRate(const RateLimitRecord &record, wire::RateLimit &out) {
  out.set_life(record.Incarnation.get());
  if (record.PerSecond)
    out.set_per_second(*record.PerSecond);
  out.set_sent_age_us(encodeAge(record.SentAge));
  out.set_heard_age_us(encodeAge(record.ReceivedAge));
}

static std::vector<RateLimitRecord> decodeRates(const wire::LoadReport &in) {
  std::vector<RateLimitRecord> out;
  for (int i = 0; i < std::min(in.rates_size(), MaxRates); ++i) {
    const wire::RateLimit &it = in.rates(i);
    RateLimitRecord record{IncarnationDigest(it.life()), std::nullopt,
                           decodeAge(it.sent_age_us()),
                           decodeAge(it.heard_age_us())};
    if (it.has_per_second())
      record.PerSecond = it.per_second();
    bool isValid = !record.PerSecond ||
                   (std::isfinite(*record.PerSecond) && *record.PerSecond >= 0);
    if (isValid)
      out.push_back(record);
  }
  return out;
}

std::string ospreyspur::encodeLoad(const LoadReport &report) {
  wire::LoadReport out;
  out.set_node(report.Node);
  for (const EndpointLoad &it : report.Loads) {
    wire::EndpointLoad *record = out.add_loads();
    record->set_endpoint(it.Endpoint.get());
    record->set_running(it.Running);
    record->set_unread(it.PendingPromptTokens);
    record->set_pace(static_cast<float>(it.Slowdown));
  }
  encodeCrashes(report.Crashes, out);
  for (IncarnationDigest it : report.Replaced)
    out.add_replaced(it.get());
  for (const RateLimitRecord &it : report.Rates)
    encodeRate(it, *out.add_rates());
  for (IncarnationDigest it : report.Leaving)
    out.add_leaving(it.get());
  out.set_is_new(report.IsNew);
  out.set_is_idle(report.IsIdle);
  out.set_is_outside(report.IsOutside);
  return out.SerializeAsString();
}

/// Replaced endpoints read from one report.
static constexpr int MaxReplaced = 64;
/// Larger slowdown factors are capped; such slow endpoints are of no use.
static constexpr double MaxSlowdown = 100;

/// Returns the reported slowdown factor, capped at MaxSlowdown, or 0 (unknown)
/// for values that are below 1 or not finite.
static double sanitizeSlowdown(double reported) {
  return std::isfinite(reported) && reported >= 1
             ? std::min(reported, MaxSlowdown)
             : 0;
}

static std::vector<EndpointLoad> decodeLoads(const wire::LoadReport &in) {
  std::vector<EndpointLoad> out;
  for (int i = 0; i < std::min(in.loads_size(), MaxLoads); ++i) {
    const wire::EndpointLoad &it = in.loads(i);
    if (it.endpoint().size() <= MaxNameBytes)
      out.push_back({EndpointId(it.endpoint()),
                     std::min(it.running(), MaxRunning),
                     std::min(it.unread(), MaxPendingTokens),
                     sanitizeSlowdown(it.pace())});
  }
  return out;
}

std::optional<LoadReport> ospreyspur::decodeLoad(std::string_view bytes) {
  wire::LoadReport in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return std::nullopt;
  if (in.node().size() > MaxNameBytes)
    return std::nullopt;
  LoadReport out;
  out.Node = in.node();
  out.Loads = decodeLoads(in);
  out.Crashes = decodeCrashes(in);
  for (int i = 0; i < std::min(in.replaced_size(), MaxReplaced); ++i)
    out.Replaced.emplace_back(in.replaced(i));
  out.Rates = decodeRates(in);
  for (int i = 0; i < std::min(in.leaving_size(), MaxLeaving); ++i)
    out.Leaving.emplace_back(in.leaving(i));
  out.IsNew = in.is_new();
  out.IsIdle = in.is_idle();
  out.IsOutside = in.is_outside();
  return out;
}
