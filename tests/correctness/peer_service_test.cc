// Tests of the peer network with several nodes over loopback.
#include "membership/peer_service.h"

#include <gtest/gtest.h>

#include "base/events.h"
#include "membership/peer_counters.h"
#include "tests/support/peer_site.h"

namespace tanagerloom {
namespace {

using namespace std::chrono_literals;

// Guards against nodes that do not discover each other, and against a broadcast
// that reaches a node twice or with a wrong sender.
TEST(PeerService, FullMeshDeliversBroadcastOnce) {
  PeerSite site;
  site.StartNodes(4);
  ASSERT_TRUE(PeerSite::WaitUntil([&] { return site.AllNodesSee(4); }));
  auto& sender = *site.nodes.at("n00");
  sender.service.Broadcast(RecordUpdate{"cell", 7, "{}"});
  ASSERT_TRUE(PeerSite::WaitUntil([&] {
    return std::ranges::all_of(site.nodes, [](const auto& it) {
      return it.first == "n00" || !it.second->received.empty();
    });
  }));
  boost::this_fiber::sleep_for(100ms);
  for (const auto& [id, node] : site.nodes) {
    if (id == "n00") {
      EXPECT_TRUE(node->received.empty());
      continue;
    }
    ASSERT_EQ(node->received.size(), 1U) << id;
    EXPECT_EQ(node->received[0].first, sender.service.self());
    EXPECT_EQ(std::get<RecordUpdate>(node->received[0].second).object_version,
              7U);
  }
}

// Guards against large records that every node forwards to all others.
TEST(PeerService, LargeBroadcastCrossesEachPathAboutOnce) {
  PeerSite site;
  site.StartNodes(6);
  ASSERT_TRUE(PeerSite::WaitUntil([&] { return site.AllNodesSee(6); }));
  boost::this_fiber::sleep_for(2 * site.settings.peer_timeout);
  constexpr std::size_t kBytes = 500 * 1024;
  auto& sender = site.Node("n02");
  sender.service.Broadcast(RecordUpdate{"c", 1, std::string(kBytes, 'r')});
  ASSERT_TRUE(PeerSite::WaitUntil([&] {
    return std::ranges::all_of(site.nodes, [](const auto& it) {
      return it.first == "n02" || it.second->received.size() == 1;
    });
  }));
  for (const auto& [id, node] : site.nodes) {
    EXPECT_LT(node->service.counters().bytes_received, kBytes * 3 / 2) << id;
  }
}

// Guards against a direct message that reaches other nodes, or none.
TEST(PeerService, SendReachesOnlyTheNamedNode) {
  PeerSite site;
  site.StartNodes(3);
  ASSERT_TRUE(PeerSite::WaitUntil([&] { return site.AllNodesSee(3); }));
  EXPECT_TRUE(site.Node("n00").service.Send("n02", Demand{"cell", 1, {}}));
  EXPECT_FALSE(site.Node("n00").service.Send("n09", DemandAck{"cell", 1}));
  ASSERT_TRUE(PeerSite::WaitUntil(
      [&] { return site.Node("n02").received.size() == 1; }));
  EXPECT_TRUE(site.Node("n01").received.empty());
}

// Guards against a stopped node that counts as live until a timeout.
TEST(PeerService, StopIsAnnounced) {
  PeerSite site;
  site.StartNodes(3);
  ASSERT_TRUE(PeerSite::WaitUntil([&] { return site.AllNodesSee(3); }));
  site.Node("n01").service.Stop();
  site.nodes.erase("n01");
  ASSERT_TRUE(PeerSite::WaitUntil([&] { return site.AllNodesSee(2); }));
  EXPECT_EQ(site.Node("n00").Count(events::kMemberLeaving), 1);
}

// Guards against a node that joins without a valid key, and against a status
// that shows the key.
TEST(PeerService, WrongKeyIsRefused) {
  PeerSite site;
  site.StartNodes(2);
  site.settings.peer_keys = {"another key"};
  auto& stranger = site.Start("n09");
  auto& node = *site.nodes.at("n00");
  ASSERT_TRUE(PeerSite::WaitUntil(
      [&] { return node.Count(events::kPeerRefused) > 0; }));
  EXPECT_EQ(stranger.service.LiveIds().size(), 1U);
  EXPECT_EQ(node.service.LiveIds().size(), 2U);
  EXPECT_EQ(node.service.Status().dump().find("test key"), std::string::npos);
}

// A fleet in which no node has links to all others.
class PeerFleet : public testing::Test {
 protected:
  static constexpr int kNodes = 24;

  void SetUp() override {
    site_.settings.peer_links = 4;
    site_.settings.peer_timeout = 1000ms;
    site_.StartNodes(kNodes);
    ASSERT_TRUE(PeerSite::WaitUntil([&] { return site_.AllNodesSee(kNodes); }));
  }

  // Returns the number of a node's links that are part of the mesh, or not.
  static std::size_t CountLinks(const SiteNode& node, bool mesh) {
    std::size_t n = 0;
    const auto status = node.service.Status();
    for (const auto& it : status.at("links")) {
      n += it.at("mesh") == mesh ? 1 : 0;
    }
    return n;
  }

  PeerSite site_;
};

// Guards against a number of links per node that grows with the fleet, and
// against a flood that misses a node or reaches it twice.
TEST_F(PeerFleet, FloodReachesAllNodesOverFewLinks) {
  EXPECT_TRUE(PeerSite::WaitUntil([&] {
    std::size_t sum = 0;
    for (const auto& [id, node] : site_.nodes) {
      sum += CountLinks(*node, true);
    }
    return sum <= std::size_t{kNodes} * 6;
  }));
  site_.Node("n05").service.Broadcast(CrashNotice{42, 2, 1000});
  EXPECT_TRUE(PeerSite::WaitUntil([&] {
    return std::ranges::all_of(site_.nodes, [](const auto& it) {
      return it.first == "n05" || !it.second->received.empty();
    });
  }));
  boost::this_fiber::sleep_for(100ms);
  for (const auto& [id, node] : site_.nodes) {
    EXPECT_EQ(node->received.size(), id == "n05" ? 0U : 1U) << id;
  }
}

// Guards against nodes that cannot send to each other because there is no link
// between them.
TEST_F(PeerFleet, SendOpensConnectionsOnDemand) {
  auto& sender = site_.Node("n00");
  for (const auto& [id, node] : site_.nodes) {
    EXPECT_EQ(sender.service.Send(id, OrderDone{"c", "s", "o"}), id != "n00");
  }
  EXPECT_TRUE(PeerSite::WaitUntil([&] {
    return std::ranges::all_of(site_.nodes, [](const auto& it) {
      return it.first == "n00" || it.second->received.size() == 1;
    });
  }));
  EXPECT_GT(CountLinks(sender, false), 0U);
  boost::this_fiber::sleep_for(2 * site_.settings.peer_timeout);
  EXPECT_TRUE(site_.AllNodesSee(kNodes));
  EXPECT_EQ(sender.Count(events::kPeerSilent), 0);

  // Connections that were unused for longer than the idle timeout are closed;
  // the nodes stay live.
  sender.clock.state->skipped += 31s;
  EXPECT_TRUE(
      PeerSite::WaitUntil([&] { return CountLinks(sender, false) == 0; }));
  EXPECT_GT(CountLinks(sender, true), 0U);
  EXPECT_TRUE(site_.AllNodesSee(kNodes));
}

// Guards against nodes that miss the notice that a node or endpoint is leaving.
TEST_F(PeerFleet, LeavingIsKnownEverywhere) {
  Vm endpoint;
  endpoint.id = "gw-01";
  endpoint.role = VmRole::kEngine;
  site_.vms[endpoint.id] = endpoint;
  site_.Node("n03").service.AnnounceLeaving();
  site_.Node("n04").service.ReportLeaving(endpoint.id);
  EXPECT_TRUE(
      PeerSite::WaitUntil([&] { return site_.AllNodesSee(kNodes - 1); }));
  EXPECT_TRUE(PeerSite::WaitUntil([&] {
    return std::ranges::all_of(site_.nodes, [](const auto& it) {
      return std::ranges::any_of(it.second->service.Vms(), [](const Vm& vm) {
        return vm.id == "gw-01" && vm.leaving;
      });
    });
  }));
}

}  // namespace
}  // namespace tanagerloom
