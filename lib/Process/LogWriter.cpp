//===- LogWriter.cpp - non-blocking log output ----------------------------===//
//
// See LogWriter.h. While the process ends, a reader that does not read is
// waited for only briefly.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/LogWriter.h"

#include <poll.h>
#include <unistd.h>

#include <cerrno>

using namespace ospreyspur;

/// How long to wait until the output can be written, in ms, once the process
/// ends.
static constexpr int EndWaitMs = 100;
/// The same while the process runs; only the writer's own thread waits.
static constexpr int WaitMs = 1000;

LogWriter::LogWriter(int fd) : File(fd), Thread([this] { run(); }) {
  google::AddLogSink(this);
}

LogWriter::~LogWriter() {
  google::RemoveLogSink(this);
  {
    std::lock_guard lock(Mutex);
    IsEnding = true;
  }
  Changed.notify_one();
  Thread.join();
}

void LogWriter::send(google::LogSeverity severity, const char * /*fullName*/,
                     const char *baseName, int line,
                     const google::LogMessageTime &time, const char *message,
                     std::size_t length) {
  std::string text = google::LogSink::ToString(severity, baseName, line, time,
                                               message, length);
  text += '\n';
  std::size_t limit = severity == google::GLOG_INFO ? MaxLines / 2 : MaxLines;
  std::lock_guard lock(Mutex);
  if (Lines.size() >= limit) {
    ++Dropped;
    return;
  }
  Lines.push_back(std::move(text));
  Changed.notify_one();
}

std::uint64_t LogWriter::dropped() const {
  std::lock_guard lock(Mutex);
  return Dropped;
}

void LogWriter::run() {
  std::uint64_t reported = 0;
  std::unique_lock lock(Mutex);
  for (;;) {
    Changed.wait(lock, [this] { return IsEnding || !Lines.empty(); });
    if (Lines.empty())
      return;
    std::string line = std::move(Lines.front());
    Lines.pop_front();
    if (Dropped > reported)
      line += "event=log.dropped lines=" + std::to_string(Dropped) + '\n';
    reported = Dropped;
    lock.unlock();
    bool isWritten = writeLine(line);
    lock.lock();
    if (!isWritten && IsEnding)
      return;
  }
}

/// Returns false if the write failed, or if the process ends and nobody reads
/// the output.
bool LogWriter::writeLine(const std::string &line) const {
  std::size_t done = 0;
  while (done < line.size()) {
    pollfd ready{File, POLLOUT, 0};
    bool isEnding = false;
    {
      std::lock_guard lock(Mutex);
      isEnding = IsEnding;
    }
    if (::poll(&ready, 1, isEnding ? EndWaitMs : WaitMs) <= 0) {
      if (isEnding)
        return false;
      continue;
    }
    ssize_t n = ::write(File, line.data() + done, line.size() - done);
    if (n < 0 && errno != EINTR && errno != EAGAIN)
      return false;
    done += n > 0 ? static_cast<std::size_t>(n) : 0;
  }
  return true;
}
