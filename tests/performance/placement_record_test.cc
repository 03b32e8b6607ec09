// Measures operations on a full placement record (64 engines, 640 replicas).
// Guards against parsing, writing or planning whose time grows faster than the
// record.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdio>

#include "decision/planner.h"
#include "decision/reconcile.h"

namespace tanagerloom {
namespace {

// Returns a record whose engines have ten loaded replicas each.
CellRecord MakeRecord(int engine_count) {
  CellRecord record;
  record.cell = "pool";
  for (int i = 0; i < engine_count; ++i) {
    auto& engine = record.engines["server-" + std::to_string(i)];
    engine.memory_mb = 80000;
    for (int j = 0; j < 10; ++j) {
      ReplicaRecord replica;
      replica.key = {"model-" + std::to_string(i * 10 + j), "1", ""};
      replica.memory_mb = 7000;
      replica.state = ReplicaState::kLoaded;
      replica.order = "ord-0123456789abcdef";
      replica.executor = "node-12/0123456789abcdef";
      engine.replicas.push_back(std::move(replica));
    }
  }
  return record;
}

// Runs a task 20 times and returns the shortest time in milliseconds.
template <typename Task>
double ShortestTimeMs(Task task) {
  double best_ms = 1e9;
  for (int i = 0; i < 20; ++i) {
    const auto start = std::chrono::steady_clock::now();
    task();
    const std::chrono::duration<double, std::milli> elapsed =
        std::chrono::steady_clock::now() - start;
    best_ms = std::min(best_ms, elapsed.count());
  }
  return best_ms;
}

// Time of each operation on one record, in milliseconds.
struct Timings {
  double parse_ms = 0;
  double write_ms = 0;
  double plan_ms = 0;
};

// Measures parsing, writing and planning for a record of this size. 20 models
// are in demand that fit only after unloading others.
Timings MeasureOperations(int engine_count) {
  const auto record = MakeRecord(engine_count);
  const auto serialized = SerializeRecord(record);
  Estate estate;
  EngineStatusMap statuses;
  std::map<ModelKey, ArrivalHistory> histories;
  std::map<ModelKey, ModelDemand> demand;
  for (const auto& [id, engine] : record.engines) {
    statuses[id].listed = statuses[id].reachable = true;
    statuses[id].report = EngineReport();
    for (const auto& it : engine.replicas) {
      auto& model = estate.models[it.key.model];
      model.version = "1";
      model.replica_limit = 1;
      model.memory_mb = 7000;
      histories[it.key].RecordUse(1);
    }
  }
  for (int i = 0; i < 20; ++i) {
    auto& model = estate.models["new-" + std::to_string(i)];
    model.version = "1";
    model.replica_limit = 1;
    model.memory_mb = 20000;
    demand[{"new-" + std::to_string(i), "1", ""}].waiting = 1;
  }
  Timings timings;
  timings.parse_ms = ShortestTimeMs([&] { (void)ParseRecord(serialized); });
  timings.write_ms = ShortestTimeMs([&] { (void)SerializeRecord(record); });
  timings.plan_ms = ShortestTimeMs([&] {
    const auto plan = PlanCell({.record = record,
                                .estate = estate,
                                .demand = demand,
                                .engines = statuses,
                                .histories = histories,
                                .unstarted_standby_orders = {},
                                .policy = NeverUnload{},
                                .remote_loads_allowed = 4,
                                .adapter_loads_allowed = 32,
                                .now_ms = 1000000,
                                .wall_ms = 1000000});
    EXPECT_FALSE(plan.unloads.empty());
  });
  std::printf(
      "%d engines, %zu bytes: parse %.2f ms, write %.2f ms, plan with "
      "evictions %.2f ms\n",
      engine_count, serialized.size(), timings.parse_ms, timings.write_ms,
      timings.plan_ms);
  return timings;
}

// Guards against an operation that is quadratic in the number of engines or
// replicas.
TEST(PlacementRecordCost, GrowsAtMostInProportionToTheRecord) {
  const auto small = MeasureOperations(8);
  const auto large = MeasureOperations(64);
  // The large record has eight times the engines. The margin allows for other
  // load on the machine.
  EXPECT_LT(large.parse_ms, 24 * small.parse_ms);
  EXPECT_LT(large.write_ms, 24 * small.write_ms);
  EXPECT_LT(large.plan_ms, 48 * small.plan_ms);
}

}  // namespace
}  // namespace tanagerloom
