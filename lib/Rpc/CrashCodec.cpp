//===- CrashCodec.cpp - crash reports to and from protobuf ----------------===//
//
// See CrashCodec.h.
//
//===----------------------------------------------------------------------===//

#include "CrashCodec.h"

#include "generated/peer.pb.h"

#include <algorithm>

using namespace ospreyspur;

/// Bounds on the records read from one report; no entry sends more.
static constexpr int MaxRows = 64;
static constexpr int MaxCrashes = 8;
/// Ages are capped here; no record is kept for that long.
static constexpr std::uint64_t MaxAgeUs = 86400ULL * 1000000;

static std::uint64_t toWire(Duration it) {
  return std::uint64_t(std::max(it, Duration::zero()).count());
}

static Duration fromWire(std::uint64_t us) {
  return Duration(std::min(us, MaxAgeUs));
}

static void encodeRow(const CrashRow &row, wire::CrashRow &out) {
  out.set_request(row.Request.get());
  out.set_endpoints(static_cast<std::uint32_t>(row.Endpoints));
  out.set_seen_age_us(toWire(row.SeenAge));
  if (row.ClearedAge)
    out.set_cleared_age_us(toWire(*row.ClearedAge));
  if (row.QuarantinedAge)
    out.set_quarantined_age_us(toWire(*row.QuarantinedAge));
  for (const CrashTold &it : row.Crashes) {
    wire::Crash *crash = out.add_crashes();
    crash->set_life(it.Life.get());
    crash->set_age_us(toWire(it.Age));
    crash->set_ran_us(toWire(it.Ran));
  }
}

static CrashRow decodeRow(const wire::CrashRow &in) {
  CrashRow out;
  out.Request = RequestDigest(in.request());
  out.Endpoints = in.endpoints();
  out.SeenAge = fromWire(in.seen_age_us());
  if (in.has_cleared_age_us())
    out.ClearedAge = fromWire(in.cleared_age_us());
  if (in.has_quarantined_age_us())
    out.QuarantinedAge = fromWire(in.quarantined_age_us());
  for (int i = 0; i < std::min(in.crashes_size(), MaxCrashes); ++i)
    out.Crashes.push_back({LifeDigest(in.crashes(i).life()),
                           fromWire(in.crashes(i).age_us()),
                           fromWire(in.crashes(i).ran_us())});
  return out;
}

template <typename Wire>
static void encode(const CrashReport &report, Wire &out) {
  for (const CrashRow &it : report.Rows)
    encodeRow(it, *out.add_crashes());
  for (const SuspectRun &it : report.Runs) {
    wire::SuspectRun *run = out.add_suspect_runs();
    run->set_request(it.Request.get());
    run->set_life(it.Life.get());
  }
}

template <typename Wire> static CrashReport decode(const Wire &in) {
  CrashReport out;
  for (int i = 0; i < std::min(in.crashes_size(), MaxRows); ++i)
    out.Rows.push_back(decodeRow(in.crashes(i)));
  for (int i = 0; i < std::min(in.suspect_runs_size(), MaxRows); ++i)
    out.Runs.push_back({RequestDigest(in.suspect_runs(i).request()),
                        LifeDigest(in.suspect_runs(i).life())});
  return out;
}

void ospreyspur::encodeCrashes(const CrashReport &report,
                               wire::LoadReport &out) {
  encode(report, out);
}

void ospreyspur::encodeCrashes(const CrashReport &report,
                               wire::CrashUpdate &out) {
  encode(report, out);
}

CrashReport ospreyspur::decodeCrashes(const wire::LoadReport &in) {
  return decode(in);
}

CrashReport ospreyspur::decodeCrashes(const wire::CrashUpdate &in) {
  return decode(in);
}
