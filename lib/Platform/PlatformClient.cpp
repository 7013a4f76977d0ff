//===- PlatformClient.cpp - HTTP client of the key-value store ------------===//
//
// Maps each KvCall to the requests of the store: a write with a lease is a
// grant and a write, a list is a sequence of pages. GCC 12 destroys aggregates
// that are built inside a co_await expression twice, so each aggregate is a
// named variable.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Platform/PlatformClient.h"

#include "ospreyspur/Platform/ListSnapshot.h"
#include "ospreyspur/Support/LogEvent.h"
#include "ospreyspur/Support/Metrics.h"
#include "platform/StoreWire.h"

#include <boost/asio/co_spawn.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <memory>
#include <utility>

using namespace ospreyspur;
namespace asio = boost::asio;

/// Most pages read for one list, in case the store always reports another page.
static constexpr unsigned MaxPages = 200;

/// Most calls for the changes that some pages of a list do not reflect yet.
static constexpr unsigned MaxCatchUpCalls = 10;

static constexpr const char *WatchOperation = "watch";

static KvReply makeReply(ResultCode code) {
  KvReply reply;
  reply.Code = code;
  return reply;
}

PlatformClient::PlatformClient(asio::io_context &ioc, TcpAddress server,
                               Metrics &metrics)
    : Context(ioc), Client(ioc, std::move(server)), Measures(metrics) {}

void PlatformClient::call(KvCall call, Duration timeout, Handler handler) {
  auto exchange = [this, timeout, handler = std::move(handler)](
                      KvCall body) -> asio::awaitable<void> {
    handler(co_await ask(std::move(body), timeout));
  };
  // The captures of a coroutine lambda are destroyed with the lambda, so the
  // lambda is kept alive until the coroutine ends.
  auto kept = std::make_shared<decltype(exchange)>(std::move(exchange));
  asio::co_spawn(Context, (*kept)(std::move(call)),
                 [kept](const std::exception_ptr &) {});
}

asio::awaitable<KvReply> PlatformClient::ask(KvCall call, Duration timeout) {
  if (auto *it = std::get_if<KvGet>(&call))
    co_return co_await get(std::move(*it), timeout);
  if (auto *it = std::get_if<KvPut>(&call))
    co_return co_await put(std::move(*it), timeout);
  if (auto *it = std::get_if<KvRenew>(&call))
    co_return co_await renew(std::move(*it), timeout);
  if (auto *it = std::get_if<KvWatch>(&call))
    co_return co_await watch(std::move(*it), timeout);
  if (auto *it = std::get_if<KvList>(&call))
    co_return co_await list(std::move(*it), timeout);
  co_return co_await watchList(std::move(std::get<KvWatchList>(call)), timeout);
}

asio::awaitable<Result<HttpResponse>>
PlatformClient::exchange(Purpose purpose, HttpRequest request,
                         Duration timeout) {
  bool isWatch = purpose.Operation == WatchOperation;
  TimePoint sentAt = monotonicNow();
  Result<HttpResponse> response =
      co_await Client.call(std::move(request), timeout, ResendPolicy::Never,
                           isWatch ? MaxIdleBeforeWatch : Duration::max());
  TimePoint now = monotonicNow();
  Measures.count("store_calls_total");
  if (!response) {
    LostSince = LostSince.value_or(sentAt);
    recordLoss(purpose, response.error(), now - sentAt);
    co_return response;
  }
  recordResponse(now);
  if (!isWatch)
    Measures.observe("store_call_time", now - sentAt);
  co_return response;
}

void PlatformClient::recordLoss(const Purpose &purpose, const Error &error,
                                Duration waited) {
  ++LostCalls;
  Measures.count("store_calls_lost_total");
  LOG(WARNING) << LogEvent("store.call_lost")
                      .with("operation", purpose.Operation)
                      .with("key", purpose.Key)
                      .with("code", static_cast<unsigned>(error.Code))
                      .with("waited_ms", toMillis(waited))
                      .with("detail", error.Detail);
}

void PlatformClient::recordResponse(TimePoint now) {
  if (!LostSince)
    return;
  LOG(INFO) << LogEvent("store.regained")
                   .with("lost_calls", std::exchange(LostCalls, 0))
                   .with("lost_ms", toMillis(now - *LostSince));
  LostSince.reset();
}

asio::awaitable<KvReply> PlatformClient::get(KvGet call, Duration timeout) {
  HttpRequest request = platform::makeGet(call.Key, call.MayBeStale);
  Purpose purpose{"get", call.Key};
  Result<HttpResponse> response =
      co_await exchange(std::move(purpose), std::move(request), timeout);
  if (!response)
    co_return makeReply(response.error().Code);
  ResultCode code = platform::readStatus(response.value());
  if (code != ResultCode::Ok)
    co_return makeReply(code);
  Result<KvReply> reply = platform::readItem(response.value());
  if (!reply)
    co_return makeReply(reply.error().Code);
  reply.value().MayBeStale = call.MayBeStale;
  co_return std::move(reply.value());
}

asio::awaitable<KvReply> PlatformClient::put(KvPut call, Duration timeout) {
  platform::StoreLease lease;
  if (call.Lease > Duration::zero()) {
    HttpRequest grant = platform::makeLeaseGrant(call.Lease);
    Purpose purpose{"grant", call.Key};
    Result<HttpResponse> granted =
        co_await exchange(std::move(purpose), std::move(grant), timeout);
    // Nothing was written, and a granted lease without a key expires.
    if (!granted)
      co_return makeReply(ResultCode::PlatformRefused);
    Result<platform::StoreLease> read = platform::readGrant(granted.value());
    if (granted.value().result_int() != 200 || !read)
      co_return makeReply(ResultCode::PlatformRefused);
    lease = read.value();
  }
  platform::StoreWrite write{call.Key, call.Value, call.Expected, lease};
  HttpRequest request = platform::makeWrite(write);
  Purpose purpose{"put", call.Key};
  Result<HttpResponse> response =
      co_await exchange(std::move(purpose), std::move(request), timeout);
  if (!response)
    co_return makeReply(response.error().Code);
  KvReply reply;
  reply.Code = platform::readStatus(response.value());
  if (reply.Code == ResultCode::PlatformConflict) {
    Result<KvItem> present = platform::readConflict(response.value());
    if (!present)
      co_return makeReply(present.error().Code);
    reply.At = present.value().At;
    reply.Value = present.value().Value;
  }
  if (reply.Code != ResultCode::Ok)
    co_return reply;
  Result<Revision> written = platform::readWrittenRevision(response.value());
  if (!written)
    co_return makeReply(written.error().Code);
  reply.At = written.value();
  if (lease.get() > 0)
    Leases[call.Key] = {reply.At, lease};
  co_return reply;
}

asio::awaitable<KvReply> PlatformClient::renew(KvRenew call, Duration timeout) {
  auto it = Leases.find(call.Key);
  if (it == Leases.end() || it->second.WrittenRevision != call.WrittenRevision)
    co_return makeReply(ResultCode::NotFound);
  HttpRequest request = platform::makeLeaseRenewal(it->second.Lease);
  Purpose purpose{"renew", call.Key};
  Result<HttpResponse> response =
      co_await exchange(std::move(purpose), std::move(request), timeout);
  if (!response)
    co_return makeReply(response.error().Code);
  KvReply reply = makeReply(platform::readStatus(response.value()));
  reply.At = call.WrittenRevision;
  if (reply.Code == ResultCode::NotFound)
    Leases.erase(call.Key);
  co_return reply;
}

asio::awaitable<KvReply> PlatformClient::watch(KvWatch call, Duration timeout) {
  KvGet present{call.Key, false};
  if (call.After.get() == 0)
    co_return co_await get(std::move(present), timeout);
  KvWatchList watch{call.Key, call.After, call.Wait};
  KvReply page = co_await watchList(std::move(watch), timeout);
  if (page.Code == ResultCode::PlatformHistoryGone)
    co_return co_await get(std::move(present), timeout);
  if (page.Code != ResultCode::Ok)
    co_return page;
  KvReply reply = makeReply(ResultCode::NotFound);
  reply.SeenAt = page.SeenAt;
  reply.HasWaitedInVain = page.HasWaitedInVain;
  for (KvItem &it : page.Items) {
    if (it.Key != call.Key || it.IsRemoved)
      continue;
    reply.Code = ResultCode::Ok;
    reply.At = it.At;
    reply.Value = std::move(it.Value);
  }
  co_return reply;
}

asio::awaitable<KvReply> PlatformClient::list(KvList call, Duration timeout) {
  ListSnapshot snapshot;
  std::string last;
  for (unsigned i = 0; i < MaxPages; ++i) {
    HttpRequest request =
        platform::makeList(call.Prefix, last, call.MayBeStale);
    Purpose purpose{"list", call.Prefix};
    Result<HttpResponse> response =
        co_await exchange(std::move(purpose), std::move(request), timeout);
    if (!response)
      co_return makeReply(response.error().Code);
    ResultCode code = platform::readStatus(response.value());
    if (code != ResultCode::Ok)
      co_return makeReply(code);
    Result<platform::StorePage> page = platform::readPage(response.value());
    if (!page)
      co_return makeReply(page.error().Code);
    bool isLast = !page.value().HasMore || page.value().Items.empty();
    if (!page.value().Items.empty())
      last = page.value().Items.back().Key;
    snapshot.addPage(std::move(page.value().Items), page.value().SeenAt);
    if (isLast)
      break;
  }
  KvReply reply;
  reply.MayBeStale = call.MayBeStale;
  if (call.MustBeSnapshot && !snapshot.isConsistent()) {
    reply.Code = co_await catchUp(snapshot, call.Prefix, timeout);
    reply.MayBeStale = false;
    if (reply.Code == ResultCode::PlatformHistoryGone && call.MayBeStale) {
      call.MayBeStale = false;
      co_return co_await list(std::move(call), timeout);
    }
    if (reply.Code != ResultCode::Ok)
      co_return reply;
  }
  reply.SeenAt = snapshot.revision();
  reply.Items = snapshot.items();
  co_return reply;
}

/// Brings all pages of \p snapshot to one revision.
asio::awaitable<ResultCode> PlatformClient::catchUp(ListSnapshot &snapshot,
                                                    std::string prefix,
                                                    Duration timeout) {
  for (unsigned i = 0; i < MaxCatchUpCalls; ++i) {
    KvWatchList missed{prefix, snapshot.revision(), Duration::zero()};
    KvReply changes = co_await watchList(std::move(missed), timeout);
    if (changes.Code != ResultCode::Ok)
      co_return changes.Code;
    LOG(INFO) << LogEvent("store.list_caught_up")
                     .with("key", prefix)
                     .with("from", snapshot.revision().get())
                     .with("to", changes.SeenAt.get())
                     .with("changes", changes.Items.size());
    Measures.count("store_lists_caught_up_total");
    snapshot.applyChanges(std::move(changes.Items), changes.SeenAt);
    if (snapshot.isConsistent())
      co_return ResultCode::Ok;
  }
  co_return ResultCode::PlatformBadAnswer;
}

asio::awaitable<KvReply> PlatformClient::watchList(KvWatchList call,
                                                   Duration timeout) {
  HttpRequest request = platform::makeWatch(call.Prefix, call.After, call.Wait);
  Purpose purpose{WatchOperation, call.Prefix};
  if (call.Wait > Duration::zero())
    timeout = call.Wait + std::min(timeout, WatchReplyTimeout);
  Result<HttpResponse> response =
      co_await exchange(std::move(purpose), std::move(request), timeout);
  if (!response)
    co_return makeReply(response.error().Code);
  KvReply reply = makeReply(platform::readStatus(response.value()));
  if (reply.Code != ResultCode::Ok)
    co_return reply;
  Result<platform::StorePage> page = platform::readPage(response.value());
  if (!page)
    co_return makeReply(page.error().Code);
  reply.SeenAt = page.value().SeenAt;
  reply.Items = std::move(page.value().Items);
  reply.HasWaitedInVain = reply.Items.empty();
  co_return reply;
}
