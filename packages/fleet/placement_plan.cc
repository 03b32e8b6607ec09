#include "fleet/placement_plan.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

#include "base/id.h"

namespace tanagerloom {

namespace {

// Maximum concurrent requests per replica of a busy model. Prompts are
// processed between the decoding steps of other requests, so that more requests
// delay first tokens.
constexpr double kMaxRequestsPerReplica = 8;
// Fraction of an engine's slots that one replica is planned to use. The rest
// serves its other models and bursts, since a request without a slot waits for
// another one to finish.
constexpr double kSlotFractionPerReplica = 0.25;
constexpr double kMinRequestsPerReplica = 2;
// Fraction of the time for which one replica may read prompts. Its engine reads
// one prompt at a time, so that more makes the next ones wait, and also has to
// generate tokens and serve its other models.
constexpr double kMaxReadingFraction = 0.3;
// Arrivals per second from which a model is busy and gets a second replica, so
// that it stays in service if one engine is lost.
constexpr double kBusyArrivalsPerS = 1.5;
// An idle model is unloaded at once, one with running requests after they
// finish.
constexpr Duration kIdleUnloadTime = std::chrono::milliseconds(120);
constexpr Duration kRunningUnloadTime = std::chrono::milliseconds(700);
// An additional replica may evict a model that has been idle for this long.
constexpr Duration kMinIdleTimeForReplica = std::chrono::seconds(4);
// Penalty of a load from the weight store for each model that only this engine
// has a cached copy of, since the load delays them.
constexpr Duration kBlockingPenalty = std::chrono::milliseconds(300);
// Additional load time that is acceptable for an idle engine over a fully used
// one. Any engine helps requests that wait for a missing model, but an
// additional replica is meant to spread load.
constexpr Duration kFullEnginePenaltyForMissing =
    std::chrono::milliseconds(1000);
constexpr Duration kFullEnginePenaltyForReplica =
    std::chrono::milliseconds(8000);
// Maximum concurrent adapter loads of one engine.
constexpr std::uint32_t kMaxConcurrentAdapterLoads = 3;
// Replicas that a busy model keeps when others are evicted for a model that is
// not loaded at all.
constexpr std::uint32_t kMinReplicasKept = 2;

// In one of this many turns the models of later ranks are loaded first. A turn
// lasts about as long as a load from disk.
constexpr Duration kLoadTurn = std::chrono::milliseconds(1000);
constexpr std::int64_t kLoadTurnsPerLaterRank = 10;

// Plans the orders for one service. Each engine gets at most one order.
class Planner {
 public:
  explicit Planner(const PlacementInput& input) : input_(input) {
    for (const auto& [ref, demand] : input.demand) {
      AddDemand(demand_by_model_[ref.model], demand);
    }
    for (const auto& it : input.engines) {
      for (const auto& [model, adapters] : it.models) {
        replica_counts_[model] += it.usable ? 1 : 0;
      }
      if (!it.loading_model.empty()) {
        replica_counts_[it.loading_model] += it.usable ? 1 : 0;
      }
      if (it.usable) {
        CountCopies(it.cached_weights);
      }
    }
  }

  PlacementPlan Plan() {
    PlaceMissing();
    PlaceReplicas();
    PlaceAdapters();
    PrefetchModels();
    return {std::move(orders_), std::move(store_queue_)};
  }

 private:
  // What an engine offers to any model. It does not change within a plan, and
  // each missing model is compared with all engines.
  struct EngineFacts {
    double free_memory_mb = 0;
    double utilization = 0;
    std::int64_t sole_copies = 0;
    /// Loaded models that the configuration no longer names. How much memory
    /// they fill is not known any more, so that nothing is loaded beside them.
    std::vector<std::string> withdrawn;
    Duration withdrawn_unload_time{};
  };

  // A loaded model that may be evicted; sorted by the order of eviction.
  struct Victim {
    bool running = false;
    TimePoint last_use{};
    std::string model;
    auto operator<=>(const Victim&) const = default;
  };

  struct LoadOption {
    const EngineSnapshot* engine = nullptr;
    std::vector<std::string> victims;
    CheckpointSource source = CheckpointSource::kRemote;
    Duration ready_in{};
  };

  static Duration UnloadTime(bool running) {
    return running ? kRunningUnloadTime : kIdleUnloadTime;
  }

  static void AddDemand(FleetDemand& sum, const FleetDemand& other) {
    sum.waiting += other.waiting;
    sum.running += other.running;
    sum.rate += other.rate;
    sum.concurrency += other.concurrency;
    sum.prompt_tokens_per_s += other.prompt_tokens_per_s;
    sum.last_arrival_at = std::max(sum.last_arrival_at, other.last_arrival_at);
    if (other.earliest_deadline &&
        (!sum.earliest_deadline ||
         *other.earliest_deadline < *sum.earliest_deadline)) {
      sum.earliest_deadline = other.earliest_deadline;
    }
    if (other.best_rank) {
      sum.best_rank =
          std::min(sum.best_rank.value_or(UINT32_MAX), *other.best_rank);
    }
  }

  const FleetModel* FindSpec(const std::string& model) const {
    const auto it = input_.spec->models.find(model);
    return it == input_.spec->models.end() ? nullptr : &it->second;
  }

  FleetDemand DemandOf(const std::string& model) const {
    const auto it = demand_by_model_.find(model);
    return it == demand_by_model_.end() ? FleetDemand() : it->second;
  }

  std::uint32_t DesiredReplicasOf(const FleetDemand& demand) const {
    return DesiredReplicas(demand, input_.spec->slots,
                           input_.engine_prompt_tokens_per_s);
  }

  std::uint32_t ReplicaCount(const std::string& model) const {
    const auto it = replica_counts_.find(model);
    return it == replica_counts_.end() ? 0 : it->second;
  }

  // Memory of a model with room for all adapters that an engine may load; 0 if
  // the configuration does not name it.
  double MemoryMb(const std::string& model) const {
    const auto* spec = FindSpec(model);
    if (spec == nullptr) {
      return 0;
    }
    return spec->weights_mb + spec->adapter_mb * input_.spec->adapter_slots;
  }

  double FreeMemoryMb(const EngineSnapshot& engine) const {
    double used_mb =
        engine.loading_model.empty() ? 0 : MemoryMb(engine.loading_model);
    for (const auto& [model, adapters] : engine.models) {
      used_mb += MemoryMb(model);
    }
    return input_.spec->weights_mb - used_mb;
  }

  // Counts the cached copies of one usable engine.
  void CountCopies(const CachedWeights& cached_weights) {
    for (const auto& it : cached_weights.on_disk) {
      ++disk_copies_[it];
      cached_models_.insert(it);
    }
    cached_models_.insert(cached_weights.in_memory.begin(),
                          cached_weights.in_memory.end());
  }

  // Returns whether a usable engine has a cached copy of the model.
  bool HasCachedCopy(const std::string& model) const {
    return cached_models_.contains(model);
  }

  const EngineFacts& FactsOf(const EngineSnapshot& engine) {
    const auto [it, added] = facts_.try_emplace(&engine);
    if (added) {
      auto& facts = it->second;
      facts.free_memory_mb = FreeMemoryMb(engine);
      facts.utilization = Utilization(engine);
      facts.sole_copies = CountSoleCopies(engine);
      for (const auto& [loaded, adapters] : engine.models) {
        if (FindSpec(loaded) == nullptr) {
          facts.withdrawn.push_back(loaded);
          facts.withdrawn_unload_time +=
              UnloadTime(DemandOf(loaded).running > 0);
        }
      }
    }
    return it->second;
  }

  // Returns the place of a model's rank in the order of loads. In a part of the
  // time the later ranks come first, so that none starves.
  std::int64_t RankOrder(const FleetDemand& demand) const {
    const std::int64_t rank = demand.best_rank.value_or(0);
    const auto turn = input_.now.time_since_epoch() / kLoadTurn;
    return turn % kLoadTurnsPerLaterRank == 0 ? -rank : rank;
  }

  // Places models that requests wait for and no engine has, by rank. Models
  // with a cached copy come first, by deadline, since each load takes about a
  // second. The others share the weight store, and the model with the most
  // waiting requests of a rank goes first.
  void PlaceMissing() {
    std::vector<std::tuple<std::int64_t, TimePoint, std::string>>
        with_cached_copy;
    std::vector<std::tuple<std::int64_t, std::int64_t, TimePoint, std::string>>
        without_cached_copy;
    for (const auto& [model, demand] : demand_by_model_) {
      if (demand.waiting == 0 || ReplicaCount(model) > 0 || !FindSpec(model)) {
        continue;
      }
      const auto deadline = demand.earliest_deadline.value_or(input_.now);
      if (HasCachedCopy(model)) {
        with_cached_copy.emplace_back(RankOrder(demand), deadline, model);
      } else {
        without_cached_copy.emplace_back(
            RankOrder(demand), -std::int64_t{demand.waiting}, deadline, model);
      }
    }
    std::ranges::sort(with_cached_copy);
    for (const auto& [rank, deadline, model] : with_cached_copy) {
      PlaceMissingModel(model);
    }
    std::ranges::sort(without_cached_copy);
    for (const auto& [rank, waiting, deadline, model] : without_cached_copy) {
      if (store_loads_ >= input_.store_loads_allowed ||
          !PlaceMissingModel(model)) {
        QueueForWeightStore(model);
      }
    }
  }

  bool PlaceMissingModel(const std::string& model) {
    return PlanReplica(model, /*missing=*/true, /*protect_busy=*/true) ||
           PlanReplica(model, /*missing=*/true, /*protect_busy=*/false);
  }

  // Queues the model for the weight store behind the loads in flight and the
  // models already queued.
  void QueueForWeightStore(const std::string& model) {
    const auto concurrent_loads = std::max(1U, input_.store_concurrency);
    const auto rounds = store_queue_.size() / concurrent_loads + 2;
    const Duration load = FindSpec(model)->store_load_time;
    store_queue_.push_back({model, load * static_cast<Duration::rep>(rounds)});
  }

  void PlaceReplicas() {
    std::vector<std::pair<double, std::string>> wanted;
    for (const auto& [model, demand] : demand_by_model_) {
      const auto replica_count = ReplicaCount(model);
      const auto desired = DesiredReplicasOf(demand);
      if (replica_count > 0 && desired > replica_count && FindSpec(model)) {
        wanted.emplace_back(static_cast<double>(replica_count) / desired,
                            model);
      }
    }
    std::ranges::sort(wanted);
    for (const auto& [fraction, model] : wanted) {
      PlanReplica(model, /*missing=*/false, /*protect_busy=*/true);
    }
  }

  // Plans the next order towards a replica of `model`: an unload if memory is
  // needed, else the load. Returns false if no engine can take it.
  bool PlanReplica(const std::string& model, bool missing, bool protect_busy) {
    std::optional<LoadOption> best;
    for (const auto& it : input_.engines) {
      auto option = Evaluate(it, model, missing, protect_busy);
      if (option && (!best || option->ready_in < best->ready_in)) {
        best = std::move(option);
      }
    }
    if (!best) {
      return false;
    }
    reserved_engines_.insert(best->engine->id);
    if (best->engine->busy) {
      return true;  // It is loaded soonest after the order in flight.
    }
    if (!best->victims.empty()) {
      const bool running = DemandOf(best->victims.front()).running > 0;
      orders_.push_back({best->engine->id,
                         OrderAction::kUnload,
                         {best->victims.front(), ""},
                         CheckpointSource::kMemory,
                         UnloadTime(running)});
      return true;
    }
    if (best->source == CheckpointSource::kRemote) {
      ++store_loads_;
    }
    orders_.push_back({best->engine->id,
                       OrderAction::kLoad,
                       {model, ""},
                       best->source,
                       LoadTime(*FindSpec(model), best->source)});
    return true;
  }

  std::optional<LoadOption> Evaluate(const EngineSnapshot& engine,
                                     const std::string& model,
                                     bool missing,
                                     bool protect_busy) {
    if (!engine.usable || reserved_engines_.contains(engine.id) ||
        engine.models.contains(model) || engine.loading_model == model) {
      return std::nullopt;
    }
    if (!missing && engine.busy) {
      return std::nullopt;
    }
    LoadOption option;
    option.engine = &engine;
    option.source = FastestSource(engine.cached_weights, model);
    if (option.source == CheckpointSource::kRemote &&
        store_loads_ >= input_.store_loads_allowed) {
      return std::nullopt;
    }
    if (!SelectVictims(engine, model, missing, protect_busy, option)) {
      return std::nullopt;
    }
    option.ready_in += LoadTime(*FindSpec(model), option.source);
    if (option.source == CheckpointSource::kRemote) {
      option.ready_in += kBlockingPenalty * FactsOf(engine).sole_copies;
    }
    if (engine.busy) {
      option.ready_in += engine.time_until_free;
    }
    const auto penalty =
        missing ? kFullEnginePenaltyForMissing : kFullEnginePenaltyForReplica;
    option.ready_in += std::chrono::duration_cast<Duration>(
        penalty * std::min(1.0, FactsOf(engine).utilization));
    return option;
  }

  // Average fraction of an engine's slots in use, or of its time spent reading
  // prompts if that is more, if requests are spread evenly over replicas.
  double Utilization(const EngineSnapshot& engine) const {
    double concurrent_requests = 0;
    double prompt_tokens_per_s = 0;
    for (const auto& [model, adapters] : engine.models) {
      const auto demand = DemandOf(model);
      const auto replica_count = std::max(1U, ReplicaCount(model));
      concurrent_requests += demand.concurrency / replica_count;
      prompt_tokens_per_s += demand.prompt_tokens_per_s / replica_count;
    }
    const double reading =
        input_.engine_prompt_tokens_per_s > 0
            ? prompt_tokens_per_s / input_.engine_prompt_tokens_per_s
            : 0;
    return std::max(concurrent_requests / std::max(1U, input_.spec->slots),
                    reading);
  }

  // Counts the models that are not loaded anywhere and cached on disk only by
  // this usable engine. A long load would keep their requests waiting.
  std::int64_t CountSoleCopies(const EngineSnapshot& engine) const {
    return std::ranges::count_if(
        engine.cached_weights.on_disk, [&](const std::string& model) {
          return ReplicaCount(model) == 0 && disk_copies_.at(model) == 1;
        });
  }

  bool MayEvict(const std::string& victim,
                bool missing,
                bool protect_busy) const {
    const auto demand = DemandOf(victim);
    const auto replica_count = ReplicaCount(victim);
    const auto desired = DesiredReplicasOf(demand);
    if (demand.waiting > 0 && replica_count <= 1) {
      return false;
    }
    if (desired > 0 && replica_count <= desired) {
      return !protect_busy && replica_count > kMinReplicasKept;
    }
    return missing ||
           input_.now - demand.last_arrival_at >= kMinIdleTimeForReplica;
  }

  // Returns the models that an engine may evict, in the order of eviction.
  const std::vector<Victim>& VictimsOf(const EngineSnapshot& engine,
                                       bool missing,
                                       bool protect_busy) {
    const auto [it, added] =
        victims_.try_emplace({&engine, missing, protect_busy});
    auto& out = it->second;
    if (added) {
      for (const auto& [loaded, adapters] : engine.models) {
        if (FindSpec(loaded) != nullptr &&
            MayEvict(loaded, missing, protect_busy)) {
          const auto demand = DemandOf(loaded);
          out.push_back({demand.running > 0, demand.last_arrival_at, loaded});
        }
      }
      std::ranges::sort(out);
    }
    return out;
  }

  bool SelectVictims(const EngineSnapshot& engine,
                     const std::string& model,
                     bool missing,
                     bool protect_busy,
                     LoadOption& option) {
    const auto& facts = FactsOf(engine);
    option.victims = facts.withdrawn;
    option.ready_in += facts.withdrawn_unload_time;
    double needed_mb = MemoryMb(model) - facts.free_memory_mb;
    if (needed_mb <= 0) {
      return true;
    }
    for (const auto& it : VictimsOf(engine, missing, protect_busy)) {
      option.victims.push_back(it.model);
      option.ready_in += UnloadTime(it.running);
      needed_mb -= MemoryMb(it.model);
      if (needed_mb <= 0) {
        return true;
      }
    }
    return false;
  }

  // Prefetches models without a cached copy while nothing waits for the weight
  // store, the most recently requested one first, so that the next request does
  // not wait for the store. This happens when an engine leaves that had the
  // only copy.
  void PrefetchModels() {
    if (!store_queue_.empty() || !input_.engines_settled ||
        store_loads_ >= input_.store_loads_allowed) {
      return;
    }
    std::vector<std::pair<TimePoint, std::string>> uncached;
    for (const auto& [model, spec] : input_.spec->models) {
      if (ReplicaCount(model) == 0 && !HasCachedCopy(model)) {
        uncached.emplace_back(DemandOf(model).last_arrival_at, model);
      }
    }
    std::ranges::sort(uncached, std::greater<>());
    for (const auto& [last_arrival_at, model] : uncached) {
      if (store_loads_ >= input_.store_loads_allowed) {
        return;
      }
      PlanReplica(model, /*missing=*/false, /*protect_busy=*/true);
    }
  }

  void PlaceAdapters() {
    for (const auto& [ref, demand] : input_.demand) {
      if (!ref.adapter.empty() && demand.waiting > 0 && !IsAdapterPlaced(ref)) {
        PlaceAdapter(ref);
      }
    }
  }

  bool IsAdapterPlaced(const ModelRef& ref) const {
    return std::ranges::any_of(input_.engines, [&](const EngineSnapshot& it) {
      const auto loaded = it.models.find(ref.model);
      return it.usable && loaded != it.models.end() &&
             loaded->second.contains(ref.adapter);
    });
  }

  static std::size_t AdapterCount(const EngineSnapshot& engine) {
    std::size_t n = engine.unloading_adapters.size();
    for (const auto& [model, adapters] : engine.models) {
      n += adapters.size();
    }
    return n;
  }

  // Adapters are assigned to engines by rendezvous hashing, so that the adapter
  // slots of each engine serve a subset of them. An engine without a free slot
  // is the last choice.
  void PlaceAdapter(const ModelRef& ref) {
    const EngineSnapshot* best = nullptr;
    std::pair<bool, std::uint64_t> best_rank;
    for (const auto& it : input_.engines) {
      if (!it.usable || it.busy || reserved_engines_.contains(it.id) ||
          !it.models.contains(ref.model) ||
          it.unloading_adapters.contains(ref) ||
          it.adapter_loads_in_flight >= kMaxConcurrentAdapterLoads) {
        continue;
      }
      const bool has_free_slot = AdapterCount(it) < input_.spec->adapter_slots;
      const std::pair rank{has_free_slot,
                           StableHash(it.id + "\n" + ref.ToString())};
      if (best == nullptr || rank > best_rank) {
        best = &it;
        best_rank = rank;
      }
    }
    if (best == nullptr) {
      return;
    }
    if (best_rank.first) {
      reserved_engines_.insert(best->id);
      orders_.push_back({best->id, OrderAction::kLoad, ref,
                         CheckpointSource::kRemote, Duration(0)});
      return;
    }
    if (const auto victim = IdleAdapter(*best)) {
      reserved_engines_.insert(best->id);
      orders_.push_back({best->id, OrderAction::kUnload, *victim,
                         CheckpointSource::kRemote, Duration(0)});
    }
  }

  // Returns the least recently used adapter of an engine that has no waiting or
  // running requests.
  std::optional<ModelRef> IdleAdapter(const EngineSnapshot& engine) const {
    std::optional<std::pair<TimePoint, ModelRef>> best;
    for (const auto& [model, adapters] : engine.models) {
      for (const auto& adapter : adapters) {
        const ModelRef ref{model, adapter};
        const auto it = input_.demand.find(ref);
        const bool in_use = it != input_.demand.end() &&
                            (it->second.waiting > 0 || it->second.running > 0);
        const auto last_use = it == input_.demand.end()
                                  ? TimePoint{}
                                  : it->second.last_arrival_at;
        if (!in_use && (!best || std::pair(last_use, ref) < *best)) {
          best = {last_use, ref};
        }
      }
    }
    return best ? std::optional(best->second) : std::nullopt;
  }

  const PlacementInput& input_;
  std::map<std::string, FleetDemand> demand_by_model_;
  std::map<std::string, std::uint32_t> replica_counts_;
  /// Usable engines with a copy on disk, by model.
  std::map<std::string, std::uint32_t> disk_copies_;
  std::set<std::string> cached_models_;  ///< On disk or in memory of any.
  std::map<const EngineSnapshot*, EngineFacts> facts_;
  /// By engine, and the arguments of VictimsOf().
  std::map<std::tuple<const EngineSnapshot*, bool, bool>, std::vector<Victim>>
      victims_;
  std::set<std::string> reserved_engines_;
  std::uint32_t store_loads_ = 0;
  std::vector<PlannedOrder> orders_;
  std::vector<PendingLoad> store_queue_;
};

}  // namespace

std::uint32_t DesiredReplicas(const FleetDemand& demand,
                              std::uint32_t slots,
                              double engine_prompt_tokens_per_s) {
  const double reading =
      engine_prompt_tokens_per_s > 0
          ? demand.prompt_tokens_per_s / engine_prompt_tokens_per_s
          : 0;
  const auto replicas_for_prompts =
      static_cast<std::uint32_t>(std::ceil(reading / kMaxReadingFraction));
  if (demand.rate < kBusyArrivalsPerS && replicas_for_prompts < 2) {
    return 0;
  }
  const double concurrent_requests =
      std::clamp(slots * kSlotFractionPerReplica, kMinRequestsPerReplica,
                 kMaxRequestsPerReplica);
  const auto replicas_for_load = static_cast<std::uint32_t>(
      std::ceil(demand.concurrency / concurrent_requests));
  return std::max({2U, replicas_for_load, replicas_for_prompts});
}

CheckpointSource FastestSource(const CachedWeights& cached_weights,
                               const std::string& model) {
  if (cached_weights.in_memory.contains(model)) {
    return CheckpointSource::kMemory;
  }
  return cached_weights.on_disk.contains(model) ? CheckpointSource::kDisk
                                                : CheckpointSource::kRemote;
}

Duration LoadTime(const FleetModel& model, CheckpointSource source) {
  switch (source) {
    case CheckpointSource::kMemory:
      return model.memory_load_time;
    case CheckpointSource::kDisk:
      return model.disk_load_time;
    case CheckpointSource::kRemote:
      return model.store_load_time;
  }
  return model.store_load_time;
}

PlacementPlan PlanPlacement(const PlacementInput& input) {
  return Planner(input).Plan();
}

}  // namespace tanagerloom
