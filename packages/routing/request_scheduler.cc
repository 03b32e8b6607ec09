#include "routing/request_scheduler.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/id.h"
#include "config/estate_source.h"
#include "config/settings.h"
#include "decision/admission_estimate.h"
#include "placement/placement_view.h"
#include "ports/peer_network.h"

namespace tanagerloom {

namespace {

// Interval of the periodic work, and the number of intervals between its rarer
// parts.
constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr int kTicksBetweenAdmissionChecks = 10;
constexpr int kTicksBetweenPrunes = 500;

// Weight of the latest service time in the moving average.
constexpr double kMeanWeight = 0.1;

// How long a queue without requests is kept for its mean service time.
constexpr Duration kIdleQueueLifetime = std::chrono::minutes(10);

// How long a replica that its engine has not loaded is excluded. In this time
// placement removes the replica or loads it again.
constexpr Duration kMissingReplicaExclusion = std::chrono::seconds(1);

// Reservations are renewed before their announcements expire at the peers.
constexpr int kTicksBetweenRenewals = 50;

// Min time between a reservation and its use, in which the peers receive its
// notice and their counts of requests in flight at the endpoint arrive.
constexpr Duration kReservationDelay = std::chrono::milliseconds(200);

// Suspected requests of a queue reserve at most one in this many endpoints at a
// time, so that the others continue to serve.
constexpr std::size_t kEndpointsPerReservation = 4;

}  // namespace

std::string QueueName(const QueueTarget& target) {
  if (const auto* model = std::get_if<ModelTarget>(&target)) {
    return "model:" + model->key.ToString();
  }
  return "service:" + std::get<ServiceTarget>(target).service;
}

EndpointSlot::EndpointSlot(RequestScheduler& scheduler,
                           std::string queue,
                           std::string endpoint,
                           Address address,
                           std::string request,
                           bool exclusive)
    : scheduler_(scheduler),
      queue_(std::move(queue)),
      endpoint_(std::move(endpoint)),
      address_(std::move(address)),
      request_(std::move(request)),
      exclusive_(exclusive) {}

EndpointSlot::~EndpointSlot() {
  scheduler_.Release(*this);
}

RequestScheduler::RequestScheduler(const RoutingDependencies& deps,
                                   EndpointTable& endpoints)
    : deps_(deps), endpoints_(endpoints) {}

void RequestScheduler::Start() {
  boost::fibers::fiber([this] { FollowPlacement(); }).detach();
  boost::fibers::fiber([this] { TickLoop(); }).detach();
}

RequestScheduler::Queue& RequestScheduler::QueueOf(const QueueTarget& target) {
  auto& queue = queues_[QueueName(target)];
  // A newer configuration may have changed the limit and the cell.
  queue.target = target;
  queue.used_at = deps_.clock.Now();
  return queue;
}

std::uint32_t RequestScheduler::LimitOf(const Queue& queue) const {
  if (const auto* service = std::get_if<ServiceTarget>(&queue.target)) {
    return service->max_in_flight;
  }
  return deps_.settings.max_in_flight;
}

std::vector<RequestScheduler::Endpoint> RequestScheduler::EndpointsOf(
    const Queue& queue) {
  std::vector<Endpoint> out;
  if (const auto* model = std::get_if<ModelTarget>(&queue.target)) {
    for (auto& it : deps_.placement.Replicas(model->key)) {
      out.push_back({std::move(it.engine),
                     std::move(it.address),
                     std::move(it.data_centre),
                     {}});
    }
  } else {
    const auto& service = std::get<ServiceTarget>(queue.target);
    for (const auto& it : endpoints_.ServicesOf(service.pool)) {
      out.push_back({it.id, it.address, it.data_centre, {}});
    }
  }
  const bool is_service = std::holds_alternative<ServiceTarget>(queue.target);
  for (auto& it : out) {
    const auto own_requests = queue.in_flight.find(it.name);
    it.candidate = endpoints_.MakeCandidate(
        it.name, it.data_centre,
        own_requests == queue.in_flight.end() ? 0 : own_requests->second,
        LimitOf(queue));
    if (const auto excluded = queue.excluded_until.find(it.name);
        excluded != queue.excluded_until.end() &&
        deps_.clock.Now() < excluded->second) {
      it.candidate.usable = false;
    }
    if (is_service) {
      // The limit of a service applies to all nodes together.
      it.candidate.max_own_in_flight -= std::min(it.candidate.max_own_in_flight,
                                                 it.candidate.peers_in_flight);
    }
  }
  return out;
}

void RequestScheduler::WaitForSlot(QueueEntry& entry) {
  auto& queue = QueueOf(entry.target);
  const auto name = QueueName(entry.target);
  if (waiting_ >= deps_.settings.max_waiting_requests) {
    entry.refusal = Refusal{503, "queue_full",
                            "this node has " + std::to_string(waiting_) +
                                " waiting requests, its limit",
                            Verdict::kNotRun, std::chrono::seconds(1)};
    return;
  }
  const auto id = ++next_id_;
  const FairEntry fair_entry{id, entry.rank, entry.deferred,
                             entry.operator_name, entry.deadline};
  const auto ahead = queue.fair_queue.CountAhead(fair_entry);
  queue.entries[id] = &entry;
  queue.fair_queue.Push(fair_entry);
  ++waiting_;
  AssignWaiting(name, queue);
  if (entry.slot == nullptr) {
    MarkDemandChanged(queue, /*urgent=*/queue.entries.size() == 1);
    auto estimate = EstimateQueue(queue);
    entry.refusal = waiting_refusal_ ? waiting_refusal_
                                     : CheckAdmission(queue, estimate,
                                                      entry.deadline, ahead);
  }
  while (entry.slot == nullptr && !entry.refusal && !entry.cancelled) {
    const auto seen = entry.changed.count();
    if (!entry.changed.WaitUntil(seen, entry.deadline) &&
        entry.slot == nullptr) {
      entry.refusal =
          Refusal{504, "deadline_exceeded",
                  "no endpoint was free for " + name + " before the deadline",
                  Verdict::kNotRun, std::chrono::seconds(1)};
    }
  }
  if (entry.slot == nullptr) {
    queue.fair_queue.Remove(id);
    queue.entries.erase(id);
    --waiting_;
    CancelReservations(entry.request);
    MarkDemandChanged(queue, /*urgent=*/false);
  }
}

void RequestScheduler::Cancel(QueueEntry& entry) {
  entry.cancelled = true;
  entry.changed.Signal();
}

void RequestScheduler::AssignWaiting(const std::string& name, Queue& queue) {
  if (queue.entries.empty()) {
    return;
  }
  auto endpoints = EndpointsOf(queue);
  const auto has_room = [](const Endpoint& it) {
    return HasRoom(it.candidate);
  };
  while (std::any_of(endpoints.begin(), endpoints.end(), has_room)) {
    std::size_t chosen = 0;
    const auto id = queue.fair_queue.Take([&](std::uint64_t candidate) {
      const auto choice = Choose(*queue.entries[candidate], endpoints);
      chosen = choice.value_or(0);
      return choice.has_value();
    });
    if (!id) {
      return;
    }
    auto& entry = *queue.entries[*id];
    queue.entries.erase(*id);
    --waiting_;
    Assign(name, queue, entry, endpoints[chosen]);
  }
}

std::optional<std::size_t> RequestScheduler::Choose(
    const QueueEntry& entry,
    std::vector<Endpoint>& endpoints) {
  if (entry.exclusive) {
    return ChooseExclusive(entry, endpoints);
  }
  // If the request failed at every endpoint, a retry at one of them is better
  // than waiting.
  const bool avoid_failed =
      std::any_of(endpoints.begin(), endpoints.end(), [&](const Endpoint& it) {
        return !entry.failed_endpoints.contains(it.name);
      });
  std::vector<EndpointCandidate> candidates;
  candidates.reserve(endpoints.size());
  for (const auto& it : endpoints) {
    auto candidate = it.candidate;
    const auto& state = endpoints_.Get(it.name);
    candidate.usable =
        candidate.usable && state.reserved_by.empty() &&
        !(avoid_failed && entry.failed_endpoints.contains(it.name));
    if (entry.prefix != nullptr && !state.cached_prefixes.empty()) {
      for (const auto block : *entry.prefix) {
        if (!state.cached_prefixes.contains(block)) {
          break;
        }
        ++candidate.prefix_blocks;
      }
    }
    candidates.push_back(candidate);
  }
  return ChooseEndpoint(candidates, [](std::size_t n) {
    return static_cast<std::size_t>(RandomU64() % n);
  });
}

// A suspected request reserves the least loaded endpoint, which then gets no
// other work, and runs once no request is in flight there.
std::optional<std::size_t> RequestScheduler::ChooseExclusive(
    const QueueEntry& entry,
    std::vector<Endpoint>& endpoints) {
  std::optional<std::size_t> best;
  std::size_t reserved = 0;
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    const auto& state = endpoints_.Get(endpoints[i].name);
    reserved += state.reserved_by.empty() ? 0 : 1;
    if (state.reserved_by == entry.request) {
      best = i;
      break;
    }
    if (!endpoints[i].candidate.usable || !state.reserved_by.empty()) {
      continue;
    }
    if (!best || EndpointLoad(endpoints[i].candidate) <
                     EndpointLoad(endpoints[*best].candidate)) {
      best = i;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  auto& state = endpoints_.Get(endpoints[*best].name);
  if (state.reserved_by.empty()) {
    if (reserved >=
        std::max<std::size_t>(1, endpoints.size() / kEndpointsPerReservation)) {
      return std::nullopt;
    }
    endpoints_.Reserve(endpoints[*best].name, entry.request);
  }
  const auto& candidate = endpoints[*best].candidate;
  const bool idle = state.own_in_flight == 0 &&
                    candidate.peers_in_flight == 0 &&
                    deps_.clock.Now() - state.reserved_at >= kReservationDelay;
  return idle && candidate.usable ? best : std::nullopt;
}

void RequestScheduler::Assign(const std::string& name,
                              Queue& queue,
                              QueueEntry& entry,
                              Endpoint& endpoint) {
  endpoints_.OnSend(endpoint.name);
  auto& state = endpoints_.Get(endpoint.name);
  state.address = endpoint.address;
  state.is_engine = std::holds_alternative<ModelTarget>(queue.target);
  ++queue.in_flight[endpoint.name];
  ++queue.running;
  // Only the chosen endpoint has changed, so the other candidates stay valid.
  ++endpoint.candidate.own_in_flight;
  endpoint.candidate.usable =
      endpoint.candidate.usable &&
      endpoints_.IsUsable(endpoints_.Get(endpoint.name));
  entry.slot = std::make_unique<EndpointSlot>(*this, name, endpoint.name,
                                              endpoint.address, entry.request,
                                              entry.exclusive);
  MarkDemandChanged(queue, /*urgent=*/false);
  entry.changed.Signal();
}

void RequestScheduler::Release(const EndpointSlot& slot) {
  endpoints_.OnDone(slot.endpoint());
  auto& state = endpoints_.Get(slot.endpoint());
  const bool was_reserved = endpoints_.EndReservations(slot.request());
  const auto it = queues_.find(slot.queue());
  auto& queue = it->second;
  --queue.running;
  if (--queue.in_flight[slot.endpoint()] == 0) {
    queue.in_flight.erase(slot.endpoint());
  }
  MarkDemandChanged(queue, /*urgent=*/false);
  if (was_reserved || !state.reserved_by.empty()) {
    // The reservation kept requests of other queues from the endpoint, or a
    // suspected request waits for it.
    AssignAllWaiting();
  } else {
    AssignWaiting(it->first, queue);
  }
}

void RequestScheduler::CancelReservations(const std::string& request) {
  if (endpoints_.EndReservations(request)) {
    AssignAllWaiting();
  }
}

void RequestScheduler::RecordServiceTime(const QueueTarget& target,
                                         Duration time) {
  auto& queue = QueueOf(target);
  const double seconds = std::chrono::duration<double>(time).count();
  queue.mean_service_s =
      queue.mean_service_s == 0
          ? seconds
          : queue.mean_service_s * (1 - kMeanWeight) + seconds * kMeanWeight;
}

RequestScheduler::QueueEstimate RequestScheduler::EstimateQueue(
    const Queue& queue) {
  QueueEstimate estimate;
  auto& input = estimate.input;
  input.service_time = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(queue.mean_service_s));
  if (const auto* model = std::get_if<ModelTarget>(&queue.target)) {
    input.slots = static_cast<std::uint32_t>(
                      deps_.placement.Replicas(model->key).size()) *
                  LimitOf(queue);
    if (input.slots == 0) {
      const auto forecast = deps_.placement.EstimateReplicaLoad(model->key);
      input.load_failing = forecast.failing;
      input.ready_in = forecast.ready_in;
      estimate.cause = forecast.cause;
      estimate.model_changed =
          deps_.estate.Current()->ReplicaLimit(model->key) == 0;
    }
  } else {
    for (const auto& it : EndpointsOf(queue)) {
      input.slots += it.candidate.usable ? it.candidate.max_own_in_flight : 0;
    }
  }
  return estimate;
}

std::optional<Refusal> RequestScheduler::CheckAdmission(
    const Queue& queue,
    QueueEstimate& estimate,
    TimePoint deadline,
    std::size_t ahead) const {
  if (estimate.model_changed) {
    return Refusal{503, std::string(kModelChanged),
                   QueueName(queue.target) + " is no longer offered",
                   Verdict::kNotRun, std::chrono::seconds(1)};
  }
  estimate.input.ahead = ahead;
  estimate.input.remaining = deadline - deps_.clock.Now();
  const auto refusal = ReviewAdmission(estimate.input);
  if (!refusal) {
    return std::nullopt;
  }
  std::string message = QueueName(queue.target) +
                        " cannot be served before the deadline by the current "
                        "estimate";
  if (!estimate.cause.empty()) {
    message =
        "loads of " + QueueName(queue.target) + " fail: " + estimate.cause;
  }
  return Refusal{503, refusal->code, message, Verdict::kNotRun,
                 refusal->retry_after};
}

// Only the wait for a load is checked again: fewer requests are ahead than when
// the request was admitted.
void RequestScheduler::RecheckAdmission() {
  for (auto& [name, queue] : queues_) {
    if (queue.entries.empty()) {
      continue;
    }
    auto estimate = EstimateQueue(queue);
    for (auto& [id, entry] : queue.entries) {
      if (entry->refusal || entry->cancelled) {
        continue;
      }
      auto refusal = entry->check_quarantine ? entry->check_quarantine()
                                             : std::optional<Refusal>();
      if (!refusal) {
        refusal = CheckAdmission(queue, estimate, entry->deadline, 0);
      }
      if (refusal) {
        entry->refusal = std::move(refusal);
        entry->changed.Signal();
      }
    }
  }
}

void RequestScheduler::ExcludeEndpoint(const QueueTarget& target,
                                       const std::string& endpoint) {
  QueueOf(target).excluded_until[endpoint] =
      deps_.clock.Now() + kMissingReplicaExclusion;
}

void RequestScheduler::RefuseWaiting(const Refusal& refusal) {
  waiting_refusal_ = refusal;
  for (auto& [name, queue] : queues_) {
    for (auto& [id, entry] : queue.entries) {
      if (!entry->refusal) {
        entry->refusal = refusal;
        entry->changed.Signal();
      }
    }
  }
}

void RequestScheduler::MarkDemandChanged(Queue& queue, bool urgent) {
  queue.demand_changed = true;
  if (urgent) {
    ReportDemand(queue);
  }
}

void RequestScheduler::ReportDemand(Queue& queue) {
  queue.demand_changed = false;
  if (const auto* model = std::get_if<ModelTarget>(&queue.target)) {
    deps_.placement.SetDemand(
        model->cell, model->key,
        {.waiting = static_cast<std::uint32_t>(queue.entries.size()),
         .running = queue.running,
         .rank = queue.fair_queue.BestRank(),
         .earliest_deadline = queue.fair_queue.EarliestDeadline()});
  }
}

void RequestScheduler::AssignAllWaiting() {
  if (assigning_) {
    return;
  }
  assigning_ = true;
  for (auto& [name, queue] : queues_) {
    AssignWaiting(name, queue);
  }
  assigning_ = false;
}

void RequestScheduler::FollowPlacement() {
  while (true) {
    const auto seen = deps_.placement.changed().count();
    AssignAllWaiting();
    // The timeout only guards against a lost signal; TickLoop() assigns slots
    // as well.
    deps_.placement.changed().WaitUntil(
        seen, deps_.clock.Now() + std::chrono::seconds(1));
  }
}

void RequestScheduler::TickLoop() {
  for (int n = 0;; ++n) {
    deps_.clock.SleepFor(kTickInterval);
    endpoints_.RefreshVms();
    // Backpressure and open circuit breakers end with time, without a signal.
    AssignAllWaiting();
    for (auto& [name, queue] : queues_) {
      if (queue.demand_changed) {
        ReportDemand(queue);
      }
    }
    endpoints_.BroadcastUse();
    if (n % kTicksBetweenRenewals == 0) {
      endpoints_.RenewReservations();
    }
    if (n % kTicksBetweenAdmissionChecks == 0) {
      RecheckAdmission();
    }
    if (n % kTicksBetweenPrunes == 0) {
      endpoints_.Prune();
      PruneQueues();
    }
  }
}

void RequestScheduler::PruneQueues() {
  const auto oldest = deps_.clock.Now() - kIdleQueueLifetime;
  std::erase_if(queues_, [&](const auto& it) {
    return it.second.entries.empty() && it.second.running == 0 &&
           !it.second.demand_changed && it.second.used_at < oldest;
  });
}

nlohmann::json RequestScheduler::Status() const {
  auto queues = nlohmann::json::object();
  for (const auto& [name, queue] : queues_) {
    queues[name] = {{"waiting", queue.entries.size()},
                    {"running", queue.running},
                    {"mean_service_s", queue.mean_service_s}};
  }
  return {{"waiting", waiting_}, {"queues", queues}};
}

}  // namespace tanagerloom
