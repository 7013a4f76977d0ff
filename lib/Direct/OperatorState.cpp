//===- OperatorState.cpp - what operators have set ------------------------===//
//
// While data centres are drained, a JSON array of their names on a line of its
// own precedes the configuration document, which is a JSON object.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/OperatorState.h"

#include <boost/json.hpp>

#include <algorithm>

using namespace ospreyspur;
namespace json = boost::json;

Revision ospreyspur::revisionOfRead(const OperatorState &before,
                                    const OperatorState &read, Revision newest,
                                    Revision seenAt) {
  bool hasEnded = !std::includes(read.Drained.begin(), read.Drained.end(),
                                 before.Drained.begin(), before.Drained.end());
  return hasEnded ? seenAt : newest;
}

std::string ospreyspur::formatOperatorState(const OperatorState &state) {
  if (state.Drained.empty())
    return state.Config;
  json::array drained;
  for (const DataCentreId &it : state.Drained)
    drained.emplace_back(it.get());
  return json::serialize(drained) + "\n" + state.Config;
}

Result<OperatorState> ospreyspur::parseOperatorState(const std::string &text) {
  OperatorState out;
  if (!text.starts_with('[')) {
    out.Config = text;
    return out;
  }
  std::size_t end = text.find('\n');
  boost::system::error_code ec;
  json::value drained = json::parse(text.substr(0, end), ec);
  if (ec || !drained.is_array() || end == std::string::npos)
    return Error{ResultCode::PlatformBadAnswer,
                 "the list of drained data centres is not a JSON array"};
  for (const json::value &it : drained.get_array())
    if (it.is_string())
      out.Drained.emplace(std::string(it.get_string()));
  out.Config = text.substr(end + 1);
  return out;
}
