// Defines Explain, which finds in the logs of several nodes the events that
// explain how one request ended.
#ifndef CTL_EXPLANATION_H_
#define CTL_EXPLANATION_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vector>

namespace tanagerloom {

/// An event of the explanation.
struct ExplainedEvent {
  std::int64_t offset_ms = 0;  ///< Time since the request's first event.
  /// Whether the event is the request's own. If not, it concerns the request's
  /// model, endpoints or processes, or the order lease.
  bool belongs_to_request = false;
  nlohmann::json event;
};

/// Returns the events of a request, ordered by time, with the related events of
/// the time around it: those of its model's orders, of the endpoints that it
/// was sent to, of the order lease, and of the processes that handled it, such
/// as their shutdown. Empty if there is no event of the request.
std::vector<ExplainedEvent> Explain(const std::string& request,
                                    std::span<const nlohmann::json> events);

/// Returns the event in a line of a log, or null if there is none. A prefix
/// that a log collector added is skipped.
nlohmann::json ParseLogLine(std::string_view line);

}  // namespace tanagerloom

#endif  // CTL_EXPLANATION_H_
