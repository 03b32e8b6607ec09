// Defines the operations on a placement record. Each operation checks its
// preconditions and leaves the record unchanged if one does not hold.
// CheckRecord verifies the result before every write.
#ifndef DECISION_RECORD_OPERATIONS_H_
#define DECISION_RECORD_OPERATIONS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "config/estate.h"
#include "decision/cell_record.h"

namespace tanagerloom {

/// The process that makes a decision, and the time; both are stored in
/// replicas.
struct Decider {
  std::string process;       ///< Named "NODE/INCARNATION".
  std::uint64_t now_ms = 0;  ///< Wall time.
};

/// A replica to load on an engine.
struct LoadDecision {
  std::string engine;
  ModelKey key;
  std::uint64_t memory_mb = 0;
  std::uint32_t replica_limit = 0;
  WeightSource source = WeightSource::kRemote;
  DecisionReason reason = DecisionReason::kDemand;
  std::string order;  ///< Id of the order; empty for a new id.
};

/// What the accepted configuration allows for a key.
struct ReplicaAllowance {
  std::uint64_t memory_mb = 0;
  std::uint32_t replica_limit = 0;  ///< Maximum replicas; 0 if not offered.
};

/// Returns the allowance of a key; all zero if it is not offered in that
/// version.
ReplicaAllowance AllowanceOf(const Estate& estate, const ModelKey& key);

/// Adds a loading replica with a new order and fencing token. Fails with
/// kInvalid if the engine is unknown or leaving, already has the key, lacks
/// memory or the base of an adapter, or if the replica limit is reached.
Result<void> DecideLoad(CellRecord& record,
                        const LoadDecision& decision,
                        const Decider& decider);

/// Makes a replica unload, with a new order and fencing token. Earlier senders
/// stay listed. Fails with kInvalid if the engine or replica is missing, the
/// replica is already unloading, or it is the base of adapters on the engine
/// that are not unloading.
Result<void> DecideUnload(CellRecord& record,
                          std::string_view engine,
                          const ModelKey& key,
                          const Decider& decider);

/// Gives an unloading replica a new order and fencing token, for use when the
/// engine still has the model long after it accepted the earlier order. Fails
/// with kInvalid if the replica is not unloading.
Result<void> RenewUnload(CellRecord& record,
                         std::string_view engine,
                         const ModelKey& key,
                         const Decider& decider);

/// Marks a replica as loaded after its engine reported so, and forgets earlier
/// failures of its key. Fails with kInvalid if the replica is not loading with
/// this order.
Result<void> MarkLoaded(CellRecord& record,
                        std::string_view engine,
                        const ModelKey& key,
                        std::string_view order);

/// Makes `process` the executor of an open order and one of its senders. Fails
/// with kInvalid if the replica has no open order with this id.
Result<void> AdoptOrder(CellRecord& record,
                        std::string_view engine,
                        const ModelKey& key,
                        std::string_view order,
                        std::string_view process);

/// Whether a process can no longer deliver an order for a replica.
using SenderDone = std::function<bool(std::string_view engine,
                                      const ReplicaRecord& replica,
                                      std::string_view process)>;

/// Removes the senders for which `is_done` holds from all replicas.
void RemoveDoneSenders(CellRecord& record, const SenderDone& is_done);

/// Removes a replica from the record. The caller must have established with
/// MayRemove() or otherwise that no order for it can still take effect. Fails
/// with kInvalid if there is no such replica or adapters on the engine need it.
Result<void> RemoveReplica(CellRecord& record,
                           std::string_view engine,
                           const ModelKey& key);

/// The properties of an engine that the record keeps, as the engine reported
/// them.
struct EngineProperties {
  std::uint64_t memory_mb = 0;
  std::string boot;
  bool leaving = false;
  std::uint64_t highest_fence = 0;
};

/// Adds an engine or updates its boot id, memory, leaving flag and fencing
/// token. The memory is not lowered below the reserved memory. The fencing
/// token is raised to that of the engine, so that the engine does not refuse
/// new orders. Returns whether the record changed.
bool UpdateEngine(CellRecord& record,
                  std::string_view engine,
                  const EngineProperties& report);

/// Adds a loaded replica that an engine has although the record lacks it, so
/// that it is counted and can be unloaded. Fails in the same cases as
/// DecideLoad().
Result<void> AddFoundReplica(CellRecord& record,
                             const LoadDecision& found,
                             const Decider& decider);

/// Counts a failed load of a key on an engine.
void RecordLoadFailure(CellRecord& record,
                       const std::string& engine,
                       const ModelKey& key,
                       std::string cause,
                       std::uint64_t wall_ms);

/// Removes an engine if it has no replicas. Returns whether it was removed.
bool RemoveEngineIfEmpty(CellRecord& record, std::string_view engine);

/// Raises the sequence number of the record and adds the id of the next write.
void StampWrite(CellRecord& record, std::string_view write_id);

/// Checks the invariants of a record that is about to replace `previous`. On
/// each engine, the reserved memory is at most the capacity, no key occurs
/// twice, and every adapter has its base, which is not unloading before the
/// adapter is. No key has more replicas than its limit, unless it already had
/// them. A violation aborts the process.
void CheckRecord(const CellRecord& previous,
                 const CellRecord& next,
                 const Estate& estate);

}  // namespace tanagerloom

#endif  // DECISION_RECORD_OPERATIONS_H_
