//===- GossipSimulation.h - simulated gossip fleet --------------*- C++ -*-===//
//
// Connects real GossipNodes and a fake key-value store through a
// RandomScheduler. Nodes can be killed or frozen, the store can be made
// unreachable for nodes or data centres, its replies can be lost, and all open
// connections can be made silent. Checks that no copy ever returns to an older
// revision, and counts calls and messages. Used by tests and by the gossip
// benchmark.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_UNITTESTS_CONFIG_GOSSIPSIMULATION_H
#define OSPREYSPUR_UNITTESTS_CONFIG_GOSSIPSIMULATION_H

#include "RandomScheduler.h"

#include "ospreyspur/Config/GossipNode.h"

#include <list>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace ospreyspur::test {

/// The size of a fleet.
struct FleetShape {
  std::size_t DataCentres = 3;
  /// Number of agents in each data centre.
  std::size_t Agents = 4;
  std::size_t Entries = 2;
};

/// A fleet that runs on virtual time.
class GossipSimulation {
public:
  using GossipMessage = std::variant<GossipDigest, GossipUpdate>;

  /// One node of the fleet.
  struct Node {
    GossipIdentity Id;
    std::unique_ptr<GossipNode> Machine;
    /// 0 while the node is dead.
    std::uint64_t IncarnationNumber = 0;
    TimePoint FrozenUntil;
    /// Until when it cannot reach the key-value store.
    TimePoint CutUntil;
    std::array<Revision, SharedKeyCount> Seen;
    /// Whether its kept connections to the store are silent.
    bool HasSilentStore = false;
    std::size_t BytesOut = 0;
    std::size_t MessagesOut = 0;
  };

  /// Of the messages, \p lossPercent are lost and as many are delivered twice.
  GossipSimulation(std::uint64_t seed, FleetShape shape, unsigned lossPercent,
                   unsigned latePercent, GossipLimits limits = GossipLimits());

  RandomScheduler Scheduler;
  std::vector<Node> Nodes;
  /// Number of copies that returned to an older revision or differ from the
  /// written value.
  std::size_t Violations = 0;
  std::size_t PlatformCalls = 0;
  /// Time limit of a call to the key-value store that does not wait.
  Duration CallTimeout = std::chrono::seconds(2);
  /// Size of a message on the wire in bytes; the benchmark uses the codec's.
  std::function<std::size_t(const GossipMessage &)> SizeOf =
      [](const GossipMessage &) { return std::size_t(0); };

  /// Writes \p value to the key-value store.
  Revision write(SharedKey key, const std::string &value);
  /// Writes the host list without the nodes in \p absent.
  void writeHosts(const std::vector<std::size_t> &absent);
  void start(std::size_t i);
  /// Ends node \p i; what is sent to it is lost.
  void kill(std::size_t i);
  /// Ends node \p i and resets its links, as the death of a process does.
  void crash(std::size_t i);
  void freeze(std::size_t i, Duration span);
  /// Makes the key-value store unreachable for all nodes for \p span.
  void setOutage(Duration span);
  /// Makes the key-value store unreachable for one data centre for \p span.
  void cutFromPlatform(std::size_t dataCentre, Duration span);
  /// Makes the key-value store unreachable for node \p i for \p span.
  void cutNodeFromPlatform(std::size_t i, Duration span);
  /// For \p span the replies of the key-value store are lost, on connections
  /// that are otherwise sound: callers notice at the end of their time limits.
  void loseReplies(Duration span);
  /// Makes all open links and connections to the store silent, until
  /// keep-alives detect it; new ones work.
  void silence();
  /// Whether all running nodes have at least revision \p at of \p key.
  bool isInForce(SharedKey key, Revision at) const;
  /// Runs until isInForce(), but at most for \p limit, and returns the elapsed
  /// time.
  Duration awaitInForce(SharedKey key, Revision at, Duration limit);
  std::size_t dataCentreCount() const {
    return Nodes.size() / NodesPerDataCentre;
  }
  /// The watchers of data centre \p dataCentre.
  std::vector<std::size_t> findWatchers(std::size_t dataCentre) const;

private:
  /// A watch that the key-value store holds.
  struct HeldWatch {
    std::size_t Caller;
    std::uint64_t IncarnationNumber;
    KvCallId Id;
    KvWatch Call;
    TimePoint CalledAt;
  };

  /// The link that one node opened to another.
  struct Link {
    /// Increased when the link is opened again.
    std::uint64_t Generation = 0;
    bool IsSilent = false;
    /// When a reply last arrived on it.
    TimePoint HeardAt;
  };

  std::size_t nodeOf(const EndpointId &id) const;
  LinkId makeLinkId(std::size_t from, std::uint64_t generation) const;
  Duration drawDetectionTime(Duration least, Duration most);
  void loseWatch(const HeldWatch &watch, Duration after);
  void closeSilentLink(std::size_t from, std::size_t to, Duration after);
  bool canReachPlatform(std::size_t i) const;
  void deliverToNode(std::size_t i, std::uint64_t incarnation,
                     const std::function<GossipActions(GossipNode &)> &input);
  void apply(std::size_t i, const GossipActions &actions);
  void setTimer(std::size_t i);
  void perform(std::size_t i, const SendDigestTo &action);
  void perform(std::size_t i, const SendUpdateTo &action);
  void perform(std::size_t i, const ReplyDigest &action);
  void perform(std::size_t i, const ReplyUpdate &action);
  void perform(std::size_t i, const CallKeyValueStoreForGossip &action);
  void perform(std::size_t i, const CopyChanged &action);
  void count(std::size_t i, const GossipMessage &message);
  template <typename Body>
  void sendOnOwnLink(std::size_t i, const EndpointId &to, const Body &body);
  template <typename Body>
  void replyOnLink(std::size_t i, LinkId to, const Body &body);
  void hold(HeldWatch watch);
  Duration timeLimitOf(const HeldWatch &watch) const;
  void loseReply(const HeldWatch &watch);
  void answer(const HeldWatch &watch, const KvReply &reply);
  void reply(const HeldWatch &watch, const KvReply &reply);

  GossipLimits Limits;
  unsigned LossPercent;
  std::size_t NodesPerDataCentre;
  std::map<std::string, KvReply> Values;
  /// The value written at each revision.
  std::map<Revision, std::string> History;
  Revision Last;
  std::list<HeldWatch> Held;
  /// By the node that opened the link and the other one.
  std::map<std::pair<std::size_t, std::size_t>, Link> Links;
  TimePoint SilentSince;
  TimePoint RepliesLostUntil;
  std::uint64_t LastIncarnation = 0;
  std::map<std::size_t, TimePoint> CutUntil;
  std::vector<EndpointView> StartPeers;
};

} // namespace ospreyspur::test

#endif // OSPREYSPUR_UNITTESTS_CONFIG_GOSSIPSIMULATION_H
