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

constexpr Duration kTick = std::chrono::milliseconds(20);
constexpr int kTicksBetweenReviews = 10;
constexpr int kTicksBetweenPrunes = 500;

// Weight of the newest service time in the mean.
constexpr double kMeanWeight = 0.1;

// A queue without requests is kept this long for its mean service time.
constexpr Duration kQueueLife = std::chrono::minutes(10);

// A replica that the engine does not hold is left out this long; placement
// removes it or loads it again meanwhile.
constexpr Duration kMissingHold = std::chrono::seconds(1);

constexpr int kTicksBetweenRenewals = 50;

// Time between a reservation and its use, in which peers learn of it and their
// counts of requests at the endpoint come in.
constexpr Duration kReservationNotice = std::chrono::milliseconds(200);

// Suspects of one queue reserve at most one in this many endpoints at a time,
// so that the others go on serving.
constexpr std::size_t kEndpointsPerReservation = 4;

}  // namespace

std::string QueueName(const QueueTarget& target) {
  if (const auto* model = std::get_if<ModelTarget>(&target)) {
    return "model:" + model->key.ToString();
  }
  return "service:" + std::get<ServiceTarget>(target).service;
}

EndpointLease::EndpointLease(RequestScheduler& scheduler,
                             std::string queue,
                             std::string endpoint,
                             Address address,
                             std::string request,
                             bool alone)
    : scheduler_(scheduler),
      queue_(std::move(queue)),
      endpoint_(std::move(endpoint)),
      address_(std::move(address)),
      request_(std::move(request)),
      alone_(alone) {}

EndpointLease::~EndpointLease() {
  scheduler_.Release(*this);
}

RequestScheduler::RequestScheduler(const RoutingDependencies& deps,
                                   EndpointTable& endpoints)
    : deps_(deps), endpoints_(endpoints) {}

void RequestScheduler::Start() {
  boost::fibers::fiber([this] { FollowPlacement(); }).detach();
  boost::fibers::fiber([this] { Tick(); }).detach();
}

RequestScheduler::Queue& RequestScheduler::QueueOf(const QueueTarget& target) {
  auto& queue = queues_[QueueName(target)];
  // Limits and cells may differ under a newer configuration.
  queue.target = target;
  queue.used_at = deps_.clock.Now();
  return queue;
}

std::uint32_t RequestScheduler::LimitOf(const Queue& queue) const {
  if (const auto* service = std::get_if<ServiceTarget>(&queue.target)) {
    return service->max_in_progress;
  }
  return deps_.settings.max_in_flight;
}

std::vector<RequestScheduler::Endpoint> RequestScheduler::EndpointsOf(
    const Queue& queue) {
  std::vector<Endpoint> out;
  if (const auto* model = std::get_if<ModelTarget>(&queue.target)) {
    for (auto& it : deps_.placement.Replicas(model->key)) {
      out.push_back({std::move(it.server),
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
    const auto mine = queue.in_progress.find(it.name);
    it.candidate = endpoints_.Candidate(
        it.name, it.data_centre,
        mine == queue.in_progress.end() ? 0 : mine->second, LimitOf(queue));
    if (const auto held = queue.held.find(it.name);
        held != queue.held.end() && deps_.clock.Now() < held->second) {
      it.candidate.usable = false;
    }
    if (is_service) {
      // The limit of a service is for all nodes together.
      it.candidate.limit -= std::min(it.candidate.limit, it.candidate.peers);
    }
  }
  return out;
}

void RequestScheduler::Wait(WaitTicket& ticket) {
  auto& queue = QueueOf(ticket.target);
  const auto name = QueueName(ticket.target);
  if (waiting_ >= deps_.settings.max_waiting_requests) {
    ticket.refusal = Refusal{503, "queue_full",
                             "this node has " + std::to_string(waiting_) +
                                 " waiting requests, its limit",
                             Verdict::kNotRun, std::chrono::seconds(1)};
    return;
  }
  const auto ahead = queue.fair.CountAhead(ticket.rank, ticket.deferred);
  const auto id = ++next_id_;
  queue.tickets[id] = &ticket;
  queue.fair.Push({id, ticket.rank, ticket.deferred, ticket.operator_name,
                   ticket.deadline});
  ++waiting_;
  Pump(name, queue);
  if (ticket.lease == nullptr) {
    MarkDemand(queue, /*urgent=*/queue.tickets.size() == 1);
    auto review = ReviewQueue(queue);
    ticket.refusal = refuse_waiting_
                         ? refuse_waiting_
                         : Review(queue, review, ticket.deadline, ahead);
  }
  while (ticket.lease == nullptr && !ticket.refusal && !ticket.cancelled) {
    const auto seen = ticket.changed.count();
    if (!ticket.changed.WaitUntil(seen, ticket.deadline) &&
        ticket.lease == nullptr) {
      ticket.refusal =
          Refusal{504, "deadline_exceeded",
                  "no endpoint was free for " + name + " before the deadline",
                  Verdict::kNotRun, std::chrono::seconds(1)};
    }
  }
  if (ticket.lease == nullptr) {
    queue.fair.Remove(id);
    queue.tickets.erase(id);
    --waiting_;
    DropReservations(ticket.request);
    MarkDemand(queue, /*urgent=*/false);
  }
}

void RequestScheduler::Cancel(WaitTicket& ticket) {
  ticket.cancelled = true;
  ticket.changed.Signal();
}

void RequestScheduler::Pump(const std::string& name, Queue& queue) {
  if (queue.tickets.empty()) {
    return;
  }
  auto endpoints = EndpointsOf(queue);
  const auto has_room = [](const Endpoint& it) {
    return HasRoom(it.candidate);
  };
  while (std::any_of(endpoints.begin(), endpoints.end(), has_room)) {
    std::size_t chosen = 0;
    const auto id = queue.fair.Take([&](std::uint64_t candidate) {
      const auto choice = Choose(*queue.tickets[candidate], endpoints);
      chosen = choice.value_or(0);
      return choice.has_value();
    });
    if (!id) {
      return;
    }
    auto& ticket = *queue.tickets[*id];
    queue.tickets.erase(*id);
    --waiting_;
    Assign(name, queue, ticket, endpoints[chosen]);
  }
}

std::optional<std::size_t> RequestScheduler::Choose(
    const WaitTicket& ticket,
    std::vector<Endpoint>& endpoints) {
  if (ticket.alone) {
    return ChooseAlone(ticket, endpoints);
  }
  // With every endpoint tried, trying one again is better than waiting.
  const bool avoid = std::any_of(
      endpoints.begin(), endpoints.end(),
      [&](const Endpoint& it) { return !ticket.avoid.contains(it.name); });
  std::vector<EndpointCandidate> candidates;
  candidates.reserve(endpoints.size());
  for (const auto& it : endpoints) {
    auto candidate = it.candidate;
    const auto& state = endpoints_.Get(it.name);
    candidate.usable = candidate.usable && state.reserved_by.empty() &&
                       !(avoid && ticket.avoid.contains(it.name));
    if (ticket.prefix != nullptr && !state.prefixes.empty()) {
      for (const auto block : *ticket.prefix) {
        if (!state.prefixes.contains(block)) {
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

// A suspect reserves the least loaded endpoint, which then gets no other work
// from this node, and runs once nothing is in progress there.
std::optional<std::size_t> RequestScheduler::ChooseAlone(
    const WaitTicket& ticket,
    std::vector<Endpoint>& endpoints) {
  std::optional<std::size_t> best;
  std::size_t reserved = 0;
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    const auto& state = endpoints_.Get(endpoints[i].name);
    reserved += state.reserved_by.empty() ? 0 : 1;
    if (state.reserved_by == ticket.request) {
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
    endpoints_.Reserve(endpoints[*best].name, ticket.request);
  }
  const auto& candidate = endpoints[*best].candidate;
  const bool idle = state.own == 0 && candidate.peers == 0 &&
                    deps_.clock.Now() - state.reserved_at >= kReservationNotice;
  return idle && candidate.usable ? best : std::nullopt;
}

void RequestScheduler::Assign(const std::string& name,
                              Queue& queue,
                              WaitTicket& ticket,
                              Endpoint& endpoint) {
  endpoints_.OnSend(endpoint.name);
  auto& state = endpoints_.Get(endpoint.name);
  state.address = endpoint.address;
  state.is_engine = std::holds_alternative<ModelTarget>(queue.target);
  ++queue.in_progress[endpoint.name];
  ++queue.running;
  // Only this choice changed, so the other candidates stay as they are.
  ++endpoint.candidate.own;
  endpoint.candidate.usable = endpoint.candidate.usable &&
                              endpoints_.Usable(endpoints_.Get(endpoint.name));
  ticket.lease = std::make_unique<EndpointLease>(*this, name, endpoint.name,
                                                 endpoint.address,
                                                 ticket.request, ticket.alone);
  MarkDemand(queue, /*urgent=*/false);
  ticket.changed.Signal();
}

void RequestScheduler::Release(const EndpointLease& lease) {
  endpoints_.OnDone(lease.endpoint());
  auto& state = endpoints_.Get(lease.endpoint());
  const bool was_reserved = endpoints_.EndReservations(lease.request());
  const auto it = queues_.find(lease.queue());
  auto& queue = it->second;
  --queue.running;
  if (--queue.in_progress[lease.endpoint()] == 0) {
    queue.in_progress.erase(lease.endpoint());
  }
  MarkDemand(queue, /*urgent=*/false);
  if (was_reserved || !state.reserved_by.empty()) {
    // Other queues of the endpoint were held back, or a suspect waits there.
    PumpAll();
  } else {
    Pump(it->first, queue);
  }
}

void RequestScheduler::DropReservations(const std::string& request) {
  if (endpoints_.EndReservations(request)) {
    PumpAll();
  }
}

void RequestScheduler::CountServiceTime(const QueueTarget& target,
                                        Duration time) {
  auto& queue = QueueOf(target);
  const double seconds = std::chrono::duration<double>(time).count();
  queue.mean_service_s =
      queue.mean_service_s == 0
          ? seconds
          : queue.mean_service_s * (1 - kMeanWeight) + seconds * kMeanWeight;
}

RequestScheduler::QueueReview RequestScheduler::ReviewQueue(
    const Queue& queue) {
  QueueReview review;
  auto& input = review.input;
  input.service_time = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(queue.mean_service_s));
  if (const auto* model = std::get_if<ModelTarget>(&queue.target)) {
    input.slots = static_cast<std::uint32_t>(
                      deps_.placement.Replicas(model->key).size()) *
                  LimitOf(queue);
    if (input.slots == 0) {
      const auto forecast = deps_.placement.Forecast(model->key);
      input.load_failing = forecast.failing;
      input.ready_in = forecast.ready_in;
      review.cause = forecast.cause;
      review.changed = deps_.estate.Current()->ReplicaLimit(model->key) == 0;
    }
  } else {
    for (const auto& it : EndpointsOf(queue)) {
      input.slots += it.candidate.usable ? it.candidate.limit : 0;
    }
  }
  return review;
}

std::optional<Refusal> RequestScheduler::Review(const Queue& queue,
                                                QueueReview& review,
                                                TimePoint deadline,
                                                std::size_t ahead) const {
  if (review.changed) {
    return Refusal{503, std::string(kModelChanged),
                   QueueName(queue.target) + " is no longer offered",
                   Verdict::kNotRun, std::chrono::seconds(1)};
  }
  review.input.ahead = ahead;
  review.input.remaining = deadline - deps_.clock.Now();
  const auto refusal = ReviewAdmission(review.input);
  if (!refusal) {
    return std::nullopt;
  }
  std::string message = QueueName(queue.target) +
                        " cannot be served before the deadline by the current "
                        "estimate";
  if (!review.cause.empty()) {
    message = "loads of " + QueueName(queue.target) + " fail: " + review.cause;
  }
  return Refusal{503, refusal->code, message, Verdict::kNotRun,
                 refusal->retry_after};
}

// Only the wait for a load is reviewed again: the place in the queue got better
// since the request was admitted.
void RequestScheduler::ReviewAll() {
  for (auto& [name, queue] : queues_) {
    if (queue.tickets.empty()) {
      continue;
    }
    auto review = ReviewQueue(queue);
    for (auto& [id, ticket] : queue.tickets) {
      if (ticket->refusal || ticket->cancelled) {
        continue;
      }
      auto refusal = ticket->quarantined ? ticket->quarantined()
                                         : std::optional<Refusal>();
      if (!refusal) {
        refusal = Review(queue, review, ticket->deadline, 0);
      }
      if (refusal) {
        ticket->refusal = std::move(refusal);
        ticket->changed.Signal();
      }
    }
  }
}

void RequestScheduler::HoldBack(const QueueTarget& target,
                                const std::string& endpoint) {
  QueueOf(target).held[endpoint] = deps_.clock.Now() + kMissingHold;
}

void RequestScheduler::RefuseWaiting(const Refusal& refusal) {
  refuse_waiting_ = refusal;
  for (auto& [name, queue] : queues_) {
    for (auto& [id, ticket] : queue.tickets) {
      if (!ticket->refusal) {
        ticket->refusal = refusal;
        ticket->changed.Signal();
      }
    }
  }
}

void RequestScheduler::MarkDemand(Queue& queue, bool urgent) {
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
        {.waiting = static_cast<std::uint32_t>(queue.tickets.size()),
         .running = queue.running,
         .rank = queue.fair.BestRank(),
         .earliest_deadline = queue.fair.EarliestDeadline()});
  }
}

void RequestScheduler::PumpAll() {
  if (pumping_) {
    return;
  }
  pumping_ = true;
  for (auto& [name, queue] : queues_) {
    Pump(name, queue);
  }
  pumping_ = false;
}

void RequestScheduler::FollowPlacement() {
  while (true) {
    const auto seen = deps_.placement.changed().count();
    PumpAll();
    // The bound only guards against a lost signal; the tick pumps as well.
    deps_.placement.changed().WaitUntil(
        seen, deps_.clock.Now() + std::chrono::seconds(1));
  }
}

void RequestScheduler::Tick() {
  for (int n = 0;; ++n) {
    deps_.clock.SleepFor(kTick);
    endpoints_.RefreshVms();
    // Holds and breakers end with time, without a signal.
    PumpAll();
    for (auto& [name, queue] : queues_) {
      if (queue.demand_changed) {
        ReportDemand(queue);
      }
    }
    endpoints_.ShareUse();
    if (n % kTicksBetweenRenewals == 0) {
      endpoints_.RenewReservations();
    }
    if (n % kTicksBetweenReviews == 0) {
      ReviewAll();
    }
    if (n % kTicksBetweenPrunes == 0) {
      endpoints_.Prune();
      PruneQueues();
    }
  }
}

void RequestScheduler::PruneQueues() {
  const auto oldest = deps_.clock.Now() - kQueueLife;
  std::erase_if(queues_, [&](const auto& it) {
    return it.second.tickets.empty() && it.second.running == 0 &&
           !it.second.demand_changed && it.second.used_at < oldest;
  });
}

nlohmann::json RequestScheduler::Status() const {
  auto queues = nlohmann::json::object();
  for (const auto& [name, queue] : queues_) {
    queues[name] = {{"waiting", queue.tickets.size()},
                    {"running", queue.running},
                    {"mean_service_s", queue.mean_service_s}};
  }
  return {{"waiting", waiting_}, {"queues", queues}};
}

}  // namespace tanagerloom
