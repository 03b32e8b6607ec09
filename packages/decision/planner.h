// Defines PlanCell, which chooses the replicas to load and to unload in a cell.
// It changes nothing: the operations on the record check the choices again.
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

/// Everything that a plan depends on.
struct PlanInput {
  const CellRecord& record;
  const Estate& estate;
  const std::map<ModelKey, ModelDemand>& demand;
  const EngineStatusMap& engines;
  const std::map<ModelKey, ArrivalHistory>& histories;
  /// Orders of standby replicas whose load was not started.
  const std::set<std::string>& unstarted_standby_orders;
  KeepAlivePolicy policy;
  std::uint32_t remote_loads_allowed = 0;
  std::uint32_t adapter_loads_allowed = 0;
  std::uint32_t requests_per_replica = 8;
  std::uint64_t now_ms = 0;   ///< Local monotonic time.
  std::uint64_t wall_ms = 0;  ///< As in the record.
  /// Whether `demand` holds the running requests of all nodes. If not, only
  /// replicas on servers that report no load at all may be unloaded.
  bool demand_is_complete = true;
};

/// Choices, in the order in which they are to be applied.
struct Plan {
  std::vector<UnloadChoice> unloads;
  std::vector<LoadDecision> loads;
  /// Loads from the weight store that wait for a slot.
  std::uint32_t waiting_for_slots = 0;
};

Plan PlanCell(const PlanInput& input);

/// Whether a load is counted against the limits of the weight store.
bool UsesWeightStore(const ModelKey& key, WeightSource source);

}  // namespace tanagerloom

#endif  // DECISION_PLANNER_H_
