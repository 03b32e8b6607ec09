// Tests of the plan that decides which models engines load and unload.
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
// Prompt tokens that an engine reads in a second.
constexpr double kReadingSpeed = 40000;

EngineSpec MakeSpec(int models) {
  EngineSpec spec;
  spec.slots = 64;
  spec.weights_mb = 200000;
  spec.adapter_slots = 8;
  for (int i = 0; i < models; ++i) {
    FleetModel model;
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

EngineSnapshot MakeEngine(std::string id, std::vector<std::string> models) {
  EngineSnapshot engine;
  engine.id = std::move(id);
  for (const auto& it : models) {
    engine.models[it];
    engine.cached_weights.on_disk.insert(it);
  }
  return engine;
}

FleetDemand WaitingDemand(std::uint32_t n = 1) {
  FleetDemand demand;
  demand.waiting = n;
  demand.last_arrival_at = kNow;
  demand.earliest_deadline = kNow + seconds(10);
  return demand;
}

struct Fixture {
  EngineSpec spec = MakeSpec(20);
  PlacementInput input;

  Fixture() {
    input.spec = &spec;
    input.now = kNow;
    input.store_loads_allowed = 4;
    input.store_concurrency = 4;
  }

  // Removes all other models from the specification, so that none of them is
  // prefetched.
  void KeepModels(const std::set<std::string>& names) {
    std::erase_if(spec.models,
                  [&](const auto& it) { return !names.contains(it.first); });
  }
};

// Guards against a load of 6 s from the weight store although an engine has a
// cached copy that loads in 1 s or less.
TEST(PlanPlacement, MissingModelGoesToTheFastestCachedCopy) {
  Fixture f;
  f.KeepModels({"m3"});
  f.input.engines = {MakeEngine("a", {}), MakeEngine("b", {}),
                     MakeEngine("c", {})};
  f.input.engines[1].cached_weights.on_disk.insert("m3");
  f.input.engines[2].cached_weights.on_disk.insert("m3");
  f.input.engines[2].cached_weights.in_memory.insert("m3");
  f.input.demand[{"m3", ""}] = WaitingDemand();
  const auto plan = PlanPlacement(f.input);
  ASSERT_EQ(plan.orders.size(), 1U);
  EXPECT_EQ(plan.orders[0].engine, "c");
  EXPECT_EQ(plan.orders[0].source, CheckpointSource::kMemory);
}

// Guards against a load from the weight store although the engine with a cached
// copy would be free and finish the load much sooner.
TEST(PlanPlacement, WaitsForABusyEngineWithACachedCopy) {
  Fixture f;
  f.KeepModels({"m3"});
  f.input.engines = {MakeEngine("a", {}), MakeEngine("b", {})};
  f.input.engines[1].cached_weights.on_disk.insert("m3");
  f.input.engines[1].busy = true;
  f.input.engines[1].time_until_free = milliseconds(500);
  f.input.demand[{"m3", ""}] = WaitingDemand();
  EXPECT_TRUE(PlanPlacement(f.input).orders.empty());
  f.input.engines[1].time_until_free = seconds(8);
  EXPECT_EQ(PlanPlacement(f.input).orders.at(0).engine, "a");
}

// Guards against an order to an engine that executes another one: the memory
// that the plan assumes may no longer be free.
TEST(PlanPlacement, BusyEngineGetsNoOrder) {
  Fixture f;
  f.input.engines = {MakeEngine("a", {"m1"})};
  f.input.engines[0].busy = true;
  f.input.demand[{"m3", ""}] = WaitingDemand();
  f.input.demand[{"m1", "a1"}] = WaitingDemand();
  EXPECT_TRUE(PlanPlacement(f.input).orders.empty());
}

// Guards against evicting a model in use while the engine has an idle one.
TEST(PlanPlacement, LeastRecentlyUsedModelIsEvicted) {
  Fixture f;
  f.input.engines = {MakeEngine("a", {"m0", "m1", "m2"})};
  f.input.engines[0].cached_weights.on_disk.insert("m3");
  f.input.demand[{"m0", ""}].last_arrival_at = kNow - seconds(1);
  f.input.demand[{"m1", ""}].last_arrival_at = kNow - seconds(9);
  f.input.demand[{"m2", ""}].running = 3;
  f.input.demand[{"m3", ""}] = WaitingDemand();
  const auto plan = PlanPlacement(f.input);
  ASSERT_EQ(plan.orders.size(), 1U);
  EXPECT_EQ(plan.orders[0].action, OrderAction::kUnload);
  EXPECT_EQ(plan.orders[0].target.model, "m1");
}

// Guards against a load into memory that a model still uses which the
// configuration no longer names: its size is not known any more, and an engine
// that is ordered to hold more than it has memory for crashes.
TEST(PlanPlacement, WithdrawnModelsAreUnloadedBeforeALoad) {
  Fixture f;
  f.input.engines = {MakeEngine("a", {"m0", "m1", "m2"})};
  f.input.engines[0].cached_weights.on_disk.insert("m3");
  f.KeepModels({"m2", "m3"});
  f.input.demand[{"m3", ""}] = WaitingDemand();
  for (const char* withdrawn : {"m0", "m1"}) {
    const auto plan = PlanPlacement(f.input);
    ASSERT_EQ(plan.orders.size(), 1U);
    EXPECT_EQ(plan.orders[0].action, OrderAction::kUnload);
    EXPECT_EQ(plan.orders[0].target.model, withdrawn);
    f.input.engines[0].models.erase(withdrawn);
  }
  const auto plan = PlanPlacement(f.input);
  ASSERT_EQ(plan.orders.size(), 1U);
  EXPECT_EQ(plan.orders[0].action, OrderAction::kLoad);
  EXPECT_EQ(plan.orders[0].target.model, "m3");
}

// Guards against a withdrawn model that is kept because requests for it were
// counted under the version that still named it.
TEST(PlanPlacement, WithdrawnModelIsUnloadedAlthoughItWasBusy) {
  Fixture f;
  f.input.engines = {MakeEngine("a", {"m0"})};
  f.input.engines[0].cached_weights.on_disk.insert("m3");
  f.KeepModels({"m3"});
  f.input.demand[{"m0", ""}].waiting = 1;
  f.input.demand[{"m0", ""}].rate = 10;
  f.input.demand[{"m0", ""}].concurrency = 30;
  f.input.demand[{"m3", ""}] = WaitingDemand();
  const auto plan = PlanPlacement(f.input);
  ASSERT_EQ(plan.orders.size(), 1U);
  EXPECT_EQ(plan.orders[0].action, OrderAction::kUnload);
  EXPECT_EQ(plan.orders[0].target.model, "m0");
}

// Guards against more loads from the weight store than it serves at full speed,
// and against queued models without a load estimate.
TEST(PlanPlacement, ModelsWithoutACachedCopyQueueForTheWeightStore) {
  Fixture f;
  for (const char* id : {"a", "b", "c", "d", "e"}) {
    f.input.engines.push_back(MakeEngine(id, {}));
  }
  f.input.store_loads_allowed = 1;
  f.input.store_concurrency = 1;
  for (const char* model : {"m1", "m2", "m3"}) {
    f.input.demand[{model, ""}] = WaitingDemand(model[1] == '2' ? 5 : 1);
  }
  const auto plan = PlanPlacement(f.input);
  ASSERT_EQ(plan.orders.size(), 1U);
  EXPECT_EQ(plan.orders[0].target.model, "m2");
  ASSERT_EQ(plan.store_queue.size(), 2U);
  EXPECT_EQ(plan.store_queue[0].ready_in, seconds(12));
  EXPECT_EQ(plan.store_queue[1].ready_in, seconds(18));
}

// Guards against rare models of a low class that are loaded before those of a
// high class because more requests wait for them or their deadlines are
// earlier, and against a low class that never gets a load.
TEST(PlanPlacement, MissingModelsAreLoadedByTheRankThatWaitsForThem) {
  for (const bool cached : {true, false}) {
    Fixture f;
    f.KeepModels({"m1", "m2"});
    f.input.store_loads_allowed = 1;
    f.input.engines = {MakeEngine("a", {})};
    if (cached) {
      f.input.engines[0].cached_weights.on_disk = {"m1", "m2"};
    }
    auto& low = f.input.demand[{"m1", ""}] = WaitingDemand(9);
    low.best_rank = 5;
    low.earliest_deadline = kNow + seconds(2);
    auto& high = f.input.demand[{"m2", ""}] = WaitingDemand(1);
    high.best_rank = 1;
    int low_first = 0;
    for (int second = 0; second < 20; ++second) {
      f.input.now = kNow + seconds(second);
      const auto plan = PlanPlacement(f.input);
      ASSERT_EQ(plan.orders.size(), 1U);
      low_first += plan.orders[0].target.model == "m1" ? 1 : 0;
    }
    EXPECT_EQ(low_first, 2) << cached;
  }
}

// Guards against replicas that are placed on one engine, whose slots fill up
// while other engines are idle.
TEST(PlanPlacement, ReplicasGoToTheEngineWithTheLeastLoad) {
  Fixture f;
  f.KeepModels({"m0", "m1", "m2"});
  f.input.engines = {MakeEngine("a", {"m0"}), MakeEngine("b", {"m1"}),
                     MakeEngine("c", {"m2"})};
  for (auto& it : f.input.engines) {
    it.cached_weights.on_disk = {"m0", "m1", "m2"};
  }
  f.input.engines[1].cached_weights.in_memory.insert("m0");
  FleetDemand busy;
  busy.rate = 40;
  busy.concurrency = 14;
  busy.last_arrival_at = kNow;
  f.input.demand[{"m0", ""}] = busy;
  f.input.demand[{"m1", ""}] = busy;
  const auto plan = PlanPlacement(f.input);
  ASSERT_FALSE(plan.orders.empty());
  EXPECT_EQ(plan.orders[0].engine, "c");
}

// Guards against a model that lost its only cached copy and is loaded from the
// weight store only when a request waits for it.
TEST(PlanPlacement, PrefetchesModelsWithoutACachedCopyFromAnIdleWeightStore) {
  Fixture f;
  f.spec = MakeSpec(3);
  f.input.engines = {MakeEngine("a", {"m0", "m1"}), MakeEngine("b", {})};
  const auto plan = PlanPlacement(f.input);
  ASSERT_EQ(plan.orders.size(), 1U);
  EXPECT_EQ(plan.orders[0].target.model, "m2");
  f.input.store_loads_allowed = 0;
  EXPECT_TRUE(PlanPlacement(f.input).orders.empty());
}

// Guards against prefetching models that have cached copies on engines which
// register a moment later, and against prefetching in the order of names.
TEST(PlanPlacement, PrefetchesMostRecentlyUsedModelOnceEnginesAreSettled) {
  Fixture f;
  f.spec = MakeSpec(4);
  f.input.engines = {MakeEngine("a", {"m0"}), MakeEngine("b", {})};
  f.input.store_loads_allowed = 1;
  f.input.demand[{"m2", ""}].last_arrival_at = kNow - seconds(1);
  f.input.engines_settled = false;
  EXPECT_TRUE(PlanPlacement(f.input).orders.empty());
  f.input.engines_settled = true;
  const auto plan = PlanPlacement(f.input);
  ASSERT_EQ(plan.orders.size(), 1U);
  EXPECT_EQ(plan.orders[0].target.model, "m2");
}

// Guards against a busy model that has only one replica, and against replicas
// for which a model in use is evicted.
TEST(PlanPlacement, BusyModelsGetReplicasByTheirConcurrency) {
  FleetDemand demand;
  demand.rate = 1;
  EXPECT_EQ(DesiredReplicas(demand, 64, kReadingSpeed), 0U);
  demand.rate = 2;
  EXPECT_EQ(DesiredReplicas(demand, 64, kReadingSpeed), 2U);
  demand.concurrency = 25;
  EXPECT_EQ(DesiredReplicas(demand, 64, kReadingSpeed), 4U);
  // Engines with few slots need more replicas: with 4, one model would use half
  // of their 12 slots on average.
  EXPECT_EQ(DesiredReplicas(demand, 12, kReadingSpeed), 9U);
  Fixture f;
  f.spec = MakeSpec(6);
  f.input.engines = {MakeEngine("a", {"m0"}),
                     MakeEngine("b", {"m1", "m2", "m3"}),
                     MakeEngine("c", {"m4", "m5"})};
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

// Guards against a model whose few requests have prompts so long that one
// engine can't read them, although most of its slots are free.
TEST(PlanPlacement, LongPromptsNeedReplicasBeforeSlotsAreFull) {
  FleetDemand demand;
  demand.rate = 4;
  demand.concurrency = 3;
  demand.prompt_tokens_per_s = 4 * 9000;  // 0.9 of what an engine reads.
  EXPECT_EQ(DesiredReplicas(demand, 64, kReadingSpeed), 3U);
  demand.rate = 1;  // Rare, but each prompt takes long.
  EXPECT_EQ(DesiredReplicas(demand, 64, kReadingSpeed), 3U);
  demand.prompt_tokens_per_s = 600;
  EXPECT_EQ(DesiredReplicas(demand, 64, kReadingSpeed), 0U);

  Fixture f;
  f.spec = MakeSpec(6);
  f.input.engine_prompt_tokens_per_s = kReadingSpeed;
  f.input.engines = {MakeEngine("a", {"m0"}), MakeEngine("b", {"m1"}),
                     MakeEngine("c", {"m2"})};
  for (auto& it : f.input.engines) {
    it.cached_weights.on_disk.insert("m0");
  }
  demand.rate = 4;
  demand.prompt_tokens_per_s = 4 * 9000;
  demand.last_arrival_at = kNow;
  f.input.demand[{"m0", ""}] = demand;
  // The prompts of another model keep engine "b" busy.
  auto& other = f.input.demand[{"m1", ""}];
  other.rate = 1;
  other.prompt_tokens_per_s = 0.2 * kReadingSpeed;
  other.last_arrival_at = kNow;
  const auto plan = PlanPlacement(f.input);
  ASSERT_FALSE(plan.orders.empty());
  EXPECT_EQ(plan.orders[0].target.model, "m0");
  EXPECT_EQ(plan.orders[0].engine, "c");
}

// Guards against more adapters on an engine than it has adapter slots.
TEST(PlanPlacement, IdleAdapterIsEvictedWhenAllAdapterSlotsAreUsed) {
  Fixture f;
  f.input.engines = {MakeEngine("a", {"m0"})};
  auto& adapters = f.input.engines[0].models["m0"];
  for (int i = 0; i < 8; ++i) {
    const std::string name = "a" + std::to_string(i);
    adapters.insert(name);
    f.input.demand[{"m0", name}].last_arrival_at = kNow - seconds(i);
    f.input.demand[{"m0", name}].running = i == 7 ? 1 : 0;
  }
  f.input.demand[{"m0", "new"}] = WaitingDemand();
  const auto plan = PlanPlacement(f.input);
  ASSERT_EQ(plan.orders.size(), 1U);
  EXPECT_EQ(plan.orders[0].action, OrderAction::kUnload);
  EXPECT_EQ(plan.orders[0].target, (ModelRef{"m0", "a6"}));
  adapters.erase("a6");
  EXPECT_EQ(PlanPlacement(f.input).orders.at(0).target,
            (ModelRef{"m0", "new"}));
}

// Guards against an engine whose memory is reserved twice, in any state and for
// any demand: each engine gets at most one order, and only one that fits.
TEST(PlanPlacement, NeverOrdersMoreThanAnEngineHasMemoryFor) {
  const bool all_passed = rc::check([] {
    Fixture f;
    std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
    const auto random_below = [&](int n) {
      return static_cast<int>(random() % n);
    };
    for (int e = 0; e < 6; ++e) {
      auto engine = MakeEngine("e" + std::to_string(e), {});
      for (int i = random_below(4); i > 0 && engine.models.size() < 2; --i) {
        engine.models["m" + std::to_string(random_below(20))];
      }
      engine.busy = random_below(4) == 0;
      for (int i = 0; i < 8; ++i) {
        engine.cached_weights.on_disk.insert("m" +
                                             std::to_string(random_below(20)));
      }
      f.input.engines.push_back(engine);
    }
    for (int i = 0; i < 10; ++i) {
      FleetDemand demand = WaitingDemand(random_below(3));
      demand.rate = random_below(30);
      demand.concurrency = random_below(40);
      demand.last_arrival_at = kNow - seconds(random_below(20));
      const std::string adapter =
          random_below(3) == 0 ? "a" + std::to_string(random_below(9)) : "";
      f.input.demand[{"m" + std::to_string(random_below(20)), adapter}] =
          demand;
    }
    f.input.store_loads_allowed = random_below(4);
    std::set<std::string> ordered_engines;
    std::uint32_t weight_store_loads = 0;
    for (const auto& it : PlanPlacement(f.input).orders) {
      RC_ASSERT(ordered_engines.insert(it.engine).second);
      const auto engine =
          std::ranges::find(f.input.engines, it.engine, &EngineSnapshot::id);
      RC_ASSERT(!engine->busy);
      if (it.action != OrderAction::kLoad || !it.target.adapter.empty()) {
        continue;
      }
      weight_store_loads += it.source == CheckpointSource::kRemote ? 1 : 0;
      double used_mb = f.spec.models.at(it.target.model).weights_mb;
      for (const auto& [model, adapters] : engine->models) {
        used_mb += f.spec.models.at(model).weights_mb;
      }
      RC_ASSERT(used_mb <= f.spec.weights_mb);
      RC_ASSERT(!engine->models.contains(it.target.model));
    }
    RC_ASSERT(weight_store_loads <= f.input.store_loads_allowed);
  });
  EXPECT_TRUE(all_passed);
}

}  // namespace
}  // namespace tanagerloom
