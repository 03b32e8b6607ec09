#include "fleet/demand_tracker.h"

#include <algorithm>
#include <chrono>

namespace tanagerloom {

void DemandTracker::OnArrival(const std::string& service,
                              const ModelRef& model) {
  ++CountsFor(service, model).arrivals;
}

void DemandTracker::BeginWait(const std::string& service,
                              const ModelRef& model,
                              TimePoint deadline,
                              std::uint32_t rank) {
  auto& counts = CountsFor(service, model);
  counts.waiting.insert(deadline);
  counts.ranks.insert(rank);
  urgent_wait_.Signal();
}

void DemandTracker::EndWait(const std::string& service,
                            const ModelRef& model,
                            TimePoint deadline,
                            std::uint32_t rank) {
  auto& counts = CountsFor(service, model);
  const auto it = counts.waiting.find(deadline);
  if (it != counts.waiting.end()) {
    counts.waiting.erase(it);
    counts.ranks.erase(counts.ranks.find(rank));
  }
}

void DemandTracker::OnPromptSent(const std::string& service,
                                 const ModelRef& model,
                                 std::uint32_t tokens) {
  CountsFor(service, model).prompt_tokens += tokens;
}

void DemandTracker::BeginRun(const std::string& service,
                             const ModelRef& model) {
  ++CountsFor(service, model).running;
}

void DemandTracker::EndRun(const std::string& service, const ModelRef& model) {
  auto& running = CountsFor(service, model).running;
  running -= std::min(running, 1U);
}

std::vector<Demand> DemandTracker::TakeDemand() {
  const auto now = clock_.Now();
  std::map<std::string, Demand> by_service;
  for (auto it = counts_.begin(); it != counts_.end();) {
    const auto& [service, model] = it->first;
    auto& counts = it->second;
    DemandEntry entry;
    entry.model = model.model;
    entry.adapter = model.adapter;
    entry.waiting = static_cast<std::uint32_t>(counts.waiting.size());
    entry.running = counts.running;
    entry.arrivals = std::exchange(counts.arrivals, 0);
    entry.prompt_tokens = std::exchange(counts.prompt_tokens, 0);
    if (!counts.waiting.empty()) {
      entry.rank = *counts.ranks.begin();
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          *counts.waiting.begin() - now);
      entry.earliest_deadline_ms =
          static_cast<std::uint64_t>(std::max<std::int64_t>(1, left.count()));
    }
    auto& demand = by_service[service];
    demand.cell = service;
    demand.entries.push_back(std::move(entry));
    const bool idle = counts.waiting.empty() && counts.running == 0;
    it = idle ? counts_.erase(it) : std::next(it);
  }
  std::vector<Demand> out;
  for (auto& [service, demand] : by_service) {
    demand.number = ++last_number_;
    out.push_back(std::move(demand));
  }
  return out;
}

}  // namespace tanagerloom
