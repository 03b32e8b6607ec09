#include "fleet/demand_table.h"

#include <algorithm>
#include <cmath>

namespace tanagerloom {

namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void DemandTable::Decay(Entry& entry, TimePoint now) {
  std::uint32_t current = 0;
  for (const auto& [node, counts] : entry.nodes) {
    if (now - counts.received_at < kNodeTimeout) {
      current += counts.waiting + counts.running;
    }
  }
  const auto elapsed = std::max(Duration(0), now - entry.decayed_at);
  const double retained = std::exp(-Seconds(elapsed) / Seconds(kDecayTime));
  entry.arrivals *= retained;
  entry.prompt_tokens *= retained;
  entry.concurrency = entry.concurrency * retained + current * (1 - retained);
  entry.decayed_at = now;
}

void DemandTable::Update(const std::string& node,
                         const Demand& demand,
                         TimePoint now) {
  auto& models = services_[demand.cell];
  for (const auto& it : demand.entries) {
    auto& entry = models[{it.model, it.adapter}];
    Decay(entry, now);
    entry.arrivals += it.arrivals;
    entry.prompt_tokens += static_cast<double>(it.prompt_tokens);
    if (it.arrivals > 0 || it.waiting > 0) {
      entry.last_arrival_at = now;
    }
    auto& counts = entry.nodes[node];
    counts = {it.waiting, it.running, std::nullopt, std::nullopt, now};
    if (it.waiting > 0) {
      counts.best_rank = it.rank;
      counts.earliest_deadline =
          now + std::chrono::milliseconds(it.earliest_deadline_ms);
    }
  }
}

std::map<ModelRef, FleetDemand> DemandTable::Read(const std::string& service,
                                                  TimePoint now) {
  std::map<ModelRef, FleetDemand> out;
  auto& models = services_[service];
  for (auto it = models.begin(); it != models.end();) {
    auto& entry = it->second;
    if (now - entry.last_arrival_at > kModelRetention) {
      it = models.erase(it);
      continue;
    }
    Decay(entry, now);
    FleetDemand demand;
    demand.rate = entry.arrivals / Seconds(kDecayTime);
    demand.concurrency = entry.concurrency;
    demand.prompt_tokens_per_s = entry.prompt_tokens / Seconds(kDecayTime);
    demand.last_arrival_at = entry.last_arrival_at;
    for (const auto& [node, counts] : entry.nodes) {
      if (now - counts.received_at >= kNodeTimeout) {
        continue;
      }
      demand.waiting += counts.waiting;
      demand.running += counts.running;
      if (counts.earliest_deadline &&
          (!demand.earliest_deadline ||
           *counts.earliest_deadline < *demand.earliest_deadline)) {
        demand.earliest_deadline = counts.earliest_deadline;
      }
      if (counts.best_rank) {
        demand.best_rank =
            std::min(demand.best_rank.value_or(UINT32_MAX), *counts.best_rank);
      }
    }
    out.emplace(it->first, demand);
    ++it;
  }
  return out;
}

}  // namespace tanagerloom
