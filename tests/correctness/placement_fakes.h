// Defines in-process stand-ins for the ports of placement, on a manual clock:
// an object store that can lose requests and answers, engines that can check
// fences or ignore them, and a peer network whose links can be cut.
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

class FakeStore final : public ObjectStore {
 public:
  bool down = false;
  int lose_answers = 0;   ///< Writes that take effect without an answer.
  int lose_requests = 0;  ///< Writes that don't take effect, without an answer.
  int reads = 0;
  int writes = 0;

  Result<StoredObject> Get(std::string_view key) override {
    ++reads;
    if (down) {
      return MakeError(ErrorKind::kUnavailable, "down");
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
    if (down) {
      return MakeError(ErrorKind::kUnavailable, "down");
    }
    if (lose_requests > 0) {
      --lose_requests;
      return MakeError(ErrorKind::kTimeout, "lost request");
    }
    auto& object = objects_[std::string(key)];
    if (object.version != expected) {
      return MakeError(ErrorKind::kConflict, std::string(key));
    }
    object = {std::string(value), ++version_};
    if (lose_answers > 0) {
      --lose_answers;
      return MakeError(ErrorKind::kUnknown, "lost answer");
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

/// One engine. Records whether its memory was ever overcommitted.
struct FakeEngine {
  struct Held {
    EngineOrder order;
    TimePoint ready;
    bool failed = false;
  };

  std::uint64_t memory_mb = 80000;
  bool checks_fence = false;
  bool silent = false;       ///< Takes orders and loses the answer.
  bool unreachable = false;  ///< Refuses connections.
  bool fail_loads = false;
  bool capture = false;  ///< Orders stay in the network until they are taken.
  std::vector<EngineOrder> captured;
  std::uint32_t running = 0;  ///< In the load report.
  std::string boot = "boot-1";
  std::uint64_t sequence = 1;
  std::uint64_t highest_fence = 0;
  std::set<std::string> known;
  std::map<ModelKey, Held> held;
  std::map<std::string, CheckpointSource> cached;
  bool overcommitted = false;
  int loads = 0;

  std::uint64_t UsedMb() const {
    std::uint64_t sum = 0;
    for (const auto& [key, it] : held) {
      sum += it.order.memory_mb;
    }
    return sum;
  }
  void Restart() {
    boot += "x";
    sequence = 1;
    highest_fence = 0;
    known.clear();
    held.clear();
  }
};

class FakeEngines final : public EngineControl {
 public:
  explicit FakeEngines(const Clock& clock) : clock_(clock) {}

  std::map<std::uint16_t, FakeEngine> engines;  ///< By port.
  Duration load_time = 100ms;

  Result<OrderAnswer> Send(const Address& address,
                           const EngineOrder& order) override {
    auto& engine = engines[address.port];
    if (engine.unreachable) {
      return MakeError(ErrorKind::kUnavailable, "refused");
    }
    if (engine.capture) {
      engine.captured.push_back(order);
      return MakeError(ErrorKind::kTimeout, "no answer");
    }
    auto answer = Take(engine, order);
    if (engine.silent) {
      return MakeError(ErrorKind::kTimeout, "no answer");
    }
    return answer;
  }
  Result<EngineState> ReadState(const Address& address) override {
    auto& engine = engines[address.port];
    if (engine.unreachable) {
      return MakeError(ErrorKind::kUnavailable, "refused");
    }
    EngineState state{.boot = engine.boot,
                      .sequence = engine.sequence,
                      .highest_fence = engine.highest_fence,
                      .memory_mb = engine.memory_mb,
                      .used_mb = engine.UsedMb(),
                      .leaving = false,
                      .cached = engine.cached,
                      .entries = {}};
    for (const auto& [key, it] : engine.held) {
      const auto loaded = clock_.Now() >= it.ready
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
    return EngineLoad{engines[address.port].running, 0, 8};
  }

  /// What an engine does with an order, now or long after it was sent.
  OrderAnswer Take(FakeEngine& engine, const EngineOrder& order) {
    if (engine.checks_fence && order.fence < engine.highest_fence &&
        !engine.known.contains(order.order)) {
      return OrderRefused{"old_fence", engine.highest_fence};
    }
    ++engine.sequence;
    if (engine.known.insert(order.order).second) {
      engine.highest_fence = std::max(engine.highest_fence, order.fence);
      const ModelKey key{order.model, order.version, order.adapter};
      if (order.action == OrderAction::kUnload) {
        engine.held.erase(key);
      } else {
        ++engine.loads;
        engine.held[key] = {order, clock_.Now() + load_time, engine.fail_loads};
      }
      engine.overcommitted |= engine.UsedMb() > engine.memory_mb;
    }
    return OrderAccepted{engine.sequence, engine.boot};
  }

  int Replicas(const ModelKey& key) const {
    return static_cast<int>(std::ranges::count_if(
        engines, [&](const auto& it) { return it.second.held.contains(key); }));
  }

 private:
  const Clock& clock_;
};

/// The network between nodes; messages wait until Deliver().
struct PeerHub {
  struct Message {
    std::string from;
    std::string to;
    PeerMessage message;
  };

  std::vector<std::string> nodes;
  std::set<std::string> cut;  ///< Nodes whose links are down, still listed.
  std::set<std::string> gone;
  std::map<std::string, PeerNetwork::Handler> handlers;
  std::deque<Message> messages;
  std::vector<Vm> vms;

  void Deliver() {
    while (!messages.empty()) {
      const auto it = std::move(messages.front());
      messages.pop_front();
      const auto node = it.from.substr(0, it.from.find('/'));
      if (!cut.contains(node) && !cut.contains(it.to) &&
          handlers.contains(it.to)) {
        handlers[it.to](it.from, it.message);
      }
    }
  }
};

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
      member.reachable = !hub_.cut.contains(it) || it == node_;
      members.push_back(std::move(member));
    }
    return members;
  }
  std::vector<std::string> LiveIds() const override {
    std::vector<std::string> ids;
    for (const auto& it : hub_.nodes) {
      if (!hub_.gone.contains(it)) {
        ids.push_back(it);
      }
    }
    return ids;
  }
  bool MayStillRun(std::string_view process) const override {
    return !hub_.gone.contains(
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

class FakeEstate final : public EstateSource {
 public:
  std::shared_ptr<Estate> estate = std::make_shared<Estate>();

  std::shared_ptr<const Estate> Current() const override { return estate; }
  void OnChange(std::function<void()>) override {}
};

/// Nodes, engines and platform of one pool named "pool".
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

  /// Advances time in steps and lets every running node act in each.
  void RunFor(Duration duration, Duration step = 10ms) {
    for (Duration done{}; done < duration; done += step) {
      for (auto& [id, node] : nodes_) {
        if (!hub_.gone.contains(id) && !paused_.contains(id)) {
          node->service.Step();
        }
        Yield();
        hub_.Deliver();
      }
      CheckEngines();
      clock_.Advance(step);
    }
  }
  static void Yield() {
    for (int i = 0; i < 8; ++i) {
      boost::this_fiber::yield();
    }
  }
  void CheckEngines() {
    for (const auto& [port, engine] : engines_.engines) {
      EXPECT_FALSE(engine.overcommitted) << "engine at port " << port;
    }
    for (const auto& [name, model] : estate_.estate->models) {
      EXPECT_LE(engines_.Replicas({name, "1", ""}),
                static_cast<int>(model.replica_limit));
    }
  }
  void Demand(const std::string& node, const ModelKey& key, unsigned waiting) {
    nodes_[node]->service.SetDemand("pool", key, {waiting, 0, 0, {}});
  }
  std::size_t Loaded(const std::string& node, const ModelKey& key) {
    return nodes_[node]->service.Replicas(key).size();
  }
  int TotalLoads() const {
    int sum = 0;
    for (const auto& [port, engine] : engines_.engines) {
      sum += engine.loads;
    }
    return sum;
  }
  /// The node that coordinates the pool.
  std::string Coordinator() {
    return nodes_.begin()
        ->second->service.Status()["cells"]["pool"]["coordinator"];
  }
  std::string OtherNode() {
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
  std::set<std::string> paused_;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
};

}  // namespace tanagerloom::testing_placement

#endif  // TESTS_CORRECTNESS_PLACEMENT_FAKES_H_
