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
constexpr milliseconds kLongestPlatformRetry{3000};
constexpr milliseconds kDoneInterval{2000};
// Nodes learn from the record that a replica is to be unloaded; requests they
// dispatched before that appear in the demand within this time.
constexpr std::uint64_t kUnloadGraceMs = 100;

milliseconds Ms(std::uint64_t ms) {
  return milliseconds(static_cast<std::int64_t>(ms));
}

}  // namespace

CellController::CellController(std::string cell,
                               const PlacementDependencies& deps,
                               RecordStore& records,
                               TaskGroup& tasks,
                               std::function<void()> on_change)
    : cell_(std::move(cell)),
      deps_(deps),
      records_(records),
      on_change_(std::move(on_change)),
      view_(std::make_shared<StoredRecord>()),
      monitor_(deps.engines, deps.clock, tasks, [this] { Wake(); }),
      executor_(deps.engines,
                deps.clock,
                deps.log,
                tasks,
                deps.peers.self(),
                deps.settings.sender_gone,
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
      deps_.clock.SleepFor(
          std::min<Duration>(deps_.settings.demand_batch, kFastestPoll));
    }
  }
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
  ReadVms();
  book_.Expire(LocalMs(deps_.clock));
  const auto now = deps_.clock.Now();
  if (now < retry_at_) {
    return retry_at_ - now;
  }
  if (!have_view_ || now > last_refresh_ + kRefreshInterval) {
    if (!Refresh()) {
      return milliseconds(kFirstPlatformRetry);
    }
  }
  if (!Drives()) {
    return HasOwnOrders() ? milliseconds(kSlowestOpenPoll)
                          : milliseconds(kIdlePoll);
  }
  PollEngines();
  if (!Decide()) {
    return milliseconds(kFirstPlatformRetry);
  }
  return HasOpenOrders() ? milliseconds(kFastestPoll) : milliseconds(kIdlePoll);
}

void CellController::ReadVms() {
  std::vector<Vm> engines;
  for (auto& vm : deps_.peers.Vms()) {
    if (vm.role == VmRole::kEngine && vm.pool == cell_) {
      engines.push_back(std::move(vm));
    }
  }
  monitor_.SetVms(engines);
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
        if (replica.state == ReplicaState::kLoaded) {
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

void CellController::PollEngines() {
  monitor_.PollDue(PollIntervals());
}

bool CellController::Refresh() {
  const auto started = deps_.clock.Now();
  auto stored = records_.Load(cell_);
  if (!stored) {
    const auto delay = std::min<milliseconds>(
        kFirstPlatformRetry * (1U << std::min(failures_++, 5U)),
        kLongestPlatformRetry);
    retry_at_ = started + std::chrono::duration_cast<Duration>(
                              delay * (0.5 + RandomUnit() / 2));
    return false;
  }
  failures_ = 0;
  last_refresh_ = started;
  confirmed_ = started;
  SetView(std::move(stored).assume_value());
  return true;
}

void CellController::SetView(StoredRecord stored) {
  if (have_view_ && stored.version <= view_->version) {
    return;
  }
  have_view_ = true;
  view_ = std::make_shared<const StoredRecord>(std::move(stored));
  const auto now_ms = LocalMs(deps_.clock);
  decltype(seen_) seen;
  std::set<std::string_view> orders;
  for (const auto& [id, server] : view_->record.servers) {
    for (const auto& it : server.replicas) {
      orders.insert(it.order);
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

bool CellController::Decide() {
  for (int attempt = 0; attempt < kAttemptsPerPass; ++attempt) {
    const auto base = view_;
    const auto estate = deps_.estate.Current();
    auto next = base->record;
    const auto outcome = Reconcile(next);
    // A node that is behind on the configuration does not know the limits.
    if (!stopping_ && estate->version >= next.config_version) {
      ApplyPlan(next);
    }
    if (next == base->record) {
      return true;
    }
    next.config_version = std::max(next.config_version, estate->version);
    RemoveDoneSenders(next,
                      [this](auto server, const auto& replica, auto process) {
                        return SenderIsDone(server, replica, process);
                      });
    const auto started = deps_.clock.Now();
    auto stored = records_.Replace(*base, std::move(next), *estate);
    if (stored) {
      failures_ = 0;
      confirmed_ = started;
      last_refresh_ = started;
      SetView(std::move(stored).assume_value());
      Report(outcome, view_->record);
      Announce();
      return true;
    }
    if (!Refresh()) {
      return false;
    }
  }
  return true;
}

ReconcileOutcome CellController::Reconcile(CellRecord& next) {
  const auto estate = deps_.estate.Current();
  const auto pool = estate->pools.find(cell_);
  return ReconcileCell(
      next,
      {.servers = monitor_.facts(),
       .orders = executor_.answers(),
       .seen_ms = [this](const auto& it) { return SeenMs(it); },
       .sender_done =
           [this](auto server, const auto& replica, auto process) {
             return SenderIsDone(server, replica, process);
           },
       .may_still_run =
           [this](auto process) { return deps_.peers.MayStillRun(process); },
       .self = {deps_.peers.self(),
                static_cast<std::uint64_t>(deps_.clock.WallNow().count())},
       .engines_check_fence =
           pool != estate->pools.end() && pool->second.checks_fence,
       .now_ms = LocalMs(deps_.clock),
       .order_progress_ms =
           static_cast<std::uint64_t>(deps_.settings.order_progress.count())});
}

std::uint32_t CellController::RemoteLoadsInProgress(
    const CellRecord& record) const {
  std::uint32_t count = 0;
  for (const auto& [id, server] : record.servers) {
    for (const auto& it : server.replicas) {
      count += it.state == ReplicaState::kLoading && it.key.adapter.empty() &&
                       it.source == WeightSource::kRemote
                   ? 1
                   : 0;
    }
  }
  return count;
}

void CellController::ApplyPlan(CellRecord& next) {
  const auto estate = deps_.estate.Current();
  const auto demand = book_.Total();
  const auto in_progress = RemoteLoadsInProgress(next);
  const auto limit = estate->weight_store.concurrent_loads;
  const auto plan = PlanCell(
      {.record = next,
       .estate = *estate,
       .demand = demand,
       .servers = monitor_.facts(),
       .remote_loads_allowed = limit > in_progress ? limit - in_progress : 0});
  const Decider decider{deps_.peers.self(), static_cast<std::uint64_t>(
                                                deps_.clock.WallNow().count())};
  for (const auto& it : plan.unloads) {
    (void)DecideUnload(next, it.server, it.key, decider);
  }
  for (const auto& it : plan.loads) {
    (void)DecideLoad(next, it, decider);
  }
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
  for (const auto& it : outcome.removed) {
    deps_.log.Record(events::kReplicaRemoved, {{"server", it.server},
                                               {"model", it.key.ToString()},
                                               {"cause", it.cause}});
  }
}

void CellController::Announce() {
  deps_.peers.Broadcast(
      RecordUpdate{cell_, view_->version, WriteRecord(view_->record)});
}

void CellController::HandleRecord(const RecordUpdate& update) {
  if (have_view_ && update.object_version <= view_->version) {
    return;
  }
  auto record = ParseRecord(update.record);
  if (record && record.assume_value().cell == cell_) {
    SetView({std::move(record).assume_value(), update.object_version});
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

void CellController::SetDemand(const std::string& node, const Demand& demand) {
  const auto now_ms = LocalMs(deps_.clock);
  for (const auto& it : demand.entries) {
    const ModelDemand entry{
        .waiting = it.waiting,
        .running = it.running,
        .rank = it.rank,
        .deadline_ms =
            it.earliest_deadline_ms == 0 ? 0 : now_ms + it.earliest_deadline_ms,
        .arrivals = it.arrivals};
    book_.Set(node, demand.number, {it.model, it.version, it.adapter}, entry,
              now_ms);
  }
  Wake();
}

void CellController::ActWithoutCoordinator() {
  acting_until_ = deps_.clock.Now() + 2 * deps_.settings.demand_timeout;
  Wake();
}

std::string CellController::Coordinator() const {
  std::string best;
  std::uint64_t best_hash = 0;
  for (const auto& id : deps_.peers.LiveIds()) {
    const auto hash = StableHash(cell_ + "/" + id);
    if (best.empty() || hash > best_hash) {
      best = id;
      best_hash = hash;
    }
  }
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
      if (it.state != ReplicaState::kLoaded) {
        return true;
      }
    }
  }
  return false;
}

bool CellController::HasOwnOrders() const {
  for (const auto& [id, server] : view_->record.servers) {
    for (const auto& it : server.replicas) {
      if (it.state != ReplicaState::kLoaded &&
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
  if (deps_.clock.Now() > confirmed_ + deps_.settings.order_progress &&
      !Refresh()) {
    return false;
  }
  const auto it = view_->record.servers.find(server);
  const auto* current = it == view_->record.servers.end()
                            ? nullptr
                            : it->second.Find(replica.key);
  return current != nullptr && current->order == replica.order &&
         current->executor == deps_.peers.self();
}

bool CellController::HoldOrder(const std::string& server,
                               const ReplicaRecord& replica) const {
  (void)server;
  if (replica.state != ReplicaState::kUnloading) {
    return false;
  }
  return LocalMs(deps_.clock) < SeenMs(replica) + kUnloadGraceMs;
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
