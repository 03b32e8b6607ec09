// Defines PlacementService, which runs the placement of all cells on one node.
// It collects the node's demand, sends it to the coordinators of the cells, and
// makes the placement decisions for the cells that this node coordinates.
#ifndef PLACEMENT_PLACEMENT_SERVICE_H_
#define PLACEMENT_PLACEMENT_SERVICE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "placement/cell_controller.h"
#include "placement/placement_dependencies.h"
#include "placement/placement_view.h"
#include "placement/platform_backoff.h"
#include "placement/record_store.h"
#include "placement/slot_store.h"
#include "placement/task_group.h"
#include "placement/vm_index.h"

namespace tanagerloom {

/// Placement on one node; has one CellController for each cell.
class PlacementService final : public PlacementView {
 public:
  explicit PlacementService(const PlacementDependencies& deps);
  ~PlacementService() override;
  PlacementService(const PlacementService&) = delete;
  PlacementService& operator=(const PlacementService&) = delete;

  /// Starts the fibers of the service.
  void Start();

  /// Makes no further decisions and waits for the open orders of this process,
  /// for at most `timeout`. Then ends the fibers.
  void RequestStop(Duration timeout);

  /// Runs one pass over demand and cells. Start() does the same repeatedly.
  void Step();

  /// Returns the status for operators: for each cell its record, replicas and
  /// reserved memory, and the counts of object store calls.
  nlohmann::json Status() const;

  std::vector<ReplicaLocation> Replicas(const ModelKey& key) const override;
  void SetDemand(const std::string& cell,
                 const ModelKey& key,
                 const LocalDemand& demand) override;
  void CountArrival(const std::string& cell, const ModelKey& key) override;
  ReplicaLoadEstimate EstimateReplicaLoad(const ModelKey& key) const override;
  void ReportMissingReplica(const std::string& engine,
                            const ModelKey& key) override;
  EventFlag& changed() override { return changed_; }

 private:
  /// The demand of this node for one model.
  struct LocalModelDemand {
    LocalDemand demand;
    std::uint32_t arrivals = 0;  ///< Arrived requests since the last message.
    bool dirty = false;          ///< Changed since the last message.
  };
  /// The demand of this node for the models of one cell.
  struct CellDemand {
    std::map<ModelKey, LocalModelDemand> models;
    std::uint64_t sequence_number = 0;  ///< Number of the last message.
    /// Highest message number that a coordinator acknowledged.
    std::uint64_t acknowledged_number = 0;
    /// Since when no acknowledgement has come; empty if none is missing.
    std::optional<TimePoint> unacknowledged_since;
    std::string last_recipient;  ///< Coordinator that got the last message.
    TimePoint last_sent_time{};
  };

  void OnMessage(const std::string& from, const PeerMessage& message);
  void OnDemand(const std::string& from, const Demand& demand);
  /// The controller of a cell; created on first use.
  CellController& Cell(const std::string& cell);
  /// The controller of the cell that serves the model; null if the model is not
  /// offered.
  const CellController* CellOf(const ModelKey& key) const;
  /// Creates the controllers of all configured pools.
  void AddCells();
  void SendDemandLoop();
  /// Sends the demand of a cell if it changed or has to be renewed. If the
  /// coordinator doesn't acknowledge it in time, this node acts as coordinator.
  void SendDemand(const std::string& cell, CellDemand& demand);
  /// Builds the next demand message and forgets models without requests.
  Demand BuildDemandMessage(const std::string& cell, CellDemand& demand);
  void WakeAllCells();

  PlacementDependencies deps_;
  RecordStore records_;
  SlotStore slots_;
  PlatformBackoff backoff_;
  VmIndex vm_index_;
  EventFlag changed_;
  EventFlag demand_changed_;
  std::map<std::string, std::unique_ptr<CellController>> cells_;
  std::map<std::string, CellDemand> demand_;
  bool started_ = false;
  bool draining_ = false;  ///< Makes no new decisions.
  bool stopping_ = false;
  TaskGroup tasks_;
};

}  // namespace tanagerloom

#endif  // PLACEMENT_PLACEMENT_SERVICE_H_
