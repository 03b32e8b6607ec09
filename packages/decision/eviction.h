// Defines which replicas may be unloaded, what their next cold start is
// expected to cost, and the choice of those to evict for another one.
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

/// A replica to unload.
struct UnloadChoice {
  std::string engine;
  ModelKey key;

  bool operator==(const UnloadChoice&) const = default;
};

/// What decisions about unloading depend on.
struct EvictionInput {
  const Estate& estate;
  const std::set<ModelKey>& used;  ///< See UsedKeys().
  const std::map<ModelKey, std::uint32_t>& replica_counts;
  /// Orders of standby replicas whose load was not started.
  const std::set<std::string>& unstarted_standby_orders;
  const EngineStatusMap& engines;
  const std::map<ModelKey, ArrivalHistory>& histories;
  const KeepAlivePolicy& policy;
  std::uint64_t now_ms = 0;  ///< Local monotonic time.
  bool demand_is_complete = true;
};

/// The keys that demand names, and the bases of its adapters.
std::set<ModelKey> UsedKeys(const std::map<ModelKey, ModelDemand>& demand);

/// The number of replicas of each key, in any state.
std::map<ModelKey, std::uint32_t> CountReplicas(const CellRecord& record);

/// Whether nothing waits or runs for a key or, for a base, its adapters.
bool IsUnused(const EvictionInput& input,
              const std::string& engine,
              const ModelKey& key);

/// Costs of a key for keep-alive and eviction.
KeepAliveCosts CostsOf(const Estate& estate,
                       const EngineStatusMap& engines,
                       const std::string& engine,
                       const ModelKey& key);

/// The cost of the next cold start, weighed by the chance that it comes soon.
double EvictionCost(const EvictionInput& input,
                    const std::string& engine,
                    const ModelKey& key);

/// Unused replicas that are unloaded together: an adapter, or a base after its
/// adapters.
struct EvictionGroup {
  std::vector<ModelKey> keys;
  std::uint64_t memory_mb = 0;
  double cost = 0;
};

/// The groups of a server that may be evicted, the lowest cost for its memory
/// first.
std::vector<EvictionGroup> ListEvictionGroups(const EvictionInput& input,
                                              const std::string& engine_id,
                                              const EngineRecord& engine);

/// Replicas to unload on one server, adapters before their base.
struct Eviction {
  std::vector<ModelKey> keys;
  double cost = 0;
};

/// The first groups that free at least `need_mb`; empty if all don't suffice.
/// `keep` is a base that must stay.
std::optional<Eviction> ChooseEviction(const std::vector<EvictionGroup>& groups,
                                       const EngineRecord& engine,
                                       std::uint64_t need_mb,
                                       const ModelKey& base_to_keep);

/// The fastest source from which a server can load a model.
WeightSource FastestSource(const EngineStatusMap& engines,
                           const std::string& engine,
                           const ModelKey& key);

}  // namespace tanagerloom

#endif  // DECISION_EVICTION_H_
