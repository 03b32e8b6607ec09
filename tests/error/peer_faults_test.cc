// Peer network under faults: guards against nodes that are declared dead while
// they live, links that stay silent, and messages of replaced processes.
#include <gtest/gtest.h>

#include "base/events.h"
#include "tests/support/peer_site.h"

namespace tanagerloom {
namespace {

using namespace std::chrono_literals;

class PeerFaults : public testing::Test {
 protected:
  void StartRelayed(int n) {
    site_.relayed = true;
    site_.StartMany(n);
    ASSERT_TRUE(PeerSite::Wait([&] { return site_.AllSee(n); }));
  }

  int Unreachable() {
    int n = 0;
    for (const auto& [id, node] : site_.nodes) {
      n += node->Count(events::kMemberUnreachable);
    }
    return n;
  }

  /// Whether a direct message from one node to the other arrives.
  bool Delivers(const std::string& from, const std::string& to) {
    auto& receiver = site_.Node(to);
    const auto before = receiver.received.size();
    return PeerSite::Wait([&] {
      site_.Node(from).service.Send(to, DemandAck{"cell", 1});
      return receiver.received.size() > before;
    });
  }

  void SilenceBetween(const std::string& a,
                      const std::string& b,
                      bool from_a,
                      bool from_b) {
    site_.Relay(a, b).Silence(from_a, from_b);
    site_.Relay(b, a).Silence(from_b, from_a);
  }

  PeerSite site_;
};

// Guards against a silent connection that is kept, and against taking its other
// end for dead although a new connection works.
TEST_F(PeerFaults, SilentConnectionIsReplaced) {
  StartRelayed(2);
  SilenceBetween("n00", "n01", true, true);
  ASSERT_TRUE(PeerSite::Wait([&] {
    return site_.Node("n00").Count(events::kPeerSilent) +
               site_.Node("n01").Count(events::kPeerSilent) >
           0;
  }));
  EXPECT_TRUE(Delivers("n00", "n01"));
  EXPECT_TRUE(Delivers("n01", "n00"));
}

// As above for a connection that carries nothing in one direction only.
TEST_F(PeerFaults, OneWaySilentConnectionIsReplaced) {
  StartRelayed(3);
  for (const bool from_first : {true, false}) {
    SilenceBetween("n00", "n01", from_first, !from_first);
    EXPECT_TRUE(
        Delivers(from_first ? "n00" : "n01", from_first ? "n01" : "n00"));
  }
  ASSERT_TRUE(PeerSite::Wait([&] { return site_.AllSee(3); }));
}

// Guards against declaring a node dead because one path to it is broken.
TEST_F(PeerFaults, BrokenPathIsNoDeath) {
  StartRelayed(3);
  site_.Relay("n00", "n01").SetCut(true);
  site_.Relay("n01", "n00").SetCut(true);
  boost::this_fiber::sleep_for(3 * site_.settings.peer_timeout);
  EXPECT_TRUE(site_.AllSee(3));
  EXPECT_EQ(Unreachable(), 0);
  EXPECT_FALSE(site_.Node("n00").service.Send("n01", DemandAck{"cell", 1}));
}

// Guards against a lost node that stays live, and against sides of a partition
// that don't find each other again.
TEST_F(PeerFaults, IsolatedNodeIsUnreachableAndReturns) {
  StartRelayed(4);
  site_.Isolate("n02", true);
  ASSERT_TRUE(PeerSite::Wait([&] {
    return site_.Node("n00").service.LiveIds().size() == 3 &&
           site_.Node("n01").service.LiveIds().size() == 3 &&
           site_.Node("n02").service.LiveIds().size() == 1;
  }));
  site_.Isolate("n02", false);
  ASSERT_TRUE(PeerSite::Wait([&] { return site_.AllSee(4); }));
}

// Guards against a restarted node, at another address, that is taken for its
// predecessor.
TEST_F(PeerFaults, RestartedNodeReplacesItsPredecessor) {
  StartRelayed(3);
  const std::string old = site_.Node("n01").service.self();
  site_.Isolate("n01", true);
  auto previous = std::move(site_.nodes.at("n01"));
  site_.nodes.erase("n01");
  site_.Start("n01");
  ASSERT_TRUE(PeerSite::Wait([&] { return site_.AllSee(3); }));
  auto& node = site_.Node("n00");
  ASSERT_TRUE(PeerSite::Wait(
      [&] { return node.Count(events::kMemberRestarted) == 1; }));
  EXPECT_TRUE(node.service.MayStillRun(old));

  // The predecessor was only cut off. It comes back and is ignored.
  site_.Isolate("n01", false);
  ASSERT_TRUE(PeerSite::Wait(
      [&] { return node.Count(events::kStaleIncarnation) > 0; }));
  const auto before = node.received.size();
  previous->service.Broadcast(CrashNotice{1, 1, 1000});
  boost::this_fiber::sleep_for(200ms);
  EXPECT_EQ(node.received.size(), before);
  EXPECT_TRUE(Delivers("n01", "n00"));
}

// Guards against a restarted node at its old address that stays gone because
// its predecessor announced its end.
TEST_F(PeerFaults, RestartAtTheSameAddress) {
  site_.StartMany(3);
  ASSERT_TRUE(PeerSite::Wait([&] { return site_.AllSee(3); }));
  const auto port = site_.vms.at("n01").peer_port;
  site_.nodes.erase("n01");
  ASSERT_TRUE(PeerSite::Wait([&] { return site_.AllSee(2); }));
  EXPECT_EQ(site_.Node("n00").service.Members().size(), 2U);
  site_.Start("n01", port);
  EXPECT_TRUE(PeerSite::Wait([&] { return site_.AllSee(3); }));
  EXPECT_EQ(site_.Node("n02").Count(events::kMemberRestarted), 1);
  EXPECT_TRUE(Delivers("n00", "n01"));
}

// Guards against a paused node that, when it goes on, takes the silence of its
// own pause for the death of all others.
TEST_F(PeerFaults, PausedNodeReturnsWithoutDeclaringOthersDead) {
  StartRelayed(3);
  auto& paused = site_.Node("n02");
  site_.Pause("n02", true);
  ASSERT_TRUE(PeerSite::Wait([&] {
    return site_.Node("n00").service.LiveIds().size() == 2 &&
           site_.Node("n01").service.LiveIds().size() == 2;
  }));
  boost::this_fiber::sleep_for(2 * site_.settings.peer_timeout);
  site_.Pause("n02", false);
  ASSERT_TRUE(PeerSite::Wait([&] { return site_.AllSee(3); }));
  EXPECT_GE(paused.Count(events::kProcessPaused), 1);
  EXPECT_EQ(paused.Count(events::kMemberRestarted), 0);
  EXPECT_TRUE(Delivers("n02", "n00"));
}

// Guards against a lost data centre whose nodes keep each other alive in the
// view of the others, by the links among themselves that they reported last.
TEST_F(PeerFaults, LostDataCentreDisappearsAsAWhole) {
  site_.settings.peer_links = 4;
  StartRelayed(12);
  const auto lost = [](const std::string& id) { return id >= "n08"; };
  const auto cut = [&](bool on) {
    for (const auto& [key, relay] : site_.relays) {
      if (lost(std::get<0>(key)) != lost(std::get<1>(key))) {
        relay->SetCut(on);
      }
    }
  };
  const auto sides_see_themselves = [&] {
    return std::ranges::all_of(site_.nodes, [&](const auto& it) {
      return it.second->service.LiveIds().size() == (lost(it.first) ? 4U : 8U);
    });
  };
  cut(true);
  EXPECT_TRUE(PeerSite::Wait(sides_see_themselves));
  cut(false);
  EXPECT_TRUE(PeerSite::Wait([&] { return site_.AllSee(12); }));
}

// Guards against members that vanish while the VM list cannot be read.
TEST_F(PeerFaults, FailingVmListKeepsTheLastOne) {
  StartRelayed(3);
  for (auto& [id, node] : site_.nodes) {
    node->list.failing = true;
  }
  auto& node = site_.Node("n00");
  ASSERT_TRUE(PeerSite::Wait(
      [&] { return node.Count(events::kVmListUnavailable) == 1; }));
  boost::this_fiber::sleep_for(2 * site_.settings.peer_timeout);
  EXPECT_TRUE(site_.AllSee(3));
  EXPECT_EQ(node.service.Members().size(), 3U);
  EXPECT_TRUE(Delivers("n00", "n01"));
  node.list.failing = false;
  EXPECT_TRUE(PeerSite::Wait(
      [&] { return node.Count(events::kVmListAvailable) == 1; }));
}

}  // namespace
}  // namespace tanagerloom
