// Tests of the order of waiting requests over several nodes: what they exchange
// and what a node does with it, in virtual time and without a network.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "fleet/fleet_view.h"
#include "fleet/waiting_table.h"
#include "forwarding/waiting_exchange.h"
#include "forwarding/waiting_list.h"
#include "forwarding/waiting_lists.h"
#include "membership/envelope.h"
#include "runtime/manual_clock.h"
#include "tests/fakes/fake_peers.h"

namespace tanagerloom {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1h};

// One node with its list for a target that all nodes share.
struct Node {
  FairShares shares;
  WaitingList list{shares};
  std::map<std::string, int> sent;
  std::map<std::string, int> served;
  WaitingReport last;

  double Served(const std::string& customer) {
    return static_cast<double>(served[customer]) / sent[customer];
  }

  WaitingReport TakeReport() {
    last = {"s", {}, {}};
    for (const auto* it : list.ShortOfPlaces()) {
      last.classes.push_back({"m", it->priority, 1});
    }
    for (const auto& [key, customers] : shares.TakeServed()) {
      for (const auto& [customer, cost] : customers) {
        last.shares.push_back({customer, key.rank, 0, cost});
      }
    }
    return last;
  }
};

// Plays a customer that sends six times its load through all three nodes, and
// one whose whole load comes through the third. Returns the fraction of it that
// is served.
double PlayUnevenLoad(bool exchange) {
  constexpr int kTicks = 3000;
  constexpr int kTicksBetweenSums = 100;
  std::vector<Node> nodes(3);
  WaitingTable table;
  std::uint64_t id = 0;
  for (int tick = 0; tick < kTicks; ++tick) {
    const auto now = kStart + tick * 10ms;
    const auto add = [&](Node& node, const std::string& customer, int n) {
      node.sent[customer] += n;
      for (int i = 0; i < n; ++i) {
        node.list.Add({++id, 1, customer, 1, now + 500ms});
      }
    };
    for (auto& node : nodes) {
      node.list.OnEndpoints(1);
      add(node, "hot", 6);
    }
    add(nodes[2], "local", 2);
    for (auto& node : nodes) {
      for (const auto it : node.list.EndingBefore(now)) {
        node.list.Remove(it);
      }
      int room = 2;
      node.list.Serve(
          [&](std::uint64_t it) {
            if (room-- == 0) {
              return OfferResult::kNoPlace;
            }
            ++node.served[node.list.entries().at(it).customer];
            return OfferResult::kTaken;
          },
          now);
    }
    if (!exchange || tick % kTicksBetweenSums != 0) {
      continue;
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      table.OnReport(std::to_string(i), nodes[i].TakeReport(), now);
    }
    for (const auto& sum : table.TakeSums(now)) {
      for (auto& node : nodes) {
        std::map<std::pair<std::string, std::uint32_t>, double> own;
        for (const auto& it : node.last.shares) {
          own[{it.customer, it.priority}] = it.served;
        }
        for (const auto& it : WithoutOwn(sum, node.last, own).shares) {
          node.shares.OnServedElsewhere({false, it.priority}, it.customer,
                                        it.served);
        }
      }
    }
  }
  return nodes[2].Served("local");
}

// Guards against shares that hold at each node only: a customer whose load
// comes through one node would get half of that node, beside one that has half
// of it and all the others.
TEST(WaitingOverNodes, SharesHoldOverAllNodes) {
  EXPECT_LT(PlayUnevenLoad(/*exchange=*/false), 0.6);
  EXPECT_GE(PlayUnevenLoad(/*exchange=*/true), 0.9);
}

// Guards against a low class at one node that takes the places for which a high
// class waits at another, against one that starves meanwhile, and against
// places left by a node that is not short of them or hears nothing any more.
TEST(WaitingOverNodes, LowClassLeavesPlacesToAHighClassElsewhere) {
  FairShares shares;
  WaitingList list(shares);
  for (std::uint64_t id = 1; id <= 100; ++id) {
    list.Add({id, 5, "a", 1, kStart + 9s});
  }
  const auto has_place = [](std::uint64_t) { return true; };
  const auto take_one = [&](TimePoint now) {
    int room = 1;
    return list
        .Serve(
            [&](std::uint64_t) {
              return room-- > 0 ? OfferResult::kTaken : OfferResult::kNoPlace;
            },
            now)
        .size();
  };
  const auto until = kStart + 1s;
  list.OnWaitingElsewhere(0, until);
  EXPECT_FALSE(list.LeavesPlace(has_place, kStart)) << "not short of places";
  take_one(kStart);
  std::size_t taken = 0;
  for (int i = 0; i < 100; ++i) {
    taken += list.LeavesPlace(has_place, kStart) ? 0 : take_one(kStart);
  }
  EXPECT_EQ(taken, 10U);
  EXPECT_FALSE(list.LeavesPlace([](std::uint64_t) { return false; }, kStart));
  EXPECT_FALSE(list.LeavesPlace(has_place, until)) << "nothing heard since";
  list.OnWaitingElsewhere(5, until + 1s);
  EXPECT_FALSE(list.LeavesPlace(has_place, until)) << "of equal right";
}

// Guards against counts of nodes that no longer report, and against a node that
// leaves places to its own requests.
TEST(WaitingOverNodes, SumsListTheFirstClassOfNodesThatReport) {
  WaitingTable table;
  const WaitingReport high{"s", {{"m", 1, 2}, {"m", 5, 9}}, {{"a", 1, 2, 7}}};
  const WaitingReport low{"s", {{"m", 5, 3}, {"n", 5, 1}}, {{"a", 1, 0, 5}}};
  table.OnReport("x", high, kStart);
  table.OnReport("y", low, kStart + 2s);
  auto sums = table.TakeSums(kStart + 2s);
  ASSERT_EQ(sums.size(), 1U);
  const std::vector<WaitingClass> classes = {{"m", 1, 2}, {"n", 5, 1}};
  EXPECT_EQ(sums[0].classes, classes);
  EXPECT_EQ(sums[0].shares, (std::vector<CustomerShare>{{"a", 1, 2, 12}}));
  const auto rest = WithoutOwn(sums[0], high, {{{"a", 1}, 7}});
  EXPECT_EQ(rest.classes[0].waiting, 0U);
  EXPECT_EQ(rest.shares[0].served, 5);
  sums = table.TakeSums(kStart + 3s);
  EXPECT_EQ(sums[0].classes[0].priority, 5U);
  EXPECT_TRUE(table.TakeSums(kStart + 5s).empty());
}

// Guards against traffic above the budget of a node, 3 KB a second, with many
// customers and models, and against a message that its decoding changes.
TEST(WaitingOverNodes, SummaryStaysWithinTheTrafficBudget) {
  constexpr std::size_t kBudgetBytes = 3000;
  WaitingTable table;
  WaitingReport report{"service-of-many", {}, {}};
  for (std::uint32_t i = 0; i < 300; ++i) {
    report.classes.push_back({"model-name-" + std::to_string(i), i % 9, 3});
    report.shares.push_back({"customer-" + std::to_string(i), i % 9, 3, 1.5});
  }
  table.OnReport("x", report, kStart);
  Envelope envelope;
  envelope.sender = "node-1";
  envelope.incarnation = "1";
  const WaitingSummary summary{3, 4, table.TakeSums(kStart).at(0)};
  envelope.body = PeerMessage(summary);
  const auto bytes = EncodeEnvelope(envelope);
  EXPECT_LE(bytes.size(), kBudgetBytes);
  std::printf("largest summary: %zu bytes\n", bytes.size());
  const auto decoded = DecodeEnvelope(bytes);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(std::get<WaitingSummary>(
                std::get<PeerMessage>(decoded.assume_value().body)),
            summary);
}

// Guards against messages without customers or while nothing waits, and against
// a collector that keeps what was reported to it.
TEST(WaitingOverNodes, SummariesAreSentOnlyWithCustomersAndWaitingRequests) {
  ManualClock clock;
  FakeCluster cluster;
  FakePeers self(cluster, "a", "z");
  FakePeers peer(cluster, "b", "z");
  int summaries = 0;
  peer.OnMessage([&](const std::string&, const PeerMessage& message) {
    summaries += std::holds_alternative<WaitingSummary>(message) ? 1 : 0;
  });
  FleetView view("z", clock);
  WaitingLists lists(view, clock, [] { return TimePoint::max(); });
  bool customers = false;
  WaitingExchange exchange({lists, self, clock, [&] { return customers; },
                            [] {
                              return WaitingCollector{"a", 1};
                            }});
  exchange.OnReport("b", {"s", {{"m", 1, 2}}, {}});
  exchange.Exchange();
  EXPECT_EQ(summaries, 0) << "without customers";
  customers = true;
  exchange.Exchange();
  EXPECT_EQ(summaries, 1);
  exchange.OnReport("b", {"s", {}, {}});
  exchange.Exchange();
  EXPECT_EQ(summaries, 1) << "nothing waits";
}

}  // namespace
}  // namespace tanagerloom
