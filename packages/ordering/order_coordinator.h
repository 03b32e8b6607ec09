// Defines OrderCoordinator, which sends orders to the engines while this node
// holds the order lease: it collects the demand of all nodes, plans the
// placement of models, sends orders, tracks them until they end and announces
// the loaded models of each engine to all nodes.
#ifndef ORDERING_ORDER_COORDINATOR_H_
#define ORDERING_ORDER_COORDINATOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "fleet/demand_table.h"
#include "fleet/load_rate_limiter.h"
#include "fleet/placement_plan.h"
#include "fleet/store_concurrency.h"
#include "ordering/engine_table.h"
#include "ports/engine_control.h"
#include "runtime/event_flag.h"

namespace tanagerloom {

class DemandTracker;
class EventLog;
class FleetRegistry;
class FleetView;
class OrderLease;
class PeerNetwork;

/// Dependencies of OrderCoordinator; they must outlive it.
struct OrderDependencies {
  OrderLease& lease;
  EngineControl& engines;
  PeerNetwork& peers;
  FleetRegistry& registry;
  FleetView& view;
  DemandTracker& demand;
  Clock& clock;
  EventLog& log;
  /// Called when a start of an engine says in an answer that it leaves.
  std::function<void(const std::string& engine, std::uint64_t boot)> on_leaving;
};

/// Sends orders to engines while this node holds the order lease; otherwise
/// reports this node's demand to the lease holder.
class OrderCoordinator {
 public:
  /// `load_window` is the time window of the rate limit on loads from the
  /// weight store.
  OrderCoordinator(OrderDependencies deps, Duration load_window);

  /// Starts the fibers that report demand and send orders.
  void Start();
  void Stop() { stopping_ = true; }

  /// Takes the demand message of a node and plans again.
  void OnDemand(const std::string& node, const Demand& demand);

 private:
  /// Engines of one service and the limits on its loads from the weight store.
  struct ServiceState {
    explicit ServiceState(Duration window) : load_limiter(window) {}
    EngineTable engine_table;
    LoadRateLimiter load_limiter;
    StoreConcurrency concurrency;
    /// Loads from the weight store in flight.
    std::uint32_t store_loads_in_flight = 0;
    /// Announcements of load estimates under fence_.
    std::uint64_t estimates_announced = 0;
    /// The last announcement listed no model.
    bool last_estimates_empty = true;
    TimePoint estimates_announced_at{};
  };

  /// A planned order with the ids by which its engine is found again.
  struct OrderTask {
    std::string service;
    PlannedOrder planned;
    std::uint64_t id = 0;
  };

  /// Reports demand at intervals, and at once when a request starts to wait.
  void DemandLoop();
  void ReportDemand();
  /// Plans at intervals, and at once when demand or an engine changes.
  void PlanLoop();
  void PlanAll();
  void PlanService(const std::string& service, const EngineSpec& spec);
  /// Marks the engine as busy and carries out the order on a new fiber.
  void StartOrder(const std::string& service, const PlannedOrder& planned);
  /// Sends the order and waits until it ends.
  void Execute(const OrderTask& order);
  /// Sends the order; returns how the engine accepted it, or nothing if it did
  /// not.
  std::optional<OrderAccepted> Send(const OrderTask& order);
  /// Carries out a load from the weight store and updates the concurrency limit
  /// from its duration.
  void LoadFromStore(const OrderTask& order);
  /// Waits until the engine has carried out the order; returns false if it did
  /// not in time or left.
  bool FollowModelOrder(const OrderTask& order);
  /// Updates the engine's state after a finished model order.
  void FinishModelOrder(const OrderTask& order);
  /// Updates the engine's state after an accepted adapter order, for a load
  /// once the adapter is loaded.
  void FinishAdapterOrder(const OrderTask& order,
                          const OrderAccepted& accepted);
  /// Waits until the adapters on their way to an engine are loaded, and
  /// announces them.
  void AwaitAdapterLoads(const std::string& service, const std::string& engine);
  /// Ends a failed order and blocks its engine for a short time.
  void Fail(const OrderTask& order, const std::string& cause);
  /// Returns the engine of an order while the order is in flight there, else
  /// null.
  TrackedEngine* FindEngine(const OrderTask& order);
  /// Reads the engine's report, and reports it if the engine leaves.
  Result<EngineState> ReadReport(const TrackedEngine& engine);
  /// Reads the engine's report and adopts it, unless an order was sent
  /// meanwhile.
  void ReadEngineState(const std::string& service, const std::string& engine);
  /// Announces the loaded models of an engine to all nodes, if they changed.
  void AnnounceModels(TrackedEngine& entry);
  /// Announces the load estimates of models that wait for the weight store.
  void AnnounceLoadEstimates(const std::string& service,
                             const std::vector<PendingLoad>& queue);
  /// Returns the state of a service, and creates it if needed.
  ServiceState& StateOf(const std::string& service);
  EngineOrder MakeOrder(const PlannedOrder& order,
                        const TrackedEngine& entry) const;

  OrderDependencies deps_;
  Duration load_window_;
  DemandTable demand_;
  std::map<std::string, ServiceState> services_;
  std::uint64_t orders_started_ = 0;  ///< Source of OrderTask::id.
  /// Fencing token under which services_ was filled.
  std::uint64_t fence_ = 0;
  EventFlag replan_;  ///< Signalled when a new plan is needed.
  bool stopping_ = false;
};

}  // namespace tanagerloom

#endif  // ORDERING_ORDER_COORDINATOR_H_
