#include "forwarding/waiting_exchange.h"

#include "forwarding/waiting_lists.h"
#include "ports/peer_network.h"

namespace tanagerloom {

bool WaitingExchange::IsSummaryValid(const OwnReport& own) const {
  return own.summary_at != TimePoint::min() &&
         deps_.clock.Now() - own.summary_at < kSummaryTimeout;
}

void WaitingExchange::Exchange() {
  if (!deps_.has_customers()) {
    return;
  }
  // Taken without a collector too, so that what was served long ago is not
  // reported later.
  const auto reports = deps_.lists.TakeReports();
  const auto collector = deps_.collector();
  if (collector.node.empty()) {
    return;
  }
  for (const auto& it : reports) {
    if (!it.classes.empty() || IsSummaryValid(own_[it.service])) {
      Report(collector, it);
    } else {
      own_.erase(it.service);
    }
  }
  if (collector.node == deps_.peers.node_id()) {
    SendSummaries(collector.fence);
  }
}

void WaitingExchange::Report(const WaitingCollector& collector,
                             const WaitingReport& report) {
  auto& own = own_[report.service];
  own.last = report;
  for (const auto& it : report.shares) {
    own.served[{it.customer, it.priority}] += it.served;
  }
  if (collector.node == deps_.peers.node_id()) {
    OnReport(collector.node, report);
  } else {
    deps_.peers.Send(collector.node, report);
  }
}

void WaitingExchange::OnReport(const std::string& node,
                               const WaitingReport& report) {
  table_.OnReport(node, report, deps_.clock.Now());
}

void WaitingExchange::SendSummaries(std::uint64_t fence) {
  for (auto& it : table_.TakeSums(deps_.clock.Now())) {
    const WaitingSummary summary{fence, ++last_number_, std::move(it)};
    deps_.peers.Broadcast(summary);
    OnSummary(summary);
  }
}

void WaitingExchange::OnSummary(const WaitingSummary& summary) {
  const auto& service = summary.sum.service;
  const std::pair order{summary.fence, summary.number};
  if (order <= newest_[service]) {
    return;
  }
  newest_[service] = order;
  auto& own = own_[service];
  const auto now = deps_.clock.Now();
  own.summary_at = now;
  deps_.lists.OnElsewhere(
      WithoutOwn(summary.sum, own.last, std::exchange(own.served, {})),
      now + kSummaryTimeout);
}

}  // namespace tanagerloom
