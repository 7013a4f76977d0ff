//===- ConfigDocument.cpp - the document's JSON form ----------------------===//
//
// Every field is checked on the way in; unknown fields are refused, as they are
// most likely misspelt.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Config/ConfigDocument.h"

#include "ospreyspur/Config/EventSchedule.h"
#include "ospreyspur/Support/Address.h"

#include <boost/json.hpp>

#include <algorithm>
#include <initializer_list>

using namespace ospreyspur;
namespace json = boost::json;

namespace {
/// Thrown and caught only in this file, to return from nested readers.
struct BadField {
  std::string Detail;
};
} // namespace

static void checkKeys(const json::object &in,
                      std::initializer_list<std::string_view> known,
                      const std::string &path) {
  for (const auto &it : in) {
    std::string_view key(it.key().data(), it.key().size());
    if (std::find(known.begin(), known.end(), key) == known.end())
      throw BadField{path + ": unknown field '" + std::string(key) + "'"};
  }
}

static const json::object &asObject(const json::value &in,
                                    const std::string &path) {
  if (!in.is_object())
    throw BadField{path + ": expected an object"};
  return in.get_object();
}

static std::string textOr(const json::object &in, std::string_view key,
                          const std::string &def, const std::string &path) {
  const json::value *it =
      in.if_contains(json::string_view(key.data(), key.size()));
  if (!it)
    return def;
  if (!it->is_string())
    throw BadField{path + "." + std::string(key) + ": expected a string"};
  return std::string(it->get_string());
}

static std::int64_t numberOr(const json::object &in, std::string_view key,
                             std::int64_t def, std::int64_t min,
                             std::int64_t max, const std::string &path) {
  const json::value *it =
      in.if_contains(json::string_view(key.data(), key.size()));
  if (!it)
    return def;
  boost::system::error_code ec;
  auto n = it->to_number<std::int64_t>(ec);
  if (ec || n < min || n > max)
    throw BadField{path + "." + std::string(key) +
                   ": expected a whole number from " + std::to_string(min) +
                   " to " + std::to_string(max)};
  return n;
}

static bool flagOr(const json::object &in, std::string_view key, bool def,
                   const std::string &path) {
  const json::value *it =
      in.if_contains(json::string_view(key.data(), key.size()));
  if (!it)
    return def;
  if (!it->is_bool())
    throw BadField{path + "." + std::string(key) + ": expected true or false"};
  return it->get_bool();
}

static Labels readLabels(const json::object &in, const std::string &path) {
  Labels labels;
  const json::value *it = in.if_contains("labels");
  if (!it)
    return labels;
  for (const auto &label : asObject(*it, path + ".labels")) {
    if (!label.value().is_string())
      throw BadField{path + ".labels: expected strings"};
    labels.emplace(std::string(label.key()),
                   std::string(label.value().get_string()));
  }
  return labels;
}

static WorkspaceConfig readWorkspace(const json::object &in,
                                     const std::string &path) {
  checkKeys(in, {"key_sha256", "weight", "labels"}, path);
  WorkspaceConfig out;
  out.KeyHash = textOr(in, "key_sha256", "", path);
  out.Weight =
      static_cast<std::uint32_t>(numberOr(in, "weight", 1, 1, 1000, path));
  out.OwnLabels = readLabels(in, path);
  return out;
}

static ServiceConfig readService(const json::object &in,
                                 const std::string &path) {
  checkKeys(in, {"kind", "repeatable", "labels"}, path);
  ServiceConfig out;
  std::string kind = textOr(in, "kind", "plain", path);
  if (kind != "plain" && kind != "model")
    throw BadField{path + ".kind: expected \"plain\" or \"model\""};
  out.Kind = kind == "model" ? ServiceKind::Model : ServiceKind::Plain;
  out.IsRetryable =
      flagOr(in, "repeatable", out.Kind == ServiceKind::Model, path);
  out.OwnLabels = readLabels(in, path);
  return out;
}

static EventConfig readEvent(const json::object &in, const std::string &path) {
  constexpr std::int64_t LatestUnix = 32503680000; // the year 3000
  constexpr std::int64_t LongestSeconds = 604800;  // a week
  checkKeys(in, {"start_unix", "duration_s", "selector", "priority", "labels"},
            path);
  EventConfig out;
  out.StartUnix = numberOr(in, "start_unix", 0, 0, LatestUnix, path);
  out.DurationSeconds = static_cast<std::uint32_t>(
      numberOr(in, "duration_s", 3600, 1, LongestSeconds, path));
  out.Selector = textOr(in, "selector", "", path);
  if (Result<Selector> selector = Selector::parse(out.Selector); !selector)
    throw BadField{path + ".selector: " + selector.error().Detail};
  out.Priority =
      static_cast<std::uint32_t>(numberOr(in, "priority", 1, 0, 10, path));
  out.OwnLabels = readLabels(in, path);
  return out;
}

static AuditEntry readAudit(const json::object &in, const std::string &path) {
  AuditEntry out;
  out.AtUnix = numberOr(in, "at_unix", 0, 0, INT64_MAX, path);
  out.Operator = textOr(in, "operator", "", path);
  out.ChangeId = textOr(in, "change_id", "", path);
  out.Change = textOr(in, "change", "", path);
  return out;
}

/// Reads every member of the object under \p key with \p read.
template <typename Map, typename Read>
static void readMap(const json::object &in, std::string_view key, Map &out,
                    Read read) {
  const json::value *it =
      in.if_contains(json::string_view(key.data(), key.size()));
  if (!it)
    return;
  for (const auto &member : asObject(*it, std::string(key))) {
    std::string name(member.key());
    std::string path = std::string(key) + "." + name;
    out.emplace(name, read(asObject(member.value(), path), path));
  }
}

static ConfigDocument readDocument(const json::value &in) {
  const json::object &top = asObject(in, "document");
  checkKeys(top, {"workspaces", "services", "groups", "events", "audit"},
            "document");
  ConfigDocument out;
  readMap(top, "workspaces", out.Workspaces, readWorkspace);
  readMap(top, "services", out.Services, readService);
  readMap(top, "groups", out.Groups, readLabels);
  readMap(top, "events", out.Events, readEvent);
  if (const json::value *audit = top.if_contains("audit")) {
    if (!audit->is_array())
      throw BadField{"audit: expected an array"};
    for (const json::value &it : audit->get_array())
      out.Audit.push_back(readAudit(asObject(it, "audit"), "audit"));
  }
  return out;
}

Result<ConfigDocument> ospreyspur::parseConfig(std::string_view text) {
  if (text.size() > MaxConfigBytes)
    return Error{ResultCode::ConfigTooLarge,
                 "the document has " + std::to_string(text.size()) +
                     " bytes, the limit is " + std::to_string(MaxConfigBytes)};
  boost::system::error_code ec;
  json::value in = json::parse(json::string_view(text.data(), text.size()), ec);
  if (ec)
    return Error{ResultCode::ConfigInvalid, "not JSON: " + ec.message()};
  try {
    return readDocument(in);
  } catch (const BadField &error) {
    return Error{ResultCode::ConfigInvalid, error.Detail};
  }
}

static json::object writeLabels(const Labels &labels) {
  json::object out;
  for (const auto &[key, value] : labels)
    out[key] = value;
  return out;
}

std::string ospreyspur::formatConfig(const ConfigDocument &document) {
  json::object workspaces;
  for (const auto &[name, it] : document.Workspaces)
    workspaces[name] = {{"key_sha256", it.KeyHash},
                        {"weight", it.Weight},
                        {"labels", writeLabels(it.OwnLabels)}};
  json::object services;
  for (const auto &[name, it] : document.Services)
    services[name] = {
        {"kind", it.Kind == ServiceKind::Model ? "model" : "plain"},
        {"repeatable", it.IsRetryable},
        {"labels", writeLabels(it.OwnLabels)}};
  json::object groups;
  for (const auto &[name, labels] : document.Groups)
    groups[name] = {{"labels", writeLabels(labels)}};
  json::object events;
  for (const auto &[name, it] : document.Events)
    events[name] = {{"start_unix", it.StartUnix},
                    {"duration_s", it.DurationSeconds},
                    {"selector", it.Selector},
                    {"priority", it.Priority},
                    {"labels", writeLabels(it.OwnLabels)}};
  json::array audit;
  for (const AuditEntry &it : document.Audit)
    audit.push_back({{"at_unix", it.AtUnix},
                     {"operator", it.Operator},
                     {"change_id", it.ChangeId},
                     {"change", it.Change}});
  json::object top{{"workspaces", workspaces},
                   {"services", services},
                   {"groups", groups},
                   {"events", events},
                   {"audit", audit}};
  return json::serialize(top);
}

static EndpointView readHost(const json::object &in) {
  EndpointView out;
  out.Id = EndpointId(textOr(in, "endpoint", "", "host"));
  out.Service = ServiceId(textOr(in, "service", "", "host"));
  out.DataCentre = DataCentreId(textOr(in, "data_centre", "", "host"));
  out.Address = textOr(in, "agent", "", "host");
  out.Group = GroupId(textOr(in, "group", "", "host"));
  out.IsLeaving = textOr(in, "state", "live", "host") != "live";
  Result<TcpAddress> address = parseAddress(out.Address);
  bool hasBadAddress =
      !out.Address.empty() && (!address || address.value().port() == 0);
  if (out.Id.get().empty() || hasBadAddress)
    throw BadField{"host '" + out.Id.get() +
                   "': no endpoint or an invalid address of its agent"};
  return out;
}

Result<HostList> ospreyspur::parseHosts(std::string_view text) {
  boost::system::error_code ec;
  json::value in = json::parse(json::string_view(text.data(), text.size()), ec);
  if (ec || !in.is_array())
    return Error{ResultCode::PlatformBadAnswer, "the host list is no array"};
  HostList out;
  for (const json::value &it : in.get_array()) {
    try {
      out.Endpoints.push_back(readHost(asObject(it, "host")));
    } catch (const BadField &error) {
      out.Skipped.push_back(error.Detail);
    }
  }
  return out;
}

RoutingSnapshot
ospreyspur::makeSnapshot(const ConfigDocument &document,
                         const std::vector<EndpointView> &endpoints,
                         std::int64_t nowUnix) {
  RoutingSnapshot out;
  for (const auto &[name, it] : document.Services)
    out.Services[ServiceId(name)] = {it.Kind, it.IsRetryable, {}};
  for (const EndpointView &it : endpoints) {
    auto service = out.Services.find(it.Service);
    if (service != out.Services.end())
      service->second.Endpoints.push_back(it);
  }
  for (const auto &[name, it] : document.Workspaces)
    out.WorkspacesByKeyHash[it.KeyHash] = {
        WorkspaceId(name), it.Weight,
        findPriority(document, it.OwnLabels, nowUnix)};
  return out;
}
