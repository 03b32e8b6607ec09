// Defines PlacementView, what the request path sees of placement.
#ifndef PLACEMENT_PLACEMENT_VIEW_H_
#define PLACEMENT_PLACEMENT_VIEW_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/address.h"
#include "config/model_key.h"
#include "runtime/clock.h"
#include "runtime/event_flag.h"

namespace tanagerloom {

/// A loaded replica that takes requests.
struct ReplicaLocation {
  std::string engine;
  Address address;
  std::string data_centre;
};

/// What this node has waiting and running for one model.
struct LocalDemand {
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  std::uint32_t rank = 0;
  std::optional<TimePoint> earliest_deadline;
};

/// What is known about a model that has no loaded replica.
struct ReplicaLoadEstimate {
  bool failing = false;  ///< Loads keep failing; waiting is of no use now.
  std::string cause;     ///< Of the failure.
  std::optional<Duration> ready_in;  ///< Estimate until a replica is loaded.
};

/// Placement as seen by the request path of the same node.
class PlacementView {
 public:
  virtual ~PlacementView() = default;

  /// The loaded replicas of a model on servers that are not leaving.
  virtual std::vector<ReplicaLocation> Replicas(const ModelKey& key) const = 0;

  /// Replaces this node's demand for a model of a cell. It is sent to the
  /// cell's coordinator, which loads replicas for it.
  virtual void SetDemand(const std::string& cell,
                         const ModelKey& key,
                         const LocalDemand& demand) = 0;

  /// Counts an arriving request for the model's arrival history.
  virtual void CountArrival(const std::string& cell, const ModelKey& key) = 0;

  virtual ReplicaLoadEstimate EstimateReplicaLoad(
      const ModelKey& key) const = 0;

  /// The engine said that it does not hold a replica that the record lists.
  virtual void ReportMissingReplica(const std::string& engine,
                                    const ModelKey& key) = 0;

  /// Signalled when replicas or forecasts change.
  virtual EventFlag& changed() = 0;
};

}  // namespace tanagerloom

#endif  // PLACEMENT_PLACEMENT_VIEW_H_
