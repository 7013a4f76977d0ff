//===- DemandKeeper.h - a group's demand outlasts its agents ----*- C++ -*-===//
//
// A group that lost power starts with the map in which its experts were dealt
// in turn, and its ranks have forgotten what was asked of them. The coordinator
// therefore keeps the demand in the platform's service; one that begins reads
// what was kept and can plan before the first request has come.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_DEMANDKEEPER_H
#define OSPREYSPUR_EXPERTS_DEMANDKEEPER_H

#include "ospreyspur/Platform/KeyValue.h"
#include "ospreyspur/Support/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace ospreyspur {

/// Keeps the demand of one group. It does no I/O.
class DemandKeeper {
public:
  /// Between two writes. Demand shifts every few seconds, but most of it stays;
  /// each write is paid for.
  static constexpr Duration KeepEvery = std::chrono::seconds(4);
  /// Between two tries to read what was kept.
  static constexpr Duration RetryEvery = std::chrono::seconds(1);
  /// After this time a call without an answer is given up.
  static constexpr Duration CallTimeout = std::chrono::seconds(1);

  explicit DemandKeeper(std::string key) : Key(std::move(key)) {}

  // Commands.

  /// The call to make now for the coordinator of a group with \p demand.
  std::optional<KvCall> nextCall(const std::vector<double> &demand,
                                 TimePoint now);
  /// Takes the answer to the latest call. Returns the demand that was kept, if
  /// it was read.
  std::optional<std::vector<double>> onReply(const KvReply &reply,
                                             TimePoint now);

private:
  std::string Key;
  /// The revision of what is kept; nothing until it was read.
  std::optional<Revision> Kept;
  TimePoint NextCall;
  std::optional<TimePoint> SentAt;
  bool IsReading = false;
};

/// \p demand as a text: a JSON array of whole numbers, the highest 255.
std::string formatDemand(const std::vector<double> &demand);

/// Nothing if \p text is no such array.
std::optional<std::vector<double>> parseDemand(const std::string &text);

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_DEMANDKEEPER_H
