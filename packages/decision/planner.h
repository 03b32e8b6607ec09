// Defines PlanCell, which chooses the replicas to load and to unload in a cell.
// It doesn't change the record; the operations on the record check the plan
// again.
#ifndef DECISION_PLANNER_H_
#define DECISION_PLANNER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "config/estate.h"
#include "decision/arrival_history.h"
#include "decision/cell_demand_table.h"
#include "decision/cell_record.h"
#include "decision/engine_report.h"
#include "decision/eviction.h"
#include "decision/keep_alive.h"
#include "decision/record_operations.h"

namespace tanagerloom {

/// The state on which a plan depends.
struct PlanInput {
  const CellRecord& record;
  const Estate& estate;
  const std::map<ModelKey, ModelDemand>& demand;
  const EngineStatusMap& engines;
  const std::map<ModelKey, ArrivalHistory>& histories;
  /// Ids of the standby load orders that were not started.
  const std::set<std::string>& unstarted_standby_orders;
  KeepAlivePolicy policy;
  /// Limit on new loads from the weight store.
  std::uint32_t remote_loads_allowed = 0;
  /// Limit on new loads of adapters.
  std::uint32_t adapter_loads_allowed = 0;
  /// Requests that one replica can serve at once.
  std::uint32_t requests_per_replica = 8;
  std::uint64_t now_ms = 0;   ///< Monotonic time.
  std::uint64_t wall_ms = 0;  ///< Wall time, as in the record.
  /// Whether `demand` includes the running requests of all nodes. If it does
  /// not, only replicas on engines that report no load at all may be unloaded.
  bool demand_is_complete = true;
};

/// The chosen unloads and loads, in the order in which to apply them.
struct Plan {
  std::vector<UnloadChoice> unloads;
  std::vector<LoadDecision> loads;
  /// Number of loads that wait for a slot of the weight store.
  std::uint32_t waiting_for_slots = 0;
};

/// Returns the replicas to unload and to load.
Plan PlanCell(const PlanInput& input);

/// Whether a load counts against the limits of the weight store.
bool UsesWeightStore(const ModelKey& key, WeightSource source);

}  // namespace tanagerloom

#endif  // DECISION_PLANNER_H_
