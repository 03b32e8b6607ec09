#include "decision/eviction.h"

#include <algorithm>

namespace tanagerloom {

namespace {

// How far ahead a cold start counts against an eviction.
constexpr double kHorizonS = 600;
// How fast a cached checkpoint loads is not configured; half the time of a
// remote load keeps cached models cheaper to evict than others.
constexpr double kCachedLoadShare = 0.5;
// Adapters load in several milliseconds.
constexpr double kAdapterLoadS = 0.01;
// Older load reports don't show that a server is unused.
constexpr std::uint64_t kLoadReportAgeMs = 2000;

// Replicas that are evicted together.
struct Group {
  std::vector<ModelKey> keys;  // Adapters before their base.
  std::uint64_t memory_mb = 0;
  double cost = 0;
};

bool ReportsNoLoad(const EvictionInput& input, const std::string& server) {
  const auto it = input.servers.find(server);
  return it != input.servers.end() && it->second.load &&
         it->second.load->running == 0 && it->second.load->waiting == 0 &&
         input.now_ms <= it->second.load->read_started_ms + kLoadReportAgeMs;
}

// The base with its adapters; empty if one of them is in use or still loading.
std::optional<Group> GroupOf(const EvictionInput& input,
                             const CellRecord& record,
                             const std::string& server_id,
                             const ModelKey& base) {
  const auto& server = record.servers.find(server_id)->second;
  Group group;
  for (const auto& it : server.replicas) {
    if (it.key.adapter.empty() || it.key.Base() != base ||
        it.state == ReplicaState::kUnloading) {
      continue;
    }
    if (it.state == ReplicaState::kLoading) {
      return std::nullopt;
    }
    group.keys.push_back(it.key);
    group.memory_mb += it.memory_mb;
    group.cost += EvictionCost(input, record, server_id, it.key);
  }
  group.keys.push_back(base);
  group.memory_mb += server.Find(base)->memory_mb;
  group.cost += EvictionCost(input, record, server_id, base);
  return group;
}

std::vector<Group> ListGroups(const EvictionInput& input,
                              const CellRecord& record,
                              const std::string& server_id,
                              const ModelKey& keep) {
  std::vector<Group> groups;
  for (const auto& it : record.servers.find(server_id)->second.replicas) {
    if (it.state != ReplicaState::kLoaded || it.key == keep ||
        !IsUnused(input, server_id, it.key)) {
      continue;
    }
    if (!it.key.adapter.empty()) {
      groups.push_back({{it.key},
                        it.memory_mb,
                        EvictionCost(input, record, server_id, it.key)});
    } else if (auto group = GroupOf(input, record, server_id, it.key)) {
      groups.push_back(std::move(*group));
    }
  }
  std::ranges::stable_sort(groups, {}, [](const Group& it) {
    return it.cost /
           static_cast<double>(std::max<std::uint64_t>(1, it.memory_mb));
  });
  return groups;
}

}  // namespace

bool IsUnused(const EvictionInput& input,
              const std::string& server,
              const ModelKey& key) {
  for (const auto& [other, demand] : input.demand) {
    if (other == key || (key.adapter.empty() && other.Base() == key)) {
      return false;
    }
  }
  return input.demand_is_complete || ReportsNoLoad(input, server);
}

KeepAliveCosts CostsOf(const Estate& estate,
                       const ServerFactsMap& servers,
                       const std::string& server,
                       const ModelKey& key) {
  KeepAliveCosts costs;
  const auto model = estate.models.find(key.model);
  if (model == estate.models.end()) {
    return costs;
  }
  costs.cold_start_s =
      static_cast<double>(model->second.expected_load.count()) / 1000;
  if (!key.adapter.empty()) {
    costs.cold_start_s = kAdapterLoadS;
  } else if (SourceOn(servers, server, key) != WeightSource::kRemote) {
    costs.cold_start_s *= kCachedLoadShare;
  }
  const auto pool = estate.pools.find(model->second.pool);
  if (pool != estate.pools.end()) {
    costs.cold_start_cost_per_s = pool->second.cold_start_cost_per_s;
    costs.idle_cost_per_hour = pool->second.idle_cost_per_hour;
  }
  return costs;
}

double EvictionCost(const EvictionInput& input,
                    const CellRecord& record,
                    const std::string& server,
                    const ModelKey& key) {
  const auto it = input.histories.find(key);
  const auto unknown = ArrivalHistory();
  const auto& history = it == input.histories.end() ? unknown : it->second;
  const auto idle_s = history.IdleSeconds(input.now_ms);
  if (std::holds_alternative<FixedKeepAlive>(input.policy)) {
    return 1 / (1 + idle_s);
  }
  const auto costs = CostsOf(input.estate, input.servers, server, key);
  return history.Chance(idle_s, kHorizonS).probability * costs.cold_start_s *
         costs.cold_start_cost_per_s / std::max(1U, record.CountReplicas(key));
}

std::optional<Eviction> ChooseEviction(const EvictionInput& input,
                                       const CellRecord& record,
                                       const std::string& server,
                                       std::uint64_t need_mb,
                                       const ModelKey& keep) {
  Eviction eviction;
  std::uint64_t freed_mb = 0;
  for (const auto& group : ListGroups(input, record, server, keep)) {
    if (freed_mb >= need_mb) {
      break;
    }
    for (const auto& key : group.keys) {
      const UnloadChoice choice{server, key};
      // An adapter may have been chosen alone before its base.
      if (std::ranges::find(eviction.unloads, choice) !=
          eviction.unloads.end()) {
        continue;
      }
      freed_mb += record.servers.find(server)->second.Find(key)->memory_mb;
      eviction.unloads.push_back(choice);
    }
    eviction.cost += group.cost;
  }
  return freed_mb >= need_mb ? std::optional(std::move(eviction))
                             : std::nullopt;
}

WeightSource SourceOn(const ServerFactsMap& servers,
                      const std::string& server,
                      const ModelKey& key) {
  const auto it = servers.find(server);
  if (!key.adapter.empty() || it == servers.end() || !it->second.report) {
    return WeightSource::kRemote;
  }
  const auto cached = it->second.report->cached.find(key.model);
  return cached == it->second.report->cached.end() ? WeightSource::kRemote
                                                   : cached->second;
}

}  // namespace tanagerloom
