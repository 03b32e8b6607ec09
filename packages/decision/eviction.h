// Defines which replicas may be unloaded, what their next cold start is
// expected to cost, and the choice of those to evict for another one.
#ifndef DECISION_EVICTION_H_
#define DECISION_EVICTION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/estate.h"
#include "decision/arrival_history.h"
#include "decision/cell_record.h"
#include "decision/demand_book.h"
#include "decision/engine_report.h"
#include "decision/keep_alive.h"

namespace tanagerloom {

/// A replica to unload.
struct UnloadChoice {
  std::string server;
  ModelKey key;

  bool operator==(const UnloadChoice&) const = default;
};

/// What decisions about unloading depend on.
struct EvictionInput {
  const Estate& estate;
  const std::map<ModelKey, ModelDemand>& demand;
  const ServerFactsMap& servers;
  const std::map<ModelKey, ArrivalHistory>& histories;
  const KeepAlivePolicy& policy;
  std::uint64_t now_ms = 0;  ///< Local monotonic time.
  bool demand_is_complete = true;
};

/// Whether nothing waits or runs for a key or, for a base, its adapters.
bool IsUnused(const EvictionInput& input,
              const std::string& server,
              const ModelKey& key);

/// Costs of a key for keep-alive and eviction.
KeepAliveCosts CostsOf(const Estate& estate,
                       const ServerFactsMap& servers,
                       const std::string& server,
                       const ModelKey& key);

/// The cost of the next cold start, weighed by the chance that it comes soon.
double EvictionCost(const EvictionInput& input,
                    const CellRecord& record,
                    const std::string& server,
                    const ModelKey& key);

/// Replicas to unload on one server, adapters before their base.
struct Eviction {
  std::vector<UnloadChoice> unloads;
  double cost = 0;
};

/// The cheapest unused replicas of a server that free at least `need_mb`; empty
/// if they don't suffice. `keep` is a base that must stay.
std::optional<Eviction> ChooseEviction(const EvictionInput& input,
                                       const CellRecord& record,
                                       const std::string& server,
                                       std::uint64_t need_mb,
                                       const ModelKey& keep);

/// The fastest source from which a server can load a model.
WeightSource SourceOn(const ServerFactsMap& servers,
                      const std::string& server,
                      const ModelKey& key);

}  // namespace tanagerloom

#endif  // DECISION_EVICTION_H_
