//===- PeerLinkTest.cpp - links that come and go --------------------------===//
//
// Links closed from either side again and again, while gRPC's threads still
// report on them. A fault here ends the test program.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Rpc/PeerClient.h"
#include "ospreyspur/Rpc/PeerServer.h"

#include <doctest/doctest.h>

#include <atomic>
#include <semaphore>

using namespace ospreyspur;

namespace {
/// A server that sends every message back.
class EchoServer {
public:
  EchoServer()
      : Server({[this](LinkId link, const std::vector<Message> &messages) {
                  for (const Message &it : messages)
                    Server.send(link, it);
                },
                [](LinkId) {}}) {
    REQUIRE(Server.listen(Address));
  }

  static constexpr char Address[] = "127.0.0.1:7919";
  PeerServer Server;
};

/// A client that sends a message until an answer has come.
class EchoClient {
public:
  EchoClient()
      : Client(EchoServer::Address, {[this](const std::vector<Message> &) {
                                       HasAnswer = true;
                                       Changed.release();
                                     },
                                     [this] { Changed.release(); }}) {}

  void exchange() {
    HasAnswer = false;
    while (!HasAnswer) {
      Client.send(Probe{CallId(1), WorkspaceId("w"), {}, 0});
      Changed.acquire();
    }
  }

private:
  std::counting_semaphore<> Changed{0};
  std::atomic<bool> HasAnswer = false;
  PeerClient Client;
};
} // namespace

TEST_CASE("links are closed by their clients at any moment") {
  for (int i = 0; i < 600; ++i) {
    EchoServer server;
    EchoClient client;
    client.exchange();
  }
}

TEST_CASE("links are closed by their server at any moment") {
  for (int i = 0; i < 3; ++i) {
    EchoClient client;
    {
      EchoServer server;
      client.exchange();
    }
    EchoServer again;
    client.exchange();
  }
}
