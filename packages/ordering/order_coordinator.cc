#include "ordering/order_coordinator.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <utility>

#include "base/event_log.h"
#include "base/events.h"
#include "base/id.h"
#include "fleet/demand_tracker.h"
#include "fleet/fleet_view.h"
#include "ordering/order_lease.h"
#include "ports/peer_network.h"
#include "registry/fleet_registry.h"

namespace tanagerloom {

namespace {

using std::chrono::milliseconds;

// Interval of demand reports while no request waits.
constexpr auto kDemandInterval = milliseconds(400);
// Delay before an urgent report, so that requests that arrive together are
// reported together.
constexpr auto kDemandBatchDelay = milliseconds(2);
// Maximum interval between two plans.
constexpr auto kPlanInterval = milliseconds(100);
// Interval at which the report of an engine with an order in flight is read.
// The report lags by about as much.
constexpr auto kReportPollInterval = milliseconds(70);
// An order times out this long after twice its expected duration. The engine's
// report is then read again.
constexpr auto kOrderTimeoutMargin = milliseconds(4000);
// Minimum interval between two announcements of load estimates.
constexpr auto kEstimateInterval = milliseconds(500);
// Maximum lag of a report: one that still shows the state before the order
// counts only this long after the order's expected end.
constexpr auto kMaxReportLag = milliseconds(400);
// No order is sent to an engine for this long after one failed.
constexpr auto kBlockAfterRefusal = milliseconds(150);

}  // namespace

OrderCoordinator::OrderCoordinator(OrderDependencies deps, Duration load_window)
    : deps_(std::move(deps)), load_window_(load_window) {}

void OrderCoordinator::Start() {
  boost::fibers::fiber([this] { DemandLoop(); }).detach();
  boost::fibers::fiber([this] { PlanLoop(); }).detach();
}

// ---- demand

void OrderCoordinator::DemandLoop() {
  auto& urgent = deps_.demand.urgent_wait();
  std::uint64_t seen = urgent.count();
  while (!stopping_) {
    if (urgent.WaitUntil(seen, deps_.clock.Now() + kDemandInterval)) {
      deps_.clock.SleepFor(kDemandBatchDelay);
    }
    seen = urgent.count();
    if (!deps_.lease.holder().empty()) {
      ReportDemand();
    }
  }
}

void OrderCoordinator::ReportDemand() {
  for (const auto& it : deps_.demand.TakeDemand()) {
    if (deps_.lease.is_holder()) {
      OnDemand(deps_.peers.node_id(), it);
    } else {
      deps_.peers.Send(deps_.lease.holder(), it);
    }
  }
}

void OrderCoordinator::OnDemand(const std::string& node, const Demand& demand) {
  demand_.Update(node, demand, deps_.clock.Now());
  replan_.Signal();
}

// ---- planning

OrderCoordinator::ServiceState& OrderCoordinator::StateOf(
    const std::string& service) {
  return services_.try_emplace(service, load_window_).first->second;
}

void OrderCoordinator::PlanLoop() {
  std::uint64_t seen = replan_.count();
  while (!stopping_) {
    replan_.WaitUntil(seen, deps_.clock.Now() + kPlanInterval);
    seen = replan_.count();
    // The engines' reports are read during the handover gap, before orders are
    // allowed.
    if (deps_.lease.is_holder()) {
      PlanAll();
    }
  }
}

void OrderCoordinator::PlanAll() {
  const auto current = deps_.registry.config();
  if (current == nullptr) {
    return;
  }
  if (std::exchange(fence_, deps_.lease.fence()) != deps_.lease.fence()) {
    for (auto& [name, service_state] : services_) {
      service_state.engine_table.Clear();
    }
    services_.clear();
  }
  for (const auto& it : current->config.services) {
    if (it.value->engine) {
      PlanService(it.value->name, *it.value->engine);
    }
  }
}

void OrderCoordinator::PlanService(const std::string& service,
                                   const EngineSpec& spec) {
  const auto now = deps_.clock.Now();
  const bool first = !services_.contains(service);
  auto& service_state = StateOf(service);
  if (first) {
    service_state.load_limiter.OnTakeover(now);
  }
  const auto& directory = deps_.view.directory();
  for (const auto& it :
       service_state.engine_table.Sync(directory, service, now)) {
    service_state.engine_table.Find(it)->reading_report = true;
    boost::fibers::fiber([this, service, it] {
      ReadEngineState(service, it);
    }).detach();
  }
  if (!deps_.lease.MaySendOrder() ||
      service_state.engine_table.IsAwaitingReports(now)) {
    return;
  }
  PlacementInput input;
  input.spec = &spec;
  input.engines = service_state.engine_table.Snapshots(directory, now);
  for (auto& it : input.engines) {
    const auto wait = deps_.lease.RemainingWait(it.id);
    it.busy = it.busy || wait > Duration(0);
    it.time_until_free = std::max(it.time_until_free, wait);
  }
  input.demand = demand_.Read(service, now);
  input.now = now;
  constexpr double kMillisecondsPerSecond = 1000;
  input.engine_prompt_tokens_per_s =
      deps_.view.PromptSpeedOf(service).tokens_per_ms() *
      kMillisecondsPerSecond;
  input.store_concurrency = service_state.concurrency.limit();
  input.engines_settled = service_state.engine_table.IsSettled(now);
  const auto running =
      std::min(service_state.store_loads_in_flight, input.store_concurrency);
  input.store_loads_allowed = std::min(
      service_state.load_limiter.LoadsAllowed(spec.store_loads_per_s, now),
      input.store_concurrency - running);
  const auto plan = PlanPlacement(input);
  for (const auto& it : plan.orders) {
    StartOrder(service, it);
  }
  AnnounceLoadEstimates(service, plan.store_queue);
}

// ---- orders

void OrderCoordinator::StartOrder(const std::string& service,
                                  const PlannedOrder& planned) {
  auto& service_state = StateOf(service);
  auto* entry = service_state.engine_table.Find(planned.engine);
  if (entry == nullptr) {
    return;
  }
  const auto now = deps_.clock.Now();
  const OrderTask order{service, planned, ++orders_started_};
  entry->order = InFlightOrder{order.id, planned.action, planned.target,
                               now + planned.expected_duration};
  if (planned.target.adapter.empty()) {
    if (planned.action == OrderAction::kUnload) {
      AnnounceModels(
          *entry);  // Nodes stop sending before the engine starts refusing.
    } else if (planned.source == CheckpointSource::kRemote) {
      service_state.load_limiter.OnLoadStarted(now);
    }
  }
  boost::fibers::fiber([this, order] { Execute(order); }).detach();
}

void OrderCoordinator::Execute(const OrderTask& order) {
  const auto& planned = order.planned;
  if (!planned.target.adapter.empty()) {
    if (const auto accepted = Send(order)) {
      FinishAdapterOrder(order, *accepted);
    }
  } else if (planned.action == OrderAction::kLoad &&
             planned.source == CheckpointSource::kRemote) {
    LoadFromStore(order);
  } else if (Send(order)) {
    FollowModelOrder(order);
  }
  replan_.Signal();
}

TrackedEngine* OrderCoordinator::FindEngine(const OrderTask& order) {
  return StateOf(order.service)
      .engine_table.FindWithOrder(order.planned.engine, order.id);
}

void OrderCoordinator::LoadFromStore(const OrderTask& order) {
  const auto fence = fence_;
  const auto started_at = deps_.clock.Now();
  const auto before = ++StateOf(order.service).store_loads_in_flight;
  const bool loaded = Send(order).has_value() && FollowModelOrder(order);
  if (fence != fence_) {
    return;  // The counts were reset meanwhile.
  }
  auto& service_state = StateOf(order.service);
  const auto after = service_state.store_loads_in_flight--;
  if (loaded) {
    service_state.concurrency.OnLoaded((before + after) / 2,
                                       deps_.clock.Now() - started_at,
                                       order.planned.expected_duration);
  }
}

EngineOrder OrderCoordinator::MakeOrder(const PlannedOrder& order,
                                        const TrackedEngine& entry) const {
  EngineOrder out;
  out.order = NewId("o");
  out.fence = deps_.lease.fence();
  out.action = order.action;
  out.model = order.target.model;
  out.adapter = order.target.adapter;
  out.source = order.source;
  out.endpoint = entry.record.id;
  out.lease_holder = deps_.peers.node_id();
  out.expected_sequence = entry.sequence;
  out.may_send_order = [&lease = deps_.lease, fence = out.fence,
                        engine = entry.record.id] {
    return lease.MaySendOrder(engine) && lease.fence() == fence;
  };
  return out;
}

std::optional<OrderAccepted> OrderCoordinator::Send(const OrderTask& order) {
  if (!deps_.lease.AwaitOrder(order.planned.engine)) {
    Fail(order, "the lease is not certain");
    auto* entry =
        StateOf(order.service).engine_table.Find(order.planned.engine);
    if (entry != nullptr) {
      AnnounceModels(*entry);  // An unload was announced before it was sent.
    }
    return std::nullopt;
  }
  auto* entry = FindEngine(order);
  if (entry == nullptr) {
    deps_.lease.CancelRequest(order.planned.engine);
    return std::nullopt;
  }
  const auto& planned = order.planned;
  const auto message = MakeOrder(planned, *entry);
  const Address address = entry->record.address;
  const auto boot = entry->record.boot;
  deps_.lease.RecordOrder(planned.engine);
  deps_.log.Record(
      events::kEngineOrderSent,
      {{"engine", planned.engine},
       {"action", planned.action == OrderAction::kLoad ? "load" : "unload"},
       {"model", planned.target.ToString()},
       {"sequence", message.expected_sequence.value_or(0)},
       {"fence", message.fence},
       {"expected_ms",
        std::chrono::duration_cast<milliseconds>(planned.expected_duration)
            .count()}});
  const auto answer = deps_.engines.Send(address, message);
  if (answer && std::visit([](const auto& it) { return it.leaving; },
                           answer.assume_value())) {
    deps_.on_leaving(planned.engine, boot);
  }
  entry = FindEngine(order);
  if (entry == nullptr) {
    return std::nullopt;  // The engine left or restarted meanwhile.
  }
  if (!answer) {
    Fail(order, answer.assume_error().message);
    ReadEngineState(order.service, planned.engine);
    return std::nullopt;
  }
  if (const auto* refused = std::get_if<OrderRefused>(&answer.assume_value())) {
    Fail(order, refused->reason);
    ReadEngineState(order.service, planned.engine);
    return std::nullopt;
  }
  const auto& accepted = std::get<OrderAccepted>(answer.assume_value());
  // An adapter without requests is unloaded at once, so the response reports it
  // as already done although the engine counts it as an order.
  const bool counted =
      !accepted.already_done || (planned.action == OrderAction::kUnload &&
                                 !planned.target.adapter.empty());
  if (counted) {
    entry->sequence = message.expected_sequence.value_or(0) + 1;
  }
  return accepted;
}

bool OrderCoordinator::FollowModelOrder(const OrderTask& order) {
  const auto& planned = order.planned;
  const auto started_at = deps_.clock.Now();
  const auto deadline =
      started_at + 2 * planned.expected_duration + kOrderTimeoutMargin;
  deps_.clock.SleepFor(
      std::max<Duration>(kReportPollInterval, planned.expected_duration));
  while (!stopping_ && deps_.clock.Now() < deadline) {
    const auto* entry = FindEngine(order);
    if (entry == nullptr) {
      return false;  // The engine left or restarted.
    }
    const auto sequence = entry->sequence.value_or(0);
    const auto state = ReadReport(*entry);
    if (FindEngine(order) == nullptr) {
      return false;
    }
    if (state && state.assume_value().sequence >= sequence &&
        !state.assume_value().busy) {
      const auto& entries = state.assume_value().entries;
      const bool present = std::ranges::any_of(entries, [&](const auto& it) {
        return it.state == EngineReplicaState::kLoaded &&
               it.model == planned.target.model && it.adapter.empty();
      });
      if (present == (planned.action == OrderAction::kLoad)) {
        FinishModelOrder(order);
        return true;
      }
      if (deps_.clock.Now() - started_at >
          planned.expected_duration + kMaxReportLag) {
        break;
      }
    }
    deps_.clock.SleepFor(kReportPollInterval);
  }
  if (FindEngine(order) != nullptr) {
    Fail(order, "not carried out in time");
    ReadEngineState(order.service, planned.engine);
  }
  return false;
}

void OrderCoordinator::FinishModelOrder(const OrderTask& order) {
  auto* entry = FindEngine(order);
  const auto& model = order.planned.target.model;
  if (order.planned.action == OrderAction::kLoad) {
    entry->record.models[model];
    entry->record.cached_weights.in_memory.insert(model);
    entry->record.cached_weights.on_disk.insert(model);
  } else {
    entry->record.models.erase(model);
  }
  entry->order.reset();
  entry->changed_at = deps_.clock.Now();
  deps_.log.Record(events::kEngineOrderDone,
                   {{"engine", order.planned.engine},
                    {"model", model},
                    {"sequence", entry->sequence.value_or(0)}});
  AnnounceModels(*entry);
}

void OrderCoordinator::FinishAdapterOrder(const OrderTask& order,
                                          const OrderAccepted& accepted) {
  auto* entry = FindEngine(order);
  const auto& target = order.planned.target;
  entry->order.reset();
  if (order.planned.action == OrderAction::kUnload) {
    EngineTable::OnAdapterUnload(*entry, target, accepted.already_done,
                                 deps_.clock.Now());
    AnnounceModels(*entry);
    return;
  }
  if (!entry->record.models.contains(target.model)) {
    return;
  }
  entry->changed_at = deps_.clock.Now();
  entry->loading_adapters[target] =
      deps_.clock.Now() + EngineTable::kAdapterLoadTime;
  replan_.Signal();
  AwaitAdapterLoads(order.service, order.planned.engine);
}

void OrderCoordinator::AwaitAdapterLoads(const std::string& service,
                                         const std::string& engine) {
  deps_.clock.SleepFor(EngineTable::kAdapterLoadTime);
  auto* entry = StateOf(service).engine_table.Find(engine);
  if (entry != nullptr &&
      EngineTable::FinishAdapterLoads(*entry, deps_.clock.Now())) {
    AnnounceModels(*entry);
    replan_.Signal();
  }
}

void OrderCoordinator::Fail(const OrderTask& order, const std::string& cause) {
  deps_.log.Record(events::kEngineOrderFailed,
                   {{"engine", order.planned.engine},
                    {"model", order.planned.target.ToString()},
                    {"cause", cause}});
  if (auto* entry = FindEngine(order)) {
    entry->order.reset();
    entry->blocked_until = deps_.clock.Now() + kBlockAfterRefusal;
  }
}

// The engine may be removed from its table while its report is read.
Result<EngineState> OrderCoordinator::ReadReport(const TrackedEngine& engine) {
  const auto id = engine.record.id;
  const auto boot = engine.record.boot;
  auto state = deps_.engines.ReadState(engine.record.address);
  if (state && state.assume_value().leaving) {
    deps_.on_leaving(id, boot);
  }
  return state;
}

void OrderCoordinator::ReadEngineState(const std::string& service,
                                       const std::string& engine) {
  auto* entry = StateOf(service).engine_table.Find(engine);
  if (entry == nullptr) {
    return;
  }
  entry->reading_report = true;
  const auto boot = entry->record.boot;
  const auto sequence = entry->sequence;
  const auto state = ReadReport(*entry);
  entry = StateOf(service).engine_table.Find(engine);
  if (entry == nullptr || entry->record.boot != boot) {
    return;
  }
  entry->reading_report = false;
  if (entry->order || entry->sequence != sequence) {
    return;  // The report may be older than an order sent meanwhile.
  }
  const auto now = deps_.clock.Now();
  if (!state) {
    EngineTable::OnUnreachable(*entry, now);
    AnnounceModels(
        *entry);  // The notice sent for a failed unload is no longer true.
    return;
  }
  StateOf(service).engine_table.Adopt(engine, state.assume_value(), now);
  deps_.log.Record(events::kEngineStateAdopted,
                   {{"engine", engine},
                    {"sequence", state.assume_value().sequence},
                    {"busy", state.assume_value().busy},
                    {"loading_adapters", entry->loading_adapters.size()},
                    {"unloading_adapters", entry->unloading_adapters.size()}});
  if (state.assume_value().busy) {
    entry->blocked_until = now + kBlockAfterRefusal;
  }
  AnnounceModels(*entry);
  replan_.Signal();
  if (!entry->loading_adapters.empty()) {
    AwaitAdapterLoads(service, engine);
  }
}

void OrderCoordinator::AnnounceLoadEstimates(
    const std::string& service,
    const std::vector<PendingLoad>& queue) {
  auto& service_state = StateOf(service);
  const auto now = deps_.clock.Now();
  if ((queue.empty() && service_state.last_estimates_empty) ||
      now - service_state.estimates_announced_at < kEstimateInterval) {
    return;
  }
  LoadEstimate estimates;
  estimates.service = service;
  estimates.fence = fence_;
  estimates.number = ++service_state.estimates_announced;
  for (const auto& it : queue) {
    estimates.models.push_back(it.model);
    estimates.ready_in_ms.push_back(static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(it.ready_in).count()));
  }
  service_state.last_estimates_empty = queue.empty();
  service_state.estimates_announced_at = now;
  deps_.view.OnLoadEstimates(estimates);
  deps_.peers.Broadcast(std::move(estimates));
}

void OrderCoordinator::AnnounceModels(TrackedEngine& entry) {
  const auto notice = EngineTable::MakeNotice(entry, fence_, deps_.clock.Now());
  if (notice) {
    deps_.view.OnLoadedModels(*notice);
    deps_.peers.Broadcast(*notice);
  }
}

}  // namespace tanagerloom
