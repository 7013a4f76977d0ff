//===- AgentActions.h - actions requested by an AgentNode -------*- C++ -*-===//
//
// The outputs of the agent's state machine, which the process carries out.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_ROUTING_AGENTACTIONS_H
#define OSPREYSPUR_ROUTING_AGENTACTIONS_H

#include "ospreyspur/Rpc/Messages.h"

#include <variant>
#include <vector>

namespace ospreyspur {

/// Send \c Body to the entry on the link \c To.
struct SendToLink {
  LinkId To;
  Message Body;
};

/// Send the request to the endpoint.
struct StartRun {
  RequestId Id;
  std::string Method;
  std::string Target;
  std::string ContentType;
  std::string Body;
  std::uint64_t ResumeFrom = 0;
  std::uint32_t Priority = 0;
};

/// Abort the request at the endpoint. The agent's state machine ignores later
/// events of this run.
struct StopRun {
  RequestId Id;
};

/// One output of the agent's state machine.
using AgentAction = std::variant<SendToLink, StartRun, StopRun>;
using AgentActions = std::vector<AgentAction>;

} // namespace ospreyspur

#endif // OSPREYSPUR_ROUTING_AGENTACTIONS_H
