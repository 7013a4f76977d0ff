//===- ConfigWriter.h - commits one configuration change --------*- C++ -*-===//
//
// The state machine of one change: read, apply, compare-and-swap. After a
// conflict the change is applied again to the newer document. If the reply to
// the write was lost, the change's id is looked up in the audit entries.
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

/// Commits one change to the configuration document.
class ConfigWriter {
public:
  /// Wait for Span, then call next() again.
  struct Pause {
    Duration Span;
  };
  /// The result of the change: Ok and its revision, or why the change was not
  /// accepted. ConfigUnknownFate: the change may have been accepted; submit it
  /// again with the same change id to find out.
  struct Done {
    Error Outcome;
    Revision At;
  };
  using Step = std::variant<KvCall, Pause, Done>;

  /// Gives up at \p deadline.
  ConfigWriter(ConfigChange change, TimePoint deadline)
      : Change(std::move(change)), Deadline(deadline) {}

  /// The next step. The reply to a call must be passed to onReply() first.
  Step next(TimePoint now);

  /// Takes the reply to the call that next() returned.
  void onReply(const KvReply &reply);

private:
  enum class Stage { Reading, Writing, Pausing, Ended };

  void onRead(const KvReply &reply);
  void onWritten(const KvReply &reply);
  void end(ResultCode code, std::string detail, Revision at = Revision(0));

  ConfigChange Change;
  TimePoint Deadline;
  Stage CurrentStage = Stage::Reading;
  Revision ReadAt;
  std::string NextDocument;
  /// Whether a write was sent and may or may not have taken effect.
  bool IsInDoubt = false;
  Done FinalStep;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_CONFIG_CONFIGWRITER_H
