//===- DirectQuestions.cpp - asking endpoints for their condition ---------===//
//
// The part of DirectNode that asks engines whether they take requests and how
// fast they work.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/DirectNode.h"

#include <utility>

using namespace ospreyspur;

DirectActions
DirectNode::onTold(const EndpointId &id,
                   const std::optional<EndpointCondition> &condition,
                   TimePoint now) {
  Book.onTold(id, condition, now);
  ask(now);
  startWaiting(now);
  return takeActions();
}

void DirectNode::ask(TimePoint now) {
  auto mayBeAsked = [this, now](const EndpointState &it) {
    return mayAsk(it, now);
  };
  for (EndpointRecord &it : Book.takeQuestions(mayBeAsked, now))
    Out.emplace_back(AskEndpoint{std::move(it)});
  for (EndpointRecord &it : Book.takePaceQuestions(mayBeAsked, now, Random))
    Out.emplace_back(AskEndpoint{std::move(it)});
}

/// A question reaches an endpoint as a request does.
bool DirectNode::mayAsk(const EndpointState &state, TimePoint now) {
  if (isClosed(state, now))
    return false;
  if (!Rates.isEmpty())
    refreshMembers(now);
  return Rates.take(state.Life, now);
}
