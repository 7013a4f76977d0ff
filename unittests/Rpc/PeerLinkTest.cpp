//===- PeerLinkTest.cpp - closing of links, and links that fall silent ----===//
//
// Guards against use of a link or its owner after destruction: either side
// closes links while gRPC's threads still call their callbacks. Such a fault
// crashes the test program. Also guards against links that carry nothing any
// more but count as open.
//
//===----------------------------------------------------------------------===//

#include "FreeAddress.h"
#include "SilenceableRelay.h"

#include "ospreyspur/Rpc/PeerClient.h"
#include "ospreyspur/Rpc/PeerServer.h"
#include "ospreyspur/Support/Address.h"

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <semaphore>
#include <string>
#include <thread>

using namespace ospreyspur;

namespace {
/// Sends every received message back.
class EchoServer {
public:
  explicit EchoServer(const std::string &address)
      : Address(address),
        Server({[this](LinkId link, const std::vector<Message> &messages) {
                  for (const Message &it : messages)
                    Server.send(link, it);
                },
                [](LinkId) {}}) {
    REQUIRE(Server.listen(address));
  }

  std::string Address;
  PeerServer Server;
};

/// Sends a message again each time the link closes, until a reply arrives.
class EchoClient {
public:
  explicit EchoClient(const std::string &address)
      : Client(address, {[this](const std::vector<Message> &) {
                           HasReply = true;
                           Changed.release();
                         },
                         [this] { Changed.release(); }}) {}

  void send() { Client.send(Probe{CallId(1), WorkspaceId("w"), {}, 0}); }

  void exchange() {
    HasReply = false;
    while (!HasReply) {
      send();
      Changed.acquire();
    }
  }

  /// Waits until the link has closed. False if it has not within \p limit.
  bool awaitDown(Duration limit) { return Changed.try_acquire_for(limit); }

private:
  std::counting_semaphore<> Changed{0};
  std::atomic<bool> HasReply = false;
  PeerClient Client;
};
} // namespace

static std::string findAddress() {
  return "127.0.0.1:" + std::to_string(test::findFreeAddress().port());
}

TEST_CASE("clients can close links while gRPC threads still use them") {
  std::string address = findAddress();
  for (int i = 0; i < 600; ++i) {
    EchoServer server(address);
    EchoClient client(address);
    client.exchange();
  }
}

TEST_CASE("a server can close links while gRPC threads still use them") {
  std::string address = findAddress();
  for (int i = 0; i < 3; ++i) {
    EchoClient client(address);
    {
      EchoServer server(address);
      client.exchange();
    }
    EchoServer again(address);
    client.exchange();
  }
}

// Guards against a link that has fallen silent and is used for as long as the
// kernel keeps the connection: nothing that one process knows then reaches the
// other. Both an idle link and one on which messages are sent are covered.
TEST_CASE(
    "a silent link closes in time, and the next message opens a new one") {
  // What one process knows must reach the others within three seconds of the
  // silence; the rest of that time is for the exchange on the new link.
  constexpr Duration Limit = std::chrono::milliseconds(2500);
  for (bool isIdle : {true, false}) {
    CAPTURE(isIdle);
    EchoServer server(findAddress());
    boost::asio::io_context ioc;
    test::SilenceableRelay relay(ioc, parseAddress(server.Address).value());
    std::thread thread([&] { ioc.run(); });
    EchoClient client("127.0.0.1:" + std::to_string(relay.address().port()));
    client.exchange();
    boost::asio::post(ioc, [&] { relay.silence(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    if (!isIdle)
      client.send();
    CHECK(client.awaitDown(Limit));
    client.exchange();
    ioc.stop();
    thread.join();
  }
}
