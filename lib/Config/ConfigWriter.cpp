//===- ConfigWriter.cpp - commits one configuration change ----------------===//
//
// A write whose reply was lost can only take effect while the document still
// has the expected revision. Once the document has been read with another
// revision, or a later write of the same change has been refused because of its
// revision, the audit entries show whether the change was accepted.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Config/ConfigWriter.h"

#include "ospreyspur/Config/ConfigDocument.h"

using namespace ospreyspur;

static constexpr Duration RetryDelay = std::chrono::milliseconds(100);

ConfigWriter::Step ConfigWriter::next(TimePoint now) {
  if (CurrentStage == Stage::Ended)
    return FinalStep;
  if (now >= Deadline) {
    if (IsInDoubt)
      end(ResultCode::ConfigUnknownFate,
          "submit the change again with the same change id");
    else
      end(ResultCode::PlatformUnavailable, "the platform did not answer");
    return FinalStep;
  }
  switch (CurrentStage) {
  case Stage::Pausing:
    CurrentStage = Stage::Reading;
    return Pause{RetryDelay};
  case Stage::Writing:
    return KvPut{std::string(ConfigKey), NextDocument, ReadAt, {}};
  default:
    return KvGet{std::string(ConfigKey)};
  }
}

void ConfigWriter::onReply(const KvReply &reply) {
  if (CurrentStage == Stage::Reading)
    onRead(reply);
  else
    onWritten(reply);
}

void ConfigWriter::onRead(const KvReply &reply) {
  if (reply.Code != ResultCode::Ok && reply.Code != ResultCode::NotFound) {
    CurrentStage = Stage::Pausing;
    return;
  }
  std::string text = reply.Code == ResultCode::Ok ? reply.Value : "{}";
  if (hasChange(text, Change.ChangeId)) {
    end(ResultCode::Ok, "", reply.At);
    return;
  }
  bool hasOtherRevision = reply.At != ReadAt;
  if (hasOtherRevision)
    IsInDoubt = false;
  ReadAt = reply.At;
  auto next = applyChange(text, Change);
  if (next) {
    NextDocument = std::move(next.value());
    CurrentStage = Stage::Writing;
    return;
  }
  end(next.error().Code, next.error().Detail);
}

void ConfigWriter::onWritten(const KvReply &reply) {
  switch (reply.Code) {
  case ResultCode::Ok:
    end(ResultCode::Ok, "", reply.At);
    return;
  case ResultCode::PlatformConflict:
    CurrentStage = Stage::Reading;
    return;
  case ResultCode::PlatformRefused:
    CurrentStage = Stage::Pausing;
    return;
  default:
    IsInDoubt = true;
    CurrentStage = Stage::Pausing;
    return;
  }
}

void ConfigWriter::end(ResultCode code, std::string detail, Revision at) {
  FinalStep = {{code, std::move(detail)}, at};
  CurrentStage = Stage::Ended;
}
