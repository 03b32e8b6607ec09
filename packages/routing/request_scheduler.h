// Defines RequestScheduler: the queues of waiting requests, one for each model
// and service, and the hand-out of endpoint slots to them.
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

/// A model whose loaded replicas serve a queue.
struct ModelTarget {
  ModelKey key;
  std::string cell;
};

/// A service whose endpoints serve a queue.
struct ServiceTarget {
  std::string service;
  std::string pool;
  std::uint32_t max_in_flight = 1;
};

using QueueTarget = std::variant<ModelTarget, ServiceTarget>;

/// The right to have one request in progress at an endpoint.
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
  const std::string& queue() const { return queue_; }
  const std::string& request() const { return request_; }
  /// Whether nothing else is sent to the endpoint meanwhile.
  bool exclusive() const { return exclusive_; }

 private:
  RequestScheduler& scheduler_;
  std::string queue_;
  std::string endpoint_;
  Address address_;
  std::string request_;
  bool exclusive_;
};

/// What a waiting request needs; lives on the stack of the request's fiber.
struct QueueEntry {
  std::string request;
  QueueTarget target;
  std::uint32_t rank = 0;
  bool deferred = false;
  std::string operator_name;
  TimePoint deadline;
  const std::vector<std::uint64_t>* prefix = nullptr;
  std::set<std::string>
      failed_endpoints;    ///< Endpoints where it failed already.
  bool exclusive = false;  ///< Suspected of crashing endpoints.
  /// The refusal that a quarantine of this request demands meanwhile; the
  /// request may crash endpoints elsewhere while it waits here.
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

  /// Starts the fibers that follow placement and report demand.
  void Start();

  /// Suspends until the ticket has a lease or a refusal, or is cancelled.
  void WaitForSlot(QueueEntry& entry);

  /// Wakes a waiting request whose caller has left.
  void Cancel(QueueEntry& entry);

  /// Keeps a queue's requests from an endpoint that does not serve its target,
  /// until its replicas are known again.
  void ExcludeEndpoint(const QueueTarget& target, const std::string& endpoint);

  /// Records how long a request held its slot, for the estimates.
  void RecordServiceTime(const QueueTarget& target, Duration time);

  /// Refuses all waiting requests, and from now on every request that no
  /// endpoint can take at once.
  void RefuseWaiting(const Refusal& refusal);

  /// Assigns what can be assigned in all queues.
  void AssignAllWaiting();

  std::size_t waiting() const { return waiting_; }
  nlohmann::json Status() const;

 private:
  friend class EndpointSlot;

  struct Queue {
    QueueTarget target;
    FairQueue fair_queue;
    std::unordered_map<std::uint64_t, QueueEntry*> entries;
    std::map<std::string, std::uint32_t> in_flight;  ///< By endpoint.
    std::map<std::string, TimePoint>
        excluded_until;  ///< Endpoints without the model.
    std::uint32_t running = 0;
    double mean_service_s = 0;
    bool demand_changed = false;
    TimePoint used_at;
  };

  struct Endpoint {
    std::string name;
    Address address;
    std::string data_centre;
    EndpointCandidate candidate;
  };

  Queue& QueueOf(const QueueTarget& target);
  std::vector<Endpoint> EndpointsOf(const Queue& queue);
  std::uint32_t LimitOf(const Queue& queue) const;

  void AssignWaiting(const std::string& name, Queue& queue);
  std::optional<std::size_t> Choose(const QueueEntry& entry,
                                    std::vector<Endpoint>& endpoints);
  std::optional<std::size_t> ChooseExclusive(const QueueEntry& entry,
                                             std::vector<Endpoint>& endpoints);
  void Assign(const std::string& name,
              Queue& queue,
              QueueEntry& entry,
              Endpoint& endpoint);
  void Release(const EndpointSlot& slot);
  void CancelReservations(const std::string& request);

  struct QueueEstimate {
    AdmissionInput input;        ///< Without `ahead` and `remaining`.
    std::string cause;           ///< Of failing loads.
    bool model_changed = false;  ///< The model is no longer offered as it was.
  };
  QueueEstimate EstimateQueue(const Queue& queue);
  std::optional<Refusal> CheckAdmission(const Queue& queue,
                                        QueueEstimate& estimate,
                                        TimePoint deadline,
                                        std::size_t ahead) const;
  void RecheckAdmission();
  void ReportDemand(Queue& queue);
  void MarkDemandChanged(Queue& queue, bool urgent);
  void FollowPlacement();
  void TickLoop();
  void PruneQueues();

  const RoutingDependencies& deps_;
  EndpointTable& endpoints_;
  std::map<std::string, Queue> queues_;
  std::uint64_t next_id_ = 0;
  std::size_t waiting_ = 0;
  std::optional<Refusal> waiting_refusal_;
  bool assigning_ = false;
};

/// Code of the refusal of a request whose model changed while it waited; it may
/// be queued again for the new version.
inline constexpr std::string_view kModelChanged = "model_changed";

/// The name of a target's queue, such as "model:M@1".
std::string QueueName(const QueueTarget& target);

}  // namespace tanagerloom

#endif  // ROUTING_REQUEST_SCHEDULER_H_
