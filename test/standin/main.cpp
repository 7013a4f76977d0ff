//===- main.cpp - command line of the stand-ins ---------------------------===//
//
// Runs the stand-in that the first argument names.
//
//===----------------------------------------------------------------------===//

#include "Standins.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <tclap/CmdLine.h>

#include <iostream>

using namespace standin;
using namespace ospreyspur;

asio::awaitable<void> standin::pause(std::int64_t ms) {
  auto executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor, std::chrono::milliseconds(ms));
  co_await timer.async_wait(asio::use_awaitable);
}

json::object standin::bodyOf(const HttpExchange &exchange) {
  boost::system::error_code ec;
  json::value in = json::parse(exchange.request().body(), ec);
  return !ec && in.is_object() ? in.get_object() : json::object();
}

std::int64_t standin::integerOf(const json::object &in, std::string_view key,
                                std::int64_t def) {
  const json::value *it = in.if_contains({key.data(), key.size()});
  return it && it->is_number() ? it->to_number<std::int64_t>() : def;
}

std::string standin::textOf(const json::object &in, std::string_view key) {
  const json::value *it = in.if_contains({key.data(), key.size()});
  return it && it->is_string() ? std::string(it->get_string()) : "";
}

asio::awaitable<void> standin::reply(HttpExchange &exchange, unsigned status,
                                     const json::value &body) {
  co_await exchange.respond(status, "application/json", json::serialize(body));
}

int main(int argc, char **argv) {
  try {
    TCLAP::CmdLine cmd("Stand-ins for the systems around ospreyspur", ' ',
                       "0.1.0");
    std::vector<std::string> names{"platform", "group",  "service", "load",
                                   "verify",   "mortal", "crowd"};
    TCLAP::ValuesConstraint<std::string> allowed(names);
    TCLAP::UnlabeledValueArg<std::string> name("stand-in", "which", true, "",
                                               &allowed, cmd);
    using Text = TCLAP::ValueArg<std::string>;
    using Number = TCLAP::ValueArg<std::int64_t>;
    TCLAP::MultiArg<std::string> address(
        "a", "address", "listen address, or the address of an entry for load",
        true, "ip:port", cmd);
    Number stepMs("", "step-ms", "duration of an engine's step", false, 5, "ms",
                  cmd);
    Number delayMs("", "delay-ms", "duration of a service's run", false, 0,
                   "ms", cmd);
    TCLAP::MultiArg<std::string> preload(
        "", "preload", "initial value of a key", false, "key=file", cmd);
    TCLAP::SwitchArg noFences("", "no-fences",
                              "engines don't check fencing tokens", cmd);
    Text key("", "key", "bearer key", false, "", "key", cmd);
    Text model("", "model", "model to call", false, "", "name", cmd);
    Text service("", "service", "plain service to call", false, "", "name",
                 cmd);
    Text history("", "history", "file for the history", false, "", "file", cmd);
    Number rate("", "rate", "requests per second", false, 50, "n", cmd);
    Number seconds("", "seconds", "length of the run", false, 5, "s", cmd);
    Number tokens("", "tokens", "tokens per response", false, 16, "n", cmd);
    Number seed("", "seed", "seed of the schedule", false, 1, "n", cmd);
    TCLAP::MultiArg<std::string> ready(
        "", "ready",
        "admin address of an entry, which is used only while ready", false,
        "ip:port", cmd);
    Text platform("", "platform", "address of the platform's key-value store",
                  false, "", "ip:port", cmd);
    Text ownName("", "name", "the endpoint's name", false, "", "name", cmd);
    Number callers("", "callers", "number of callers for crowd", false, 32, "n",
                   cmd);
    TCLAP::SwitchArg deadly("", "deadly", "some callers send the deadly body",
                            cmd);
    cmd.parse(argc, argv);

    const std::string &listen = address.getValue().front();
    if (name.getValue() == "platform")
      return runPlatform(listen, preload.getValue());
    if (name.getValue() == "group")
      return runGroup(address.getValue(), stepMs.getValue(),
                      !noFences.getValue());
    if (name.getValue() == "service")
      return runService(listen, delayMs.getValue(), history.getValue());
    if (name.getValue() == "mortal")
      return runCrashableEndpoint({listen, platform.getValue(),
                                   ownName.getValue(), history.getValue()});
    if (name.getValue() == "crowd")
      return runClosedLoop(
          {address.getValue(), ready.getValue(), callers.getValue(),
           seconds.getValue(), static_cast<std::uint64_t>(seed.getValue()),
           deadly.getValue(), key.getValue(), service.getValue()});
    if (name.getValue() == "verify")
      return verifyHistory(history.getValue(), address.getValue());
    LoadPlan plan{
        address.getValue(), key.getValue(),
        model.getValue(),   service.getValue(),
        rate.getValue(),    seconds.getValue(),
        tokens.getValue(),  static_cast<std::uint64_t>(seed.getValue()),
        history.getValue(), ready.getValue()};
    return runLoad(plan);
  } catch (const TCLAP::ArgException &error) {
    std::cerr << error.error() << " " << error.argId() << '\n';
    return 2;
  }
}
