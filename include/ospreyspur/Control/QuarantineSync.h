//===- QuarantineSync.h - keeps the quarantine in the store -----*- C++ -*-===//
//
// The shell around QuarantineStore: calls on the platform and the timer.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONTROL_QUARANTINESYNC_H
#define OSPREYSPUR_CONTROL_QUARANTINESYNC_H

#include "ospreyspur/Platform/PlatformClient.h"
#include "ospreyspur/Process/NodeTimer.h"
#include "ospreyspur/Quarantine/QuarantineStore.h"

#include <functional>
#include <vector>

namespace ospreyspur {

/// Follows the stored quarantine on one io_context's thread.
class QuarantineSync {
public:
  using Handler = std::function<void(std::vector<RequestDigest>)>;

  /// \p onRestored gets what was stored before this process began.
  QuarantineSync(boost::asio::io_context &ioc, PlatformClient &platform,
                 std::uint64_t seed, Handler onRestored);

  /// Begins to follow.
  void start() { onTimer(); }
  /// What this process has quarantined, and what it has cleared since.
  void setOwn(std::vector<RequestDigest> quarantined,
              const std::vector<RequestDigest> &cleared);

private:
  void onTimer();
  void onReply(const KvReply &reply);

  PlatformClient &Platform;
  Handler OnRestored;
  QuarantineStore Store;
  NodeTimer Timer;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_CONTROL_QUARANTINESYNC_H
