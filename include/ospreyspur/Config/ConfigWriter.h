//===- ConfigWriter.h - gets a change accepted, or says why not -*- C++ -*-===//
//
// The state machine of one change: read, apply, compare-and-swap. A change that
// lost the race is applied anew to the newer document; one whose answer was
// lost is looked up by its id.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONFIG_CONFIGWRITER_H
#define OSPREYSPUR_CONFIG_CONFIGWRITER_H

#include "ospreyspur/Config/ConfigChange.h"
#include "ospreyspur/Platform/KeyValue.h"
#include "ospreyspur/Support/Time.h"

#include <string>
#include <variant>

namespace ospreyspur {

/// Makes one change.
class ConfigWriter {
public:
  /// Wait, then ask for the next step.
  struct Pause {
    Duration Span;
  };
  /// The change's end: Ok and its revision, or why it was not accepted.
  /// ConfigUnknownFate: it may have been; ask again with the same change id.
  struct Done {
    Error Outcome;
    Revision At;
  };
  using Step = std::variant<KvCall, Pause, Done>;

  /// Gives up at \p deadline.
  ConfigWriter(ConfigChange change, TimePoint deadline)
      : Change(std::move(change)), Deadline(deadline) {}

  /// What to do now. After a call, first hand in its answer.
  Step next(TimePoint now);

  /// The answer to the call that next() gave.
  void onReply(const KvReply &reply);

private:
  enum class Stage { Reading, Writing, Pausing, Ended };

  void onRead(const KvReply &reply);
  void onWritten(const KvReply &reply);
  void end(ResultCode code, std::string detail, Revision at = Revision(0));

  ConfigChange Change;
  TimePoint Deadline;
  Stage Now = Stage::Reading;
  Revision ReadAt;
  std::string NextDocument;
  /// Whether a write was sent whose fate is not known.
  bool IsInDoubt = false;
  Done Result;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_CONFIG_CONFIGWRITER_H
