// Tests of the lease under which engines are ordered: never two holders within
// the handover gap, whatever happens to the store, the peers and the clocks.
#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>
#include <memory>
#include <random>

#include "base/event_log.h"
#include "ordering/order_lease.h"
#include "tests/fakes/fake_object_store.h"
#include "tests/fakes/fake_peers.h"
#include "tests/fakes/virtual_clock.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The shared virtual time, as one VM sees it that is suspended at times:
// nothing of it runs meanwhile, and its steady clock stands still.
class VmClock final : public Clock {
 public:
  explicit VmClock(VirtualClock& time) : time_(time) {}
  TimePoint Now() const override { return time_.Now() - suspended_; }
  TimePoint SuspendAwareNow() const override { return time_.Now(); }
  milliseconds WallNow() const override { return time_.WallNow(); }
  void SleepUntil(TimePoint time) override {
    time_.SleepUntil(time + suspended_);
    while (time_.Now() < wakes_at_) {
      time_.SleepUntil(wakes_at_);
    }
  }

  void Suspend(Duration duration) {
    wakes_at_ = time_.Now() + duration;
    suspended_ += duration;
  }
  bool Awake() const { return time_.Now() >= wakes_at_; }

 private:
  VirtualClock& time_;
  Duration suspended_{};
  TimePoint wakes_at_{};
};

// One node's way to the store, which may be cut.
class NodeStore final : public ObjectStore {
 public:
  explicit NodeStore(FakeObjectStore& store) : store_(store) {}
  Result<StoredObject> Get(std::string_view key) override {
    return cut ? Result<StoredObject>(Cut()) : store_.Get(key);
  }
  Result<std::uint64_t> Put(std::string_view key,
                            std::string_view value,
                            std::uint64_t version) override {
    return cut ? Result<std::uint64_t>(Cut()) : store_.Put(key, value, version);
  }
  Result<void> Delete(std::string_view, std::uint64_t) override {
    return Cut();
  }
  Result<std::vector<ObjectKey>> List(std::string_view) override {
    return Cut();
  }
  Result<std::optional<StoredObject>> Watch(std::string_view,
                                            std::uint64_t,
                                            Duration) override {
    return Cut();
  }

  bool cut = false;

 private:
  static Error Cut() { return MakeError(ErrorKind::kTimeout, "cut"); }

  FakeObjectStore& store_;
};

struct Node {
  Node(FakeCluster& cluster,
       FakeObjectStore& shared,
       VirtualClock& time,
       const std::string& id)
      : peers(cluster, id, "dc"),
        store(shared),
        clock(time),
        log(id, 10, MakeNullLogger()),
        lease(store, peers, clock, log, "leases/orders", {}) {
    peers.OnMessage([this](const std::string&, const PeerMessage& message) {
      if (const auto* it = std::get_if<LeaseNotice>(&message)) {
        lease.OnNotice(*it);
      }
    });
    fiber = boost::fibers::fiber([this] { lease.Run(); });
  }
  ~Node() {
    lease.Stop();
    fiber.join();
  }

  FakePeers peers;
  NodeStore store;
  VmClock clock;
  EventLog log;
  OrderLease lease;
  boost::fibers::fiber fiber;
};

// Nodes that all order whenever they may, and what the engines see of it.
class LeaseSite {
 public:
  explicit LeaseSite(int nodes) : store(clock) {
    for (int i = 0; i < nodes; ++i) {
      Add("n" + std::to_string(i));
    }
  }

  void Add(const std::string& id) {
    nodes[id] = std::make_unique<Node>(cluster, store, clock, id);
  }

  // Lets time pass and checks each order against those of the other nodes.
  void Pass(Duration duration) {
    const auto end = clock.Now() + duration;
    while (clock.Now() < end) {
      clock.SleepFor(milliseconds(50));
      for (const auto& [id, node] : nodes) {
        for (const auto& engine : Busy()) {
          if (node->clock.Awake() && node->lease.MaySendOrder(engine)) {
            node->lease.RecordOrder(engine);
            Order(id, engine, node->lease.fence());
          }
        }
      }
    }
  }

  // The engines that get orders now: the first one always, the others in turn,
  // so that some had none for longer than the gap.
  std::vector<std::string> Busy() const {
    constexpr auto kTurn = milliseconds(2500);
    const auto turn = clock.Now().time_since_epoch() / kTurn % 3;
    std::vector<std::string> out{"e0"};
    if (turn != 0) {
      out.push_back("e" + std::to_string(turn));
    }
    return out;
  }

  void Order(const std::string& id,
             const std::string& engine,
             std::uint64_t fence) {
    ++orders;
    auto& last = engines[engine];
    if (!last.first.empty() && last.first != id) {
      EXPECT_GE(clock.Now() - last.second, seconds(3))
          << id << " after " << last.first << " at " << engine;
    }
    last = {id, clock.Now()};
    if (!last_holder.empty() && last_holder != id) {
      EXPECT_GT(fence, last_fence);
      ++handovers;
    }
    EXPECT_GE(fence, last_fence);
    last_holder = id;
    last_order = clock.Now();
    last_fence = fence;
  }

  Node& Holder() { return *nodes.at(last_holder); }

  VirtualClock clock;
  FakeObjectStore store;
  FakeCluster cluster;
  std::map<std::string, std::unique_ptr<Node>> nodes;
  /// By engine, who ordered it last and when.
  std::map<std::string, std::pair<std::string, TimePoint>> engines;
  std::string last_holder;
  TimePoint last_order{};
  std::uint64_t last_fence = 0;
  int orders = 0;
  int handovers = 0;
};

// Guards against a new fleet that gives no orders, or several nodes that do.
TEST(OrderLease, OneNodeOrdersSoonAfterTheStart) {
  LeaseSite site(4);
  site.Pass(seconds(2));
  EXPECT_GT(site.orders, 10);
  site.Pass(seconds(20));
  EXPECT_GT(site.orders, 350);
  EXPECT_EQ(site.handovers, 0);
}

// Guards against a holder's death that ends all orders, and against a successor
// that orders too early.
TEST(OrderLease, AnotherNodeTakesOverAfterADeath) {
  LeaseSite site(4);
  site.Pass(seconds(3));
  const auto dead = site.last_holder;
  site.store.fault = [](std::string_view) { return StoreFault::kNone; };
  // A killed process stores nothing more, not even a release.
  site.nodes.at(dead)->store.cut = true;
  site.nodes.erase(dead);
  site.Pass(seconds(10));
  EXPECT_EQ(site.handovers, 1);
  EXPECT_NE(site.last_holder, dead);
  EXPECT_GT(site.orders, 60);
}

// Guards against a pause of several seconds where the same VM holds the lease
// again after a restart of its process.
TEST(OrderLease, RestartedHolderGoesOnAtOnce) {
  LeaseSite site(3);
  site.Pass(seconds(3));
  const auto id = site.last_holder;
  const auto fence = site.last_fence;
  site.nodes.at(id)->store.cut = true;
  site.nodes.erase(id);
  site.Add(id);
  const auto restarted = site.clock.Now();
  site.Pass(milliseconds(500));
  EXPECT_EQ(site.last_holder, id);
  EXPECT_GT(site.last_fence, fence);
  EXPECT_GT(site.last_order, restarted);
}

// Guards against orders of a holder that was suspended: others may have taken
// the lease, which its steady clock does not show.
TEST(OrderLease, SuspendedHolderStopsOrdering) {
  LeaseSite site(1);
  site.Pass(seconds(3));
  auto& holder = site.Holder();
  EXPECT_TRUE(holder.lease.MaySendOrder());
  holder.clock.Suspend(seconds(5));
  site.clock.SleepFor(seconds(5));
  EXPECT_FALSE(holder.lease.MaySendOrder());
}

// Guards against two holders while the one is cut off from the store but not
// from its peers and engines.
TEST(OrderLease, HolderCutOffFromTheStoreIsReplaced) {
  LeaseSite site(4);
  site.Pass(seconds(3));
  const auto cut = site.last_holder;
  site.Holder().store.cut = true;
  site.Pass(seconds(10));
  EXPECT_NE(site.last_holder, cut);
  site.nodes.at(cut)->store.cut = false;
  const auto holder = site.last_holder;
  site.Pass(seconds(5));
  EXPECT_EQ(site.last_holder, holder);
}

// Guards against a holder that gives up while only the answers of the store are
// lost, and against one that goes on without a lease.
TEST(OrderLease, SurvivesLostAnswers) {
  LeaseSite site(4);
  site.Pass(seconds(3));
  std::mt19937 random(7);
  site.store.fault = [&](std::string_view) {
    return random() % 3 == 0 ? StoreFault::kAnswerLost : StoreFault::kNone;
  };
  const int before = site.orders;
  site.Pass(seconds(20));
  EXPECT_GT(site.orders - before, 250);
}

// Guards against a successor that waits for the end of a lease that was given
// back, and against one that orders within the gap.
TEST(OrderLease, ReleasedLeaseIsTakenAfterTheGap) {
  LeaseSite site(3);
  site.Pass(seconds(3));
  const auto leaving = site.last_holder;
  site.nodes.erase(leaving);
  site.Pass(milliseconds(3700));
  EXPECT_EQ(site.handovers, 1);
}

// Guards against a pause in all orders when a node stops: engines that it did
// not order lately are free.
TEST(OrderLease, SuccessorOfAReleaseOrdersIdleEnginesAtOnce) {
  LeaseSite site(3);
  site.Pass(seconds(12));
  const auto leaving = site.last_holder;
  auto& lease = site.Holder().lease;
  lease.RecordOrder("e0");
  EXPECT_TRUE(lease.MaySendOrder("other"));
  site.nodes.erase(leaving);
  site.clock.SleepFor(milliseconds(900));
  int ready = 0;
  for (const auto& [id, node] : site.nodes) {
    EXPECT_FALSE(node->lease.MaySendOrder("e0")) << id;
    ready += node->lease.MaySendOrder("other") ? 1 : 0;
  }
  EXPECT_EQ(ready, 1);
  site.clock.SleepFor(milliseconds(2700));
  ready = 0;
  for (const auto& [id, node] : site.nodes) {
    ready += node->lease.MaySendOrder("e0") ? 1 : 0;
  }
  EXPECT_EQ(ready, 1);
}

// Guards against a release that names only the orders of the last process of
// its VM: those of the process before it, which was killed, count as well.
TEST(OrderLease, ReleaseSoonAfterARestartKeepsTheGap) {
  LeaseSite site(3);
  site.Pass(seconds(12));
  const auto id = site.last_holder;
  ASSERT_TRUE(site.Holder().lease.MaySendOrder("other"));
  site.Holder().lease.RecordOrder("other");
  const auto ordered = site.clock.Now();
  site.nodes.at(id)->store.cut = true;
  site.nodes.erase(id);
  site.Add(id);
  site.Pass(milliseconds(500));
  ASSERT_EQ(site.last_holder, id);
  site.nodes.erase(id);
  while (site.clock.Now() < ordered + seconds(3)) {
    for (const auto& [other, node] : site.nodes) {
      EXPECT_FALSE(node->lease.MaySendOrder("other")) << other;
    }
    site.clock.SleepFor(milliseconds(50));
  }
}

// Guards against orders within the gap when the successor of a release stops or
// restarts before the engines that it waits for are free.
TEST(OrderLease, ReleasesInARowKeepTheGap) {
  LeaseSite site(5);
  site.Pass(seconds(12));
  for (int i = 0; i < 12; ++i) {
    const std::string id = site.last_holder;
    if (i % 3 == 2) {
      site.nodes.at(id)->store.cut = true;  // Killed instead.
    }
    site.nodes.erase(id);
    site.Add(id);
    site.Pass(milliseconds(300 + 700 * (i % 5)));
  }
  EXPECT_GT(site.handovers, 2);
}

class OrderLeaseFaults : public testing::TestWithParam<unsigned> {};

// Guards against two holders within the gap under any order of cuts, deaths,
// restarts, suspensions, slow stores and lost peer messages.
TEST_P(OrderLeaseFaults, NeverTwoHoldersWithinTheGap) {
  LeaseSite site(5);
  std::mt19937 random(GetParam());
  const auto draw = [&](unsigned n) { return random() % n; };
  unsigned store_faults = 0;
  bool peers_cut = false;
  site.store.fault = [&](std::string_view) {
    if (draw(100) >= store_faults) {
      return StoreFault::kNone;
    }
    return std::array{StoreFault::kRefused, StoreFault::kAnswerLost,
                      StoreFault::kLate}[draw(3)];
  };
  site.cluster.deliver = [&](const std::string& from, const std::string& to) {
    return from == to || !peers_cut || draw(2) == 0;
  };
  for (int step = 0; step < 60; ++step) {
    const std::string id = "n" + std::to_string(draw(5));
    const std::string victim =
        draw(2) == 0 && site.nodes.contains(site.last_holder) ? site.last_holder
                                                              : id;
    switch (draw(8)) {
      case 0:
        store_faults = draw(2) == 0 ? 0 : 40;
        break;
      case 1:
        peers_cut = !peers_cut;
        break;
      case 2:
        site.nodes.at(victim)->store.cut ^= true;
        break;
      case 3:
        site.nodes.at(victim)->clock.Suspend(seconds(draw(6)));
        break;
      case 4:
        site.nodes.at(victim)->store.cut = true;
        site.nodes.erase(victim);
        site.Add(victim);
        break;
      case 5:  // Stops, with a release if the store takes it.
        site.nodes.erase(victim);
        site.Add(victim);
        break;
      default:
        break;
    }
    site.Pass(milliseconds(200 + draw(3000)));
  }
  EXPECT_GT(site.orders, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, OrderLeaseFaults, testing::Range(1U, 41U));

}  // namespace
}  // namespace tanagerloom
