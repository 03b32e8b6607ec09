// Defines CellCoordinator, which chooses the node that decides for a cell.
#ifndef PLACEMENT_CELL_COORDINATOR_H_
#define PLACEMENT_CELL_COORDINATOR_H_

#include <optional>
#include <string>

#include "runtime/clock.h"

namespace tanagerloom {

class PeerNetwork;

/// The coordinator of a cell, which all nodes choose by rendezvous hashing over
/// the live members.
class CellCoordinator {
 public:
  CellCoordinator(const PeerNetwork& peers,
                  const Clock& clock,
                  std::string cell);

  /// Returns the id of the coordinator. The result is cached for 20 ms.
  const std::string& Node() const;
  bool IsSelf() const;

  /// Lets this node decide for `time` although another node is coordinator.
  void ActFor(Duration time);
  /// Whether this node decides because of ActFor().
  bool IsActing() const;

  /// Whether this node has been coordinator for `time`, as far as Update() has
  /// seen.
  bool HasBeenSelfFor(Duration time) const;

  /// Notes whether this node is coordinator now.
  void Update();

  /// Forgets what was known before this process was paused.
  void Reset();

 private:
  const PeerNetwork& peers_;
  const Clock& clock_;
  const std::string cell_;
  mutable std::string cached_node_;
  mutable std::optional<TimePoint> cached_until_;
  std::optional<TimePoint> self_since_;
  std::optional<TimePoint> acting_until_;
};

}  // namespace tanagerloom

#endif  // PLACEMENT_CELL_COORDINATOR_H_
