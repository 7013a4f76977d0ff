//===- ListReader.cpp - the endpoint list as one value --------------------===//
//
// See ListReader.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Control/ListReader.h"

#include "ospreyspur/Direct/EndpointDocument.h"
#include "ospreyspur/Support/LogEvent.h"
#include "platform/EndpointWire.h"

#include <glog/logging.h>

using namespace ospreyspur;
namespace asio = boost::asio;

/// Each unreadable record is logged once, up to this number of records, because
/// the process that writes them may continue to do so.
static constexpr std::size_t MaxLoggedKeys = 100;

asio::awaitable<KvReply> ListReader::ask(Duration wait, Duration timeout) {
  // A first read may be stale: watches and peers bring what followed, as the
  // list is one state of the store and has that state's revision.
  if (SeenAt.get() == 0)
    co_return co_await readAll(true, timeout);
  KvCall watch = KvWatchList{platform::EndpointKeyPrefix, SeenAt, wait};
  KvReply page = co_await Platform.ask(std::move(watch), timeout);
  if (page.Code == ResultCode::PlatformHistoryGone)
    co_return co_await readAll(false, timeout);
  if (page.Code != ResultCode::Ok)
    co_return page;
  bool hasChanged = false;
  for (const KvItem &it : page.Items) {
    // The list reflects all changes up to SeenAt.
    if (it.At <= SeenAt)
      continue;
    applyItem(it);
    hasChanged = true;
  }
  SeenAt = std::max(SeenAt, page.SeenAt);
  if (!hasChanged) {
    page.Code = ResultCode::NotFound;
    co_return page;
  }
  co_return makeReply(false);
}

asio::awaitable<KvReply> ListReader::readAll(bool mayBeStale,
                                             Duration timeout) {
  KvCall call = KvList{platform::EndpointKeyPrefix, mayBeStale, true};
  KvReply list = co_await Platform.ask(std::move(call), timeout);
  if (list.Code != ResultCode::Ok)
    co_return list;
  Records.clear();
  for (const KvItem &it : list.Items)
    applyItem(it);
  SeenAt = list.SeenAt;
  co_return makeReply(list.MayBeStale);
}

void ListReader::applyItem(const KvItem &item) {
  if (item.IsRemoved) {
    Records.erase(item.Key);
    return;
  }
  Result<EndpointRecord> record = platform::readEndpoint(item);
  if (record) {
    Records[item.Key] = std::move(record.value());
    return;
  }
  // An unreadable record names no endpoint, even if the key named one before.
  Records.erase(item.Key);
  bool isNew =
      LoggedKeys.size() < MaxLoggedKeys && LoggedKeys.insert(item.Key).second;
  LOG_IF(ERROR, isNew) << LogEvent("endpoint.unreadable")
                              .with("key", item.Key)
                              .with("revision", item.At.get())
                              .with("code",
                                    static_cast<unsigned>(record.error().Code))
                              .with("detail", record.error().Detail);
}

KvReply ListReader::makeReply(bool mayBeStale) const {
  std::vector<EndpointRecord> records;
  for (const auto &[key, record] : Records)
    records.push_back(record);
  KvReply reply;
  reply.At = SeenAt;
  reply.SeenAt = SeenAt;
  reply.MayBeStale = mayBeStale;
  reply.Value = formatEndpoints(records);
  return reply;
}
