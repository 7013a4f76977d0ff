//===- EndpointListTest.cpp - records that vanish and come back -----------===//
//
// Records that lapse in an outage of the platform are back soon after it.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Direct/EndpointList.h"
#include "ospreyspur/Direct/EndpointDocument.h"
#include "ospreyspur/Direct/EventSplitter.h"

#include <doctest/doctest.h>

using namespace ospreyspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

static EndpointRecord makeRecord(const std::string &id, unsigned host = 1) {
  EndpointRecord out;
  out.Id = EndpointId(id);
  out.Name = id;
  out.Service = ServiceId("s");
  out.Address = parseAddress("10.0.0." + std::to_string(host) + ":80").value();
  out.DataCentre = DataCentreId("a");
  out.Slots = 3;
  return out;
}

static std::vector<EndpointRecord> makeRecords(unsigned n) {
  std::vector<EndpointRecord> out;
  for (unsigned i = 0; i < n; ++i)
    out.push_back(makeRecord("e" + std::to_string(i), i + 1));
  return out;
}

TEST_CASE("a vanished endpoint is marked at once and dropped after the grace "
          "period") {
  TimePoint now{seconds(10)};
  EndpointList list;
  list.replace(makeRecords(8), now);
  list.replace(makeRecords(7), now);
  CHECK(list.endpoints().back().IsMissing);
  CHECK_FALSE(list.onTimer(now + milliseconds(900)));
  CHECK(list.onTimer(now + EndpointList::MissingGrace));
  CHECK(list.endpoints().size() == 7);
}

TEST_CASE(
    "many endpoints that vanish at once are kept until they can be back") {
  TimePoint now{seconds(10)};
  EndpointList list;
  list.replace(makeRecords(8), now);
  list.replace({}, now);
  list.onTimer(now + EndpointList::MissingGrace);
  CHECK(list.endpoints().size() == 8);
  list.replace(makeRecords(8), now + milliseconds(1800));
  CHECK_FALSE(list.nextTimer());
  list.onTimer(now + seconds(5));
  CHECK(list.endpoints().size() == 8);
  CHECK_FALSE(list.endpoints().front().IsMissing);
}

TEST_CASE(
    "an earlier incarnation is dropped as soon as the next one is listed") {
  TimePoint now{seconds(10)};
  EndpointRecord first = makeRecord("e0");
  first.Incarnation = EndpointIncarnation(1700);
  first.Id = makeEndpointId(first.Name, first.Incarnation);
  EndpointRecord second = first;
  second.Incarnation = EndpointIncarnation(1701);
  second.Id = makeEndpointId(second.Name, second.Incarnation);
  EndpointList list;
  list.replace({first}, now);
  list.replace({second}, now);
  REQUIRE(list.endpoints().size() == 1);
  CHECK(list.endpoints().front().Record.Id == second.Id);
  CHECK_FALSE(list.endpoints().front().IsMissing);
  // The same holds if the next incarnation has another address.
  second.Address = parseAddress("10.0.0.9:80").value();
  list.replace({first}, now);
  list.replace({second}, now);
  CHECK(list.endpoints().size() == 1);
  // The serialized list keeps the incarnations apart.
  auto read = parseEndpoints(formatEndpoints({first, second}));
  REQUIRE(read);
  CHECK(read.value().front().Id == first.Id);
  CHECK(read.value().back().Id == second.Id);
}

TEST_CASE("of two records with one address the later one is used") {
  TimePoint now{seconds(10)};
  EndpointRecord old = makeRecord("old");
  EndpointRecord fresh = makeRecord("fresh");
  old.ListedAt = Revision(5);
  fresh.ListedAt = Revision(9);
  EndpointList list;
  list.replace({old}, now);
  list.replace({old, fresh}, now);
  list.onTimer(now + seconds(5));
  REQUIRE(list.endpoints().size() == 1);
  CHECK(list.endpoints().front().Record.Id == fresh.Id);
}

TEST_CASE("the endpoint list survives conversion to a document and back") {
  std::vector<EndpointRecord> records = makeRecords(3);
  records[1].IsLeaving = true;
  records[2].AnswersStatusQueries = true;
  Result<std::vector<EndpointRecord>> read =
      parseEndpoints(formatEndpoints(records));
  REQUIRE(read);
  CHECK(read.value() == records);
  for (const char *it : {"", "{}", "[1]", "[{}]", "[{\"address\":\"x\"}]"})
    CHECK_FALSE(parseEndpoints(it));
}

TEST_CASE("only complete events are returned, however the bytes are split") {
  const std::string text =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda";
  for (std::size_t size = 1; size <= text.size(); ++size) {
    INFO("pieces of " << size);
    EventSplitter splitter;
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += size)
      out += splitter.add(text.substr(at, size));
    CHECK(out == "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
    CHECK(splitter.lastId() == "2");
    CHECK(splitter.hasIncompleteEvent());
  }
}
