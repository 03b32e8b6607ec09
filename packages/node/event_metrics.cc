#include "node/event_metrics.h"

#include "base/event_log.h"
#include "base/events.h"

namespace tanagerloom {

namespace {

constexpr double kMillisecondsPerSecond = 1000;

}  // namespace

EventMetrics::EventMetrics(Metrics& metrics)
    : metrics_(metrics),
      load_seconds_(metrics.AddHistogram(
          "tanagerloom_load_seconds",
          "Time from an order to the loaded replica.",
          {0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30, 100, 300})) {}

Metrics::Counter& EventMetrics::GetOrAddCounter(
    std::map<std::string, Metrics::Counter>& counters,
    const char* name,
    const char* help,
    const char* label,
    const std::string& value) {
  auto it = counters.find(value);
  if (it == counters.end()) {
    it = counters
             .emplace(value, metrics_.AddCounter(name, help, {{label, value}}))
             .first;
  }
  return it->second;
}

void EventMetrics::Observe(const EventRecord& record) {
  GetOrAddCounter(events_, "tanagerloom_events_total",
                  "Numbered events; docs/events.md lists them.", "event",
                  std::string(record.id.name))(1);
  if (record.id.number == events::kRequestRefused.number) {
    GetOrAddCounter(refusals_, "tanagerloom_refusals_total",
                    "Refused requests by the code of the refusal.", "code",
                    record.fields.value("code", ""))(1);
  } else if (record.id.number == events::kForwardTurnTooLate.number) {
    const auto priority = record.fields.value("priority", 0U);
    GetOrAddCounter(late_turns_, "tanagerloom_refused_turns_total",
                    "Requests refused because their turn would come too late, "
                    "by priority.",
                    "priority", std::to_string(priority))(1);
  } else if (record.id.number == events::kReplicaLoaded.number) {
    load_seconds_(record.fields.value("load_ms", 0.0) / kMillisecondsPerSecond);
  }
}

}  // namespace tanagerloom
