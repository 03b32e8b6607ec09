// Defines PlanCell, which chooses the replicas to load and to unload in a cell.
// It changes nothing: the operations on the record check the choices again.
#ifndef DECISION_PLANNER_H_
#define DECISION_PLANNER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config/estate.h"
#include "decision/cell_record.h"
#include "decision/demand_book.h"
#include "decision/engine_report.h"
#include "decision/record_operations.h"

namespace tanagerloom {

/// Everything that a plan depends on.
struct PlanInput {
  const CellRecord& record;
  const Estate& estate;
  const std::map<ModelKey, ModelDemand>& demand;
  const ServerFactsMap& servers;
  std::uint32_t remote_loads_allowed = 0;
  std::uint32_t requests_per_replica = 8;
};

/// A replica to unload.
struct UnloadChoice {
  std::string server;
  ModelKey key;

  bool operator==(const UnloadChoice&) const = default;
};

/// Choices, in the order in which they are to be applied.
struct Plan {
  std::vector<UnloadChoice> unloads;
  std::vector<LoadDecision> loads;
};

Plan PlanCell(const PlanInput& input);

/// The fastest source from which a server can load a model.
WeightSource SourceOn(const ServerFactsMap& servers,
                      const std::string& server,
                      const ModelKey& key);

}  // namespace tanagerloom

#endif  // DECISION_PLANNER_H_
