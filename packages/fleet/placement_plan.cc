#include "fleet/placement_plan.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

#include "base/id.h"

namespace tanagerloom {

namespace {

// Requests at once for which a busy model gets one more replica: prompts are
// read between the tokens of the others, so that more delay first tokens.
constexpr double kMostRunsPerReplica = 8;
// Of an engine's slots; the rest is for its other models and for bursts, since
// a request without a slot waits for the end of another one.
constexpr double kPartOfSlotsPerReplica = 0.25;
constexpr double kFewestRunsPerReplica = 2;
// Arrivals a second above which a model counts as busy and gets a second
// replica, which the loss of one engine leaves in service.
constexpr double kBusyRate = 1.5;
// An idle model is unloaded at once; a running one after its runs.
constexpr Duration kUnloadTime = std::chrono::milliseconds(120);
constexpr Duration kRunningUnloadTime = std::chrono::milliseconds(700);
// A replica beyond the first is worth the place of a model idle for this long.
constexpr Duration kIdleForReplica = std::chrono::seconds(4);
// A long load on an engine delays the models that only it has a copy of.
constexpr Duration kCostOfBlocking = std::chrono::milliseconds(300);
// Time by which a model may be there later on an idle engine than on a full
// one: what waits for a missing model is helped by any engine, a replica is
// there to spread load.
constexpr Duration kCostOfFullForMissing = std::chrono::milliseconds(1000);
constexpr Duration kCostOfFullForReplica = std::chrono::milliseconds(8000);
// Adapters that an engine fetches at once.
constexpr std::uint32_t kAdaptersAtOnce = 3;
// Replicas of a busy model that make way for a model that is not loaded at all.
constexpr std::uint32_t kReplicasToKeep = 2;

class Planner {
 public:
  explicit Planner(const PlacementInput& input) : input_(input) {
    for (const auto& [ref, demand] : input.demand) {
      Add(models_[ref.model], demand);
    }
    for (const auto& it : input.engines) {
      for (const auto& [model, adapters] : it.models) {
        replicas_[model] += it.usable ? 1 : 0;
      }
      if (!it.loading.empty()) {
        replicas_[it.loading] += it.usable ? 1 : 0;
      }
    }
  }

  PlacementPlan Plan() {
    PlaceMissing();
    PlaceReplicas();
    PlaceAdapters();
    StageCopies();
    return {std::move(orders_), std::move(store_queue_)};
  }

 private:
  struct Option {
    const EnginePlace* engine = nullptr;
    std::vector<std::string> victims;
    CheckpointSource source = CheckpointSource::kRemote;
    Duration ready_in{};
  };

  static void Add(ModelDemand& sum, const ModelDemand& part) {
    sum.waiting += part.waiting;
    sum.running += part.running;
    sum.rate += part.rate;
    sum.concurrency += part.concurrency;
    sum.last_arrival = std::max(sum.last_arrival, part.last_arrival);
    if (part.earliest_deadline &&
        (!sum.earliest_deadline ||
         *part.earliest_deadline < *sum.earliest_deadline)) {
      sum.earliest_deadline = part.earliest_deadline;
    }
  }

  const ModelSpec* Spec(const std::string& model) const {
    const auto it = input_.spec->models.find(model);
    return it == input_.spec->models.end() ? nullptr : &it->second;
  }

  ModelDemand DemandOf(const std::string& model) const {
    const auto it = models_.find(model);
    return it == models_.end() ? ModelDemand() : it->second;
  }

  std::uint32_t Replicas(const std::string& model) const {
    const auto it = replicas_.find(model);
    return it == replicas_.end() ? 0 : it->second;
  }

  // Memory of a model with room for all adapters that an engine may hold.
  double MemoryOf(const std::string& model) const {
    const auto* spec = Spec(model);
    if (spec == nullptr) {
      return 0;
    }
    return spec->weights_mb + spec->adapter_mb * input_.spec->adapter_slots;
  }

  double FreeMemory(const EnginePlace& engine) const {
    double used = engine.loading.empty() ? 0 : MemoryOf(engine.loading);
    for (const auto& [model, adapters] : engine.models) {
      used += MemoryOf(model);
    }
    return input_.spec->weights_mb - used;
  }

  // Whether an engine that takes orders has a copy to load the model from.
  bool HasCopy(const std::string& model) const {
    return std::ranges::any_of(input_.engines, [&](const EnginePlace& it) {
      return it.usable &&
             NearestCopy(it.copies, model) != CheckpointSource::kRemote;
    });
  }

  // Models with a copy come first, by the time left: each takes about a second.
  // Those without one share the store, and the one that most requests wait for
  // goes first.
  void PlaceMissing() {
    std::vector<std::pair<TimePoint, std::string>> with_copy;
    std::vector<std::tuple<std::int64_t, TimePoint, std::string>> without_copy;
    for (const auto& [model, demand] : models_) {
      if (demand.waiting == 0 || Replicas(model) > 0 || !Spec(model)) {
        continue;
      }
      const auto deadline = demand.earliest_deadline.value_or(input_.now);
      if (HasCopy(model)) {
        with_copy.emplace_back(deadline, model);
      } else {
        without_copy.emplace_back(-std::int64_t{demand.waiting}, deadline,
                                  model);
      }
    }
    std::ranges::sort(with_copy);
    for (const auto& [deadline, model] : with_copy) {
      PlaceMissingModel(model);
    }
    std::ranges::sort(without_copy);
    for (const auto& [waiting, deadline, model] : without_copy) {
      if (store_loads_ >= input_.store_loads_allowed ||
          !PlaceMissingModel(model)) {
        Queue(model);
      }
    }
  }

  bool PlaceMissingModel(const std::string& model) {
    return Place(model, /*missing=*/true, /*spare_busy=*/true) ||
           Place(model, /*missing=*/true, /*spare_busy=*/false);
  }

  // The model waits for its turn at the store behind those that are loading and
  // those already queued.
  void Queue(const std::string& model) {
    const auto at_once = std::max(1U, input_.store_concurrency);
    const auto turns = store_queue_.size() / at_once + 2;
    const Duration load = Spec(model)->load_from_store;
    store_queue_.push_back({model, load * static_cast<Duration::rep>(turns)});
  }

  void PlaceReplicas() {
    std::vector<std::pair<double, std::string>> wanted;
    for (const auto& [model, demand] : models_) {
      const auto have = Replicas(model);
      const auto desired = DesiredReplicas(demand, input_.spec->slots);
      if (have > 0 && desired > have && Spec(model)) {
        wanted.emplace_back(static_cast<double>(have) / desired, model);
      }
    }
    std::ranges::sort(wanted);
    for (const auto& [part, model] : wanted) {
      Place(model, /*missing=*/false, /*spare_busy=*/true);
    }
  }

  // Plans the next order towards a replica of `model`. False if no engine can
  // take it.
  bool Place(const std::string& model, bool missing, bool spare_busy) {
    std::optional<Option> best;
    for (const auto& it : input_.engines) {
      auto option = Consider(it, model, missing, spare_busy);
      if (option && (!best || option->ready_in < best->ready_in)) {
        best = std::move(option);
      }
    }
    if (!best) {
      return false;
    }
    taken_.insert(best->engine->id);
    if (best->engine->busy) {
      return true;  // Soonest after the order in progress.
    }
    if (!best->victims.empty()) {
      const bool running = DemandOf(best->victims.front()).running > 0;
      orders_.push_back({best->engine->id,
                         OrderAction::kUnload,
                         {best->victims.front(), ""},
                         CheckpointSource::kMemory,
                         running ? kRunningUnloadTime : kUnloadTime});
      return true;
    }
    if (best->source == CheckpointSource::kRemote) {
      ++store_loads_;
    }
    orders_.push_back({best->engine->id,
                       OrderAction::kLoad,
                       {model, ""},
                       best->source,
                       LoadTime(*Spec(model), best->source)});
    return true;
  }

  std::optional<Option> Consider(const EnginePlace& engine,
                                 const std::string& model,
                                 bool missing,
                                 bool spare_busy) const {
    if (!engine.usable || taken_.contains(engine.id) ||
        engine.models.contains(model) || engine.loading == model) {
      return std::nullopt;
    }
    if (!missing && engine.busy) {
      return std::nullopt;
    }
    Option option;
    option.engine = &engine;
    option.source = NearestCopy(engine.copies, model);
    if (option.source == CheckpointSource::kRemote &&
        store_loads_ >= input_.store_loads_allowed) {
      return std::nullopt;
    }
    if (!PickVictims(engine, model, missing, spare_busy, option)) {
      return std::nullopt;
    }
    option.ready_in += LoadTime(*Spec(model), option.source);
    if (option.source == CheckpointSource::kRemote) {
      option.ready_in += kCostOfBlocking * OnlyCopies(engine);
    }
    if (engine.busy) {
      option.ready_in += engine.free_in;
    }
    const auto cost = missing ? kCostOfFullForMissing : kCostOfFullForReplica;
    option.ready_in += std::chrono::duration_cast<Duration>(
        cost * std::min(1.0, PartInUse(engine)));
    return option;
  }

  // The part of an engine's slots that its models use on average, if requests
  // are spread evenly over replicas.
  double PartInUse(const EnginePlace& engine) const {
    double runs = 0;
    for (const auto& [model, adapters] : engine.models) {
      runs += DemandOf(model).concurrency / std::max(1U, Replicas(model));
    }
    return runs / std::max(1U, input_.spec->slots);
  }

  // Models that only this engine has a copy of and that are not loaded: a long
  // load keeps their requests waiting.
  std::int64_t OnlyCopies(const EnginePlace& engine) const {
    return std::ranges::count_if(
        engine.copies.on_disk, [&](const std::string& model) {
          return Replicas(model) == 0 &&
                 std::ranges::none_of(
                     input_.engines, [&](const EnginePlace& it) {
                       return it.usable && it.id != engine.id &&
                              it.copies.on_disk.contains(model);
                     });
        });
  }

  bool MayMakeWay(const std::string& victim,
                  bool missing,
                  bool spare_busy) const {
    const auto demand = DemandOf(victim);
    const auto have = Replicas(victim);
    const auto desired = DesiredReplicas(demand, input_.spec->slots);
    if (demand.waiting > 0 && have <= 1) {
      return false;
    }
    if (desired > 0 && have <= desired) {
      return !spare_busy && have > kReplicasToKeep;
    }
    return missing || input_.now - demand.last_arrival >= kIdleForReplica;
  }

  bool PickVictims(const EnginePlace& engine,
                   const std::string& model,
                   bool missing,
                   bool spare_busy,
                   Option& option) const {
    double need = MemoryOf(model) - FreeMemory(engine);
    if (need <= 0) {
      return true;
    }
    std::vector<std::tuple<bool, TimePoint, std::string>> order;
    for (const auto& [held, adapters] : engine.models) {
      if (MayMakeWay(held, missing, spare_busy)) {
        const auto demand = DemandOf(held);
        order.emplace_back(demand.running > 0, demand.last_arrival, held);
      }
    }
    std::ranges::sort(order);
    for (const auto& [running, last, held] : order) {
      option.victims.push_back(held);
      option.ready_in += running ? kRunningUnloadTime : kUnloadTime;
      need -= MemoryOf(held);
      if (need <= 0) {
        return true;
      }
    }
    return false;
  }

  // Loads a model of which no copy is left while the store has nothing better
  // to do, so that its next request does not wait for the store; the one that
  // was asked for last goes first. Answers engines that leave with the only
  // copy.
  void StageCopies() {
    if (!store_queue_.empty() || !input_.engines_settled ||
        store_loads_ >= input_.store_loads_allowed) {
      return;
    }
    std::vector<std::pair<TimePoint, std::string>> lost;
    for (const auto& [model, spec] : input_.spec->models) {
      if (Replicas(model) == 0 && !HasCopy(model)) {
        lost.emplace_back(DemandOf(model).last_arrival, model);
      }
    }
    std::ranges::sort(lost, std::greater<>());
    for (const auto& [asked, model] : lost) {
      if (store_loads_ >= input_.store_loads_allowed) {
        return;
      }
      Place(model, /*missing=*/false, /*spare_busy=*/true);
    }
  }

  void PlaceAdapters() {
    for (const auto& [ref, demand] : input_.demand) {
      if (!ref.adapter.empty() && demand.waiting > 0 && !AdapterPlaced(ref)) {
        PlaceAdapter(ref);
      }
    }
  }

  bool AdapterPlaced(const ModelRef& ref) const {
    return std::ranges::any_of(input_.engines, [&](const EnginePlace& it) {
      const auto held = it.models.find(ref.model);
      return it.usable && held != it.models.end() &&
             held->second.contains(ref.adapter);
    });
  }

  static std::size_t AdapterCount(const EnginePlace& engine) {
    std::size_t n = 0;
    for (const auto& [model, adapters] : engine.models) {
      n += adapters.size();
    }
    return n;
  }

  // Adapters meet on engines by hash, so that each engine's places serve a part
  // of them; an engine without a free place is the last choice.
  void PlaceAdapter(const ModelRef& ref) {
    const EnginePlace* best = nullptr;
    std::pair<bool, std::uint64_t> best_rank;
    for (const auto& it : input_.engines) {
      if (!it.usable || it.busy || taken_.contains(it.id) ||
          !it.models.contains(ref.model) ||
          it.adapters_on_the_way >= kAdaptersAtOnce) {
        continue;
      }
      const bool room = AdapterCount(it) < input_.spec->adapter_slots;
      const std::pair rank{room, StableHash(it.id + "\n" + ref.ToString())};
      if (best == nullptr || rank > best_rank) {
        best = &it;
        best_rank = rank;
      }
    }
    if (best == nullptr) {
      return;
    }
    if (best_rank.first) {
      taken_.insert(best->id);
      orders_.push_back({best->id, OrderAction::kLoad, ref,
                         CheckpointSource::kRemote, Duration(0)});
      return;
    }
    if (const auto victim = IdleAdapter(*best)) {
      taken_.insert(best->id);
      orders_.push_back({best->id, OrderAction::kUnload, *victim,
                         CheckpointSource::kRemote, Duration(0)});
    }
  }

  // The adapter of an engine that was idle for longest and is not in use.
  std::optional<ModelRef> IdleAdapter(const EnginePlace& engine) const {
    std::optional<std::pair<TimePoint, ModelRef>> best;
    for (const auto& [model, adapters] : engine.models) {
      for (const auto& adapter : adapters) {
        const ModelRef ref{model, adapter};
        const auto it = input_.demand.find(ref);
        const bool used = it != input_.demand.end() &&
                          (it->second.waiting > 0 || it->second.running > 0);
        const auto last =
            it == input_.demand.end() ? TimePoint{} : it->second.last_arrival;
        if (!used && (!best || std::pair(last, ref) < *best)) {
          best = {last, ref};
        }
      }
    }
    return best ? std::optional(best->second) : std::nullopt;
  }

  const PlacementInput& input_;
  std::map<std::string, ModelDemand> models_;
  std::map<std::string, std::uint32_t> replicas_;
  std::set<std::string> taken_;
  std::uint32_t store_loads_ = 0;
  std::vector<PlannedOrder> orders_;
  std::vector<ExpectedLoad> store_queue_;
};

}  // namespace

std::uint32_t DesiredReplicas(const ModelDemand& demand, std::uint32_t slots) {
  if (demand.rate < kBusyRate) {
    return 0;
  }
  const double runs = std::clamp(slots * kPartOfSlotsPerReplica,
                                 kFewestRunsPerReplica, kMostRunsPerReplica);
  const auto by_load =
      static_cast<std::uint32_t>(std::ceil(demand.concurrency / runs));
  return std::max(2U, by_load);
}

CheckpointSource NearestCopy(const WeightCopies& copies,
                             const std::string& model) {
  if (copies.in_memory.contains(model)) {
    return CheckpointSource::kMemory;
  }
  return copies.on_disk.contains(model) ? CheckpointSource::kDisk
                                        : CheckpointSource::kRemote;
}

Duration LoadTime(const ModelSpec& model, CheckpointSource source) {
  switch (source) {
    case CheckpointSource::kMemory:
      return model.load_from_memory;
    case CheckpointSource::kDisk:
      return model.load_from_disk;
    case CheckpointSource::kRemote:
      return model.load_from_store;
  }
  return model.load_from_store;
}

PlacementPlan PlanPlacement(const PlacementInput& input) {
  return Planner(input).Plan();
}

}  // namespace tanagerloom
