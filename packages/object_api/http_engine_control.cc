#include "object_api/http_engine_control.h"

#include <nlohmann/json.hpp>

#include "http/http_client.h"

namespace tanagerloom {

namespace {

std::string_view SourceName(CheckpointSource source) {
  switch (source) {
    case CheckpointSource::kMemory:
      return "memory";
    case CheckpointSource::kDisk:
      return "disk";
    case CheckpointSource::kRemote:
      return "remote";
  }
  return "remote";
}

CheckpointSource ParseSource(std::string_view name) {
  if (name == "memory") {
    return CheckpointSource::kMemory;
  }
  return name == "disk" ? CheckpointSource::kDisk : CheckpointSource::kRemote;
}

EngineReplicaState ParseEntryState(std::string_view name) {
  if (name == "loaded") {
    return EngineReplicaState::kLoaded;
  }
  return name == "failed" ? EngineReplicaState::kFailed
                          : EngineReplicaState::kLoading;
}

nlohmann::json OrderToJson(const EngineOrder& order) {
  return {{"order", order.order},
          {"fence", order.fence},
          {"action", order.action == OrderAction::kLoad ? "load" : "unload"},
          {"model", order.model},
          {"version", order.version},
          {"adapter", order.adapter},
          {"memory_mb", order.memory_mb},
          {"source", SourceName(order.source)}};
}

EngineState ParseState(const nlohmann::json& json) {
  EngineState state;
  state.boot = json.at("boot").get<std::string>();
  state.sequence = json.at("sequence").get<std::uint64_t>();
  state.highest_fence = json.value("highest_fence", std::uint64_t{0});
  state.memory_mb = json.at("memory_mb").get<std::uint64_t>();
  state.used_mb = json.value("used_mb", std::uint64_t{0});
  state.leaving = json.value("leaving", false);
  // items() holds a reference to the object, which must outlive the loop.
  const auto cached = json.value("cached", nlohmann::json::object());
  for (const auto& [model, source] : cached.items()) {
    state.cached[model] = ParseSource(source.get<std::string>());
  }
  for (const auto& it : json.at("entries")) {
    state.entries.push_back({it.at("model").get<std::string>(),
                             it.value("version", ""), it.value("adapter", ""),
                             ParseEntryState(it.at("state").get<std::string>()),
                             it.value("order", ""), it.value("cause", "")});
  }
  return state;
}

}  // namespace

HttpEngineControl::HttpEngineControl(HttpClient& client,
                                     const Clock& clock,
                                     Duration call_timeout)
    : client_(client), clock_(clock), call_timeout_(call_timeout) {}

Result<OrderAnswer> HttpEngineControl::Send(const Address& engine,
                                            const EngineOrder& order) {
  const HttpRequest request{"POST",
                            "/control/orders",
                            {{"Content-Type", "application/json"}},
                            OrderToJson(order).dump()};
  const auto response =
      client_.Call(engine, request, {.deadline = clock_.Now() + call_timeout_});
  if (!response) {
    const auto& failure = response.assume_error();
    return MakeError(failure.verdict == Verdict::kNotRun
                         ? ErrorKind::kUnavailable
                         : ErrorKind::kUnknown,
                     failure.error.message);
  }
  const auto& answer = response.assume_value();
  const auto json = nlohmann::json::parse(answer.body, nullptr, false);
  if (!json.is_object()) {
    return MakeError(
        ErrorKind::kUnknown,
        "engine " + engine.ToString() + ": the response is not a JSON object");
  }
  if (answer.status == 200) {
    return OrderAnswer(OrderAccepted{json.value("sequence", std::uint64_t{0}),
                                     json.value("boot", "")});
  }
  if (answer.status == 409 || answer.status == 503) {
    return OrderAnswer(OrderRefused{json.value("reason", "unknown"),
                                    json.value("highest", std::uint64_t{0})});
  }
  return MakeError(ErrorKind::kUnknown, "engine " + engine.ToString() +
                                            ": status " +
                                            std::to_string(answer.status));
}

Result<nlohmann::json> HttpEngineControl::ReadJson(const Address& engine,
                                                   std::string target) {
  const auto response =
      client_.Call(engine, {"GET", std::move(target), {}, ""},
                   {.deadline = clock_.Now() + call_timeout_});
  if (!response) {
    return response.assume_error().error;
  }
  auto json =
      nlohmann::json::parse(response.assume_value().body, nullptr, false);
  if (response.assume_value().status != 200 || !json.is_object()) {
    return MakeError(ErrorKind::kUnavailable,
                     "engine " + engine.ToString() + ": status " +
                         std::to_string(response.assume_value().status));
  }
  return json;
}

Result<EngineState> HttpEngineControl::ReadState(const Address& engine) {
  BOOST_OUTCOME_TRY(json, ReadJson(engine, "/control/state"));
  try {
    return ParseState(json);
  } catch (const nlohmann::json::exception& error) {
    return MakeError(ErrorKind::kUnavailable,
                     "engine " + engine.ToString() + ": " + error.what());
  }
}

Result<EngineLoad> HttpEngineControl::ReadLoad(const Address& engine) {
  BOOST_OUTCOME_TRY(json, ReadJson(engine, "/control/load"));
  return EngineLoad{json.value("running", 0U), json.value("waiting", 0U),
                    json.value("capacity", 0U)};
}

Result<std::vector<CacheEvent>> HttpEngineControl::ReadCacheEvents(
    const Address& engine,
    std::uint64_t after) {
  BOOST_OUTCOME_TRY(json, ReadJson(engine, "/control/cache-events?after=" +
                                               std::to_string(after)));
  std::vector<CacheEvent> events;
  try {
    for (const auto& it : json.at("events")) {
      events.push_back({it.at("sequence").get<std::uint64_t>(),
                        it.at("kind") == "stored",
                        it.at("block").get<std::uint64_t>()});
    }
  } catch (const nlohmann::json::exception& error) {
    return MakeError(ErrorKind::kUnavailable,
                     "engine " + engine.ToString() + ": " + error.what());
  }
  return events;
}

}  // namespace tanagerloom
