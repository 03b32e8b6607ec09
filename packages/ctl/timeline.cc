#include "ctl/timeline.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

#include "ctl/ctl_context.h"

namespace tanagerloom {

namespace {

using nlohmann::json;

std::uint64_t Number(const json& value, const char* key) {
  const auto it = value.find(key);
  return it != value.end() && it->is_number_unsigned()
             ? it->get<std::uint64_t>()
             : 0;
}

std::string Text(const json& value, const char* key) {
  const auto it = value.find(key);
  return it != value.end() && it->is_string() ? it->get<std::string>() : "";
}

json Fields(const json& event) {
  const auto it = event.find("fields");
  return it != event.end() && it->is_object() ? *it : json::object();
}

/// Returns the key by which events are sorted: the hybrid time, then fields
/// that make the order unambiguous.
auto SortKey(const json& event) {
  return std::make_tuple(Number(event, "time_us"), Number(event, "counter"),
                         Text(event, "process"), Number(event, "sequence"));
}

/// Whether `value` is the model, with any version and adapter.
bool MatchesModel(const std::string& value, const std::string& model) {
  const auto end = value.find_first_of("@:");
  return value == model || value.substr(0, end) == model;
}

/// Returns "NODE" of "NODE/INCARNATION".
std::string NodeIdOf(const std::string& process) {
  return process.substr(0, process.find('/'));
}

std::string FormatMicros(std::uint64_t micros) {
  auto text = FormatUtc(micros / 1000);
  const auto rest = std::to_string(1000 + micros % 1000).substr(1);
  return text.insert(text.size() - 1, rest);
}

/// The event that starts a span of the trace, those that end it, and the field
/// that identifies the span.
struct SpanRule {
  std::string_view start_event;
  std::vector<std::string_view> end_events;
  const char* id_field;
};

const std::vector<SpanRule>& SpanRules() {
  static const std::vector<SpanRule> rules = {
      {"request_accepted", {"request_answered", "request_refused"}, "request"},
      {"order_sent", {"replica_loaded", "order_failed"}, "server"},
  };
  return rules;
}

/// Makes a trace event of an event.
json TraceEvent(const json& event,
                const char* phase,
                const std::string& name,
                int pid) {
  return {{"name", name},         {"cat", Text(event, "event")},
          {"ph", phase},          {"ts", Number(event, "time_us")},
          {"pid", pid},           {"tid", 0},
          {"args", Fields(event)}};
}

/// Adds the start or end of an asynchronous span if the event is one.
void AddSpans(const json& event, int pid, json& out) {
  const auto kind = Text(event, "event");
  for (const auto& rule : SpanRules()) {
    const auto id = Text(Fields(event), rule.id_field);
    const bool ends = std::find(rule.end_events.begin(), rule.end_events.end(),
                                kind) != rule.end_events.end();
    if (id.empty() || (kind != rule.start_event && !ends)) {
      continue;
    }
    auto span = TraceEvent(event, ends ? "e" : "b",
                           std::string(rule.id_field) + " " + id, pid);
    span["cat"] = rule.start_event;
    span["id"] = id;
    out.push_back(std::move(span));
  }
}

}  // namespace

bool TimelineFilter::Matches(const json& event) const {
  const auto fields = Fields(event);
  const auto model_of = Text(fields, "model");
  const auto target_of = Text(fields, "target");
  const auto server_of = Text(fields, "server");
  const auto endpoint_of = Text(fields, "endpoint");
  return (request.empty() || Text(fields, "request") == request) &&
         (model.empty() || MatchesModel(model_of, model) ||
          MatchesModel(target_of, model)) &&
         (endpoint.empty() || server_of == endpoint ||
          endpoint_of == endpoint) &&
         (node.empty() || NodeIdOf(Text(event, "process")) == node);
}

void Timeline::Add(const json& events) {
  for (const auto& it : events) {
    if (it.is_object()) {
      events_.push_back(it);
    }
  }
}

std::vector<json> Timeline::Events(const TimelineFilter& filter) const {
  // Only the first event of a request names its model, so a filter by model or
  // endpoint selects all events of a matching request.
  std::set<std::string> requests;
  const bool follow_requests =
      filter.request.empty() &&
      !(filter.model.empty() && filter.endpoint.empty());
  for (const auto& it : events_) {
    const auto request = Text(Fields(it), "request");
    if (follow_requests && !request.empty() && filter.Matches(it)) {
      requests.insert(request);
    }
  }
  std::vector<json> out;
  for (const auto& it : events_) {
    const bool at_node =
        filter.node.empty() || NodeIdOf(Text(it, "process")) == filter.node;
    if (filter.Matches(it) ||
        (at_node && requests.contains(Text(Fields(it), "request")))) {
      out.push_back(it);
    }
  }
  std::sort(out.begin(), out.end(), [](const json& a, const json& b) {
    return SortKey(a) < SortKey(b);
  });
  const auto end = std::unique(
      out.begin(), out.end(),
      [](const json& a, const json& b) { return SortKey(a) == SortKey(b); });
  out.erase(end, out.end());
  return out;
}

void WriteTimelineText(const std::vector<json>& events, std::ostream& out) {
  for (const auto& it : events) {
    out << FormatMicros(Number(it, "time_us")) << " " << Text(it, "process")
        << " " << Text(it, "event");
    const auto fields = Fields(it);
    for (const auto& field : fields.items()) {
      out << " " << field.key() << "="
          << (field.value().is_string()
                  ? field.value().get<std::string>()
                  : field.value().dump(-1, ' ', false,
                                       json::error_handler_t::replace));
    }
    out << "\n";
  }
}

json TimelineTrace(const std::vector<json>& events) {
  std::map<std::string, int> pids;
  json list = json::array();
  for (const auto& it : events) {
    const auto process = Text(it, "process");
    const auto added = pids.emplace(process, static_cast<int>(pids.size()) + 1);
    const int pid = added.first->second;
    if (added.second) {
      list.push_back({{"name", "process_name"},
                      {"ph", "M"},
                      {"pid", pid},
                      {"tid", 0},
                      {"args", {{"name", process}}}});
    }
    auto instant = TraceEvent(it, "i", Text(it, "event"), pid);
    instant["s"] = "p";
    list.push_back(std::move(instant));
    AddSpans(it, pid, list);
  }
  return {{"traceEvents", list}, {"displayTimeUnit", "ms"}};
}

}  // namespace tanagerloom
