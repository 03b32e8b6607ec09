// Tests of placement on several nodes with fake ports. After each step the
// fixture checks that no model has more replicas than its limit (G1) and that
// no engine's memory is overcommitted (G2), also when responses are lost, peers
// are unreachable or orders are adopted by another node.
#include "placement_fakes.h"

namespace tanagerloom::testing_placement {
namespace {

class PlacementTest : public PlacementFixture {};

// Guards against nodes that each decide a replica of their own when requests
// for one model arrive at all of them at once.
TEST_F(PlacementTest, BurstAtAllNodesLoadsWithinTheLimit) {
  AddEngines(4, false);
  AddNodes(4);
  const auto model = AddModel("m", 9000, 2);
  RunFor(100ms);
  for (const auto& it : hub_.nodes) {
    SetWaiting(it, model, 20);
  }
  RunFor(600ms);
  EXPECT_EQ(TotalLoads(), 2);
  for (const auto& it : hub_.nodes) {
    EXPECT_EQ(CountLoaded(it, model), 2U) << it;
  }
}

// Guards against a decision that is made twice or lost when the response to its
// write, or the write itself, is lost.
TEST_F(PlacementTest, LostAnswersAndRequestsDoNotRepeatDecisions) {
  AddEngines(2, false);
  AddNodes(2);
  const auto model = AddModel("m", 9000, 1);
  RunFor(100ms);
  store_.responses_to_lose = 1;
  SetWaiting("n0", model, 1);
  RunFor(500ms);
  EXPECT_EQ(TotalLoads(), 1);
  const auto other = AddModel("other", 9000, 1);
  store_.requests_to_lose = 1;
  SetWaiting("n0", other, 1);
  RunFor(1s);
  EXPECT_EQ(TotalLoads(), 2);
  EXPECT_EQ(CountLoaded("n0", other), 1U);
}

// Guards against a stored write that is reported as lost, or a lost write that
// is reported as stored.
TEST_F(PlacementTest, RecordStoreReadsBackAfterALostAnswer) {
  EventLog log("n0", 10, MakeNullLogger());
  RecordStore records(store_, log);
  const auto base = records.Load("pool").assume_value();
  store_.responses_to_lose = 1;
  const auto stored = records.Replace(base, base.record, *estate_.estate);
  ASSERT_TRUE(stored.has_value());
  EXPECT_EQ(stored.assume_value().record.sequence, 1U);
  store_.requests_to_lose = 1;
  const auto lost =
      records.Replace(stored.assume_value(), base.record, *estate_.estate);
  ASSERT_FALSE(lost.has_value());
  EXPECT_EQ(lost.assume_error().kind, ErrorKind::kUnknown);
  EXPECT_EQ(records.Load("pool").assume_value().record.sequence, 1U);
}

// Guards against overcommitted memory when an engine cannot hold all models
// with demand.
TEST_F(PlacementTest, ModelsThatDoNotFitAreNotLoaded) {
  AddEngines(1, true);
  AddNodes(1);
  const auto first = AddModel("first", 50000, 1);
  const auto second = AddModel("second", 50000, 1);
  RunFor(100ms);
  SetWaiting("n0", first, 1);
  SetWaiting("n0", second, 1);
  RunFor(500ms);
  EXPECT_EQ(TotalLoads(), 1);
}

// Guards against requests that wait forever because the coordinator cannot be
// reached.
TEST_F(PlacementTest, NodeDecidesItselfWhenTheCoordinatorIsUnreachable) {
  AddEngines(2, false);
  AddNodes(3);
  const auto model = AddModel("m", 9000, 1);
  RunFor(100ms);
  const auto node = NonCoordinator();
  hub_.disconnected.insert(Coordinator());
  SetWaiting(node, model, 1);
  RunFor(400ms);
  EXPECT_EQ(TotalLoads(), 0);
  RunFor(800ms);
  EXPECT_EQ(TotalLoads(), 1);
  EXPECT_EQ(CountLoaded(node, model), 1U);
}

// Guards against an order that is never sent because the node that was to send
// it has terminated.
TEST_F(PlacementTest, OrderOfATerminatedNodeIsAdopted) {
  AddEngines(2, false);
  AddNodes(2);
  const auto model = AddModel("m", 9000, 1);
  RunFor(100ms);
  const auto killed = Coordinator();
  const auto node = NonCoordinator();
  for (auto& [port, engine] : engines_.engines) {
    engine.unreachable = true;
  }
  SetWaiting(node, model, 1);
  RunFor(100ms);
  EXPECT_EQ(TotalLoads(), 0);
  hub_.terminated.insert(killed);
  for (auto& [port, engine] : engines_.engines) {
    engine.unreachable = false;
  }
  RunFor(2500ms);
  EXPECT_EQ(TotalLoads(), 1);
  EXPECT_EQ(CountLoaded(node, model), 1U);
}

// Guards against a replica that is removed from the record while a paused node
// can still deliver its load order to an engine that ignores fencing tokens:
// the late load would overcommit the engine.
TEST_F(PlacementTest, ReplicaStaysRecordedWhileASenderMayDeliverItsOrder) {
  AddEngines(1, false);
  AddNodes(2);
  const auto model = AddModel("m", 50000, 1);
  RunFor(2s);
  const auto sender = Coordinator();
  const auto node = NonCoordinator();
  auto& engine = engines_.engines.begin()->second;
  engine.capture_orders = true;
  SetWaiting(node, model, 1);
  RunFor(100ms);
  ASSERT_FALSE(engine.captured_orders.empty());
  const auto late_order = engine.captured_orders.front();
  engine.capture_orders = false;
  paused_.insert(sender);
  hub_.disconnected.insert(sender);
  RunFor(
      5s);  // The other node adopts the order and the engine loads the model.
  ASSERT_EQ(CountLoaded(node, model), 1U);
  engine.Restart();
  SetWaiting(node, model, 0);
  const auto other = AddModel("other", 50000, 1);
  SetWaiting(node, other, 1);
  RunFor(5s);
  EXPECT_EQ(engine.UsedMb(), 0U);
  engines_.HandleOrder(engine, late_order);
  RunFor(1s);
  hub_.terminated.insert(sender);
  RunFor(5s);
  EXPECT_EQ(CountLoaded(node, other), 1U);
}

// Guards against memory that stays reserved for the order of a paused node
// although the engine checks fencing tokens and would refuse that order.
TEST_F(PlacementTest, HigherFencingTokenAllowsRemovalDespiteAPausedSender) {
  AddEngines(1, true);
  AddNodes(2);
  const auto model = AddModel("m", 50000, 1);
  RunFor(2s);
  const auto sender = Coordinator();
  const auto node = NonCoordinator();
  auto& engine = engines_.engines.begin()->second;
  engine.capture_orders = true;
  SetWaiting(node, model, 1);
  RunFor(100ms);
  const auto late_order = engine.captured_orders.front();
  engine.capture_orders = false;
  paused_.insert(sender);
  hub_.disconnected.insert(sender);
  RunFor(5s);
  engine.replicas.clear();
  SetWaiting(node, model, 0);
  const auto other = AddModel("other", 50000, 1);
  SetWaiting(node, other, 1);
  RunFor(5s);
  EXPECT_EQ(CountLoaded(node, other), 1U);
  EXPECT_TRUE(std::holds_alternative<OrderRefused>(
                  engines_.HandleOrder(engine, late_order)) ||
              engine.known_orders.contains(late_order.order));
  EXPECT_LE(engine.UsedMb(), engine.memory_mb);
}

// Guards against a node that resumes after a pause and sends an order that
// another node adopted and finished in the meantime.
TEST_F(PlacementTest, ResumedNodeReadsTheRecordBeforeItSends) {
  AddEngines(1, false);
  AddNodes(2);
  const auto model = AddModel("m", 50000, 1);
  RunFor(2s);
  const auto paused = Coordinator();
  const auto node = NonCoordinator();
  auto& engine = engines_.engines.begin()->second;
  engine.unreachable = true;  // The order is decided, but not delivered.
  SetWaiting(node, model, 1);
  RunFor(100ms);
  paused_.insert(paused);
  hub_.disconnected.insert(paused);
  engine.unreachable = false;
  RunFor(5s);
  ASSERT_EQ(CountLoaded(node, model), 1U);
  paused_.clear();
  hub_.disconnected.clear();
  hub_.messages.clear();
  engine.Restart();  // It would execute the same order again now.
  store_.unavailable = true;
  RunFor(100ms);
  EXPECT_EQ(engine.started_loads, 1);
  store_.unavailable = false;
  RunFor(5s);
  EXPECT_EQ(engine.started_loads, 2);
  EXPECT_EQ(CountLoaded(paused, model), 1U);
}

// Guards against replicas that stay listed as loaded after their engine
// restarted without them.
TEST_F(PlacementTest, RestartedEngineIsLoadedAgain) {
  AddEngines(1, false);
  AddNodes(2);
  const auto model = AddModel("m", 9000, 1);
  RunFor(100ms);
  SetWaiting("n0", model, 1);
  RunFor(500ms);
  ASSERT_EQ(CountLoaded("n0", model), 1U);
  engines_.engines.begin()->second.Restart();
  RunFor(4s);
  EXPECT_EQ(TotalLoads(), 2);
  EXPECT_EQ(CountLoaded("n0", model), 1U);
}

// Guards against requests that wait for a model that cannot be loaded, and
// against loads that are retried without backoff.
TEST_F(PlacementTest, FailingModelIsEstimatedAsFailingOnEveryNode) {
  AddEngines(4, false);
  AddNodes(2);
  const auto model = AddModel("m", 9000, 1);
  for (auto& [port, engine] : engines_.engines) {
    engine.fail_loads = true;
  }
  RunFor(2s);
  SetWaiting("n0", model, 1);
  RunFor(1500ms);
  for (const auto& it : hub_.nodes) {
    const auto load_estimate = nodes_[it]->service.EstimateReplicaLoad(model);
    EXPECT_TRUE(load_estimate.failing) << it;
    EXPECT_EQ(load_estimate.cause, "bad checkpoint") << it;
  }
  EXPECT_LE(TotalLoads(), 4);
  for (auto& [port, engine] : engines_.engines) {
    engine.fail_loads = false;
  }
  RunFor(70s);
  EXPECT_EQ(CountLoaded("n0", model), 1U);
  EXPECT_FALSE(nodes_["n0"]->service.EstimateReplicaLoad(model).failing);
}

// Guards against requests sent to a leaving engine, and against a model that is
// not loaded on another engine.
TEST_F(PlacementTest, ModelMovesAwayFromALeavingEngine) {
  AddEngines(2, false);
  AddNodes(2);
  const auto model = AddModel("m", 9000, 1);
  RunFor(2s);
  SetWaiting("n0", model, 1);
  RunFor(500ms);
  const auto leaving_engine =
      nodes_["n0"]->service.Replicas(model).front().engine;
  for (auto& vm : hub_.vms) {
    vm.leaving = vm.id == leaving_engine;
  }
  RunFor(50ms);
  EXPECT_EQ(CountLoaded("n0", model), 0U);
  RunFor(3s);
  ASSERT_EQ(CountLoaded("n0", model), 1U);
  EXPECT_NE(nodes_["n0"]->service.Replicas(model).front().engine,
            leaving_engine);
}

// Guards against evicting a model that has requests in flight, and against
// never evicting an idle one.
TEST_F(PlacementTest, OnlyUnusedModelsAreEvicted) {
  AddEngines(1, false);
  AddNodes(2);
  const auto busy = AddModel("busy", 40000, 1);
  const auto idle = AddModel("idle", 40000, 1);
  const auto wanted = AddModel("wanted", 40000, 1);
  RunFor(2s);
  SetWaiting("n0", busy, 1);
  SetWaiting("n1", idle, 1);
  RunFor(500ms);
  ASSERT_EQ(TotalLoads(), 2);
  nodes_["n0"]->service.SetDemand("pool", busy, {0, 1, 0, {}});
  nodes_["n1"]->service.SetDemand("pool", idle, {0, 1, 0, {}});
  SetWaiting("n0", wanted, 1);
  RunFor(1s);
  EXPECT_EQ(CountLoaded("n0", wanted), 0U);
  SetWaiting("n1", idle, 0);
  RunFor(1s);
  EXPECT_EQ(CountLoaded("n0", wanted), 1U);
  EXPECT_EQ(CountLoaded("n0", busy), 1U);
}

// Guards against an unload that interrupts requests that a node dispatched
// before it was informed of the unload.
TEST_F(PlacementTest, UnloadWaitsForRequestsInFlight) {
  AddEngines(1, false);
  AddNodes(2);
  const auto old = AddModel("old", 50000, 1);
  const auto wanted = AddModel("wanted", 50000, 1);
  RunFor(2s);
  SetWaiting("n1", old, 1);
  RunFor(500ms);
  SetWaiting("n1", old, 0);
  RunFor(50ms);
  SetWaiting("n0", wanted, 1);
  RunFor(30ms);
  ASSERT_EQ(CountLoaded("n1", old), 0U);  // The unload is decided.
  nodes_["n1"]->service.SetDemand("pool", old, {0, 1, 0, {}});
  engines_.engines.begin()->second.running_requests = 1;
  RunFor(2s);
  EXPECT_EQ(engines_.CountReplicas(old), 1);
  nodes_["n1"]->service.SetDemand("pool", old, {0, 0, 0, {}});
  engines_.engines.begin()->second.running_requests = 0;
  RunFor(1s);
  EXPECT_EQ(CountLoaded("n0", wanted), 1U);
}

// Guards against an adapter that is loaded without its base model, and against
// a base model that is evicted while its adapters are loaded.
TEST_F(PlacementTest, AdapterIsLoadedAfterItsBaseModel) {
  AddEngines(2, false);
  AddNodes(1);
  auto key = AddModel("m", 40000, 1);
  auto& adapter = estate_.estate->models["m"].adapters["a"];
  adapter.name = "a";
  adapter.memory_mb = 100;
  adapter.replica_limit = 2;
  key.adapter = "a";
  RunFor(2s);
  SetWaiting("n0", key, 1);
  RunFor(600ms);
  EXPECT_EQ(CountLoaded("n0", key), 1U);
  EXPECT_EQ(CountLoaded("n0", key.Base()), 1U);
  SetWaiting("n0", key, 0);
  const auto other = AddModel("other", 80000, 2);
  SetWaiting("n0", other, 9);
  RunFor(2s);
  EXPECT_EQ(CountLoaded("n0", other), 2U);
  EXPECT_EQ(engines_.CountReplicas(key), 0);
}

// Guards against more concurrent loads from the weight store than its limit,
// and against loads that wait forever.
TEST_F(PlacementTest, RemoteLoadsStayWithinTheLimitsOfTheWeightStore) {
  AddEngines(4, false);
  AddNodes(2);
  engines_.load_time = 2s;
  RunFor(2s);
  std::vector<ModelKey> models;
  for (int i = 0; i < 10; ++i) {
    models.push_back(AddModel("m" + std::to_string(i), 9000, 1));
    SetWaiting("n0", models.back(), 1);
  }
  std::size_t max_loading = 0;
  for (int i = 0; i < 100; ++i) {
    RunFor(100ms);
    std::size_t loading = 0;
    for (const auto& [port, engine] : engines_.engines) {
      loading += static_cast<std::size_t>(std::ranges::count_if(
          engine.replicas,
          [&](const auto& it) { return it.second.ready_at > clock_.Now(); }));
    }
    max_loading = std::max(max_loading, loading);
  }
  EXPECT_EQ(max_loading, 4U);
  EXPECT_EQ(TotalLoads(), 10);
}

// Guards against orders that are sent without a stored decision while the
// platform is unavailable, and against loaded models that are no longer used
// then.
TEST_F(PlacementTest, OutageStopsDecisionsButNotLoadedModels) {
  AddEngines(2, false);
  AddNodes(2);
  const auto model = AddModel("m", 9000, 1);
  const auto other = AddModel("other", 9000, 1);
  RunFor(2s);
  SetWaiting("n0", model, 1);
  RunFor(500ms);
  store_.unavailable = true;
  const auto calls = store_.reads + store_.writes;
  SetWaiting("n0", other, 1);
  RunFor(20s);
  EXPECT_EQ(CountLoaded("n0", model), 1U);
  EXPECT_EQ(TotalLoads(), 1);
  EXPECT_LT(store_.reads + store_.writes - calls, 40);
  store_.unavailable = false;
  RunFor(5s);
  EXPECT_EQ(CountLoaded("n0", other), 1U);
}

// Guards against nodes that cannot load any model while the platform is
// unavailable, and against memory reserved for standby that blocks other
// models.
TEST_F(PlacementTest, StandbyLoadStartsWithoutThePlatform) {
  AddEngines(1, false);
  AddNodes(2);
  const auto model = AddModel("m", 50000, 1);
  estate_.estate->pools["pool"].idle_cost_per_hour = 1000;
  RunFor(2s);
  SetWaiting("n0", model, 1);
  RunFor(500ms);
  SetWaiting("n0", model, 0);
  RunFor(60s, 100ms);
  // Unloaded because it was idle for too long.
  ASSERT_EQ(engines_.CountReplicas(model), 0);
  EXPECT_EQ(TotalLoads(), 1);
  const auto record = [&] {
    return nodes_["n0"]->service.Status()["cells"]["pool"]["record"];
  };
  ASSERT_EQ(record()["servers"]["gw-0"]["replicas"][0]["reason"], "standby");
  store_.unavailable = true;
  SetWaiting("n0", model, 1);
  RunFor(8s);
  EXPECT_EQ(TotalLoads(), 2);
  EXPECT_EQ(CountLoaded("n0", model), 1U);
  store_.unavailable = false;
  SetWaiting("n0", model, 0);
  RunFor(60s, 100ms);
  ASSERT_EQ(engines_.CountReplicas(model), 0);
  const auto other = AddModel("other", 50000, 1);
  SetWaiting("n1", other, 1);
  RunFor(1s);
  EXPECT_EQ(CountLoaded("n1", other), 1U);
}

// Guards against a new coordinator that lacks the arrival history and so cannot
// tell which models are idle.
TEST_F(PlacementTest, NewCoordinatorHasTheArrivalHistory) {
  AddEngines(1, false);
  AddNodes(2);
  const auto model = AddModel("m", 9000, 1);
  estate_.estate->pools["pool"].idle_cost_per_hour = 1000;
  RunFor(2s);
  const auto first = Coordinator();
  const auto second = NonCoordinator();
  SetWaiting(first, model, 1);
  RunFor(70s, 100ms);
  hub_.terminated.insert(first);
  RunFor(40s, 100ms);  // Only the history shows that the model is idle.
  EXPECT_EQ(engines_.CountReplicas(model), 0);
}

}  // namespace
}  // namespace tanagerloom::testing_placement
