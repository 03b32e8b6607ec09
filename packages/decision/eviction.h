// Defines which replicas may be unloaded, the expected cost of their next cold
// start, and the choice of replicas to evict to make room for another one.
#ifndef DECISION_EVICTION_H_
#define DECISION_EVICTION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/estate.h"
#include "decision/arrival_history.h"
#include "decision/cell_demand_table.h"
#include "decision/cell_record.h"
#include "decision/engine_report.h"
#include "decision/keep_alive.h"

namespace tanagerloom {

/// A replica to unload from an engine.
struct UnloadChoice {
  std::string engine;
  ModelKey key;

  bool operator==(const UnloadChoice&) const = default;
};

/// The state on which decisions about unloading depend.
struct EvictionInput {
  const Estate& estate;
  const std::set<ModelKey>& used;  ///< The result of UsedKeys().
  /// Number of replicas of each key, in any state.
  const std::map<ModelKey, std::uint32_t>& replica_counts;
  /// Ids of the standby load orders that were not started.
  const std::set<std::string>& unstarted_standby_orders;
  const EngineStatusMap& engines;
  const std::map<ModelKey, ArrivalHistory>& histories;
  const KeepAlivePolicy& policy;
  std::uint64_t now_ms = 0;  ///< Monotonic time.
  /// See PlanInput::demand_is_complete.
  bool demand_is_complete = true;
};

/// Returns the keys that have demand and the bases of adapters that have.
std::set<ModelKey> UsedKeys(const std::map<ModelKey, ModelDemand>& demand);

/// Returns the number of replicas of each key, in any state.
std::map<ModelKey, std::uint32_t> CountReplicas(const CellRecord& record);

/// Whether no requests wait or run for the key or, if it is a base, for its
/// adapters. While demand is incomplete, the engine must also report no load.
bool IsUnused(const EvictionInput& input,
              const std::string& engine,
              const ModelKey& key);

/// Returns the costs of a key on an engine for keep-alive and eviction.
KeepAliveCosts CostsOf(const Estate& estate,
                       const EngineStatusMap& engines,
                       const std::string& engine,
                       const ModelKey& key);

/// Returns the expected cost of the next cold start if the replica is evicted:
/// its cost times the probability of an arrival in the next ten minutes. With
/// the fixed policy, returns a value that falls with the idle time.
double EvictionCost(const EvictionInput& input,
                    const std::string& engine,
                    const ModelKey& key);

/// Unused replicas that are unloaded together: a single adapter, or a base with
/// its adapters, which come first.
struct EvictionGroup {
  std::vector<ModelKey> keys;
  std::uint64_t memory_mb = 0;  ///< Sum of the memory of the replicas.
  double cost = 0;              ///< Sum of their EvictionCost().
};

/// Returns the groups of an engine that may be evicted, sorted by rising cost
/// per megabyte.
std::vector<EvictionGroup> ListEvictionGroups(const EvictionInput& input,
                                              const std::string& engine_id,
                                              const EngineRecord& engine);

/// Replicas to unload from one engine, adapters before their base.
struct Eviction {
  std::vector<ModelKey> keys;
  double cost = 0;
};

/// Returns the first groups that together free at least `need_mb`; empty if all
/// groups together don't. `base_to_keep` is a base that must stay loaded.
std::optional<Eviction> ChooseEviction(const std::vector<EvictionGroup>& groups,
                                       const EngineRecord& engine,
                                       std::uint64_t need_mb,
                                       const ModelKey& base_to_keep);

/// Returns the fastest source from which an engine can load a model.
WeightSource FastestSource(const EngineStatusMap& engines,
                           const std::string& engine,
                           const ModelKey& key);

}  // namespace tanagerloom

#endif  // DECISION_EVICTION_H_
