// Defines Timeline, which merges the events of all processes of an estate into
// one order, and its output formats.
#ifndef CTL_TIMELINE_H_
#define CTL_TIMELINE_H_

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace tanagerloom {

/// Selects events. An empty field selects all.
struct TimelineFilter {
  std::string request;   ///< Request id.
  std::string model;     ///< Model name; matches any version and adapter.
  std::string endpoint;  ///< Engine or other endpoint.
  std::string node;      ///< Node id.

  /// Whether the filter selects an event, given in the form of
  /// EventRecord::ToJson.
  bool Matches(const nlohmann::json& event) const;
};

/// Events of several processes, ordered by their hybrid logical times. This
/// order never puts an effect before its cause.
class Timeline {
 public:
  /// Adds events of a process. An event that is added twice is returned once.
  void Add(const nlohmann::json& events);

  /// Returns the events that `filter` selects, in order. A filter by model or
  /// endpoint also selects all events of the requests that it matches.
  std::vector<nlohmann::json> Events(const TimelineFilter& filter) const;

 private:
  std::vector<nlohmann::json> events_;
};

/// Writes one line for each event.
void WriteTimelineText(const std::vector<nlohmann::json>& events,
                       std::ostream& out);

/// Returns the events as trace-event JSON: one row for each process, with a
/// span for each request and each order.
nlohmann::json TimelineTrace(const std::vector<nlohmann::json>& events);

}  // namespace tanagerloom

#endif  // CTL_TIMELINE_H_
