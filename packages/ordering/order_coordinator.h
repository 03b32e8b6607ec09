// Defines OrderCoordinator, which orders the engines while this node holds the
// lease: it collects the demand of all nodes, plans, sends orders, follows them
// to their end and tells all nodes what the engines hold.
#ifndef ORDERING_ORDER_COORDINATOR_H_
#define ORDERING_ORDER_COORDINATOR_H_

#include <map>
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

/// What the coordinator works with.
struct OrderDependencies {
  OrderLease& lease;
  EngineControl& engines;
  PeerNetwork& peers;
  FleetRegistry& registry;
  FleetView& view;
  DemandTracker& demand;
  Clock& clock;
  EventLog& log;
};

/// Orders engines, and on the other nodes reports demand to the node that does.
class OrderCoordinator {
 public:
  /// `ceiling_window` is the span for which loads from the store are bounded.
  OrderCoordinator(OrderDependencies deps, Duration load_window);

  /// Starts the fibers that report demand and send orders.
  void Start();
  void Stop() { stopping_ = true; }

  /// Takes a node's demand.
  void OnDemand(const std::string& node, const Demand& demand);

 private:
  /// One service's engines and its rate of loads.
  struct ServiceState {
    explicit ServiceState(Duration window) : load_limiter(window) {}
    EngineTable engine_table;
    LoadRateLimiter load_limiter;
    StoreConcurrency concurrency;
    std::uint32_t store_loads_in_flight = 0;  ///< In progress.
    std::uint64_t estimates_announced = 0;    ///< Told under this fence.
    bool last_estimates_empty = true;         ///< Of the last one told.
    TimePoint estimates_announced_at{};
  };

  /// An order and what it takes to find its engine again.
  struct OrderTask {
    std::string service;
    PlannedOrder planned;
    std::uint64_t id = 0;
  };

  void DemandLoop();
  void ReportDemand();
  void PlanLoop();
  void PlanAll();
  void PlanService(const std::string& service, const EngineSpec& spec);
  void StartOrder(const std::string& service, const PlannedOrder& planned);
  void Execute(const OrderTask& order);
  /// Sends the order; true if the engine took it.
  bool Send(const OrderTask& order);
  /// Loads from the weight store and learns from the time that it took.
  void LoadFromStore(const OrderTask& order);
  /// Waits until the engine has carried out the order; false if it did not.
  bool FollowModelOrder(const OrderTask& order);
  void FinishModelOrder(const OrderTask& order);
  void FinishAdapterOrder(const OrderTask& order);
  void Fail(const OrderTask& order, const std::string& cause);
  /// The engine of an order, while the order is in progress there.
  TrackedEngine* FindEngine(const OrderTask& order);
  /// Reads the engine's state after an order without a clear outcome.
  void ReadEngineState(const std::string& service, const std::string& engine);
  void AnnounceModels(TrackedEngine& entry);
  void AnnounceLoadEstimates(const std::string& service,
                             const std::vector<PendingLoad>& queue);
  ServiceState& StateOf(const std::string& service);
  EngineOrder MakeOrder(const PlannedOrder& order,
                        const TrackedEngine& entry) const;

  OrderDependencies deps_;
  Duration load_window_;
  DemandTable demand_;
  std::map<std::string, ServiceState> services_;
  std::uint64_t orders_started_ = 0;
  std::uint64_t fence_ = 0;  ///< Under which the books were begun.
  EventFlag replan_;
  bool stopping_ = false;
};

}  // namespace tanagerloom

#endif  // ORDERING_ORDER_COORDINATOR_H_
