#include "load/workload.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <random>

namespace tanagerloom {

namespace {

using Json = nlohmann::json;

TrafficSpec ParseTraffic(const Json& json) {
  TrafficSpec traffic;
  traffic.name = json.at("name").get<std::string>();
  traffic.precedence = json.value("class", "");
  traffic.client_key = json.at("caller_key").get<std::string>();
  traffic.models = json.value("models", std::vector<std::string>());
  traffic.service = json.value("service", "");
  traffic.service_path = json.value("path", "/");
  traffic.retryable = json.value("repeatable", true);
  traffic.stream = json.value("stream", true);
  traffic.requests_per_s = json.at("requests_per_s").get<double>();
  traffic.start_s = json.value("start_s", 0.0);
  traffic.end_s = json.at("end_s").get<double>();
  traffic.zipf_exponent = json.value("skew", 0.0);
  traffic.prompt_bytes = json.value("prompt_bytes", 200U);
  traffic.shared_prefix_bytes = json.value("shared_prefix_bytes", 0U);
  traffic.max_tokens = json.value("max_tokens", 16U);
  traffic.deadline =
      std::chrono::milliseconds(json.value("deadline_ms", 30000));
  return traffic;
}

// Returns the weights of a Zipf distribution over `count` items.
std::vector<double> ZipfWeights(std::size_t count, double zipf_exponent) {
  std::vector<double> weights(count);
  for (std::size_t i = 0; i < count; ++i) {
    weights[i] = 1.0 / std::pow(static_cast<double>(i + 1), zipf_exponent);
  }
  return weights;
}

// Returns a prompt whose prefix is shared by all requests of a model, so that
// prompt caches can reuse it, and whose rest differs between requests.
std::string MakePrompt(const TrafficSpec& traffic,
                       const std::string& model,
                       std::uint64_t number) {
  std::string prompt;
  while (prompt.size() < traffic.shared_prefix_bytes) {
    prompt += "context of " + model + "; ";
  }
  prompt.resize(traffic.shared_prefix_bytes);
  prompt += "request " + std::to_string(number) + " ";
  while (prompt.size() < traffic.prompt_bytes) {
    prompt += "word ";
  }
  return prompt;
}

PlannedRequest PlanModelRequest(const TrafficSpec& traffic,
                                const std::string& model,
                                std::uint64_t number) {
  PlannedRequest planned;
  planned.target = "/v1/chat/completions";
  planned.body = Json{{"model", model},
                      {"stream", traffic.stream},
                      {"max_tokens", traffic.max_tokens},
                      {"messages",
                       {{{"role", "user"},
                         {"content", MakePrompt(traffic, model, number)}}}}}
                     .dump();
  return planned;
}

PlannedRequest PlanServiceRequest(const WorkloadSpec& spec,
                                  const TrafficSpec& traffic,
                                  std::uint64_t number) {
  PlannedRequest planned;
  planned.target = "/services/" + traffic.service + traffic.service_path;
  planned.body = Json{{"number", number}}.dump();
  if (!traffic.retryable) {
    planned.idempotency_key = spec.name + "-" + std::to_string(spec.seed) +
                              "-" + traffic.name + "-" + std::to_string(number);
  }
  return planned;
}

// Appends the arrivals of one stream. Each stream has its own random sequence,
// so that it does not depend on the others.
void PlanTraffic(const WorkloadSpec& spec,
                 std::size_t index,
                 std::vector<PlannedRequest>& out) {
  const TrafficSpec& traffic = spec.traffic[index];
  std::mt19937_64 random(spec.seed * 1000003 + index);
  std::exponential_distribution<double> gap(traffic.requests_per_s);
  const auto weights =
      ZipfWeights(traffic.models.size(), traffic.zipf_exponent);
  std::discrete_distribution<std::size_t> choose(weights.begin(),
                                                 weights.end());
  std::uint64_t number = 0;
  for (double at = traffic.start_s + gap(random); at < traffic.end_s;
       at += gap(random)) {
    auto planned = traffic.models.empty()
                       ? PlanServiceRequest(spec, traffic, ++number)
                       : PlanModelRequest(
                             traffic, traffic.models[choose(random)], ++number);
    planned.send_offset =
        std::chrono::nanoseconds(static_cast<std::int64_t>(at * 1e9));
    planned.traffic_index = index;
    out.push_back(std::move(planned));
  }
}

}  // namespace

Result<WorkloadSpec> ParseWorkload(std::string_view text) {
  try {
    const auto json = Json::parse(text, nullptr, true, true);
    WorkloadSpec spec;
    spec.name = json.at("name").get<std::string>();
    spec.seed = json.value("seed", std::uint64_t{1});
    for (const auto& it : json.at("traffic")) {
      auto traffic = ParseTraffic(it);
      if (traffic.requests_per_s <= 0 || traffic.end_s <= traffic.start_s) {
        return MakeError(ErrorKind::kInvalid,
                         "traffic " + traffic.name +
                             ": requests_per_s must be above 0 and end_s "
                             "above start_s");
      }
      if (traffic.models.empty() == traffic.service.empty()) {
        return MakeError(
            ErrorKind::kInvalid,
            "traffic " + traffic.name + ": give either models or a service");
      }
      spec.traffic.push_back(std::move(traffic));
    }
    return spec;
  } catch (const Json::exception& error) {
    return MakeError(ErrorKind::kInvalid,
                     std::string("workload: ") + error.what());
  }
}

std::vector<PlannedRequest> PlanArrivals(const WorkloadSpec& spec) {
  std::vector<PlannedRequest> out;
  for (std::size_t i = 0; i < spec.traffic.size(); ++i) {
    PlanTraffic(spec, i, out);
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const PlannedRequest& a, const PlannedRequest& b) {
                     return a.send_offset < b.send_offset;
                   });
  return out;
}

}  // namespace tanagerloom
