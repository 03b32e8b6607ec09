// Defines EventMetrics, which derives counters and histograms from the numbered
// events, so that logs, time line and metrics agree.
#ifndef NODE_EVENT_METRICS_H_
#define NODE_EVENT_METRICS_H_

#include <map>
#include <string>

#include "control/metrics.h"

namespace tanagerloom {

struct EventRecord;

/// Counts events, refusals by code, and observes load times.
class EventMetrics {
 public:
  explicit EventMetrics(Metrics& metrics);

  /// Takes a recorded event into account.
  void Observe(const EventRecord& record);

 private:
  Metrics::Counter& CounterOf(std::map<std::string, Metrics::Counter>& counters,
                              const char* name,
                              const char* help,
                              const char* label,
                              const std::string& value);

  Metrics& metrics_;
  std::map<std::string, Metrics::Counter> events_;
  std::map<std::string, Metrics::Counter> refusals_;
  Metrics::Histogram load_seconds_;
};

}  // namespace tanagerloom

#endif  // NODE_EVENT_METRICS_H_
