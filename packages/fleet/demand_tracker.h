// Defines DemandTracker, which counts what waits and runs on this node by
// model, for the node that orders engines.
#ifndef FLEET_DEMAND_TRACKER_H_
#define FLEET_DEMAND_TRACKER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/model_ref.h"
#include "ports/peer_message.h"
#include "runtime/clock.h"
#include "runtime/event_flag.h"

namespace tanagerloom {

/// Counts of this node's requests by service and model.
class DemandTracker {
 public:
  explicit DemandTracker(const Clock& clock) : clock_(clock) {}

  /// A request arrived.
  void OnArrival(const std::string& service, const ModelRef& model);

  /// A request waits for its model; it is of no use after `deadline`.
  void BeginWait(const std::string& service,
                 const ModelRef& model,
                 TimePoint deadline);
  void EndWait(const std::string& service,
               const ModelRef& model,
               TimePoint deadline);

  /// A request runs.
  void BeginRun(const std::string& service, const ModelRef& model);
  void EndRun(const std::string& service, const ModelRef& model);

  /// Signalled when a request begins to wait: the demand is urgent.
  EventFlag& urgent_wait() { return urgent_wait_; }

  /// One message a service with all counts; arrivals are those since the last
  /// call. Models without requests are listed once more, with zeros.
  std::vector<Demand> TakeDemand();

 private:
  struct Counts {
    std::uint32_t running = 0;
    std::uint32_t arrivals = 0;
    std::multiset<TimePoint> waiting;  ///< Deadlines.
  };

  Counts& CountsFor(const std::string& service, const ModelRef& model) {
    return counts_[{service, model}];
  }

  const Clock& clock_;
  std::map<std::pair<std::string, ModelRef>, Counts> counts_;
  std::uint64_t last_number_ = 0;
  EventFlag urgent_wait_;
};

}  // namespace tanagerloom

#endif  // FLEET_DEMAND_TRACKER_H_
