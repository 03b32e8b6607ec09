// Defines EventMetrics, which derives metrics from the structured events, so
// that logs, timeline and metrics agree.
#ifndef NODE_EVENT_METRICS_H_
#define NODE_EVENT_METRICS_H_

#include <map>
#include <string>

#include "control/metrics.h"

namespace tanagerloom {

struct EventRecord;

/// Counts events by name and refusals by code, and observes model load times.
class EventMetrics {
 public:
  explicit EventMetrics(Metrics& metrics);

  /// Updates the metrics with a recorded event.
  void Observe(const EventRecord& record);

 private:
  /// Returns the counter for `value` of the label, which it adds to `counters`
  /// and to the metrics on first use.
  Metrics::Counter& GetOrAddCounter(
      std::map<std::string, Metrics::Counter>& counters,
      const char* name,
      const char* help,
      const char* label,
      const std::string& value);

  Metrics& metrics_;
  std::map<std::string, Metrics::Counter> events_;      ///< By event name.
  std::map<std::string, Metrics::Counter> refusals_;    ///< By refusal code.
  std::map<std::string, Metrics::Counter> late_turns_;  ///< By priority.
  Metrics::Histogram load_seconds_;
};

}  // namespace tanagerloom

#endif  // NODE_EVENT_METRICS_H_
