// Tests of the peer network under faults. Guards against running nodes that are
// reported unreachable, silent connections that are kept, and messages of
// replaced processes that are accepted.
#include <gtest/gtest.h>

#include "base/events.h"
#include "tests/support/peer_site.h"

namespace tanagerloom {
namespace {

using namespace std::chrono_literals;

class PeerFaults : public testing::Test {
 protected:
  /// Starts `n` nodes whose connections go through relays.
  void StartRelayed(int n) {
    site_.use_relays = true;
    site_.StartNodes(n);
    ASSERT_TRUE(PeerSite::WaitUntil([&] { return site_.AllNodesSee(n); }));
  }

  /// Number of events, of all nodes, that report a member as unreachable.
  int UnreachableEvents() {
    int n = 0;
    for (const auto& [id, node] : site_.nodes) {
      n += node->Count(events::kMemberUnreachable);
    }
    return n;
  }

  /// Returns whether a direct message from one node arrives at the other. Sends
  /// until one does.
  bool MessageArrives(const std::string& from, const std::string& to) {
    auto& receiver = site_.Node(to);
    const auto before = receiver.received.size();
    return PeerSite::WaitUntil([&] {
      site_.Node(from).service.Send(to, DemandAck{"cell", 1});
      return receiver.received.size() > before;
    });
  }

  /// Discards what the open connections between two nodes carry from `a`, from
  /// `b` or from both.
  void SilenceBetween(const std::string& a,
                      const std::string& b,
                      bool from_a,
                      bool from_b) {
    site_.Relay(a, b).Silence(from_a, from_b);
    site_.Relay(b, a).Silence(from_b, from_a);
  }

  PeerSite site_;
};

// Guards against a silent connection that is kept, and against reporting the
// node at its other end as unreachable although a new connection works.
TEST_F(PeerFaults, SilentConnectionIsReplaced) {
  StartRelayed(2);
  SilenceBetween("n00", "n01", true, true);
  ASSERT_TRUE(PeerSite::WaitUntil([&] {
    return site_.Node("n00").Count(events::kPeerSilent) +
               site_.Node("n01").Count(events::kPeerSilent) >
           0;
  }));
  EXPECT_TRUE(MessageArrives("n00", "n01"));
  EXPECT_TRUE(MessageArrives("n01", "n00"));
}

// Guards against keeping a connection that is silent in one direction only.
TEST_F(PeerFaults, OneWaySilentConnectionIsReplaced) {
  StartRelayed(3);
  for (const bool from_first : {true, false}) {
    SilenceBetween("n00", "n01", from_first, !from_first);
    EXPECT_TRUE(
        MessageArrives(from_first ? "n00" : "n01", from_first ? "n01" : "n00"));
  }
  ASSERT_TRUE(PeerSite::WaitUntil([&] { return site_.AllNodesSee(3); }));
}

// Guards against reporting a node as unreachable because the connections from
// one other node to it are broken.
TEST_F(PeerFaults, NodeWithOneBrokenPathStaysReachable) {
  StartRelayed(3);
  site_.Relay("n00", "n01").SetDisconnected(true);
  site_.Relay("n01", "n00").SetDisconnected(true);
  boost::this_fiber::sleep_for(3 * site_.settings.peer_timeout);
  EXPECT_TRUE(site_.AllNodesSee(3));
  EXPECT_EQ(UnreachableEvents(), 0);
  EXPECT_FALSE(site_.Node("n00").service.Send("n01", DemandAck{"cell", 1}));
}

// Guards against an isolated node that is still listed as live, and against the
// two sides of a partition that do not reconnect when it ends.
TEST_F(PeerFaults, IsolatedNodeIsUnreachableUntilItReconnects) {
  StartRelayed(4);
  site_.Isolate("n02", true);
  ASSERT_TRUE(PeerSite::WaitUntil([&] {
    return site_.Node("n00").service.LiveIds().size() == 3 &&
           site_.Node("n01").service.LiveIds().size() == 3 &&
           site_.Node("n02").service.LiveIds().size() == 1;
  }));
  site_.Isolate("n02", false);
  ASSERT_TRUE(PeerSite::WaitUntil([&] { return site_.AllNodesSee(4); }));
}

// Guards against taking a node that restarted at another address for its former
// process, whose messages must be ignored when it reconnects.
TEST_F(PeerFaults, RestartedNodeReplacesItsPredecessor) {
  StartRelayed(3);
  const std::string old_incarnation = site_.Node("n01").service.self();
  site_.Isolate("n01", true);
  auto previous = std::move(site_.nodes.at("n01"));
  site_.nodes.erase("n01");
  site_.Start("n01");
  ASSERT_TRUE(PeerSite::WaitUntil([&] { return site_.AllNodesSee(3); }));
  auto& node = site_.Node("n00");
  ASSERT_TRUE(PeerSite::WaitUntil(
      [&] { return node.Count(events::kMemberRestarted) == 1; }));
  EXPECT_TRUE(node.service.MayStillRun(old_incarnation));

  // The former process was only isolated. Its messages are ignored.
  site_.Isolate("n01", false);
  ASSERT_TRUE(PeerSite::WaitUntil(
      [&] { return node.Count(events::kStaleIncarnation) > 0; }));
  const auto before = node.received.size();
  previous->service.Broadcast(CrashNotice{1, 1, 1000});
  boost::this_fiber::sleep_for(200ms);
  EXPECT_EQ(node.received.size(), before);
  EXPECT_TRUE(MessageArrives("n01", "n00"));
}

// Guards against a node that restarts at its former address and stays removed
// because its former process announced that it stopped.
TEST_F(PeerFaults, NodeRestartedAtItsAddressIsReachable) {
  site_.StartNodes(3);
  ASSERT_TRUE(PeerSite::WaitUntil([&] { return site_.AllNodesSee(3); }));
  const auto port = site_.vms.at("n01").peer_port;
  site_.nodes.erase("n01");
  ASSERT_TRUE(PeerSite::WaitUntil([&] { return site_.AllNodesSee(2); }));
  EXPECT_EQ(site_.Node("n00").service.Members().size(), 2U);
  site_.Start("n01", port);
  EXPECT_TRUE(PeerSite::WaitUntil([&] { return site_.AllNodesSee(3); }));
  EXPECT_EQ(site_.Node("n02").Count(events::kMemberRestarted), 1);
  EXPECT_TRUE(MessageArrives("n00", "n01"));
}

// Guards against a resumed node that reports all others as unreachable, because
// it received nothing during its own pause.
TEST_F(PeerFaults, ResumedNodeKeepsTheOthersReachable) {
  StartRelayed(3);
  auto& paused = site_.Node("n02");
  site_.Pause("n02", true);
  ASSERT_TRUE(PeerSite::WaitUntil([&] {
    return site_.Node("n00").service.LiveIds().size() == 2 &&
           site_.Node("n01").service.LiveIds().size() == 2;
  }));
  boost::this_fiber::sleep_for(2 * site_.settings.peer_timeout);
  site_.Pause("n02", false);
  ASSERT_TRUE(PeerSite::WaitUntil([&] { return site_.AllNodesSee(3); }));
  EXPECT_GE(paused.Count(events::kProcessPaused), 1);
  EXPECT_EQ(paused.Count(events::kMemberRestarted), 0);
  EXPECT_TRUE(MessageArrives("n02", "n00"));
}

// Guards against an unreachable data centre whose nodes stay live in the view
// of the others, because of the links among themselves that they reported last.
TEST_F(PeerFaults, LostDataCentreIsUnreachableAsAWhole) {
  site_.settings.peer_links = 4;
  StartRelayed(12);
  const auto lost = [](const std::string& id) { return id >= "n08"; };
  const auto set_disconnected = [&](bool disconnected) {
    for (const auto& [key, relay] : site_.relays) {
      if (lost(std::get<0>(key)) != lost(std::get<1>(key))) {
        relay->SetDisconnected(disconnected);
      }
    }
  };
  const auto sides_see_themselves = [&] {
    return std::ranges::all_of(site_.nodes, [&](const auto& it) {
      return it.second->service.LiveIds().size() == (lost(it.first) ? 4U : 8U);
    });
  };
  set_disconnected(true);
  EXPECT_TRUE(PeerSite::WaitUntil(sides_see_themselves));
  set_disconnected(false);
  EXPECT_TRUE(PeerSite::WaitUntil([&] { return site_.AllNodesSee(12); }));
}

// Guards against members that are removed while the VM list cannot be read.
TEST_F(PeerFaults, LastVmListIsKeptWhileReadsFail) {
  StartRelayed(3);
  for (auto& [id, node] : site_.nodes) {
    node->list.failing = true;
  }
  auto& node = site_.Node("n00");
  ASSERT_TRUE(PeerSite::WaitUntil(
      [&] { return node.Count(events::kVmListUnavailable) == 1; }));
  boost::this_fiber::sleep_for(2 * site_.settings.peer_timeout);
  EXPECT_TRUE(site_.AllNodesSee(3));
  EXPECT_EQ(node.service.Members().size(), 3U);
  EXPECT_TRUE(MessageArrives("n00", "n01"));
  node.list.failing = false;
  EXPECT_TRUE(PeerSite::WaitUntil(
      [&] { return node.Count(events::kVmListAvailable) == 1; }));
}

}  // namespace
}  // namespace tanagerloom
