// Defines PlanPlacement, which decides the next orders to the engines of one
// service from what they hold and what is asked for.
#ifndef FLEET_PLACEMENT_PLAN_H_
#define FLEET_PLACEMENT_PLAN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/demand_table.h"
#include "fleet/endpoint_record.h"
#include "fleet/fleet_config.h"
#include "fleet/model_ref.h"
#include "ports/engine_control.h"
#include "runtime/clock.h"

namespace tanagerloom {

/// One engine as the plan sees it.
struct EngineSnapshot {
  std::string id;
  bool usable = true;         ///< Not leaving, and it takes orders.
  bool busy = false;          ///< An order is in progress.
  Duration free_in{};         ///< Until that order is done, as expected.
  LoadedModels models;        ///< Loaded, with adapters loaded or on their way.
  std::string loading_model;  ///< The model of a load in progress.
  CachedWeights cached_weights;
  std::uint32_t adapter_loads_in_flight = 0;
};

/// What the plan is made from.
struct PlacementInput {
  const EngineSpec* spec = nullptr;
  std::vector<EngineSnapshot> engines;
  std::map<ModelRef, ModelDemand> demand;
  TimePoint now{};
  std::uint32_t store_loads_allowed = 0;
  std::uint32_t store_concurrency = 1;  ///< Loads at full speed at once.
  /// No engine was new lately. Before, a model without a copy may have one on
  /// an engine that is not known yet.
  bool engines_settled = true;
};

/// One order to send.
struct PlannedOrder {
  std::string engine;
  OrderAction action = OrderAction::kLoad;
  ModelRef target;
  CheckpointSource source = CheckpointSource::kRemote;
  Duration expected_duration{};  ///< Until it is done.
};

/// A model that requests wait for and when it can be loaded at the earliest.
struct PendingLoad {
  std::string model;
  Duration ready_in{};
};

/// What is decided.
struct PlacementPlan {
  std::vector<PlannedOrder> orders;
  /// Models that wait for the weight store, the next one first.
  std::vector<PendingLoad> store_queue;
};

/// The orders to send now, at most one to an engine. Answers the load of many
/// rarely used models that are asked for one at a time, beside a few busy ones
/// whose set changes: a missing model goes where it can run soonest, idle ones
/// make way, the one idle for longest first, and busy ones get replicas by the
/// number of requests that run at once.
PlacementPlan PlanPlacement(const PlacementInput& input);

/// Replicas that a model should have for its demand, on engines of `slots`.
std::uint32_t DesiredReplicas(const ModelDemand& demand, std::uint32_t slots);

/// Time to load a model on an engine, by its nearest copy.
CheckpointSource FastestSource(const CachedWeights& cached_weights,
                               const std::string& model);
Duration LoadTime(const ModelSpec& model, CheckpointSource source);

}  // namespace tanagerloom

#endif  // FLEET_PLACEMENT_PLAN_H_
