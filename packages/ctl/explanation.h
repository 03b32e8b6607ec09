// Defines Explain, which finds in the logs of several nodes what led to the end
// of one request.
#ifndef CTL_EXPLANATION_H_
#define CTL_EXPLANATION_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vector>

namespace tanagerloom {

/// One event that belongs to the explanation.
struct ExplainedEvent {
  std::int64_t offset_ms = 0;  ///< From the request's first event.
  bool of_request = false;     ///< Otherwise of its model, endpoints or holder.
  nlohmann::json event;
};

/// The events of a request and, around it, those of its model's orders, of the
/// endpoints that it was sent to, of the lease on orders, and of the process
/// that handled it as a whole, such as its stopping; by time.
std::vector<ExplainedEvent> Explain(const std::string& request,
                                    std::span<const nlohmann::json> events);

/// The event in a line of a log; null if there is none. What a log collector
/// wrote before the event is skipped.
nlohmann::json ParseLogLine(std::string_view line);

}  // namespace tanagerloom

#endif  // CTL_EXPLANATION_H_
