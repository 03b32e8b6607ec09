#include "ctl/explanation.h"

#include <algorithm>
#include <array>
#include <limits>
#include <set>
#include <string_view>

namespace tanagerloom {

namespace {

// Time before a request from which related events may explain it. A takeover of
// the order lease takes about as long.
constexpr std::int64_t kWindowBeforeUs = 6'000'000;
// Time after a request up to which related events may explain it.
constexpr std::int64_t kWindowAfterUs = 500'000;
constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;

// Names of the events of a whole process that affect all of its requests.
constexpr std::array<std::string_view, 9> kProcessEvents = {
    "node_started",          "node_stopping",     "node_stopped",
    "process_paused",        "dependency_lost",   "dependency_regained",
    "fleet_config_in_force", "readiness_changed", "settings_reloaded"};

bool IsProcessEvent(const nlohmann::json& event) {
  return std::ranges::find(kProcessEvents, event.value("event", "")) !=
         kProcessEvents.end();
}

// Returns a string field of the event; empty if it is missing.
std::string Field(const nlohmann::json& event, const char* name) {
  const auto fields = event.find("fields");
  if (fields == event.end() || !fields->is_object()) {
    return {};
  }
  const auto it = fields->find(name);
  return it != fields->end() && it->is_string() ? it->get<std::string>()
                                                : std::string();
}

std::int64_t TimeOf(const nlohmann::json& event) {
  return event.value("time_us", std::int64_t{0});
}

// Returns the model without its adapter.
std::string BaseModel(const std::string& model) {
  return model.substr(0, model.find('/'));
}

// The times, model, endpoints and processes of a request, as its own events
// state them.
struct RequestContext {
  std::int64_t first_us = std::numeric_limits<std::int64_t>::max();
  std::int64_t last_us = 0;
  std::string model;
  std::set<std::string> endpoints;
  std::set<std::string> processes;  ///< Processes that handled the request.

  void Add(const nlohmann::json& event) {
    first_us = std::min(first_us, TimeOf(event));
    last_us = std::max(last_us, TimeOf(event));
    processes.insert(event.value("process", ""));
    const auto named = Field(event, "model");
    model = named.empty() ? model : BaseModel(named);
    const auto endpoint = Field(event, "endpoint");
    if (!endpoint.empty()) {
      endpoints.insert(endpoint);
    }
  }

  // Whether an event explains the request. Events of other requests do not.
  bool IsRelated(const nlohmann::json& event) const {
    if (TimeOf(event) < first_us - kWindowBeforeUs ||
        TimeOf(event) > last_us + kWindowAfterUs ||
        !Field(event, "request").empty()) {
      return false;
    }
    const auto named = Field(event, "model");
    return (!model.empty() && BaseModel(named) == model) ||
           endpoints.contains(Field(event, "endpoint")) ||
           endpoints.contains(Field(event, "engine")) ||
           event.value("event", "").starts_with("lease_") ||
           (IsProcessEvent(event) &&
            processes.contains(event.value("process", "")));
  }
};

}  // namespace

nlohmann::json ParseLogLine(std::string_view line) {
  const auto brace = line.find('{');
  if (brace == std::string_view::npos) {
    return nullptr;
  }
  auto json = nlohmann::json::parse(line.substr(brace), nullptr, false);
  return json.is_object() ? json : nlohmann::json();
}

std::vector<ExplainedEvent> Explain(const std::string& request,
                                    std::span<const nlohmann::json> events) {
  RequestContext context;
  for (const auto& it : events) {
    if (Field(it, "request") == request) {
      context.Add(it);
    }
  }
  std::vector<ExplainedEvent> out;
  for (const auto& it : events) {
    const bool is_own = Field(it, "request") == request;
    if (is_own || context.IsRelated(it)) {
      out.push_back(
          {(TimeOf(it) - context.first_us) / kMicrosecondsPerMillisecond,
           is_own, it});
    }
  }
  std::ranges::stable_sort(out, {}, &ExplainedEvent::offset_ms);
  return out;
}

}  // namespace tanagerloom
