//===- PeerLinkTest.cpp - closing of links --------------------------------===//
//
// Guards against use of a link or its owner after destruction: either side
// closes links while gRPC's threads still call their callbacks. Such a fault
// crashes the test program.
//
//===----------------------------------------------------------------------===//

#include "FreeAddress.h"

#include "ospreyspur/Rpc/PeerClient.h"
#include "ospreyspur/Rpc/PeerServer.h"

#include <doctest/doctest.h>

#include <atomic>
#include <semaphore>
#include <string>

using namespace ospreyspur;

namespace {
/// Sends every received message back.
class EchoServer {
public:
  explicit EchoServer(const std::string &address)
      : Server({[this](LinkId link, const std::vector<Message> &messages) {
                  for (const Message &it : messages)
                    Server.send(link, it);
                },
                [](LinkId) {}}) {
    REQUIRE(Server.listen(address));
  }

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

  void exchange() {
    HasReply = false;
    while (!HasReply) {
      Client.send(Probe{CallId(1), WorkspaceId("w"), {}, 0});
      Changed.acquire();
    }
  }

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
