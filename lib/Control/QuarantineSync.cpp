//===- QuarantineSync.cpp - stores the quarantine -------------------------===//
//
// See QuarantineSync.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Control/QuarantineSync.h"

#include "ospreyspur/Support/LogEvent.h"

#include <glog/logging.h>

#include <utility>

using namespace ospreyspur;

QuarantineSync::QuarantineSync(boost::asio::io_context &ioc,
                               PlatformClient &platform, std::uint64_t seed,
                               Handler onRestored)
    : Platform(platform), OnRestored(std::move(onRestored)), Store(seed),
      Timer(ioc, [this] { onTimer(); }) {}

void QuarantineSync::onTimer() {
  if (std::optional<KvCall> call = Store.nextCall(monotonicNow()))
    Platform.call(std::move(*call), CallTimeout,
                  [this](const KvReply &reply) { onReply(reply); });
  Timer.set(Store.nextTimer());
}

void QuarantineSync::onReply(const KvReply &reply) {
  std::vector<RequestDigest> restored = Store.onReply(reply, monotonicNow());
  LOG(INFO) << LogEvent("quarantine.synced")
                   .with("code", static_cast<unsigned>(reply.Code))
                   .with("revision", reply.At.get())
                   .with("stored", Store.stored().size())
                   .with("restored", restored.size());
  if (!restored.empty())
    OnRestored(std::move(restored));
  onTimer();
}

void QuarantineSync::setLocalQuarantine(
    std::vector<RequestDigest> quarantined,
    const std::vector<RequestDigest> &cleared) {
  Store.setLocalQuarantine(std::move(quarantined), cleared, monotonicNow());
  Timer.set(Store.nextTimer());
}
