//===- LogWriterTest.cpp - log output without a reader --------------------===//
//
// Lines are written in order, and a reader that stops reading does not block
// the process that logs.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/LogWriter.h"
#include "ospreyspur/Support/LogEvent.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <sstream>
#include <string>

using namespace ospreyspur;

namespace {
/// A pipe that is closed on destruction.
struct Pipe {
  Pipe() { REQUIRE(::pipe(Ends.data()) == 0); }
  ~Pipe() {
    ::close(Ends[0]);
    ::close(Ends[1]);
  }

  std::array<int, 2> Ends{};
};
} // namespace

static void sendLine(LogWriter &writer, google::LogSeverity severity,
                     const std::string &text) {
  google::LogMessageTime time;
  writer.send(severity, "f.cpp", "f.cpp", 1, time, text.data(), text.size());
}

TEST_CASE("lines are written in order") {
  Pipe pipe;
  {
    LogWriter writer(pipe.Ends[1]);
    sendLine(writer, google::GLOG_INFO, "event=first");
    sendLine(writer, google::GLOG_ERROR, "event=second");
  }
  std::array<char, 4096> bytes{};
  ssize_t n = ::read(pipe.Ends[0], bytes.data(), bytes.size());
  REQUIRE(n > 0);
  std::string text(bytes.data(), static_cast<std::size_t>(n));
  CHECK(text.find("event=first") < text.find("event=second"));
  CHECK(text.find("event=second") != std::string::npos);
}

TEST_CASE("a log without a reader drops lines, informational ones first") {
  Pipe pipe;
  LogWriter writer(pipe.Ends[1]);
  const std::string text(1000, 'x');
  for (std::size_t i = 0; i < 2 * LogWriter::MaxLines; ++i)
    sendLine(writer, google::GLOG_INFO, text);
  std::uint64_t dropped = writer.dropped();
  CHECK(dropped > 0);
  sendLine(writer, google::GLOG_ERROR, text);
  CHECK(writer.dropped() == dropped);
}

TEST_CASE("an event is one line, whatever its values contain") {
  std::ostringstream out;
  out << LogEvent("e").with("detail", "first\nsecond\r\nthird");
  CHECK(out.str() == "event=e detail=\"first second  third\"");
}

// A line of a client's choice could end the line, clear the terminal or fill
// the memory for lines.
TEST_CASE("values in log lines are short and printable") {
  std::ostringstream os;
  os << LogEvent("e")
            .with("a", "x\ny\rz")
            .with("b", std::string("\x1b[2J\x9b\x7f\0", 7))
            .with("c", std::string(100000, 'c'));
  std::string line = os.str();
  CHECK(line.starts_with("event=e a=\"x y z\" b=?[2J??? c=ccc"));
  CHECK(line.size() < 1000);
  CHECK(line.ends_with("ccc..."));
}
