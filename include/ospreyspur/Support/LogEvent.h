//===- LogEvent.h - one key=value line for each event -----------*- C++ -*-===//
//
// Builds the text of one log line: "event=name key=value ...". Values with
// spaces or quotes are quoted. Values may come from clients: long ones are cut,
// and bytes that are not printable are replaced, so that a line stays one line
// and terminals show it as it is.
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
    std::string text = makePrintable(buf.str());
    Text << ' ' << key << '=';
    if (text.find_first_of(" \"=") == std::string::npos)
      Text << text;
    else
      Text << std::quoted(text);
    return *this;
  }

  friend std::ostream &operator<<(std::ostream &os, const LogEvent &event) {
    return os << event.Text.str();
  }

private:
  static constexpr std::size_t MaxValueBytes = 512;
  static constexpr std::string_view CutMark = "...";

  /// Returns \p text, cut to MaxValueBytes and with blanks for line ends and
  /// question marks for other bytes that are not printable ASCII.
  static std::string makePrintable(std::string text) {
    if (text.size() > MaxValueBytes) {
      text.resize(MaxValueBytes);
      text += CutMark;
    }
    for (char &it : text) {
      bool isLineEnd = it == '\n' || it == '\r';
      bool isPrintable = it >= ' ' && it <= '~';
      if (!isPrintable)
        it = isLineEnd ? ' ' : '?';
    }
    return text;
  }

  std::ostringstream Text;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_SUPPORT_LOGEVENT_H
