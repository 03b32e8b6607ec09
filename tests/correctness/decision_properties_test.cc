// Property tests of the operations on placement records and of planning, over
// random records: guards against an operation or a plan that overcommits memory
// or exceeds a replica limit.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "decision/load_slots.h"
#include "decision/planner.h"

namespace tanagerloom {
namespace {

constexpr int kEngines = 3;
constexpr int kModels = 5;

ModelKey RandomKey() {
  const auto model = "m" + std::to_string(*rc::gen::inRange(0, kModels));
  return {model, "1", *rc::gen::element(std::string(), std::string("a"))};
}

std::string RandomEngine() {
  return "s" + std::to_string(*rc::gen::inRange(0, kEngines));
}

Estate RandomEstate() {
  Estate estate;
  for (int i = 0; i < kModels; ++i) {
    auto& model = estate.models["m" + std::to_string(i)];
    model.version = "1";
    model.pool = "pool";
    model.memory_mb = *rc::gen::inRange<std::uint64_t>(1, 60);
    model.replica_limit = *rc::gen::inRange<std::uint32_t>(0, 4);
    auto& adapter = model.adapters["a"];
    adapter.memory_mb = *rc::gen::inRange<std::uint64_t>(1, 10);
    adapter.replica_limit = *rc::gen::inRange<std::uint32_t>(0, 4);
  }
  return estate;
}

// Applies one random operation and checks the record: a refused operation must
// leave it unchanged, and no fencing token may fall.
void ApplyRandom(CellRecord& record, const Estate& estate) {
  const auto before = record;
  const auto engine = RandomEngine();
  const auto key = RandomKey();
  const Decider self{"n/1", *rc::gen::inRange<std::uint64_t>(0, 1000)};
  const auto* replica = record.engines[engine].Find(key);
  const auto order = replica == nullptr ? "none" : replica->order;
  bool refused = false;
  switch (*rc::gen::inRange(0, 8)) {
    case 0:
    case 1:
    case 2: {
      const auto allowance = AllowanceOf(estate, key);
      refused = !DecideLoad(record,
                            {.engine = engine,
                             .key = key,
                             .memory_mb = allowance.memory_mb,
                             .replica_limit = allowance.replica_limit,
                             .source = WeightSource::kRemote,
                             .reason = DecisionReason::kDemand,
                             .order = ""},
                            self);
      break;
    }
    case 3:
      refused = !DecideUnload(record, engine, key, self);
      break;
    case 4:
      refused = !MarkLoaded(record, engine, key, order);
      break;
    case 5:
      refused = !AdoptOrder(record, engine, key, order, "other/1");
      break;
    case 6:
      refused = !RemoveReplica(record, engine, key);
      break;
    default:
      UpdateEngine(record, engine,
                   {*rc::gen::inRange<std::uint64_t>(0, 120), "b",
                    *rc::gen::arbitrary<bool>(), 0});
      break;
  }
  if (refused) {
    RC_ASSERT(record == before);
  }
  for (const auto& [id, it] : before.engines) {
    RC_ASSERT(record.engines[id].fence >= it.fence);
  }
  CheckRecord(before, record, estate);
}

// Returns the record that up to 40 random operations make of an empty one.
CellRecord RandomRecord(const Estate& estate) {
  CellRecord record;
  record.cell = "pool";
  for (int i = 0; i < kEngines; ++i) {
    record.engines["s" + std::to_string(i)].memory_mb = 100;
  }
  const auto steps = *rc::gen::inRange(0, 40);
  for (int i = 0; i < steps; ++i) {
    ApplyRandom(record, estate);
  }
  return record;
}

// Guards against operations that violate an invariant of the record, and
// against a record that changes when it is serialized and parsed.
TEST(DecisionProperties, OperationsKeepTheInvariants) {
  EXPECT_TRUE(rc::check([] {
    const auto estate = RandomEstate();
    auto record = RandomRecord(estate);
    StampWrite(record, "w-1");
    const auto parsed = ParseRecord(SerializeRecord(record));
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed.assume_value() == record);
  }));
}

// A random input of planning.
struct RandomCase {
  Estate estate = RandomEstate();
  CellRecord record = RandomRecord(estate);
  std::map<ModelKey, ModelDemand> demand;
  EngineStatusMap engine_statuses;
  std::map<ModelKey, ArrivalHistory> histories;
  std::set<std::string> unstarted_standby_orders;

  RandomCase() {
    for (int i = 0; i < kEngines; ++i) {
      auto& status = engine_statuses["s" + std::to_string(i)];
      status.listed = *rc::gen::inRange(0, 10) > 0;
      status.reachable = *rc::gen::inRange(0, 10) > 0;
      status.report = EngineReport();
      status.report->cached["m0"] = WeightSource::kDisk;
    }
    for (auto& [id, engine_record] : record.engines) {
      for (auto& replica : engine_record.replicas) {
        if (replica.state == ReplicaState::kLoading &&
            replica.key.adapter.empty() && *rc::gen::inRange(0, 4) == 0) {
          replica.reason = DecisionReason::kStandby;
          unstarted_standby_orders.insert(replica.order);
        }
      }
    }
    const auto count = *rc::gen::inRange(0, 6);
    for (int i = 0; i < count; ++i) {
      auto& it = demand[RandomKey()];
      it.waiting = *rc::gen::inRange<std::uint32_t>(0, 20);
      it.running = *rc::gen::inRange<std::uint32_t>(it.waiting == 0 ? 1 : 0, 9);
    }
    for (int i = 0; i < kModels; ++i) {
      histories[{"m" + std::to_string(i), "1", ""}].RecordUse(
          *rc::gen::inRange<std::uint64_t>(1, 2000000));
    }
  }

  PlanInput Input(std::uint32_t remote_loads) const {
    return {.record = record,
            .estate = estate,
            .demand = demand,
            .engines = engine_statuses,
            .histories = histories,
            .unstarted_standby_orders = unstarted_standby_orders,
            .policy = ParseKeepAlivePolicy(
                *rc::gen::element("cost", "fixed", "never"), 600),
            .remote_loads_allowed = remote_loads,
            .adapter_loads_allowed = 2,
            .now_ms = 2000000,
            .wall_ms = 1000000};
  }
};

// Guards against plans whose decisions the record refuses, that unload models
// in use, or that exceed the allowed loads from the weight store.
TEST(DecisionProperties, PlansAreAcceptedAndStayWithinTheirLimits) {
  EXPECT_TRUE(rc::check([] {
    const RandomCase it;
    const auto remote_loads = *rc::gen::inRange<std::uint32_t>(0, 4);
    const auto plan = PlanCell(it.Input(remote_loads));
    auto next = it.record;
    for (const auto& unload : plan.unloads) {
      const auto& engine_record = it.record.engines.at(unload.engine);
      RC_ASSERT(engine_record.Find(unload.key)->state ==
                    ReplicaState::kLoaded ||
                it.unstarted_standby_orders.contains(
                    engine_record.Find(unload.key)->order));
      if (!engine_record.leaving) {
        RC_ASSERT(!it.demand.contains(unload.key));
      }
      RC_ASSERT(DecideUnload(next, unload.engine, unload.key, {}).has_value());
    }
    std::uint32_t weight_store_loads = 0;
    for (const auto& load : plan.loads) {
      weight_store_loads += UsesWeightStore(load.key, load.source) &&
                                    load.reason != DecisionReason::kStandby
                                ? 1
                                : 0;
      RC_ASSERT(it.engine_statuses.at(load.engine).listed);
      RC_ASSERT(it.engine_statuses.at(load.engine).reachable);
      RC_ASSERT(DecideLoad(next, load, {}).has_value());
    }
    RC_ASSERT(weight_store_loads <= remote_loads);
    CheckRecord(it.record, next, it.estate);
  }));
}

// Guards against evictions that free too little memory or unload a model with
// demand.
TEST(DecisionProperties, EvictionFreesTheNeededMemory) {
  EXPECT_TRUE(rc::check([] {
    const RandomCase it;
    const KeepAlivePolicy policy = CostKeepAlive{};
    const auto used = UsedKeys(it.demand);
    const auto counts = CountReplicas(it.record);
    const EvictionInput input{it.estate,
                              used,
                              counts,
                              it.unstarted_standby_orders,
                              it.engine_statuses,
                              it.histories,
                              policy,
                              2000000,
                              true};
    const auto& engine_record = it.record.engines.at("s0");
    const auto need_mb = *rc::gen::inRange<std::uint64_t>(1, 100);
    const auto eviction =
        ChooseEviction(ListEvictionGroups(input, "s0", engine_record),
                       engine_record, need_mb, {});
    if (!eviction) {
      return;
    }
    std::uint64_t freed_mb = 0;
    for (const auto& key : eviction->keys) {
      freed_mb += engine_record.Find(key)->memory_mb;
      RC_ASSERT(!it.demand.contains(key));
    }
    RC_ASSERT(freed_mb >= need_mb);
  }));
}

// Guards against more loads than the weight store's limits on concurrent loads
// and on starts per second allow, in any interleaving of starts and
// completions.
TEST(DecisionProperties, LoadSlotsStayWithinBothLimits) {
  EXPECT_TRUE(rc::check([] {
    const WeightStoreLimits limits;
    LoadSlots slots;
    std::vector<std::uint64_t> start_times_ms;
    std::uint64_t now_ms = 1000;
    for (int i = 0; i < 60; ++i) {
      now_ms += *rc::gen::inRange<std::uint64_t>(0, 200);
      if (*rc::gen::inRange(0, 3) == 0 && !slots.slots.empty()) {
        const auto finished_order = slots.slots.front().order;
        slots.ReleaseUnneeded("c", [&](const LoadSlot& it) {
          return it.order != finished_order;
        });
      } else if (slots.Take("o" + std::to_string(i), "c", limits, now_ms)) {
        start_times_ms.push_back(now_ms);
      }
      RC_ASSERT(slots.slots.size() <= 4U);
      RC_ASSERT(start_times_ms.size() <= 4U ||
                start_times_ms.back() -
                        start_times_ms[start_times_ms.size() - 5] >=
                    1000U);
      RC_ASSERT(ParseLoadSlots(SerializeLoadSlots(slots)).assume_value() ==
                slots);
    }
  }));
}

}  // namespace
}  // namespace tanagerloom
