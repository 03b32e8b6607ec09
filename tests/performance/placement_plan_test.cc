// Measures what a placement plan costs in fleets of two sizes with equally many
// waiting models. Guards against a cost for each pair of engines: the plans
// after a takeover of the order lease then use up the processor of a small VM,
// which reads a new configuration and answers its clients too late.
#include "fleet/placement_plan.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <string>

#include "tests/support/processor_time.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(1)};
constexpr int kModelsPerEngine = 5;
constexpr int kLoadedPerEngine = 3;
constexpr int kCopiesPerEngine = 15;
constexpr int kWaitingModels = 60;
constexpr int kPlans = 10;

std::string ModelName(int n) {
  return "model-" + std::to_string(n);
}

EngineSpec MakeSpec(int models) {
  EngineSpec spec;
  spec.slots = 16;
  spec.weights_mb = 220000;
  spec.adapter_slots = 8;
  for (int i = 0; i < models; ++i) {
    FleetModel model;
    model.name = ModelName(i);
    model.weights_mb = 72000;
    model.store_load_time = seconds(13);
    model.disk_load_time = milliseconds(1200);
    model.memory_load_time = milliseconds(400);
    spec.models.emplace(model.name, model);
  }
  return spec;
}

// Returns a fleet as a new lease holder finds it: engines are full, each has
// its own copies, and requests wait for models that none has loaded.
PlacementInput MakeInput(const EngineSpec& spec, int engines) {
  PlacementInput input;
  input.spec = &spec;
  input.now = kNow;
  input.store_loads_allowed = 24;
  input.store_concurrency = 1;
  const int models = engines * kModelsPerEngine;
  for (int e = 0; e < engines; ++e) {
    EngineSnapshot engine;
    engine.id = "engine-" + std::to_string(e);
    for (int i = 0; i < kCopiesPerEngine; ++i) {
      const auto model = ModelName((e * kModelsPerEngine + i) % models);
      engine.cached_weights.on_disk.insert(model);
      if (i < kLoadedPerEngine) {
        engine.models[model];
      }
    }
    input.engines.push_back(std::move(engine));
  }
  for (int i = 0; i < kWaitingModels; ++i) {
    auto& demand =
        input.demand[{ModelName(i * kModelsPerEngine + kLoadedPerEngine), ""}];
    demand.waiting = 1;
    demand.last_arrival_at = kNow;
    demand.earliest_deadline = kNow + seconds(10);
  }
  return input;
}

// Returns the processor time of one plan, the best of several.
double PlanMs(int engines) {
  const auto spec = MakeSpec(engines * kModelsPerEngine);
  const auto input = MakeInput(spec, engines);
  double best = 1e9;
  for (int i = 0; i < kPlans; ++i) {
    const auto started = ProcessorMs();
    EXPECT_FALSE(PlanPlacement(input).orders.empty());
    best = std::min(best, ProcessorMs() - started);
  }
  return best;
}

TEST(PlacementPlanCost, GrowsWithTheEnginesAndNotWithTheirPairs) {
  constexpr int kEngines = 75;
  constexpr int kFactor = 4;
  const double small = PlanMs(kEngines);
  const double large = PlanMs(kEngines * kFactor);
  std::printf("%d engines: %.2f ms, %d engines: %.2f ms\n", kEngines, small,
              kEngines * kFactor, large);
  // A cost for each pair of engines grows by the square.
  EXPECT_LT(large, small * kFactor * 2);
}

}  // namespace
}  // namespace tanagerloom
