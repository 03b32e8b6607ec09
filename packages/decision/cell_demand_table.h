// Defines CellDemandTable, the demand of all nodes for the models of a cell as
// its coordinator knows it.
#ifndef DECISION_CELL_DEMAND_TABLE_H_
#define DECISION_CELL_DEMAND_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config/model_key.h"

namespace tanagerloom {

/// Demand for one model, of one node or summed over nodes.
struct ModelDemand {
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  std::uint32_t rank = 0;         ///< Best rank among the waiting.
  std::uint64_t deadline_ms = 0;  ///< Local monotonic time; 0 if none waits.
  std::uint32_t arrivals = 0;
  std::uint64_t waiting_since_ms = 0;  ///< Since when something waits.

  bool operator==(const ModelDemand&) const = default;
};

/// Demand by node. Times are local monotonic milliseconds.
class CellDemandTable {
 public:
  /// Demand that was not renewed for this long is dropped, because its node may
  /// be gone. Nodes renew it every second while something waits or runs.
  static constexpr std::uint64_t kExpiryMs = 5000;

  /// Replaces what a node has for a model. Ignores numbers that are not newer
  /// than the last one of the node and model.
  void Set(const std::string& node,
           std::uint64_t number,
           const ModelKey& key,
           const ModelDemand& demand,
           std::uint64_t now_ms);

  /// Drops demand that was not renewed.
  void Expire(std::uint64_t now_ms);

  /// Keys that were in use since the last call: with waiting, running or newly
  /// arrived requests.
  std::vector<ModelKey> TakeUsedKeys();

  /// The sum for each model that has something waiting or running.
  std::map<ModelKey, ModelDemand> Total() const;

 private:
  struct Entry {
    std::uint64_t number = 0;
    std::uint64_t renewed_ms = 0;
    ModelDemand demand;
    bool arrived = false;  ///< Since TakeUsedKeys().
  };

  std::map<ModelKey, std::map<std::string, Entry>> entries_;
};

}  // namespace tanagerloom

#endif  // DECISION_CELL_DEMAND_TABLE_H_
