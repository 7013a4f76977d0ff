//===- ConfigChange.cpp - one operator's change ---------------------------===//
//
// Edits the document as JSON and validates the result with parseConfig(), so
// that no change can produce a document that processes would reject.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Config/ConfigChange.h"

#include "ospreyspur/Config/ConfigDocument.h"
#include "ospreyspur/Support/Digest.h"

#include <boost/json.hpp>

using namespace ospreyspur;
namespace json = boost::json;

static constexpr std::size_t TagLength = 16;
static constexpr std::size_t MaxNameLength = 128;

static json::object parseDocument(const std::string &text) {
  boost::system::error_code ec;
  json::value in = json::parse(text, ec);
  return !ec && in.is_object() ? in.get_object() : json::object();
}

/// The object \p name of \p section, or null.
static const json::value *findObject(const json::object &document,
                                     const std::string &section,
                                     const std::string &name) {
  const json::value *objects = document.if_contains(section);
  if (!objects || !objects->is_object())
    return nullptr;
  return objects->get_object().if_contains(name);
}

std::string ospreyspur::objectTag(const std::string &object) {
  return sha256Hex(object).substr(0, TagLength);
}

static void addAuditEntry(json::object &document, const ConfigChange &change) {
  json::value &audit = document["audit"];
  if (!audit.is_array())
    audit = json::array();
  json::array &entries = audit.get_array();
  std::string what = change.Body ? "put " : "delete ";
  entries.push_back({{"at_unix", change.AtUnix},
                     {"operator", change.Operator},
                     {"change_id", change.ChangeId},
                     {"change", what + change.Section + "/" + change.Name}});
  if (entries.size() > MaxAuditEntries)
    entries.erase(entries.begin());
}

Result<std::string> ospreyspur::applyChange(const std::string &text,
                                            const ConfigChange &change) {
  const std::string &section = change.Section;
  bool isKnown = section == "workspaces" || section == "services" ||
                 section == "groups" || section == "events";
  if (!isKnown || change.Name.empty() || change.Name.size() > MaxNameLength)
    return Error{ResultCode::NotFound, "no such object"};
  json::object document = parseDocument(text);
  const json::value *present = findObject(document, section, change.Name);
  std::string tag =
      present ? objectTag(json::serialize(*present)) : std::string(AbsentTag);
  if (change.IfMatch && *change.IfMatch != tag)
    return Error{ResultCode::ConfigConflict,
                 "the object has tag " + tag + " now"};
  if (!change.Body && !present)
    return Error{ResultCode::NotFound, "no such object"};

  json::value &objects = document[section];
  if (!objects.is_object())
    objects = json::object();
  if (change.Body) {
    boost::system::error_code ec;
    json::value body = json::parse(*change.Body, ec);
    if (ec)
      return Error{ResultCode::ConfigInvalid, "not JSON: " + ec.message()};
    objects.get_object()[change.Name] = std::move(body);
  } else {
    objects.get_object().erase(change.Name);
  }
  addAuditEntry(document, change);
  std::string next = json::serialize(document);
  Result<ConfigDocument> parsed = parseConfig(next);
  if (!parsed)
    return parsed.error();
  return next;
}

bool ospreyspur::hasChange(const std::string &text,
                           const std::string &changeId) {
  Result<ConfigDocument> document = parseConfig(text);
  if (!document)
    return false;
  for (const AuditEntry &it : document.value().Audit)
    if (it.ChangeId == changeId)
      return true;
  return false;
}

Result<std::string> ospreyspur::readObject(const std::string &text,
                                           const std::string &section,
                                           const std::string &name) {
  json::object document = parseDocument(text);
  const json::value *object = findObject(document, section, name);
  if (!object)
    return Error{ResultCode::NotFound, "no such object"};
  return json::serialize(*object);
}

std::string ospreyspur::readAuditEntries(const std::string &text) {
  json::object document = parseDocument(text);
  const json::value *audit = document.if_contains("audit");
  return audit ? json::serialize(*audit) : "[]";
}
