// Peer network of several nodes over loopback: guards against lost, repeated or
// misattributed messages and against wrong views of who lives.
#include "membership/peer_service.h"

#include <gtest/gtest.h>

#include "base/events.h"
#include "tests/support/peer_site.h"

namespace tanagerloom {
namespace {

using namespace std::chrono_literals;

// Guards against nodes that stay invisible to each other, and against a
// broadcast that reaches a node twice or with a wrong sender.
TEST(PeerService, FullMeshDeliversBroadcastOnce) {
  PeerSite site;
  site.StartMany(4);
  ASSERT_TRUE(PeerSite::Wait([&] { return site.AllSee(4); }));
  auto& sender = *site.nodes.at("n00");
  sender.service.Broadcast(RecordUpdate{"cell", 7, "{}"});
  ASSERT_TRUE(PeerSite::Wait([&] {
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

// Guards against a direct message that reaches other nodes, or none.
TEST(PeerService, SendReachesOnlyTheNamedNode) {
  PeerSite site;
  site.StartMany(3);
  ASSERT_TRUE(PeerSite::Wait([&] { return site.AllSee(3); }));
  EXPECT_TRUE(site.nodes.at("n00")->service.Send("n02", Demand{"cell", 1, {}}));
  EXPECT_FALSE(site.nodes.at("n00")->service.Send("n09", DemandAck{"cell", 1}));
  ASSERT_TRUE(PeerSite::Wait(
      [&] { return site.nodes.at("n02")->received.size() == 1; }));
  EXPECT_TRUE(site.nodes.at("n01")->received.empty());
}

// Guards against a stopped node that stays live until a timeout.
TEST(PeerService, StopIsAnnounced) {
  PeerSite site;
  site.StartMany(3);
  ASSERT_TRUE(PeerSite::Wait([&] { return site.AllSee(3); }));
  site.nodes.at("n01")->service.Stop();
  site.nodes.erase("n01");
  ASSERT_TRUE(PeerSite::Wait([&] { return site.AllSee(2); }));
  EXPECT_EQ(site.nodes.at("n00")->Count(events::kMemberLeaving), 1);
}

// Guards against a node that learns the state of others without a key.
TEST(PeerService, WrongKeyIsRefused) {
  PeerSite site;
  site.StartMany(2);
  site.settings.peer_keys = {"another key"};
  auto& stranger = site.Start("n09");
  auto& node = *site.nodes.at("n00");
  ASSERT_TRUE(
      PeerSite::Wait([&] { return node.Count(events::kPeerRefused) > 0; }));
  EXPECT_EQ(stranger.service.LiveIds().size(), 1U);
  EXPECT_EQ(node.service.LiveIds().size(), 2U);
  EXPECT_EQ(node.service.Status().dump().find("test key"), std::string::npos);
}

}  // namespace
}  // namespace tanagerloom
