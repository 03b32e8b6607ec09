// Defines DemandTable, which sums up the demand reports of all nodes. The node
// that holds the order lease plans the placement of models from it.
#ifndef FLEET_DEMAND_TABLE_H_
#define FLEET_DEMAND_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "fleet/model_ref.h"
#include "ports/peer_message.h"
#include "runtime/clock.h"

namespace tanagerloom {

/// Demand for one model or adapter, summed over all nodes.
struct FleetDemand {
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  double rate = 0;         ///< Recent arrivals per second.
  double concurrency = 0;  ///< Recent average of waiting plus running requests.
  double prompt_tokens_per_s = 0;  ///< Recent prompt tokens to read.
  TimePoint last_arrival_at{};
  /// Earliest deadline of the waiting requests.
  std::optional<TimePoint> earliest_deadline;
  /// Lowest rank of the waiting requests. All have 0 without customers.
  std::optional<std::uint32_t> best_rank;
};

/// Demand by service and model, from the latest report of each node.
class DemandTable {
 public:
  /// Time constant of the exponential decay of rates and averages: long enough
  /// to measure a rate of one per second, short enough to follow a shift of
  /// demand.
  static constexpr Duration kDecayTime = std::chrono::seconds(3);
  /// A node's counts expire if it has not reported for this long.
  static constexpr Duration kNodeTimeout = std::chrono::seconds(2);
  /// A model is removed if no request for it arrived for this long.
  static constexpr Duration kModelRetention = std::chrono::minutes(10);

  /// Updates the counts of `node` from its demand message.
  void Update(const std::string& node, const Demand& demand, TimePoint now);

  /// Returns the current demand for the models of a service, and removes models
  /// whose retention time has passed.
  std::map<ModelRef, FleetDemand> Read(const std::string& service,
                                       TimePoint now);

 private:
  struct NodeCounts {
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::optional<TimePoint> earliest_deadline;
    std::optional<std::uint32_t> best_rank;
    TimePoint received_at{};
  };
  struct Entry {
    std::map<std::string, NodeCounts> nodes;
    double arrivals = 0;       ///< Exponentially decaying number of arrivals.
    double prompt_tokens = 0;  ///< Decays like `arrivals`.
    double concurrency = 0;
    TimePoint last_arrival_at{};
    TimePoint decayed_at{};
  };

  static void Decay(Entry& entry, TimePoint now);

  std::map<std::string, std::map<ModelRef, Entry>> services_;
};

}  // namespace tanagerloom

#endif  // FLEET_DEMAND_TABLE_H_
