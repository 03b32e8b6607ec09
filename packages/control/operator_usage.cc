#include "control/operator_usage.h"

#include <cstdint>
#include <map>
#include <string>

namespace tanagerloom {

namespace {

using nlohmann::json;

struct Usage {
  std::uint64_t models = 0;
  std::uint64_t adapters = 0;
  std::uint64_t replicas_held = 0;
  std::uint64_t memory_held_mb = 0;
  std::uint64_t replicas_limit = 0;
  std::uint64_t memory_limit_mb = 0;
};

using UsageMap = std::map<std::string, Usage, std::less<>>;

void AddOfferedModel(const ModelSpec& model, Usage& usage) {
  ++usage.models;
  usage.replicas_limit += model.replica_limit;
  usage.memory_limit_mb += model.replica_limit * model.memory_mb;
  for (const auto& it : model.adapters) {
    ++usage.adapters;
    usage.replicas_limit += it.second.replica_limit;
    usage.memory_limit_mb += it.second.replica_limit * it.second.memory_mb;
  }
}

/// Adds the replicas of one engine of a placement record. Replicas of a model
/// that is no longer in the configuration belong to no operator and are
/// ignored.
void AddPlacedReplicas(const Estate& estate,
                       const json& engine,
                       UsageMap& usages) {
  for (const auto& it : engine.value("replicas", json::array())) {
    const auto model = estate.models.find(it.value("model", ""));
    if (model == estate.models.end()) {
      continue;
    }
    auto& usage = usages[model->second.operator_name];
    ++usage.replicas_held;
    usage.memory_held_mb += it.value("memory_mb", std::uint64_t{0});
  }
}

json LimitJson(const std::optional<std::uint64_t>& value) {
  return value ? json(*value) : json(nullptr);
}

}  // namespace

json UsageByOperator(const Estate& estate, const json& placement) {
  UsageMap usages;
  for (const auto& it : estate.operators) {
    usages[it.first];
  }
  for (const auto& it : estate.models) {
    AddOfferedModel(it.second, usages[it.second.operator_name]);
  }
  for (const auto& cell : placement.value("cells", json::array())) {
    for (const auto& engine : cell.value("servers", json::object())) {
      AddPlacedReplicas(estate, engine, usages);
    }
  }
  json out = json::object();
  for (const auto& [name, usage] : usages) {
    const auto grant = estate.operators.find(name);
    const bool known = grant != estate.operators.end();
    out[name] = {
        {"models", usage.models},
        {"adapters", usage.adapters},
        {"replicas_held", usage.replicas_held},
        {"memory_held_mb", usage.memory_held_mb},
        {"replicas_limit", usage.replicas_limit},
        {"memory_limit_mb", usage.memory_limit_mb},
        {"reserved_memory_mb",
         known ? LimitJson(grant->second.reserved_memory_mb) : json(nullptr)},
        {"replicas_granted",
         known ? LimitJson(grant->second.replicas) : json(nullptr)}};
  }
  return out;
}

}  // namespace tanagerloom
