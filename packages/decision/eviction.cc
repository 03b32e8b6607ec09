#include "decision/eviction.h"

#include <algorithm>

namespace tanagerloom {

namespace {

// Time within which a cold start counts as a cost of the eviction.
constexpr double kHorizonS = 600;
// Load time from a cached copy as a fraction of a load from the weight store.
// The real load time is not configured; one half makes models with a cached
// copy cheaper to evict than others.
constexpr double kCachedLoadRatio = 0.5;
// Adapters load within several milliseconds.
constexpr double kAdapterLoadS = 0.01;
// Older load reports don't prove that an engine is unused.
constexpr std::uint64_t kMaxLoadReportAgeMs = 2000;

bool ReportsNoLoad(const EvictionInput& input, const std::string& engine) {
  const auto it = input.engines.find(engine);
  return it != input.engines.end() && it->second.load &&
         it->second.load->running == 0 && it->second.load->waiting == 0 &&
         input.now_ms <= it->second.load->read_started_ms + kMaxLoadReportAgeMs;
}

// Returns the base with its adapters; empty if one of them is still loading.
std::optional<EvictionGroup> GroupOf(const EvictionInput& input,
                                     const std::string& engine_id,
                                     const EngineRecord& engine,
                                     const ReplicaRecord& base) {
  EvictionGroup group;
  for (const auto& it : engine.replicas) {
    if (it.key.adapter.empty() || it.key.Base() != base.key ||
        it.state == ReplicaState::kUnloading) {
      continue;
    }
    if (it.state == ReplicaState::kLoading) {
      return std::nullopt;
    }
    group.keys.push_back(it.key);
    group.memory_mb += it.memory_mb;
    group.cost += EvictionCost(input, engine_id, it.key);
  }
  group.keys.push_back(base.key);
  group.memory_mb += base.memory_mb;
  group.cost += EvictionCost(input, engine_id, base.key);
  return group;
}

}  // namespace

std::set<ModelKey> UsedKeys(const std::map<ModelKey, ModelDemand>& demand) {
  std::set<ModelKey> used;
  for (const auto& [key, it] : demand) {
    used.insert(key);
    used.insert(key.Base());
  }
  return used;
}

std::map<ModelKey, std::uint32_t> CountReplicas(const CellRecord& record) {
  std::map<ModelKey, std::uint32_t> counts;
  for (const auto& [id, engine] : record.engines) {
    for (const auto& it : engine.replicas) {
      ++counts[it.key];
    }
  }
  return counts;
}

bool IsUnused(const EvictionInput& input,
              const std::string& engine,
              const ModelKey& key) {
  return !input.used.contains(key) &&
         (input.demand_is_complete || ReportsNoLoad(input, engine));
}

KeepAliveCosts CostsOf(const Estate& estate,
                       const EngineStatusMap& engines,
                       const std::string& engine,
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
  } else if (FastestSource(engines, engine, key) != WeightSource::kRemote) {
    costs.cold_start_s *= kCachedLoadRatio;
  }
  const auto pool = estate.pools.find(model->second.pool);
  if (pool != estate.pools.end()) {
    costs.cold_start_cost_per_s = pool->second.cold_start_cost_per_s;
    costs.idle_cost_per_hour = pool->second.idle_cost_per_hour;
  }
  return costs;
}

double EvictionCost(const EvictionInput& input,
                    const std::string& engine,
                    const ModelKey& key) {
  static const ArrivalHistory unknown;
  const auto it = input.histories.find(key);
  const auto& history = it == input.histories.end() ? unknown : it->second;
  const auto idle_s = history.IdleSeconds(input.now_ms);
  if (std::holds_alternative<FixedKeepAlive>(input.policy)) {
    return 1 / (1 + idle_s);
  }
  const auto costs = CostsOf(input.estate, input.engines, engine, key);
  const auto count = input.replica_counts.find(key);
  return history.EstimateArrival(idle_s, kHorizonS).probability *
         costs.cold_start_s * costs.cold_start_cost_per_s /
         (count == input.replica_counts.end() ? 1U : count->second);
}

std::vector<EvictionGroup> ListEvictionGroups(const EvictionInput& input,
                                              const std::string& engine_id,
                                              const EngineRecord& engine) {
  std::vector<EvictionGroup> groups;
  for (const auto& it : engine.replicas) {
    if (input.unstarted_standby_orders.contains(it.order) &&
        !input.used.contains(it.key)) {
      groups.push_back({{it.key}, it.memory_mb, 0});
      continue;
    }
    if (it.state != ReplicaState::kLoaded ||
        !IsUnused(input, engine_id, it.key)) {
      continue;
    }
    if (!it.key.adapter.empty()) {
      groups.push_back(
          {{it.key}, it.memory_mb, EvictionCost(input, engine_id, it.key)});
    } else if (auto group = GroupOf(input, engine_id, engine, it)) {
      groups.push_back(std::move(*group));
    }
  }
  std::ranges::stable_sort(groups, {}, [](const EvictionGroup& it) {
    return it.cost /
           static_cast<double>(std::max<std::uint64_t>(1, it.memory_mb));
  });
  return groups;
}

std::optional<Eviction> ChooseEviction(const std::vector<EvictionGroup>& groups,
                                       const EngineRecord& engine,
                                       std::uint64_t need_mb,
                                       const ModelKey& base_to_keep) {
  Eviction eviction;
  std::uint64_t freed_mb = 0;
  for (const auto& group : groups) {
    if (freed_mb >= need_mb) {
      break;
    }
    if (group.keys.back() == base_to_keep) {
      continue;
    }
    for (const auto& key : group.keys) {
      // An adapter may already be chosen as a group of its own.
      if (std::ranges::find(eviction.keys, key) == eviction.keys.end()) {
        freed_mb += engine.Find(key)->memory_mb;
        eviction.keys.push_back(key);
      }
    }
    eviction.cost += group.cost;
  }
  return freed_mb >= need_mb ? std::optional(std::move(eviction))
                             : std::nullopt;
}

WeightSource FastestSource(const EngineStatusMap& engines,
                           const std::string& engine,
                           const ModelKey& key) {
  const auto it = engines.find(engine);
  if (!key.adapter.empty() || it == engines.end() || !it->second.report) {
    return WeightSource::kRemote;
  }
  const auto cached = it->second.report->cached.find(key.model);
  return cached == it->second.report->cached.end() ? WeightSource::kRemote
                                                   : cached->second;
}

}  // namespace tanagerloom
