//===- OperatorClient.cpp - the operators' commands -----------------------===//
//
// A thin HTTP client; the admin port validates and executes the command.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/OperatorClient.h"

#include "ospreyspur/Http/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/verb.hpp>

#include <iostream>

using namespace ospreyspur;
namespace asio = boost::asio;
namespace http = boost::beast::http;

static constexpr Duration Timeout = std::chrono::seconds(10);
static constexpr int Refused = 1;
static constexpr int WrongCommand = 2;
static constexpr int FateUnknown = 3;
static constexpr unsigned GatewayTimeout = 504;

static HttpRequest makeRequest(const OperatorCommand &command) {
  http::verb verb = http::verb::get;
  if (command.Verb == "put")
    verb = http::verb::put;
  else if (command.Verb == "delete")
    verb = http::verb::delete_;
  std::string target =
      command.Object == "status" ? "/status" : "/v1/" + command.Object;
  HttpRequest request(verb, target, 11);
  request.set(http::field::host, command.Address);
  request.set(http::field::authorization, "Bearer " + command.Token);
  if (!command.IfMatch.empty())
    request.set(http::field::if_match, command.IfMatch);
  if (!command.ChangeId.empty())
    request.set("Ospreyspur-Change-Id", command.ChangeId);
  request.body() = command.Body;
  return request;
}

/// The exit status of the process for \p response.
static int statusOf(const HttpResponse &response) {
  if (response.result() == http::status::ok)
    return 0;
  return response.result_int() == GatewayTimeout ? FateUnknown : Refused;
}

int ospreyspur::runOperatorCommand(const OperatorCommand &command) {
  Result<TcpAddress> address = parseAddress(command.Address);
  bool isVerb = command.Verb == "get" || command.Verb == "put" ||
                command.Verb == "delete";
  if (!address || !isVerb || command.Object.empty()) {
    std::cerr << "ospreyspur: expected ctl get|put|delete OBJECT with --admin "
                 "ip:port\n";
    return WrongCommand;
  }
  asio::io_context ioc(1);
  HttpClient client(ioc, address.value());
  int status = FateUnknown;
  auto exchange = [&]() -> asio::awaitable<void> {
    Result<HttpResponse> response =
        co_await client.call(makeRequest(command), Timeout);
    if (!response) {
      std::cerr << "ospreyspur: error "
                << static_cast<unsigned>(response.error().Code) << ": "
                << response.error().Detail << '\n';
      if (response.error().Code == ResultCode::PlatformRefused)
        status = Refused;
      co_return;
    }
    status = statusOf(response.value());
    (status == 0 ? std::cout : std::cerr) << response.value().body();
  };
  asio::co_spawn(ioc, exchange(), asio::detached);
  ioc.run();
  return status;
}
