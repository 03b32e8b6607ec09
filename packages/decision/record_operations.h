// Defines the operations on a placement record. Each checks its own conditions
// and leaves the record unchanged if one does not hold; CheckRecord verifies
// the result before every write.
#ifndef DECISION_RECORD_OPERATIONS_H_
#define DECISION_RECORD_OPERATIONS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "config/estate.h"
#include "decision/cell_record.h"

namespace tanagerloom {

/// Who decides and when; written into each entry.
struct Decider {
  std::string process;  ///< "NODE/INCARNATION".
  std::uint64_t now_ms = 0;
};

/// A replica to load.
struct LoadDecision {
  std::string engine;
  ModelKey key;
  std::uint64_t memory_mb = 0;
  std::uint32_t replica_limit = 0;
  WeightSource source = WeightSource::kRemote;
  DecisionReason reason = DecisionReason::kDemand;
  std::string order;  ///< The order id; a new one if empty.
};

/// What an accepted configuration allows for a key.
struct ReplicaAllowance {
  std::uint64_t memory_mb = 0;
  std::uint32_t replica_limit = 0;  ///< 0 if the key is not offered.
};

/// The allowance of a key; all zero if it is not offered in that version.
ReplicaAllowance AllowanceOf(const Estate& estate, const ModelKey& key);

/// Adds a loading replica with a new order and fence. Refuses (kInvalid) when
/// the server is unknown or leaving, holds the key already, lacks memory, lacks
/// the base of an adapter, or the replica limit is reached.
Result<void> DecideLoad(CellRecord& record,
                        const LoadDecision& decision,
                        const Decider& decider);

/// Turns a replica into an unloading one with a new order and fence. Earlier
/// senders stay listed. Refuses when a server or replica is missing, is already
/// unloading, or adapters on the server that are not unloading need it.
Result<void> DecideUnload(CellRecord& record,
                          std::string_view engine,
                          const ModelKey& key,
                          const Decider& decider);

/// Gives an unloading replica a new order and fence, because the engine still
/// holds the model long after it took the earlier order.
Result<void> RenewUnload(CellRecord& record,
                         std::string_view engine,
                         const ModelKey& key,
                         const Decider& decider);

/// Records that the engine reported the replica of this order as loaded, and
/// forgets earlier failures of its key.
Result<void> MarkLoaded(CellRecord& record,
                        std::string_view engine,
                        const ModelKey& key,
                        std::string_view order);

/// Makes `process` the executor of an open order and one of its senders.
Result<void> AdoptOrder(CellRecord& record,
                        std::string_view engine,
                        const ModelKey& key,
                        std::string_view order,
                        std::string_view process);

/// Says whether a process can no longer deliver an order for an entry.
using SenderDone = std::function<bool(std::string_view engine,
                                      const ReplicaRecord& replica,
                                      std::string_view process)>;

/// Removes the senders that can no longer deliver an order.
void RemoveDoneSenders(CellRecord& record, const SenderDone& is_done);

/// Removes the entry of a replica. The caller has established by the removal
/// rule that no order for it can still be delivered. Refuses while adapters on
/// the server are listed for it.
Result<void> RemoveReplica(CellRecord& record,
                           std::string_view engine,
                           const ModelKey& key);

/// What an engine reported about itself.
struct EngineProperties {
  std::uint64_t memory_mb = 0;
  std::string boot;
  bool leaving = false;
  std::uint64_t highest_fence = 0;
};

/// Adds a server or updates its boot id, memory, leaving mark and fence. Memory
/// is lowered only as far as the reserved memory fits; the fence is raised to
/// the engine's, so that new orders aren't refused. Returns whether it changed.
bool UpdateEngine(CellRecord& record,
                  std::string_view engine,
                  const EngineProperties& report);

/// Adds a loaded replica that an engine holds although the record lacks it, so
/// that it is counted and can be unloaded. Refuses as DecideLoad() does.
Result<void> AddFoundReplica(CellRecord& record,
                             const LoadDecision& found,
                             const Decider& decider);

/// Counts a failed load of a key on a server.
void RecordLoadFailure(CellRecord& record,
                       const std::string& engine,
                       const ModelKey& key,
                       std::string cause,
                       std::uint64_t wall_ms);

/// Removes a server without replicas. Returns whether it was removed.
bool RemoveEngineIfEmpty(CellRecord& record, std::string_view engine);

/// Gives the record its next sequence number and a write id.
void StampWrite(CellRecord& record, std::string_view write_id);

/// Checks the invariants of a record that is about to replace `previous`:
/// reserved memory is at most the capacity of each server, no key has more
/// replicas than its limit unless it already had, no server holds a key twice,
/// and every adapter has its base, which is not unloading before the adapter
/// is. A violation aborts the process.
void CheckRecord(const CellRecord& previous,
                 const CellRecord& next,
                 const Estate& estate);

}  // namespace tanagerloom

#endif  // DECISION_RECORD_OPERATIONS_H_
