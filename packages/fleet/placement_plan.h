// Defines PlanPlacement(), which decides the next orders to the engines of one
// service from their loaded models and the demand.
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

/// State of one engine at the time of planning.
struct EngineSnapshot {
  std::string id;
  bool usable = true;  ///< Not draining, and takes orders.
  /// Takes no order now, for example because one is in flight.
  bool busy = false;
  Duration time_until_free{};  ///< Expected time until it takes orders again.
  LoadedModels models;  ///< Loaded models, with adapters loaded or in flight.
  /// Model whose load is in flight; empty if none is.
  std::string loading_model;
  CachedWeights cached_weights;
  std::uint32_t adapter_loads_in_flight = 0;
  /// Adapters that are no longer for use and still fill a slot.
  std::set<ModelRef> unloading_adapters;
};

/// Input of PlanPlacement().
struct PlacementInput {
  const EngineSpec* spec = nullptr;
  std::vector<EngineSnapshot> engines;
  std::map<ModelRef, FleetDemand> demand;
  TimePoint now{};
  /// Prompt tokens that one engine reads in a second if it does nothing else.
  double engine_prompt_tokens_per_s = 0;
  std::uint32_t store_loads_allowed = 0;
  /// Concurrent loads that the weight store serves at full speed.
  std::uint32_t store_concurrency = 1;
  /// No engine was added recently. Until then, an engine that is not known yet
  /// may have a cached copy of a model that seems to have none.
  bool engines_settled = true;
};

/// One order to send.
struct PlannedOrder {
  std::string engine;
  OrderAction action = OrderAction::kLoad;
  ModelRef target;
  CheckpointSource source = CheckpointSource::kRemote;
  Duration expected_duration{};  ///< Expected time until it is done.
};

/// A model that requests wait for, with its load estimate.
struct PendingLoad {
  std::string model;
  Duration ready_in{};
};

/// Result of PlanPlacement().
struct PlacementPlan {
  std::vector<PlannedOrder> orders;
  /// Models that wait for the weight store, in load order.
  std::vector<PendingLoad> store_queue;
};

/// Returns the orders to send now, at most one per engine. Designed for many
/// rarely used models that are requested one at a time, beside a few busy
/// models that change over time: a missing model is loaded where it can run
/// soonest, idle models are evicted in least-recently-used order, and busy
/// models get replicas by their concurrent requests and by the prompt tokens
/// that have to be read.
PlacementPlan PlanPlacement(const PlacementInput& input);

/// Returns the replicas that a model should have for its demand, on engines
/// with `slots` slots that read `engine_prompt_tokens_per_s`; 0 if it is not
/// busy. Few requests with long prompts fill an engine long before its slots.
std::uint32_t DesiredReplicas(const FleetDemand& demand,
                              std::uint32_t slots,
                              double engine_prompt_tokens_per_s);

/// Returns the fastest source from which an engine with these cached copies can
/// load `model`.
CheckpointSource FastestSource(const CachedWeights& cached_weights,
                               const std::string& model);

/// Returns the time to load `model` from `source`.
Duration LoadTime(const FleetModel& model, CheckpointSource source);

}  // namespace tanagerloom

#endif  // FLEET_PLACEMENT_PLAN_H_
