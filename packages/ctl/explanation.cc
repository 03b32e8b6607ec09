#include "ctl/explanation.h"

#include <algorithm>
#include <array>
#include <limits>
#include <set>
#include <string_view>

namespace tanagerloom {

namespace {

// What happened this long before a request may explain it: a takeover of the
// orders takes about as long.
constexpr std::int64_t kBeforeUs = 6'000'000;
constexpr std::int64_t kAfterUs = 500'000;
constexpr std::int64_t kMicrosInMilli = 1000;

// Events of a process as a whole that change how it treats each request.
constexpr std::array<std::string_view, 9> kOfProcess = {
    "node_started",          "node_stopping",     "node_stopped",
    "process_paused",        "dependency_lost",   "dependency_regained",
    "fleet_config_in_force", "readiness_changed", "settings_reloaded"};

bool IsOfProcess(const nlohmann::json& event) {
  return std::ranges::find(kOfProcess, event.value("event", "")) !=
         kOfProcess.end();
}

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

std::string BaseModel(const std::string& model) {
  return model.substr(0, model.find('/'));
}

// What is known of the request from its own events.
struct Subject {
  std::int64_t first_us = std::numeric_limits<std::int64_t>::max();
  std::int64_t last_us = 0;
  std::string model;
  std::set<std::string> endpoints;
  std::set<std::string> processes;  ///< That handled the request.

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

  // Requests of others are left out: what one of them met explains nothing of
  // this one.
  bool Concerns(const nlohmann::json& event) const {
    if (TimeOf(event) < first_us - kBeforeUs ||
        TimeOf(event) > last_us + kAfterUs ||
        !Field(event, "request").empty()) {
      return false;
    }
    const auto named = Field(event, "model");
    return (!model.empty() && BaseModel(named) == model) ||
           endpoints.contains(Field(event, "endpoint")) ||
           endpoints.contains(Field(event, "engine")) ||
           event.value("event", "").starts_with("lease_") ||
           (IsOfProcess(event) &&
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
  Subject subject;
  for (const auto& it : events) {
    if (Field(it, "request") == request) {
      subject.Add(it);
    }
  }
  std::vector<ExplainedEvent> out;
  for (const auto& it : events) {
    const bool own = Field(it, "request") == request;
    if (own || subject.Concerns(it)) {
      out.push_back(
          {(TimeOf(it) - subject.first_us) / kMicrosInMilli, own, it});
    }
  }
  std::ranges::stable_sort(out, {}, &ExplainedEvent::offset_ms);
  return out;
}

}  // namespace tanagerloom
