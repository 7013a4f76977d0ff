//===- ConfigWriterTest.cpp - concurrent configuration changes ------------===//
//
// Several operators change the same document concurrently while calls to the
// key-value store and replies are lost. A change reported as accepted must be
// in the document's history exactly once; a change reported as rejected must
// not be in the history.
//
//===----------------------------------------------------------------------===//

#include "RandomScheduler.h"

#include "ospreyspur/Config/ConfigDocument.h"
#include "ospreyspur/Config/ConfigWriter.h"

#include <doctest/doctest.h>

#include <memory>

using namespace ospreyspur;
using namespace ospreyspur::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr std::uint64_t Seeds = 300;
static constexpr unsigned Writers = 8;
static constexpr unsigned ChangesEach = 5;
static constexpr unsigned FaultPercent = 20;

namespace {
/// Simulates operators that change one key concurrently.
class WriterSimulation {
public:
  explicit WriterSimulation(std::uint64_t seed) : Scheduler(seed, 5) {}

  RandomScheduler Scheduler;
  /// Every accepted document, in order.
  std::vector<std::string> History{"{}"};
  std::map<std::string, ResultCode> ReportedCodes;

  void begin(unsigned writer, unsigned number) {
    if (number == ChangesEach)
      return;
    ConfigChange change;
    change.Section = "groups";
    // Two objects are fought over, the others are each operator's own.
    bool isShared = Scheduler.chance(30);
    change.Name = "g" + std::to_string(isShared ? 0 : 100 + writer);
    change.ChangeId = std::to_string(writer) + "-" + std::to_string(number);
    change.Body = "{\"labels\":{\"by\":\"" + change.ChangeId + "\"}}";
    change.Operator = "op" + std::to_string(writer);
    if (isShared && Scheduler.chance(50)) {
      auto object = readObject(History.back(), "groups", change.Name);
      change.IfMatch = object ? objectTag(object.value()) : AbsentTag;
    }
    auto work =
        std::make_shared<ConfigWriter>(change, Scheduler.now() + seconds(3));
    step(work, writer, number, change.ChangeId);
  }

private:
  void step(const std::shared_ptr<ConfigWriter> &work, unsigned writer,
            unsigned number, const std::string &id) {
    ConfigWriter::Step next = work->next(Scheduler.now());
    auto again = [=, this] { step(work, writer, number, id); };
    if (auto *done = std::get_if<ConfigWriter::Done>(&next)) {
      ReportedCodes[id] = done->Outcome.Code;
      Scheduler.runSoon([=, this] { begin(writer, number + 1); });
      return;
    }
    if (auto *pause = std::get_if<ConfigWriter::Pause>(&next)) {
      Scheduler.at(Scheduler.now() + pause->Span, again);
      return;
    }
    KvCall call = std::get<KvCall>(next);
    if (Scheduler.chance(FaultPercent)) {
      // The call or its reply is lost. In the second case the write takes
      // effect, possibly late.
      if (Scheduler.chance(50))
        Scheduler.at(Scheduler.now() + Duration(Scheduler.below(2000000)),
                     [=, this] { perform(call); });
      Scheduler.at(Scheduler.now() + milliseconds(400), [=] {
        KvReply lost;
        lost.Code = ResultCode::PlatformTimeout;
        work->onReply(lost);
        again();
      });
      return;
    }
    Scheduler.runSoon([=, this] {
      KvReply reply = perform(call);
      Scheduler.runSoon([=] {
        work->onReply(reply);
        again();
      });
    });
  }

  KvReply perform(const KvCall &call) {
    Revision at(History.size() - 1);
    if (std::holds_alternative<KvGet>(call)) {
      if (at.get() == 0)
        return {ResultCode::NotFound, {}, {}};
      return {ResultCode::Ok, at, History.back()};
    }
    const auto &put = std::get<KvPut>(call);
    if (put.Expected != at)
      return {ResultCode::PlatformConflict, at, History.back()};
    History.push_back(put.Value);
    return {ResultCode::Ok, Revision(at.get() + 1), {}};
  }
};
} // namespace

TEST_CASE("concurrent changes are neither lost nor applied twice") {
  std::map<ResultCode, unsigned> codeCounts;
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    INFO("seed ", seed);
    WriterSimulation simulation(seed);
    for (unsigned i = 0; i < Writers; ++i)
      simulation.begin(i, 0);
    simulation.Scheduler.runUntil(simulation.Scheduler.now() + seconds(60));
    REQUIRE(simulation.ReportedCodes.size() ==
            std::size_t(Writers) * ChangesEach);
    Result<ConfigDocument> last = parseConfig(simulation.History.back());
    REQUIRE(last.has_value());
    std::map<std::string, unsigned> accepted;
    for (const AuditEntry &it : last.value().Audit)
      ++accepted[it.ChangeId];
    // Each accepted document adds one change to its predecessor.
    REQUIRE(last.value().Audit.size() == simulation.History.size() - 1);
    for (const auto &it : simulation.ReportedCodes) {
      ResultCode code = it.second;
      INFO("change ", it.first, " whose operator was told code ",
           static_cast<unsigned>(code));
      ++codeCounts[code];
      CHECK(accepted[it.first] <= 1);
      if (code == ResultCode::Ok)
        CHECK(accepted[it.first] == 1);
      else if (code != ResultCode::ConfigUnknownFate)
        CHECK(accepted[it.first] == 0);
    }
  }
  CHECK(codeCounts[ResultCode::Ok] > Seeds * Writers);
  CHECK(codeCounts[ResultCode::ConfigConflict] > Seeds / 10);
  MESSAGE("accepted ", codeCounts[ResultCode::Ok], ", conflicts ",
          codeCounts[ResultCode::ConfigConflict], ", unknown ",
          codeCounts[ResultCode::ConfigUnknownFate], ", unavailable ",
          codeCounts[ResultCode::PlatformUnavailable]);
}
