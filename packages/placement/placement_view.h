// Defines PlacementView, the interface through which the request path reads
// placement and reports its demand for models.
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

/// The location of a loaded replica that accepts requests.
struct ReplicaLocation {
  std::string engine;
  Address address;
  std::string data_centre;
};

/// The requests of this node for one model.
struct LocalDemand {
  std::uint32_t waiting = 0;  ///< Requests that wait for a replica.
  std::uint32_t running = 0;  ///< Requests that a replica is serving.
  std::uint32_t rank = 0;     ///< Best class rank of the waiting requests.
  /// Earliest deadline of the waiting requests; empty if none waits.
  std::optional<TimePoint> earliest_deadline;
};

/// When a model that has no loaded replica is expected to have one.
struct ReplicaLoadEstimate {
  bool failing = false;  ///< Loads keep failing, so requests must not wait.
  std::string cause;     ///< Cause of the last failed load.
  /// Estimated time until a replica is loaded; empty if unknown.
  std::optional<Duration> ready_in;
};

/// Placement as seen by the request path of the same node.
class PlacementView {
 public:
  virtual ~PlacementView() = default;

  /// Returns the loaded replicas of a model on engines that are not leaving.
  virtual std::vector<ReplicaLocation> Replicas(const ModelKey& key) const = 0;

  /// Replaces this node's demand for a model of a cell. The demand is sent to
  /// the coordinator of the cell, which loads replicas for it.
  virtual void SetDemand(const std::string& cell,
                         const ModelKey& key,
                         const LocalDemand& demand) = 0;

  /// Counts one arriving request in the arrival history of the model.
  virtual void CountArrival(const std::string& cell, const ModelKey& key) = 0;

  /// Returns when a replica of the model is expected to be loaded, or why its
  /// loads fail.
  virtual ReplicaLoadEstimate EstimateReplicaLoad(
      const ModelKey& key) const = 0;

  /// Reports that the engine answered that it lacks a replica that the
  /// placement record lists.
  virtual void ReportMissingReplica(const std::string& engine,
                                    const ModelKey& key) = 0;

  /// Signalled when replicas or load estimates change.
  virtual EventFlag& changed() = 0;
};

}  // namespace tanagerloom

#endif  // PLACEMENT_PLACEMENT_VIEW_H_
