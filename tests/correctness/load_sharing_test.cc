// Tests of the exchange of reported loads between nodes, without a network.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "fleet/endpoint_record.h"
#include "fleet/fleet_view.h"
#include "fleet/load_sharing.h"
#include "fleet/reported_load.h"
#include "tests/fakes/fake_peers.h"
#include "tests/fakes/virtual_clock.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kSlots = 16;
constexpr std::uint64_t kBoot = 7;
constexpr int kDataCentres = 3;

struct SharingNode {
  SharingNode(FakeCluster& cluster,
              const Clock& clock,
              const std::string& id,
              const std::string& data_centre)
      : peers(cluster, id, data_centre),
        view(data_centre, clock),
        sharing(view, peers, clock, data_centre) {
    peers.OnMessage([this](const std::string&, const PeerMessage& message) {
      ++messages;
      sharing.OnLoads(std::get<SharedLoads>(message));
    });
    for (const auto* endpoint : {"a", "b"}) {
      EndpointRecord record;
      record.id = endpoint;
      record.service = "s";
      record.slots = kSlots;
      record.boot = kBoot;
      view.directory().Update(record, clock.Now());
    }
  }

  // Requests of other nodes that this node assumes at endpoint a.
  double LoadOfA() {
    auto candidates = view.Candidates("s", {}, {});
    view.AddObservations(candidates);
    return candidates.front().uncounted_in_flight;
  }

  FakePeers peers;
  FleetView view;
  LoadSharing sharing;
  int messages = 0;
};

class LoadSharingTest : public testing::Test {
 protected:
  void AddNodes(std::size_t n) {
    for (std::size_t i = 0; i < n; ++i) {
      nodes.push_back(std::make_unique<SharingNode>(
          cluster, clock, "n" + std::to_string(i),
          "z" + std::to_string(i % kDataCentres)));
    }
    // All nodes know that endpoints report their load.
    for (const auto& it : nodes) {
      it->view.OnReportedLoad("b", kBoot, {0, 0, kSlots, 1.0});
    }
    PlayRounds(1);
  }

  void PlayRounds(int n) {
    for (int i = 0; i < n; ++i) {
      for (const auto& it : nodes) {
        (void)it->sharing.Share();
      }
      clock.SleepUntil(clock.Now() + milliseconds(50));
    }
  }

  // Number of nodes that assume endpoint a to be busy.
  std::size_t Informed() {
    return static_cast<std::size_t>(std::ranges::count_if(
        nodes, [](const auto& it) { return it->LoadOfA() > kSlots / 2; }));
  }

  VirtualClock clock;
  FakeCluster cluster;
  std::vector<std::unique_ptr<SharingNode>> nodes;
};

// Guards against nodes that learn of a busy endpoint only by their own
// requests, and against messages between all pairs of nodes.
TEST_F(LoadSharingTest, OneReportReachesAllDataCentres) {
  AddNodes(30);
  PlayRounds(3);
  int before = 0;
  for (const auto& it : nodes) {
    before += it->messages;
  }
  nodes[4]->view.OnReportedLoad("a", kBoot, {kSlots, 8, kSlots, 2.0});
  PlayRounds(3);
  EXPECT_EQ(Informed(), nodes.size());
  int messages = -before;
  for (const auto& it : nodes) {
    messages += it->messages;
  }
  EXPECT_LE(messages, 2 * static_cast<int>(nodes.size()));
  PlayRounds(5);
  int after = -before;
  for (const auto& it : nodes) {
    after += it->messages;
  }
  EXPECT_EQ(after, messages);  // Nothing is sent again.
}

// Guards against a data centre that learns nothing once its hub is lost.
TEST_F(LoadSharingTest, AnotherHubTakesOver) {
  AddNodes(30);
  for (int lost = 0; lost < 3; ++lost) {
    // The hub of the first data centre handles the most messages there.
    std::size_t hub = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      const bool first = i % kDataCentres == 0;
      hub = first && nodes[i]->messages > nodes[hub]->messages ? i : hub;
    }
    cluster.deliver = [id = "n" + std::to_string(hub)](const std::string& from,
                                                       const std::string& to) {
      return from != id && to != id;
    };
    PlayRounds(1);
    nodes[hub == 3 ? 6 : 3]->view.OnReportedLoad("a", kBoot,
                                                 {kSlots, 8, kSlots, 2.0});
    PlayRounds(4);
    EXPECT_GE(Informed(), nodes.size() - 1);
    clock.SleepUntil(clock.Now() + std::chrono::seconds(20));
    cluster.deliver = [](const std::string&, const std::string&) {
      return true;
    };
  }
}

// Guards against an old report, or one of an earlier start, that replaces what
// a node has heard itself.
TEST_F(LoadSharingTest, OnlyNewerReportsOfTheSameStartCount) {
  AddNodes(18);
  nodes[0]->view.OnReportedLoad("a", kBoot, {kSlots, 8, kSlots, 1.0});
  clock.SleepUntil(clock.Now() + milliseconds(10));
  nodes[1]->view.OnReportedLoad("a", kBoot, {0, 0, kSlots, 1.0});
  PlayRounds(3);
  for (const auto& it : nodes) {
    EXPECT_LT(it->LoadOfA(), kSlots / 2);
  }
  EndpointRecord restarted = *nodes[2]->view.directory().Find("a");
  restarted.boot = kBoot + 1;
  nodes[2]->view.directory().Update(restarted, clock.Now());
  nodes[0]->view.OnReportedLoad("a", kBoot, {kSlots, 8, kSlots, 1.0});
  PlayRounds(3);
  EXPECT_LT(nodes[2]->LoadOfA(), kSlots / 2);
  EXPECT_GT(nodes[3]->LoadOfA(), kSlots / 2);
}

// Guards against traffic in small fleets, whose nodes exchange the counts of
// their requests.
TEST_F(LoadSharingTest, SmallFleetsSendNothing) {
  AddNodes(LoadSharing::kMinNodes - 1);
  nodes[4]->view.OnReportedLoad("a", kBoot, {kSlots, 8, kSlots, 2.0});
  PlayRounds(3);
  for (const auto& it : nodes) {
    EXPECT_EQ(it->messages, 0);
  }
}

}  // namespace
}  // namespace tanagerloom
