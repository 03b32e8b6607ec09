// Defines in-memory fakes of the ports that placement uses, and a fixture that
// runs several nodes over them on a manual clock. The object store and the
// engines can lose requests and responses, engines can check or ignore fencing
// tokens, and nodes can lose their links to the others.
#ifndef TESTS_CORRECTNESS_PLACEMENT_FAKES_H_
#define TESTS_CORRECTNESS_PLACEMENT_FAKES_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/id.h"
#include "config/estate_source.h"
#include "config/settings.h"
#include "placement/placement_service.h"
#include "ports/engine_control.h"
#include "ports/object_store.h"
#include "ports/peer_network.h"
#include "runtime/manual_clock.h"

namespace tanagerloom::testing_placement {

using namespace std::chrono_literals;

/// An object store in memory that can be unavailable or lose single writes.
class FakeStore final : public ObjectStore {
 public:
  bool unavailable = false;
  /// Number of next writes that take effect but whose response is lost.
  int responses_to_lose = 0;
  /// Number of next writes that are lost before they take effect.
  int requests_to_lose = 0;
  /// Calls of Get() and Put(), including those that failed.
  int reads = 0;
  int writes = 0;

  Result<StoredObject> Get(std::string_view key) override {
    ++reads;
    if (unavailable) {
      return MakeError(ErrorKind::kUnavailable, "unavailable");
    }
    const auto it = objects_.find(key);
    if (it == objects_.end()) {
      return MakeError(ErrorKind::kNotFound, std::string(key));
    }
    return it->second;
  }
  Result<std::uint64_t> Put(std::string_view key,
                            std::string_view value,
                            std::uint64_t expected) override {
    ++writes;
    if (unavailable) {
      return MakeError(ErrorKind::kUnavailable, "unavailable");
    }
    if (requests_to_lose > 0) {
      --requests_to_lose;
      return MakeError(ErrorKind::kTimeout, "request lost");
    }
    auto& object = objects_[std::string(key)];
    if (object.version != expected) {
      return MakeError(ErrorKind::kConflict, std::string(key));
    }
    object = {std::string(value), ++version_};
    if (responses_to_lose > 0) {
      --responses_to_lose;
      return MakeError(ErrorKind::kUnknown, "response lost");
    }
    return version_;
  }
  Result<void> Delete(std::string_view, std::uint64_t) override {
    return MakeError(ErrorKind::kInternal, "not used");
  }
  Result<std::vector<ObjectKey>> List(std::string_view) override {
    return MakeError(ErrorKind::kInternal, "not used");
  }
  Result<std::optional<StoredObject>> Watch(std::string_view,
                                            std::uint64_t,
                                            Duration) override {
    return MakeError(ErrorKind::kInternal, "not used");
  }

 private:
  std::map<std::string, StoredObject, std::less<>> objects_;
  std::uint64_t version_ = 0;
};

/// The state of one engine and the faults that it shows. Records whether its
/// memory was ever overcommitted.
struct FakeEngine {
  /// A model or adapter that is loading, loaded or failed to load.
  struct Replica {
    EngineOrder order;
    TimePoint ready_at;
    bool failed = false;
  };

  std::uint64_t memory_mb = 80000;
  /// Whether new orders with a fencing token below the highest are refused.
  bool checks_fence = false;
  /// Whether orders are executed but their responses are lost.
  bool loses_responses = false;
  bool unreachable = false;  ///< Refuses connections.
  bool fail_loads = false;   ///< Loads that start now fail.
  /// Whether orders stay in `captured_orders`, as if delayed in the network,
  /// until the test passes them to FakeEngines::HandleOrder().
  bool capture_orders = false;
  std::vector<EngineOrder> captured_orders;
  std::uint32_t running_requests = 0;  ///< Reported by ReadLoad().
  std::string boot = "boot-1";
  std::uint64_t sequence = 1;
  std::uint64_t highest_fence = 0;
  std::set<std::string> known_orders;  ///< Ids of the executed orders.
  std::map<ModelKey, Replica> replicas;
  std::map<std::string, CheckpointSource> cached;
  /// Whether the replicas ever needed more memory than the engine has.
  bool overcommitted = false;
  int started_loads = 0;  ///< Not reset by Restart().

  std::uint64_t UsedMb() const {
    std::uint64_t sum = 0;
    for (const auto& [key, it] : replicas) {
      sum += it.order.memory_mb;
    }
    return sum;
  }
  /// Starts the engine anew: it forgets its models and all orders.
  void Restart() {
    boot += "x";
    sequence = 1;
    highest_fence = 0;
    known_orders.clear();
    replicas.clear();
  }
};

/// All engines of the test, which answer orders and state reports directly.
class FakeEngines final : public EngineControl {
 public:
  explicit FakeEngines(const Clock& clock) : clock_(clock) {}

  std::map<std::uint16_t, FakeEngine> engines;  ///< Keyed by port.
  Duration load_time = 100ms;                   ///< Time that each load takes.

  Result<OrderAnswer> Send(const Address& address,
                           const EngineOrder& order) override {
    auto& engine = engines[address.port];
    if (engine.unreachable) {
      return MakeError(ErrorKind::kUnavailable, "connection refused");
    }
    if (engine.capture_orders) {
      engine.captured_orders.push_back(order);
      return MakeError(ErrorKind::kTimeout, "no response");
    }
    auto answer = HandleOrder(engine, order);
    if (engine.loses_responses) {
      return MakeError(ErrorKind::kTimeout, "no response");
    }
    return answer;
  }
  Result<EngineState> ReadState(const Address& address) override {
    auto& engine = engines[address.port];
    if (engine.unreachable) {
      return MakeError(ErrorKind::kUnavailable, "connection refused");
    }
    EngineState state{.boot = engine.boot,
                      .sequence = engine.sequence,
                      .highest_fence = engine.highest_fence,
                      .memory_mb = engine.memory_mb,
                      .used_mb = engine.UsedMb(),
                      .leaving = false,
                      .cached = engine.cached,
                      .entries = {}};
    for (const auto& [key, it] : engine.replicas) {
      const auto loaded = clock_.Now() >= it.ready_at
                              ? EngineReplicaState::kLoaded
                              : EngineReplicaState::kLoading;
      state.entries.push_back({key.model, key.version, key.adapter,
                               it.failed ? EngineReplicaState::kFailed : loaded,
                               it.order.order,
                               it.failed ? "bad checkpoint" : ""});
    }
    return state;
  }
  Result<EngineLoad> ReadLoad(const Address& address) override {
    return EngineLoad{engines[address.port].running_requests, 0, 8};
  }

  /// Executes an order on an engine; also used to deliver a captured order long
  /// after it was sent.
  OrderAnswer HandleOrder(FakeEngine& engine, const EngineOrder& order) {
    if (engine.checks_fence && order.fence < engine.highest_fence &&
        !engine.known_orders.contains(order.order)) {
      return OrderRefused{"old_fence", engine.highest_fence};
    }
    ++engine.sequence;
    if (engine.known_orders.insert(order.order).second) {
      engine.highest_fence = std::max(engine.highest_fence, order.fence);
      const ModelKey key{order.model, order.version, order.adapter};
      if (order.action == OrderAction::kUnload) {
        engine.replicas.erase(key);
      } else {
        ++engine.started_loads;
        engine.replicas[key] = {order, clock_.Now() + load_time,
                                engine.fail_loads};
      }
      engine.overcommitted |= engine.UsedMb() > engine.memory_mb;
    }
    return OrderAccepted{engine.sequence, engine.boot};
  }

  /// Returns the number of engines that have the model, loading or loaded.
  int CountReplicas(const ModelKey& key) const {
    return static_cast<int>(std::ranges::count_if(engines, [&](const auto& it) {
      return it.second.replicas.contains(key);
    }));
  }

 private:
  const Clock& clock_;
};

/// The network between all nodes. Messages wait until Deliver() is called.
struct PeerHub {
  struct Message {
    std::string from;  ///< Incarnation of the sending node, such as "n0/1".
    std::string to;    ///< Id of the receiving node.
    PeerMessage message;
  };

  std::vector<std::string> nodes;  ///< Ids of all nodes, in any state.
  /// Nodes whose links to others are down; they are still listed.
  std::set<std::string> disconnected;
  /// Nodes whose process has ended; they are no longer listed.
  std::set<std::string> terminated;
  std::map<std::string, PeerNetwork::Handler> handlers;
  std::deque<Message> messages;
  std::vector<Vm> vms;

  /// Delivers all waiting messages, except those from or to disconnected nodes.
  void Deliver() {
    while (!messages.empty()) {
      const auto it = std::move(messages.front());
      messages.pop_front();
      const auto node = it.from.substr(0, it.from.find('/'));
      if (!disconnected.contains(node) && !disconnected.contains(it.to) &&
          handlers.contains(it.to)) {
        handlers[it.to](it.from, it.message);
      }
    }
  }
};

/// The peer network as one node sees it.
class FakePeers final : public PeerNetwork {
 public:
  FakePeers(PeerHub& hub, std::string node)
      : hub_(hub), node_(std::move(node)), self_(node_ + "/1") {}

  const std::string& self() const override { return self_; }
  const std::string& node_id() const override { return node_; }
  std::vector<Member> Members() const override {
    std::vector<Member> members;
    for (const auto& it : LiveIds()) {
      Member member;
      member.vm.id = it;
      member.incarnation = "1";
      member.reachable = !hub_.disconnected.contains(it) || it == node_;
      members.push_back(std::move(member));
    }
    return members;
  }
  std::vector<std::string> LiveIds() const override {
    std::vector<std::string> ids;
    for (const auto& it : hub_.nodes) {
      if (!hub_.terminated.contains(it)) {
        ids.push_back(it);
      }
    }
    return ids;
  }
  bool MayStillRun(std::string_view process) const override {
    return !hub_.terminated.contains(
        std::string(process.substr(0, process.find('/'))));
  }
  void Broadcast(const PeerMessage& message) override {
    for (const auto& it : hub_.nodes) {
      if (it != node_) {
        Send(it, message);
      }
    }
  }
  bool Send(const std::string& to, const PeerMessage& message) override {
    hub_.messages.push_back({self_, to, message});
    return true;
  }
  void OnMessage(Handler handler) override {
    hub_.handlers[node_] = std::move(handler);
  }
  void OnMembersChanged(std::function<void()>) override {}
  std::vector<Vm> Vms() const override { return hub_.vms; }
  void ReportLeaving(const std::string&) override {}

 private:
  PeerHub& hub_;
  std::string node_;
  std::string self_;
};

/// An estate that the test can change at any time.
class FakeEstate final : public EstateSource {
 public:
  std::shared_ptr<Estate> estate = std::make_shared<Estate>();

  std::shared_ptr<const Estate> Current() const override { return estate; }
  void OnChange(std::function<void()>) override {}
};

/// A fixture with several nodes, engines and an object store, which share one
/// pool named "pool".
class PlacementFixture : public testing::Test {
 protected:
  struct Node {
    Node(PlacementFixture& fixture, const std::string& id)
        : peers(fixture.hub_, id),
          log(id, 1000, MakeNullLogger()),
          service({fixture.store_, fixture.engines_, peers, fixture.estate_,
                   fixture.clock_, log, fixture.settings_}) {}
    FakePeers peers;
    EventLog log;
    PlacementService service;
  };

  PlacementFixture() {
    estate_.estate->version = 1;
    estate_.estate->pools["pool"] = {.name = "pool"};
  }

  void AddEngines(int count, bool checks_fence) {
    estate_.estate->pools["pool"].checks_fence = checks_fence;
    for (int i = 0; i < count; ++i) {
      const auto port = static_cast<std::uint16_t>(1000 + i);
      engines_.engines[port].checks_fence = checks_fence;
      hub_.vms.push_back({.id = "gw-" + std::to_string(i),
                          .role = VmRole::kEngine,
                          .address = {"127.0.0.1", port},
                          .data_centre = "dc",
                          .pool = "pool"});
    }
  }
  void AddNodes(int count) {
    for (int i = 0; i < count; ++i) {
      hub_.nodes.push_back("n" + std::to_string(i));
    }
    for (const auto& it : hub_.nodes) {
      nodes_[it] = std::make_unique<Node>(*this, it);
    }
  }
  /// Adds a model with version "1" to the pool and returns its key.
  ModelKey AddModel(const std::string& name,
                    std::uint64_t memory_mb,
                    std::uint32_t limit) {
    auto& model = estate_.estate->models[name];
    model.name = name;
    model.version = "1";
    model.pool = "pool";
    model.memory_mb = memory_mb;
    model.replica_limit = limit;
    return {name, "1", ""};
  }

  /// Advances time by `duration` and runs every node that is neither paused nor
  /// terminated once per step.
  void RunFor(Duration duration, Duration time_step = 10ms) {
    for (Duration elapsed{}; elapsed < duration; elapsed += time_step) {
      for (auto& [id, node] : nodes_) {
        if (!hub_.terminated.contains(id) && !paused_.contains(id)) {
          node->service.Step();
        }
        Yield();
        hub_.Deliver();
      }
      CheckEngines();
      clock_.Advance(time_step);
    }
  }
  /// Lets the fibers that the nodes started run.
  static void Yield() {
    for (int i = 0; i < 8; ++i) {
      boost::this_fiber::yield();
    }
  }
  /// Expects no overcommitted engine and no model above its replica limit.
  void CheckEngines() {
    for (const auto& [port, engine] : engines_.engines) {
      EXPECT_FALSE(engine.overcommitted) << "engine at port " << port;
    }
    for (const auto& [name, model] : estate_.estate->models) {
      EXPECT_LE(engines_.CountReplicas({name, "1", ""}),
                static_cast<int>(model.replica_limit));
    }
  }
  /// Sets the number of requests that wait at a node for a model.
  void SetWaiting(const std::string& node,
                  const ModelKey& key,
                  unsigned waiting) {
    nodes_[node]->service.SetDemand("pool", key, {waiting, 0, 0, {}});
  }
  /// Returns the number of loaded replicas of a model that a node knows.
  std::size_t CountLoaded(const std::string& node, const ModelKey& key) {
    return nodes_[node]->service.Replicas(key).size();
  }
  /// Returns the number of loads that all engines have started.
  int TotalLoads() const {
    int sum = 0;
    for (const auto& [port, engine] : engines_.engines) {
      sum += engine.started_loads;
    }
    return sum;
  }
  /// Returns the node that coordinates the pool.
  std::string Coordinator() {
    return nodes_.begin()
        ->second->service.Status()["cells"]["pool"]["coordinator"];
  }
  /// Returns the first node that does not coordinate the pool.
  std::string NonCoordinator() {
    const auto coordinator = Coordinator();
    return *std::ranges::find_if(
        hub_.nodes, [&](const auto& it) { return it != coordinator; });
  }

  ManualClock clock_;
  FakeStore store_;
  FakeEngines engines_{clock_};
  PeerHub hub_;
  FakeEstate estate_;
  Settings settings_;
  /// Nodes that RunFor() does not run; they receive messages, though.
  std::set<std::string> paused_;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
};

}  // namespace tanagerloom::testing_placement

#endif  // TESTS_CORRECTNESS_PLACEMENT_FAKES_H_
