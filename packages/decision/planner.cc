#include "decision/planner.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace tanagerloom {

namespace {

constexpr std::uint64_t kNever = std::numeric_limits<std::uint64_t>::max();
// A replica stays at least this many cold starts long, so that a wrong estimate
// can't load and unload it in turn.
constexpr double kShortestStayColdStarts = 2;
// Reservations cost a write each time they change, and memory that others get
// only after an unload order.
constexpr std::size_t kStandbyReplicas = 4;

// One replica to load.
struct Want {
  ModelKey key;
  std::uint32_t replica_number = 0;  // 0 for the first one.
  ModelDemand demand;
  std::uint64_t extra_mb = 0;  // Room to keep for an adapter.
  DecisionReason reason = DecisionReason::kDemand;
};

// Makes one plan; `trial_` is the record with the choices so far applied.
class Planner {
 public:
  explicit Planner(const PlanInput& input)
      : input_(input),
        trial_(input.record),
        remote_left_(input.remote_loads_allowed),
        adapters_left_(input.adapter_loads_allowed),
        used_(UsedKeys(input.demand)),
        replica_counts_(CountReplicas(input.record)) {
    for (const auto& [id, server] : input.record.servers) {
      unrecorded_mb_[id] = UnrecordedMb(id, server);
    }
  }

  Plan Run() {
    UnloadFromLeavingServers();
    UnloadIdle();
    for (const auto& want : ListWants()) {
      Place(want);
    }
    if (plan_.loads.empty() && plan_.waiting_for_slots == 0) {
      Prewarm();
      ReserveStandby();
    }
    return std::move(plan_);
  }

 private:
  EvictionInput Evictions() const {
    return {.estate = input_.estate,
            .used = used_,
            .replica_counts = replica_counts_,
            .dormant = input_.dormant,
            .servers = input_.servers,
            .histories = input_.histories,
            .policy = input_.policy,
            .now_ms = input_.now_ms,
            .demand_is_complete = input_.demand_is_complete};
  }

  bool IsUsable(const std::string& id) const {
    const auto it = input_.servers.find(id);
    return it != input_.servers.end() && it->second.listed &&
           !it->second.leaving && it->second.reachable &&
           it->second.report.has_value() && !it->second.report->leaving;
  }

  std::uint32_t CountUsable(const ModelKey& key) const {
    std::uint32_t count = 0;
    for (const auto& [id, server] : trial_.servers) {
      const auto* replica = server.Find(key);
      if (replica != nullptr && !server.leaving && IsUsable(id) &&
          replica->state != ReplicaState::kUnloading) {
        ++count;
      }
    }
    return count;
  }

  std::uint32_t CountStaying(const ModelKey& key) const {
    std::uint32_t count = 0;
    for (const auto& [id, server] : trial_.servers) {
      const auto* replica = server.Find(key);
      if (replica != nullptr && replica->state != ReplicaState::kUnloading) {
        ++count;
      }
    }
    return count;
  }

  std::uint32_t Desired(const ModelDemand& demand, std::uint32_t limit) const {
    if (demand.waiting == 0) {
      return 0;
    }
    const auto requests = demand.waiting + demand.running;
    const auto count = (requests + input_.requests_per_replica - 1) /
                       input_.requests_per_replica;
    return std::min(limit, std::max(1U, count));
  }

  void AddWants(const ModelKey& key,
                const ModelDemand& demand,
                std::uint64_t extra_mb,
                std::vector<Want>& wants) const {
    const auto failures = input_.record.failures.find(key);
    if (failures != input_.record.failures.end() &&
        input_.wall_ms <
            failures->second.KeyRetryMs(input_.record.servers.size())) {
      return;
    }
    const auto allowance = AllowanceOf(input_.estate, key);
    const auto desired = Desired(demand, allowance.replica_limit);
    for (auto n = CountUsable(key); n < desired; ++n) {
      wants.push_back({key, n, demand, extra_mb});
    }
  }

  // First replicas come before further ones; then the rank, the deadline and
  // the number of waiting requests decide. The baseline policy takes them in
  // the order of arrival.
  auto Urgency(const Want& want) const {
    if (std::holds_alternative<FixedKeepAlive>(input_.policy)) {
      return std::tuple(0U, 0U, want.demand.since_ms, 0U);
    }
    const auto deadline =
        want.demand.deadline_ms == 0 ? kNever : want.demand.deadline_ms;
    return std::tuple(
        want.replica_number, want.demand.rank, deadline,
        std::numeric_limits<std::uint32_t>::max() - want.demand.waiting);
  }

  std::vector<Want> ListWants() const {
    std::vector<Want> wants;
    for (const auto& [key, demand] : input_.demand) {
      if (key.adapter.empty() || CountUsable(key.Base()) > 0) {
        AddWants(key, demand, 0, wants);
      } else if (!input_.demand.contains(key.Base())) {
        auto base_demand = demand;
        base_demand.waiting = std::min(1U, demand.waiting);
        base_demand.running = 0;
        AddWants(key.Base(), base_demand,
                 AllowanceOf(input_.estate, key).memory_mb, wants);
      }
    }
    std::ranges::stable_sort(wants, {},
                             [this](const Want& it) { return Urgency(it); });
    // Adapters of one base may each ask for its first replica.
    std::set<std::pair<ModelKey, std::uint32_t>> seen;
    std::erase_if(wants, [&](const Want& it) {
      return !seen.emplace(it.key, it.replica_number).second;
    });
    return wants;
  }

  bool CanHold(const std::string& id, const Want& want) const {
    const auto& server = trial_.servers.find(id)->second;
    if (!IsUsable(id) || server.leaving || server.Find(want.key) != nullptr) {
      return false;
    }
    const auto failures = input_.record.failures.find(want.key);
    if (failures != input_.record.failures.end() &&
        input_.wall_ms < failures->second.ServerRetryMs(id)) {
      return false;
    }
    if (want.key.adapter.empty()) {
      return true;
    }
    const auto* base = server.Find(want.key.Base());
    return base != nullptr && base->state == ReplicaState::kLoaded;
  }

  // Free memory that is not promised to a more urgent want, and with it the
  // memory that unloading replicas will free.
  std::pair<std::uint64_t, std::uint64_t> Room(const std::string& id) const {
    const auto& server = trial_.servers.find(id)->second;
    std::uint64_t unloading = 0;
    for (const auto& it : server.replicas) {
      unloading += it.state == ReplicaState::kUnloading ? it.memory_mb : 0;
    }
    const auto it = promised_mb_.find(id);
    const auto taken =
        (it == promised_mb_.end() ? 0 : it->second) + unrecorded_mb_.at(id);
    const auto total = server.FreeMb() + unloading;
    const auto later = total > taken ? total - taken : 0;
    return {std::min(server.FreeMb(), later), later};
  }

  // Memory that the engine uses for what the record does not list.
  std::uint64_t UnrecordedMb(const std::string& id,
                             const ServerRecord& server) const {
    const auto facts = input_.servers.find(id);
    if (facts == input_.servers.end() || !facts->second.report) {
      return 0;
    }
    std::uint64_t recorded = 0;
    for (const auto& it : server.replicas) {
      recorded +=
          facts->second.report->Find(it.key) != nullptr ? it.memory_mb : 0;
    }
    const auto used = facts->second.report->used_mb;
    return used > recorded ? used - recorded : 0;
  }

  // Lower is better: the fastest source, then the emptiest server.
  auto PlacementCost(const std::string& id, const ModelKey& key) const {
    const auto& server = trial_.servers.find(id)->second;
    const auto share = server.memory_mb == 0
                           ? 1.0
                           : static_cast<double>(server.ReservedMb()) /
                                 static_cast<double>(server.memory_mb);
    return std::tuple(static_cast<int>(SourceOn(input_.servers, id, key)),
                      share, id);
  }

  std::optional<std::string> ChooseServer(const Want& want,
                                          std::uint64_t need_mb) const {
    std::optional<std::string> best;
    for (const auto& [id, server] : trial_.servers) {
      if (CanHold(id, want) && Room(id).first >= need_mb &&
          (!best ||
           PlacementCost(id, want.key) < PlacementCost(*best, want.key))) {
        best = id;
      }
    }
    return best;
  }

  void Place(const Want& want) {
    const auto allowance = AllowanceOf(input_.estate, want.key);
    const auto need_mb = allowance.memory_mb + want.extra_mb;
    if (trial_.CountReplicas(want.key) >= allowance.replica_limit) {
      return;
    }
    const auto server = ChooseServer(want, need_mb);
    if (!server) {
      if (want.reason == DecisionReason::kDemand) {
        MakeRoom(want, need_mb);
      }
      return;
    }
    const auto source = SourceOn(input_.servers, *server, want.key);
    auto* left = want.reason == DecisionReason::kStandby
                     ? nullptr
                     : LimitOf(want.key, source);
    if (left != nullptr && *left == 0) {
      ++plan_.waiting_for_slots;
      promised_mb_[*server] += need_mb;
      return;
    }
    const LoadDecision decision{.server = *server,
                                .key = want.key,
                                .memory_mb = allowance.memory_mb,
                                .replica_limit = allowance.replica_limit,
                                .source = source,
                                .reason = want.reason,
                                .order = ""};
    if (DecideLoad(trial_, decision, {})) {
      if (left != nullptr) {
        --*left;
      }
      plan_.loads.push_back(decision);
    }
  }

  std::uint32_t* LimitOf(const ModelKey& key, WeightSource source) {
    if (!key.adapter.empty()) {
      return &adapters_left_;
    }
    return UsesWeightStore(key, source) ? &remote_left_ : nullptr;
  }

  // Promises memory that is being freed, or evicts unused replicas for it.
  void MakeRoom(const Want& want, std::uint64_t need_mb) {
    std::optional<Eviction> best;
    std::string best_server;
    for (const auto& [id, server] : trial_.servers) {
      if (!CanHold(id, want)) {
        continue;
      }
      const auto later = Room(id).second;
      if (later >= need_mb) {
        promised_mb_[id] += need_mb;
        return;
      }
      auto eviction = ChooseEviction(
          GroupsOf(id, server), server, need_mb - later,
          want.key.adapter.empty() ? ModelKey{} : want.key.Base());
      if (eviction && (!best || eviction->cost < best->cost)) {
        best = std::move(eviction);
        best_server = id;
      }
    }
    if (best) {
      for (const auto& key : best->keys) {
        Unload(best_server, key);
      }
      promised_mb_[best_server] += need_mb;
    }
  }

  const std::vector<EvictionGroup>& GroupsOf(const std::string& id,
                                             const ServerRecord& server) {
    auto it = groups_.find(id);
    if (it == groups_.end()) {
      it = groups_.emplace(id, ListEvictionGroups(Evictions(), id, server))
               .first;
    }
    return it->second;
  }

  void Unload(const std::string& server, const ModelKey& key) {
    groups_.erase(server);
    if (DecideUnload(trial_, server, key, {})) {
      plan_.unloads.push_back({server, key});
    }
  }

  // Visits loaded replicas, adapters first, because a base can't be unloaded
  // before its adapters.
  template <typename Visit>
  void VisitLoaded(Visit visit) {
    for (const bool adapters : {true, false}) {
      for (const auto& [id, server] : input_.record.servers) {
        for (const auto& it : server.replicas) {
          if ((it.state == ReplicaState::kLoaded ||
               input_.dormant.contains(it.order)) &&
              it.key.adapter.empty() != adapters) {
            visit(id, server, it);
          }
        }
      }
    }
  }

  // The order is sent when no request runs there any more; deciding it now lets
  // the model be loaded elsewhere as soon as possible.
  void UnloadFromLeavingServers() {
    VisitLoaded([this](const auto& id, const auto& server, const auto& it) {
      const auto facts = input_.servers.find(id);
      const bool listed = facts != input_.servers.end() && facts->second.listed;
      if (listed && (server.leaving || facts->second.leaving)) {
        Unload(id, it.key);
      }
    });
  }

  void UnloadIdle() {
    const auto evictions = Evictions();
    VisitLoaded([&](const auto& id, const auto&, const auto& it) {
      if (!IsUnused(evictions, id, it.key)) {
        return;
      }
      const auto limit = AllowanceOf(input_.estate, it.key).replica_limit;
      if (CountStaying(it.key) > limit || IsIdleTooLong(id, it)) {
        Unload(id, it.key);
      }
    });
  }

  bool IsIdleTooLong(const std::string& server,
                     const ReplicaRecord& replica) const {
    const auto history = input_.histories.find(replica.key);
    if (history == input_.histories.end() ||
        replica.state != ReplicaState::kLoaded) {
      return false;
    }
    const auto costs =
        CostsOf(input_.estate, input_.servers, server, replica.key);
    const auto stay_ms = static_cast<std::uint64_t>(kShortestStayColdStarts *
                                                    costs.cold_start_s * 1000);
    return input_.wall_ms > replica.decided_ms + stay_ms &&
           ShouldUnload(input_.policy, history->second, costs, input_.now_ms);
  }

  void Prewarm() {
    for (const auto& [key, history] : input_.histories) {
      if (!key.adapter.empty() || input_.demand.contains(key) ||
          input_.record.failures.contains(key) || CountUsable(key) > 0) {
        continue;
      }
      if (ShouldPrewarm(input_.policy, history,
                        CostsOf(input_.estate, input_.servers, "", key),
                        input_.now_ms)) {
        Place({.key = key,
               .replica_number = 0,
               .demand = {},
               .extra_mb = 0,
               .reason = DecisionReason::kPrewarm});
      }
    }
  }

  // Reserves free memory for the models that are most likely needed next. Their
  // loads can be started without a further write, even while the platform is
  // down; the reservations are the first to be evicted.
  void ReserveStandby() {
    if (!std::holds_alternative<CostKeepAlive>(input_.policy)) {
      return;
    }
    std::vector<std::pair<double, ModelKey>> candidates;
    for (const auto& [key, history] : input_.histories) {
      if (key.adapter.empty() && history.used() &&
          !replica_counts_.contains(key) &&
          !input_.record.failures.contains(key)) {
        candidates.emplace_back(-EvictionCost(Evictions(), "", key), key);
      }
    }
    std::ranges::sort(candidates);
    auto count = input_.dormant.size();
    for (const auto& [cost, key] : candidates) {
      if (count >= kStandbyReplicas) {
        return;
      }
      const auto loads = plan_.loads.size();
      Place({.key = key,
             .replica_number = 0,
             .demand = {},
             .extra_mb = 0,
             .reason = DecisionReason::kStandby});
      count += plan_.loads.size() - loads;
    }
  }

  const PlanInput& input_;
  CellRecord trial_;
  std::uint32_t remote_left_;
  std::uint32_t adapters_left_;
  std::set<ModelKey> used_;
  std::map<ModelKey, std::uint32_t> replica_counts_;
  std::map<std::string, std::uint64_t> unrecorded_mb_;
  std::map<std::string, std::uint64_t> promised_mb_;
  std::map<std::string, std::vector<EvictionGroup>> groups_;  // By server.
  Plan plan_;
};

}  // namespace

Plan PlanCell(const PlanInput& input) {
  return Planner(input).Run();
}

bool UsesWeightStore(const ModelKey& key, WeightSource source) {
  return key.adapter.empty() && source == WeightSource::kRemote;
}

}  // namespace tanagerloom
