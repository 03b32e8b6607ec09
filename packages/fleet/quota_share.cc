#include "fleet/quota_share.h"

#include <algorithm>
#include <cmath>

namespace tanagerloom {

namespace {

using std::chrono::milliseconds;

// Intervals between reports: at rest, while the coordinator grants a large part
// of what this node may hold or this node takes its vote back, and while a
// request waits for a grant.
constexpr milliseconds kRestInterval{400};
constexpr milliseconds kBusyInterval{100};
constexpr milliseconds kUrgentInterval{20};
// Part of the units that a node may hold that is a large grant.
constexpr double kLargeGrant = 0.5;
// Max number of nodes that report at these intervals. With more, each reports
// less often, so that the coordinator's load is constant.
constexpr std::size_t kMaxNodesAtFullRate = 100;
// Validity of a vote in report intervals: two reports may be lost.
constexpr int kVoteIntervals = 3;
// A vote is given to another coordinator this much later than it expires, since
// clocks run at different rates.
constexpr double kClockMargin = 1.005;
// Max time between a report and a grant that answers it.
constexpr milliseconds kMaxGrantAge{1000};
// How long granted units can be used after the last answered report.
constexpr milliseconds kHeldLife{2000};
// Units are held for the demand of this time.
constexpr double kHeldDemandS = 1;
// Time constant of the measured demand.
constexpr double kDemandTimeS = 1;
// A node holds units for the next request of a customer for this time after the
// last one. Otherwise each request of a customer that sends few to a node would
// wait for a grant.
constexpr double kNextRequestTimeS = 5;
// Part of a node's equal share of the capacity that may be held for the next
// request.
constexpr double kHeldPartOfShare = 0.5;
// A report is repeated at the given interval, doubled for each report that was
// not answered: the coordinator may be overloaded.
constexpr std::uint32_t kMaxDoublings = 5;
// Units beyond this multiple of what is needed are returned.
constexpr double kReturnAbove = 1.5;
// Demand below this is none.
constexpr double kMinDemandPerS = 0.01;
constexpr std::size_t kMaxSentReports = 64;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

QuotaShare::Account* QuotaShare::Find(std::uint64_t customer) {
  const auto it = accounts_.find(customer);
  return it == accounts_.end() ? nullptr : &it->second;
}

const QuotaShare::Account* QuotaShare::Find(std::uint64_t customer) const {
  const auto it = accounts_.find(customer);
  return it == accounts_.end() ? nullptr : &it->second;
}

void QuotaShare::SetLimits(const QuotaTable& limits) {
  std::erase_if(accounts_, [&](const auto& it) {
    return limits.find(it.first) == limits.end();
  });
  for (const auto& [id, customer_limits] : limits) {
    auto& account = accounts_[id];
    account.held = std::min(account.held, customer_limits.max_held);
    account.limits = customer_limits;
    account.room_at = TimePoint{};
    account.ask_at = TimePoint{};
  }
}

bool QuotaShare::IsLimited(std::uint64_t customer) const {
  return Find(customer) != nullptr;
}

bool QuotaShare::FitsLimit(std::uint64_t customer, double cost) const {
  const auto* account = Find(customer);
  return account == nullptr || cost <= account->limits.capacity;
}

void QuotaShare::OnRequest(std::uint64_t customer, double cost) {
  if (auto* account = Find(customer)) {
    account->asked += cost;
    account->last_cost = cost;
  }
}

void QuotaShare::ExpireHeld(Account& account, TimePoint now) const {
  if (now >= held_until_) {
    account.held = 0;
  }
}

bool QuotaShare::TryCharge(std::uint64_t customer, double cost, TimePoint now) {
  auto* account = Find(customer);
  if (account == nullptr) {
    return false;
  }
  ExpireHeld(*account, now);
  if (account->held < cost) {
    return false;
  }
  account->held -= cost;
  account->pending += cost;
  return true;
}

void QuotaShare::OnSent(std::uint64_t customer, double cost) {
  if (auto* account = Find(customer)) {
    account->pending = std::max(0.0, account->pending - cost);
  }
}

void QuotaShare::OnNotRun(std::uint64_t customer, double cost) {
  if (auto* account = Find(customer)) {
    account->pending += cost;
  }
}

void QuotaShare::GiveBack(std::uint64_t customer, double cost) {
  if (auto* account = Find(customer)) {
    const double given = std::min(account->pending, cost);
    account->pending -= given;
    account->held += given;
  }
}

void QuotaShare::BeginWait(std::uint64_t customer, double cost) {
  ++n_waiting_;
  if (auto* account = Find(customer)) {
    account->waiting += cost;
  }
}

void QuotaShare::EndWait(std::uint64_t customer, double cost) {
  --n_waiting_;
  if (auto* account = Find(customer)) {
    account->waiting = std::max(0.0, account->waiting - cost);
  }
}

bool QuotaShare::MayWaitForGrant(std::uint64_t customer, TimePoint now) const {
  const auto* account = Find(customer);
  return account != nullptr && now >= account->ask_at;
}

TimePoint QuotaShare::RoomAt(std::uint64_t customer) const {
  const auto* account = Find(customer);
  return account == nullptr ? TimePoint{} : account->room_at;
}

milliseconds QuotaShare::RestInterval() const {
  return kRestInterval * std::max(node_count_, kMaxNodesAtFullRate) /
         kMaxNodesAtFullRate;
}

milliseconds QuotaShare::VoteTime() const {
  return RestInterval() * kVoteIntervals;
}

Duration QuotaShare::ReportInterval() const {
  auto interval = RestInterval();
  if (n_waiting_ > 0) {
    interval = kUrgentInterval;
  } else if (got_large_grant_ || preferred_ != coordinator_) {
    interval = kBusyInterval;
  }
  return std::min(interval * (1 << std::min(n_unanswered_, kMaxDoublings)),
                  RestInterval());
}

bool QuotaShare::IsUnanswered(TimePoint now) const {
  return n_unanswered_ > 1 && now - unanswered_since_ >= kMaxSilence;
}

void QuotaShare::PreferCoordinator(const std::string& node, TimePoint now) {
  preferred_ = node;
  if (node == coordinator_) {
    return;
  }
  if (now >= promised_until_) {
    coordinator_ = node;
    coordinator_incarnation_.clear();
    last_grant_ = 0;
    sent_.clear();
    withdrawal_.reset();
    n_unanswered_ = 0;
  }
}

QuotaNeed QuotaShare::TakeNeed(std::uint64_t id,
                               Account& account,
                               double elapsed_s) {
  account.idle_s = account.asked > 0 ? 0 : account.idle_s + elapsed_s;
  account.demand_per_s =
      account.demand_per_s * std::exp(-elapsed_s / kDemandTimeS) +
      std::exchange(account.asked, 0) / kDemandTimeS;
  if (account.demand_per_s < kMinDemandPerS) {
    account.demand_per_s = 0;
  }
  const double node_part = kHeldPartOfShare * account.limits.capacity /
                           static_cast<double>(node_count_);
  // Less than a whole request would serve none.
  const bool holds_next =
      account.idle_s < kNextRequestTimeS && account.last_cost <= node_part;
  const double next_request = holds_next ? account.last_cost : 0;
  const double target =
      std::min(std::max(account.demand_per_s * kHeldDemandS, next_request),
               account.limits.max_held);
  double returned = 0;
  if (account.waiting <= 0 && account.held > kReturnAbove * target) {
    returned = std::floor(account.held - target);
    account.held -= returned;
  }
  const double urgent = std::max(0.0, account.waiting - account.held);
  const double wanted =
      std::max(0.0, target + account.waiting - account.held - urgent);
  return {id,
          static_cast<float>(account.held),
          static_cast<float>(account.pending),
          static_cast<float>(returned),
          static_cast<float>(std::ceil(wanted)),
          static_cast<float>(std::ceil(urgent))};
}

std::optional<QuotaReport> QuotaShare::MakeReport(TimePoint now) {
  if (coordinator_.empty()) {
    return std::nullopt;
  }
  QuotaReport out;
  out.number = ++last_number_;
  if (n_unanswered_++ == 0) {
    unanswered_since_ = now;
  }
  out.last_grant = last_grant_;
  const double elapsed_s =
      Seconds(std::min<Duration>(now - last_report_at_, std::chrono::hours(1)));
  last_report_at_ = now;
  got_large_grant_ = false;
  sent_.emplace_back(out.number, now);
  if (sent_.size() > kMaxSentReports) {
    sent_.pop_front();
  }
  if (preferred_ != coordinator_) {
    // The answer to any report without a vote ends the vote.
    if (!withdrawal_) {
      withdrawal_ = out.number;
    }
    return out;
  }
  withdrawal_.reset();
  // A vote that an earlier process gave is no longer valid after this time.
  if (now - started_at_ >= VoteTime() * kClockMargin) {
    out.votes = true;
    out.vote_ms = static_cast<std::uint32_t>(VoteTime().count());
    promised_until_ =
        now + std::chrono::duration_cast<Duration>(VoteTime() * kClockMargin);
  }
  for (auto& [id, account] : accounts_) {
    ExpireHeld(account, now);
    const auto need = TakeNeed(id, account, elapsed_s);
    if (need.held > 0 || need.pending > 0 || need.returned > 0 ||
        need.wanted > 0 || need.urgent > 0) {
      out.needs.push_back(need);
    }
  }
  return out;
}

void QuotaShare::OnGrant(const std::string& node,
                         const std::string& incarnation,
                         const QuotaGrant& grant,
                         TimePoint now) {
  if (node != coordinator_) {
    return;
  }
  if (incarnation != coordinator_incarnation_) {
    coordinator_incarnation_ = incarnation;
    last_grant_ = 0;
  }
  if (grant.number <= last_grant_) {
    return;
  }
  last_grant_ = grant.number;
  n_unanswered_ = 0;
  if (withdrawal_ && grant.report >= *withdrawal_) {
    promised_until_ = now;
    return;
  }
  const auto report =
      std::find_if(sent_.begin(), sent_.end(),
                   [&](const auto& it) { return it.first == grant.report; });
  if (report == sent_.end() || now - report->second > kMaxGrantAge) {
    return;
  }
  for (auto& it : accounts_) {
    ExpireHeld(it.second, now);
  }
  held_until_ = std::max<TimePoint>(held_until_, report->second + kHeldLife);
  for (const auto& it : grant.allowances) {
    if (auto* account = Find(it.customer)) {
      account->held += it.granted;
      got_large_grant_ = got_large_grant_ ||
                         it.granted >= kLargeGrant * account->limits.max_held;
      const milliseconds room(it.room_ms);
      account->room_at = now + room;
      account->ask_at = now + std::min<Duration>(room, RestInterval());
    }
  }
}

}  // namespace tanagerloom
