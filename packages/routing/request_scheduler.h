// Defines RequestScheduler, which queues waiting requests for each model and
// service and assigns endpoint slots to them.
#ifndef ROUTING_REQUEST_SCHEDULER_H_
#define ROUTING_REQUEST_SCHEDULER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/address.h"
#include "config/model_key.h"
#include "decision/admission_estimate.h"
#include "decision/fair_queue.h"
#include "routing/endpoint_table.h"
#include "routing/refusal.h"
#include "routing/routing_dependencies.h"
#include "runtime/event_flag.h"

namespace tanagerloom {

class RequestScheduler;

/// The model whose loaded replicas serve a queue.
struct ModelTarget {
  ModelKey key;
  std::string cell;
};

/// The plain service whose endpoints serve a queue.
struct ServiceTarget {
  std::string service;
  std::string pool;
  /// Max calls in flight at one endpoint, over all nodes.
  std::uint32_t max_in_flight = 1;
};

/// What a queue's requests are sent to.
using QueueTarget = std::variant<ModelTarget, ServiceTarget>;

/// The right to have one request in flight at an endpoint. The destructor
/// returns it to the scheduler.
class EndpointSlot {
 public:
  EndpointSlot(RequestScheduler& scheduler,
               std::string queue,
               std::string endpoint,
               Address address,
               std::string request,
               bool exclusive);
  ~EndpointSlot();
  EndpointSlot(const EndpointSlot&) = delete;
  EndpointSlot& operator=(const EndpointSlot&) = delete;

  const std::string& endpoint() const { return endpoint_; }
  const Address& address() const { return address_; }
  /// Name of the queue that the slot was assigned to.
  const std::string& queue() const { return queue_; }
  const std::string& request() const { return request_; }
  /// Whether nothing else is sent to the endpoint while the slot is in use.
  bool exclusive() const { return exclusive_; }

 private:
  RequestScheduler& scheduler_;
  std::string queue_;
  std::string endpoint_;
  Address address_;
  std::string request_;
  bool exclusive_;
};

/// A waiting request and the result of its wait. Lives on the stack of the
/// request's fiber.
struct QueueEntry {
  std::string request;  ///< Id of the request.
  QueueTarget target;
  std::uint32_t rank = 0;  ///< Rank of the request class.
  bool deferred = false;   ///< The class may wait for all others.
  std::string operator_name;
  TimePoint deadline;
  /// Hashes of the prompt's prefixes; null for a service call.
  const std::vector<std::uint64_t>* prefix = nullptr;
  /// Endpoints where an earlier attempt failed.
  std::set<std::string> failed_endpoints;
  /// Whether the request has to run alone, since it may crash endpoints.
  bool exclusive = false;
  /// Returns a refusal if the request is quarantined by now. An equal request
  /// may crash endpoints elsewhere while this one waits.
  std::function<std::optional<Refusal>()> check_quarantine;

  /// Signalled when `slot`, `refusal` or `cancelled` is set.
  EventFlag changed;
  std::unique_ptr<EndpointSlot> slot;
  std::optional<Refusal> refusal;
  bool cancelled = false;
};

/// Queues requests and assigns them to endpoints.
class RequestScheduler {
 public:
  RequestScheduler(const RoutingDependencies& deps, EndpointTable& endpoints);

  /// Starts the fibers that assign slots after changes of the placement and
  /// report demand. They run until the process ends.
  void Start();

  /// Queues a request. Suspends until the entry has a slot or a refusal, or is
  /// cancelled. A request is refused if the node's queues are full or no
  /// endpoint can serve it before its deadline.
  void WaitForSlot(QueueEntry& entry);

  /// Ends the wait of a request whose client has disconnected.
  void Cancel(QueueEntry& entry);

  /// Sends none of the queue's requests to an endpoint that has not loaded its
  /// model, for a short time in which the list of replicas is corrected.
  void ExcludeEndpoint(const QueueTarget& target, const std::string& endpoint);

  /// Records how long a request used its slot, for the estimates.
  void RecordServiceTime(const QueueTarget& target, Duration time);

  /// Refuses all waiting requests and, from now on, every request that would
  /// have to wait.
  void RefuseWaiting(const Refusal& refusal);

  /// Assigns free slots to the waiting requests of all queues.
  void AssignAllWaiting();

  /// Number of waiting requests in all queues.
  std::size_t waiting() const { return waiting_; }
  /// The state of all queues, as JSON.
  nlohmann::json Status() const;

 private:
  friend class EndpointSlot;

  /// The waiting requests and the requests in flight of one target.
  struct Queue {
    QueueTarget target;
    FairQueue fair_queue;
    std::unordered_map<std::uint64_t, QueueEntry*> entries;  ///< By id.
    std::map<std::string, std::uint32_t> in_flight;  ///< Requests by endpoint.
    /// Endpoints that have not loaded the model, with the end of their
    /// exclusion.
    std::map<std::string, TimePoint> excluded_until;
    std::uint32_t running = 0;  ///< Requests in flight at all endpoints.
    /// Moving average of the service time in seconds; 0 if there is none.
    double mean_service_s = 0;
    bool demand_changed = false;  ///< Demand has to be reported.
    TimePoint used_at;
  };

  /// An endpoint that may serve a queue.
  struct Endpoint {
    std::string name;
    Address address;
    std::string data_centre;
    EndpointCandidate candidate;
  };

  /// The queue of a target; added if there is none.
  Queue& QueueOf(const QueueTarget& target);
  /// The endpoints that may serve a queue, usable or not.
  std::vector<Endpoint> EndpointsOf(const Queue& queue);
  /// Max requests in flight at one endpoint of a queue.
  std::uint32_t LimitOf(const Queue& queue) const;

  /// Assigns free slots to the waiting requests of a queue.
  void AssignWaiting(const std::string& name, Queue& queue);
  /// Index of the endpoint for a request; empty if none is free.
  std::optional<std::size_t> Choose(const QueueEntry& entry,
                                    std::vector<Endpoint>& endpoints);
  /// As Choose(), for a request that has to run alone.
  std::optional<std::size_t> ChooseExclusive(const QueueEntry& entry,
                                             std::vector<Endpoint>& endpoints);
  /// Gives a request a slot at an endpoint.
  void Assign(const std::string& name,
              Queue& queue,
              QueueEntry& entry,
              Endpoint& endpoint);
  /// Takes a slot back and assigns it again.
  void Release(const EndpointSlot& slot);
  /// Ends the reservations of a request that no longer waits.
  void CancelReservations(const std::string& request);

  /// The state of a queue for the admission estimate.
  struct QueueEstimate {
    AdmissionInput input;  ///< `ahead` and `remaining` are not set.
    std::string cause;     ///< Cause of failing loads; else empty.
    /// Whether this version of the model is no longer offered.
    bool model_changed = false;
  };
  /// Reads the slots of a queue and the state of its model's loads.
  QueueEstimate EstimateQueue(const Queue& queue);
  /// The refusal of a request that cannot be served before its deadline;
  /// `ahead` is the number of requests that are served before it.
  std::optional<Refusal> CheckAdmission(const Queue& queue,
                                        QueueEstimate& estimate,
                                        TimePoint deadline,
                                        std::size_t ahead) const;
  /// Refuses waiting requests that can no longer be served in time or are
  /// quarantined.
  void RecheckAdmission();
  /// Reports a queue's demand to the placement.
  void ReportDemand(Queue& queue);
  /// Reports a queue's demand with the next tick; at once if `urgent`.
  void MarkDemandChanged(Queue& queue, bool urgent);
  /// Body of the fiber that assigns slots after changes of the placement.
  void FollowPlacement();
  /// Body of the fiber that does the periodic work.
  void TickLoop();
  /// Removes queues that were not used for long.
  void PruneQueues();

  const RoutingDependencies& deps_;
  EndpointTable& endpoints_;
  std::map<std::string, Queue> queues_;  ///< By QueueName().
  std::uint64_t next_id_ = 0;
  std::size_t waiting_ = 0;
  /// The refusal of every request that would have to wait; see RefuseWaiting().
  std::optional<Refusal> waiting_refusal_;
  bool assigning_ = false;  ///< AssignAllWaiting() runs.
};

/// Code of the refusal of a request whose model version is no longer offered.
/// The request may be queued again for the new version.
inline constexpr std::string_view kModelChanged = "model_changed";

/// The name of a target's queue, such as "model:M@1".
std::string QueueName(const QueueTarget& target);

}  // namespace tanagerloom

#endif  // ROUTING_REQUEST_SCHEDULER_H_
