//===- PeerLinks.h - the links that one thread dials ------------*- C++ -*-===//
//
// Links to the agents of endpoints, opened on first use and closed when the
// endpoint has gone or moved. Handlers run on the thread of the io_context.
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

/// What PeerLinks reports.
struct PeerLinksHandlers {
  std::function<void(const EndpointId &from, const Message &message)> OnMessage;
  /// What was sent to the endpoint may not have arrived.
  std::function<void(const EndpointId &to)> OnDown;
};

/// The links of one thread.
class PeerLinks {
public:
  PeerLinks(boost::asio::io_context &ioc, PeerLinksHandlers handlers);

  /// Where each endpoint's agent is, as "ip:port".
  void setAddresses(std::map<EndpointId, std::string> addresses);

  /// Sends \p message. False if the endpoint is not known.
  bool send(const EndpointId &to, const Message &message, TimePoint now);

  /// Closes links on which nothing was sent since \p before.
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
