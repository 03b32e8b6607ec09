// Placement on several nodes with fake ports: guards against more replicas than
// decided (G1) and overcommitted memory (G2) under lost answers, lost peers and
// replaced executors.
#include "placement_fakes.h"

namespace tanagerloom::testing_placement {
namespace {

class PlacementTest : public PlacementFixture {};

// Guards against each node of a burst deciding its own replica.
TEST_F(PlacementTest, BurstAtAllNodesLoadsWithinTheLimit) {
  AddEngines(4, false);
  AddNodes(4);
  const auto model = AddModel("m", 9000, 2);
  RunFor(100ms);
  for (const auto& it : hub_.nodes) {
    Demand(it, model, 20);
  }
  RunFor(600ms);
  EXPECT_EQ(TotalLoads(), 2);
  for (const auto& it : hub_.nodes) {
    EXPECT_EQ(Loaded(it, model), 2U) << it;
  }
}

// Guards against a decision being repeated or dropped when the answer to its
// write, or the write itself, is lost.
TEST_F(PlacementTest, LostAnswersAndRequestsDoNotRepeatDecisions) {
  AddEngines(2, false);
  AddNodes(2);
  const auto model = AddModel("m", 9000, 1);
  RunFor(100ms);
  store_.lose_answers = 1;
  Demand("n0", model, 1);
  RunFor(500ms);
  EXPECT_EQ(TotalLoads(), 1);
  const auto other = AddModel("other", 9000, 1);
  store_.lose_requests = 1;
  Demand("n0", other, 1);
  RunFor(1s);
  EXPECT_EQ(TotalLoads(), 2);
  EXPECT_EQ(Loaded("n0", other), 1U);
}

// Guards against a stored write being taken as lost, or a lost one as stored.
TEST_F(PlacementTest, RecordStoreReadsBackAfterALostAnswer) {
  EventLog log("n0", 10, MakeNullLogger());
  RecordStore records(store_, log);
  const auto base = records.Load("pool").assume_value();
  store_.lose_answers = 1;
  const auto stored = records.Replace(base, base.record, *estate_.estate);
  ASSERT_TRUE(stored.has_value());
  EXPECT_EQ(stored.assume_value().record.sequence, 1U);
  store_.lose_requests = 1;
  const auto lost =
      records.Replace(stored.assume_value(), base.record, *estate_.estate);
  ASSERT_FALSE(lost.has_value());
  EXPECT_EQ(lost.assume_error().kind, ErrorKind::kUnknown);
  EXPECT_EQ(records.Load("pool").assume_value().record.sequence, 1U);
}

// Guards against overcommitted memory when models don't all fit.
TEST_F(PlacementTest, ModelsThatDoNotFitAreNotLoaded) {
  AddEngines(1, true);
  AddNodes(1);
  const auto first = AddModel("first", 50000, 1);
  const auto second = AddModel("second", 50000, 1);
  RunFor(100ms);
  Demand("n0", first, 1);
  Demand("n0", second, 1);
  RunFor(500ms);
  EXPECT_EQ(TotalLoads(), 1);
}

// Guards against requests waiting for a coordinator that can't be reached.
TEST_F(PlacementTest, NodeDecidesItselfWithoutAcknowledgement) {
  AddEngines(2, false);
  AddNodes(3);
  const auto model = AddModel("m", 9000, 1);
  RunFor(100ms);
  const auto node = OtherNode();
  hub_.cut.insert(Coordinator());
  Demand(node, model, 1);
  RunFor(400ms);
  EXPECT_EQ(TotalLoads(), 0);
  RunFor(800ms);
  EXPECT_EQ(TotalLoads(), 1);
  EXPECT_EQ(Loaded(node, model), 1U);
}

// Guards against a load that is lost with its executor.
TEST_F(PlacementTest, OrderOfADeadExecutorIsAdopted) {
  AddEngines(2, false);
  AddNodes(2);
  const auto model = AddModel("m", 9000, 1);
  RunFor(100ms);
  const auto dead = Coordinator();
  const auto node = OtherNode();
  for (auto& [port, engine] : engines_.engines) {
    engine.unreachable = true;
  }
  Demand(node, model, 1);
  RunFor(100ms);
  EXPECT_EQ(TotalLoads(), 0);
  hub_.gone.insert(dead);
  for (auto& [port, engine] : engines_.engines) {
    engine.unreachable = false;
  }
  RunFor(2500ms);
  EXPECT_EQ(TotalLoads(), 1);
  EXPECT_EQ(Loaded(node, model), 1U);
}

// Guards against an entry being removed while a paused sender can still deliver
// its load order to an engine that ignores fences.
TEST_F(PlacementTest, EntryStaysWhileASenderMayDeliverItsOrder) {
  AddEngines(1, false);
  AddNodes(2);
  const auto model = AddModel("m", 50000, 1);
  RunFor(2s);
  const auto sender = Coordinator();
  const auto node = OtherNode();
  auto& engine = engines_.engines.begin()->second;
  engine.capture = true;
  Demand(node, model, 1);
  RunFor(100ms);
  ASSERT_FALSE(engine.captured.empty());
  const auto late = engine.captured.front();
  engine.capture = false;
  paused_.insert(sender);
  hub_.cut.insert(sender);
  RunFor(5s);  // The other node adopts the order and the engine loads.
  ASSERT_EQ(Loaded(node, model), 1U);
  engine.Restart();
  Demand(node, model, 0);
  const auto other = AddModel("other", 50000, 1);
  Demand(node, other, 1);
  RunFor(5s);
  EXPECT_EQ(engine.UsedMb(), 0U);
  engines_.Take(engine, late);
  RunFor(1s);
  hub_.gone.insert(sender);
  RunFor(5s);
  EXPECT_EQ(Loaded(node, other), 1U);
}

// Guards against an engine that checks fences blocking its memory for a sender
// that is paused.
TEST_F(PlacementTest, HigherFenceAllowsRemovalDespiteAPausedSender) {
  AddEngines(1, true);
  AddNodes(2);
  const auto model = AddModel("m", 50000, 1);
  RunFor(2s);
  const auto sender = Coordinator();
  const auto node = OtherNode();
  auto& engine = engines_.engines.begin()->second;
  engine.capture = true;
  Demand(node, model, 1);
  RunFor(100ms);
  const auto late = engine.captured.front();
  engine.capture = false;
  paused_.insert(sender);
  hub_.cut.insert(sender);
  RunFor(5s);
  engine.held.clear();
  Demand(node, model, 0);
  const auto other = AddModel("other", 50000, 1);
  Demand(node, other, 1);
  RunFor(5s);
  EXPECT_EQ(Loaded(node, other), 1U);
  EXPECT_TRUE(
      std::holds_alternative<OrderRefused>(engines_.Take(engine, late)) ||
      engine.known.contains(late.order));
  EXPECT_LE(engine.UsedMb(), engine.memory_mb);
}

// Guards against a woken executor sending an order that was adopted and
// finished while it was paused.
TEST_F(PlacementTest, WokenExecutorReadsTheRecordBeforeItSends) {
  AddEngines(1, false);
  AddNodes(2);
  const auto model = AddModel("m", 50000, 1);
  RunFor(2s);
  const auto sleeper = Coordinator();
  const auto node = OtherNode();
  auto& engine = engines_.engines.begin()->second;
  engine.unreachable = true;  // The order is decided, but was not delivered.
  Demand(node, model, 1);
  RunFor(100ms);
  paused_.insert(sleeper);
  hub_.cut.insert(sleeper);
  engine.unreachable = false;
  RunFor(5s);
  ASSERT_EQ(Loaded(node, model), 1U);
  paused_.clear();
  hub_.cut.clear();
  hub_.messages.clear();
  engine.Restart();  // It would obey a repeated order now.
  store_.down = true;
  RunFor(100ms);
  EXPECT_EQ(engine.loads, 1);
  store_.down = false;
  RunFor(5s);
  EXPECT_EQ(engine.loads, 2);
  EXPECT_EQ(Loaded(sleeper, model), 1U);
}

// Guards against the replicas of a restarted engine being offered for ever.
TEST_F(PlacementTest, RestartedEngineIsLoadedAgain) {
  AddEngines(1, false);
  AddNodes(2);
  const auto model = AddModel("m", 9000, 1);
  RunFor(100ms);
  Demand("n0", model, 1);
  RunFor(500ms);
  ASSERT_EQ(Loaded("n0", model), 1U);
  engines_.engines.begin()->second.Restart();
  RunFor(4s);
  EXPECT_EQ(TotalLoads(), 2);
  EXPECT_EQ(Loaded("n0", model), 1U);
}

// Guards against requests that wait for a model which can't be loaded, and
// against loads that are repeated without a pause.
TEST_F(PlacementTest, BadModelIsForecastAsFailingOnEveryNode) {
  AddEngines(4, false);
  AddNodes(2);
  const auto model = AddModel("m", 9000, 1);
  for (auto& [port, engine] : engines_.engines) {
    engine.fail_loads = true;
  }
  RunFor(2s);
  Demand("n0", model, 1);
  RunFor(1500ms);
  for (const auto& it : hub_.nodes) {
    const auto forecast = nodes_[it]->service.EstimateReplicaLoad(model);
    EXPECT_TRUE(forecast.failing) << it;
    EXPECT_EQ(forecast.cause, "bad checkpoint") << it;
  }
  EXPECT_LE(TotalLoads(), 4);
  for (auto& [port, engine] : engines_.engines) {
    engine.fail_loads = false;
  }
  RunFor(70s);
  EXPECT_EQ(Loaded("n0", model), 1U);
  EXPECT_FALSE(nodes_["n0"]->service.EstimateReplicaLoad(model).failing);
}

// Guards against new work on a leaving server and against a model that is stuck
// there.
TEST_F(PlacementTest, ModelMovesAwayFromALeavingServer) {
  AddEngines(2, false);
  AddNodes(2);
  const auto model = AddModel("m", 9000, 1);
  RunFor(2s);
  Demand("n0", model, 1);
  RunFor(500ms);
  const auto server = nodes_["n0"]->service.Replicas(model).front().engine;
  for (auto& vm : hub_.vms) {
    vm.leaving = vm.id == server;
  }
  RunFor(50ms);
  EXPECT_EQ(Loaded("n0", model), 0U);
  RunFor(3s);
  ASSERT_EQ(Loaded("n0", model), 1U);
  EXPECT_NE(nodes_["n0"]->service.Replicas(model).front().engine, server);
}

// Guards against evicting a model whose requests are in progress, and against
// never making room.
TEST_F(PlacementTest, OnlyUnusedModelsAreEvicted) {
  AddEngines(1, false);
  AddNodes(2);
  const auto busy = AddModel("busy", 40000, 1);
  const auto idle = AddModel("idle", 40000, 1);
  const auto wanted = AddModel("wanted", 40000, 1);
  RunFor(2s);
  Demand("n0", busy, 1);
  Demand("n1", idle, 1);
  RunFor(500ms);
  ASSERT_EQ(TotalLoads(), 2);
  nodes_["n0"]->service.SetDemand("pool", busy, {0, 1, 0, {}});
  nodes_["n1"]->service.SetDemand("pool", idle, {0, 1, 0, {}});
  Demand("n0", wanted, 1);
  RunFor(1s);
  EXPECT_EQ(Loaded("n0", wanted), 0U);
  Demand("n1", idle, 0);
  RunFor(1s);
  EXPECT_EQ(Loaded("n0", wanted), 1U);
  EXPECT_EQ(Loaded("n0", busy), 1U);
}

// Guards against an unload that interrupts requests which were dispatched
// before their node learned of it.
TEST_F(PlacementTest, UnloadWaitsForRequestsInProgress) {
  AddEngines(1, false);
  AddNodes(2);
  const auto old = AddModel("old", 50000, 1);
  const auto wanted = AddModel("wanted", 50000, 1);
  RunFor(2s);
  Demand("n1", old, 1);
  RunFor(500ms);
  Demand("n1", old, 0);
  RunFor(50ms);
  Demand("n0", wanted, 1);
  RunFor(30ms);
  ASSERT_EQ(Loaded("n1", old), 0U);  // The unload is decided.
  nodes_["n1"]->service.SetDemand("pool", old, {0, 1, 0, {}});
  engines_.engines.begin()->second.running = 1;
  RunFor(2s);
  EXPECT_EQ(engines_.Replicas(old), 1);
  nodes_["n1"]->service.SetDemand("pool", old, {0, 0, 0, {}});
  engines_.engines.begin()->second.running = 0;
  RunFor(1s);
  EXPECT_EQ(Loaded("n0", wanted), 1U);
}

// Guards against an adapter without its base, and against a base that is
// evicted under its adapters.
TEST_F(PlacementTest, AdapterIsLoadedAfterItsBase) {
  AddEngines(2, false);
  AddNodes(1);
  auto key = AddModel("m", 40000, 1);
  auto& adapter = estate_.estate->models["m"].adapters["a"];
  adapter.name = "a";
  adapter.memory_mb = 100;
  adapter.replica_limit = 2;
  key.adapter = "a";
  RunFor(2s);
  Demand("n0", key, 1);
  RunFor(600ms);
  EXPECT_EQ(Loaded("n0", key), 1U);
  EXPECT_EQ(Loaded("n0", key.Base()), 1U);
  Demand("n0", key, 0);
  const auto other = AddModel("other", 80000, 2);
  Demand("n0", other, 9);
  RunFor(2s);
  EXPECT_EQ(Loaded("n0", other), 2U);
  EXPECT_EQ(engines_.Replicas(key), 0);
}

// Guards against more loads at once from the weight store than it can serve,
// and against loads that wait for ever.
TEST_F(PlacementTest, RemoteLoadsKeepTheLimitsOfTheWeightStore) {
  AddEngines(4, false);
  AddNodes(2);
  engines_.load_time = 2s;
  RunFor(2s);
  std::vector<ModelKey> models;
  for (int i = 0; i < 10; ++i) {
    models.push_back(AddModel("m" + std::to_string(i), 9000, 1));
    Demand("n0", models.back(), 1);
  }
  std::size_t most = 0;
  for (int i = 0; i < 100; ++i) {
    RunFor(100ms);
    std::size_t loading = 0;
    for (const auto& [port, engine] : engines_.engines) {
      loading += static_cast<std::size_t>(std::ranges::count_if(
          engine.held,
          [&](const auto& it) { return it.second.ready > clock_.Now(); }));
    }
    most = std::max(most, loading);
  }
  EXPECT_EQ(most, 4U);
  EXPECT_EQ(TotalLoads(), 10);
}

// Guards against decisions without a stored write while the platform is down,
// and against loaded models that vanish with it.
TEST_F(PlacementTest, OutageStopsDecisionsButNotLoadedModels) {
  AddEngines(2, false);
  AddNodes(2);
  const auto model = AddModel("m", 9000, 1);
  const auto other = AddModel("other", 9000, 1);
  RunFor(2s);
  Demand("n0", model, 1);
  RunFor(500ms);
  store_.down = true;
  const auto calls = store_.reads + store_.writes;
  Demand("n0", other, 1);
  RunFor(20s);
  EXPECT_EQ(Loaded("n0", model), 1U);
  EXPECT_EQ(TotalLoads(), 1);
  EXPECT_LT(store_.reads + store_.writes - calls, 40);
  store_.down = false;
  RunFor(5s);
  EXPECT_EQ(Loaded("n0", other), 1U);
}

// Guards against a node that can load nothing while the platform is down, and
// against standby memory that blocks other models.
TEST_F(PlacementTest, StandbyLoadStartsWithoutThePlatform) {
  AddEngines(1, false);
  AddNodes(2);
  const auto model = AddModel("m", 50000, 1);
  estate_.estate->pools["pool"].idle_cost_per_hour = 1000;
  RunFor(2s);
  Demand("n0", model, 1);
  RunFor(500ms);
  Demand("n0", model, 0);
  RunFor(60s, 100ms);
  ASSERT_EQ(engines_.Replicas(model), 0);  // Idle for too long.
  EXPECT_EQ(TotalLoads(), 1);
  const auto record = [&] {
    return nodes_["n0"]->service.Status()["cells"]["pool"]["record"];
  };
  ASSERT_EQ(record()["servers"]["gw-0"]["replicas"][0]["reason"], "standby");
  store_.down = true;
  Demand("n0", model, 1);
  RunFor(8s);
  EXPECT_EQ(TotalLoads(), 2);
  EXPECT_EQ(Loaded("n0", model), 1U);
  store_.down = false;
  Demand("n0", model, 0);
  RunFor(60s, 100ms);
  ASSERT_EQ(engines_.Replicas(model), 0);
  const auto other = AddModel("other", 50000, 1);
  Demand("n1", other, 1);
  RunFor(1s);
  EXPECT_EQ(Loaded("n1", other), 1U);
}

// Guards against a new coordinator that knows nothing of earlier requests and
// keeps or drops models blindly.
TEST_F(PlacementTest, NewCoordinatorKnowsTheArrivalHistory) {
  AddEngines(1, false);
  AddNodes(2);
  const auto model = AddModel("m", 9000, 1);
  estate_.estate->pools["pool"].idle_cost_per_hour = 1000;
  RunFor(2s);
  const auto first = Coordinator();
  const auto second = OtherNode();
  Demand(first, model, 1);
  RunFor(70s, 100ms);
  hub_.gone.insert(first);
  RunFor(40s, 100ms);  // Only its history shows that the model is idle.
  EXPECT_EQ(engines_.Replicas(model), 0);
}

}  // namespace
}  // namespace tanagerloom::testing_placement
