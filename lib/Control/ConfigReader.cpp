//===- ConfigReader.cpp - the operators' values as one value --------------===//
//
// See ConfigReader.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Control/ConfigReader.h"

#include "ospreyspur/Config/KeyFollower.h"
#include "ospreyspur/Support/LogEvent.h"
#include "platform/ConfigWire.h"

#include <glog/logging.h>

#include <algorithm>

using namespace ospreyspur;
namespace asio = boost::asio;

asio::awaitable<KvReply> ConfigReader::ask(const KeyFollower &copy,
                                           Duration wait, Duration timeout) {
  // A value from a peer reflects all changes up to its revision.
  if (copy.revision() > SeenAt)
    if (Result<OperatorState> state = parseOperatorState(copy.value())) {
      State = std::move(state.value());
      SeenAt = copy.revision();
    }
  // A first read may be stale: watches and peers bring what followed, as the
  // values are one state of the store and have that state's revision.
  if (SeenAt.get() == 0)
    co_return co_await readAll(true, timeout);
  KvCall watch = KvWatchList{platform::OperatorKeyPrefix, SeenAt, wait};
  KvReply page = co_await Platform.ask(std::move(watch), timeout);
  if (page.Code == ResultCode::PlatformHistoryGone)
    co_return co_await readAll(false, timeout);
  if (page.Code != ResultCode::Ok)
    co_return page;
  OperatorState before = State;
  Revision last;
  for (const KvItem &it : page.Items) {
    // State reflects all changes up to SeenAt.
    if (it.At <= SeenAt)
      continue;
    applyItem(it);
    last = std::max(last, it.At);
  }
  SeenAt = std::max(SeenAt, page.SeenAt);
  KvReply reply = makeReply(State != before, last);
  reply.HasWaitedInVain = page.HasWaitedInVain;
  co_return reply;
}

asio::awaitable<KvReply> ConfigReader::readAll(bool mayBeStale,
                                               Duration timeout) {
  KvCall call = KvList{platform::OperatorKeyPrefix, mayBeStale, true};
  KvReply list = co_await Platform.ask(std::move(call), timeout);
  if (list.Code != ResultCode::Ok)
    co_return list;
  OperatorState before = State;
  State.Drained.clear();
  Revision newest;
  for (const KvItem &it : list.Items) {
    applyItem(it);
    newest = std::max(newest, it.At);
  }
  SeenAt = list.SeenAt;
  KvReply reply =
      makeReply(State != before, revisionOfRead(before, State, newest, SeenAt));
  reply.MayBeStale = list.MayBeStale;
  co_return reply;
}

/// Skips a configuration that cannot be read, so that the one before it stays
/// in force and is the one that peers get.
void ConfigReader::applyItem(const KvItem &item) {
  if (item.Key == platform::ConfigDocumentKey && !item.IsRemoved) {
    Result<FleetConfig> config = platform::readConfig(item.Value);
    if (!config) {
      LOG(ERROR) << LogEvent("config.unreadable")
                        .with("revision", item.At.get())
                        .with("code",
                              static_cast<unsigned>(config.error().Code))
                        .with("detail", config.error().Detail);
      return;
    }
  }
  platform::applyOperatorItem(item, State);
}

KvReply ConfigReader::makeReply(bool hasChanged, Revision at) const {
  KvReply reply;
  reply.SeenAt = SeenAt;
  if (!hasChanged || State.Config.empty()) {
    reply.Code = ResultCode::NotFound;
    return reply;
  }
  reply.At = at;
  reply.Value = formatOperatorState(State);
  return reply;
}
