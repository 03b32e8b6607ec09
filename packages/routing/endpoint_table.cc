#include "routing/endpoint_table.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/event_log.h"
#include "base/events.h"
#include "config/settings.h"
#include "ports/peer_network.h"

namespace tanagerloom {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A load report or a peer's count that is older than this is ignored.
constexpr Duration kMaxReportAge = seconds(2);
constexpr Duration kMaxPeerUseAge = seconds(3);

// How long a leaving notice is valid. The VM list lags, and shows the endpoint
// as leaving before the notice expires.
constexpr Duration kLeavingNoticeLifetime = seconds(60);

// Endpoints that were not used or mentioned for this time are removed.
constexpr Duration kUnusedLifetime = seconds(600);

// Max backpressure that is honoured, so that a wrong Retry-After cannot take an
// endpoint out of service for hours.
constexpr Duration kMaxBackpressure = seconds(60);

// How long an announced reservation is valid unless it is renewed, so that a
// node that fails does not block the endpoint for long.
constexpr Duration kReservationDuration = seconds(2);

// Interval of use messages per member: 100 ms for 8 nodes. The number of
// messages grows with the square of the members, so the interval grows with
// their number. Above kMaxSharingMembers no use is sent, since the counts would
// be outdated and would exceed a node's budget of control traffic; load reports
// are used instead.
constexpr Duration kShareIntervalPerMember = std::chrono::microseconds(12500);
constexpr std::int64_t kMaxSharingMembers = 64;

// Interval of reading the VM list. Copying it takes about 0.2 us per VM; the
// interval per VM keeps this below half a percent of a core.
constexpr Duration kMinRefreshInterval = milliseconds(50);
constexpr Duration kRefreshIntervalPerVm = std::chrono::microseconds(50);

// Max number of endpoints in one use message, which bounds it to about 3 KB.
constexpr std::size_t kMaxSharedEndpoints = 64;

// Converts to milliseconds, rounded up, since zero means the end of a
// condition.
std::uint64_t Milliseconds(Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::ceil<milliseconds>(duration).count());
}

}  // namespace

EndpointTable::EndpointTable(const RoutingDependencies& deps) : deps_(deps) {}

EndpointState& EndpointTable::Get(const std::string& endpoint) {
  return states_[endpoint];
}

std::uint32_t EndpointTable::PeerUseOf(const EndpointState& state) const {
  const auto oldest = deps_.clock.Now() - kMaxPeerUseAge;
  std::uint32_t sum = 0;
  for (const auto& [node, use] : state.peer_use) {
    sum += use.received_at >= oldest ? use.in_flight : 0;
  }
  return sum;
}

bool EndpointTable::IsUsable(const EndpointState& state) const {
  const auto now = deps_.clock.Now();
  return now >= state.backpressure_until && now >= state.leaving_until &&
         now >= state.exclusive_until && state.breaker.AllowsRequest(now);
}

EndpointCandidate EndpointTable::MakeCandidate(const std::string& endpoint,
                                               const std::string& data_centre,
                                               std::uint32_t own,
                                               std::uint32_t limit) {
  const auto& state = Get(endpoint);
  const bool fresh = deps_.clock.Now() - state.reported_at < kMaxReportAge;
  return {.own_in_flight = own,
          .peers_in_flight =
              PeerUseOf(state) +
              (state.own_in_flight - std::min(own, state.own_in_flight)),
          .reported_in_flight = fresh ? state.reported_load : 0,
          .max_own_in_flight = limit,
          .prefix_blocks = 0,
          .same_data_centre = data_centre == deps_.settings.data_centre,
          .usable = IsUsable(state) && !leaving_.contains(endpoint)};
}

void EndpointTable::OnSend(const std::string& endpoint) {
  auto& state = Get(endpoint);
  ++state.own_in_flight;
  state.used_at = deps_.clock.Now();
  if (state.breaker.OnSend(state.used_at)) {
    Announce(endpoint, EndpointCondition::kProbing,
             EndpointBreaker::kProbeTimeout);
  }
}

void EndpointTable::OnDone(const std::string& endpoint) {
  auto& state = Get(endpoint);
  --state.own_in_flight;
  state.used_at = deps_.clock.Now();
}

void EndpointTable::OnSuccess(const std::string& endpoint) {
  if (Get(endpoint).breaker.OnSuccess()) {
    deps_.log.Record(events::kEndpointRecovered, {{"endpoint", endpoint}});
    Announce(endpoint, EndpointCondition::kRecovered, seconds(1));
  }
}

void EndpointTable::OnFailure(const std::string& endpoint) {
  auto& state = Get(endpoint);
  const auto pause = state.breaker.cooldown();
  if (state.breaker.OnFailure(deps_.clock.Now())) {
    deps_.log.Record(events::kEndpointHeldBack, {{"endpoint", endpoint},
                                                 {"cause", "failing"},
                                                 {"ms", Milliseconds(pause)}});
    Announce(endpoint, EndpointCondition::kFailing, pause);
  }
}

void EndpointTable::OnBackpressure(const std::string& endpoint,
                                   Duration pause) {
  pause = std::min(pause, kMaxBackpressure);
  auto& state = Get(endpoint);
  const auto until = deps_.clock.Now() + pause;
  if (until <= state.backpressure_until) {
    return;
  }
  state.backpressure_until = until;
  deps_.log.Record(events::kEndpointHeldBack, {{"endpoint", endpoint},
                                               {"cause", "overloaded"},
                                               {"ms", Milliseconds(pause)}});
  Announce(endpoint, EndpointCondition::kOverloaded, pause);
}

void EndpointTable::OnLeaving(const std::string& endpoint) {
  auto& state = Get(endpoint);
  const auto now = deps_.clock.Now();
  const bool known = state.leaving_until > now || leaving_.contains(endpoint);
  state.leaving_until = now + kLeavingNoticeLifetime;
  if (!known) {
    deps_.log.Record(events::kEndpointHeldBack,
                     {{"endpoint", endpoint},
                      {"cause", "leaving"},
                      {"ms", Milliseconds(kLeavingNoticeLifetime)}});
    deps_.peers.ReportLeaving(endpoint);
  }
}

void EndpointTable::Reserve(const std::string& endpoint,
                            const std::string& request) {
  auto& state = Get(endpoint);
  state.reserved_by = request;
  state.reserved_at = deps_.clock.Now();
  Announce(endpoint, EndpointCondition::kOverloaded, kReservationDuration);
}

bool EndpointTable::EndReservations(const std::string& request) {
  bool ended = false;
  for (auto& [endpoint, state] : states_) {
    if (state.reserved_by == request) {
      state.reserved_by.clear();
      Announce(endpoint, EndpointCondition::kOverloaded, Duration::zero());
      ended = true;
    }
  }
  return ended;
}

void EndpointTable::RenewReservations() {
  for (const auto& [endpoint, state] : states_) {
    if (!state.reserved_by.empty()) {
      Announce(endpoint, EndpointCondition::kOverloaded, kReservationDuration);
    }
  }
}

void EndpointTable::Announce(const std::string& endpoint,
                             EndpointCondition condition,
                             Duration valid) {
  deps_.peers.Broadcast(
      EndpointNotice{endpoint, condition, Milliseconds(valid)});
}

// Two nodes that reserve the same endpoint at the same time would block each
// other for ever. The node with the lower id keeps its reservation, and so does
// a node whose requests are in flight at the endpoint.
bool EndpointTable::KeepsReservation(EndpointState& state,
                                     const std::string& other) const {
  if (state.reserved_by.empty()) {
    return false;
  }
  if (state.own_in_flight > 0 || deps_.peers.self() < other) {
    return true;
  }
  state.reserved_by.clear();
  return false;
}

bool EndpointTable::OnPeerMessage(const std::string& from,
                                  const PeerMessage& message) {
  const auto now = deps_.clock.Now();
  if (const auto* use = std::get_if<EndpointUse>(&message)) {
    const auto n = std::min(use->endpoints.size(), use->in_progress.size());
    for (std::size_t i = 0; i < n; ++i) {
      // Counts of endpoints that this node does not use are ignored.
      if (const auto it = states_.find(use->endpoints[i]);
          it != states_.end()) {
        it->second.peer_use[from] = {use->in_progress[i], now};
      }
    }
    return false;
  }
  const auto* notice = std::get_if<EndpointNotice>(&message);
  if (notice == nullptr) {
    return false;
  }
  auto& state = Get(notice->endpoint);
  const Duration valid = milliseconds(notice->valid_ms);
  switch (notice->condition) {
    case EndpointCondition::kLeaving:
      state.leaving_until = std::max(
          state.leaving_until, now + std::max(valid, kLeavingNoticeLifetime));
      return false;
    case EndpointCondition::kOverloaded:
      if (valid > Duration::zero() && KeepsReservation(state, from)) {
        return false;
      }
      // Zero ends a reservation. If the endpoint itself is still overloaded,
      // the next request is refused and sets its backpressure again.
      state.exclusive_until =
          valid == Duration::zero()
              ? now
              : std::max(state.exclusive_until,
                         now + std::min(valid, kMaxBackpressure));
      return valid == Duration::zero();
    case EndpointCondition::kFailing:
      state.breaker.Open(
          now, std::min<Duration>(valid, EndpointBreaker::kMaxCooldown));
      return false;
    case EndpointCondition::kRecovered:
      state.breaker.OnSuccess();
      return true;
    case EndpointCondition::kProbing:
      state.breaker.OnPeerProbe(now, valid);
      return false;
  }
  return false;
}

void EndpointTable::RefreshVms() {
  const auto now = deps_.clock.Now();
  if (now < next_refresh_) {
    return;
  }
  const auto vms = deps_.peers.Vms();
  next_refresh_ = now + std::max(kMinRefreshInterval,
                                 kRefreshIntervalPerVm *
                                     static_cast<std::int64_t>(vms.size()));
  leaving_.clear();
  services_.clear();
  for (const auto& it : vms) {
    if (it.leaving) {
      leaving_.insert(it.id);
    } else if (it.role == VmRole::kService) {
      services_[it.pool].push_back(it);
    }
  }
}

const std::vector<Vm>& EndpointTable::ServicesOf(const std::string& pool) {
  RefreshVms();
  return services_[pool];
}

void EndpointTable::BroadcastUse() {
  const auto now = deps_.clock.Now();
  if (now < next_share_) {
    return;
  }
  const auto members = static_cast<std::int64_t>(deps_.peers.Members().size());
  next_share_ =
      now + kShareIntervalPerMember * std::max<std::int64_t>(members, 1);
  if (members > kMaxSharingMembers) {
    return;
  }
  EndpointUse use;
  for (const auto& [endpoint, state] : states_) {
    auto& last = shared_[endpoint];
    // An unchanged count is sent again before peers ignore it as outdated.
    const bool resend =
        state.own_in_flight > 0 && now - state.used_at > kMaxPeerUseAge / 3;
    if ((last != state.own_in_flight || resend) &&
        use.endpoints.size() < kMaxSharedEndpoints) {
      last = state.own_in_flight;
      use.endpoints.push_back(endpoint);
      use.in_progress.push_back(state.own_in_flight);
    }
  }
  if (!use.endpoints.empty()) {
    deps_.peers.Broadcast(use);
  }
}

void EndpointTable::Prune() {
  const auto oldest = deps_.clock.Now() - kUnusedLifetime;
  std::erase_if(states_, [&](const auto& it) {
    const auto& state = it.second;
    return state.own_in_flight == 0 && state.used_at < oldest &&
           state.leaving_until < oldest && state.backpressure_until < oldest &&
           state.exclusive_until < oldest && state.reserved_by.empty();
  });
  std::erase_if(shared_,
                [&](const auto& it) { return !states_.contains(it.first); });
}

nlohmann::json EndpointTable::Status() const {
  auto out = nlohmann::json::object();
  for (const auto& [endpoint, state] : states_) {
    out[endpoint] = {
        {"in_progress", state.own_in_flight},
        {"peers_in_progress", PeerUseOf(state)},
        {"reported", state.reported_load},
        {"breaker_open", state.breaker.open()},
        {"usable", IsUsable(state) && !leaving_.contains(endpoint)},
        {"leaving", leaving_.contains(endpoint) ||
                        state.leaving_until > deps_.clock.Now()}};
  }
  return out;
}

}  // namespace tanagerloom
