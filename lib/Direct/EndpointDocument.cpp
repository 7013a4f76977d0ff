//===- EndpointDocument.cpp - endpoint list as a JSON document ------------===//
//
// The document is a JSON array with one object per endpoint.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/EndpointDocument.h"

#include <boost/json.hpp>

using namespace ospreyspur;
namespace json = boost::json;

std::string
ospreyspur::formatEndpoints(const std::vector<EndpointRecord> &endpoints) {
  json::array out;
  for (const EndpointRecord &it : endpoints) {
    std::string address = it.Address.address().to_string() + ":" +
                          std::to_string(it.Address.port());
    json::object record{{"name", it.Name},
                        {"life", it.Incarnation.get()},
                        {"service", it.Service.get()},
                        {"address", address},
                        {"data_centre", it.DataCentre.get()},
                        {"slots", it.Slots},
                        {"leaving", it.IsLeaving},
                        {"tells_state", it.AnswersStatusQueries},
                        {"revision", it.ListedAt.get()}};
    if (it.ColdLeft)
      record["cold_left_us"] = it.ColdLeft->count();
    out.push_back(std::move(record));
  }
  return json::serialize(out);
}

static std::string textOf(const json::object &in, const char *name) {
  const json::value *it = in.if_contains(name);
  return it && it->is_string() ? std::string(it->get_string()) : std::string();
}

static std::uint64_t numberOf(const json::object &in, const char *name) {
  const json::value *it = in.if_contains(name);
  boost::system::error_code ec;
  auto n = it && it->is_number() ? it->to_number<std::uint64_t>(ec) : 0;
  return ec ? 0 : n;
}

/// Returns \p fallback for a field that earlier versions do not write.
static bool flagOf(const json::object &in, const char *name, bool fallback) {
  const json::value *it = in.if_contains(name);
  return it && it->is_bool() ? it->get_bool() : fallback;
}

static Result<EndpointRecord> parseEndpoint(const json::object &in) {
  Result<TcpAddress> address = parseAddress(textOf(in, "address"));
  const json::value *leaving = in.if_contains("leaving");
  if (!address || !leaving || !leaving->is_bool())
    return Error{ResultCode::PlatformBadAnswer,
                 "an endpoint lacks its address or state"};
  std::string name = textOf(in, "name");
  EndpointIncarnation incarnation(numberOf(in, "life"));
  std::optional<Duration> coldLeft;
  if (in.contains("cold_left_us"))
    coldLeft = Duration(numberOf(in, "cold_left_us"));
  return EndpointRecord{makeEndpointId(name, incarnation),
                        name,
                        incarnation,
                        ServiceId(textOf(in, "service")),
                        address.value(),
                        DataCentreId(textOf(in, "data_centre")),
                        static_cast<unsigned>(numberOf(in, "slots")),
                        leaving->get_bool(),
                        flagOf(in, "tells_state", false),
                        Revision(numberOf(in, "revision")),
                        coldLeft};
}

Result<std::vector<EndpointRecord>>
ospreyspur::parseEndpoints(const std::string &text) {
  boost::system::error_code ec;
  json::value body = json::parse(text, ec);
  if (ec || !body.is_array())
    return Error{ResultCode::PlatformBadAnswer,
                 "the endpoint list is not a JSON array"};
  std::vector<EndpointRecord> out;
  for (const json::value &it : body.get_array()) {
    if (!it.is_object())
      return Error{ResultCode::PlatformBadAnswer,
                   "an endpoint is not a JSON object"};
    Result<EndpointRecord> record = parseEndpoint(it.get_object());
    if (!record)
      return record.error();
    out.push_back(std::move(record.value()));
  }
  return out;
}
