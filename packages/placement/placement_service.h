// Defines PlacementService, the placement of all cells on one node: it gathers
// the node's demand, sends it to the coordinators, and drives the cells that
// this node coordinates.
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

/// Placement on one node.
class PlacementService final : public PlacementView {
 public:
  explicit PlacementService(const PlacementDependencies& deps);
  ~PlacementService() override;
  PlacementService(const PlacementService&) = delete;
  PlacementService& operator=(const PlacementService&) = delete;

  /// Starts the fibers.
  void Start();

  /// Decides nothing more and finishes the orders of this process, at most for
  /// `bound`; then ends the fibers.
  void RequestStop(Duration bound);

  /// One pass over demand and cells; Start() does it repeatedly.
  void Step();

  /// For operators: for each cell the record, replicas and reserved memory;
  /// and the platform calls.
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
  struct LocalModelDemand {
    LocalDemand demand;
    std::uint32_t arrivals = 0;
    bool dirty = false;
  };
  struct CellDemand {
    std::map<ModelKey, LocalModelDemand> models;
    std::uint64_t sequence_number = 0;
    std::uint64_t acknowledged_number = 0;
    std::optional<TimePoint> unacknowledged_since;
    std::string last_recipient;  ///< The coordinator that the last one went to.
    TimePoint last_sent_time{};
  };

  void OnMessage(const std::string& from, const PeerMessage& message);
  void OnDemand(const std::string& from, const Demand& demand);
  CellController& Cell(const std::string& cell);
  /// The cell of a model's pool; null if the model is not offered.
  const CellController* CellOf(const ModelKey& key) const;
  void AddCells();
  void SendDemandLoop();
  void SendDemand(const std::string& cell, CellDemand& demand);
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
  bool draining_ = false;
  bool stopping_ = false;
  TaskGroup tasks_;
};

}  // namespace tanagerloom

#endif  // PLACEMENT_PLACEMENT_SERVICE_H_
