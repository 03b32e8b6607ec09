#include "forwarding/quota_gate.h"

#include <algorithm>

#include "base/event_log.h"
#include "base/events.h"
#include "base/id.h"
#include "fleet/customer.h"
#include "ports/peer_network.h"
#include "registry/fleet_registry.h"

namespace tanagerloom {

namespace {

using std::chrono::milliseconds;

// Max time for which a request waits for a grant.
constexpr milliseconds kMaxGrantWait{150};
// Interval at which a node without limited customers looks for a configuration
// that has some.
constexpr milliseconds kInactiveInterval{400};
// Delay after which a client may retry that no coordinator admitted: a new
// coordinator gets its votes in about this time.
constexpr milliseconds kRetryWithoutAnswer{600};
// How long a node that left reports unanswered is not chosen as coordinator.
constexpr std::chrono::seconds kAvoidTime{5};
// Min delay of a refused client.
constexpr milliseconds kMinRetryAfter{100};
// A customer has room again if none of its requests was refused for this time.
constexpr milliseconds kExhaustedTime{3000};

// Returns "NODE" of "NODE/INCARNATION".
std::string NodeIdOf(const std::string& node_incarnation) {
  return node_incarnation.substr(0, node_incarnation.find('/'));
}

// Returns a delay of at least `delay`, at random up to twice as long, so that
// clients that were refused together do not return together.
milliseconds Spread(Duration delay) {
  return std::chrono::ceil<milliseconds>(
      std::max<Duration>(delay, kMinRetryAfter) * (1 + RandomUnit()));
}

}  // namespace

std::string_view ToString(QuotaRefusal refusal) {
  switch (refusal) {
    case QuotaRefusal::kOverQuota:
      return "over_quota";
    case QuotaRefusal::kNoAnswer:
      return "quota_unknown";
    case QuotaRefusal::kTooLarge:
      return "larger_than_quota";
  }
  return "";
}

QuotaGate::QuotaGate(PeerNetwork& peers,
                     const FleetRegistry& registry,
                     Clock& clock,
                     EventLog& log,
                     QuotaReserve reserve)
    : peers_(peers),
      registry_(registry),
      clock_(clock),
      log_(log),
      reserve_(reserve),
      share_(std::make_shared<QuotaShare>(clock.SuspendAwareNow())),
      // Random numbers of two processes are far apart; the sign bit is left for
      // the numbers that follow.
      pool_(peers.node_id(), reserve.window, RandomU64() >> 1) {}

void QuotaGate::Refresh() {
  const auto config = registry_.config();
  if (config == config_) {
    return;
  }
  config_ = config;
  auto limits = QuotaTableOf(config->config, reserve_);
  if (limits != limits_) {
    limits_ = std::move(limits);
    share_->SetLimits(limits_);
    pool_.SetLimits(limits_);
    wake_.Signal();
  }
}

double QuotaGate::VoteShare() const {
  return pool_.VoteShare(clock_.SuspendAwareNow());
}

// ---- admission

QuotaDecision QuotaGate::Admit(const Customer& customer, double cost) {
  Refresh();
  const auto id = QuotaCustomerId(customer.name);
  if (!share_->IsLimited(id)) {
    return QuotaCharge();
  }
  share_->OnRequest(id, cost);
  if (!share_->TryCharge(id, cost, clock_.SuspendAwareNow()) &&
      !(share_->FitsLimit(id, cost) && AwaitGrant(id, cost))) {
    return Refuse(customer, cost);
  }
  counts_.charged += cost;
  RecordState(customer, /*exhausted=*/false);
  return QuotaCharge(share_, id, cost);
}

bool QuotaGate::AwaitGrant(std::uint64_t id, double cost) {
  const auto until = clock_.Now() + kMaxGrantWait;
  if (!share_->MayWaitForGrant(id, clock_.SuspendAwareNow())) {
    return false;
  }
  share_->BeginWait(id, cost);
  wake_.Signal();
  bool charged = false;
  const auto may_wait = [&] {
    // After a part of the units, the rest may come in time.
    const auto now = clock_.SuspendAwareNow();
    return share_->MayWaitForGrant(id, now) ||
           share_->RoomAt(id) - now <= until - clock_.Now();
  };
  while (!charged && !stopping_ && clock_.Now() < until && may_wait()) {
    const auto seen = answered_.count();
    answered_.WaitUntil(seen, until);
    charged = share_->TryCharge(id, cost, clock_.SuspendAwareNow());
  }
  share_->EndWait(id, cost);
  return charged;
}

QuotaRefused QuotaGate::Refuse(const Customer& customer, double cost) {
  const auto id = QuotaCustomerId(customer.name);
  const auto now = clock_.SuspendAwareNow();
  if (!share_->FitsLimit(id, cost)) {
    ++counts_.too_large;
    return {QuotaRefusal::kTooLarge, Spread(reserve_.window)};
  }
  const auto room_at = share_->RoomAt(id);
  if (room_at <= now) {
    ++counts_.no_answer;
    return {QuotaRefusal::kNoAnswer, Spread(kRetryWithoutAnswer)};
  }
  ++counts_.over_quota;
  RecordState(customer, /*exhausted=*/true);
  return {QuotaRefusal::kOverQuota, Spread(room_at - now)};
}

void QuotaGate::RecordState(const Customer& customer, bool exhausted) {
  const auto now = clock_.Now();
  const auto it = exhausted_.find(customer.name);
  if (!exhausted) {
    if (it != exhausted_.end() && now - it->second >= kExhaustedTime) {
      exhausted_.erase(it);
      log_.Record(events::kQuotaAvailable, {{"customer", customer.name}});
    }
    return;
  }
  if (it == exhausted_.end()) {
    log_.Record(
        events::kQuotaExhausted,
        {{"customer", customer.name}, {"coordinator", share_->coordinator()}});
  }
  exhausted_[customer.name] = now;
}

// ---- exchange with the coordinator

void QuotaGate::Run() {
  while (!stopping_) {
    const auto seen = wake_.count();
    Refresh();
    if (!IsActive()) {
      wake_.WaitUntil(seen, clock_.Now() + kInactiveInterval);
      continue;
    }
    const auto now = clock_.SuspendAwareNow();
    const auto due = share_->last_report_at() + share_->ReportInterval();
    if (now >= due) {
      Report();
    } else {
      wake_.WaitUntil(seen, clock_.Now() + (due - now));
    }
  }
}

void QuotaGate::Stop() {
  stopping_ = true;
  wake_.Signal();
  answered_.Signal();
}

void QuotaGate::ChooseCoordinator(TimePoint now) {
  const auto n = peers_.Members().size();
  share_->SetNodeCount(n);
  pool_.SetNodeCount(n, now);
  if (share_->IsUnanswered(now)) {
    avoided_until_[share_->coordinator()] = now + kAvoidTime;
  }
  std::erase_if(avoided_until_,
                [now](const auto& it) { return it.second <= now; });
  std::string best;
  std::uint64_t best_hash = 0;
  for (auto& it : peers_.LiveIds()) {
    if (avoided_until_.contains(it)) {
      continue;
    }
    const auto hash = StableHash("quota/" + it);
    if (best.empty() || hash > best_hash) {
      best_hash = hash;
      best = std::move(it);
    }
  }
  const auto previous = share_->coordinator();
  share_->PreferCoordinator(best.empty() ? peers_.node_id() : best, now);
  if (share_->coordinator() != previous) {
    log_.Record(
        events::kQuotaCoordinatorChanged,
        {{"coordinator", share_->coordinator()}, {"previous", previous}});
  }
}

void QuotaGate::Report() {
  // An answer of this node itself may ask for a second report.
  bool again = true;
  for (int i = 0; i < 2 && again; ++i) {
    again = false;
    const auto now = clock_.SuspendAwareNow();
    ChooseCoordinator(now);
    const auto report = share_->MakeReport(now);
    if (!report) {
      return;
    }
    if (share_->coordinator() != peers_.node_id()) {
      peers_.Send(share_->coordinator(), *report);
      return;
    }
    const auto grant = pool_.OnReport(peers_.node_id(), peers_.self(), *report,
                                      clock_.SuspendAwareNow());
    again = grant && Take(peers_.self(), *grant);
    SendPoll();
  }
}

void QuotaGate::SendPoll() {
  if (const auto poll = pool_.TakePoll(clock_.SuspendAwareNow())) {
    peers_.Send(poll->node, poll->grant);
  }
}

void QuotaGate::OnReport(const std::string& from, const QuotaReport& report) {
  Refresh();
  if (!IsActive()) {
    return;
  }
  const auto node = NodeIdOf(from);
  const auto grant =
      pool_.OnReport(node, from, report, clock_.SuspendAwareNow());
  if (grant) {
    peers_.Send(node, *grant);
  }
  if (share_->HasWaiting() && share_->coordinator() == peers_.node_id()) {
    wake_.Signal();
  }
}

bool QuotaGate::Take(const std::string& from, const QuotaGrant& grant) {
  for (const auto& it : grant.allowances) {
    counts_.granted += it.granted;
  }
  share_->OnGrant(NodeIdOf(from), from, grant, clock_.SuspendAwareNow());
  answered_.Signal();
  return grant.reply_at_once;
}

void QuotaGate::OnGrant(const std::string& from, const QuotaGrant& grant) {
  Refresh();
  if (IsActive() && Take(from, grant)) {
    Report();
  }
}

}  // namespace tanagerloom
