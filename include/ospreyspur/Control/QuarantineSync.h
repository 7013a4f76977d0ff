//===- QuarantineSync.h - stores the quarantine -----------------*- C++ -*-===//
//
// Performs the key-value store calls and runs the timer of QuarantineStore.
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

/// Keeps the stored quarantine up to date on one io_context's thread.
class QuarantineSync {
public:
  using Handler = std::function<void(std::vector<RequestDigest>)>;

  /// Time limit of a call to the key-value store.
  static constexpr Duration CallTimeout = std::chrono::milliseconds(1000);

  /// \p onRestored receives the requests that were stored before this process
  /// started.
  QuarantineSync(boost::asio::io_context &ioc, PlatformClient &platform,
                 std::uint64_t seed, Handler onRestored);

  /// Starts reading and writing the stored quarantine.
  void start() { onTimer(); }
  /// Sets the requests that this process has quarantined, and those that it has
  /// cleared since.
  void setLocalQuarantine(std::vector<RequestDigest> quarantined,
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
