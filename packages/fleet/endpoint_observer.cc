#include "fleet/endpoint_observer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/id.h"
#include "fleet/endpoint_record.h"
#include "fleet/endpoint_selection.h"
#include "fleet/reported_load.h"

namespace tanagerloom {

namespace {

// How long a number of nodes is used.
constexpr Duration kNodeCountInterval = std::chrono::milliseconds(250);

// Returns the rank of a node for an endpoint, from 0 to 1.
double RankOf(std::string_view node, const EndpointRecord& record) {
  constexpr int kRankBits = 53;  // Of a double.
  constexpr int kHashBits = 64;
  StableHasher hasher;
  hasher.Add(node);
  hasher.Add("\n");
  hasher.Add(record.id);
  const auto bits = hasher.Value() >> (kHashBits - kRankBits);
  return std::ldexp(static_cast<double>(bits), -kRankBits);
}

}  // namespace

void EndpointObserver::SetNodes(std::string node,
                                std::function<std::size_t()> count) {
  node_ = std::move(node);
  count_nodes_ = std::move(count);
}

// ---- what endpoints answer

void EndpointObserver::OnReport(const EndpointRecord& record,
                                const ReportedLoad& load,
                                std::uint32_t own_in_flight) {
  reports_[record.service].OnReport(record, load, own_in_flight, clock_.Now());
  if (on_reported_) {
    on_reported_(record, load);
  }
}

bool EndpointObserver::OnSharedReport(const EndpointRecord& record,
                                      const ReportedLoad& load,
                                      std::uint32_t own_in_flight,
                                      TimePoint at) {
  return reports_[record.service].OnReport(record, load, own_in_flight, at);
}

void EndpointObserver::OnFirstEvent(const EndpointRecord& record,
                                    Duration delay,
                                    Duration idle_delay) {
  if (!HasReports(record.service)) {
    return;
  }
  const auto now = clock_.Now();
  const double ratio =
      reports_[record.service].OnFirstEvent(record, delay, idle_delay, now);
  auto& start = PaceOf(record);
  // The share matters, and is counted, only while the endpoint is paced.
  const auto share =
      start.pace.is_active() ? ShareOf(record, start) : PaceShare();
  if (start.pace.OnFirstEvent(ratio, share, now)) {
    NotifyChange(record, start.pace);
  }
}

void EndpointObserver::OnRefused(const EndpointRecord& record) {
  if (!HasReports(record.service)) {
    return;
  }
  ++refusals_;
  auto& start = PaceOf(record);
  if (start.pace.OnRefused(ShareOf(record, start), clock_.Now())) {
    NotifyChange(record, start.pace);
  }
}

void EndpointObserver::OnSilent(const EndpointRecord& record) {
  if (!HasReports(record.service)) {
    return;
  }
  auto& start = PaceOf(record);
  if (start.pace.OnSilent(ShareOf(record, start), clock_.Now())) {
    NotifyChange(record, start.pace);
  }
}

void EndpointObserver::OnUnreachable(const EndpointRecord& record,
                                     TimePoint until) {
  if (!HasReports(record.service)) {
    return;
  }
  auto& start = PaceOf(record);
  if (start.pace.OnUnreachable(ShareOf(record, start), until)) {
    NotifyChange(record, start.pace);
  }
}

void EndpointObserver::OnPause(const EndpointRecord& record, TimePoint until) {
  if (!HasReports(record.service)) {
    return;
  }
  auto& start = PaceOf(record);
  const bool was_active = start.pace.is_active();
  start.pace.Begin(PaceCause::kRecovery, ShareOf(record, start), until);
  if (!was_active) {
    NotifyChange(record, start.pace);
  }
}

// ---- what the choice uses

bool EndpointObserver::HasReports(std::string_view service) const {
  const auto it = reports_.find(service);
  return it != reports_.end() && it->second.has_reports();
}

void EndpointObserver::Describe(SelectionCandidate& candidate,
                                std::uint32_t own,
                                std::optional<double> known_others) {
  const auto& record = *candidate.record;
  const auto reports = reports_.find(record.service);
  if (reports == reports_.end()) {
    return;
  }
  const auto now = clock_.Now();
  const auto load = reports->second.Expect(record, known_others, now);
  if (!load) {
    return;
  }
  candidate.uncounted_in_flight =
      std::max(0.0, own + load->others_in_flight - candidate.in_flight);
  candidate.slowness = load->slowness;
  auto& start = PaceOf(record);
  if (!start.pace.is_active()) {
    return;
  }
  const auto share = ShareOf(record, start);
  candidate.held_back = own >= start.pace.Limit(share, now);
  candidate.usable_alone = own < start.pace.LimitAlone(share, now);
  if (!start.pace.is_active()) {
    NotifyChange(record, start.pace);
  }
}

// ---- pace

EndpointObserver::PacedStart& EndpointObserver::PaceOf(
    const EndpointRecord& record) {
  const auto [it, is_new] = paces_.try_emplace(record.id);
  auto& out = it->second;
  if (!is_new && out.boot == record.boot) {
    return out;
  }
  out = {record.boot, RankOf(node_, record), EndpointPace()};
  const auto now = clock_.Now();
  if (record.cold_time_left.count() > 0 || StartedRecently(record)) {
    out.pace.Begin(PaceCause::kStart, ShareOf(record, out), now);
    out.pace.SetColdUntil(now + record.cold_time_left);
    NotifyChange(record, out.pace);
  }
  return out;
}

bool EndpointObserver::StartedRecently(const EndpointRecord& record) const {
  // A difference of the clocks may make the start look as if it were to come.
  const auto started_at =
      std::chrono::milliseconds(static_cast<std::int64_t>(record.boot));
  return clock_.WallNow() < started_at + kRecentStart;
}

std::size_t EndpointObserver::NodeCount() {
  const auto now = clock_.Now();
  if (!counted_at_ || now - *counted_at_ > kNodeCountInterval) {
    node_count_ = std::max<std::size_t>(1, count_nodes_());
    counted_at_ = now;
  }
  return node_count_;
}

PaceShare EndpointObserver::ShareOf(const EndpointRecord& record,
                                    const PacedStart& start) {
  PaceShare out;
  out.slots = std::max<std::uint32_t>(1, record.slots);
  if (count_nodes_) {
    out.nodes = NodeCount();
    out.rank = start.rank;
  }
  return out;
}

void EndpointObserver::NotifyChange(const EndpointRecord& record,
                                    const EndpointPace& pace) {
  if (on_changed_) {
    on_changed_({record.id, record.boot, pace.is_active(), pace.cause()});
  }
}

std::size_t EndpointObserver::PacedCount() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      paces_, [](const auto& it) { return it.second.pace.is_active(); }));
}

void EndpointObserver::Prune(
    const std::function<bool(std::string_view)>& is_gone) {
  std::erase_if(paces_, [&](const auto& it) { return is_gone(it.first); });
  for (auto& [service, reports] : reports_) {
    reports.Prune(is_gone);
  }
}

}  // namespace tanagerloom
