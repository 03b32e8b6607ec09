// Tests of the placement of models on engines.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

#include "fleet/placement_plan.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(1)};

EngineSpec Spec(int models) {
  EngineSpec spec;
  spec.slots = 64;
  spec.weights_mb = 200000;
  spec.adapter_slots = 8;
  for (int i = 0; i < models; ++i) {
    ModelSpec model;
    model.name = "m" + std::to_string(i);
    model.weights_mb = 60000 + 1000 * (i % 10);
    model.adapter_mb = 50;
    model.store_load_time = seconds(6);
    model.disk_load_time = seconds(1);
    model.memory_load_time = milliseconds(400);
    spec.models.emplace(model.name, model);
  }
  return spec;
}

EngineSnapshot Engine(std::string id, std::vector<std::string> models) {
  EngineSnapshot engine;
  engine.id = std::move(id);
  for (const auto& it : models) {
    engine.models[it];
    engine.cached_weights.on_disk.insert(it);
  }
  return engine;
}

ModelDemand Waiting(std::uint32_t n = 1) {
  ModelDemand demand;
  demand.waiting = n;
  demand.last_arrival_at = kNow;
  demand.earliest_deadline = kNow + seconds(10);
  return demand;
}

struct Fixture {
  EngineSpec spec = Spec(20);
  PlacementInput input;

  Fixture() {
    input.spec = &spec;
    input.now = kNow;
    input.store_loads_allowed = 4;
    input.store_concurrency = 4;
  }

  // Leaves only these models, so that no other one is staged.
  void KeepModels(const std::set<std::string>& names) {
    std::erase_if(spec.models,
                  [&](const auto& it) { return !names.contains(it.first); });
  }
};

// Guards against a load of six seconds where one of a second would do.
TEST(PlanPlacement, MissingModelGoesToTheNearestCopy) {
  Fixture f;
  f.KeepModels({"m3"});
  f.input.engines = {Engine("a", {}), Engine("b", {}), Engine("c", {})};
  f.input.engines[1].cached_weights.on_disk.insert("m3");
  f.input.engines[2].cached_weights.on_disk.insert("m3");
  f.input.engines[2].cached_weights.in_memory.insert("m3");
  f.input.demand[{"m3", ""}] = Waiting();
  const auto plan = PlanPlacement(f.input);
  ASSERT_EQ(plan.orders.size(), 1U);
  EXPECT_EQ(plan.orders[0].engine, "c");
  EXPECT_EQ(plan.orders[0].source, CheckpointSource::kMemory);
}

// Guards against a store load that starts although the engine with the copy is
// free again much sooner.
TEST(PlanPlacement, WaitsForABusyEngineWithACopy) {
  Fixture f;
  f.KeepModels({"m3"});
  f.input.engines = {Engine("a", {}), Engine("b", {})};
  f.input.engines[1].cached_weights.on_disk.insert("m3");
  f.input.engines[1].busy = true;
  f.input.engines[1].free_in = milliseconds(500);
  f.input.demand[{"m3", ""}] = Waiting();
  EXPECT_TRUE(PlanPlacement(f.input).orders.empty());
  f.input.engines[1].free_in = seconds(8);
  EXPECT_EQ(PlanPlacement(f.input).orders.at(0).engine, "a");
}

// Guards against an order to an engine that carries out another one, whose load
// would then not fit.
TEST(PlanPlacement, BusyEngineGetsNoOrder) {
  Fixture f;
  f.input.engines = {Engine("a", {"m1"})};
  f.input.engines[0].busy = true;
  f.input.demand[{"m3", ""}] = Waiting();
  f.input.demand[{"m1", "a1"}] = Waiting();
  EXPECT_TRUE(PlanPlacement(f.input).orders.empty());
}

// Guards against a busy model that makes way while an idle one lies beside it.
TEST(PlanPlacement, IdlestModelMakesWay) {
  Fixture f;
  f.input.engines = {Engine("a", {"m0", "m1", "m2"})};
  f.input.engines[0].cached_weights.on_disk.insert("m3");
  f.input.demand[{"m0", ""}].last_arrival_at = kNow - seconds(1);
  f.input.demand[{"m1", ""}].last_arrival_at = kNow - seconds(9);
  f.input.demand[{"m2", ""}].running = 3;
  f.input.demand[{"m3", ""}] = Waiting();
  const auto plan = PlanPlacement(f.input);
  ASSERT_EQ(plan.orders.size(), 1U);
  EXPECT_EQ(plan.orders[0].action, OrderAction::kUnload);
  EXPECT_EQ(plan.orders[0].target.model, "m1");
}

// Guards against loads from the store beyond what it serves at full speed, and
// against requests that wait for one without knowing how long.
TEST(PlanPlacement, ModelsWithoutACopyQueueForTheStore) {
  Fixture f;
  for (const char* id : {"a", "b", "c", "d", "e"}) {
    f.input.engines.push_back(Engine(id, {}));
  }
  f.input.store_loads_allowed = 1;
  f.input.store_concurrency = 1;
  for (const char* model : {"m1", "m2", "m3"}) {
    f.input.demand[{model, ""}] = Waiting(model[1] == '2' ? 5 : 1);
  }
  const auto plan = PlanPlacement(f.input);
  ASSERT_EQ(plan.orders.size(), 1U);
  EXPECT_EQ(plan.orders[0].target.model, "m2");
  ASSERT_EQ(plan.store_queue.size(), 2U);
  EXPECT_EQ(plan.store_queue[0].ready_in, seconds(12));
  EXPECT_EQ(plan.store_queue[1].ready_in, seconds(18));
}

// Guards against replicas that meet on one engine, whose slots then fill up
// while others are idle.
TEST(PlanPlacement, ReplicasGoToTheEngineWithTheLeastLoad) {
  Fixture f;
  f.KeepModels({"m0", "m1", "m2"});
  f.input.engines = {Engine("a", {"m0"}), Engine("b", {"m1"}),
                     Engine("c", {"m2"})};
  for (auto& it : f.input.engines) {
    it.cached_weights.on_disk = {"m0", "m1", "m2"};
  }
  f.input.engines[1].cached_weights.in_memory.insert("m0");
  ModelDemand busy;
  busy.rate = 40;
  busy.concurrency = 14;
  busy.last_arrival_at = kNow;
  f.input.demand[{"m0", ""}] = busy;
  f.input.demand[{"m1", ""}] = busy;
  const auto plan = PlanPlacement(f.input);
  ASSERT_FALSE(plan.orders.empty());
  EXPECT_EQ(plan.orders[0].engine, "c");
}

// Guards against a model whose only copy left and that is fetched only when a
// request waits for it.
TEST(PlanPlacement, StagesAModelWithoutACopyWhileTheStoreIsIdle) {
  Fixture f;
  f.spec = Spec(3);
  f.input.engines = {Engine("a", {"m0", "m1"}), Engine("b", {})};
  const auto plan = PlanPlacement(f.input);
  ASSERT_EQ(plan.orders.size(), 1U);
  EXPECT_EQ(plan.orders[0].target.model, "m2");
  f.input.store_loads_allowed = 0;
  EXPECT_TRUE(PlanPlacement(f.input).orders.empty());
}

// Guards against loads of models that have copies on engines which register a
// moment later, and against staging in the order of names.
TEST(PlanPlacement, StagesOnceTheEnginesAreKnownAndByWhatWasAskedLast) {
  Fixture f;
  f.spec = Spec(4);
  f.input.engines = {Engine("a", {"m0"}), Engine("b", {})};
  f.input.store_loads_allowed = 1;
  f.input.demand[{"m2", ""}].last_arrival_at = kNow - seconds(1);
  f.input.engines_settled = false;
  EXPECT_TRUE(PlanPlacement(f.input).orders.empty());
  f.input.engines_settled = true;
  const auto plan = PlanPlacement(f.input);
  ASSERT_EQ(plan.orders.size(), 1U);
  EXPECT_EQ(plan.orders[0].target.model, "m2");
}

// Guards against a busy model on one engine only, and against replicas that
// cost the place of a model in use.
TEST(PlanPlacement, BusyModelsGetReplicasByWhatRunsAtOnce) {
  ModelDemand demand;
  demand.rate = 1;
  EXPECT_EQ(DesiredReplicas(demand, 64), 0U);
  demand.rate = 2;
  EXPECT_EQ(DesiredReplicas(demand, 64), 2U);
  demand.concurrency = 25;
  EXPECT_EQ(DesiredReplicas(demand, 64), 4U);
  // Small engines fill up: with 4 replicas half of their 12 slots would be
  // taken by one model on average.
  EXPECT_EQ(DesiredReplicas(demand, 12), 9U);
  Fixture f;
  f.spec = Spec(6);
  f.input.engines = {Engine("a", {"m0"}), Engine("b", {"m1", "m2", "m3"}),
                     Engine("c", {"m4", "m5"})};
  f.input.engines[1].cached_weights.on_disk.insert("m0");
  f.input.engines[2].cached_weights.on_disk.insert("m0");
  demand.last_arrival_at = kNow;
  f.input.demand[{"m0", ""}] = demand;
  for (const char* model : {"m1", "m2", "m3"}) {
    f.input.demand[{model, ""}].last_arrival_at = kNow - seconds(1);
  }
  const auto plan = PlanPlacement(f.input);
  ASSERT_EQ(plan.orders.size(), 1U);
  EXPECT_EQ(plan.orders[0].engine, "c");
  EXPECT_EQ(plan.orders[0].action, OrderAction::kLoad);
}

// Guards against more adapters than an engine has places for.
TEST(PlanPlacement, IdleAdapterMakesWayWhenThePlacesAreTaken) {
  Fixture f;
  f.input.engines = {Engine("a", {"m0"})};
  auto& adapters = f.input.engines[0].models["m0"];
  for (int i = 0; i < 8; ++i) {
    const std::string name = "a" + std::to_string(i);
    adapters.insert(name);
    f.input.demand[{"m0", name}].last_arrival_at = kNow - seconds(i);
    f.input.demand[{"m0", name}].running = i == 7 ? 1 : 0;
  }
  f.input.demand[{"m0", "new"}] = Waiting();
  const auto plan = PlanPlacement(f.input);
  ASSERT_EQ(plan.orders.size(), 1U);
  EXPECT_EQ(plan.orders[0].action, OrderAction::kUnload);
  EXPECT_EQ(plan.orders[0].target, (ModelRef{"m0", "a6"}));
  adapters.erase("a6");
  EXPECT_EQ(PlanPlacement(f.input).orders.at(0).target,
            (ModelRef{"m0", "new"}));
}

// Guards against an engine whose memory or places are promised twice, in any
// state and for any demand.
TEST(PlanPlacement, NeverOrdersMoreThanAnEngineHolds) {
  const bool ok = rc::check([] {
    Fixture f;
    std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
    const auto draw = [&](int n) { return static_cast<int>(random() % n); };
    for (int e = 0; e < 6; ++e) {
      auto engine = Engine("e" + std::to_string(e), {});
      for (int i = draw(4); i > 0 && engine.models.size() < 2; --i) {
        engine.models["m" + std::to_string(draw(20))];
      }
      engine.busy = draw(4) == 0;
      for (int i = 0; i < 8; ++i) {
        engine.cached_weights.on_disk.insert("m" + std::to_string(draw(20)));
      }
      f.input.engines.push_back(engine);
    }
    for (int i = 0; i < 10; ++i) {
      ModelDemand demand = Waiting(draw(3));
      demand.rate = draw(30);
      demand.concurrency = draw(40);
      demand.last_arrival_at = kNow - seconds(draw(20));
      const std::string adapter =
          draw(3) == 0 ? "a" + std::to_string(draw(9)) : "";
      f.input.demand[{"m" + std::to_string(draw(20)), adapter}] = demand;
    }
    f.input.store_loads_allowed = draw(4);
    std::set<std::string> ordered;
    std::uint32_t from_store = 0;
    for (const auto& it : PlanPlacement(f.input).orders) {
      RC_ASSERT(ordered.insert(it.engine).second);
      const auto engine =
          std::ranges::find(f.input.engines, it.engine, &EngineSnapshot::id);
      RC_ASSERT(!engine->busy);
      if (it.action != OrderAction::kLoad || !it.target.adapter.empty()) {
        continue;
      }
      from_store += it.source == CheckpointSource::kRemote ? 1 : 0;
      double used = f.spec.models.at(it.target.model).weights_mb;
      for (const auto& [model, adapters] : engine->models) {
        used += f.spec.models.at(model).weights_mb;
      }
      RC_ASSERT(used <= f.spec.weights_mb);
      RC_ASSERT(!engine->models.contains(it.target.model));
    }
    RC_ASSERT(from_store <= f.input.store_loads_allowed);
  });
  EXPECT_TRUE(ok);
}

}  // namespace
}  // namespace tanagerloom
