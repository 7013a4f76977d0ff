//===- PeerLinks.cpp - outgoing links of one thread -----------------------===//
//
// See PeerLinks.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Process/PeerLinks.h"

#include <boost/asio/post.hpp>

#include <utility>

using namespace ospreyspur;
namespace asio = boost::asio;

PeerLinks::PeerLinks(asio::io_context &ioc, PeerLinksHandlers handlers)
    : Context(ioc), Handlers(std::move(handlers)) {}

void PeerLinks::setAddresses(std::map<EndpointId, std::string> addresses) {
  Addresses = std::move(addresses);
  std::erase_if(Links, [this](const auto &it) {
    auto address = Addresses.find(it.first);
    return address == Addresses.end() ||
           address->second != it.second.Client->address();
  });
}

bool PeerLinks::send(const EndpointId &to, const Message &message,
                     TimePoint now) {
  auto it = Links.find(to);
  if (it == Links.end()) {
    auto address = Addresses.find(to);
    if (address == Addresses.end())
      return false;
    it = Links.emplace(to, makeLink(to, address->second)).first;
  }
  it->second.LastUsed = now;
  it->second.Client->send(message);
  return true;
}

void PeerLinks::closeUnused(TimePoint before) {
  std::erase_if(
      Links, [before](const auto &it) { return it.second.LastUsed < before; });
}

PeerLinks::Link PeerLinks::makeLink(const EndpointId &to,
                                    const std::string &address) {
  PeerClientHandlers handlers;
  handlers.OnMessages = [this, to](std::vector<Message> messages) {
    asio::post(Context, [this, to, messages = std::move(messages)] {
      for (const Message &it : messages)
        Handlers.OnMessage(to, it);
    });
  };
  handlers.OnDown = [this, to] {
    asio::post(Context, [this, to] { Handlers.OnDown(to); });
  };
  return {std::make_unique<PeerClient>(address, std::move(handlers)), {}};
}
