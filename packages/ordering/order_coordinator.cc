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

// Demand that nobody waits for is reported this often.
constexpr auto kDemandInterval = milliseconds(400);
// Requests that arrive together are reported together.
constexpr auto kDemandBatch = milliseconds(2);
// The plan is made anew at least this often.
constexpr auto kPlanInterval = milliseconds(100);
// Between two looks at an engine that carries out an order; its report lags by
// about as much.
constexpr auto kReportInterval = milliseconds(70);
// An order that takes longer than this beyond twice the expected time is given
// up, and the engine's state is read anew.
constexpr auto kOrderPatience = milliseconds(4000);
// An outlook that did not change is told again this often.
constexpr auto kOutlookInterval = milliseconds(500);
// A report that still shows the state before the order is not believed earlier.
constexpr auto kReportLag = milliseconds(400);
// An adapter is there this long after its order was taken.
constexpr auto kAdapterTime = milliseconds(20);
// No order goes to an engine for this long after one was refused.
constexpr auto kBlockAfterRefusal = milliseconds(150);

}  // namespace

OrderCoordinator::OrderCoordinator(OrderDependencies deps,
                                   Duration ceiling_window)
    : deps_(deps), ceiling_window_(ceiling_window) {}

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
      deps_.clock.SleepFor(kDemandBatch);
    }
    seen = urgent.count();
    if (!deps_.lease.holder().empty()) {
      ReportDemand();
    }
  }
}

void OrderCoordinator::ReportDemand() {
  for (const auto& it : deps_.demand.TakeDemand()) {
    if (deps_.lease.holding()) {
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

OrderCoordinator::ServiceOrders& OrderCoordinator::At(
    const std::string& service) {
  return services_.try_emplace(service, ceiling_window_).first->second;
}

void OrderCoordinator::PlanLoop() {
  std::uint64_t seen = replan_.count();
  while (!stopping_) {
    replan_.WaitUntil(seen, deps_.clock.Now() + kPlanInterval);
    seen = replan_.count();
    // The engines' reports are read while the gap after the last holder passes.
    if (deps_.lease.holding()) {
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
    for (auto& [name, orders] : services_) {
      orders.book.Clear();
    }
    services_.clear();
  }
  for (const auto& [name, service] : current->config.services) {
    if (service.engine) {
      PlanService(name, *service.engine);
    }
  }
}

void OrderCoordinator::PlanService(const std::string& service,
                                   const EngineSpec& spec) {
  const auto now = deps_.clock.Now();
  const bool first = !services_.contains(service);
  auto& orders = At(service);
  if (first) {
    orders.ceiling.OnTakeover(now);
  }
  const auto& directory = deps_.view.directory();
  for (const auto& it : orders.book.Sync(directory, service, now)) {
    orders.book.Find(it)->reading = true;
    boost::fibers::fiber([this, service, it] { Resync(service, it); }).detach();
  }
  if (!deps_.lease.MayOrder() || orders.book.AwaitsReports(now)) {
    return;
  }
  PlacementInput input;
  input.spec = &spec;
  input.engines = orders.book.Places(directory, now);
  for (auto& it : input.engines) {
    const auto wait = deps_.lease.WaitFor(it.id);
    it.busy = it.busy || wait > Duration(0);
    it.free_in = std::max(it.free_in, wait);
  }
  input.demand = demand_.Read(service, now);
  input.now = now;
  input.store_concurrency = orders.concurrency.limit();
  input.engines_settled = orders.book.Settled(now);
  const auto running = std::min(orders.store_loads, input.store_concurrency);
  input.store_loads_allowed =
      std::min(orders.ceiling.LoadsAllowed(spec.store_loads_per_s, now),
               input.store_concurrency - running);
  const auto plan = PlanPlacement(input);
  for (const auto& it : plan.orders) {
    Start(service, it);
  }
  TellOutlook(service, plan.store_queue);
}

// ---- orders

void OrderCoordinator::Start(const std::string& service,
                             const PlannedOrder& planned) {
  auto& orders = At(service);
  auto* entry = orders.book.Find(planned.engine);
  if (entry == nullptr) {
    return;
  }
  const auto now = deps_.clock.Now();
  const ActiveOrder order{service, planned, ++orders_started_};
  entry->order = OrderInProgress{order.id, planned.action, planned.target,
                                 now + planned.expected_duration};
  if (planned.target.adapter.empty()) {
    if (planned.action == OrderAction::kUnload) {
      Tell(*entry);  // Nodes stop sending before the engine starts refusing.
    } else if (planned.source == CheckpointSource::kRemote) {
      orders.ceiling.OnLoadStarted(now);
    }
  }
  boost::fibers::fiber([this, order] { Execute(order); }).detach();
}

void OrderCoordinator::Execute(const ActiveOrder& order) {
  const auto& planned = order.planned;
  if (!planned.target.adapter.empty()) {
    if (Send(order)) {
      FinishAdapterOrder(order);
    }
  } else if (planned.action == OrderAction::kLoad &&
             planned.source == CheckpointSource::kRemote) {
    LoadFromStore(order);
  } else if (Send(order)) {
    FollowModelOrder(order);
  }
  replan_.Signal();
}

BookedEngine* OrderCoordinator::EngineOf(const ActiveOrder& order) {
  return At(order.service).book.FindWithOrder(order.planned.engine, order.id);
}

void OrderCoordinator::LoadFromStore(const ActiveOrder& order) {
  const auto fence = fence_;
  const auto began = deps_.clock.Now();
  const auto before = ++At(order.service).store_loads;
  const bool loaded = Send(order) && FollowModelOrder(order);
  if (fence != fence_) {
    return;  // The counts were begun anew.
  }
  auto& orders = At(order.service);
  const auto after = orders.store_loads--;
  if (loaded) {
    orders.concurrency.OnLoaded((before + after) / 2, deps_.clock.Now() - began,
                                order.planned.expected_duration);
  }
}

EngineOrder OrderCoordinator::MakeOrder(const PlannedOrder& order,
                                        const BookedEngine& entry) const {
  EngineOrder out;
  out.order = NewId("o");
  out.fence = deps_.lease.fence();
  out.action = order.action;
  out.model = order.target.model;
  out.adapter = order.target.adapter;
  out.source = order.source;
  out.endpoint = entry.record.id;
  out.holder = deps_.peers.node_id();
  out.expected_sequence = entry.sequence;
  out.still_valid = [&lease = deps_.lease, fence = out.fence,
                     engine = entry.record.id] {
    return lease.MayOrder(engine) && lease.fence() == fence;
  };
  return out;
}

bool OrderCoordinator::Send(const ActiveOrder& order) {
  auto* entry = EngineOf(order);
  if (entry == nullptr) {
    return false;
  }
  const auto& planned = order.planned;
  const auto message = MakeOrder(planned, *entry);
  const Address address = entry->record.address;
  if (!deps_.lease.MayOrder(planned.engine)) {
    Fail(order, "the lease is not certain");
    return false;
  }
  deps_.lease.OnOrder(planned.engine);
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
  entry = EngineOf(order);
  if (entry == nullptr) {
    return false;  // The engine left or restarted meanwhile.
  }
  if (!answer) {
    Fail(order, answer.assume_error().message);
    Resync(order.service, planned.engine);
    return false;
  }
  if (const auto* refused = std::get_if<OrderRefused>(&answer.assume_value())) {
    Fail(order, refused->reason);
    Resync(order.service, planned.engine);
    return false;
  }
  const auto& accepted = std::get<OrderAccepted>(answer.assume_value());
  // An adapter without requests is unloaded at once: that is done when the
  // answer says so, and counts like any other order.
  const bool counted =
      !accepted.already_done || (planned.action == OrderAction::kUnload &&
                                 !planned.target.adapter.empty());
  if (counted) {
    entry->sequence = message.expected_sequence.value_or(0) + 1;
  }
  return true;
}

bool OrderCoordinator::FollowModelOrder(const ActiveOrder& order) {
  const auto& planned = order.planned;
  const auto began = deps_.clock.Now();
  const auto give_up = began + 2 * planned.expected_duration + kOrderPatience;
  deps_.clock.SleepFor(
      std::max<Duration>(kReportInterval, planned.expected_duration));
  while (!stopping_ && deps_.clock.Now() < give_up) {
    const auto* entry = EngineOf(order);
    if (entry == nullptr) {
      return false;  // The engine left or restarted.
    }
    const auto sequence = entry->sequence.value_or(0);
    const auto state = deps_.engines.ReadState(entry->record.address);
    if (EngineOf(order) == nullptr) {
      return false;
    }
    if (state && state.assume_value().sequence >= sequence &&
        !state.assume_value().busy) {
      const auto& entries = state.assume_value().entries;
      const bool present = std::ranges::any_of(entries, [&](const auto& it) {
        return it.model == planned.target.model && it.adapter.empty();
      });
      if (present == (planned.action == OrderAction::kLoad)) {
        FinishModelOrder(order);
        return true;
      }
      if (deps_.clock.Now() - began > planned.expected_duration + kReportLag) {
        break;
      }
    }
    deps_.clock.SleepFor(kReportInterval);
  }
  if (EngineOf(order) != nullptr) {
    Fail(order, "not carried out in time");
    Resync(order.service, planned.engine);
  }
  return false;
}

void OrderCoordinator::FinishModelOrder(const ActiveOrder& order) {
  auto* entry = EngineOf(order);
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
  Tell(*entry);
}

void OrderCoordinator::FinishAdapterOrder(const ActiveOrder& order) {
  auto* entry = EngineOf(order);
  const auto& target = order.planned.target;
  entry->order.reset();
  const auto held = entry->record.models.find(target.model);
  if (held == entry->record.models.end()) {
    return;
  }
  entry->changed_at = deps_.clock.Now();
  if (order.planned.action == OrderAction::kUnload) {
    held->second.erase(target.adapter);
    Tell(*entry);
    return;
  }
  const auto boot = entry->record.boot;
  entry->adapters_coming[target] = deps_.clock.Now() + kAdapterTime;
  replan_.Signal();
  deps_.clock.SleepFor(kAdapterTime);
  entry = At(order.service).book.Find(order.planned.engine);
  if (entry == nullptr || entry->record.boot != boot ||
      entry->adapters_coming.erase(target) == 0) {
    return;
  }
  const auto model = entry->record.models.find(target.model);
  if (model != entry->record.models.end()) {
    model->second.insert(target.adapter);
    entry->changed_at = deps_.clock.Now();
    Tell(*entry);
  }
}

void OrderCoordinator::Fail(const ActiveOrder& order,
                            const std::string& cause) {
  deps_.log.Record(events::kEngineOrderFailed,
                   {{"engine", order.planned.engine},
                    {"model", order.planned.target.ToString()},
                    {"cause", cause}});
  if (auto* entry = EngineOf(order)) {
    entry->order.reset();
    entry->blocked_until = deps_.clock.Now() + kBlockAfterRefusal;
  }
}

void OrderCoordinator::Resync(const std::string& service,
                              const std::string& engine) {
  auto* entry = At(service).book.Find(engine);
  if (entry == nullptr) {
    return;
  }
  entry->reading = true;
  const auto boot = entry->record.boot;
  const auto sequence = entry->sequence;
  const auto state = deps_.engines.ReadState(entry->record.address);
  entry = At(service).book.Find(engine);
  if (entry == nullptr || entry->record.boot != boot) {
    return;
  }
  entry->reading = false;
  if (entry->order || entry->sequence != sequence) {
    return;  // The report is older than an order sent meanwhile.
  }
  const auto now = deps_.clock.Now();
  if (!state) {
    EngineBook::OnUnreachable(*entry, now);
    Tell(*entry);  // What was announced for a failed order does not hold.
    return;
  }
  At(service).book.Adopt(engine, state.assume_value(), now);
  deps_.log.Record(events::kEngineStateAdopted,
                   {{"engine", engine},
                    {"sequence", state.assume_value().sequence},
                    {"busy", state.assume_value().busy}});
  if (state.assume_value().busy) {
    entry->blocked_until = now + kBlockAfterRefusal;
  }
  Tell(*entry);
  replan_.Signal();
}

void OrderCoordinator::TellOutlook(const std::string& service,
                                   const std::vector<PendingLoad>& queue) {
  auto& orders = At(service);
  const auto now = deps_.clock.Now();
  if ((queue.empty() && orders.outlook_empty) ||
      now - orders.outlook_told < kOutlookInterval) {
    return;
  }
  LoadOutlook outlook;
  outlook.service = service;
  outlook.fence = fence_;
  outlook.number = ++orders.outlooks;
  for (const auto& it : queue) {
    outlook.models.push_back(it.model);
    outlook.ready_in_ms.push_back(static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(it.ready_in).count()));
  }
  orders.outlook_empty = queue.empty();
  orders.outlook_told = now;
  deps_.view.OnLoadEstimates(outlook);
  deps_.peers.Broadcast(std::move(outlook));
}

void OrderCoordinator::Tell(BookedEngine& entry) {
  const auto notice = EngineBook::News(entry, fence_, deps_.clock.Now());
  if (notice) {
    deps_.view.OnLoadedModels(*notice);
    deps_.peers.Broadcast(*notice);
  }
}

}  // namespace tanagerloom
