// Cost of a full record (64 servers, 640 replicas): guards against parsing,
// writing or planning that grows faster than the record.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdio>

#include "decision/planner.h"
#include "decision/reconcile.h"

namespace tanagerloom {
namespace {

CellRecord MakeRecord(int servers) {
  CellRecord record;
  record.cell = "pool";
  for (int i = 0; i < servers; ++i) {
    auto& server = record.engines["server-" + std::to_string(i)];
    server.memory_mb = 80000;
    for (int j = 0; j < 10; ++j) {
      ReplicaRecord replica;
      replica.key = {"model-" + std::to_string(i * 10 + j), "1", ""};
      replica.memory_mb = 7000;
      replica.state = ReplicaState::kLoaded;
      replica.order = "ord-0123456789abcdef";
      replica.executor = "node-12/0123456789abcdef";
      server.replicas.push_back(std::move(replica));
    }
  }
  return record;
}

// The shortest of several runs, in milliseconds.
template <typename Task>
double Measure(Task task) {
  double best = 1e9;
  for (int i = 0; i < 20; ++i) {
    const auto start = std::chrono::steady_clock::now();
    task();
    const std::chrono::duration<double, std::milli> took =
        std::chrono::steady_clock::now() - start;
    best = std::min(best, took.count());
  }
  return best;
}

struct Times {
  double parse = 0;
  double write = 0;
  double plan = 0;
};

Times MeasureRecord(int servers) {
  const auto record = MakeRecord(servers);
  const auto text = SerializeRecord(record);
  Estate estate;
  EngineStatusMap facts;
  std::map<ModelKey, ArrivalHistory> histories;
  std::map<ModelKey, ModelDemand> demand;
  for (const auto& [id, server] : record.engines) {
    facts[id].listed = facts[id].reachable = true;
    facts[id].report = EngineReport();
    for (const auto& it : server.replicas) {
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
  Times times;
  times.parse = Measure([&] { (void)ParseRecord(text); });
  times.write = Measure([&] { (void)SerializeRecord(record); });
  times.plan = Measure([&] {
    const auto plan = PlanCell({.record = record,
                                .estate = estate,
                                .demand = demand,
                                .engines = facts,
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
      "%d servers, %zu bytes: parse %.2f ms, write %.2f ms, plan with "
      "evictions %.2f ms\n",
      servers, text.size(), times.parse, times.write, times.plan);
  return times;
}

TEST(PlacementRecordCost, GrowsWithTheRecord) {
  const auto small = MeasureRecord(8);
  const auto full = MeasureRecord(64);
  // Eight times the servers; the margin allows for a noisy machine.
  EXPECT_LT(full.parse, 24 * small.parse);
  EXPECT_LT(full.write, 24 * small.write);
  EXPECT_LT(full.plan, 48 * small.plan);
}

}  // namespace
}  // namespace tanagerloom
