//===- LogWriter.h - non-blocking log output --------------------*- C++ -*-===//
//
// Puts glog's lines into a queue of bounded size, from which a separate thread
// writes them to standard output. If nobody reads the output, lines are
// dropped, those of severity INFO first, and the number of dropped lines is
// logged later.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_LOGWRITER_H
#define OSPREYSPUR_PROCESS_LOGWRITER_H

#include <glog/logging.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace ospreyspur {

/// Receives the log lines of this process as long as the object exists.
class LogWriter : public google::LogSink {
public:
  /// Capacity of the queue; lines of severity INFO may fill only half of it.
  static constexpr std::size_t MaxLines = 2000;

  /// Writes to the open file \p fd.
  explicit LogWriter(int fd);
  /// Writes the queued lines, unless nobody reads the output.
  ~LogWriter() override;

  void send(google::LogSeverity severity, const char *fullName,
            const char *baseName, int line, const google::LogMessageTime &time,
            const char *message, std::size_t length) override;

  /// Lines dropped since the start.
  std::uint64_t dropped() const;

private:
  void run();
  bool writeLine(const std::string &line) const;

  int File;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<std::string> Lines;
  std::uint64_t Dropped = 0;
  bool IsEnding = false;
  std::thread Thread;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_LOGWRITER_H
