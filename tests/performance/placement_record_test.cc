// Measures operations on a full placement record (64 engines, 640 replicas).
// Guards against parsing, writing or planning whose time grows faster than the
// record.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <limits>

#include "decision/planner.h"
#include "decision/reconcile.h"
#include "tests/support/processor_time.h"

namespace tanagerloom {
namespace {

constexpr int kRuns = 20;

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

// Shortest processor time of each operation on one record, in milliseconds.
struct Timings {
  double parse_ms = std::numeric_limits<double>::max();
  double write_ms = std::numeric_limits<double>::max();
  double plan_ms = std::numeric_limits<double>::max();
};

// A record with the input of a plan. 20 models are in demand that fit only
// after unloading others.
struct Workload {
  CellRecord record;
  std::string serialized;
  Estate estate;
  EngineStatusMap statuses;
  std::map<ModelKey, ArrivalHistory> histories;
  std::map<ModelKey, ModelDemand> demand;
  Timings timings;
};

Workload MakeWorkload(int engine_count) {
  Workload out;
  out.record = MakeRecord(engine_count);
  out.serialized = SerializeRecord(out.record);
  auto& [record, serialized, estate, statuses, histories, demand, timings] =
      out;
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
  return out;
}

// Runs each operation once and keeps the shortest times.
void Measure(Workload& workload) {
  auto& timings = workload.timings;
  timings.parse_ms = std::min(timings.parse_ms, MeasureProcessorMs([&] {
                                (void)ParseRecord(workload.serialized);
                              }));
  timings.write_ms = std::min(timings.write_ms, MeasureProcessorMs([&] {
                                (void)SerializeRecord(workload.record);
                              }));
  timings.plan_ms = std::min(timings.plan_ms, MeasureProcessorMs([&] {
                               const auto plan =
                                   PlanCell({.record = workload.record,
                                             .estate = workload.estate,
                                             .demand = workload.demand,
                                             .engines = workload.statuses,
                                             .histories = workload.histories,
                                             .unstarted_standby_orders = {},
                                             .policy = NeverUnload{},
                                             .remote_loads_allowed = 4,
                                             .adapter_loads_allowed = 32,
                                             .now_ms = 1000000,
                                             .wall_ms = 1000000});
                               EXPECT_FALSE(plan.unloads.empty());
                             }));
}

void Print(const Workload& workload) {
  std::printf(
      "%zu engines, %zu bytes: parse %.2f ms, write %.2f ms, plan with "
      "evictions %.2f ms\n",
      workload.record.engines.size(), workload.serialized.size(),
      workload.timings.parse_ms, workload.timings.write_ms,
      workload.timings.plan_ms);
}

// Guards against an operation that is quadratic in the number of engines or
// replicas.
TEST(PlacementRecordCost, GrowsAtMostInProportionToTheRecord) {
  auto small = MakeWorkload(8);
  auto large = MakeWorkload(64);
  // The runs alternate, so that other load on the machine affects both.
  for (int i = 0; i < kRuns; ++i) {
    Measure(small);
    Measure(large);
  }
  Print(small);
  Print(large);
  // The large record has eight times the engines. The margin allows for caches
  // that only the small one fits into.
  EXPECT_LT(large.timings.parse_ms, 24 * small.timings.parse_ms);
  EXPECT_LT(large.timings.write_ms, 24 * small.timings.write_ms);
  EXPECT_LT(large.timings.plan_ms, 48 * small.timings.plan_ms);
}

}  // namespace
}  // namespace tanagerloom
