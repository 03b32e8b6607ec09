// Defines DemandTracker, which counts this node's waiting and running requests
// by model. The counts are reported to the node that sends orders to engines.
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

  /// Counts a request that waits for its model. Loading the model after
  /// `deadline` no longer helps it; models are loaded by the lowest `rank` that
  /// waits for them. EndWait() takes the same values.
  void BeginWait(const std::string& service,
                 const ModelRef& model,
                 TimePoint deadline,
                 std::uint32_t rank);
  void EndWait(const std::string& service,
               const ModelRef& model,
               TimePoint deadline,
               std::uint32_t rank);

  /// A request was sent to an endpoint that has to read this many tokens of its
  /// prompt.
  void OnPromptSent(const std::string& service,
                    const ModelRef& model,
                    std::uint32_t tokens);

  /// Counts a request that was sent to an endpoint, until EndRun().
  void BeginRun(const std::string& service, const ModelRef& model);
  void EndRun(const std::string& service, const ModelRef& model);

  /// Signalled when a request starts to wait, so that its demand is reported at
  /// once.
  EventFlag& urgent_wait() { return urgent_wait_; }

  /// Returns one message per service with the counts of all its models.
  /// Arrivals and prompt tokens are counted since the last call. A model that
  /// has no more requests is listed once more, with zeros.
  std::vector<Demand> TakeDemand();

 private:
  struct Counts {
    std::uint32_t running = 0;
    std::uint32_t arrivals = 0;
    std::uint64_t prompt_tokens = 0;
    std::multiset<TimePoint> waiting;    ///< Deadlines of the waiting requests.
    std::multiset<std::uint32_t> ranks;  ///< Their ranks.
  };

  Counts& CountsFor(const std::string& service, const ModelRef& model) {
    return counts_[{service, model}];
  }

  const Clock& clock_;
  std::map<std::pair<std::string, ModelRef>, Counts> counts_;
  std::uint64_t last_number_ = 0;  ///< Number of the last message.
  EventFlag urgent_wait_;
};

}  // namespace tanagerloom

#endif  // FLEET_DEMAND_TRACKER_H_
