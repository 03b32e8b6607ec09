// Defines CellController, one node's part in the placement of one cell. As the
// cell's coordinator, or when the coordinator can't be reached, it compares the
// record with engines and demand, stores decisions and sends their orders.
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

#include "decision/arrival_history.h"
#include "decision/cell_demand_table.h"
#include "decision/planner.h"
#include "decision/reconcile.h"
#include "placement/engine_monitor.h"
#include "placement/history_store.h"
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

/// Placement of one cell as this node sees and drives it.
class CellController {
 public:
  /// `on_change` is called when the record or the servers' state changes.
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
  void Stop();

  /// One pass: reconcile, plan, store, send orders. Returns the time until the
  /// next pass is due without a wake-up.
  Duration Step();

  /// Makes Run() start a pass soon.
  void Wake() { wake_.Signal(); }

  /// Decides nothing new; goes on finishing orders.
  void Drain();

  /// `process` is the sender as "NODE/INCARNATION".
  void SetDemand(const std::string& process, const Demand& demand);
  void HandleRecord(const RecordUpdate& update);
  void HandleOrderDone(const std::string& from, const OrderDone& done);

  /// Lets this node decide for a while although another node is coordinator,
  /// because that one does not acknowledge demand.
  void ActAsCoordinator();

  /// The rendezvous-hash winner among the live members.
  std::string Coordinator() const;
  bool IsCoordinator() const;
  bool IsActingCoordinator() const;

  /// Whether this process still has orders to finish.
  bool HasOwnOrders() const;

  /// The engine said that it does not hold a replica: it is not offered until
  /// the record or a report confirms it.
  void ReportMissingReplica(const std::string& engine, const ModelKey& key);

  /// Servers with a loaded replica that takes requests.
  std::vector<std::string> EnginesServing(const ModelKey& key) const;

  ReplicaLoadEstimate EstimateReplicaLoad(const ModelKey& key) const;

  const StoredRecord& view() const { return *view_; }
  const EngineMonitor& monitor() const { return monitor_; }
  nlohmann::json Status() const;

 private:
  using View = std::shared_ptr<const StoredRecord>;

  bool MayDecide() const { return IsCoordinator() || IsActingCoordinator(); }
  Duration RunPass();
  /// Notices that this process did not run for long, and distrusts its view.
  void DetectPause();
  void RecordUse();
  void UpdateVms();
  std::map<std::string, Duration> PollIntervals() const;
  std::set<std::string> EnginesToReadLoadFrom() const;
  Duration RefreshInterval() const;
  bool Refresh();
  /// Loads the arrival histories as a new coordinator, then saves them now and
  /// then. False if the platform failed.
  bool SyncHistories();
  void RecordWriteFailure();
  void SetView(StoredRecord stored);
  /// Reconciles and plans from the current view and stores the result. False
  /// if the platform did not take it.
  bool Decide();
  /// What one decision changes.
  struct Decision;
  Decision MakeDecision();
  Result<void> StoreDecision(Decision decision);
  ReconcileOutcome Reconcile(CellRecord& next);
  Plan MakePlan(const CellRecord& next, const Estate& estate) const;
  /// Takes slots for the loads of a plan that need them, and drops those that
  /// got none.
  bool AcquireSlots(const CellRecord& next, Plan& plan);
  bool ExchangeSlots(const CellRecord& next,
                     std::uint32_t wanted,
                     std::vector<std::string> orders);
  void ApplyPlan(CellRecord& next, const Plan& plan);
  void ReleaseUnneededSlots();
  void RecordLoadDuration(const ReplicaChange& change);
  void LogDecision(const ReconcileOutcome& outcome, const CellRecord& stored);
  void AnnounceRecord();
  void SendOrderDoneMessages();
  bool IsSenderDone(std::string_view engine,
                    const ReplicaRecord& replica,
                    std::string_view process) const;
  std::uint64_t FirstSeenMs(const ReplicaRecord& replica) const;
  bool MaySendOrder(const std::string& engine, const ReplicaRecord& replica);
  bool MustOrderWait(const std::string& engine,
                     const ReplicaRecord& replica) const;
  /// Whether this node knows the running requests of all nodes.
  bool IsDemandComplete() const;
  bool IsExecutorPresent(std::string_view process) const;
  bool HasOpenOrders() const;
  /// Whether this process is to start a standby load and has not.
  bool IsUnstartedStandby(const ReplicaRecord& replica) const;
  bool MayStartStandby(const ReplicaRecord& replica) const;
  bool IsReportedLoaded(const std::string& engine,
                        const ReplicaRecord& replica) const;
  bool HasSlot(const ReplicaRecord& replica) const;
  std::set<std::string> UnstartedStandbyOrders(const CellRecord& record) const;
  std::vector<std::string> StandbyOrdersToStart() const;
  Duration PollDuringOutage(Duration wait);
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
  mutable std::string cached_coordinator_;
  mutable std::optional<TimePoint> cached_coordinator_until_;
  std::uint64_t view_seen_ms_ = 0;
  View view_;
  bool has_view_ = false;
  TimePoint view_confirmed_at_{};  ///< The view is not older than this.
  TimePoint last_refresh_time_{};
  std::optional<TimePoint> acting_until_;
  bool last_write_failed_ =
      false;  ///< The last write; reads may work all the same.
  std::optional<TimePoint> last_pass_time_;
  std::optional<TimePoint> coordinator_since_;
  std::uint32_t waiting_for_slots_ = 0;
  TimePoint slots_read_at_{};
  std::set<std::string>
      granted_orders_;  ///< Slots taken for orders not decided yet.
  std::set<std::string>
      orders_to_release_;  ///< Orders whose slots are to be freed.
  std::vector<LoadDuration> load_durations_;
  std::map<std::pair<std::string, ModelKey>, TimePoint> missing_replicas_;
  std::map<ModelKey, ArrivalHistory> histories_;
  HistoryStore history_store_;
  bool histories_loaded_ = false;  ///< Since this node became coordinator.
  bool histories_changed_ = false;
  CellDemandTable demand_table_;
  EngineMonitor monitor_;
  OrderExecutor executor_;
  std::map<std::pair<std::string, ReplicaState>, std::uint64_t> first_seen_ms_;
  std::set<std::pair<std::string, std::string>>
      done_orders_;                                ///< Order, process.
  std::map<std::string, TimePoint> done_sent_at_;  ///< By order.
};

}  // namespace tanagerloom

#endif  // PLACEMENT_CELL_CONTROLLER_H_
