//===- Settings.cpp - settings of each program ----------------------------===//
//
// Names, defaults and ranges. docs/SETTINGS.md contains the same table; a test
// compares the two.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Config/Settings.h"

#include "ospreyspur/Config/SettingsReader.h"

#include <set>

using namespace ospreyspur;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

static MachineLimits readMachine(SettingsReader &reader) {
  constexpr std::uint64_t BytesPerMegabyte = 1'000'000;
  constexpr std::uint64_t DefaultMegabytes =
      MachineLimits::DefaultMemoryBytes / BytesPerMegabyte;
  MachineLimits out;
  out.MemoryBytes =
      BytesPerMegabyte *
      reader.readNumber("process.memory_mb", DefaultMegabytes, 16, 1'000'000,
                        "memory of this process, MB; bounds what all clients "
                        "together can make it hold");
  out.Descriptors = reader.readNumber(
      "process.max_descriptors", 0, 0, 10'000'000,
      "descriptors of this process, which bound the connections of clients; "
      "0 for the kernel's limit");
  return out;
}

static CommonSettings readCommon(SettingsReader &reader) {
  CommonSettings out;
  out.DataCentre = reader.readText("process.data_centre",
                                   "name of this process's data centre");
  out.PlatformAddress = reader.readAddress("process.platform",
                                           "the platform's key-value service");
  out.Peers = reader.readAddresses(
      "process.peers",
      "a few agents to start from when the platform does not answer");
  out.AdminListen =
      reader.readAddress("process.admin_listen", "127.0.0.1:0",
                         "admin API and metrics; port 0 picks a free one");
  out.AdminTokenHash =
      reader.readText("process.admin_token_sha256", "",
                      "SHA-256, in hex, of the first operator's token");
  out.StopNotice = reader.readMillis(
      "process.stop_notice_ms", seconds(2), milliseconds(0), minutes(5),
      "how long a planned stop is announced while work is still taken; "
      "entries: "
      "the balancer's time to notice, agents: the longest wait for entries");
  out.StopLimit = reader.readMillis(
      "process.stop_limit_ms", seconds(30), milliseconds(0), hours(1),
      "how long a planned stop may take; then what is in flight is cut");
  out.Machine = readMachine(reader);
  return out;
}

EntrySettings ospreyspur::readEntrySettings(SettingsReader &reader) {
  EntrySettings out;
  EntryLimits &limits = out.Limits;
  out.Common = readCommon(reader);
  out.Listen = reader.readAddress("entry.listen", "callers' API");
  out.DefaultDeadline = reader.readMillis(
      "entry.default_deadline_ms", seconds(60), milliseconds(100), hours(1),
      "a request's deadline if the caller names none");
  limits.MaxCalls = reader.readNumber("entry.max_calls", limits.MaxCalls, 1,
                                      1000000, "requests held at one time");
  limits.Probes = reader.readNumber("entry.probes", limits.Probes, 1, 16,
                                    "endpoints asked for each request");
  limits.Weights.Prefix = reader.readMillis(
      "entry.prefix_worth_ms", limits.Weights.Prefix, milliseconds(0),
      seconds(1), "waiting time that a cached prompt prefix is worth");
  limits.Weights.Request = reader.readMillis(
      "entry.request_worth_ms", limits.Weights.Request, milliseconds(0),
      seconds(1), "waiting time that each request at an endpoint counts as");
  limits.MaxDispatches = static_cast<unsigned>(
      reader.readNumber("entry.max_dispatches", limits.MaxDispatches, 1, 16,
                        "endpoints tried for each request"));
  limits.ProbeTimeout =
      reader.readMillis("entry.probe_timeout_ms", limits.ProbeTimeout,
                        milliseconds(1), seconds(10), "wait for offers");
  limits.AcceptTimeout = reader.readMillis(
      "entry.accept_timeout_ms", limits.AcceptTimeout, milliseconds(1),
      seconds(60), "wait for an agent to confirm a dispatch");
  limits.StallTimeout = reader.readMillis(
      "entry.stall_timeout_ms", limits.StallTimeout, milliseconds(10),
      minutes(10), "silence of an answer after which its agent is asked");
  limits.ClaimTimeout = reader.readMillis(
      "entry.claim_timeout_ms", limits.ClaimTimeout, milliseconds(10),
      seconds(60), "wait for each call on the key-value service");
  limits.TicketValidity = reader.readMillis(
      "entry.ticket_validity_ms", limits.TicketValidity, seconds(1), minutes(5),
      "how long a dispatch may still start at its agent");
  limits.ClaimLease = reader.readMillis(
      "entry.claim_lease_ms", limits.ClaimLease, minutes(6), hours(24),
      "how long an idempotency key stays bound; not above agent.retention_ms");
  out.DigestKey = reader.readText(
      "entry.digest_key", "",
      "key of the digests by which requests that end endpoints are known; the "
      "same at all entries");
  return out;
}

/// Reads the [group] section. The weights are given in thousandths, as
/// readNumber() reads whole numbers.
static void readGroup(SettingsReader &reader, AgentSettings &out) {
  constexpr double Thousand = 1000.0;
  MapShape &shape = out.MapDimensions;
  shape.Layers = reader.readNumber("group.layers", 1, 1, 1000,
                                   "layers of the model with experts");
  shape.Experts =
      reader.readNumber("group.experts", 16, 1, 65535, "experts of a layer");
  shape.Ranks =
      reader.readNumber("group.ranks", 4, 1, 4096, "ranks of the group");
  shape.SlotsPerRank = reader.readNumber(
      "group.slots_per_rank", 5, 1, 4096,
      "experts that a rank runs in each layer; spare slots not counted");
  out.Weights.Skew =
      double(reader.readNumber("group.skew_weight_milli", 1000, 1, 1000000,
                               "worth of one unit of step-time skew")) /
      Thousand;
  out.Weights.Move =
      double(reader.readNumber("group.move_weight_milli", 5, 0, 1000000,
                               "cost of loading one expert")) /
      Thousand;
  out.Weights.MaxMoves =
      reader.readNumber("group.max_moves", 2000, 1, 1000000,
                        "most experts that one change may load");
  out.PlanInterval =
      reader.readMillis("group.plan_interval_ms", seconds(30), seconds(1),
                        hours(24), "shortest time between two plans");
}

AgentSettings ospreyspur::readAgentSettings(SettingsReader &reader) {
  AgentSettings out;
  AgentLimits &limits = out.Limits;
  out.Common = readCommon(reader);
  out.EndpointName =
      reader.readText("agent.endpoint_name", "id of the endpoint it serves");
  out.Listen =
      reader.readAddress("agent.listen", "for entries and other agents");
  out.EndpointAddress =
      reader.readAddress("agent.endpoint", "the endpoint's HTTP address");
  out.Group = reader.readText("agent.group", "",
                              "lock-step group that the endpoint belongs to");
  readGroup(reader, out);
  out.EndpointIdle = reader.readMillis(
      "agent.endpoint_idle_ms", minutes(2), milliseconds(10), hours(1),
      "silence after which the endpoint counts as failed");
  limits.Slots = reader.readNumber("agent.slots", limits.Slots, 1, 4096,
                                   "requests that run at one time");
  limits.MaxQueue = reader.readNumber("agent.max_queue", limits.MaxQueue, 0,
                                      1000000, "requests that may wait");
  limits.MaxWait = reader.readMillis(
      "agent.max_wait_ms", limits.MaxWait, milliseconds(1), hours(1),
      "expected wait above which requests are refused");
  limits.Ledger.MaxRecords =
      reader.readNumber("agent.ledger_records", limits.Ledger.MaxRecords, 1,
                        10000000, "requests remembered");
  limits.Ledger.MaxResponseBytes = reader.readNumber(
      "agent.ledger_answer_bytes", limits.Ledger.MaxResponseBytes, 1024,
      std::uint64_t(1) << 34U, "bytes of answers kept");
  limits.Ledger.Retention = reader.readMillis(
      "agent.retention_ms", limits.Ledger.Retention, seconds(1), hours(24),
      "how long a finished request is remembered");
  return out;
}

static Duration secondsToDuration(double it) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(it));
}

/// Fraction of the platform's grace period that a planned stop may use; the
/// rest is left for the exit of the process.
static constexpr double StopGraceFraction = 0.93;

DirectSettings ospreyspur::readDirectSettings(SettingsReader &reader) {
  DirectSettings out;
  out.File = reader.file();
  out.Name = reader.readText("direct.name", "this process's name");
  out.DataCentre = reader.readText("process.data_centre",
                                   "name of this process's data centre");
  out.PlatformAddress = reader.readAddress("process.platform",
                                           "the platform's key-value service");
  out.Peers = reader.readAddresses(
      "process.peers",
      "a few agents to start from when the platform does not answer");
  out.Listen = reader.readAddress("direct.listen", "callers' requests");
  out.ReadyListen = reader.readAddress(
      "direct.ready_listen", "where the platform asks whether it is ready");
  out.LinkListen = reader.readAddress("direct.link_listen",
                                      "links from the other processes");
  out.PeerPorts = reader.readText("direct.peer_ports",
                                  "first and last port between our processes");
  out.MetricsListen =
      reader.readText("process.metrics_listen", "", "metrics; ip:port");
  out.StopNotice = reader.readMillis(
      "process.stop_notice_ms", seconds(2), milliseconds(0), minutes(5),
      "how long a planned stop is announced while work is still taken; "
      "entries: "
      "the balancer's time to notice, agents: the longest wait for entries");
  constexpr double DefaultGrace = 8;
  constexpr double MaxGrace = 3600;
  out.StopLimit = secondsToDuration(
      StopGraceFraction *
      reader.readFraction("direct.grace_s", DefaultGrace, 1, MaxGrace,
                          "from SIGTERM until the process is "
                          "killed"));
  constexpr double DefaultWriteTimeout = 5;
  constexpr double MaxWriteTimeout = 600;
  out.WriteTimeout = secondsToDuration(reader.readFraction(
      "direct.write_timeout_s", DefaultWriteTimeout, 0.1, MaxWriteTimeout,
      "how long a caller may leave data of its response unread"));
  RetryLimits &retries = out.Retries;
  retries.Ratio =
      reader.readFraction("direct.retry_ratio", retries.Ratio, 0, 10,
                          "repeated arrivals for each request of a service");
  retries.Allowance = reader.readFraction(
      "direct.retry_allowance", retries.Allowance, 0, 1000000,
      "repeated arrivals in each window beside these, all entries together");
  retries.Window = secondsToDuration(
      reader.readFraction("direct.retry_window_s", 10, 1, MaxGrace,
                          "the window in which repeated arrivals count"));
  out.DigestKey = reader.readText(
      "direct.digest_key", "",
      "key of the digests by which requests that end endpoints are known; the "
      "same at all entries");
  out.Machine = readMachine(reader);
  return out;
}

RankSettings ospreyspur::readRankSettings(SettingsReader &reader) {
  RankSettings out;
  out.File = reader.file();
  out.Name = reader.readText("rank.name", "this process's name");
  out.PlatformAddress = reader.readAddress("process.platform",
                                           "the platform's key-value service");
  out.Host = reader.readText("rank.host", "this process's IP number");
  out.PeerPorts = reader.readText("rank.peer_ports",
                                  "first and last port between our processes");
  out.MetricsListen =
      reader.readText("process.metrics_listen", "", "metrics; ip:port");
  out.EndpointAddress =
      reader.readAddress("rank.endpoint", "the HTTP address of the rank");
  out.Service =
      reader.readText("rank.service", "the service that the rank belongs to");
  constexpr double DefaultLink = 20;
  constexpr double MaxLink = 1e6;
  out.LinkMbps =
      reader.readFraction("rank.link_mbps", DefaultLink, 0.1, MaxLink,
                          "what this host's network link carries, Mbit/s; "
                          "samples of demand take a fifth of it at most");
  out.ChecksFences =
      reader.readFlag("rank.checks_fences", true,
                      "whether ranks refuse orders with a lower fencing token");
  out.Machine = readMachine(reader);
  return out;
}

std::string RankSettings::linkListen() const {
  return Host + ":" + PeerPorts.substr(0, PeerPorts.find(','));
}

std::string DirectSettings::loadListen() const {
  std::string host = LinkListen.substr(0, LinkListen.rfind(':'));
  return host + ":" + PeerPorts.substr(0, PeerPorts.find(','));
}

std::string ospreyspur::formatSettingsTable() {
  SettingsReader reader("", "");
  readEntrySettings(reader);
  readAgentSettings(reader);
  readDirectSettings(reader);
  readRankSettings(reader);
  std::set<std::string> seen;
  std::string table = "| Key | Default | Range | Meaning |\n"
                      "| --- | --- | --- | --- |\n";
  for (const SettingDoc &it : reader.docs()) {
    if (!seen.insert(it.Key).second)
      continue;
    table += "| `" + it.Key + "` | " + it.Default + " | " + it.Range + " | " +
             it.Help + " |\n";
  }
  return table;
}
