#include "control/admin_server.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>
#include <utility>

#include "base/event_log.h"
#include "base/events.h"
#include "base/invariant.h"
#include "config/json_text.h"
#include "control/config_store.h"
#include "control/metrics.h"
#include "control/operator_usage.h"
#include "http/http_responder.h"
#include "ports/peer_network.h"

namespace tanagerloom {

namespace {

using nlohmann::json;

constexpr std::string_view kConfigurationPath = "/operator/configuration";
constexpr std::uint64_t kDefaultHistoryEntries = 100;
constexpr std::uint64_t kMaxHistoryEntries = 10000;
// A response with this many events takes a few hundred kilobytes.
constexpr std::uint64_t kMaxTimelineEvents = 2000;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

HttpResponse OkResponse(const json& value) {
  return JsonResponse(200, Dump(value));
}

HttpResponse ErrorResponse(int status,
                           std::string_view code,
                           std::string message) {
  return JsonResponse(
      status,
      Dump({{"error", {{"code", code}, {"message", std::move(message)}}}}));
}

HttpResponse ErrorResponse(const Error& error) {
  switch (error.kind) {
    case ErrorKind::kInvalid:
      return ErrorResponse(422, "invalid", error.message);
    case ErrorKind::kNotFound:
      return ErrorResponse(404, "not_found", error.message);
    case ErrorKind::kConflict:
      return ErrorResponse(409, "conflict", error.message);
    case ErrorKind::kUnknown:
    case ErrorKind::kTimeout:
      return ErrorResponse(504, "unknown", error.message);
    case ErrorKind::kHistoryGone:
    case ErrorKind::kUnavailable:
    case ErrorKind::kCancelled:
      return ErrorResponse(503, "unavailable", error.message);
    case ErrorKind::kInternal:
      break;
  }
  return ErrorResponse(500, "internal", error.message);
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t n = 0;
  const auto* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, n);
  return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(n)
                                                       : std::nullopt;
}

/// A query parameter that is a whole number; `fallback` if it is absent, empty
/// if it is invalid.
std::optional<std::uint64_t> QueryNumber(const HttpRequest& request,
                                         std::string_view name,
                                         std::uint64_t fallback) {
  const auto text = request.Query(name);
  return text ? ParseNumber(*text) : std::optional(fallback);
}

HttpResponse InvalidQueryResponse(std::string_view name) {
  return ErrorResponse(
      400, "invalid",
      "query parameter " + std::string(name) + " must be a whole number");
}

std::string BearerToken(const HttpRequest& request) {
  constexpr std::string_view kScheme = "Bearer ";
  const auto header = request.headers.Find("Authorization").value_or("");
  return header.starts_with(kScheme)
             ? std::string(header.substr(kScheme.size()))
             : std::string();
}

/// The file name that follows kConfigurationPath; empty if there is none.
std::string FileNameOf(const HttpRequest& request) {
  const auto path = request.Path();
  return path.size() > kConfigurationPath.size() + 1
             ? PercentDecode(path.substr(kConfigurationPath.size() + 1))
             : std::string();
}

}  // namespace

AdminServer::AdminServer(boost::asio::io_context& io,
                         ConfigStore& config,
                         PeerNetwork& peers,
                         EventLog& events,
                         Metrics& metrics,
                         AdminCallbacks callbacks)
    : config_(config),
      peers_(peers),
      events_(events),
      metrics_(metrics),
      callbacks_(std::move(callbacks)),
      server_(io,
              HttpServerLimits{},
              [this](const HttpRequest& request, HttpResponder& responder) {
                // A client that has closed its connection needs no response.
                (void)responder.Send(Handle(request));
              }) {
  metrics_.AddGaugeReader(
      "tanagerloom_configuration_version", "Configuration version in force.",
      [this] { return static_cast<double>(config_.Current()->version); });
  metrics_.AddGaugeReader(
      "tanagerloom_configuration_known_version",
      "Highest configuration version known to be accepted.",
      [this] { return static_cast<double>(config_.known_version()); });
  metrics_.AddGaugeReader(
      "tanagerloom_live_members", "Reachable nodes, including this one.",
      [this] { return static_cast<double>(peers_.LiveIds().size()); });
  metrics_.AddCounterReader(
      "tanagerloom_invariants_checked_total", "Invariants checked.",
      [] { return static_cast<double>(InvariantsChecked()); });
}

AdminServer::~AdminServer() = default;

Result<Address> AdminServer::Listen(const Address& address) {
  return server_.Listen(address);
}

void AdminServer::StopAccepting() {
  server_.StopAccepting();
}

AdminServer::Handler AdminServer::FindHandler(
    const HttpRequest& request) const {
  struct Route {
    std::string_view method;
    std::string_view path;
    Handler handler;
  };
  static constexpr Route kRoutes[] = {
      {"GET", "/healthz", &AdminServer::Healthz},
      {"GET", "/readyz", &AdminServer::Readyz},
      {"GET", "/metrics", &AdminServer::MetricsText},
      {"GET", kConfigurationPath, &AdminServer::ShowConfiguration},
      {"GET", "/operator/history", &AdminServer::History},
      {"GET", "/operator/status", &AdminServer::Status},
      {"GET", "/operator/placement", &AdminServer::Placement},
      {"GET", "/operator/timeline", &AdminServer::Timeline},
      {"POST", "/operator/drain", &AdminServer::Drain},
  };
  for (const auto& it : kRoutes) {
    if (request.method == it.method && request.Path() == it.path) {
      return it.handler;
    }
  }
  if (!FileNameOf(request).empty() &&
      request.Path().starts_with(std::string(kConfigurationPath) + "/")) {
    if (request.method == "PUT") {
      return &AdminServer::ApplyFile;
    }
    if (request.method == "GET") {
      return &AdminServer::ShowFile;
    }
  }
  return nullptr;
}

HttpResponse AdminServer::Handle(const HttpRequest& request) {
  const auto handler = FindHandler(request);
  if (handler == nullptr) {
    return ErrorResponse(404, "not_found",
                         "no such resource: " + request.method + " " +
                             std::string(request.Path()));
  }
  try {
    return (this->*handler)(request);
  } catch (const json::exception& e) {
    // The JSON of a callback does not have the documented form. The node
    // continues to serve.
    return ErrorResponse(500, "internal", e.what());
  }
}

HttpResponse AdminServer::Healthz(const HttpRequest&) {
  return {200, {{"Content-Type", "text/plain"}}, "ok\n"};
}

std::string AdminServer::NotReadyReason() const {
  if (draining_) {
    return "the node is draining";
  }
  if (!config_.IsReady()) {
    return config_.known_version() == 0
               ? "no configuration is known"
               : "the newest configuration is not in force yet";
  }
  return callbacks_.not_ready_reason ? callbacks_.not_ready_reason() : "";
}

HttpResponse AdminServer::Readyz(const HttpRequest&) {
  const auto reason = NotReadyReason();
  return {reason.empty() ? 200 : 503,
          {{"Content-Type", "text/plain"}},
          (reason.empty() ? "ready" : reason) + "\n"};
}

HttpResponse AdminServer::MetricsText(const HttpRequest&) {
  return {
      200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.ToText()};
}

HttpResponse AdminServer::ApplyFile(const HttpRequest& request) {
  ApplyRequest apply{
      FileNameOf(request), request.body, BearerToken(request), {}, {}};
  apply.author = request.Query("author").value_or("");
  if (const auto expected = request.Query("expect")) {
    apply.expected_version = ParseNumber(*expected);
    if (!apply.expected_version) {
      return InvalidQueryResponse("expect");
    }
  }
  const auto outcome = config_.Apply(apply);
  if (!outcome) {
    return ErrorResponse(outcome.error());
  }
  return OkResponse({{"version", outcome.value().version},
                     {"changed", outcome.value().changed}});
}

HttpResponse AdminServer::ShowConfiguration(const HttpRequest&) {
  json files = json::object();
  for (const auto& it : config_.root().files) {
    files[it.first] = {{"version", it.second.version},
                       {"by", it.second.by},
                       {"author", it.second.author},
                       {"at_ms", it.second.at_ms}};
  }
  return OkResponse(
      {{"version", config_.Current()->version},
       {"known_version", config_.known_version()},
       {"files", files},
       {"use", UsageByOperator(*config_.Current(), PlacementJson())}});
}

HttpResponse AdminServer::ShowFile(const HttpRequest& request) {
  const auto name = FileNameOf(request);
  const auto it = config_.root().files.find(name);
  const auto version =
      it == config_.root().files.end() ? 0 : it->second.version;
  const auto text = config_.FileText(name);
  if (!text) {
    return ErrorResponse(text.error());
  }
  std::vector<ConfigProblem> ignored;
  auto file = ParseJsonText(text.value(), ignored);
  RedactDigests(file);
  return OkResponse({{"operator", name}, {"version", version}, {"file", file}});
}

HttpResponse AdminServer::History(const HttpRequest& request) {
  constexpr auto kNewest = std::numeric_limits<std::uint64_t>::max();
  const auto before = QueryNumber(request, "before", kNewest);
  const auto limit = QueryNumber(request, "limit", kDefaultHistoryEntries);
  if (!before || !limit) {
    return InvalidQueryResponse(before ? "limit" : "before");
  }
  const auto entries = config_.History(
      *before, std::min<std::uint64_t>(*limit, kMaxHistoryEntries));
  if (!entries) {
    return ErrorResponse(entries.error());
  }
  json list = json::array();
  for (const auto& it : entries.value()) {
    list.push_back(it.ToJson());
  }
  return OkResponse({{"history", list}});
}

json AdminServer::PlacementJson() const {
  return callbacks_.placement ? callbacks_.placement() : json::object();
}

HttpResponse AdminServer::Status(const HttpRequest&) {
  json members = json::array();
  for (const auto& it : peers_.Members()) {
    members.push_back(
        {{"node", it.vm.id},
         {"data_centre", it.vm.data_centre},
         {"admin", Address{it.vm.address.ip, it.vm.admin_port}.ToString()},
         {"reachable", it.reachable},
         {"leaving", it.leaving},
         {"config_version", it.config_version}});
  }
  const auto reason = NotReadyReason();
  json out = {{"node", peers_.node_id()},
              {"process", peers_.self()},
              {"config_version", config_.Current()->version},
              {"known_config_version", config_.known_version()},
              {"ready", reason.empty()},
              {"not_ready_reason", reason},
              {"draining", draining_},
              {"invariants_checked", InvariantsChecked()},
              {"members", members}};
  if (callbacks_.status) {
    out.update(callbacks_.status());
  }
  return OkResponse(out);
}

HttpResponse AdminServer::Placement(const HttpRequest&) {
  return OkResponse(PlacementJson());
}

HttpResponse AdminServer::Timeline(const HttpRequest& request) {
  const auto after = QueryNumber(request, "after", 0);
  const auto limit = QueryNumber(request, "limit", kMaxTimelineEvents);
  if (!after || !limit) {
    return InvalidQueryResponse(after ? "limit" : "after");
  }
  const auto n = std::min(*limit, kMaxTimelineEvents);
  std::uint64_t next = *after;
  json list = json::array();
  for (const auto& it : events_.Since(*after)) {
    if (list.size() >= n) {
      break;
    }
    next = it.sequence;
    list.push_back(it.ToJson(events_.process()));
  }
  return OkResponse(
      {{"process", events_.process()}, {"next", next}, {"events", list}});
}

HttpResponse AdminServer::Drain(const HttpRequest& request) {
  const auto by = config_.FindOperatorByToken(BearerToken(request));
  if (!by) {
    return ErrorResponse(403, "forbidden", by.error().message);
  }
  if (!callbacks_.drain) {
    return ErrorResponse(501, "unavailable",
                         "this process does not support draining");
  }
  if (!std::exchange(draining_, true)) {
    events_.Record(events::kDrainRequested, {{"by", by.value()}});
    callbacks_.drain();
  }
  return OkResponse({{"draining", true}, {"node", peers_.node_id()}});
}

}  // namespace tanagerloom
