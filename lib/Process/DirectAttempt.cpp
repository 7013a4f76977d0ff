//===- DirectAttempt.cpp - one request at one endpoint --------------------===//
//
// Responses other than event streams are read completely before they are
// forwarded, so that a broken one can still be replaced by a retry. While the
// process holds as many bytes of responses as it may, further ones are
// forwarded as they arrive. Events are forwarded one by one.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/DirectAttempt.h"

#include "platform/RequestWire.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

using namespace ospreyspur;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

static constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
/// A connection inside a region is established within milliseconds; a lost SYN
/// packet is retransmitted after a second.
static constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
/// Responses to other requests that are skipped on one connection.
static constexpr unsigned MaxForeignResponses = 2;
static constexpr ResponseLimits Limits{64U << 10U, 16U << 20U};
/// An incomplete event up to this size is not counted as held memory.
static constexpr std::size_t MaxUncountedEventBytes = 64U << 10U;
static_assert(ResponseReader::bufferBytes(Limits) <=
              EndpointConnection::MaxBufferBytes);

DirectAttempt::DirectAttempt(EndpointPool &pool, HttpExchange &exchange,
                             DirectCall &call, const StartAttempt &order,
                             std::shared_ptr<ByteBudget> responseBytes,
                             AttemptHandlers handlers)
    : Pool(pool), Exchange(exchange), Call(call), Order(order),
      Handlers(std::move(handlers)), HeldBytes(std::move(responseBytes)) {}

asio::awaitable<AttemptEnd> DirectAttempt::run() {
  Connection = co_await open();
  if (!Connection)
    co_return AttemptEnd::NeverSent;
  struct Registration {
    DirectCall &Call;
    ~Registration() { Call.Connection = nullptr; }
  } registration{Call};
  Call.Connection = Connection.get();
  if (Call.IsCallerGone)
    co_return AttemptEnd::NeverSent;
  if (!Handlers.MaySend()) {
    returnUnused();
    co_return AttemptEnd::Withheld;
  }
  // The stream's timeouts use a clock that stops while the host is suspended;
  // HostTimers are used instead.
  Connection->Stream.expires_never();
  watchDeadline();
  IdleTimer.emplace(Connection->Stream.get_executor());
  startIdleTimer(Order.MaxIdleTime);
  if (!co_await send() || !co_await readHead())
    co_return abortAttempt();
  bool isSuccess = Head.Status >= 200 && Head.Status < 300;
  if (Head.IsEvents && isSuccess && Head.Kind == ResponseKind::Own)
    co_return co_await forwardEvents();
  co_return co_await forwardComplete();
}

/// Requests that must not run twice are sent on a new connection, as the
/// endpoint may close a kept one at the moment the request is sent.
asio::awaitable<EndpointPool::Connection> DirectAttempt::open() {
  if (Call.Request.Route->isRepeatable() && !Call.HasLostAttempt)
    if (auto kept = Pool.takeIdle(Order.Endpoint.Id, monotonicNow()))
      co_return kept;
  co_return co_await Pool.connect(Order.Endpoint.Address, ConnectTimeout);
}

asio::awaitable<bool> DirectAttempt::send() {
  platform::EndpointRequest request = platform::makeEndpointRequest(
      Exchange.request(),
      {Order.Endpoint.Name, Call.Request.Workspace,
       Order.Deadline - monotonicNow(), Call.Events.lastId()});
  SentAt = monotonicNow();
  auto [ec, n] =
      co_await http::async_write(Connection->Stream, request, AsTuple);
  recordError(ec);
  co_return !ec;
}

/// Reads response heads until one belongs to this request.
asio::awaitable<bool> DirectAttempt::readHead() {
  Reader.emplace(Connection->Stream, Connection->Buffer,
                 Exchange.request().method(), Limits);
  for (unsigned i = 0; i <= MaxForeignResponses; ++i) {
    ReadingSince = monotonicNow();
    boost::system::error_code ec = co_await Reader->readHead();
    ReadingSince.reset();
    recordError(ec);
    if (ec)
      co_return false;
    HttpResponse head;
    head.base() = Reader->head();
    Head = platform::parseEndpointResponse(head, Call.Request.Label);
    Call.LastPushback = Head.ReceivedPushback;
    if (Head.Kind != ResponseKind::OtherIncarnation)
      Handlers.OnHead(Head.ReceivedPushback,
                      isOwnResponse() ? std::optional(SentAt) : std::nullopt);
    if (Head.Kind != ResponseKind::Foreign) {
      CallerHead = platform::makeCallerResponseHead(head);
      co_return true;
    }
    if (!co_await skipBody())
      co_return false;
  }
  co_return false;
}

/// Closes the connection when the caller's deadline has passed.
void DirectAttempt::watchDeadline() {
  DeadlineTimer.emplace(Connection->Stream.get_executor());
  DeadlineTimer->expires_at(Order.Deadline);
  DeadlineTimer->async_wait(
      [this, alive = std::weak_ptr<bool>(Alive)](boost::system::error_code ec) {
        if (!ec && !alive.expired() && Connection)
          Connection->Stream.close();
      });
}

/// Checks after \p pause how long the endpoint has sent nothing. An idle period
/// alone ends no attempt, as the endpoint may continue, and only the DirectNode
/// knows whether the request can migrate to another endpoint.
void DirectAttempt::startIdleTimer(Duration pause) {
  if (!Call.Request.Route->isRepeatable() ||
      Order.MaxIdleTime <= Duration::zero())
    return;
  IdleTimer->expires_after(pause);
  IdleTimer->async_wait(
      [this, alive = std::weak_ptr<bool>(Alive)](boost::system::error_code ec) {
        if (!ec && !alive.expired())
          onIdleTimer();
      });
}

void DirectAttempt::onIdleTimer() {
  TimePoint now = monotonicNow();
  Duration idle = ReadingSince ? now - *ReadingSince : Duration::zero();
  if (idle < Order.MaxIdleTime) {
    startIdleTimer(Order.MaxIdleTime - idle);
    return;
  }
  startIdleTimer(Order.MaxIdleTime);
  Handlers.OnIdle();
}

asio::awaitable<boost::system::error_code>
DirectAttempt::readSome(std::string &data) {
  ReadingSince = monotonicNow();
  boost::system::error_code ec = co_await Reader->readChunk(data);
  ReadingSince.reset();
  recordError(ec);
  co_return ec;
}

asio::awaitable<DirectAttempt::BodyEnd>
DirectAttempt::readBody(std::string &body) {
  while (!Reader->isDone()) {
    std::string data;
    auto ec = co_await readSome(data);
    body += data;
    if (ec)
      co_return BodyEnd::Broken;
    if (!HeldBytes.grow(data.size()))
      co_return BodyEnd::NoMemory;
  }
  co_return BodyEnd::Complete;
}

asio::awaitable<bool> DirectAttempt::skipBody() {
  while (!Reader->isDone()) {
    std::string data;
    if (co_await readSome(data))
      co_return false;
  }
  co_return true;
}

/// Whether a response without a length or chunks may have been cut off. The
/// connection of an endpoint that crashes ends like that of one that has sent
/// the whole response.
asio::awaitable<bool> DirectAttempt::isCutAtEnd() {
  if (!Reader->endsWithConnection())
    co_return false;
  bool outlivesResponse = co_await Handlers.OutlivesResponse();
  if (outlivesResponse)
    co_return false;
  ClosedBy = ConnectionEnd::Endpoint;
  co_return true;
}

asio::awaitable<AttemptEnd> DirectAttempt::forwardComplete() {
  std::string body;
  BodyEnd bodyEnd = co_await readBody(body);
  bool isComplete = bodyEnd == BodyEnd::Complete;
  if (bodyEnd == BodyEnd::NoMemory && Head.Kind == ResponseKind::Own &&
      !Exchange.hasBegun())
    co_return co_await forwardInParts(std::move(body));
  // No body is forwarded of the other responses.
  if (Head.Kind == ResponseKind::Own || Head.Kind == ResponseKind::Failed)
    isComplete = isComplete && !co_await isCutAtEnd();
  switch (Head.Kind) {
  case ResponseKind::Full:
    if (isComplete)
      keepConnection();
    co_return AttemptEnd::Full;
  case ResponseKind::OtherIncarnation:
    co_return AttemptEnd::OtherIncarnation;
  case ResponseKind::Foreign:
  case ResponseKind::Unusable:
    co_return abortAttempt();
  case ResponseKind::Own:
  case ResponseKind::Failed:
    break;
  }
  if (!isComplete)
    co_return abortAttempt();
  keepConnection();
  Call.Status = Head.Status;
  CallerHead.body() = std::move(body);
  if (Head.Kind == ResponseKind::Failed || Exchange.hasBegun()) {
    Call.FailedResponse = std::move(CallerHead);
    co_return AttemptEnd::Failed;
  }
  Handlers.OnData();
  co_await Exchange.respond(std::move(CallerHead));
  co_return AttemptEnd::Complete;
}

/// Forwards a response as it arrives; \p body is what has arrived. A retry can
/// no longer replace it if it breaks.
asio::awaitable<AttemptEnd> DirectAttempt::forwardInParts(std::string body) {
  if (!co_await forward(std::move(body)))
    co_return endUnread();
  HeldBytes.reset();
  while (!Reader->isDone()) {
    std::string data;
    auto ec = co_await readSome(data);
    if (!data.empty() && !co_await forward(std::move(data)))
      co_return endUnread();
    if (ec)
      co_return abortAttempt();
  }
  if (co_await isCutAtEnd())
    co_return abortAttempt();
  keepConnection();
  Call.Status = Head.Status;
  co_await Exchange.endStream();
  co_return AttemptEnd::Complete;
}

/// The result of an attempt whose response the caller does not read, which is
/// not the endpoint's fault.
AttemptEnd DirectAttempt::endUnread() {
  if (!Call.IsCallerGone)
    Call.Inbox.post(CallerGone{Call.Request.Id});
  Call.IsCallerGone = true;
  return AttemptEnd::BrokeOff;
}

asio::awaitable<AttemptEnd> DirectAttempt::forwardEvents() {
  while (!Reader->isDone()) {
    std::string data;
    auto ec = co_await readSome(data);
    std::string events = Call.Events.add(data);
    if (!events.empty() && !co_await forward(std::move(events)))
      co_return endUnread();
    if (ec || !holdIncompleteEvent())
      co_return abortAttempt();
  }
  if (Call.Events.hasIncompleteEvent() || co_await isCutAtEnd())
    co_return abortAttempt();
  keepConnection();
  if (!Exchange.hasBegun())
    co_await Exchange.beginStream(CallerHead);
  Call.Status = Head.Status;
  co_await Exchange.endStream();
  co_return AttemptEnd::Complete;
}

/// Takes memory for an incomplete event that is large; false if there is none.
bool DirectAttempt::holdIncompleteEvent() {
  std::size_t n = Call.Events.bufferedBytes();
  if (n <= MaxUncountedEventBytes) {
    HeldBytes.reset();
    return true;
  }
  return n <= HeldBytes.held() || HeldBytes.grow(n - HeldBytes.held());
}

asio::awaitable<bool> DirectAttempt::forward(std::string events) {
  Handlers.OnData();
  if (!Exchange.hasBegun() && !co_await Exchange.beginStream(CallerHead))
    co_return false;
  bool isSent = co_await Exchange.writeStream(std::move(events));
  co_return isSent && !Call.IsCallerGone;
}

/// Records if \p ec shows that the endpoint closed or reset the connection, or
/// sent no response. A connection closed by this process gives other errors.
void DirectAttempt::recordError(const boost::system::error_code &ec) {
  if (ec == asio::error::eof || ec == asio::error::connection_reset ||
      ec == asio::error::broken_pipe || ec == http::error::end_of_stream ||
      ec == http::error::partial_message)
    ClosedBy = ConnectionEnd::Endpoint;
  if (ResponseReader::isSyntaxError(ec))
    SyntaxError = ec.message();
}

/// The result of an attempt without a usable complete response. Drops a partial
/// event, as the next endpoint sends it from its start.
AttemptEnd DirectAttempt::abortAttempt() const {
  Call.Events.dropIncompleteEvent();
  return Exchange.hasBegun() ? AttemptEnd::BrokeOff : AttemptEnd::Lost;
}

bool DirectAttempt::isOwnResponse() const {
  return Head.Kind == ResponseKind::Own || Head.Kind == ResponseKind::Failed ||
         Head.Kind == ResponseKind::Full;
}

/// Returns a connection on which nothing was sent to the pool.
void DirectAttempt::returnUnused() {
  Call.Connection = nullptr;
  Connection->Stream.expires_never();
  Pool.keep(Order.Endpoint.Id, std::move(Connection), std::nullopt,
            monotonicNow());
}

void DirectAttempt::keepConnection() {
  if (!Reader->mayKeepConnection())
    return;
  Call.Connection = nullptr;
  Pool.keep(Order.Endpoint.Id, std::move(Connection), Head.KeepAlive,
            monotonicNow());
}
