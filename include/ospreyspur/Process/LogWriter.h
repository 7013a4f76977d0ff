//===- LogWriter.h - log lines that never hold up their writer --*- C++ -*-===//
//
// Takes glog's lines into a queue of bounded size; a thread of its own writes
// them to standard output. When nobody reads that, lines are dropped, ordinary
// ones first, and the number of dropped ones is logged later.
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

/// The log of this process, while it stands.
class LogWriter : public google::LogSink {
public:
  /// Lines that may wait; ordinary ones only up to half of it.
  static constexpr std::size_t MaxLines = 2000;

  /// Writes to the open file \p fd.
  explicit LogWriter(int fd);
  /// Writes what still waits, unless nobody reads it.
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
