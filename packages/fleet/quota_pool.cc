#include "fleet/quota_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tanagerloom {

namespace {

using std::chrono::milliseconds;

// Part of the capacity that is kept for requests that wait at a node.
constexpr double kKeptForUrgent = 0.125;
// Part of the rest that one report may take for requests that are only
// expected, so that the next nodes to report get some too.
constexpr double kForExpected = 0.5;
// Max number of grants to one node without an acknowledgement.
constexpr std::size_t kMaxSentGrants = 256;
// Bounds of the announced time until there is room.
constexpr double kMinRoomMs = 20;
constexpr double kMaxRoomMs = 8000;
constexpr double kMillisecondsPerSecond = 1000;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void QuotaPool::SetLimits(const QuotaTable& limits) {
  std::erase_if(customers_, [&](const auto& it) {
    return limits.find(it.first) == limits.end();
  });
  for (const auto& [id, customer_limits] : limits) {
    const auto [it, is_new] = customers_.try_emplace(id);
    auto& customer = it->second;
    if (is_new) {
      customer.accrued_at = vote_seconds_;
      for (const auto& node : nodes_) {
        const auto units = node.second.units.find(id);
        if (units != node.second.units.end()) {
          customer.at_nodes.held += units->second.held;
          customer.at_nodes.pending += units->second.pending;
        }
      }
    } else {
      Refill(customer);
    }
    customer.limits = customer_limits;
  }
}

void QuotaPool::SetNodeCount(std::size_t n, TimePoint now) {
  Advance(now);
  while (!node_counts_.empty() &&
         now - node_counts_.front().second > forget_after_) {
    node_counts_.pop_front();
  }
  while (!node_counts_.empty() && node_counts_.back().first <= n) {
    node_counts_.pop_back();
  }
  node_counts_.emplace_back(n, now);
}

double QuotaPool::VoteShare(TimePoint now) const {
  const auto votes = static_cast<std::size_t>(std::count_if(
      nodes_.begin(), nodes_.end(),
      [&](const auto& it) { return it.second.vote_until > now; }));
  // Nodes count before the list names them.
  const auto listed = node_counts_.empty() ? 0 : node_counts_.front().first;
  const auto n = std::max({listed, nodes_.size(), std::size_t{1}});
  return static_cast<double>(votes) / static_cast<double>(n);
}

void QuotaPool::Advance(TimePoint now) {
  const double previous = std::exchange(share_, VoteShare(now));
  if (now > advanced_at_ && advanced_at_ != TimePoint{}) {
    vote_seconds_ += share_ * Seconds(now - advanced_at_);
  }
  advanced_at_ = std::max(advanced_at_, now);
  if (share_ < previous) {
    // Another coordinator may get these votes and grant their units.
    for (auto& it : customers_) {
      Refill(it.second);
    }
  }
}

void QuotaPool::Refill(CustomerPool& customer) const {
  const auto& limits = customer.limits;
  const auto& units = customer.at_nodes;
  const double accrued =
      limits.rate_per_s * (vote_seconds_ - customer.accrued_at);
  customer.accrued_at = vote_seconds_;
  const double room =
      std::min(limits.capacity * share_ - units.held,
               limits.max_unsent * share_ - units.held - units.pending);
  customer.level = std::max(0.0, std::min(customer.level + accrued, room));
}

void QuotaPool::TakeVote(Node& node, const QuotaReport& report, TimePoint now) {
  while (!node.sent.empty() && node.sent.front().number < report.last_grant) {
    node.sent.pop_front();
  }
  if (!report.votes) {
    node.vote_until = now;
    return;
  }
  if (node.sent.empty() || node.sent.front().number != report.last_grant) {
    return;  // Without a sending time, the age of the vote is not known.
  }
  // The node counts its vote from a later moment, when it sent the report.
  node.vote_until = std::max(node.vote_until, node.sent.front().sent_at +
                                                  milliseconds(report.vote_ms));
}

void QuotaPool::RemoveUnits(Node& node) {
  for (const auto& [id, units] : node.units) {
    const auto it = customers_.find(id);
    if (it != customers_.end()) {
      auto& sum = it->second.at_nodes;
      sum.held = std::max(0.0, sum.held - units.held);
      sum.pending = std::max(0.0, sum.pending - units.pending);
      sum.unmet = std::max(0.0, sum.unmet - units.unmet);
    }
  }
  node.units.clear();
}

void QuotaPool::TakeUnits(Node& node,
                          const QuotaReport& report,
                          TimePoint now) {
  RemoveUnits(node);
  for (const auto& it : report.needs) {
    node.units[it.customer] = {it.held, it.pending, 0};
  }
  for (const auto& it : node.sent) {
    if (it.number <= report.last_grant || now - it.sent_at > forget_after_) {
      continue;
    }
    for (const auto& [id, granted] : it.units) {
      node.units[id].held += granted;
    }
  }
  for (const auto& [id, units] : node.units) {
    const auto it = customers_.find(id);
    if (it != customers_.end()) {
      it->second.at_nodes.held += units.held;
      it->second.at_nodes.pending += units.pending;
    }
  }
}

void QuotaPool::ForgetSilentNodes(TimePoint now) {
  for (auto it = nodes_.begin(); it != nodes_.end();) {
    if (now - it->second.heard_at > forget_after_) {
      RemoveUnits(it->second);
      it = nodes_.erase(it);
    } else {
      ++it;
    }
  }
}

bool QuotaPool::HasOtherVotes(TimePoint now) const {
  return std::any_of(nodes_.begin(), nodes_.end(), [&](const auto& it) {
    return it.first != self_ && it.second.vote_until > now;
  });
}

QuotaAllowance QuotaPool::Allow(CustomerPool& customer,
                                NodeUnits& units,
                                const QuotaNeed& need) const {
  const auto& limits = customer.limits;
  // Earlier grants that the node had not received when it reported.
  const double on_their_way = std::max(0.0, units.held - need.held);
  const double urgent_need = std::max(0.0, need.urgent - on_their_way);
  const double wanted =
      std::max(0.0, need.wanted - std::max(0.0, on_their_way - need.urgent));
  const double urgent = std::min(urgent_need, customer.level);
  const double spare =
      (customer.level - urgent - kKeptForUrgent * limits.capacity * share_) *
      kForExpected;
  const double expected =
      std::min({wanted, std::max(0.0, spare),
                std::max(0.0, limits.max_held - units.held)});
  // Rounded down, so that the node does not get more than is counted.
  const auto granted = static_cast<float>(std::floor(urgent + expected));
  customer.level -= granted;
  units.held += granted;
  customer.at_nodes.held += granted;
  units.unmet = std::max(0.0, urgent_need + wanted - granted);
  customer.at_nodes.unmet += units.unmet;
  QuotaAllowance out{need.customer, granted, 0};
  const double rate = limits.rate_per_s * share_;
  // Without any votes, which come soon, the time is not known.
  if (granted < std::floor(urgent_need) && rate > 0) {
    const double room_ms =
        customer.at_nodes.unmet / rate * kMillisecondsPerSecond;
    out.room_ms =
        static_cast<std::uint32_t>(std::clamp(room_ms, kMinRoomMs, kMaxRoomMs));
  }
  return out;
}

std::optional<QuotaGrant> QuotaPool::OnReport(const std::string& node_id,
                                              const std::string& incarnation,
                                              const QuotaReport& report,
                                              TimePoint now) {
  ForgetSilentNodes(now);
  Advance(now);
  auto& node = nodes_[node_id];
  if (node.incarnation != incarnation) {
    RemoveUnits(node);
    node = Node{};
    node.incarnation = incarnation;
  }
  if (report.number <= node.last_report) {
    return std::nullopt;
  }
  node.last_report = report.number;
  node.heard_at = now;
  TakeVote(node, report, now);
  Advance(now);
  TakeUnits(node, report, now);
  const bool is_self = node_id == self_;
  if (!is_self && unconfirmed_since_ && report.votes &&
      report.last_grant >= *unconfirmed_since_) {
    unconfirmed_since_.reset();
  }
  QuotaGrant out;
  out.number = ++last_number_;
  out.report = report.number;
  // The vote counts once the node has seen a grant.
  out.reply_at_once = report.votes && node.vote_until <= now;
  SentGrant sent{out.number, now, {}};
  const bool may_grant = !is_self || !unconfirmed_since_ || !HasOtherVotes(now);
  double total = 0;
  for (const auto& need : report.needs) {
    const auto it = customers_.find(need.customer);
    if (it == customers_.end()) {
      continue;
    }
    Refill(it->second);
    it->second.level += need.returned;
    Refill(it->second);
    if (need.urgent <= 0 && need.wanted <= 0) {
      continue;
    }
    if (!may_grant) {
      poll_due_ = true;
      continue;
    }
    out.allowances.push_back(
        Allow(it->second, node.units[need.customer], need));
    const double granted = out.allowances.back().granted;
    if (granted > 0) {
      sent.units.emplace_back(need.customer, granted);
      total += granted;
    }
  }
  if (is_self && total > 0 && may_grant) {
    unconfirmed_since_ = last_number_ + 1;
  }
  node.sent.push_back(std::move(sent));
  if (node.sent.size() > kMaxSentGrants) {
    node.sent.pop_front();
  }
  return out;
}

std::optional<QuotaPool::Poll> QuotaPool::TakePoll(TimePoint now) {
  if (!poll_due_) {
    return std::nullopt;
  }
  poll_due_ = false;
  const std::pair<const std::string, Node>* latest = nullptr;
  for (const auto& it : nodes_) {
    if (it.first != self_ && it.second.vote_until > now &&
        (latest == nullptr || it.second.heard_at > latest->second.heard_at)) {
      latest = &it;
    }
  }
  if (latest == nullptr) {
    return std::nullopt;
  }
  Poll out{latest->first, {}};
  out.grant.number = ++last_number_;
  out.grant.reply_at_once = true;
  nodes_[out.node].sent.push_back({out.grant.number, now, {}});
  return out;
}

}  // namespace tanagerloom
