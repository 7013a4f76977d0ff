//===- DirectAttempt.h - one request at one endpoint ------------*- C++ -*-===//
//
// Sends a request to an endpoint, reads the answer and passes it on as far as
// that is safe. What follows is for the DirectNode.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_DIRECTATTEMPT_H
#define OSPREYSPUR_PROCESS_DIRECTATTEMPT_H

#include "ospreyspur/Direct/EndpointAnswer.h"
#include "ospreyspur/Http/HttpExchange.h"
#include "ospreyspur/Process/DirectCall.h"
#include "ospreyspur/Process/HostTimer.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>

namespace ospreyspur {

/// What an attempt tells while it runs.
struct AttemptHandlers {
  /// Whether the request may be written now.
  std::function<bool()> MaySend;
  /// The head of an answer came on the connection. \p sentAt is when the
  /// request that it answers was sent, if it is the endpoint's answer to this
  /// one.
  std::function<void(const Pushback &, std::optional<TimePoint> sentAt)> OnHead;
  /// A part of the answer came.
  std::function<void()> OnData;
  /// Nothing has come for the order's silence, and once more each time it
  /// passes again.
  std::function<void()> OnSilence;
};

/// One attempt.
class DirectAttempt {
public:
  DirectAttempt(EndpointPool &pool, HttpExchange &exchange, DirectCall &call,
                const StartAttempt &order, AttemptHandlers handlers);

  /// Runs to the end.
  boost::asio::awaitable<AttemptEnd> run();
  /// Who ended the connection, once it has run.
  ConnectionEnd connectionEnd() const { return Ended; }

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  boost::asio::awaitable<EndpointPool::Connection> open();
  boost::asio::awaitable<bool> send();
  boost::asio::awaitable<bool> readHead();
  boost::asio::awaitable<bool> readBody(std::string &body);
  boost::asio::awaitable<AttemptEnd> passOnWhole();
  boost::asio::awaitable<AttemptEnd> passOnEvents();
  boost::asio::awaitable<bool> passOn(std::string events);
  boost::asio::awaitable<boost::system::error_code> readSome(std::string &data);
  AttemptEnd endOfBroken() const;
  void noteError(const boost::system::error_code &ec);
  void watchSilence(Duration pause);
  void watchDeadline();
  void onSilenceTimer();
  bool isOwnAnswer() const;
  void returnUnused();
  void keepConnection();

  EndpointPool &Pool;
  HttpExchange &Exchange;
  DirectCall &Call;
  const StartAttempt &Order;
  AttemptHandlers Handlers;
  EndpointPool::Connection Connection;
  std::optional<HostTimer> SilenceTimer;
  std::optional<HostTimer> DeadlineTimer;
  /// Gone with this object, which a timer's handler may outlive.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  /// Since when the endpoint is waited for; nothing while a part of the answer
  /// is on its way to the caller.
  std::optional<TimePoint> ReadingSince;
  TimePoint SentAt;
  std::optional<Parser> Answer;
  EndpointAnswer Head;
  ConnectionEnd Ended = ConnectionEnd::Ours;
  HttpResponse CallerHead;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_DIRECTATTEMPT_H
