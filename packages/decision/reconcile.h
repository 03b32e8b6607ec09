// Defines ReconcileCell, which compares a placement record with the reports of
// the engines and with what is known about orders, and changes the record to
// match: loads that completed, replicas that were lost, entries that may be
// removed, and orders whose executor makes no progress.
#ifndef DECISION_RECONCILE_H_
#define DECISION_RECONCILE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "decision/cell_record.h"
#include "decision/engine_report.h"
#include "decision/record_operations.h"

namespace tanagerloom {

/// What a process knows about an order beyond the record.
struct OrderStatus {
  bool answered = false;          ///< The engine answered: it took effect.
  std::uint64_t answered_ms = 0;  ///< Local monotonic time of the answer.
  bool refused = false;           ///< The engine refused; it has no effect.
  std::string reason;             ///< Of the refusal.
};

/// Everything that reconciliation depends on. Times are local monotonic
/// milliseconds, except for `self.now_ms`.
struct ReconcileInput {
  const Estate& estate;
  const EngineStatusMap& engines;
  const std::map<std::string, OrderStatus>& orders;
  /// When this process first saw an entry with its order in its present state.
  std::function<std::uint64_t(const ReplicaRecord&)> first_seen_ms;
  std::uint64_t view_seen_ms = 0;  ///< When this record was first seen.
  SenderDone is_sender_done;
  /// Whether the executor of an order is running and reachable.
  std::function<bool(std::string_view process)> is_executor_present;
  Decider self;
  bool is_coordinator = true;  ///< Only the coordinator adopts standby orders.
  bool engines_check_fence = false;
  std::uint64_t now_ms = 0;
  std::uint64_t order_progress_ms = 3000;
  std::uint64_t engine_gone_timeout_ms = 60000;
};

/// A replica whose state changed, and why.
struct ReplicaChange {
  std::string engine;
  ModelKey key;
  std::uint64_t decided_ms = 0;  ///< Wall time of the load's decision.
  WeightSource source = WeightSource::kRemote;
  std::string cause;
};

/// What reconciliation did.
struct ReconcileOutcome {
  std::vector<ReplicaChange> loaded;
  std::vector<ReplicaChange> failed;   ///< Loads that failed.
  std::vector<ReplicaChange> removed;  ///< Entries taken out of the record.
  std::uint32_t adopted = 0;  ///< Orders taken over from their executors.
  std::uint32_t found = 0;    ///< Replicas that only the engine knew.
};

ReconcileOutcome ReconcileCell(CellRecord& record, const ReconcileInput& input);

/// Whether the entry of a replica that the report lacks may be removed: no
/// sender can still deliver an order for it, or the engine refuses such orders
/// because it has seen a higher fence.
bool MayRemove(std::string_view engine,
               const ReplicaRecord& replica,
               const EngineReport& report,
               const ReconcileInput& input);

}  // namespace tanagerloom

#endif  // DECISION_RECONCILE_H_
