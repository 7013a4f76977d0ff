//===- LinkGuardTest.cpp - what a peer may send on a link -----------------===//
//
// Guards against clients of a link that make gRPC keep more and more: streams,
// resets, header fields and control frames without end, and messages that are
// larger than any of this system. What processes of this system send must pass.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Rpc/LinkGuard.h"

#include <doctest/doctest.h>

#include <random>
#include <string>

using namespace ospreyspur;

enum : unsigned char {
  Data,
  Headers,
  Reset = 3,
  Settings,
  Ping = 6,
  Window = 8,
  Continuation
};
static constexpr unsigned char EndHeaders = 4;

static std::string number(std::size_t n, unsigned bytes) {
  std::string out;
  for (unsigned i = bytes; i-- > 0;)
    out += char(n >> (8 * i) & 0xff);
  return out;
}

static std::string frame(unsigned char type, unsigned char flags,
                         unsigned stream, const std::string &payload = "") {
  return number(payload.size(), 3) + char(type) + char(flags) +
         number(stream, 4) + payload;
}

static std::string message(std::size_t n) {
  return '\0' + number(n, 4) + std::string(n, 'm');
}

static std::string opening() {
  return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(Settings, 0, 0) +
         frame(Headers, EndHeaders, 1, "fields");
}

static TimePoint at(int ms) { return TimePoint(std::chrono::milliseconds(ms)); }

/// Returns how many of \p part pass at one time, up to \p most.
static int countPassing(const std::string &first, const std::string &part,
                        int most) {
  LinkGuard guard(at(0));
  REQUIRE(guard.check(first, at(0)));
  for (int i = 0; i < most; ++i)
    if (!guard.check(part, at(1)))
      return i;
  return most;
}

TEST_CASE("messages of this system pass in pieces of any size") {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    std::string text = opening();
    for (unsigned i = 0; i < 20; ++i) {
      // A message may begin and end anywhere in a frame.
      std::string two = message(random() % 3000) + message(random() % 40000);
      std::size_t cut = random() % two.size();
      text += frame(Data, 0, 1, two.substr(0, cut));
      text += frame(Window, 0, 0, number(1000, 4));
      text += frame(Data, 0, 1, two.substr(cut));
      text += frame(Ping, 1, 0, "12345678");
    }
    LinkGuard guard(at(0));
    for (std::size_t i = 0; i < text.size();) {
      std::size_t n =
          std::min<std::size_t>(1 + random() % 5000, text.size() - i);
      REQUIRE(guard.check(std::string_view(text).substr(i, n), at(int(i))));
      i += n;
    }
    CHECK(guard.messages() == 40);
    CHECK(guard.openMessageBytes() == 0);
  }
}

TEST_CASE("a link that lives for days and fails at times passes") {
  LinkGuard guard(at(0));
  REQUIRE(guard.check(opening(), at(0)));
  for (int second = 1; second < 20000; ++second) {
    std::string text = frame(Ping, 0, 0, "12345678") + frame(Settings, 0, 0) +
                       frame(Window, 0, 0, number(9, 4));
    if (second % 10 == 0) {
      unsigned stream = 2 * unsigned(second) + 1;
      text += frame(Reset, 0, stream - 20, "1234") +
              frame(Headers, EndHeaders, stream, "fields") +
              frame(Data, 0, stream, message(100));
    }
    REQUIRE(guard.check(text, at(1000 * second)));
  }
}

TEST_CASE("what gRPC would keep without end is refused") {
  CHECK(countPassing(opening(), frame(Ping, 0, 0, "12345678"), 5000) < 5000);
  CHECK(countPassing(opening(), frame(Settings, 0, 0), 5000) < 5000);
  CHECK(countPassing(opening(), frame(Reset, 0, 1, "1234"), 5000) < 5000);
  CHECK(countPassing(opening(), frame(0x77, 0, 1, "1234"), 5000) < 5000);
  CHECK(countPassing(opening(), frame(Headers, EndHeaders, 1, "f"), 5000) <
        5000);
  std::string half = opening() + frame(Headers, 0, 3, "fields");
  CHECK(countPassing(half, frame(Continuation, 0, 3, "fields"), 5000) < 5000);
  CHECK(countPassing(half, frame(Continuation, 0, 3), 5000) < 5000);
  LinkGuard guard(at(0));
  std::string streams = opening();
  for (unsigned i = 3; i < 2000; i += 2)
    streams += frame(Headers, EndHeaders, i, "fields");
  CHECK_FALSE(guard.check(streams, at(1)));
}

TEST_CASE("what is no link is refused") {
  CHECK_FALSE(LinkGuard(at(0)).check("GET / HTTP/1.1\r\n", at(0)));
  std::string large = '\0' + number(MaxLinkMessageBytes + 1, 4);
  CHECK_FALSE(
      LinkGuard(at(0)).check(opening() + frame(Data, 0, 1, large), at(0)));
  CHECK_FALSE(
      LinkGuard(at(0)).check(opening() + frame(Data, 0, 5, "12345"), at(0)));
  std::string wide(20000, 'x');
  CHECK_FALSE(
      LinkGuard(at(0)).check(opening() + frame(Settings, 0, 0, wide), at(0)));
}

TEST_CASE("a message that has not arrived completely is counted") {
  LinkGuard guard(at(0));
  std::string part = '\0' + number(500000, 4) + std::string(1000, 'm');
  REQUIRE(guard.check(opening() + frame(Data, 0, 1, part), at(0)));
  CHECK(guard.messages() == 0);
  CHECK(guard.openMessageBytes() == 500000);
}
