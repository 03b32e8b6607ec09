// Defines DemandTable, the demand of all nodes as the orderer of engines sees
// it.
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

/// Demand for one model or adapter, over all nodes.
struct ModelDemand {
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  double rate = 0;         ///< Arrivals a second, lately.
  double concurrency = 0;  ///< Requests waiting and running, lately.
  TimePoint last_arrival_at{};
  std::optional<TimePoint> earliest_deadline;  ///< Of those that wait.
};

/// Demand by service and model.
class DemandTable {
 public:
  /// Weight of the past in the rates falls to 1/e in this time: long enough to
  /// see a rate of one a second, short enough to follow a shift of demand.
  static constexpr Duration kDecayTime = std::chrono::seconds(3);
  /// A node that was not heard for this long has no demand.
  static constexpr Duration kNodeTimeout = std::chrono::seconds(2);
  /// Models without requests are forgotten after this time.
  static constexpr Duration kModelRetention = std::chrono::minutes(10);

  /// Takes a node's demand message.
  void Update(const std::string& node, const Demand& demand, TimePoint now);

  /// The demand for the models of a service.
  std::map<ModelRef, ModelDemand> Read(const std::string& service,
                                       TimePoint now);

 private:
  struct NodeCounts {
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::optional<TimePoint> earliest_deadline;
    TimePoint received_at{};
  };
  struct Entry {
    std::map<std::string, NodeCounts> nodes;
    double arrivals = 0;  ///< Decaying sum.
    double concurrency = 0;
    TimePoint last_arrival_at{};
    TimePoint decayed_at{};
  };

  static void Decay(Entry& entry, TimePoint now);

  std::map<std::string, std::map<ModelRef, Entry>> services_;
};

}  // namespace tanagerloom

#endif  // FLEET_DEMAND_TABLE_H_
