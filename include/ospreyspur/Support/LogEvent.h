//===- LogEvent.h - one key=value line for each event -----------*- C++ -*-===//
//
// Builds the text of one log line: "event=name key=value ...". Values with
// spaces, quotes or line ends are quoted, so that a line stays one line.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_SUPPORT_LOGEVENT_H
#define OSPREYSPUR_SUPPORT_LOGEVENT_H

#include <iomanip>
#include <ostream>
#include <sstream>
#include <string>
#include <string_view>

namespace ospreyspur {

/// The text of one event; stream it into LOG(INFO).
class LogEvent {
public:
  explicit LogEvent(std::string_view name) { Text << "event=" << name; }

  /// Adds one pair; \p value must be streamable.
  template <typename T> LogEvent &with(std::string_view key, const T &value) {
    std::ostringstream buf;
    buf << value;
    std::string text = buf.str();
    Text << ' ' << key << '=';
    if (text.find_first_of(" \"\n\r=") == std::string::npos)
      Text << text;
    else
      Text << std::quoted(replaceLineEnds(text));
    return *this;
  }

  friend std::ostream &operator<<(std::ostream &os, const LogEvent &event) {
    return os << event.Text.str();
  }

private:
  /// Returns \p text with blanks for line ends, as an event is one line.
  static std::string replaceLineEnds(std::string text) {
    for (char &it : text)
      if (it == '\n' || it == '\r')
        it = ' ';
    return text;
  }

  std::ostringstream Text;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_SUPPORT_LOGEVENT_H
