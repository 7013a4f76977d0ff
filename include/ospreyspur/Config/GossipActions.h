//===- GossipActions.h - outputs of a GossipNode ----------------*- C++ -*-===//
//
// The actions that the gossip state machine requests from its caller.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONFIG_GOSSIPACTIONS_H
#define OSPREYSPUR_CONFIG_GOSSIPACTIONS_H

#include "ospreyspur/Config/GossipMessages.h"
#include "ospreyspur/Platform/KeyValue.h"

#include <variant>
#include <vector>

namespace ospreyspur {

/// Send a digest to the agent of \c To; replies arrive on the same link.
struct SendDigestTo {
  EndpointId To;
  GossipDigest Body;
};

/// Send a value to the agent of \c To.
struct SendUpdateTo {
  EndpointId To;
  GossipUpdate Body;
};

/// Send a digest in reply on a link that another node opened.
struct ReplyDigest {
  LinkId To;
  GossipDigest Body;
};

/// Send a value on a link that another node opened.
struct ReplyUpdate {
  LinkId To;
  GossipUpdate Body;
};

/// Make a call to the key-value store.
struct CallKeyValueStoreForGossip {
  KvRequest Request;
};

/// This node's copy of \c Key has changed.
struct CopyChanged {
  SharedKey Key;
};

using GossipAction =
    std::variant<SendDigestTo, SendUpdateTo, ReplyDigest, ReplyUpdate,
                 CallKeyValueStoreForGossip, CopyChanged>;
using GossipActions = std::vector<GossipAction>;

} // namespace ospreyspur

#endif // OSPREYSPUR_CONFIG_GOSSIPACTIONS_H
