#include "placement/placement_service.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

#include "base/event_log.h"
#include "config/estate_source.h"
#include "config/settings.h"
#include "ports/peer_network.h"

namespace tanagerloom {

namespace {

using std::chrono::milliseconds;

// Changes of demand within this time go into one message.
constexpr milliseconds kDemandSendInterval{20};
// Well below CellDemandTable::kExpiryMs, after which the coordinator drops
// demand that is not renewed.
constexpr milliseconds kDemandRenewalInterval{1000};
constexpr milliseconds kDemandIdleInterval{1000};
// Interval at which a stopping service checks for open orders.
constexpr milliseconds kStopCheckInterval{20};

// The node of a process named "NODE/INCARNATION".
std::string NodeOfProcess(const std::string& process) {
  return process.substr(0, process.find('/'));
}

}  // namespace

PlacementService::PlacementService(const PlacementDependencies& deps)
    : deps_(deps),
      records_(deps.store, deps.log),
      slots_(deps.store, deps.clock, deps.log),
      backoff_(deps.clock),
      vm_index_(deps.peers, deps.clock) {
  deps_.peers.OnMessage([this](const auto& from, const auto& message) {
    OnMessage(from, message);
  });
  deps_.peers.OnMembersChanged([this] { WakeAllCells(); });
  deps_.estate.OnChange([this] { WakeAllCells(); });
}

PlacementService::~PlacementService() {
  RequestStop(Duration::zero());
}

void PlacementService::Start() {
  started_ = true;
  AddCells();
  tasks_.Spawn([this] { SendDemandLoop(); });
}

void PlacementService::RequestStop(Duration timeout) {
  const auto end = deps_.clock.Now() + timeout;
  draining_ = true;
  for (auto& [name, cell] : cells_) {
    cell->Drain();
  }
  const auto has_orders = [&] {
    return std::ranges::any_of(
        cells_, [](const auto& it) { return it.second->HasOwnOrders(); });
  };
  while (!stopping_ && has_orders() && deps_.clock.Now() < end) {
    deps_.clock.SleepFor(kStopCheckInterval);
  }
  stopping_ = true;
  for (auto& [name, cell] : cells_) {
    cell->Stop();
  }
  demand_changed_.Signal();
  tasks_.Wait();
}

void PlacementService::Step() {
  AddCells();
  for (auto& [name, demand] : demand_) {
    SendDemand(name, demand);
  }
  for (auto& [name, cell] : cells_) {
    cell->Step();
  }
}

void PlacementService::AddCells() {
  for (const auto& [name, pool] : deps_.estate.Current()->pools) {
    Cell(name);
  }
}

CellController& PlacementService::Cell(const std::string& cell) {
  auto& it = cells_[cell];
  if (!it) {
    it = std::make_unique<CellController>(cell, deps_, records_, slots_,
                                          backoff_, vm_index_, tasks_,
                                          [this] { changed_.Signal(); });
    if (started_ && !stopping_) {
      tasks_.Spawn([controller = it.get()] { controller->Run(); });
    }
  }
  return *it;
}

void PlacementService::WakeAllCells() {
  AddCells();
  for (auto& [name, cell] : cells_) {
    cell->Wake();
  }
  changed_.Signal();
}

void PlacementService::OnMessage(const std::string& from,
                                 const PeerMessage& message) {
  if (const auto* demand = std::get_if<Demand>(&message)) {
    OnDemand(from, *demand);
  } else if (const auto* ack = std::get_if<DemandAck>(&message)) {
    auto& it = demand_[ack->cell];
    if (ack->number >= it.sequence_number) {
      it.unacknowledged_since.reset();
    } else if (ack->number > it.acknowledged_number &&
               it.unacknowledged_since) {
      // The coordinator responds; only later messages are not acknowledged yet.
      it.unacknowledged_since = deps_.clock.Now();
    }
    it.acknowledged_number = std::max(it.acknowledged_number, ack->number);
  } else if (const auto* update = std::get_if<RecordUpdate>(&message)) {
    Cell(update->cell).HandleRecord(*update);
  } else if (const auto* done = std::get_if<OrderDone>(&message)) {
    Cell(done->cell).HandleOrderDone(from, *done);
  }
}

void PlacementService::OnDemand(const std::string& from, const Demand& demand) {
  auto& cell = Cell(demand.cell);
  cell.SetDemand(from, demand);
  // Only a node that makes decisions for the cell acknowledges its demand.
  if (cell.IsCoordinator() && !draining_) {
    deps_.peers.Send(NodeOfProcess(from),
                     DemandAck{demand.cell, demand.number});
  }
}

void PlacementService::SetDemand(const std::string& cell,
                                 const ModelKey& key,
                                 const LocalDemand& demand) {
  auto& local = demand_[cell].models[key];
  local.dirty = true;
  local.demand = demand;
  demand_changed_.Signal();
}

void PlacementService::CountArrival(const std::string& cell,
                                    const ModelKey& key) {
  auto& local = demand_[cell].models[key];
  ++local.arrivals;
  local.dirty = true;
}

void PlacementService::SendDemandLoop() {
  while (!stopping_) {
    const auto seen = demand_changed_.count();
    bool busy = false;
    for (auto& [name, demand] : demand_) {
      SendDemand(name, demand);
      busy = busy || demand.unacknowledged_since.has_value();
    }
    if (!busy) {
      demand_changed_.WaitUntil(
          seen, std::chrono::steady_clock::now() + kDemandIdleInterval);
    }
    deps_.clock.SleepFor(kDemandSendInterval);
  }
}

Demand PlacementService::BuildDemandMessage(const std::string& cell,
                                            CellDemand& demand) {
  Demand message{cell, ++demand.sequence_number, {}};
  const auto now = deps_.clock.Now();
  for (auto it = demand.models.begin(); it != demand.models.end();) {
    auto& [key, local] = *it;
    std::uint64_t deadline_ms = 0;
    if (local.demand.earliest_deadline) {
      const auto left = std::chrono::duration_cast<milliseconds>(
          *local.demand.earliest_deadline - now);
      deadline_ms = static_cast<std::uint64_t>(
          std::max<milliseconds::rep>(1, left.count()));
    }
    message.entries.push_back({key.model, key.version, key.adapter,
                               local.demand.waiting, local.demand.running,
                               local.demand.rank, deadline_ms, local.arrivals});
    local.arrivals = 0;
    local.dirty = false;
    const bool idle = local.demand.waiting + local.demand.running == 0;
    it = idle ? demand.models.erase(it) : std::next(it);
  }
  return message;
}

void PlacementService::SendDemand(const std::string& cell, CellDemand& demand) {
  const auto now = deps_.clock.Now();
  const bool dirty = std::ranges::any_of(
      demand.models, [](const auto& it) { return it.second.dirty; });
  const bool waiting = std::ranges::any_of(demand.models, [](const auto& it) {
    return it.second.demand.waiting > 0;
  });
  auto& controller = Cell(cell);
  const auto coordinator = controller.Coordinator();
  const bool due = !demand.models.empty() &&
                   (now >= demand.last_sent_time + kDemandRenewalInterval ||
                    coordinator != demand.last_recipient);
  if (dirty || due) {
    const auto message = BuildDemandMessage(cell, demand);
    demand.last_sent_time = now;
    demand.last_recipient = coordinator;
    // This node records its own demand too, in case it has to act as
    // coordinator.
    controller.SetDemand(deps_.peers.self(), message);
    if (!controller.IsCoordinator()) {
      if (!demand.unacknowledged_since) {
        demand.unacknowledged_since = now;
      }
      deps_.peers.Send(coordinator, message);
    }
  }
  if (controller.IsCoordinator()) {
    demand.unacknowledged_since.reset();
  }
  if (waiting && demand.unacknowledged_since &&
      now >= *demand.unacknowledged_since + deps_.settings.demand_timeout) {
    controller.ActAsCoordinator();
  }
}

const CellController* PlacementService::CellOf(const ModelKey& key) const {
  const auto estate = deps_.estate.Current();
  const auto model = estate->models.find(key.model);
  if (model == estate->models.end()) {
    return nullptr;
  }
  const auto cell = cells_.find(model->second.pool);
  return cell == cells_.end() ? nullptr : cell->second.get();
}

std::vector<ReplicaLocation> PlacementService::Replicas(
    const ModelKey& key) const {
  const auto* cell = CellOf(key);
  if (cell == nullptr) {
    return {};
  }
  std::vector<ReplicaLocation> locations;
  for (const auto& id : cell->EnginesServing(key)) {
    if (const auto address = cell->monitor().AddressOf(id)) {
      locations.push_back({id, *address, cell->monitor().DataCentreOf(id)});
    }
  }
  return locations;
}

ReplicaLoadEstimate PlacementService::EstimateReplicaLoad(
    const ModelKey& key) const {
  const auto* cell = CellOf(key);
  return cell == nullptr ? ReplicaLoadEstimate{}
                         : cell->EstimateReplicaLoad(key);
}

void PlacementService::ReportMissingReplica(const std::string& engine,
                                            const ModelKey& key) {
  for (auto& [name, cell] : cells_) {
    if (cell->view().record.engines.contains(engine)) {
      cell->ReportMissingReplica(engine, key);
    }
  }
  changed_.Signal();
}

nlohmann::json PlacementService::Status() const {
  auto cells = nlohmann::json::object();
  for (const auto& [name, cell] : cells_) {
    cells[name] = cell->Status();
  }
  const auto& calls = records_.calls();
  return {{"cells", std::move(cells)},
          {"platform_calls",
           {{"reads", calls.reads},
            {"writes", calls.writes},
            {"conflicts", calls.conflicts},
            {"lost_answers", calls.lost_answers},
            {"failures", calls.failures}}}};
}

}  // namespace tanagerloom
