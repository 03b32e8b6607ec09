// Defines CellController, which runs the placement of one cell on one node. As
// the coordinator of the cell, or while the coordinator cannot be reached, it
// compares the placement record with engines and demand, stores decisions and
// sends their orders.
#ifndef PLACEMENT_CELL_CONTROLLER_H_
#define PLACEMENT_CELL_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "decision/cell_demand_table.h"
#include "decision/planner.h"
#include "decision/reconcile.h"
#include "placement/cell_coordinator.h"
#include "placement/cell_histories.h"
#include "placement/engine_monitor.h"
#include "placement/order_executor.h"
#include "placement/placement_dependencies.h"
#include "placement/placement_view.h"
#include "placement/platform_backoff.h"
#include "placement/record_store.h"
#include "placement/slot_store.h"
#include "placement/vm_index.h"
#include "ports/peer_message.h"
#include "runtime/event_flag.h"

namespace tanagerloom {

class TaskGroup;

/// Caches the placement record of one cell and, when this node may decide for
/// the cell, keeps it up to date.
class CellController {
 public:
  /// `on_change` is called when the cached placement record changes.
  CellController(std::string cell,
                 const PlacementDependencies& deps,
                 RecordStore& records,
                 SlotStore& slots,
                 PlatformBackoff& backoff,
                 VmIndex& vm_index,
                 TaskGroup& tasks,
                 std::function<void()> on_change);

  /// Runs passes until Stop().
  void Run();
  /// Ends Run() and sends no further new orders.
  void Stop();

  /// Runs one pass: reconciles, plans, stores the decision and sends orders.
  /// Returns the time after which the next pass is due unless Wake() is called.
  Duration Step();

  /// Makes Run() start the next pass without waiting any longer.
  void Wake() { wake_.Signal(); }

  /// Stops new decisions; open orders are still finished.
  void Drain();

  /// Replaces the demand of a process, named "NODE/INCARNATION".
  void SetDemand(const std::string& process, const Demand& demand);
  /// Replaces the cached record if the received one is newer and valid.
  void HandleRecord(const RecordUpdate& update);
  /// Records that process `from` can no longer deliver the order.
  void HandleOrderDone(const std::string& from, const OrderDone& done);

  /// Lets this node decide for twice the demand timeout although another node
  /// is coordinator, because that node does not acknowledge demand.
  void ActAsCoordinator();

  /// Returns the coordinator of the cell; see CellCoordinator.
  std::string Coordinator() const { return coordinator_.Node(); }
  bool IsCoordinator() const { return coordinator_.IsSelf(); }
  /// Whether this node decides because of ActAsCoordinator().
  bool IsActingCoordinator() const { return coordinator_.IsActing(); }

  /// Whether this process still has open orders.
  bool HasOwnOrders() const;

  /// Reports that an engine answered that it lacks a replica of the record. The
  /// replica receives no requests for 3 s, in which a read of the engine's
  /// state corrects the record.
  void ReportMissingReplica(const std::string& engine, const ModelKey& key);

  /// Returns the engines with a loaded replica that accepts requests.
  std::vector<std::string> EnginesServing(const ModelKey& key) const;

  /// Returns when a replica is expected to be loaded, or why its loads fail.
  ReplicaLoadEstimate EstimateReplicaLoad(const ModelKey& key) const;

  /// The cached placement record.
  const StoredRecord& view() const { return *view_; }
  const EngineMonitor& monitor() const { return monitor_; }
  nlohmann::json Status() const;

 private:
  using View = std::shared_ptr<const StoredRecord>;

  /// Whether this node may make decisions for the cell.
  bool MayDecide() const { return IsCoordinator() || IsActingCoordinator(); }
  /// Does the work of Step() except for sending; returns the same time.
  Duration RunPass();
  /// Discards the cached record and engine status if this process was paused.
  void DetectPause();
  /// Records which models are in use in their arrival histories.
  void RecordUse();
  void UpdateVms();
  /// How often to read the state of each engine.
  std::map<std::string, Duration> PollIntervals() const;
  std::set<std::string> EnginesToReadLoadFrom() const;
  /// How often to read the placement record.
  Duration RefreshInterval() const;
  /// Reads the placement record. False if the object store failed.
  bool Refresh();
  /// See CellHistories::Sync.
  bool SyncHistories();
  void RecordWriteFailure();
  /// Replaces the cached record if `stored` is newer.
  void SetView(StoredRecord stored);
  /// Reconciles and plans from the cached record and stores the result. False
  /// if the object store failed.
  bool Decide();
  /// The changes of one decision.
  struct Decision;
  Decision MakeDecision();
  Result<void> StoreDecision(Decision decision);
  ReconcileOutcome Reconcile(CellRecord& next);
  Plan MakePlan(const CellRecord& next, const Estate& estate) const;
  /// Takes slots for the planned loads from the weight store and removes the
  /// loads without a slot from the plan. False if the object store failed.
  bool AcquireSlots(const CellRecord& next, Plan& plan);
  /// Releases the slots that the cell does not need and takes slots for
  /// `orders` and for up to `wanted` new orders. False if the object store
  /// failed.
  bool ExchangeSlots(const CellRecord& next,
                     std::uint32_t wanted,
                     std::vector<std::string> orders);
  void ApplyPlan(CellRecord& next, const Plan& plan);
  /// Releases the slots of finished loads and of grants that were not used.
  void ReleaseUnneededSlots();
  /// Records the duration of a load for the estimate of the weight store's
  /// speed.
  void RecordLoadDuration(const ReplicaChange& change);
  /// Logs the events of a stored decision.
  void LogDecision(const ReconcileOutcome& outcome, const CellRecord& stored);
  /// Sends the cached record to all nodes.
  void AnnounceRecord();
  /// Tells the coordinator for which orders this process is no longer a sender.
  void SendOrderDoneMessages();
  /// Whether `process` can no longer deliver an order for the replica.
  bool IsSenderDone(std::string_view engine,
                    const ReplicaRecord& replica,
                    std::string_view process) const;
  /// Monotonic time at which this process first saw the order in its present
  /// state.
  std::uint64_t FirstSeenMs(const ReplicaRecord& replica) const;
  /// See ExecutorHooks::may_send.
  bool MaySendOrder(const std::string& engine, const ReplicaRecord& replica);
  /// See ExecutorHooks::must_wait.
  bool MustOrderWait(const std::string& engine,
                     const ReplicaRecord& replica) const;
  /// Whether this node knows the running requests of all nodes.
  bool IsDemandComplete() const;
  /// Whether the process is running and reachable.
  bool IsExecutorPresent(std::string_view process) const;
  /// Whether any order of the record is open, except for unstarted standby
  /// loads.
  bool HasOpenOrders() const;
  /// Whether the replica is a standby load of this process that was not
  /// started.
  bool IsUnstartedStandby(const ReplicaRecord& replica) const;
  /// Whether the standby load may start: requests wait for it, and it has a
  /// slot or none is needed.
  bool MayStartStandby(const ReplicaRecord& replica) const;
  /// Whether the engine reports that the order of the replica is completed.
  bool IsReportedLoaded(const std::string& engine,
                        const ReplicaRecord& replica) const;
  /// Whether the load has a slot or does not need one.
  bool HasSlot(const ReplicaRecord& replica) const;
  std::set<std::string> UnstartedStandbyOrders(const CellRecord& record) const;
  /// The unstarted standby orders that have waiting requests but no slot.
  std::vector<std::string> StandbyOrdersToStart() const;
  /// Polls the engines whose loads have demand while the object store fails.
  /// Returns the time until the next poll, at most `wait`.
  Duration PollDuringOutage(Duration wait);
  /// This process with the current wall time.
  Decider Self() const;

  std::string cell_;
  PlacementDependencies deps_;
  RecordStore& records_;
  SlotStore& slots_;
  PlatformBackoff& backoff_;
  VmIndex& vm_index_;
  std::function<void()> on_change_;
  EventFlag wake_;
  bool stopping_ = false;
  bool draining_ = false;
  std::uint64_t view_seen_ms_ = 0;  ///< Monotonic time of the last new record.
  View view_;
  bool has_view_ = false;
  TimePoint view_confirmed_at_{};  ///< The cached record is not older.
  TimePoint last_refresh_time_{};
  bool last_write_failed_ = false;  ///< Reads may succeed while writes fail.
  std::optional<TimePoint> last_pass_time_;
  std::uint32_t waiting_for_slots_ = 0;
  TimePoint slots_read_at_{};
  /// New orders that have a slot and are not in the record yet.
  std::set<std::string> granted_orders_;
  /// Orders whose slots are to be released.
  std::set<std::string> orders_to_release_;
  std::vector<LoadDuration> load_durations_;
  /// Time of the last ReportMissingReplica() by engine and key.
  std::map<std::pair<std::string, ModelKey>, TimePoint> missing_replicas_;
  CellCoordinator coordinator_;
  CellHistories histories_;
  CellDemandTable demand_table_;
  EngineMonitor monitor_;
  OrderExecutor executor_;
  std::map<std::pair<std::string, ReplicaState>, std::uint64_t> first_seen_ms_;
  std::set<std::pair<std::string, std::string>>
      done_orders_;                                ///< Order, process.
  std::map<std::string, TimePoint> done_sent_at_;  ///< By order id.
};

}  // namespace tanagerloom

#endif  // PLACEMENT_CELL_CONTROLLER_H_
