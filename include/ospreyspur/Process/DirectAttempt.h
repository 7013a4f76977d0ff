//===- DirectAttempt.h - one request at one endpoint ------------*- C++ -*-===//
//
// Sends a request to an endpoint, reads the response and forwards it to the
// caller as far as that is safe. The DirectNode decides on retries.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_DIRECTATTEMPT_H
#define OSPREYSPUR_PROCESS_DIRECTATTEMPT_H

#include "ospreyspur/Direct/EndpointResponse.h"
#include "ospreyspur/Http/HttpExchange.h"
#include "ospreyspur/Http/ResponseReader.h"
#include "ospreyspur/Process/DirectCall.h"
#include "ospreyspur/Process/HostTimer.h"
#include "ospreyspur/Support/ByteReservation.h"

#include <functional>
#include <memory>

namespace ospreyspur {

/// Callbacks of a running attempt.
struct AttemptHandlers {
  /// Whether the request may be written now.
  std::function<bool()> MaySend;
  /// A response head was received on the connection. Not called for status
  /// 421, which another incarnation of the endpoint sends. \p sentAt is when
  /// the request was sent, or empty if the head is not the endpoint's response
  /// to this request.
  std::function<void(const Pushback &, std::optional<TimePoint> sentAt)> OnHead;
  /// A part of the response was received.
  std::function<void()> OnData;
  /// Nothing was received for StartAttempt::MaxIdleTime. Called again each time
  /// that this period passes once more without data.
  std::function<void()> OnIdle;
  /// Whether the incarnation that sent the response is known to run after the
  /// end of the response. Called if the response ends with its connection.
  std::function<boost::asio::awaitable<bool>()> OutlivesResponse;
};

/// One attempt to run a request at one endpoint.
class DirectAttempt {
public:
  DirectAttempt(EndpointPool &pool, HttpExchange &exchange, DirectCall &call,
                const StartAttempt &order,
                std::shared_ptr<ByteBudget> responseBytes,
                AttemptHandlers handlers);

  /// Runs the attempt until it ends.
  boost::asio::awaitable<AttemptEnd> run();
  /// Whether the endpoint closed the connection early. Ours also if the
  /// connection is still open. Valid once run() has returned.
  ConnectionEnd connectionEnd() const { return ClosedBy; }
  /// Why the bytes received are no response; empty if they are one, or if the
  /// attempt ended for another reason. Valid once run() has returned.
  const std::string &syntaxError() const { return SyntaxError; }

private:
  boost::asio::awaitable<EndpointPool::Connection> open();
  boost::asio::awaitable<bool> send();
  boost::asio::awaitable<bool> readHead();
  /// How reading a body into memory ended.
  enum class BodyEnd : std::uint8_t { Complete, Broken, NoMemory };

  boost::asio::awaitable<BodyEnd> readBody(std::string &body);
  boost::asio::awaitable<bool> skipBody();
  boost::asio::awaitable<AttemptEnd> forwardInParts(std::string body);
  AttemptEnd endUnread();
  boost::asio::awaitable<bool> isCutAtEnd();
  boost::asio::awaitable<AttemptEnd> forwardComplete();
  boost::asio::awaitable<AttemptEnd> forwardEvents();
  boost::asio::awaitable<bool> forward(std::string events);
  boost::asio::awaitable<boost::system::error_code> readSome(std::string &data);
  bool holdIncompleteEvent();
  AttemptEnd abortAttempt() const;
  void recordError(const boost::system::error_code &ec);
  void startIdleTimer(Duration pause);
  void watchDeadline();
  void onIdleTimer();
  bool isOwnResponse() const;
  void returnUnused();
  void keepConnection();

  EndpointPool &Pool;
  HttpExchange &Exchange;
  DirectCall &Call;
  const StartAttempt &Order;
  AttemptHandlers Handlers;
  EndpointPool::Connection Connection;
  std::optional<HostTimer> IdleTimer;
  std::optional<HostTimer> DeadlineTimer;
  /// Expires with this object, which a timer's handler may outlive.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  /// When the current read from the endpoint began; empty while a part of the
  /// response is written to the caller.
  std::optional<TimePoint> ReadingSince;
  TimePoint SentAt;
  std::optional<ResponseReader> Reader;
  EndpointResponse Head;
  ConnectionEnd ClosedBy = ConnectionEnd::Ours;
  std::string SyntaxError;
  HttpResponse CallerHead;
  /// Memory of the response while it is held.
  ByteReservation HeldBytes;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_DIRECTATTEMPT_H
