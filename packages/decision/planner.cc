#include "decision/planner.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>

namespace tanagerloom {

namespace {

// One replica that demand asks for.
struct Want {
  ModelKey key;
  std::uint32_t replica_number = 0;  // 0 for the first one.
  ModelDemand demand;
  std::uint64_t extra_mb = 0;  // Room to keep for an adapter.
};

std::uint32_t CountUsable(const CellRecord& record, const ModelKey& key) {
  std::uint32_t count = 0;
  for (const auto& [id, server] : record.servers) {
    const auto* replica = server.Find(key);
    if (replica != nullptr && !server.leaving &&
        replica->state != ReplicaState::kUnloading) {
      ++count;
    }
  }
  return count;
}

std::uint32_t Desired(const ModelDemand& demand,
                      std::uint32_t limit,
                      std::uint32_t requests_per_replica) {
  if (demand.waiting == 0) {
    return 0;
  }
  const auto requests = demand.waiting + demand.running;
  const auto count =
      (requests + requests_per_replica - 1) / requests_per_replica;
  return std::min(limit, std::max(1U, count));
}

// First replicas come before further ones; then the rank, the deadline and the
// number of waiting requests decide.
auto Urgency(const Want& want) {
  const auto deadline = want.demand.deadline_ms == 0
                            ? std::numeric_limits<std::uint64_t>::max()
                            : want.demand.deadline_ms;
  return std::tuple(
      want.replica_number, want.demand.rank, deadline,
      std::numeric_limits<std::uint32_t>::max() - want.demand.waiting);
}

void AddWants(const PlanInput& input,
              const ModelKey& key,
              const ModelDemand& demand,
              std::uint64_t extra_mb,
              std::vector<Want>& wants) {
  const auto allowance = AllowanceOf(input.estate, key);
  const auto desired =
      Desired(demand, allowance.replica_limit, input.requests_per_replica);
  const auto have = CountUsable(input.record, key);
  for (auto n = have; n < desired; ++n) {
    wants.push_back({key, n, demand, extra_mb});
  }
}

std::vector<Want> ListWants(const PlanInput& input) {
  std::vector<Want> wants;
  for (const auto& [key, demand] : input.demand) {
    if (!key.adapter.empty() && CountUsable(input.record, key.Base()) == 0) {
      const auto extra = AllowanceOf(input.estate, key).memory_mb;
      auto base_demand = demand;
      base_demand.waiting = std::min(1U, demand.waiting);
      base_demand.running = 0;
      if (!input.demand.contains(key.Base())) {
        AddWants(input, key.Base(), base_demand, extra, wants);
      }
      continue;
    }
    AddWants(input, key, demand, 0, wants);
  }
  std::ranges::stable_sort(wants, {}, Urgency);
  return wants;
}

bool IsUsable(const PlanInput& input, const std::string& id) {
  const auto it = input.servers.find(id);
  return it != input.servers.end() && it->second.listed &&
         !it->second.leaving && it->second.reachable &&
         it->second.report.has_value() && !it->second.report->leaving;
}

bool HoldsLoadedBase(const ServerRecord& server, const ModelKey& key) {
  const auto* base = server.Find(key.Base());
  return base != nullptr && base->state == ReplicaState::kLoaded;
}

// Lower is better: the fastest source, then the emptiest server.
auto PlacementCost(const PlanInput& input,
                   const std::string& id,
                   const ServerRecord& server,
                   const ModelKey& key) {
  const auto share =
      server.memory_mb == 0
          ? 1.0
          : static_cast<double>(server.ReservedMb()) / server.memory_mb;
  return std::tuple(static_cast<int>(SourceOn(input.servers, id, key)), share,
                    id);
}

std::optional<std::string> ChooseServer(const PlanInput& input,
                                        const CellRecord& record,
                                        const Want& want,
                                        std::uint64_t memory_mb) {
  std::optional<std::string> best;
  for (const auto& [id, server] : record.servers) {
    if (!IsUsable(input, id) || server.leaving ||
        server.Find(want.key) != nullptr ||
        server.FreeMb() < memory_mb + want.extra_mb) {
      continue;
    }
    if (!want.key.adapter.empty() && !HoldsLoadedBase(server, want.key)) {
      continue;
    }
    if (!best ||
        PlacementCost(input, id, server, want.key) <
            PlacementCost(input, *best, record.servers.find(*best)->second,
                          want.key)) {
      best = id;
    }
  }
  return best;
}

}  // namespace

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

Plan PlanCell(const PlanInput& input) {
  Plan plan;
  auto trial = input.record;
  auto remote_left = input.remote_loads_allowed;
  for (const auto& want : ListWants(input)) {
    const auto allowance = AllowanceOf(input.estate, want.key);
    const auto server = ChooseServer(input, trial, want, allowance.memory_mb);
    if (!server) {
      continue;
    }
    const auto source = SourceOn(input.servers, *server, want.key);
    const bool uses_store =
        source == WeightSource::kRemote && want.key.adapter.empty();
    if (uses_store && remote_left == 0) {
      continue;
    }
    const LoadDecision decision{.server = *server,
                                .key = want.key,
                                .memory_mb = allowance.memory_mb,
                                .replica_limit = allowance.replica_limit,
                                .source = source,
                                .reason = DecisionReason::kDemand};
    if (!DecideLoad(trial, decision, {})) {
      continue;
    }
    remote_left -= uses_store ? 1 : 0;
    plan.loads.push_back(decision);
  }
  return plan;
}

}  // namespace tanagerloom
