// Tests of the order lease: an engine never gets orders of two lease holders
// within the handover gap, under any fault of the object store, the peer
// network and the clocks.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <tuple>

#include "base/event_log.h"
#include "ordering/order_lease.h"
#include "ports/store_era.h"
#include "tests/fakes/fake_object_store.h"
#include "tests/fakes/fake_peers.h"
#include "tests/fakes/virtual_clock.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The virtual time as a VM sees it that can be suspended: while it is, none of
// its fibers runs and its steady clock stands still.
class VmClock final : public Clock {
 public:
  explicit VmClock(VirtualClock& time) : time_(time) {}
  TimePoint Now() const override { return time_.Now() - suspended_; }
  TimePoint SuspendAwareNow() const override { return time_.Now(); }
  milliseconds WallNow() const override { return time_.WallNow(); }
  void SleepUntil(TimePoint time) override {
    time_.SleepUntil(time + suspended_);
    while (time_.Now() < resumes_at_) {
      time_.SleepUntil(resumes_at_);
    }
  }

  void Suspend(Duration duration) {
    resumes_at_ = time_.Now() + duration;
    suspended_ += duration;
  }
  bool IsAwake() const { return time_.Now() >= resumes_at_; }

 private:
  VirtualClock& time_;
  Duration suspended_{};
  TimePoint resumes_at_{};
};

// One node's connection to the object store; every call fails with a timeout
// while `disconnected` is set. Like the client of the store it observes the era
// of each answer.
class NodeStore final : public ObjectStore {
 public:
  NodeStore(FakeObjectStore& store, StoreEra& era) : store_(store), era_(era) {}
  Result<StoredObject> Get(std::string_view key) override {
    return disconnected ? Result<StoredObject>(TimeoutError())
                        : Observe(store_.Get(key));
  }
  Result<std::uint64_t> Put(std::string_view key,
                            std::string_view value,
                            std::uint64_t version) override {
    return disconnected ? Result<std::uint64_t>(TimeoutError())
                        : Observe(store_.Put(key, value, version));
  }
  Result<void> Delete(std::string_view, std::uint64_t) override {
    return TimeoutError();
  }
  Result<std::vector<ObjectKey>> List(std::string_view) override {
    return TimeoutError();
  }
  Result<std::optional<StoredObject>> Watch(std::string_view,
                                            std::uint64_t,
                                            Duration) override {
    return TimeoutError();
  }

  bool disconnected = false;

 private:
  static Error TimeoutError() {
    return MakeError(ErrorKind::kTimeout, "no response");
  }

  // Observes the era of an answer that was just made, unless it was lost.
  template <typename T>
  Result<T> Observe(Result<T> answer) {
    const auto era = store_.era;
    if (!answer && answer.assume_error().kind == ErrorKind::kUnknown) {
      return answer;
    }
    if (!era_.Observe(era)) {
      return MakeError(ErrorKind::kUnknown, "an era that has ended");
    }
    return answer;
  }

  FakeObjectStore& store_;
  StoreEra& era_;
};

struct Node {
  Node(FakeCluster& cluster,
       FakeObjectStore& shared,
       VirtualClock& time,
       const std::string& id,
       const std::string& address)
      : vm_address(address),
        peers(cluster, id, "dc"),
        store(shared, era),
        clock(time),
        log(id, 10, MakeNullLogger()),
        lease(store, era, peers, clock, log, "leases/orders", address, {}) {
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

  std::string vm_address;
  FakePeers peers;
  StoreEra era;
  NodeStore store;
  VmClock clock;
  EventLog log;
  OrderLease lease;
  boost::fibers::fiber fiber;
};

// Nodes that send orders whenever their lease allows it. Checks the order of
// senders, their times and their fencing tokens as the engines see them.
class LeaseTestBed {
 public:
  explicit LeaseTestBed(int nodes) : store(clock) {
    for (int i = 0; i < nodes; ++i) {
      AddNode("n" + std::to_string(i));
    }
  }

  // Starts a process on the VM of this id. With an address the VM is new.
  void AddNode(const std::string& id, const std::string& new_address = "") {
    auto& address = addresses.try_emplace(id, "first VM").first->second;
    if (!new_address.empty()) {
      address = new_address;
    }
    nodes[id] = std::make_unique<Node>(cluster, store, clock, id, address);
  }

  // Advances time by `duration` in steps of 50 ms; in each, every node sends
  // orders if it may, and each order is checked against the previous ones.
  void RunFor(Duration duration) {
    const auto end = clock.Now() + duration;
    while (clock.Now() < end) {
      clock.SleepFor(milliseconds(50));
      for (const auto& [id, node] : nodes) {
        for (const auto& engine : EnginesWithOrders()) {
          if (!node->clock.IsAwake() || !node->lease.MaySendOrder()) {
            continue;
          }
          node->lease.RequestOrder(engine);
          if (node->lease.MaySendOrder(engine)) {
            node->lease.RecordOrder(engine);
            CheckOrder(*node, engine, node->lease.fence());
          }
        }
      }
    }
  }

  // Returns whether a node may send an order to `engine` some time after it
  // asked for that.
  bool MayOrder(Node& node, const std::string& engine) {
    node.lease.RequestOrder(engine);
    clock.SleepFor(milliseconds(100));
    return node.lease.MaySendOrder(engine);
  }

  // Returns the engines that get orders now: the first one always, the others
  // in turn, so that some get none for longer than the handover gap.
  std::vector<std::string> EnginesWithOrders() const {
    constexpr auto kTurnLength = milliseconds(2500);
    const auto turn = clock.Now().time_since_epoch() / kTurnLength % 3;
    std::vector<std::string> out{"e0"};
    if (turn != 0) {
      out.push_back("e" + std::to_string(turn));
    }
    return out;
  }

  // Checks an order: another VM's last order to the engine is at least the
  // handover gap of 3 s old, whatever the names of the two, and the fencing
  // token rises with the lease holder.
  void CheckOrder(const Node& node,
                  const std::string& engine,
                  std::uint64_t fence) {
    ++order_count;
    const auto& id = node.peers.node_id();
    const auto vm = id + " at " + node.vm_address;
    auto& previous = last_orders[engine];
    if (!previous.first.empty() && previous.first != vm) {
      EXPECT_GE(clock.Now() - previous.second, seconds(3))
          << vm << " after " << previous.first << " at " << engine;
    }
    previous = {vm, clock.Now()};
    if (!last_vm.empty() && last_vm != vm) {
      EXPECT_GT(fence, last_fence);
    }
    last_vm = vm;
    if (!last_holder.empty() && last_holder != id) {
      EXPECT_GT(fence, last_fence);
      ++handovers;
    }
    EXPECT_GE(fence, last_fence);
    last_holder = id;
    last_order_at = clock.Now();
    last_fence = fence;
  }

  // Returns the node that sent the last order.
  Node& LastHolder() { return *nodes.at(last_holder); }

  VirtualClock clock;
  FakeObjectStore store;
  FakeCluster cluster;
  std::map<std::string, std::unique_ptr<Node>> nodes;
  std::map<std::string, std::string> addresses;  ///< Of the VMs, by node id.
  /// By engine, the VM that sent its last order, and when.
  std::map<std::string, std::pair<std::string, TimePoint>> last_orders;
  std::string last_holder;  ///< Id of the node that sent the last order.
  std::string last_vm;      ///< Its VM.
  TimePoint last_order_at{};
  std::uint64_t last_fence = 0;
  int order_count = 0;
  int handovers = 0;
};

// Guards against a new fleet in which no node, or several nodes, send orders.
TEST(OrderLease, OneNodeSendsOrdersSoonAfterTheStart) {
  LeaseTestBed test_bed(4);
  test_bed.RunFor(seconds(2));
  EXPECT_GT(test_bed.order_count, 10);
  test_bed.RunFor(seconds(20));
  EXPECT_GT(test_bed.order_count, 350);
  EXPECT_EQ(test_bed.handovers, 0);
}

// Guards against orders that stop for good when the lease holder is killed, and
// against a successor that sends orders within the handover gap.
TEST(OrderLease, AnotherNodeTakesOverAfterTheHolderIsKilled) {
  LeaseTestBed test_bed(4);
  test_bed.RunFor(seconds(3));
  const auto killed = test_bed.last_holder;
  test_bed.store.fault = [](std::string_view) { return StoreFault::kNone; };
  // A killed process writes nothing more, not even the release of its lease.
  test_bed.nodes.at(killed)->store.disconnected = true;
  test_bed.nodes.erase(killed);
  test_bed.RunFor(seconds(10));
  EXPECT_EQ(test_bed.handovers, 1);
  EXPECT_NE(test_bed.last_holder, killed);
  EXPECT_GT(test_bed.order_count, 60);
}

// Guards against a small VM that takes the lease while a larger one could: it
// has no processor left for a new configuration and for its clients then.
TEST(OrderLease, LargestLiveVmTakesOver) {
  LeaseTestBed test_bed(5);
  const std::map<std::string, double> processors = {
      {"n0", 0.5}, {"n1", 0.09}, {"n2", 0.3}, {"n3", 0.09}, {"n4", 0.5}};
  for (const auto& [id, share] : processors) {
    test_bed.nodes.at(id)->peers.processors = share;
  }
  test_bed.RunFor(seconds(3));
  for (const char* successor : {"n4", "n2"}) {
    const auto killed = test_bed.last_holder;
    test_bed.nodes.at(killed)->store.disconnected = true;
    test_bed.nodes.erase(killed);
    test_bed.RunFor(seconds(10));
    EXPECT_EQ(test_bed.last_holder, successor) << "after " << killed;
  }
}

// Guards against a small VM that takes the lease because it is the first to
// reach a store that was away for longer than the lease lasts.
TEST(OrderLease, LargestLiveVmTakesOverAfterAnOutageOfTheStore) {
  for (const auto outage : {2500, 4100, 4500, 6000, 7300}) {
    LeaseTestBed test_bed(6);
    for (const auto& [id, node] : test_bed.nodes) {
      node->peers.processors = 0.09;
    }
    test_bed.nodes.at("n4")->peers.processors = 0.5;
    test_bed.nodes.at("n5")->peers.processors = 0.5;
    test_bed.RunFor(seconds(3));
    const auto killed = test_bed.last_holder;
    for (const auto& [id, node] : test_bed.nodes) {
      node->store.disconnected = true;
    }
    test_bed.nodes.erase(killed);
    test_bed.RunFor(milliseconds(outage));
    for (const auto& [id, node] : test_bed.nodes) {
      node->store.disconnected = false;
    }
    test_bed.RunFor(seconds(10));
    EXPECT_EQ(test_bed.nodes.at(test_bed.last_holder)->peers.processors, 0.5)
        << test_bed.last_holder << " after " << killed << ", " << outage;
  }
}

// Guards against a fleet in which no engine gets orders for the whole handover
// gap after the lease holder is killed, also those that it did not order.
TEST(OrderLease, SuccessorOfAKilledHolderOrdersIdleEnginesAtOnce) {
  LeaseTestBed test_bed(4);
  test_bed.RunFor(seconds(12));
  const auto killed = test_bed.last_holder;
  const auto last_order_at = test_bed.last_order_at;
  test_bed.nodes.at(killed)->store.disconnected = true;
  test_bed.nodes.erase(killed);
  int ready_count = 0;
  while (test_bed.clock.Now() < last_order_at + seconds(3)) {
    ready_count = 0;
    test_bed.clock.SleepFor(milliseconds(50));
    for (const auto& [id, node] : test_bed.nodes) {
      node->lease.RequestOrder("e0");
      node->lease.RequestOrder("idle");
      EXPECT_FALSE(node->lease.MaySendOrder("e0")) << id;
      ready_count += node->lease.MaySendOrder("idle") ? 1 : 0;
    }
  }
  EXPECT_EQ(ready_count, 1);
}

// Guards against an order to an engine that the stored lease does not name: a
// successor would not wait for it.
TEST(OrderLease, OrderWaitsForAStoredRenewalThatNamesItsEngine) {
  LeaseTestBed test_bed(1);
  test_bed.RunFor(seconds(5));
  auto& holder = test_bed.LastHolder();
  holder.store.disconnected = true;
  EXPECT_FALSE(test_bed.MayOrder(holder, "new"));
  EXPECT_TRUE(holder.lease.MaySendOrder("e0"));
  holder.store.disconnected = false;
  test_bed.RunFor(seconds(1));
  EXPECT_TRUE(holder.lease.MaySendOrder("new"));
  holder.store.disconnected = true;
  EXPECT_FALSE(holder.lease.AwaitOrder("newer"));
}

// Guards against an order to an engine that the last written lease no longer
// names: it may be the stored one, although its answer was lost.
TEST(OrderLease, EngineIsNotOrderedOnceALeaseWithoutItWasWritten) {
  LeaseTestBed test_bed(1);
  test_bed.RunFor(seconds(5));
  auto& holder = test_bed.LastHolder();
  ASSERT_TRUE(test_bed.MayOrder(holder, "new"));
  holder.lease.CancelRequest("new");
  test_bed.store.fault = [](std::string_view) {
    return StoreFault::kAnswerLost;
  };
  test_bed.clock.SleepFor(milliseconds(700));
  EXPECT_FALSE(holder.lease.MaySendOrder("new"));
  EXPECT_TRUE(holder.lease.MaySendOrder("e0"));
}

// Guards against engines that stay named, and wait after a lost holder, long
// after their last order.
TEST(OrderLease, EngineIsNamedForTheHandoverGap) {
  LeaseTestBed test_bed(1);
  test_bed.RunFor(seconds(5));
  auto& holder = test_bed.LastHolder();
  ASSERT_TRUE(test_bed.MayOrder(holder, "new"));
  holder.lease.RecordOrder("new");
  const auto names_new = [&] {
    const auto lease =
        nlohmann::json::parse(test_bed.store.objects.at("leases/orders").value);
    return std::ranges::count(lease.at("engines"), "new") == 1;
  };
  test_bed.RunFor(milliseconds(2900));
  EXPECT_TRUE(names_new());
  test_bed.RunFor(seconds(2));
  EXPECT_FALSE(names_new());
}

// Guards against a pause of several seconds when the process of the lease
// holder restarts and takes the lease again.
TEST(OrderLease, RestartedHolderContinuesAtOnce) {
  LeaseTestBed test_bed(3);
  test_bed.RunFor(seconds(3));
  const auto id = test_bed.last_holder;
  const auto fence = test_bed.last_fence;
  test_bed.nodes.at(id)->store.disconnected = true;
  test_bed.nodes.erase(id);
  test_bed.AddNode(id);
  const auto restart_time = test_bed.clock.Now();
  test_bed.RunFor(milliseconds(500));
  EXPECT_EQ(test_bed.last_holder, id);
  EXPECT_GT(test_bed.last_fence, fence);
  EXPECT_GT(test_bed.last_order_at, restart_time);
}

// Guards against a new VM that takes the lease of a removed VM of the same name
// for its own and sends orders within the handover gap.
TEST(OrderLease, NewVmOfTheSameNameKeepsTheHandoverGap) {
  LeaseTestBed test_bed(3);
  test_bed.RunFor(seconds(12));
  const auto id = test_bed.last_holder;
  const auto fence = test_bed.last_fence;
  const auto last_order_at = test_bed.last_order_at;
  test_bed.nodes.at(id)->store.disconnected = true;
  test_bed.nodes.erase(id);
  test_bed.AddNode(id, "second VM");
  while (test_bed.clock.Now() < last_order_at + seconds(3)) {
    test_bed.clock.SleepFor(milliseconds(50));
    EXPECT_FALSE(test_bed.nodes.at(id)->lease.MaySendOrder());
  }
  test_bed.RunFor(seconds(5));
  EXPECT_GT(test_bed.last_fence, fence);
}

// Guards against a fleet of one node without orders for good after its VM was
// replaced by one of the same name.
TEST(OrderLease, OnlyVmIsReplacedByOneOfTheSameName) {
  LeaseTestBed test_bed(1);
  test_bed.RunFor(seconds(5));
  test_bed.nodes.at("n0")->store.disconnected = true;
  test_bed.nodes.erase("n0");
  test_bed.AddNode("n0", "second VM");
  const int previous_count = test_bed.order_count;
  test_bed.RunFor(seconds(10));
  EXPECT_GT(test_bed.order_count, previous_count);
}

// Guards against orders of a lease holder whose VM was suspended: its steady
// clock does not show that another node may have taken the lease since.
TEST(OrderLease, SuspendedHolderSendsNoOrders) {
  LeaseTestBed test_bed(1);
  test_bed.RunFor(seconds(3));
  auto& holder = test_bed.LastHolder();
  EXPECT_TRUE(holder.lease.MaySendOrder());
  holder.clock.Suspend(seconds(5));
  test_bed.clock.SleepFor(seconds(5));
  EXPECT_FALSE(holder.lease.MaySendOrder());
}

// Guards against two lease holders when one of them cannot reach the object
// store but still reaches its peers and the engines.
TEST(OrderLease, HolderWithoutTheStoreIsReplaced) {
  LeaseTestBed test_bed(4);
  test_bed.RunFor(seconds(3));
  const auto replaced = test_bed.last_holder;
  test_bed.LastHolder().store.disconnected = true;
  test_bed.RunFor(seconds(10));
  EXPECT_NE(test_bed.last_holder, replaced);
  test_bed.nodes.at(replaced)->store.disconnected = false;
  const auto holder = test_bed.last_holder;
  test_bed.RunFor(seconds(5));
  EXPECT_EQ(test_bed.last_holder, holder);
}

// Guards against a holder that abandons its lease although only responses of
// the object store are lost, and against one that sends orders without a lease.
TEST(OrderLease, SurvivesLostAnswers) {
  LeaseTestBed test_bed(4);
  test_bed.RunFor(seconds(3));
  std::mt19937 random(7);
  test_bed.store.fault = [&](std::string_view) {
    return random() % 3 == 0 ? StoreFault::kAnswerLost : StoreFault::kNone;
  };
  const int previous_count = test_bed.order_count;
  test_bed.RunFor(seconds(20));
  EXPECT_GT(test_bed.order_count - previous_count, 250);
}

// Guards against a successor that waits for the expiry of a released lease, and
// against one that sends orders within the handover gap.
TEST(OrderLease, ReleasedLeaseIsTakenAfterTheHandoverGap) {
  LeaseTestBed test_bed(3);
  test_bed.RunFor(seconds(3));
  const auto leaving = test_bed.last_holder;
  test_bed.nodes.erase(leaving);
  test_bed.RunFor(milliseconds(3700));
  EXPECT_EQ(test_bed.handovers, 1);
}

// Guards against a pause in all orders when the lease holder stops: engines
// that got no order of it lately may get orders of its successor at once.
TEST(OrderLease, SuccessorOrdersIdleEnginesAtOnceAfterARelease) {
  LeaseTestBed test_bed(3);
  test_bed.RunFor(seconds(12));
  const auto leaving = test_bed.last_holder;
  auto& lease = test_bed.LastHolder().lease;
  EXPECT_TRUE(test_bed.MayOrder(test_bed.LastHolder(), "other"));
  lease.RecordOrder("e0");
  test_bed.nodes.erase(leaving);
  test_bed.clock.SleepFor(milliseconds(900));
  int ready_count = 0;
  for (const auto& [id, node] : test_bed.nodes) {
    EXPECT_FALSE(test_bed.MayOrder(*node, "e0")) << id;
    ready_count += test_bed.MayOrder(*node, "other") ? 1 : 0;
  }
  EXPECT_EQ(ready_count, 1);
  test_bed.clock.SleepFor(milliseconds(2700));
  ready_count = 0;
  for (const auto& [id, node] : test_bed.nodes) {
    ready_count += test_bed.MayOrder(*node, "e0") ? 1 : 0;
  }
  EXPECT_EQ(ready_count, 1);
}

// Guards against a release that names only the orders of the last process on
// its VM: those of the killed process before it count for the handover gap as
// well.
TEST(OrderLease, ReleaseSoonAfterARestartKeepsTheHandoverGap) {
  LeaseTestBed test_bed(3);
  test_bed.RunFor(seconds(12));
  const auto id = test_bed.last_holder;
  ASSERT_TRUE(test_bed.MayOrder(test_bed.LastHolder(), "other"));
  test_bed.LastHolder().lease.RecordOrder("other");
  const auto order_time = test_bed.clock.Now();
  test_bed.nodes.at(id)->store.disconnected = true;
  test_bed.nodes.erase(id);
  test_bed.AddNode(id);
  test_bed.RunFor(milliseconds(500));
  ASSERT_EQ(test_bed.last_holder, id);
  test_bed.nodes.erase(id);
  while (test_bed.clock.Now() < order_time + seconds(3)) {
    for (const auto& [other, node] : test_bed.nodes) {
      node->lease.RequestOrder("other");
      EXPECT_FALSE(node->lease.MaySendOrder("other")) << other;
    }
    test_bed.clock.SleepFor(milliseconds(50));
  }
}

// Guards against orders within the handover gap when the successor itself stops
// or is killed before the gap of all engines has passed.
TEST(OrderLease, ConsecutiveReleasesKeepTheHandoverGap) {
  LeaseTestBed test_bed(5);
  test_bed.RunFor(seconds(12));
  for (int i = 0; i < 12; ++i) {
    const std::string id = test_bed.last_holder;
    if (i % 3 == 2) {
      test_bed.nodes.at(id)->store.disconnected =
          true;  // Killed instead of stopped.
    }
    test_bed.nodes.erase(id);
    // The restart takes long enough for another node to take the lease.
    test_bed.clock.SleepFor(milliseconds(500));
    test_bed.AddNode(id);
    test_bed.RunFor(milliseconds(300 + 700 * (i % 5)));
  }
  EXPECT_GT(test_bed.handovers, 2);
}

// Guards against a lease holder that goes on with its lease in a new era of the
// store, in which another node may take it, and against a fleet that gets no
// orders afterwards.
TEST(OrderLease, HolderStopsWhenItSeesANewEra) {
  LeaseTestBed test_bed(4);
  test_bed.RunFor(seconds(10));
  const auto copy = test_bed.store.MakeCopy();
  test_bed.RunFor(seconds(3));
  const auto fence = test_bed.last_fence;
  test_bed.store.Restore(copy);
  auto& holder = test_bed.LastHolder();
  holder.era.Observe(test_bed.store.era);
  const auto restored_at = test_bed.clock.Now();
  while (test_bed.clock.Now() < restored_at + seconds(3)) {
    for (const auto& [id, node] : test_bed.nodes) {
      EXPECT_FALSE(node->lease.MaySendOrder()) << id;
    }
    test_bed.clock.SleepFor(milliseconds(50));
  }
  const int previous_count = test_bed.order_count;
  test_bed.RunFor(seconds(6));
  EXPECT_GT(test_bed.order_count, previous_count + 50);
  EXPECT_GT(test_bed.last_fence, fence);
}

// Guards against a node that starts after the restoration and trusts the lease
// of the copy, or the lack of one, while the last holder, which the store does
// not reach, still sends orders.
TEST(OrderLease, NodeStartedInANewEraWaitsForTheLastHolder) {
  for (const bool copy_has_lease : {true, false}) {
    LeaseTestBed test_bed(1);
    FakeObjectStore::Copy copy;
    test_bed.RunFor(seconds(5));
    if (copy_has_lease) {
      copy = test_bed.store.MakeCopy();
    }
    test_bed.RunFor(seconds(3));
    test_bed.nodes.at("n0")->store.disconnected = true;
    test_bed.cluster.deliver = [](const std::string&, const std::string&) {
      return false;
    };
    test_bed.store.Restore(copy);
    test_bed.AddNode("n1");
    test_bed.RunFor(seconds(10));
    EXPECT_EQ(test_bed.last_holder, "n1");
    EXPECT_EQ(test_bed.handovers, 1);
  }
}

// Guards against a restart of the holder's process that trusts the lease of the
// copy as that of an earlier process of its VM: another node may have held a
// lease that the copy lacks.
TEST(OrderLease, RestartInANewEraIsNoContinuation) {
  LeaseTestBed test_bed(3);
  test_bed.RunFor(seconds(10));
  const auto first = test_bed.last_holder;
  const auto copy = test_bed.store.MakeCopy();
  test_bed.nodes.at(first)->store.disconnected = true;
  test_bed.nodes.erase(first);
  test_bed.RunFor(seconds(8));
  ASSERT_NE(test_bed.last_holder, first);
  test_bed.store.Restore(copy);
  test_bed.AddNode(first);
  test_bed.RunFor(seconds(10));
}

// Guards against a renewal that was sent before the restoration, takes effect
// after it because the copy has the expected version again, and then counts as
// a lease of the new era.
TEST(OrderLease, LateRenewalOfAnEndedEraIsNoLease) {
  LeaseTestBed test_bed(2);
  test_bed.RunFor(seconds(10));
  auto& holder = test_bed.LastHolder();
  const auto copy = test_bed.store.MakeCopy();
  const auto lease = copy.objects.at("leases/orders").value;
  test_bed.RunFor(seconds(1));
  test_bed.store.Restore(copy);
  test_bed.RunFor(seconds(6));
  // The new lease is overwritten by the late renewal.
  test_bed.store.objects.at("leases/orders") = {
      lease, test_bed.store.objects.at("leases/orders").version + 1};
  holder.store.disconnected = false;
  test_bed.RunFor(seconds(12));
  const auto stored =
      nlohmann::json::parse(test_bed.store.objects.at("leases/orders").value);
  EXPECT_EQ(stored.value("era", 0U), test_bed.store.era);
  EXPECT_GT(test_bed.last_order_at, test_bed.clock.Now() - seconds(1));
}

// Guards against a node that goes back to an era that has ended when answers or
// notices arrive out of order.
TEST(OrderLease, IgnoresAnswersAndNoticesOfAnEndedEra) {
  LeaseTestBed test_bed(2);
  test_bed.RunFor(seconds(5));
  test_bed.store.Restore(test_bed.store.MakeCopy());
  test_bed.store.Restore(test_bed.store.MakeCopy());
  test_bed.RunFor(seconds(10));
  auto& holder = test_bed.LastHolder();
  ASSERT_TRUE(holder.lease.MaySendOrder());
  const auto fence = holder.lease.fence();
  holder.lease.OnNotice({"n9", fence + 100, 1, /*released=*/false, /*era=*/1});
  EXPECT_TRUE(holder.lease.MaySendOrder());
  EXPECT_EQ(holder.lease.fence(), fence);
  EXPECT_FALSE(holder.era.Observe(1));
  EXPECT_EQ(holder.era.current(), 2U);
  EXPECT_TRUE(holder.lease.MaySendOrder());
}

// Guards against a holder that the store does not reach and that goes on for
// the rest of its lease although a peer has seen the new era.
TEST(OrderLease, HolderLearnsOfANewEraFromAPeer) {
  LeaseTestBed test_bed(2);
  test_bed.RunFor(seconds(5));
  auto& holder = test_bed.LastHolder();
  ASSERT_TRUE(holder.lease.MaySendOrder());
  holder.lease.OnNotice({"n9", 1, 1, /*released=*/false, /*era=*/1});
  EXPECT_FALSE(holder.lease.MaySendOrder());
}

// By seed, and by whether the store is restored from copies of itself.
class OrderLeaseFaults
    : public testing::TestWithParam<std::tuple<unsigned, bool>> {};

// Guards against orders of two lease holders within the handover gap under
// random sequences of lost connections, killed and restarted processes,
// suspensions, faults of the object store, restored copies of it and lost peer
// messages.
TEST_P(OrderLeaseFaults, NeverTwoHoldersWithinTheHandoverGap) {
  const auto [seed, with_restores] = GetParam();
  LeaseTestBed test_bed(5);
  std::mt19937 random(seed);
  const auto random_below = [&](unsigned n) { return random() % n; };
  unsigned store_fault_percent = 0;
  bool peer_messages_lost = false;
  test_bed.store.fault = [&](std::string_view) {
    if (random_below(100) >= store_fault_percent) {
      return StoreFault::kNone;
    }
    return std::array{StoreFault::kRefused, StoreFault::kAnswerLost,
                      StoreFault::kLate}[random_below(3)];
  };
  test_bed.cluster.deliver = [&](const std::string& from,
                                 const std::string& to) {
    return from == to || !peer_messages_lost || random_below(2) == 0;
  };
  std::vector<FakeObjectStore::Copy> copies;
  if (with_restores) {
    test_bed.store.write_delay = seconds(2);
  }
  for (int step = 0; step < 60; ++step) {
    copies.push_back(test_bed.store.MakeCopy());
    if (with_restores && random_below(5) == 0) {
      const auto age =
          std::min<std::size_t>(copies.size(), 1 + random_below(4));
      test_bed.store.Restore(copies[copies.size() - age]);
    }
    const std::string id = "n" + std::to_string(random_below(5));
    const std::string victim =
        random_below(2) == 0 && test_bed.nodes.contains(test_bed.last_holder)
            ? test_bed.last_holder
            : id;
    switch (random_below(8)) {
      case 0:
        store_fault_percent = random_below(2) == 0 ? 0 : 40;
        break;
      case 1:
        peer_messages_lost = !peer_messages_lost;
        break;
      case 2:
        test_bed.nodes.at(victim)->store.disconnected ^= true;
        break;
      case 3:
        test_bed.nodes.at(victim)->clock.Suspend(seconds(random_below(6)));
        break;
      case 4:
        test_bed.nodes.at(victim)->store.disconnected = true;
        test_bed.nodes.erase(victim);
        test_bed.AddNode(victim);
        break;
      case 5:  // Stops, and releases the lease if the store can be reached.
        test_bed.nodes.erase(victim);
        test_bed.AddNode(victim);
        break;
      case 6:  // Its VM is replaced by a new one of the same name.
        test_bed.nodes.at(victim)->store.disconnected = true;
        test_bed.nodes.erase(victim);
        test_bed.AddNode(victim, "VM of step " + std::to_string(step));
        break;
      default:
        break;
    }
    test_bed.RunFor(milliseconds(200 + random_below(3000)));
  }
  EXPECT_GT(test_bed.order_count, 0);
  // Late writes must end before the store does.
  test_bed.store.fault = [](std::string_view) { return StoreFault::kNone; };
  test_bed.RunFor(test_bed.store.write_delay + seconds(1));
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         OrderLeaseFaults,
                         testing::Combine(testing::Range(1U, 41U),
                                          testing::Bool()));

}  // namespace
}  // namespace tanagerloom
