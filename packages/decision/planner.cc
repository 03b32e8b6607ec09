#include "decision/planner.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace tanagerloom {

namespace {

constexpr std::uint64_t kNoDeadline = std::numeric_limits<std::uint64_t>::max();
// Minimum stay of a replica as a multiple of its cold start time. It keeps a
// wrong estimate from loading and unloading the replica in turn.
constexpr double kMinStayColdStarts = 2;
// Limit on standby reservations. Each change of them costs a write, and their
// memory is available to other models only after an unload order.
constexpr std::size_t kMaxStandbyReplicas = 4;

// A replica that should be loaded.
struct WantedReplica {
  ModelKey key;
  std::uint32_t replica_number = 0;  // 0 for the first replica of the key.
  ModelDemand demand;
  std::uint64_t extra_mb = 0;  // Further memory needed, for an adapter.
  DecisionReason reason = DecisionReason::kDemand;
};

// Makes one plan. `planned_record_` is the record after the choices made so
// far.
class Planner {
 public:
  explicit Planner(const PlanInput& input)
      : input_(input),
        planned_record_(input.record),
        remote_loads_left_(input.remote_loads_allowed),
        adapter_loads_left_(input.adapter_loads_allowed),
        used_(UsedKeys(input.demand)),
        replica_counts_(CountReplicas(input.record)) {
    for (const auto& [id, engine] : input.record.engines) {
      unrecorded_mb_[id] = UnrecordedMb(id, engine);
    }
  }

  Plan Run() {
    UnloadFromLeavingEngines();
    UnloadIdle();
    for (const auto& wanted : ListWantedReplicas()) {
      Place(wanted);
    }
    if (plan_.loads.empty() && plan_.waiting_for_slots == 0) {
      Prewarm();
      ReserveStandby();
    }
    return std::move(plan_);
  }

 private:
  EvictionInput MakeEvictionInput() const {
    return {.estate = input_.estate,
            .used = used_,
            .replica_counts = replica_counts_,
            .unstarted_standby_orders = input_.unstarted_standby_orders,
            .engines = input_.engines,
            .histories = input_.histories,
            .policy = input_.policy,
            .now_ms = input_.now_ms,
            .demand_is_complete = input_.demand_is_complete};
  }

  bool IsUsable(const std::string& id) const {
    const auto it = input_.engines.find(id);
    return it != input_.engines.end() && it->second.listed &&
           !it->second.leaving && it->second.reachable &&
           it->second.report.has_value() && !it->second.report->leaving;
  }

  std::uint32_t CountUsable(const ModelKey& key) const {
    std::uint32_t count = 0;
    for (const auto& [id, engine] : planned_record_.engines) {
      const auto* replica = engine.Find(key);
      if (replica != nullptr && !engine.leaving && IsUsable(id) &&
          replica->state != ReplicaState::kUnloading) {
        ++count;
      }
    }
    return count;
  }

  std::uint32_t CountNotUnloading(const ModelKey& key) const {
    std::uint32_t count = 0;
    for (const auto& [id, engine] : planned_record_.engines) {
      const auto* replica = engine.Find(key);
      if (replica != nullptr && replica->state != ReplicaState::kUnloading) {
        ++count;
      }
    }
    return count;
  }

  std::uint32_t DesiredReplicas(const ModelDemand& demand,
                                std::uint32_t limit) const {
    if (demand.waiting == 0) {
      return 0;
    }
    const auto requests = demand.waiting + demand.running;
    const auto count = (requests + input_.requests_per_replica - 1) /
                       input_.requests_per_replica;
    return std::min(limit, std::max(1U, count));
  }

  void AddWantedReplicas(const ModelKey& key,
                         const ModelDemand& demand,
                         std::uint64_t extra_mb,
                         std::vector<WantedReplica>& wanted_replicas) const {
    const auto failures = input_.record.failures.find(key);
    if (failures != input_.record.failures.end() &&
        input_.wall_ms <
            failures->second.KeyRetryAtMs(input_.record.engines.size())) {
      return;
    }
    const auto allowance = AllowanceOf(input_.estate, key);
    const auto desired = DesiredReplicas(demand, allowance.replica_limit);
    for (auto n = CountUsable(key); n < desired; ++n) {
      wanted_replicas.push_back({key, n, demand, extra_mb});
    }
  }

  // Sort key of a wanted replica. First replicas of a key come before further
  // ones; then rank, deadline and the number of waiting requests decide. The
  // baseline policy loads in the order of arrival.
  auto Urgency(const WantedReplica& wanted) const {
    if (std::holds_alternative<FixedKeepAlive>(input_.policy)) {
      return std::tuple(0U, 0U, wanted.demand.waiting_since_ms, 0U);
    }
    const auto deadline = wanted.demand.deadline_ms == 0
                              ? kNoDeadline
                              : wanted.demand.deadline_ms;
    return std::tuple(
        wanted.replica_number, wanted.demand.rank, deadline,
        std::numeric_limits<std::uint32_t>::max() - wanted.demand.waiting);
  }

  std::vector<WantedReplica> ListWantedReplicas() const {
    std::vector<WantedReplica> wanted_replicas;
    for (const auto& [key, demand] : input_.demand) {
      if (key.adapter.empty() || CountUsable(key.Base()) > 0) {
        AddWantedReplicas(key, demand, 0, wanted_replicas);
      } else if (!input_.demand.contains(key.Base())) {
        auto base_demand = demand;
        base_demand.waiting = std::min(1U, demand.waiting);
        base_demand.running = 0;
        AddWantedReplicas(key.Base(), base_demand,
                          AllowanceOf(input_.estate, key).memory_mb,
                          wanted_replicas);
      }
    }
    std::ranges::stable_sort(
        wanted_replicas, {},
        [this](const WantedReplica& it) { return Urgency(it); });
    // Several adapters may each need the first replica of the same base.
    std::set<std::pair<ModelKey, std::uint32_t>> seen;
    std::erase_if(wanted_replicas, [&](const WantedReplica& it) {
      return !seen.emplace(it.key, it.replica_number).second;
    });
    return wanted_replicas;
  }

  bool CanLoad(const std::string& id, const WantedReplica& wanted) const {
    const auto& engine = planned_record_.engines.find(id)->second;
    if (!IsUsable(id) || engine.leaving || engine.Find(wanted.key) != nullptr) {
      return false;
    }
    const auto failures = input_.record.failures.find(wanted.key);
    if (failures != input_.record.failures.end() &&
        input_.wall_ms < failures->second.EngineRetryAtMs(id)) {
      return false;
    }
    if (wanted.key.adapter.empty()) {
      return true;
    }
    const auto* base = engine.Find(wanted.key.Base());
    return base != nullptr && base->state == ReplicaState::kLoaded;
  }

  // Returns the memory of an engine that is available now, and the memory that
  // will be available after its current unloads. Memory committed to more
  // urgent replicas is not included.
  std::pair<std::uint64_t, std::uint64_t> AvailableMb(
      const std::string& id) const {
    const auto& engine = planned_record_.engines.find(id)->second;
    std::uint64_t unloading = 0;
    for (const auto& it : engine.replicas) {
      unloading += it.state == ReplicaState::kUnloading ? it.memory_mb : 0;
    }
    const auto it = committed_mb_.find(id);
    const auto taken =
        (it == committed_mb_.end() ? 0 : it->second) + unrecorded_mb_.at(id);
    const auto total = engine.FreeMb() + unloading;
    const auto after_unloads = total > taken ? total - taken : 0;
    return {std::min(engine.FreeMb(), after_unloads), after_unloads};
  }

  // Memory that the engine uses for replicas that the record doesn't list.
  std::uint64_t UnrecordedMb(const std::string& id,
                             const EngineRecord& engine) const {
    const auto status = input_.engines.find(id);
    if (status == input_.engines.end() || !status->second.report) {
      return 0;
    }
    std::uint64_t recorded = 0;
    for (const auto& it : engine.replicas) {
      recorded +=
          status->second.report->Find(it.key) != nullptr ? it.memory_mb : 0;
    }
    const auto used = status->second.report->used_mb;
    return used > recorded ? used - recorded : 0;
  }

  // Sort key of an engine, lower is better: by the source of the load, then by
  // the fraction of reserved memory.
  auto PlacementCost(const std::string& id, const ModelKey& key) const {
    const auto& engine = planned_record_.engines.find(id)->second;
    const auto reserved_fraction =
        engine.memory_mb == 0 ? 1.0
                              : static_cast<double>(engine.ReservedMb()) /
                                    static_cast<double>(engine.memory_mb);
    return std::tuple(static_cast<int>(FastestSource(input_.engines, id, key)),
                      reserved_fraction, id);
  }

  std::optional<std::string> ChooseEngine(const WantedReplica& wanted,
                                          std::uint64_t need_mb) const {
    std::optional<std::string> best;
    for (const auto& [id, engine] : planned_record_.engines) {
      if (CanLoad(id, wanted) && AvailableMb(id).first >= need_mb &&
          (!best ||
           PlacementCost(id, wanted.key) < PlacementCost(*best, wanted.key))) {
        best = id;
      }
    }
    return best;
  }

  void Place(const WantedReplica& wanted) {
    const auto allowance = AllowanceOf(input_.estate, wanted.key);
    const auto need_mb = allowance.memory_mb + wanted.extra_mb;
    if (planned_record_.CountReplicas(wanted.key) >= allowance.replica_limit) {
      return;
    }
    const auto engine = ChooseEngine(wanted, need_mb);
    if (!engine) {
      if (wanted.reason == DecisionReason::kDemand) {
        FreeMemoryFor(wanted, need_mb);
      }
      return;
    }
    const auto source = FastestSource(input_.engines, *engine, wanted.key);
    auto* left = wanted.reason == DecisionReason::kStandby
                     ? nullptr
                     : RemainingLoads(wanted.key, source);
    if (left != nullptr && *left == 0) {
      ++plan_.waiting_for_slots;
      committed_mb_[*engine] += need_mb;
      return;
    }
    const LoadDecision decision{.engine = *engine,
                                .key = wanted.key,
                                .memory_mb = allowance.memory_mb,
                                .replica_limit = allowance.replica_limit,
                                .source = source,
                                .reason = wanted.reason,
                                .order = ""};
    if (DecideLoad(planned_record_, decision, {})) {
      if (left != nullptr) {
        --*left;
      }
      plan_.loads.push_back(decision);
    }
  }

  std::uint32_t* RemainingLoads(const ModelKey& key, WeightSource source) {
    if (!key.adapter.empty()) {
      return &adapter_loads_left_;
    }
    return UsesWeightStore(key, source) ? &remote_loads_left_ : nullptr;
  }

  // Commits memory that current unloads will free, or evicts unused replicas.
  void FreeMemoryFor(const WantedReplica& wanted, std::uint64_t need_mb) {
    std::optional<Eviction> best;
    std::string best_engine;
    for (const auto& [id, engine] : planned_record_.engines) {
      if (!CanLoad(id, wanted)) {
        continue;
      }
      const auto after_unloads = AvailableMb(id).second;
      if (after_unloads >= need_mb) {
        committed_mb_[id] += need_mb;
        return;
      }
      auto eviction = ChooseEviction(
          EvictionGroupsOf(id, engine), engine, need_mb - after_unloads,
          wanted.key.adapter.empty() ? ModelKey{} : wanted.key.Base());
      if (eviction && (!best || eviction->cost < best->cost)) {
        best = std::move(eviction);
        best_engine = id;
      }
    }
    if (best) {
      for (const auto& key : best->keys) {
        Unload(best_engine, key);
      }
      committed_mb_[best_engine] += need_mb;
    }
  }

  const std::vector<EvictionGroup>& EvictionGroupsOf(
      const std::string& id,
      const EngineRecord& engine) {
    auto it = groups_.find(id);
    if (it == groups_.end()) {
      it = groups_
               .emplace(id, ListEvictionGroups(MakeEvictionInput(), id, engine))
               .first;
    }
    return it->second;
  }

  void Unload(const std::string& engine, const ModelKey& key) {
    groups_.erase(engine);
    if (DecideUnload(planned_record_, engine, key, {})) {
      plan_.unloads.push_back({engine, key});
    }
  }

  // Visits the loaded replicas and unstarted standby loads, adapters first,
  // because a base cannot be unloaded before its adapters.
  template <typename Visit>
  void VisitLoaded(Visit visit) {
    for (const bool adapters : {true, false}) {
      for (const auto& [id, engine] : input_.record.engines) {
        for (const auto& it : engine.replicas) {
          if ((it.state == ReplicaState::kLoaded ||
               input_.unstarted_standby_orders.contains(it.order)) &&
              it.key.adapter.empty() != adapters) {
            visit(id, engine, it);
          }
        }
      }
    }
  }

  // The unload orders are sent when no more requests run on the replicas.
  // Deciding them now allows the models to be loaded elsewhere as early as
  // possible.
  void UnloadFromLeavingEngines() {
    VisitLoaded([this](const auto& id, const auto& engine, const auto& it) {
      const auto status = input_.engines.find(id);
      const bool listed =
          status != input_.engines.end() && status->second.listed;
      if (listed && (engine.leaving || status->second.leaving)) {
        Unload(id, it.key);
      }
    });
  }

  void UnloadIdle() {
    const auto eviction_input = MakeEvictionInput();
    VisitLoaded([&](const auto& id, const auto&, const auto& it) {
      if (!IsUnused(eviction_input, id, it.key)) {
        return;
      }
      const auto limit = AllowanceOf(input_.estate, it.key).replica_limit;
      if (CountNotUnloading(it.key) > limit || IsIdleTooLong(id, it)) {
        Unload(id, it.key);
      }
    });
  }

  bool IsIdleTooLong(const std::string& engine,
                     const ReplicaRecord& replica) const {
    const auto history = input_.histories.find(replica.key);
    if (history == input_.histories.end() ||
        replica.state != ReplicaState::kLoaded) {
      return false;
    }
    const auto costs =
        CostsOf(input_.estate, input_.engines, engine, replica.key);
    const auto stay_ms = static_cast<std::uint64_t>(kMinStayColdStarts *
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
                        CostsOf(input_.estate, input_.engines, "", key),
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
  // loads can be started without a further write, even during an outage of the
  // object store. The reservations are evicted first.
  void ReserveStandby() {
    if (!std::holds_alternative<CostKeepAlive>(input_.policy)) {
      return;
    }
    std::vector<std::pair<double, ModelKey>> candidates;
    for (const auto& [key, history] : input_.histories) {
      if (key.adapter.empty() && history.used() &&
          !replica_counts_.contains(key) &&
          !input_.record.failures.contains(key)) {
        candidates.emplace_back(-EvictionCost(MakeEvictionInput(), "", key),
                                key);
      }
    }
    std::ranges::sort(candidates);
    auto count = input_.unstarted_standby_orders.size();
    for (const auto& [cost, key] : candidates) {
      if (count >= kMaxStandbyReplicas) {
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
  CellRecord planned_record_;
  std::uint32_t remote_loads_left_;
  std::uint32_t adapter_loads_left_;
  std::set<ModelKey> used_;
  std::map<ModelKey, std::uint32_t> replica_counts_;
  std::map<std::string, std::uint64_t> unrecorded_mb_;
  std::map<std::string, std::uint64_t> committed_mb_;
  std::map<std::string, std::vector<EvictionGroup>> groups_;  // By engine id.
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
