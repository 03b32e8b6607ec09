// Defines CellDemandTable, in which the coordinator of a cell keeps the demand
// of all nodes for the models of the cell.
#ifndef DECISION_CELL_DEMAND_TABLE_H_
#define DECISION_CELL_DEMAND_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config/model_key.h"

namespace tanagerloom {

/// The demand of one node for one model, or the sum over all nodes. Times are
/// monotonic milliseconds.
struct ModelDemand {
  std::uint32_t waiting = 0;           ///< Requests that wait for a replica.
  std::uint32_t running = 0;           ///< Requests that a replica is serving.
  std::uint32_t rank = 0;              ///< Best rank of the waiting requests.
  std::uint64_t deadline_ms = 0;       ///< Earliest deadline; 0 if none waits.
  std::uint32_t arrivals = 0;          ///< Requests that arrived recently.
  std::uint64_t waiting_since_ms = 0;  ///< Start of the wait; 0 if none waits.

  bool operator==(const ModelDemand&) const = default;
};

/// The demand for the models of a cell by node. Times are monotonic
/// milliseconds.
class CellDemandTable {
 public:
  /// Demand that is not renewed for this long is dropped, because its node may
  /// be gone. Nodes renew their demand every second while requests wait or run.
  static constexpr std::uint64_t kExpiryMs = 5000;

  /// Replaces the demand of a node for a model. Ignores a message whose number
  /// is lower than the last one of the node for the model.
  void Set(const std::string& node,
           std::uint64_t number,
           const ModelKey& key,
           const ModelDemand& demand,
           std::uint64_t now_ms);

  /// Drops demand that was not renewed within kExpiryMs.
  void Expire(std::uint64_t now_ms);

  /// Returns the keys that were in use since the last call: those with waiting,
  /// running or newly arrived requests.
  std::vector<ModelKey> TakeUsedKeys();

  /// Returns the sum over all nodes for each model with waiting or running
  /// requests.
  std::map<ModelKey, ModelDemand> Total() const;

 private:
  struct Entry {
    std::uint64_t number = 0;      ///< Number of the last message.
    std::uint64_t renewed_ms = 0;  ///< Time of the last message.
    ModelDemand demand;
    bool arrived = false;  ///< Requests arrived since TakeUsedKeys().
  };

  std::map<ModelKey, std::map<std::string, Entry>> entries_;
};

}  // namespace tanagerloom

#endif  // DECISION_CELL_DEMAND_TABLE_H_
