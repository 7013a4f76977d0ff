//===- GroupRecord.cpp - a group's key-value record -----------------------===//
//
// The JSON format of the record. Maps are opaque text here.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/GroupRecord.h"

#include <boost/json.hpp>

using namespace ospreyspur;
namespace json = boost::json;

std::string ospreyspur::coordinatorKey(const GroupId &group) {
  return "groups/" + group.get() + "/coordinator";
}

std::string ospreyspur::recordKey(const GroupId &group) {
  return "groups/" + group.get() + "/record";
}

static json::object writeMap(const NumberedMap &map) {
  return {{"version", map.Version.get()}, {"map", map.Map}};
}

std::string ospreyspur::formatRecord(const GroupRecord &record) {
  json::array members;
  for (const EndpointId &it : record.Members)
    members.emplace_back(it.get());
  json::object out{{"writer", record.Writer.get()},
                   {"generation", record.GroupGeneration.get()},
                   {"members", members},
                   {"attempt", record.Attempt.get()},
                   {"committed", writeMap(record.Committed)}};
  if (record.Proposed)
    out["proposed"] = writeMap(*record.Proposed);
  return json::serialize(out);
}

static NumberedMap readMap(const json::value &in) {
  NumberedMap out;
  out.Version = MapVersion(in.at("version").to_number<std::uint64_t>());
  out.Map = std::string(in.at("map").as_string());
  return out;
}

Result<GroupRecord> ospreyspur::parseRecord(const std::string &text) {
  // Only coordinators write records, so one error code covers all faults.
  try {
    json::value in = json::parse(text);
    GroupRecord out;
    out.Writer = Epoch(in.at("writer").to_number<std::uint64_t>());
    out.GroupGeneration =
        Generation(in.at("generation").to_number<std::uint64_t>());
    for (const json::value &it : in.at("members").as_array())
      out.Members.emplace_back(std::string(it.as_string()));
    out.Attempt = ChangeAttempt(in.at("attempt").to_number<std::uint64_t>());
    out.Committed = readMap(in.at("committed"));
    if (const json::value *proposed = in.as_object().if_contains("proposed"))
      out.Proposed = readMap(*proposed);
    return out;
  } catch (const std::exception &error) {
    return Error{ResultCode::PlatformBadAnswer, error.what()};
  }
}
