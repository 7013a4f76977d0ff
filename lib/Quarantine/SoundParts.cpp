//===- SoundParts.cpp - prompt parts that endpoints can run ---------------===//
//
// See SoundParts.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Quarantine/SoundParts.h"

using namespace ospreyspur;

void SoundParts::onProgress(RequestDigest part, TimePoint now) {
  touch(part).ProgressAt = now;
}

void SoundParts::onComplete(RequestDigest part, TimePoint now) {
  Times &times = touch(part);
  times.ProgressAt = now;
  times.CompletedAt = now;
}

const SoundParts::Times *SoundParts::find(RequestDigest part) const {
  auto it = Positions.find(part);
  return it == Positions.end() ? nullptr : &it->second->At;
}

SoundParts::Times &SoundParts::touch(RequestDigest part) {
  if (auto it = Positions.find(part); it != Positions.end()) {
    Parts.splice(Parts.begin(), Parts, it->second);
    return Parts.front().At;
  }
  if (Parts.size() >= MaxParts) {
    Positions.erase(Parts.back().Part);
    Parts.pop_back();
  }
  Parts.push_front({part, {}});
  Positions[part] = Parts.begin();
  return Parts.front().At;
}
