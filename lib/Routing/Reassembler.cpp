//===- Reassembler.cpp - reassembly of chunks -----------------------------===//
//
// Chunks may overlap, as an agent that gets a repeated dispatch sends again
// from the requested offset. Bytes below the next offset were already emitted
// and are discarded.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/Reassembler.h"

using namespace ospreyspur;

void Reassembler::beginAttempt(AttemptNumber attempt) {
  Current = attempt;
  Length.reset();
  Early.clear();
  EarlyBytes = 0;
}

std::string Reassembler::add(AttemptNumber attempt, std::uint64_t offset,
                             std::string data) {
  if (attempt != Current || offset + data.size() <= Next)
    return {};
  auto known = Early.find(offset);
  if (known != Early.end() && known->second.size() >= data.size())
    return {};
  if (known != Early.end())
    EarlyBytes -= known->second.size();
  EarlyBytes += data.size();
  Early[offset] = std::move(data);

  std::string ready;
  while (!Early.empty() && Early.begin()->first <= Next) {
    auto it = Early.begin();
    std::uint64_t skip = Next - it->first;
    if (skip < it->second.size()) {
      ready.append(it->second, skip);
      Next += it->second.size() - skip;
    }
    EarlyBytes -= it->second.size();
    Early.erase(it);
  }
  return ready;
}

void Reassembler::setLength(AttemptNumber attempt, std::uint64_t length) {
  if (attempt == Current)
    Length = length;
}
