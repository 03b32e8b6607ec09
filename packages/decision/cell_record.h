// Defines CellRecord, the placement record of a cell as it is stored in the
// object API (docs/design.md, section 2.3). One conditional update of it is one
// decision, so replica limits and memory are checked in the same write.
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

/// Where a replica is between its load order and its removal.
enum class ReplicaState { kLoading, kLoaded, kUnloading };

/// Where a checkpoint is read from.
enum class WeightSource { kMemory, kDisk, kRemote };

/// Why a replica was decided.
enum class DecisionReason { kDemand, kPrewarm, kStandby };

/// One replica, with the order that is in progress or was last completed.
struct ReplicaRecord {
  ModelKey key;
  std::uint64_t memory_mb = 0;
  ReplicaState state = ReplicaState::kLoading;
  std::uint64_t fence = 0;
  std::string order;
  std::string executor;  ///< "NODE/INCARNATION" that drives the order.
  /// Processes that may still deliver an order for this entry.
  std::vector<std::string> senders;
  WeightSource source = WeightSource::kRemote;
  std::uint64_t decided_ms = 0;  ///< Wall time of the last decision.
  DecisionReason reason = DecisionReason::kDemand;

  bool operator==(const ReplicaRecord&) const = default;
};

/// One server of the cell.
struct EngineRecord {
  std::uint64_t memory_mb = 0;
  std::uint64_t fence = 0;  ///< Of the last order decided for the server.
  std::string boot;
  bool leaving = false;
  std::vector<ReplicaRecord> replicas;

  /// Memory reserved by all replicas, in any state.
  std::uint64_t ReservedMb() const;
  std::uint64_t FreeMb() const;
  const ReplicaRecord* Find(const ModelKey& key) const;
  ReplicaRecord* Find(const ModelKey& key);

  bool operator==(const EngineRecord&) const = default;
};

/// The placement record of a cell.
struct CellRecord {
  std::string cell;
  std::uint64_t config_version = 0;
  std::uint64_t sequence = 0;
  std::vector<std::string> writes;  ///< Ids of the last writes, newest last.
  std::map<std::string, EngineRecord, std::less<>> engines;
  /// Keys whose loads failed since they last succeeded.
  std::map<ModelKey, LoadFailures> failures;

  /// Replicas of a key in any state.
  std::uint32_t CountReplicas(const ModelKey& key) const;
  bool HasWrite(std::string_view write_id) const;

  bool operator==(const CellRecord&) const = default;
};

std::string_view ReplicaStateName(ReplicaState state);
std::string_view WeightSourceName(WeightSource source);
std::string_view DecisionReasonName(DecisionReason reason);

/// The stored form.
std::string SerializeRecord(const CellRecord& record);
nlohmann::json RecordToJson(const CellRecord& record);

/// Reads the stored form; kInternal if it is no record.
Result<CellRecord> ParseRecord(std::string_view text);

}  // namespace tanagerloom

#endif  // DECISION_CELL_RECORD_H_
