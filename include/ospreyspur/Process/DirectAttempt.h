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

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <functional>

namespace ospreyspur {

/// One attempt.
class DirectAttempt {
public:
  /// \p onData runs whenever a part of the answer came.
  DirectAttempt(EndpointPool &pool, HttpExchange &exchange, DirectCall &call,
                const StartAttempt &order, std::function<void()> onData);

  /// Runs to the end.
  boost::asio::awaitable<AttemptEnd> run();

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
  boost::asio::awaitable<boost::system::error_code> readSome(std::string &data,
                                                             TimePoint until);
  AttemptEnd endOfBroken() const;
  TimePoint stallLimit() const;
  void keepConnection();

  EndpointPool &Pool;
  HttpExchange &Exchange;
  DirectCall &Call;
  const StartAttempt &Order;
  std::function<void()> OnData;
  EndpointPool::Connection Connection;
  std::optional<Parser> Answer;
  EndpointAnswer Head;
  HttpResponse CallerHead;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_DIRECTATTEMPT_H
