//===- CrashRelay.cpp - relays crash reports between entries --------------===//
//
// See CrashRelay.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Quarantine/CrashRelay.h"

using namespace ospreyspur;

std::vector<CrashRelay::Delivery>
CrashRelay::onUpdate(LinkId from, const CrashUpdate &update, TimePoint now) {
  std::vector<Delivery> out;
  bool isNew = Entries.insert(from).second;
  auto count = static_cast<std::uint32_t>(Entries.size());
  if (isNew) {
    for (CrashReport &it : Crashes.allRecords(now))
      out.push_back({from, {"", count, std::move(it)}});
    for (CrashReport &it : Parts.allRecords(now))
      out.push_back({from, {"", count, {{}, {}, std::move(it.Records)}}});
  }
  bool hadAttempts = EntriesWithSuspects.erase(from) > 0;
  if (!update.Report.SuspectAttempts.empty())
    EntriesWithSuspects.insert(from);
  if (update.Report.isEmpty() && !hadAttempts) {
    // A heartbeat.
    out.push_back({from, {"", count, {}}});
    return out;
  }
  Crashes.merge(update.Sender, update.Report, now);
  Parts.merge(update.Sender, {update.Report.Parts, {}}, now);
  for (LinkId it : Entries)
    if (it != from)
      out.push_back({it, {update.Sender, count, update.Report}});
  return out;
}

void CrashRelay::onLinkDown(LinkId link) {
  Entries.erase(link);
  EntriesWithSuspects.erase(link);
}
