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

// Conflicts in one pass before it gives way to other work.
constexpr int kAttemptsPerPass = 4;
constexpr milliseconds kIdlePoll{2000};
constexpr milliseconds kFastestPoll{5};
constexpr milliseconds kSlowestOpenPoll{100};
// A poll every 5% of a load's age adds at most 5% to its cold start.
constexpr int kPollsPerAge = 20;
constexpr milliseconds kRefreshInterval{5000};
constexpr milliseconds kFirstPlatformRetry{100};
constexpr milliseconds kDoneInterval{2000};
// Nodes learn from the record that a replica is to be unloaded; requests they
// dispatched before that appear in the demand within this time.
constexpr std::uint64_t kUnloadGraceMs = 100;
// Load reports lag; one read this long after the decision shows requests that
// were dispatched before it.
constexpr std::uint64_t kLoadReportLagMs = 1000;
// Nodes renew their demand every second; a new coordinator knows the running
// requests of all nodes after this time.
constexpr milliseconds kDemandKnownAfter{1500};
constexpr milliseconds kSlotRetry{100};
// A slot whose order is not in the record may belong to a decision of another
// node that is being stored.
constexpr std::uint64_t kUnknownSlotMs = 5000;
// A load that takes longer is taken as stuck and gives up its slot.
constexpr std::uint64_t kLongestLoadMs = 600000;
constexpr milliseconds kMissingTime{3000};
// Hashing all members for each message would cost too much with 530 nodes.
constexpr milliseconds kCoordinatorAge{20};
// All nodes together read the records at most this often.
constexpr int kReadsPerSecond = 50;

milliseconds Ms(std::uint64_t ms) {
  return milliseconds(static_cast<std::int64_t>(ms));
}

}  // namespace

CellController::CellController(std::string cell,
                               const PlacementDependencies& deps,
                               RecordStore& records,
                               SlotStore& slots,
                               PlatformBackoff& backoff,
                               VmIndex& vms,
                               TaskGroup& tasks,
                               std::function<void()> on_change)
    : cell_(std::move(cell)),
      deps_(deps),
      records_(records),
      slots_(slots),
      backoff_(backoff),
      vms_(vms),
      on_change_(std::move(on_change)),
      view_(std::make_shared<StoredRecord>()),
      history_store_(deps.store, deps.clock, cell_),
      monitor_(deps.engines, deps.clock, tasks, [this] { Wake(); }),
      executor_(deps.engines,
                deps.clock,
                deps.log,
                tasks,
                deps.peers.self(),
                deps.settings.sender_gone_timeout,
                {.address =
                     [this](const auto& server) {
                       return monitor_.AddressOf(server);
                     },
                 .hold =
                     [this](const auto& server, const auto& replica) {
                       return HoldOrder(server, replica);
                     },
                 .confirm =
                     [this](const auto& server, const auto& replica) {
                       return ConfirmOrder(server, replica);
                     },
                 .on_answer = [this] { Wake(); }}) {}

void CellController::Run() {
  while (!stopping_) {
    const auto seen = wake_.count();
    const auto wait = Step();
    // The flag waits in real time; the pass itself uses the clock.
    if (wake_.WaitUntil(seen, std::chrono::steady_clock::now() + wait)) {
      deps_.clock.SleepFor(std::min<Duration>(
          deps_.settings.demand_batch_interval, kFastestPoll));
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
  const auto wait = Pass();
  executor_.Sync(view_->record);
  SendDone();
  return wait;
}

Duration CellController::Pass() {
  NoticePause();
  ReadVms();
  NoteUse();
  const auto now = deps_.clock.Now();
  if (!IsCoordinator()) {
    coordinator_since_.reset();
    histories_loaded_ = false;
  } else if (!coordinator_since_) {
    coordinator_since_ = now;
  }
  if (const auto wait = backoff_.UntilAllowed(); wait > Duration::zero()) {
    return PollDuringOutage(wait);
  }
  if ((!have_view_ || now > last_refresh_ + RefreshInterval()) && !Refresh()) {
    return kFirstPlatformRetry;
  }
  if (!Drives()) {
    return HasOwnOrders() ? kSlowestOpenPoll : kIdlePoll;
  }
  if (IsCoordinator() && !KeepHistories()) {
    return kFirstPlatformRetry;
  }
  monitor_.SetLoadWanted(ServersToReadLoadOf());
  monitor_.PollDue(PollIntervals());
  if (!Decide()) {
    return kFirstPlatformRetry;
  }
  const auto due = monitor_.UntilDue(PollIntervals());
  return waiting_for_slots_ > 0 || HasOpenOrders()
             ? std::min<Duration>(due, kSlotRetry)
             : due;
}

void CellController::NoticePause() {
  const auto now = deps_.clock.Now();
  if (last_pass_ &&
      now > *last_pass_ + kIdlePoll + deps_.settings.order_progress_timeout) {
    deps_.log.Record(
        events::kPauseNoticed,
        {{"cell", cell_},
         {"ms", std::chrono::duration_cast<milliseconds>(now - *last_pass_)
                    .count()}});
    have_view_ = false;
    coordinator_since_.reset();
    acting_until_.reset();
    monitor_.Invalidate();
  }
  last_pass_ = now;
}

void CellController::NoteUse() {
  const auto now_ms = LocalMs(deps_.clock);
  book_.Expire(now_ms);
  for (const auto& key : book_.TakeUsed()) {
    histories_changed_ = true;
    histories_[key].NoteUse(now_ms);
    if (!key.adapter.empty()) {
      histories_[key.Base()].NoteUse(now_ms);
    }
  }
}

bool CellController::KeepHistories() {
  if (!histories_loaded_) {
    const auto loaded = history_store_.Load(histories_);
    // Histories that can't be parsed are replaced by new ones.
    histories_loaded_ =
        loaded || loaded.assume_error().kind == ErrorKind::kInternal;
    if (!histories_loaded_) {
      backoff_.NoteFailure(deps_.peers.Members().size());
    }
    return histories_loaded_;
  }
  if (!histories_changed_) {
    return true;
  }
  const auto saved = history_store_.SaveIfDue(histories_);
  if (!saved) {
    backoff_.NoteFailure(deps_.peers.Members().size());
    return false;
  }
  histories_changed_ = !saved.assume_value();
  return true;
}

Duration CellController::RefreshInterval() const {
  if (Drives()) {
    return kRefreshInterval;
  }
  const auto reads =
      deps_.peers.Members().size() *
      std::max<std::size_t>(1, deps_.estate.Current()->pools.size());
  return std::max<Duration>(
      kRefreshInterval,
      std::chrono::seconds(static_cast<std::int64_t>(reads) / kReadsPerSecond));
}

void CellController::ReadVms() {
  const auto* engines = vms_.EnginesOf(cell_);
  if (engines == nullptr) {
    return;
  }
  monitor_.SetVms(*engines);
  for (const auto& [id, server] : view_->record.servers) {
    monitor_.AddUnlisted(id);
  }
}

std::map<std::string, Duration> CellController::PollIntervals() const {
  std::map<std::string, Duration> intervals;
  const auto now_ms = LocalMs(deps_.clock);
  for (const auto& [id, facts] : monitor_.facts()) {
    if (!facts.listed && !view_->record.servers.contains(id)) {
      continue;
    }
    milliseconds interval = kIdlePoll;
    const auto it = view_->record.servers.find(id);
    if (it != view_->record.servers.end()) {
      for (const auto& replica : it->second.replicas) {
        if (replica.state == ReplicaState::kLoaded || IsDormant(replica)) {
          continue;
        }
        const auto age = Ms(now_ms - std::min(now_ms, SeenMs(replica)));
        interval = std::min(
            interval,
            std::clamp(age / kPollsPerAge, kFastestPoll, kSlowestOpenPoll));
      }
    }
    intervals[id] = interval;
  }
  return intervals;
}

std::set<std::string> CellController::ServersToReadLoadOf() const {
  std::set<std::string> servers;
  const bool complete = DemandIsComplete();
  for (const auto& [id, server] : view_->record.servers) {
    const bool unloading = std::ranges::any_of(
        server.replicas,
        [](const auto& it) { return it.state == ReplicaState::kUnloading; });
    if (!complete || unloading) {
      servers.insert(id);
    }
  }
  return servers;
}

bool CellController::Refresh() {
  const auto started = deps_.clock.Now();
  auto stored = records_.Load(cell_);
  if (!stored) {
    backoff_.NoteFailure(deps_.peers.Members().size());
    return false;
  }
  if (!write_failed_) {
    backoff_.NoteSuccess();
  }
  last_refresh_ = started;
  confirmed_ = started;
  SetView(std::move(stored).assume_value());
  return true;
}

void CellController::NoteWriteFailure() {
  write_failed_ = true;
  backoff_.NoteFailure(deps_.peers.Members().size());
}

void CellController::SetView(StoredRecord stored) {
  if (have_view_ && stored.version <= view_->version) {
    return;
  }
  if (stored.version == view_->version && stored.version != 0) {
    have_view_ = true;
    return;
  }
  have_view_ = true;
  view_ = std::make_shared<const StoredRecord>(std::move(stored));
  const auto now_ms = LocalMs(deps_.clock);
  view_seen_ms_ = now_ms;
  for (const auto& [key, seen] : seen_) {
    if (key.second == ReplicaState::kLoading && Drives()) {
      finished_.insert(key.first);
    }
  }
  decltype(seen_) seen;
  std::set<std::string_view> orders;
  for (const auto& [id, server] : view_->record.servers) {
    for (const auto& it : server.replicas) {
      orders.insert(it.order);
      grants_.erase(it.order);
      if (it.state == ReplicaState::kLoading) {
        finished_.erase(it.order);
      }
      const auto key = std::pair(it.order, it.state);
      const auto old = seen_.find(key);
      seen[key] = old == seen_.end() ? now_ms : old->second;
    }
  }
  seen_ = std::move(seen);
  std::erase_if(done_,
                [&](const auto& it) { return !orders.contains(it.first); });
  std::erase_if(done_sent_,
                [&](const auto& it) { return !orders.contains(it.first); });
  on_change_();
}

std::uint64_t CellController::SeenMs(const ReplicaRecord& replica) const {
  const auto it = seen_.find({replica.order, replica.state});
  return it == seen_.end() ? LocalMs(deps_.clock) : it->second;
}

struct CellController::Decision {
  View base;
  std::shared_ptr<const Estate> estate;
  CellRecord next;
  ReconcileOutcome outcome;
  std::set<std::string> orders;  // Orders of new loads that need slots.
  bool complete = true;          // False if the platform failed.
};

bool CellController::Decide() {
  for (int attempt = 0; attempt < kAttemptsPerPass; ++attempt) {
    auto decision = MakeDecision();
    if (!decision.complete) {
      return false;
    }
    if (decision.next == decision.base->record) {
      FreeSlots();
      return true;
    }
    const auto stored = StoreDecision(std::move(decision));
    if (stored) {
      FreeSlots();
      return true;
    }
    if (stored.assume_error().kind != ErrorKind::kConflict) {
      NoteWriteFailure();
      have_view_ = false;
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
  // A node that is behind on the configuration does not know the limits.
  if (draining_ || stopping_ ||
      decision.estate->version < decision.next.config_version) {
    return decision;
  }
  auto plan = MakePlan(decision.next, *decision.estate);
  if (plan.waiting_for_slots > 0 &&
      deps_.clock.Now() >= slots_read_ + kSlotRetry) {
    // Another cell may have freed slots since the last read.
    slots_read_ = deps_.clock.Now();
    if (!slots_.Refresh()) {
      NoteWriteFailure();
      decision.complete = false;
      return decision;
    }
    plan = MakePlan(decision.next, *decision.estate);
  }
  waiting_for_slots_ = plan.waiting_for_slots;
  if (!TakeSlots(decision.next, plan)) {
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
                    [this](auto server, const auto& replica, auto process) {
                      return SenderIsDone(server, replica, process);
                    });
  const auto started = deps_.clock.Now();
  auto stored =
      records_.Replace(*decision.base, std::move(next), *decision.estate);
  if (!stored) {
    return std::move(stored).assume_error();
  }
  write_failed_ = false;
  backoff_.NoteSuccess();
  confirmed_ = started;
  last_refresh_ = started;
  for (const auto& it : decision.orders) {
    grants_.erase(it);
  }
  for (const auto& it : decision.outcome.loaded) {
    NoteLoaded(it);
  }
  SetView(std::move(stored).assume_value());
  Report(decision.outcome, view_->record);
  Announce();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void CellController::NoteLoaded(const ReplicaChange& change) {
  if (!UsesWeightStore(change.key, change.source)) {
    return;
  }
  const auto estate = deps_.estate.Current();
  const auto model = estate->models.find(change.key.model);
  const auto now_ms = Self().now_ms;
  if (model != estate->models.end() && now_ms > change.decided_ms) {
    durations_.push_back(
        {now_ms - change.decided_ms,
         static_cast<std::uint64_t>(model->second.expected_load.count())});
  }
}

bool CellController::TakeSlots(const CellRecord& next, Plan& plan) {
  const auto uses_store = [](const LoadDecision& it) {
    return UsesWeightStore(it.key, it.source) &&
           it.reason != DecisionReason::kStandby;
  };
  const auto needed =
      static_cast<std::size_t>(std::ranges::count_if(plan.loads, uses_store));
  auto standby = StandbyOrdersToStart();
  const auto more = needed > grants_.size() ? needed - grants_.size() : 0;
  if ((more > 0 || !standby.empty()) &&
      !ExchangeSlots(next, static_cast<std::uint32_t>(more),
                     std::move(standby))) {
    return false;
  }
  auto grant = grants_.begin();
  std::erase_if(plan.loads, [&](LoadDecision& it) {
    if (!uses_store(it)) {
      return false;
    }
    if (grant == grants_.end()) {
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
  for (const auto& [id, server] : next.servers) {
    for (const auto& it : server.replicas) {
      if (it.state == ReplicaState::kLoading) {
        loading.insert(it.order);
      }
    }
  }
  const auto now_ms = Self().now_ms;
  const auto is_needed = [&](const LoadSlot& it) {
    if (loading.contains(it.order)) {
      return now_ms < it.taken_ms + kLongestLoadMs;
    }
    return grants_.contains(it.order) ||
           (!finished_.contains(it.order) &&
            now_ms < it.taken_ms + kUnknownSlotMs);
  };
  auto granted = slots_.Exchange({.cell = cell_,
                                  .is_needed = is_needed,
                                  .orders = std::move(orders),
                                  .wanted = wanted,
                                  .durations = durations_},
                                 deps_.estate.Current()->weight_store);
  if (!granted) {
    NoteWriteFailure();
    return false;
  }
  durations_.clear();
  finished_.clear();
  grants_.insert(granted.assume_value().begin(), granted.assume_value().end());
  return true;
}

void CellController::FreeSlots() {
  const auto now_ms = Self().now_ms;
  std::set<std::string_view> loading;
  for (const auto& [id, server] : view_->record.servers) {
    for (const auto& it : server.replicas) {
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
    if (grants_.contains(it.order)) {
      // A grant that no decision used soon is given back.
      if (waiting_for_slots_ == 0 && now_ms > it.taken_ms + kUnknownSlotMs) {
        grants_.erase(it.order);
        finished_.insert(it.order);
        free = true;
      }
      continue;
    }
    if (finished_.contains(it.order) || now_ms > it.taken_ms + kUnknownSlotMs) {
      free = true;
    }
  }
  if (free || !durations_.empty()) {
    (void)ExchangeSlots(view_->record, 0, {});
  }
}

ReconcileOutcome CellController::Reconcile(CellRecord& next) {
  const auto estate = deps_.estate.Current();
  const auto pool = estate->pools.find(cell_);
  return ReconcileCell(
      next, {.estate = *estate,
             .servers = monitor_.facts(),
             .orders = executor_.answers(),
             .seen_ms = [this](const auto& it) { return SeenMs(it); },
             .view_seen_ms = view_seen_ms_,
             .sender_done =
                 [this](auto server, const auto& replica, auto process) {
                   return SenderIsDone(server, replica, process);
                 },
             .executor_present =
                 [this](auto process) { return IsExecutorPresent(process); },
             .self = Self(),
             .is_coordinator = IsCoordinator(),
             .engines_check_fence =
                 pool != estate->pools.end() && pool->second.checks_fence,
             .now_ms = LocalMs(deps_.clock),
             .order_progress_ms = static_cast<std::uint64_t>(
                 deps_.settings.order_progress_timeout.count()),
             .server_gone_ms = static_cast<std::uint64_t>(
                 deps_.settings.sender_gone_timeout.count())});
}

Plan CellController::MakePlan(const CellRecord& next,
                              const Estate& estate) const {
  const auto demand = book_.Total();
  std::uint32_t adapters_loading = 0;
  for (const auto& [id, server] : next.servers) {
    for (const auto& it : server.replicas) {
      if (it.state == ReplicaState::kLoading) {
        adapters_loading += it.key.adapter.empty() ? 0 : 1;
      }
    }
  }
  // Each cell has an equal share of the adapter loads, so that these short
  // loads need no write to the shared slots.
  const auto cells =
      static_cast<std::uint32_t>(std::max<std::size_t>(1, estate.pools.size()));
  const auto share =
      std::max(1U, estate.weight_store.concurrent_adapter_loads / cells);
  const auto wall_ms = Self().now_ms;
  auto slots = slots_.slots();
  slots.ReleaseOthers(
      cell_, [this](const auto& it) { return !finished_.contains(it.order); });
  const auto free_slots = slots.Available(estate.weight_store, wall_ms);
  const auto dormant = DormantOrders(next);
  return PlanCell(
      {.record = next,
       .estate = estate,
       .demand = demand,
       .servers = monitor_.facts(),
       .histories = histories_,
       .dormant = dormant,
       .policy = KeepAlivePolicyOf(
           deps_.settings.keep_alive_policy,
           std::chrono::duration<double>(deps_.settings.fixed_keep_alive)
               .count()),
       .remote_loads_allowed =
           static_cast<std::uint32_t>(grants_.size()) + free_slots,
       .adapter_loads_allowed =
           share > adapters_loading ? share - adapters_loading : 0,
       .now_ms = LocalMs(deps_.clock),
       .wall_ms = wall_ms,
       .demand_is_complete = DemandIsComplete()});
}

void CellController::ApplyPlan(CellRecord& next, const Plan& plan) {
  const auto self = Self();
  for (const auto& it : plan.unloads) {
    (void)DecideUnload(next, it.server, it.key, self);
  }
  for (const auto& it : plan.loads) {
    (void)DecideLoad(next, it, self);
  }
}

Decider CellController::Self() const {
  return {deps_.peers.self(),
          static_cast<std::uint64_t>(deps_.clock.WallNow().count())};
}

bool CellController::DemandIsComplete() const {
  if (!IsCoordinator() || !coordinator_since_ ||
      deps_.clock.Now() < *coordinator_since_ + kDemandKnownAfter) {
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

void CellController::Report(const ReconcileOutcome& outcome,
                            const CellRecord& stored) {
  std::uint32_t open = 0;
  for (const auto& [id, server] : stored.servers) {
    for (const auto& it : server.replicas) {
      open += it.state == ReplicaState::kLoaded ? 0 : 1;
    }
  }
  deps_.log.Record(
      events::kDecisionStored,
      {{"cell", cell_}, {"sequence", stored.sequence}, {"orders", open}});
  const auto wall = static_cast<std::uint64_t>(deps_.clock.WallNow().count());
  for (const auto& it : outcome.loaded) {
    deps_.log.Record(events::kReplicaLoaded,
                     {{"server", it.server},
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
    deps_.log.Record(events::kReplicaRemoved, {{"server", it.server},
                                               {"model", it.key.ToString()},
                                               {"cause", it.cause}});
  }
}

void CellController::Announce() {
  deps_.peers.Broadcast(RecordUpdate{
      cell_, view_->version,
      view_->text.empty() ? WriteRecord(view_->record) : view_->text});
}

void CellController::HandleRecord(const RecordUpdate& update) {
  if (have_view_ && update.object_version <= view_->version) {
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
  done_.emplace(done.order, from);
  for (const auto& [id, server] : view_->record.servers) {
    for (const auto& it : server.replicas) {
      // The executor is only done once the engine answered.
      if (it.order == done.order && it.executor == from) {
        executor_.NoteAnswer(done.order);
      }
    }
  }
  Wake();
}

void CellController::SetDemand(const std::string& process,
                               const Demand& demand) {
  const auto now_ms = LocalMs(deps_.clock);
  for (const auto& it : demand.entries) {
    const ModelDemand entry{
        .waiting = it.waiting,
        .running = it.running,
        .rank = it.rank,
        .deadline_ms =
            it.earliest_deadline_ms == 0 ? 0 : now_ms + it.earliest_deadline_ms,
        .arrivals = it.arrivals};
    book_.Set(process, demand.number, {it.model, it.version, it.adapter}, entry,
              now_ms);
  }
  Wake();
}

void CellController::ActWithoutCoordinator() {
  acting_until_ = deps_.clock.Now() + 2 * deps_.settings.demand_timeout;
  Wake();
}

std::string CellController::Coordinator() const {
  const auto now = deps_.clock.Now();
  if (coordinator_until_ && now < *coordinator_until_) {
    return coordinator_;
  }
  std::string best;
  std::uint64_t best_hash = 0;
  for (const auto& id : deps_.peers.LiveIds()) {
    const auto hash = StableHash(cell_ + "/" + id);
    if (best.empty() || hash > best_hash) {
      best = id;
      best_hash = hash;
    }
  }
  coordinator_ = best;
  coordinator_until_ = now + kCoordinatorAge;
  return best;
}

bool CellController::IsCoordinator() const {
  return Coordinator() == deps_.peers.node_id();
}

bool CellController::IsActing() const {
  return acting_until_ && deps_.clock.Now() < *acting_until_;
}

bool CellController::HasOpenOrders() const {
  for (const auto& [id, server] : view_->record.servers) {
    for (const auto& it : server.replicas) {
      if (it.state != ReplicaState::kLoaded && !IsDormant(it)) {
        return true;
      }
    }
  }
  return false;
}

bool CellController::IsDormant(const ReplicaRecord& replica) const {
  return replica.reason == DecisionReason::kStandby &&
         replica.state == ReplicaState::kLoading &&
         replica.executor == deps_.peers.self() &&
         !executor_.IsStarted(replica.order);
}

std::set<std::string> CellController::DormantOrders(
    const CellRecord& record) const {
  std::set<std::string> orders;
  for (const auto& [id, server] : record.servers) {
    for (const auto& it : server.replicas) {
      if (IsDormant(it)) {
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
  const auto demand = book_.Total();
  for (const auto& [id, server] : view_->record.servers) {
    for (const auto& it : server.replicas) {
      const auto found = demand.find(it.key);
      if (IsDormant(it) && found != demand.end() && found->second.waiting > 0 &&
          !HasSlot(it)) {
        orders.push_back(it.order);
      }
    }
  }
  return orders;
}

bool CellController::IsReportedLoaded(const std::string& server,
                                      const ReplicaRecord& replica) const {
  const auto facts = monitor_.facts().find(server);
  if (facts == monitor_.facts().end() || !facts->second.report) {
    return false;
  }
  const auto* entry = facts->second.report->Find(replica.key);
  return entry != nullptr && entry->order == replica.order &&
         entry->state == ReportedEntry::State::kLoaded;
}

bool CellController::MayStartStandby(const ReplicaRecord& replica) const {
  const auto demand = book_.Total();
  const auto it = demand.find(replica.key);
  if (it == demand.end() || it->second.waiting == 0) {
    return false;
  }
  if (HasSlot(replica)) {
    return true;
  }
  // Without the platform no slot can be taken; one load at a time stays within
  // the store's limits together with those of the other cells.
  if (backoff_.failures() == 0) {
    return false;
  }
  for (const auto& [id, other] : view_->record.servers) {
    for (const auto& load : other.replicas) {
      if (load.state == ReplicaState::kLoading && !IsDormant(load) &&
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
  const auto demand = book_.Total();
  for (const auto& [id, server] : view_->record.servers) {
    for (const auto& it : server.replicas) {
      if (it.state == ReplicaState::kLoading && demand.contains(it.key)) {
        intervals[id] = kSlowestOpenPoll;
      }
    }
  }
  monitor_.PollDue(intervals);
  return intervals.empty() ? wait : std::min<Duration>(wait, kSlowestOpenPoll);
}

bool CellController::HasOwnOrders() const {
  for (const auto& [id, server] : view_->record.servers) {
    for (const auto& it : server.replicas) {
      if (it.state != ReplicaState::kLoaded && !IsDormant(it) &&
          it.executor == deps_.peers.self() &&
          !executor_.answers().contains(it.order)) {
        return true;
      }
    }
  }
  return executor_.has_outstanding();
}

bool CellController::SenderIsDone(std::string_view server,
                                  const ReplicaRecord& replica,
                                  std::string_view process) const {
  if (process != deps_.peers.self()) {
    return done_.contains({replica.order, std::string(process)}) ||
           !deps_.peers.MayStillRun(process);
  }
  return !executor_.HasOutstanding(server, replica.key) &&
         (replica.executor != process ||
          replica.state == ReplicaState::kLoaded ||
          executor_.answers().contains(replica.order));
}

void CellController::SendDone() {
  const auto now = deps_.clock.Now();
  const auto& self = deps_.peers.self();
  if (IsCoordinator()) {
    return;
  }
  for (const auto& [id, server] : view_->record.servers) {
    for (const auto& it : server.replicas) {
      if (std::ranges::find(it.senders, self) == it.senders.end() ||
          !SenderIsDone(id, it, self)) {
        continue;
      }
      const auto sent = done_sent_.find(it.order);
      if (sent != done_sent_.end() && now < sent->second + kDoneInterval) {
        continue;
      }
      done_sent_[it.order] = now;
      deps_.peers.Send(Coordinator(), OrderDone{cell_, id, it.order});
    }
  }
}

bool CellController::ConfirmOrder(const std::string& server,
                                  const ReplicaRecord& replica) {
  // A standby order may start while the platform is down: this process stays
  // one of its senders, so the entry and its memory stay reserved.
  const bool starts_standby = replica.reason == DecisionReason::kStandby &&
                              have_view_ && backoff_.failures() > 0;
  if (!starts_standby &&
      deps_.clock.Now() > confirmed_ + deps_.settings.order_progress_timeout &&
      (backoff_.UntilAllowed() > Duration::zero() || !Refresh())) {
    return false;
  }
  const auto it = view_->record.servers.find(server);
  const auto* current = it == view_->record.servers.end()
                            ? nullptr
                            : it->second.Find(replica.key);
  return current != nullptr && current->order == replica.order &&
         (current->executor == deps_.peers.self() ||
          executor_.IsUnanswered(replica.order));
}

bool CellController::HoldOrder(const std::string& server,
                               const ReplicaRecord& replica) const {
  if (replica.state != ReplicaState::kUnloading) {
    return replica.reason == DecisionReason::kStandby &&
           !MayStartStandby(replica);
  }
  const auto facts = monitor_.facts().find(server);
  if (facts == monitor_.facts().end() || !facts->second.report) {
    return true;
  }
  const auto* entry = facts->second.report->Find(replica.key);
  if (entry == nullptr || entry->state != ReportedEntry::State::kLoaded) {
    return false;  // No request can run on it.
  }
  const auto record = view_->record.servers.find(server);
  if (replica.key.adapter.empty() && record != view_->record.servers.end() &&
      std::ranges::any_of(record->second.replicas, [&](const auto& it) {
        return !it.key.adapter.empty() && it.key.Base() == replica.key;
      })) {
    return true;
  }
  const auto decided_ms = SeenMs(replica);
  const auto& load = facts->second.load;
  if (load && load->running == 0 && load->waiting == 0 &&
      load->read_started_ms >= decided_ms + kLoadReportLagMs) {
    return false;
  }
  if (LocalMs(deps_.clock) < decided_ms + kUnloadGraceMs ||
      !DemandIsComplete()) {
    return true;
  }
  return std::ranges::any_of(book_.Total(), [&](const auto& it) {
    return it.second.running > 0 &&
           (it.first == replica.key || it.first.Base() == replica.key);
  });
}

void CellController::ReportMissing(const std::string& server,
                                   const ModelKey& key) {
  missing_[{server, key}] = deps_.clock.Now();
  monitor_.ForcePoll(server);
  Wake();
}

std::vector<std::string> CellController::ServersOf(const ModelKey& key) const {
  std::vector<std::string> servers;
  for (const auto& [id, server] : view_->record.servers) {
    const auto* replica = server.Find(key);
    const auto facts = monitor_.facts().find(id);
    // During an outage of the platform the record can't say that a load has
    // completed; the engine's report does.
    if (replica == nullptr ||
        (replica->state != ReplicaState::kLoaded &&
         (replica->state != ReplicaState::kLoading ||
          !IsReportedLoaded(id, *replica))) ||
        server.leaving || facts == monitor_.facts().end() ||
        !facts->second.listed || facts->second.leaving) {
      continue;
    }
    const auto missing = missing_.find({id, key});
    if (missing == missing_.end() ||
        deps_.clock.Now() > missing->second + kMissingTime) {
      servers.push_back(id);
    }
  }
  return servers;
}

LoadForecast CellController::Forecast(const ModelKey& key) const {
  LoadForecast forecast;
  const auto failures = view_->record.failures.find(key);
  if (failures != view_->record.failures.end() &&
      Self().now_ms <
          failures->second.KeyRetryMs(view_->record.servers.size())) {
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
  for (const auto& [id, server] : view_->record.servers) {
    const auto* replica = server.Find(key);
    // A standby load may not have been started.
    if (replica != nullptr && replica->state == ReplicaState::kLoading &&
        replica->reason != DecisionReason::kStandby) {
      const auto age = Ms(LocalMs(deps_.clock) -
                          std::min(LocalMs(deps_.clock), SeenMs(*replica)));
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
  for (const auto& [id, server] : view_->record.servers) {
    reserved += server.ReservedMb();
    capacity += server.memory_mb;
    replicas += server.replicas.size();
  }
  return {
      {"record", std::move(json)},    {"object_version", view_->version},
      {"coordinator", Coordinator()}, {"acting", IsActing()},
      {"replicas", replicas},         {"reserved_mb", reserved},
      {"memory_mb", capacity},        {"orders_sent", executor_.orders_sent()}};
}

}  // namespace tanagerloom
