//===- EventSplitter.cpp - splits a byte stream into events ---------------===//
//
// An event ends with an empty line. Lines end with LF or CR LF.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/EventSplitter.h"

#include <algorithm>

using namespace ospreyspur;

/// Length of the longest end of an event.
static constexpr std::size_t MaxEndBytes = std::string_view("\n\r\n").size();

/// Returns the length of the complete events at the start of \p text.
static std::size_t completeLength(std::string_view text) {
  std::size_t lf = text.rfind("\n\n");
  std::size_t crlf = text.rfind("\n\r\n");
  std::size_t end = lf == std::string_view::npos ? 0 : lf + 2;
  if (crlf != std::string_view::npos && crlf + 3 > end)
    end = crlf + 3;
  return end;
}

std::string EventSplitter::add(std::string_view data) {
  // The end of an event is in the new data or begins right before it.
  std::size_t begin =
      Incomplete.size() - std::min(Incomplete.size(), MaxEndBytes - 1);
  Incomplete.append(data);
  std::size_t n = completeLength(std::string_view(Incomplete).substr(begin));
  if (n > 0)
    n += begin;
  std::string complete = Incomplete.substr(0, n);
  Incomplete.erase(0, n);
  recordIds(complete);
  return complete;
}

void EventSplitter::recordIds(std::string_view events) {
  constexpr std::string_view Field = "id:";
  while (!events.empty()) {
    std::size_t end = events.find('\n');
    std::string_view line = events.substr(0, end);
    events.remove_prefix(end == std::string_view::npos ? events.size()
                                                       : end + 1);
    if (!line.starts_with(Field))
      continue;
    line.remove_prefix(Field.size());
    while (line.starts_with(' '))
      line.remove_prefix(1);
    while (line.ends_with('\r'))
      line.remove_suffix(1);
    LastId = line;
  }
}
