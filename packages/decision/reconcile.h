// Defines ReconcileCell, which updates a placement record from the reports of
// the engines and the known results of orders. It marks completed loads,
// removes lost and unloaded replicas, and takes over orders whose executor
// makes no progress.
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

/// What a process knows about an order in addition to the record.
struct OrderStatus {
  bool answered = false;          ///< The engine answered the order.
  std::uint64_t answered_ms = 0;  ///< Monotonic time of the answer.
  bool refused = false;           ///< The engine refused it; no effect.
  std::string reason;             ///< Why the engine refused.
};

/// The state on which reconciliation depends. Times are monotonic milliseconds,
/// except for `self.now_ms`, which is wall time.
struct ReconcileInput {
  const Estate& estate;
  const EngineStatusMap& engines;
  /// Known results by order id.
  const std::map<std::string, OrderStatus>& orders;
  /// Returns when this process first saw the order of a replica in its present
  /// state.
  std::function<std::uint64_t(const ReplicaRecord&)> first_seen_ms;
  /// When this process first saw the present version of the record.
  std::uint64_t view_seen_ms = 0;
  SenderDone is_sender_done;
  /// Whether a process that executes an order is running and reachable.
  std::function<bool(std::string_view process)> is_executor_present;
  Decider self;
  bool is_coordinator = true;  ///< Only the coordinator adopts standby orders.
  /// Whether engines refuse orders with a lower fencing token than the highest
  /// one they have seen.
  bool engines_check_fence = false;
  std::uint64_t now_ms = 0;
  /// Time without progress after which an order is taken over from its
  /// executor, an unload is renewed, or an engine that left the VM list is
  /// removed.
  std::uint64_t order_progress_ms = 3000;
  /// Time after which an unreachable engine that was never listed is removed.
  std::uint64_t engine_gone_timeout_ms = 60000;
};

/// A replica whose state changed, and the cause.
struct ReplicaChange {
  std::string engine;
  ModelKey key;
  std::uint64_t decided_ms = 0;  ///< Wall time of the load's decision.
  WeightSource source = WeightSource::kRemote;
  std::string cause;
};

/// The changes that reconciliation made.
struct ReconcileOutcome {
  std::vector<ReplicaChange> loaded;
  std::vector<ReplicaChange> failed;   ///< Failed loads.
  std::vector<ReplicaChange> removed;  ///< Replicas removed from the record.
  std::uint32_t adopted = 0;  ///< Orders taken over from other executors.
  std::uint32_t found = 0;    ///< Replicas found on engines but not recorded.
};

/// Updates `record` from `input` and returns the changes.
ReconcileOutcome ReconcileCell(CellRecord& record, const ReconcileInput& input);

/// Whether a replica that is missing in the engine's report may be removed from
/// the record. This is so if no sender can still deliver an order for it, or if
/// the engine would refuse such orders because it has seen a higher fencing
/// token.
bool MayRemove(std::string_view engine,
               const ReplicaRecord& replica,
               const EngineReport& report,
               const ReconcileInput& input);

}  // namespace tanagerloom

#endif  // DECISION_RECONCILE_H_
