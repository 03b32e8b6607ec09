#include "placement/cell_controller.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

#include "base/event_log.h"
#include "base/events.h"
#include "base/id.h"
#include "config/estate_source.h"
#include "config/settings.h"
#include "ports/peer_network.h"

namespace tanagerloom {

namespace {

using std::chrono::milliseconds;

// Number of conflicting writes after which a pass ends, so that other fibers
// can run.
constexpr int kMaxAttemptsPerPass = 4;
// Poll interval of an engine without open orders.
constexpr milliseconds kIdlePollInterval{2000};
constexpr milliseconds kMinPollInterval{5};
// Maximum poll interval of an engine with open orders.
constexpr milliseconds kMaxOpenOrderPollInterval{100};
// An engine is polled at intervals of 5% of the age of its load, so that
// polling adds at most 5% to the cold start.
constexpr int kPollsPerAge = 20;
// Interval at which a node that decides for the cell reads the placement
// record.
constexpr milliseconds kRefreshInterval{5000};
// Time until the next pass after the object store failed.
constexpr milliseconds kPlatformRetryDelay{100};
// Interval at which an OrderDone message is sent again while this process is
// still listed as a sender.
constexpr milliseconds kDoneResendInterval{2000};
// Nodes learn from the record that a replica is to be unloaded. Requests that
// they dispatched earlier appear in the demand within this time.
constexpr std::uint64_t kUnloadGraceMs = 100;
// Maximum lag of load reports: a report that is read this long after a decision
// includes all requests that were dispatched before the decision.
constexpr std::uint64_t kLoadReportLagMs = 1000;
// Nodes renew their demand every second, so a new coordinator knows the running
// requests of all nodes after this time.
constexpr milliseconds kDemandCompleteAfter{1500};
// Interval at which the slots are read again while loads wait for one.
constexpr milliseconds kSlotRetryInterval{100};
// Time for which a slot is kept whose order is not in the record, because it
// may belong to a decision that another node is storing.
constexpr std::uint64_t kUnknownSlotTimeoutMs = 5000;
// A load that takes longer is considered stuck, and its slot is released.
constexpr std::uint64_t kMaxLoadMs = 600000;
// Time for which a replica that its engine lacks receives no requests.
constexpr milliseconds kMissingReplicaTimeout{3000};
// Limit on the reads of placement records by all nodes together.
constexpr int kMaxReadsPerSecond = 50;

milliseconds ToMilliseconds(std::uint64_t ms) {
  return milliseconds(static_cast<std::int64_t>(ms));
}

}  // namespace

CellController::CellController(std::string cell,
                               const PlacementDependencies& deps,
                               RecordStore& records,
                               SlotStore& slots,
                               PlatformBackoff& backoff,
                               VmIndex& vm_index,
                               TaskGroup& tasks,
                               std::function<void()> on_change)
    : cell_(std::move(cell)),
      deps_(deps),
      records_(records),
      slots_(slots),
      backoff_(backoff),
      vm_index_(vm_index),
      on_change_(std::move(on_change)),
      view_(std::make_shared<StoredRecord>()),
      coordinator_(deps.peers, deps.clock, cell_),
      histories_(deps.store, deps.clock, cell_),
      monitor_(deps.engine_control, deps.clock, tasks, [this] { Wake(); }),
      executor_(deps.engine_control,
                deps.clock,
                deps.log,
                tasks,
                deps.peers.self(),
                deps.settings.sender_gone_timeout,
                {.find_address =
                     [this](const auto& engine) {
                       return monitor_.AddressOf(engine);
                     },
                 .must_wait =
                     [this](const auto& engine, const auto& replica) {
                       return MustOrderWait(engine, replica);
                     },
                 .may_send =
                     [this](const auto& engine, const auto& replica) {
                       return MaySendOrder(engine, replica);
                     },
                 .on_answer = [this] { Wake(); }}) {}

void CellController::Run() {
  while (!stopping_) {
    const auto seen = wake_.count();
    const auto wait = Step();
    // The flag waits in real time, while the pass uses the injected clock.
    if (wake_.WaitUntil(seen, std::chrono::steady_clock::now() + wait)) {
      deps_.clock.SleepFor(std::min<Duration>(
          deps_.settings.demand_batch_interval, kMinPollInterval));
    }
  }
}

void CellController::Drain() {
  draining_ = true;
  Wake();
}

void CellController::Stop() {
  stopping_ = true;
  executor_.Stop();
  Wake();
}

Duration CellController::Step() {
  const auto wait = RunPass();
  executor_.Sync(view_->record);
  SendOrderDoneMessages();
  return wait;
}

Duration CellController::RunPass() {
  DetectPause();
  UpdateVms();
  RecordUse();
  const auto now = deps_.clock.Now();
  coordinator_.Update();
  if (!IsCoordinator()) {
    histories_.ReloadLater();
  }
  if (const auto wait = backoff_.TimeUntilAllowed(); wait > Duration::zero()) {
    return PollDuringOutage(wait);
  }
  if ((!has_view_ || now > last_refresh_time_ + RefreshInterval()) &&
      !Refresh()) {
    return kPlatformRetryDelay;
  }
  if (!MayDecide()) {
    return HasOwnOrders() ? kMaxOpenOrderPollInterval : kIdlePollInterval;
  }
  if (IsCoordinator() && !SyncHistories()) {
    return kPlatformRetryDelay;
  }
  monitor_.SetEnginesToReadLoadFrom(EnginesToReadLoadFrom());
  monitor_.PollDueEngines(PollIntervals());
  if (!Decide()) {
    return kPlatformRetryDelay;
  }
  const auto due = monitor_.TimeUntilNextPoll(PollIntervals());
  return waiting_for_slots_ > 0 || HasOpenOrders()
             ? std::min<Duration>(due, kSlotRetryInterval)
             : due;
}

void CellController::DetectPause() {
  const auto now = deps_.clock.Now();
  if (last_pass_time_ && now > *last_pass_time_ + kIdlePollInterval +
                                   deps_.settings.order_progress_timeout) {
    deps_.log.Record(
        events::kPauseDetected,
        {{"cell", cell_},
         {"ms", std::chrono::duration_cast<milliseconds>(now - *last_pass_time_)
                    .count()}});
    has_view_ = false;
    coordinator_.Reset();
    monitor_.Invalidate();
  }
  last_pass_time_ = now;
}

void CellController::RecordUse() {
  const auto now_ms = MonotonicMs(deps_.clock);
  demand_table_.Expire(now_ms);
  for (const auto& key : demand_table_.TakeUsedKeys()) {
    histories_.RecordUse(key, now_ms);
  }
}

bool CellController::SyncHistories() {
  const bool synced = histories_.Sync();
  if (!synced) {
    backoff_.RecordFailure(deps_.peers.Members().size());
  }
  return synced;
}

Duration CellController::RefreshInterval() const {
  if (MayDecide()) {
    return kRefreshInterval;
  }
  const auto reads =
      deps_.peers.Members().size() *
      std::max<std::size_t>(1, deps_.estate.Current()->pools.size());
  return std::max<Duration>(
      kRefreshInterval, std::chrono::seconds(static_cast<std::int64_t>(reads) /
                                             kMaxReadsPerSecond));
}

void CellController::UpdateVms() {
  const auto* engine_vms = vm_index_.EnginesOf(cell_);
  if (engine_vms == nullptr) {
    return;
  }
  monitor_.SetVms(*engine_vms);
  for (const auto& [id, engine] : view_->record.engines) {
    monitor_.AddUnlisted(id);
  }
}

std::map<std::string, Duration> CellController::PollIntervals() const {
  std::map<std::string, Duration> intervals;
  const auto now_ms = MonotonicMs(deps_.clock);
  for (const auto& [id, status] : monitor_.statuses()) {
    if (!status.listed && !view_->record.engines.contains(id)) {
      continue;
    }
    milliseconds interval = kIdlePollInterval;
    const auto it = view_->record.engines.find(id);
    if (it != view_->record.engines.end()) {
      for (const auto& replica : it->second.replicas) {
        if (replica.state == ReplicaState::kLoaded ||
            IsUnstartedStandby(replica)) {
          continue;
        }
        const auto age =
            ToMilliseconds(now_ms - std::min(now_ms, FirstSeenMs(replica)));
        interval =
            std::min(interval, std::clamp(age / kPollsPerAge, kMinPollInterval,
                                          kMaxOpenOrderPollInterval));
      }
    }
    intervals[id] = interval;
  }
  return intervals;
}

std::set<std::string> CellController::EnginesToReadLoadFrom() const {
  std::set<std::string> engines;
  const bool complete = IsDemandComplete();
  for (const auto& [id, engine] : view_->record.engines) {
    const bool unloading = std::ranges::any_of(
        engine.replicas,
        [](const auto& it) { return it.state == ReplicaState::kUnloading; });
    if (!complete || unloading) {
      engines.insert(id);
    }
  }
  return engines;
}

bool CellController::Refresh() {
  const auto started = deps_.clock.Now();
  auto stored = records_.Load(cell_);
  if (!stored) {
    backoff_.RecordFailure(deps_.peers.Members().size());
    return false;
  }
  if (!last_write_failed_) {
    backoff_.RecordSuccess();
  }
  last_refresh_time_ = started;
  view_confirmed_at_ = started;
  SetView(std::move(stored).assume_value());
  return true;
}

void CellController::RecordWriteFailure() {
  last_write_failed_ = true;
  backoff_.RecordFailure(deps_.peers.Members().size());
}

void CellController::SetView(StoredRecord stored) {
  if (has_view_ && stored.version <= view_->version) {
    return;
  }
  if (stored.version == view_->version && stored.version != 0) {
    has_view_ = true;
    return;
  }
  has_view_ = true;
  view_ = std::make_shared<const StoredRecord>(std::move(stored));
  const auto now_ms = MonotonicMs(deps_.clock);
  view_seen_ms_ = now_ms;
  for (const auto& [key, seen] : first_seen_ms_) {
    if (key.second == ReplicaState::kLoading && MayDecide()) {
      orders_to_release_.insert(key.first);
    }
  }
  decltype(first_seen_ms_) seen;
  std::set<std::string_view> orders;
  for (const auto& [id, engine] : view_->record.engines) {
    for (const auto& it : engine.replicas) {
      orders.insert(it.order);
      granted_orders_.erase(it.order);
      if (it.state == ReplicaState::kLoading) {
        orders_to_release_.erase(it.order);
      }
      const auto key = std::pair(it.order, it.state);
      const auto old = first_seen_ms_.find(key);
      seen[key] = old == first_seen_ms_.end() ? now_ms : old->second;
    }
  }
  first_seen_ms_ = std::move(seen);
  std::erase_if(done_orders_,
                [&](const auto& it) { return !orders.contains(it.first); });
  std::erase_if(done_sent_at_,
                [&](const auto& it) { return !orders.contains(it.first); });
  on_change_();
}

std::uint64_t CellController::FirstSeenMs(const ReplicaRecord& replica) const {
  const auto it = first_seen_ms_.find({replica.order, replica.state});
  return it == first_seen_ms_.end() ? MonotonicMs(deps_.clock) : it->second;
}

struct CellController::Decision {
  View base;
  std::shared_ptr<const Estate> estate;
  CellRecord next;
  ReconcileOutcome outcome;
  std::set<std::string> orders;  // Ids of new loads that have slots.
  bool complete = true;          // False if the object store failed.
};

bool CellController::Decide() {
  for (int attempt = 0; attempt < kMaxAttemptsPerPass; ++attempt) {
    auto decision = MakeDecision();
    if (!decision.complete) {
      return false;
    }
    if (decision.next == decision.base->record) {
      ReleaseUnneededSlots();
      return true;
    }
    const auto stored = StoreDecision(std::move(decision));
    if (stored) {
      ReleaseUnneededSlots();
      return true;
    }
    if (stored.assume_error().kind != ErrorKind::kConflict) {
      RecordWriteFailure();
      has_view_ = false;
      return false;
    }
    if (!Refresh()) {
      return false;
    }
  }
  return true;
}

CellController::Decision CellController::MakeDecision() {
  Decision decision{.base = view_,
                    .estate = deps_.estate.Current(),
                    .next = view_->record,
                    .outcome = {},
                    .orders = {}};
  decision.outcome = Reconcile(decision.next);
  waiting_for_slots_ = 0;
  // A node with an older configuration than the record does not know the
  // current limits.
  if (draining_ || stopping_ ||
      decision.estate->version < decision.next.config_version) {
    return decision;
  }
  auto plan = MakePlan(decision.next, *decision.estate);
  if (plan.waiting_for_slots > 0 &&
      deps_.clock.Now() >= slots_read_at_ + kSlotRetryInterval) {
    // Other cells may have released slots since the last read.
    slots_read_at_ = deps_.clock.Now();
    if (!slots_.Refresh()) {
      RecordWriteFailure();
      decision.complete = false;
      return decision;
    }
    plan = MakePlan(decision.next, *decision.estate);
  }
  waiting_for_slots_ = plan.waiting_for_slots;
  if (!AcquireSlots(decision.next, plan)) {
    decision.complete = false;
    return decision;
  }
  for (const auto& it : plan.loads) {
    if (!it.order.empty()) {
      decision.orders.insert(it.order);
    }
  }
  ApplyPlan(decision.next, plan);
  return decision;
}

Result<void> CellController::StoreDecision(Decision decision) {
  auto& next = decision.next;
  next.config_version = std::max(next.config_version, decision.estate->version);
  RemoveDoneSenders(next,
                    [this](auto engine, const auto& replica, auto process) {
                      return IsSenderDone(engine, replica, process);
                    });
  const auto started = deps_.clock.Now();
  auto stored =
      records_.Replace(*decision.base, std::move(next), *decision.estate);
  if (!stored) {
    return std::move(stored).assume_error();
  }
  last_write_failed_ = false;
  backoff_.RecordSuccess();
  view_confirmed_at_ = started;
  last_refresh_time_ = started;
  for (const auto& it : decision.orders) {
    granted_orders_.erase(it);
  }
  for (const auto& it : decision.outcome.loaded) {
    RecordLoadDuration(it);
  }
  SetView(std::move(stored).assume_value());
  LogDecision(decision.outcome, view_->record);
  AnnounceRecord();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void CellController::RecordLoadDuration(const ReplicaChange& change) {
  if (!UsesWeightStore(change.key, change.source)) {
    return;
  }
  const auto estate = deps_.estate.Current();
  const auto model = estate->models.find(change.key.model);
  const auto now_ms = Self().now_ms;
  if (model != estate->models.end() && now_ms > change.decided_ms) {
    load_durations_.push_back(
        {now_ms - change.decided_ms,
         static_cast<std::uint64_t>(model->second.expected_load.count())});
  }
}

bool CellController::AcquireSlots(const CellRecord& next, Plan& plan) {
  const auto uses_store = [](const LoadDecision& it) {
    return UsesWeightStore(it.key, it.source) &&
           it.reason != DecisionReason::kStandby;
  };
  const auto needed =
      static_cast<std::size_t>(std::ranges::count_if(plan.loads, uses_store));
  auto standby = StandbyOrdersToStart();
  const auto more =
      needed > granted_orders_.size() ? needed - granted_orders_.size() : 0;
  if ((more > 0 || !standby.empty()) &&
      !ExchangeSlots(next, static_cast<std::uint32_t>(more),
                     std::move(standby))) {
    return false;
  }
  auto grant = granted_orders_.begin();
  std::erase_if(plan.loads, [&](LoadDecision& it) {
    if (!uses_store(it)) {
      return false;
    }
    if (grant == granted_orders_.end()) {
      ++waiting_for_slots_;
      return true;
    }
    it.order = *grant++;
    return false;
  });
  return true;
}

bool CellController::ExchangeSlots(const CellRecord& next,
                                   std::uint32_t wanted,
                                   std::vector<std::string> orders) {
  std::set<std::string_view> loading;
  for (const auto& [id, engine] : next.engines) {
    for (const auto& it : engine.replicas) {
      if (it.state == ReplicaState::kLoading) {
        loading.insert(it.order);
      }
    }
  }
  const auto now_ms = Self().now_ms;
  const auto is_needed = [&](const LoadSlot& it) {
    if (loading.contains(it.order)) {
      return now_ms < it.taken_ms + kMaxLoadMs;
    }
    return granted_orders_.contains(it.order) ||
           (!orders_to_release_.contains(it.order) &&
            now_ms < it.taken_ms + kUnknownSlotTimeoutMs);
  };
  auto granted = slots_.Exchange({.cell = cell_,
                                  .is_needed = is_needed,
                                  .orders = std::move(orders),
                                  .wanted = wanted,
                                  .durations = load_durations_},
                                 deps_.estate.Current()->weight_store);
  if (!granted) {
    RecordWriteFailure();
    return false;
  }
  load_durations_.clear();
  orders_to_release_.clear();
  granted_orders_.insert(granted.assume_value().begin(),
                         granted.assume_value().end());
  return true;
}

void CellController::ReleaseUnneededSlots() {
  const auto now_ms = Self().now_ms;
  std::set<std::string_view> loading;
  for (const auto& [id, engine] : view_->record.engines) {
    for (const auto& it : engine.replicas) {
      if (it.state == ReplicaState::kLoading) {
        loading.insert(it.order);
      }
    }
  }
  bool free = false;
  for (const auto& it : slots_.slots().slots) {
    if (it.cell != cell_ || loading.contains(it.order)) {
      continue;
    }
    if (granted_orders_.contains(it.order)) {
      // A slot that no decision has used for a while is released.
      if (waiting_for_slots_ == 0 &&
          now_ms > it.taken_ms + kUnknownSlotTimeoutMs) {
        granted_orders_.erase(it.order);
        orders_to_release_.insert(it.order);
        free = true;
      }
      continue;
    }
    if (orders_to_release_.contains(it.order) ||
        now_ms > it.taken_ms + kUnknownSlotTimeoutMs) {
      free = true;
    }
  }
  if (free || !load_durations_.empty()) {
    (void)ExchangeSlots(view_->record, 0, {});
  }
}

ReconcileOutcome CellController::Reconcile(CellRecord& next) {
  const auto estate = deps_.estate.Current();
  const auto pool = estate->pools.find(cell_);
  return ReconcileCell(
      next,
      {.estate = *estate,
       .engines = monitor_.statuses(),
       .orders = executor_.answers(),
       .first_seen_ms = [this](const auto& it) { return FirstSeenMs(it); },
       .view_seen_ms = view_seen_ms_,
       .is_sender_done =
           [this](auto engine, const auto& replica, auto process) {
             return IsSenderDone(engine, replica, process);
           },
       .is_executor_present =
           [this](auto process) { return IsExecutorPresent(process); },
       .self = Self(),
       .is_coordinator = IsCoordinator(),
       .engines_check_fence =
           pool != estate->pools.end() && pool->second.checks_fence,
       .now_ms = MonotonicMs(deps_.clock),
       .order_progress_ms = static_cast<std::uint64_t>(
           deps_.settings.order_progress_timeout.count()),
       .engine_gone_timeout_ms = static_cast<std::uint64_t>(
           deps_.settings.sender_gone_timeout.count())});
}

Plan CellController::MakePlan(const CellRecord& next,
                              const Estate& estate) const {
  const auto demand = demand_table_.Total();
  std::uint32_t adapters_loading = 0;
  for (const auto& [id, engine] : next.engines) {
    for (const auto& it : engine.replicas) {
      if (it.state == ReplicaState::kLoading) {
        adapters_loading += it.key.adapter.empty() ? 0 : 1;
      }
    }
  }
  // The limit on concurrent adapter loads is divided equally among the cells,
  // so that these short loads need no write to the shared slots.
  const auto cells =
      static_cast<std::uint32_t>(std::max<std::size_t>(1, estate.pools.size()));
  const auto cell_share =
      std::max(1U, estate.weight_store.concurrent_adapter_loads / cells);
  const auto wall_ms = Self().now_ms;
  auto slots = slots_.slots();
  slots.ReleaseUnneeded(cell_, [this](const auto& it) {
    return !orders_to_release_.contains(it.order);
  });
  const auto free_slots = slots.Available(estate.weight_store, wall_ms);
  const auto unstarted_standby_orders = UnstartedStandbyOrders(next);
  return PlanCell(
      {.record = next,
       .estate = estate,
       .demand = demand,
       .engines = monitor_.statuses(),
       .histories = histories_.all(),
       .unstarted_standby_orders = unstarted_standby_orders,
       .policy = ParseKeepAlivePolicy(
           deps_.settings.keep_alive_policy,
           std::chrono::duration<double>(deps_.settings.fixed_keep_alive)
               .count()),
       .remote_loads_allowed =
           static_cast<std::uint32_t>(granted_orders_.size()) + free_slots,
       .adapter_loads_allowed =
           cell_share > adapters_loading ? cell_share - adapters_loading : 0,
       .now_ms = MonotonicMs(deps_.clock),
       .wall_ms = wall_ms,
       .demand_is_complete = IsDemandComplete()});
}

void CellController::ApplyPlan(CellRecord& next, const Plan& plan) {
  const auto self = Self();
  for (const auto& it : plan.unloads) {
    (void)DecideUnload(next, it.engine, it.key, self);
  }
  for (const auto& it : plan.loads) {
    (void)DecideLoad(next, it, self);
  }
}

Decider CellController::Self() const {
  return {deps_.peers.self(),
          static_cast<std::uint64_t>(deps_.clock.WallNow().count())};
}

bool CellController::IsDemandComplete() const {
  if (!coordinator_.HasBeenSelfFor(kDemandCompleteAfter)) {
    return false;
  }
  return std::ranges::all_of(deps_.peers.Members(), [this](const auto& it) {
    return it.reachable || it.vm.id == deps_.peers.node_id();
  });
}

bool CellController::IsExecutorPresent(std::string_view process) const {
  const auto slash = process.find('/');
  const auto node = process.substr(0, slash);
  const auto incarnation =
      slash == std::string_view::npos ? "" : process.substr(slash + 1);
  return std::ranges::any_of(deps_.peers.Members(), [&](const auto& it) {
    return it.vm.id == node && it.reachable &&
           (it.incarnation.empty() || it.incarnation == incarnation);
  });
}

void CellController::LogDecision(const ReconcileOutcome& outcome,
                                 const CellRecord& stored) {
  std::uint32_t open = 0;
  for (const auto& [id, engine] : stored.engines) {
    for (const auto& it : engine.replicas) {
      open += it.state == ReplicaState::kLoaded ? 0 : 1;
    }
  }
  deps_.log.Record(
      events::kDecisionStored,
      {{"cell", cell_}, {"sequence", stored.sequence}, {"orders", open}});
  const auto wall = static_cast<std::uint64_t>(deps_.clock.WallNow().count());
  for (const auto& it : outcome.loaded) {
    deps_.log.Record(events::kReplicaLoaded,
                     {{"server", it.engine},
                      {"model", it.key.ToString()},
                      {"load_ms", wall - std::min(wall, it.decided_ms)}});
  }
  if (outcome.adopted > 0) {
    deps_.log.Record(events::kOrdersAdopted,
                     {{"cell", cell_}, {"count", outcome.adopted}});
  }
  if (outcome.found > 0) {
    deps_.log.Record(events::kReplicasFound,
                     {{"cell", cell_}, {"count", outcome.found}});
  }
  for (const auto& it : outcome.removed) {
    deps_.log.Record(events::kReplicaRemoved, {{"server", it.engine},
                                               {"model", it.key.ToString()},
                                               {"cause", it.cause}});
  }
}

void CellController::AnnounceRecord() {
  deps_.peers.Broadcast(RecordUpdate{
      cell_, view_->version,
      view_->text.empty() ? SerializeRecord(view_->record) : view_->text});
}

void CellController::HandleRecord(const RecordUpdate& update) {
  if (has_view_ && update.object_version <= view_->version) {
    return;
  }
  auto record = ParseRecord(update.record);
  if (record && record.assume_value().cell == cell_) {
    SetView({std::move(record).assume_value(), update.object_version, ""});
    Wake();
  }
}

void CellController::HandleOrderDone(const std::string& from,
                                     const OrderDone& done) {
  done_orders_.emplace(done.order, from);
  for (const auto& [id, engine] : view_->record.engines) {
    for (const auto& it : engine.replicas) {
      // The executor reports an order as done only after the engine answered.
      if (it.order == done.order && it.executor == from) {
        executor_.RecordAnswer(done.order);
      }
    }
  }
  Wake();
}

void CellController::SetDemand(const std::string& process,
                               const Demand& demand) {
  const auto now_ms = MonotonicMs(deps_.clock);
  for (const auto& it : demand.entries) {
    const ModelDemand entry{
        .waiting = it.waiting,
        .running = it.running,
        .rank = it.rank,
        .deadline_ms =
            it.earliest_deadline_ms == 0 ? 0 : now_ms + it.earliest_deadline_ms,
        .arrivals = it.arrivals};
    demand_table_.Set(process, demand.number,
                      {it.model, it.version, it.adapter}, entry, now_ms);
  }
  Wake();
}

void CellController::ActAsCoordinator() {
  coordinator_.ActFor(2 * deps_.settings.demand_timeout);
  Wake();
}

bool CellController::HasOpenOrders() const {
  for (const auto& [id, engine] : view_->record.engines) {
    for (const auto& it : engine.replicas) {
      if (it.state != ReplicaState::kLoaded && !IsUnstartedStandby(it)) {
        return true;
      }
    }
  }
  return false;
}

bool CellController::IsUnstartedStandby(const ReplicaRecord& replica) const {
  return replica.reason == DecisionReason::kStandby &&
         replica.state == ReplicaState::kLoading &&
         replica.executor == deps_.peers.self() &&
         !executor_.IsSendStarted(replica.order);
}

std::set<std::string> CellController::UnstartedStandbyOrders(
    const CellRecord& record) const {
  std::set<std::string> orders;
  for (const auto& [id, engine] : record.engines) {
    for (const auto& it : engine.replicas) {
      if (IsUnstartedStandby(it)) {
        orders.insert(it.order);
      }
    }
  }
  return orders;
}

bool CellController::HasSlot(const ReplicaRecord& replica) const {
  return !UsesWeightStore(replica.key, replica.source) ||
         std::ranges::any_of(slots_.slots().slots, [&](const auto& it) {
           return it.order == replica.order;
         });
}

std::vector<std::string> CellController::StandbyOrdersToStart() const {
  std::vector<std::string> orders;
  const auto demand = demand_table_.Total();
  for (const auto& [id, engine] : view_->record.engines) {
    for (const auto& it : engine.replicas) {
      const auto found = demand.find(it.key);
      if (IsUnstartedStandby(it) && found != demand.end() &&
          found->second.waiting > 0 && !HasSlot(it)) {
        orders.push_back(it.order);
      }
    }
  }
  return orders;
}

bool CellController::IsReportedLoaded(const std::string& engine,
                                      const ReplicaRecord& replica) const {
  const auto status = monitor_.statuses().find(engine);
  if (status == monitor_.statuses().end() || !status->second.report) {
    return false;
  }
  const auto* entry = status->second.report->Find(replica.key);
  return entry != nullptr && entry->order == replica.order &&
         entry->state == ReportedEntry::State::kLoaded;
}

bool CellController::MayStartStandby(const ReplicaRecord& replica) const {
  const auto demand = demand_table_.Total();
  const auto it = demand.find(replica.key);
  if (it == demand.end() || it->second.waiting == 0) {
    return false;
  }
  if (HasSlot(replica)) {
    return true;
  }
  // During an outage of the object store no slot can be taken. One load at a
  // time stays within the limits of the weight store together with the loads of
  // the other cells.
  if (backoff_.failures() == 0) {
    return false;
  }
  for (const auto& [id, other] : view_->record.engines) {
    for (const auto& load : other.replicas) {
      if (load.state == ReplicaState::kLoading && !IsUnstartedStandby(load) &&
          UsesWeightStore(load.key, load.source) &&
          !IsReportedLoaded(id, load)) {
        return false;
      }
    }
  }
  return true;
}

Duration CellController::PollDuringOutage(Duration wait) {
  std::map<std::string, Duration> intervals;
  const auto demand = demand_table_.Total();
  for (const auto& [id, engine] : view_->record.engines) {
    for (const auto& it : engine.replicas) {
      if (it.state == ReplicaState::kLoading && demand.contains(it.key)) {
        intervals[id] = kMaxOpenOrderPollInterval;
      }
    }
  }
  monitor_.PollDueEngines(intervals);
  return intervals.empty()
             ? wait
             : std::min<Duration>(wait, kMaxOpenOrderPollInterval);
}

bool CellController::HasOwnOrders() const {
  for (const auto& [id, engine] : view_->record.engines) {
    for (const auto& it : engine.replicas) {
      if (it.state != ReplicaState::kLoaded && !IsUnstartedStandby(it) &&
          it.executor == deps_.peers.self() &&
          !executor_.answers().contains(it.order)) {
        return true;
      }
    }
  }
  return executor_.HasOrdersInFlight();
}

bool CellController::IsSenderDone(std::string_view engine,
                                  const ReplicaRecord& replica,
                                  std::string_view process) const {
  if (process != deps_.peers.self()) {
    return done_orders_.contains({replica.order, std::string(process)}) ||
           !deps_.peers.MayStillRun(process);
  }
  return !executor_.HasOrderInFlight(engine, replica.key) &&
         (replica.executor != process ||
          replica.state == ReplicaState::kLoaded ||
          executor_.answers().contains(replica.order));
}

void CellController::SendOrderDoneMessages() {
  const auto now = deps_.clock.Now();
  const auto& self = deps_.peers.self();
  if (IsCoordinator()) {
    return;
  }
  for (const auto& [id, engine] : view_->record.engines) {
    for (const auto& it : engine.replicas) {
      if (std::ranges::find(it.senders, self) == it.senders.end() ||
          !IsSenderDone(id, it, self)) {
        continue;
      }
      const auto sent = done_sent_at_.find(it.order);
      if (sent != done_sent_at_.end() &&
          now < sent->second + kDoneResendInterval) {
        continue;
      }
      done_sent_at_[it.order] = now;
      deps_.peers.Send(Coordinator(), OrderDone{cell_, id, it.order});
    }
  }
}

bool CellController::MaySendOrder(const std::string& engine,
                                  const ReplicaRecord& replica) {
  // A standby order may start during an outage of the object store: this
  // process remains one of its senders, so the entry and its memory remain
  // reserved.
  const bool starts_standby = replica.reason == DecisionReason::kStandby &&
                              has_view_ && backoff_.failures() > 0;
  if (!starts_standby &&
      deps_.clock.Now() >
          view_confirmed_at_ + deps_.settings.order_progress_timeout &&
      (backoff_.TimeUntilAllowed() > Duration::zero() || !Refresh())) {
    return false;
  }
  const auto it = view_->record.engines.find(engine);
  const auto* current = it == view_->record.engines.end()
                            ? nullptr
                            : it->second.Find(replica.key);
  return current != nullptr && current->order == replica.order &&
         (current->executor == deps_.peers.self() ||
          executor_.IsUnconfirmed(replica.order));
}

bool CellController::MustOrderWait(const std::string& engine,
                                   const ReplicaRecord& replica) const {
  if (replica.state != ReplicaState::kUnloading) {
    return replica.reason == DecisionReason::kStandby &&
           !MayStartStandby(replica);
  }
  const auto status = monitor_.statuses().find(engine);
  if (status == monitor_.statuses().end() || !status->second.report) {
    return true;
  }
  const auto* entry = status->second.report->Find(replica.key);
  if (entry == nullptr || entry->state != ReportedEntry::State::kLoaded) {
    return false;  // No request can run on a replica that is not loaded.
  }
  const auto record = view_->record.engines.find(engine);
  if (replica.key.adapter.empty() && record != view_->record.engines.end() &&
      std::ranges::any_of(record->second.replicas, [&](const auto& it) {
        return !it.key.adapter.empty() && it.key.Base() == replica.key;
      })) {
    return true;
  }
  const auto decided_ms = FirstSeenMs(replica);
  const auto& load = status->second.load;
  if (load && load->running == 0 && load->waiting == 0 &&
      load->read_started_ms >= decided_ms + kLoadReportLagMs) {
    return false;
  }
  if (MonotonicMs(deps_.clock) < decided_ms + kUnloadGraceMs ||
      !IsDemandComplete()) {
    return true;
  }
  return std::ranges::any_of(demand_table_.Total(), [&](const auto& it) {
    return it.second.running > 0 &&
           (it.first == replica.key || it.first.Base() == replica.key);
  });
}

void CellController::ReportMissingReplica(const std::string& engine,
                                          const ModelKey& key) {
  missing_replicas_[{engine, key}] = deps_.clock.Now();
  monitor_.ForcePoll(engine);
  Wake();
}

std::vector<std::string> CellController::EnginesServing(
    const ModelKey& key) const {
  std::vector<std::string> engines;
  for (const auto& [id, engine] : view_->record.engines) {
    const auto* replica = engine.Find(key);
    const auto status = monitor_.statuses().find(id);
    // During an outage of the object store the record cannot be updated when a
    // load completes, so the engine's report decides.
    if (replica == nullptr ||
        (replica->state != ReplicaState::kLoaded &&
         (replica->state != ReplicaState::kLoading ||
          !IsReportedLoaded(id, *replica))) ||
        engine.leaving || status == monitor_.statuses().end() ||
        !status->second.listed || status->second.leaving) {
      continue;
    }
    const auto missing = missing_replicas_.find({id, key});
    if (missing == missing_replicas_.end() ||
        deps_.clock.Now() > missing->second + kMissingReplicaTimeout) {
      engines.push_back(id);
    }
  }
  return engines;
}

ReplicaLoadEstimate CellController::EstimateReplicaLoad(
    const ModelKey& key) const {
  ReplicaLoadEstimate forecast;
  const auto failures = view_->record.failures.find(key);
  if (failures != view_->record.failures.end() &&
      Self().now_ms <
          failures->second.KeyRetryAtMs(view_->record.engines.size())) {
    forecast.failing = true;
    forecast.cause = failures->second.cause;
    return forecast;
  }
  const auto estate = deps_.estate.Current();
  const auto model = estate->models.find(key.model);
  if (model == estate->models.end()) {
    return forecast;
  }
  Duration ready_in = model->second.expected_load;
  for (const auto& [id, engine] : view_->record.engines) {
    const auto* replica = engine.Find(key);
    // A standby load may not have started yet.
    if (replica != nullptr && replica->state == ReplicaState::kLoading &&
        replica->reason != DecisionReason::kStandby) {
      const auto age = ToMilliseconds(
          MonotonicMs(deps_.clock) -
          std::min(MonotonicMs(deps_.clock), FirstSeenMs(*replica)));
      ready_in = std::min<Duration>(
          ready_in, std::max<Duration>(model->second.expected_load - age,
                                       Duration::zero()));
    }
  }
  forecast.ready_in = ready_in;
  return forecast;
}

nlohmann::json CellController::Status() const {
  auto json = RecordToJson(view_->record);
  std::uint64_t reserved = 0;
  std::uint64_t capacity = 0;
  std::size_t replicas = 0;
  for (const auto& [id, engine] : view_->record.engines) {
    reserved += engine.ReservedMb();
    capacity += engine.memory_mb;
    replicas += engine.replicas.size();
  }
  return {
      {"record", std::move(json)},    {"object_version", view_->version},
      {"coordinator", Coordinator()}, {"acting", IsActingCoordinator()},
      {"replicas", replicas},         {"reserved_mb", reserved},
      {"memory_mb", capacity},        {"orders_sent", executor_.orders_sent()}};
}

}  // namespace tanagerloom
