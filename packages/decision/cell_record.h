// Defines CellRecord, the placement record of a cell as it is stored in the
// object store (docs/design.md, section 2.3). Each decision is one conditional
// update of the record, so that replica limits and memory are checked in the
// same write.
#ifndef DECISION_CELL_RECORD_H_
#define DECISION_CELL_RECORD_H_

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "config/model_key.h"
#include "decision/load_failures.h"

namespace tanagerloom {

/// State of a replica between its load order and its removal.
enum class ReplicaState { kLoading, kLoaded, kUnloading };

/// From where an engine reads the weights of a model.
enum class WeightSource { kMemory, kDisk, kRemote };

/// Why a replica was placed on an engine.
enum class DecisionReason { kDemand, kPrewarm, kStandby };

/// One replica with its current order, which is open or the last completed one.
struct ReplicaRecord {
  ModelKey key;
  std::uint64_t memory_mb = 0;  ///< Memory reserved on the engine.
  ReplicaState state = ReplicaState::kLoading;
  std::uint64_t fence = 0;  ///< Fencing token of the order.
  std::string order;        ///< Id of the order.
  /// Process that sends the order, as "NODE/INCARNATION".
  std::string executor;
  /// Processes that may still deliver an order for this replica.
  std::vector<std::string> senders;
  WeightSource source = WeightSource::kRemote;
  std::uint64_t decided_ms = 0;  ///< Wall time of the order's decision.
  DecisionReason reason = DecisionReason::kDemand;

  bool operator==(const ReplicaRecord&) const = default;
};

/// One engine of the cell.
struct EngineRecord {
  std::uint64_t memory_mb = 0;  ///< Memory capacity.
  std::uint64_t fence = 0;      ///< Fencing token of the last decided order.
  std::string boot;             ///< Boot id that the engine reported last.
  bool leaving = false;  ///< The engine is leaving; it gets no new replicas.
  std::vector<ReplicaRecord> replicas;

  /// Memory reserved by all replicas, in any state.
  std::uint64_t ReservedMb() const;
  /// Memory that is not reserved.
  std::uint64_t FreeMb() const;
  /// Returns the replica of a key, or null.
  const ReplicaRecord* Find(const ModelKey& key) const;
  ReplicaRecord* Find(const ModelKey& key);

  bool operator==(const EngineRecord&) const = default;
};

/// The placement record of a cell.
struct CellRecord {
  std::string cell;
  /// Highest configuration version by which a decision was made.
  std::uint64_t config_version = 0;
  std::uint64_t sequence = 0;       ///< Number of writes so far.
  std::vector<std::string> writes;  ///< Ids of the last writes, newest last.
  std::map<std::string, EngineRecord, std::less<>> engines;
  /// Failed loads by key since the last successful load of the key.
  std::map<ModelKey, LoadFailures> failures;

  /// Number of replicas of a key, in any state.
  std::uint32_t CountReplicas(const ModelKey& key) const;
  /// Whether the write is among the last ones.
  bool HasWrite(std::string_view write_id) const;

  bool operator==(const CellRecord&) const = default;
};

/// The stored names of the enumerators.
std::string_view ReplicaStateName(ReplicaState state);
std::string_view WeightSourceName(WeightSource source);
std::string_view DecisionReasonName(DecisionReason reason);

/// Returns the record as it is stored.
std::string SerializeRecord(const CellRecord& record);
nlohmann::json RecordToJson(const CellRecord& record);

/// Parses a stored record. Fails with kInternal if the text is not a record.
Result<CellRecord> ParseRecord(std::string_view text);

}  // namespace tanagerloom

#endif  // DECISION_CELL_RECORD_H_
