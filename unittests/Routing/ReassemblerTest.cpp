//===- ReassemblerTest.cpp - compares Reassembler with a naive version ----===//
//
// Chunks of a response in any order, duplicated, overlapping, and mixed with
// chunks of abandoned attempts. The naive version stores all chunks and sorts
// them at the end.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/Reassembler.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace ospreyspur;

namespace {
struct Piece {
  AttemptNumber Attempt;
  std::uint64_t Offset;
  std::string Data;
};
} // namespace

/// Returns all bytes of \p attempt from offset \p from on, by sorting all
/// chunks.
static std::string joinNaively(std::vector<Piece> pieces, AttemptNumber attempt,
                               std::uint64_t from) {
  std::erase_if(pieces, [&](const Piece &it) { return it.Attempt != attempt; });
  std::sort(pieces.begin(), pieces.end(),
            [](const Piece &a, const Piece &b) { return a.Offset < b.Offset; });
  std::string out;
  for (const Piece &it : pieces) {
    std::uint64_t end = from + out.size();
    if (it.Offset <= end && it.Offset + it.Data.size() > end)
      out += it.Data.substr(end - it.Offset);
  }
  return out;
}

TEST_CASE("every byte is emitted exactly once and in order") {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    std::mt19937_64 random(seed);
    auto below = [&](std::uint64_t n) { return random() % n; };
    std::string text(1 + below(200), ' ');
    for (char &it : text)
      it = static_cast<char>('a' + below(26));
    Reassembler answer;
    std::string passed;
    unsigned attempts = 1 + static_cast<unsigned>(below(3));
    for (unsigned k = 1; k <= attempts; ++k) {
      AttemptNumber attempt(k);
      answer.beginAttempt(attempt);
      std::uint64_t from = answer.nextOffset();
      std::vector<Piece> pieces;
      for (std::uint64_t at = from; at < text.size();) {
        std::uint64_t n = 1 + below(20);
        std::uint64_t back = below(std::min<std::uint64_t>(at, 5) + 1);
        pieces.push_back(
            {attempt, at - back, text.substr(at - back, n + back)});
        at += n;
      }
      if (k < attempts && !pieces.empty())
        pieces.erase(pieces.begin() + std::ptrdiff_t(below(pieces.size())));
      // Late pieces of an attempt that was given up, with other bytes.
      pieces.push_back({AttemptNumber(k + 7), from, std::string(9, '!')});
      if (!pieces.empty())
        pieces.push_back(pieces[below(pieces.size())]);
      std::shuffle(pieces.begin(), pieces.end(), random);
      std::string got;
      for (const Piece &it : pieces)
        got += answer.add(it.Attempt, it.Offset, it.Data);
      INFO("seed ", seed, " attempt ", k);
      REQUIRE(got == joinNaively(pieces, attempt, from));
      passed += got;
    }
    answer.setLength(AttemptNumber(attempts), text.size());
    INFO("seed ", seed);
    REQUIRE(passed == text);
    REQUIRE(answer.isComplete());
    REQUIRE(answer.earlyBytes() == 0);
  }
}

TEST_CASE("a response with a missing chunk is not complete") {
  Reassembler answer;
  answer.beginAttempt(AttemptNumber(1));
  CHECK(answer.add(AttemptNumber(1), 0, "abc") == "abc");
  CHECK(answer.add(AttemptNumber(1), 4, "e").empty());
  answer.setLength(AttemptNumber(1), 5);
  CHECK_FALSE(answer.isComplete());
  CHECK(answer.add(AttemptNumber(1), 3, "d") == "de");
  CHECK(answer.isComplete());
}
