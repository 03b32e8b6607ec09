// Defines Timeline, the merged events of all processes of an estate.
#ifndef CTL_TIMELINE_H_
#define CTL_TIMELINE_H_

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace tanagerloom {

/// Which events to keep; an empty field keeps all.
struct TimelineFilter {
  std::string request;
  std::string model;  ///< A model, with any version and adapter.
  std::string server;
  std::string node;

  /// Whether an event, in the form of EventRecord::ToJson, is kept.
  bool Matches(const nlohmann::json& event) const;
};

/// Events of several processes in the order of their hybrid times, which never
/// puts an effect before its cause.
class Timeline {
 public:
  /// Adds events of a process; an event that was added before is ignored.
  void Add(const nlohmann::json& events);

  /// The kept events in order.
  std::vector<nlohmann::json> Events(const TimelineFilter& filter) const;

 private:
  std::vector<nlohmann::json> events_;
};

/// Writes one line an event.
void WriteTimelineText(const std::vector<nlohmann::json>& events,
                       std::ostream& out);

/// The events as trace-event JSON: one process row for each process, with a
/// span for each request and each load.
nlohmann::json TimelineTrace(const std::vector<nlohmann::json>& events);

}  // namespace tanagerloom

#endif  // CTL_TIMELINE_H_
