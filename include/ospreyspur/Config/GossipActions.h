//===- GossipActions.h - what a GossipNode wants done -----------*- C++ -*-===//
//
// The outputs of the state machine that spreads shared values.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONFIG_GOSSIPACTIONS_H
#define OSPREYSPUR_CONFIG_GOSSIPACTIONS_H

#include "ospreyspur/Config/GossipMessages.h"
#include "ospreyspur/Platform/KeyValue.h"

#include <variant>
#include <vector>

namespace ospreyspur {

/// Send a digest to the agent of \c To; answers come back on the same link.
struct SendDigestTo {
  EndpointId To;
  GossipDigest Body;
};

/// Send a value to the agent of \c To.
struct SendUpdateTo {
  EndpointId To;
  GossipUpdate Body;
};

/// Answer a node that has dialled this one.
struct AnswerDigest {
  LinkId To;
  GossipDigest Body;
};

/// Send a value to a node that has dialled this one.
struct AnswerUpdate {
  LinkId To;
  GossipUpdate Body;
};

/// Make a call on the platform's service.
struct CallPlatformForGossip {
  KvRequest Request;
};

/// This node's copy of \c Key has changed.
struct CopyChanged {
  SharedKey Key;
};

using GossipAction =
    std::variant<SendDigestTo, SendUpdateTo, AnswerDigest, AnswerUpdate,
                 CallPlatformForGossip, CopyChanged>;
using GossipActions = std::vector<GossipAction>;

} // namespace ospreyspur

#endif // OSPREYSPUR_CONFIG_GOSSIPACTIONS_H
