//===- PassGuard.cpp - keeps passes shorter than pauses may be ------------===//
//
// See PassGuard.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/PassGuard.h"

#include <algorithm>

using namespace ospreyspur;

/// Part of the bound on pauses that a predicted pass may take; the way to the
/// caller and what the model leaves out take the rest.
static constexpr double BoundPart = 0.92;

/// An endpoint that takes fewer requests than this part of its slots would turn
/// callers away for the sake of a shift that may not come.
static constexpr double LeastPart = 0.5;

static Duration scale(Duration it, double by) {
  return std::chrono::duration_cast<Duration>(it * by);
}

bool PassGuard::onEvents(const EndpointState &state,
                         const EngineFigures &engine, Duration gap,
                         TimePoint now) {
  if (state.Group.get().empty())
    return false;
  PassModel &model = Models[{state.Record.Service, state.Group}];
  if (!model.isNewPass(now))
    return false;
  model.onPass(loadOf(state, engine, now).Slowest, gap, now);
  return true;
}

PassGuard::GroupLoad PassGuard::loadOf(const EndpointState &state,
                                       const EngineFigures &engine,
                                       TimePoint now) const {
  GroupLoad out;
  unsigned running = 0;
  unsigned ranks = 0;
  for (const auto &[id, it] : Book.states()) {
    if (it.Group != state.Group || it.Record.Service != state.Record.Service)
      continue;
    EndpointLoad load = Book.totalLoad(it, now);
    out.Slowest =
        std::max(out.Slowest, evenPass(engine, {load.Running, load.Unread}));
    running += load.Running;
    ++ranks;
  }
  out.Writing = evenPass(engine, {running / std::max(ranks, 1U), 0});
  return out;
}

bool PassGuard::fits(const EndpointState &state, const EngineFigures &engine,
                     unsigned prompt, Duration bound, TimePoint now) const {
  auto it = Models.find({state.Record.Service, state.Group});
  if (it == Models.end() || bound == Duration::zero())
    return true;
  const PassModel &model = it->second;
  EndpointLoad load = Book.totalLoad(state, now);
  Duration next = evenPass(engine, {load.Running + 1, load.Unread + prompt});
  bool isHalfFull = load.Running + 1 > state.Record.Slots * LeastPart;
  Duration allowed = scale(bound, BoundPart);
  if (!isHalfFull || scale(next, model.worstStretch()) <= allowed)
    return true;
  GroupLoad group = loadOf(state, engine, now);
  // A slower rank is waited for anyway, and where writing alone takes too long
  // all streams are late already.
  return next <= group.Slowest ||
         scale(group.Writing, model.stretch()) > allowed;
}
