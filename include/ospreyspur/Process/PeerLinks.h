//===- PeerLinks.h - outgoing links of one thread ---------------*- C++ -*-===//
//
// Links to the agents of endpoints, opened on first use and closed when the
// endpoint disappears or changes its address. Handlers run on the thread of the
// io_context.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_PEERLINKS_H
#define OSPREYSPUR_PROCESS_PEERLINKS_H

#include "ospreyspur/Rpc/PeerClient.h"
#include "ospreyspur/Support/Time.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace ospreyspur {

/// Callbacks of PeerLinks.
struct PeerLinksHandlers {
  std::function<void(const EndpointId &from, const Message &message)> OnMessage;
  /// The link went down; messages sent on it may not have arrived.
  std::function<void(const EndpointId &to)> OnDown;
};

/// The outgoing links of one thread.
class PeerLinks {
public:
  PeerLinks(boost::asio::io_context &ioc, PeerLinksHandlers handlers);

  /// Sets the address of each endpoint's agent, as "ip:port".
  void setAddresses(std::map<EndpointId, std::string> addresses);

  /// Sends \p message. False if the endpoint is not known.
  bool send(const EndpointId &to, const Message &message, TimePoint now);

  /// Closes the links on which nothing has been sent since \p before.
  void closeUnused(TimePoint before);

private:
  struct Link {
    std::unique_ptr<PeerClient> Client;
    TimePoint LastUsed;
  };

  Link makeLink(const EndpointId &to, const std::string &address);

  boost::asio::io_context &Context;
  PeerLinksHandlers Handlers;
  std::map<EndpointId, std::string> Addresses;
  std::map<EndpointId, Link> Links;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_PEERLINKS_H
