//===- NodeRegistry.cpp - registry of running processes -------------------===//
//
// A record is a JSON object; one that cannot be parsed is skipped.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/NodeRegistry.h"

#include "ospreyspur/Support/Address.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

using namespace ospreyspur;
namespace json = boost::json;

static constexpr char NodePrefix[] = "ospreyspur/nodes/";

static std::string formatNode(const NodeRecord &node) {
  return json::serialize(json::object{{"data_centre", node.DataCentre.get()},
                                      {"links", node.LinkAddress},
                                      {"loads", node.LoadAddress}});
}

static bool isReachable(const std::string &address) {
  Result<TcpAddress> parsed = parseAddress(address);
  return parsed && parsed.value().port() != 0;
}

static std::optional<NodeRecord> parseNode(const KvItem &item) {
  boost::system::error_code ec;
  json::value body = json::parse(item.Value, ec);
  if (ec || !body.is_object())
    return std::nullopt;
  const json::object &in = body.get_object();
  auto textOf = [&](const char *name) {
    const json::value *it = in.if_contains(name);
    return it && it->is_string() ? std::string(it->get_string())
                                 : std::string();
  };
  NodeRecord out{item.Key.substr(sizeof(NodePrefix) - 1),
                 DataCentreId(textOf("data_centre")), textOf("links"),
                 textOf("loads")};
  bool isValid = !out.Name.empty() && isReachable(out.LinkAddress) &&
                 (out.LoadAddress.empty() || isReachable(out.LoadAddress));
  return isValid ? std::optional(std::move(out)) : std::nullopt;
}

std::string NodeRegistry::ownKey() const { return NodePrefix + Self.Name; }

std::optional<KvCall> NodeRegistry::nextWrite(TimePoint now) {
  if (IsWriting || now < WriteAt)
    return std::nullopt;
  IsWriting = true;
  WriteAt = now + RenewEvery;
  if (OwnRevision.get() > 0)
    return KvRenew{ownKey(), OwnRevision};
  return KvPut{ownKey(), formatNode(Self), ExpectedRevision, LeaseSpan};
}

void NodeRegistry::onWritten(const KvReply &reply, TimePoint now) {
  IsWriting = false;
  if (reply.Code == ResultCode::Ok) {
    OwnRevision = reply.At;
    RetryDelay = MinRetryDelay;
    WriteAt = now + RenewEvery;
    return;
  }
  // Either a record of an earlier incarnation is in the way, or this process's
  // own record is gone.
  bool isRecordGone =
      OwnRevision.get() > 0 && reply.Code == ResultCode::NotFound;
  if (isRecordGone)
    OwnRevision = ExpectedRevision = Revision(0);
  if (reply.Code == ResultCode::PlatformConflict)
    ExpectedRevision = reply.At;
  RetryDelay = std::min(RetryDelay * 2, MaxRetryDelay);
  WriteAt = now + (isRecordGone ? MinRetryDelay : RetryDelay);
}

Duration NodeRegistry::readInterval() const {
  if (Reads < FirstReads)
    return FirstReadEvery;
  return ReadEvery * std::max(Nodes.size(), UsualFleet) / UsualFleet;
}

std::optional<KvCall> NodeRegistry::nextRead(TimePoint now) {
  if (IsReading || now < ReadAt)
    return std::nullopt;
  IsReading = true;
  ReadAt = now + readInterval();
  ++Reads;
  // Records of different ages do no harm: a vanished one is kept for longer
  // than a stale read is old.
  return KvList{NodePrefix, true};
}

bool NodeRegistry::onRead(const KvReply &reply, TimePoint now) {
  IsReading = false;
  if (reply.Code != ResultCode::Ok)
    return false;
  bool hasChanged = !std::exchange(HasRead, true);
  for (const KvItem &item : reply.Items) {
    if (item.Key == ownKey())
      continue;
    std::optional<NodeRecord> node = parseNode(item);
    if (!node) {
      if (Skipped.size() < MaxSkippedKeys && Skipped.insert(item.Key).second)
        NewlySkipped.push_back(item.Key);
      continue;
    }
    Known &known = Nodes[node->Name];
    hasChanged = hasChanged || known.Record != *node;
    known = {std::move(*node), now};
  }
  auto dropped = std::erase_if(Nodes, [now](const auto &it) {
    return now - it.second.SeenAt > VanishedGrace;
  });
  return hasChanged || dropped > 0;
}

std::vector<NodeRecord> NodeRegistry::others() const {
  std::vector<NodeRecord> out;
  for (const auto &[name, known] : Nodes)
    out.push_back(known.Record);
  return out;
}
