#include "control/operator_use.h"

#include <cstdint>
#include <map>
#include <string>

namespace tanagerloom {

namespace {

using nlohmann::json;

struct Use {
  std::uint64_t models = 0;
  std::uint64_t adapters = 0;
  std::uint64_t replicas_held = 0;
  std::uint64_t memory_held_mb = 0;
  std::uint64_t replicas_limit = 0;
  std::uint64_t memory_limit_mb = 0;
};

using UseMap = std::map<std::string, Use, std::less<>>;

void AddOffered(const ModelSpec& model, Use& use) {
  ++use.models;
  use.replicas_limit += model.replica_limit;
  use.memory_limit_mb += model.replica_limit * model.memory_mb;
  for (const auto& it : model.adapters) {
    ++use.adapters;
    use.replicas_limit += it.second.replica_limit;
    use.memory_limit_mb += it.second.replica_limit * it.second.memory_mb;
  }
}

/// Adds the replicas of one server of a record. A model that was taken out of
/// the configuration belongs to nobody and is left out.
void AddHeld(const Estate& estate, const json& server, UseMap& uses) {
  for (const auto& it : server.value("replicas", json::array())) {
    const auto model = estate.models.find(it.value("model", ""));
    if (model == estate.models.end()) {
      continue;
    }
    auto& use = uses[model->second.operator_name];
    ++use.replicas_held;
    use.memory_held_mb += it.value("memory_mb", std::uint64_t{0});
  }
}

json Granted(const std::optional<std::uint64_t>& value) {
  return value ? json(*value) : json(nullptr);
}

}  // namespace

json UseByOperator(const Estate& estate, const json& placement) {
  UseMap uses;
  for (const auto& it : estate.operators) {
    uses[it.first];
  }
  for (const auto& it : estate.models) {
    AddOffered(it.second, uses[it.second.operator_name]);
  }
  for (const auto& cell : placement.value("cells", json::array())) {
    for (const auto& server : cell.value("servers", json::object())) {
      AddHeld(estate, server, uses);
    }
  }
  json out = json::object();
  for (const auto& [name, use] : uses) {
    const auto grant = estate.operators.find(name);
    const bool known = grant != estate.operators.end();
    out[name] = {
        {"models", use.models},
        {"adapters", use.adapters},
        {"replicas_held", use.replicas_held},
        {"memory_held_mb", use.memory_held_mb},
        {"replicas_limit", use.replicas_limit},
        {"memory_limit_mb", use.memory_limit_mb},
        {"reserved_memory_mb",
         known ? Granted(grant->second.reserved_memory_mb) : json(nullptr)},
        {"replicas_granted",
         known ? Granted(grant->second.replicas) : json(nullptr)}};
  }
  return out;
}

}  // namespace tanagerloom
