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
static constexpr int MaxRecords = 64;
static constexpr int MaxCrashes = 8;
static constexpr int MaxPartCrashes = 12;
/// Ages are capped here; no record is kept for that long.
static constexpr std::uint64_t MaxAgeUs = 86400ULL * 1000000;

static std::uint64_t toWire(Duration it) {
  return std::uint64_t(std::max(it, Duration::zero()).count());
}

static Duration fromWire(std::uint64_t us) {
  return Duration(std::min(us, MaxAgeUs));
}

static void encodeRecord(const CrashRecord &record, wire::CrashRow &out) {
  out.set_request(record.Request.get());
  out.set_endpoints(static_cast<std::uint32_t>(record.Endpoints));
  out.set_seen_age_us(toWire(record.SeenAge));
  if (record.ClearedAge)
    out.set_cleared_age_us(toWire(*record.ClearedAge));
  if (record.QuarantinedAge)
    out.set_quarantined_age_us(toWire(*record.QuarantinedAge));
  for (const ReportedCrash &it : record.Crashes) {
    wire::Crash *crash = out.add_crashes();
    crash->set_life(it.Incarnation.get());
    crash->set_age_us(toWire(it.Age));
    crash->set_ran_us(toWire(it.Ran));
  }
}

static CrashRecord decodeRecord(const wire::CrashRow &in, int maxCrashes) {
  CrashRecord out;
  out.Request = RequestDigest(in.request());
  out.Endpoints = in.endpoints();
  out.SeenAge = fromWire(in.seen_age_us());
  if (in.has_cleared_age_us())
    out.ClearedAge = fromWire(in.cleared_age_us());
  if (in.has_quarantined_age_us())
    out.QuarantinedAge = fromWire(in.quarantined_age_us());
  for (int i = 0; i < std::min(in.crashes_size(), maxCrashes); ++i)
    out.Crashes.push_back({IncarnationDigest(in.crashes(i).life()),
                           fromWire(in.crashes(i).age_us()),
                           fromWire(in.crashes(i).ran_us())});
  return out;
}

template <typename Wire>
static void encode(const CrashReport &report, Wire &out) {
  for (const CrashRecord &it : report.Records)
    encodeRecord(it, *out.add_crashes());
  for (const CrashRecord &it : report.Parts)
    encodeRecord(it, *out.add_parts());
  for (const SuspectAttempt &it : report.SuspectAttempts) {
    wire::SuspectRun *run = out.add_suspect_runs();
    run->set_request(it.Request.get());
    run->set_life(it.Incarnation.get());
  }
}

template <typename Wire> static CrashReport decode(const Wire &in) {
  CrashReport out;
  for (int i = 0; i < std::min(in.crashes_size(), MaxRecords); ++i)
    out.Records.push_back(decodeRecord(in.crashes(i), MaxCrashes));
  for (int i = 0; i < std::min(in.parts_size(), MaxRecords); ++i)
    out.Parts.push_back(decodeRecord(in.parts(i), MaxPartCrashes));
  for (int i = 0; i < std::min(in.suspect_runs_size(), MaxRecords); ++i)
    out.SuspectAttempts.push_back(
        {RequestDigest(in.suspect_runs(i).request()),
         IncarnationDigest(in.suspect_runs(i).life())});
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
