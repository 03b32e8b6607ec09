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
  std::uint32_t present = 0;
  for (const auto& [node, counts] : entry.nodes) {
    if (now - counts.received < kNodeValid) {
      present += counts.waiting + counts.running;
    }
  }
  const auto passed = std::max(Duration(0), now - entry.decayed);
  const double kept = std::exp(-Seconds(passed) / Seconds(kMemory));
  entry.arrivals *= kept;
  entry.concurrency = entry.concurrency * kept + present * (1 - kept);
  entry.decayed = now;
}

void DemandTable::Update(const std::string& node,
                         const Demand& demand,
                         TimePoint now) {
  auto& models = services_[demand.cell];
  for (const auto& it : demand.entries) {
    auto& entry = models[{it.model, it.adapter}];
    Decay(entry, now);
    entry.arrivals += it.arrivals;
    if (it.arrivals > 0 || it.waiting > 0) {
      entry.last_arrival = now;
    }
    auto& counts = entry.nodes[node];
    counts = {it.waiting, it.running, std::nullopt, now};
    if (it.waiting > 0) {
      counts.earliest_deadline =
          now + std::chrono::milliseconds(it.earliest_deadline_ms);
    }
  }
}

std::map<ModelRef, ModelDemand> DemandTable::Read(const std::string& service,
                                                  TimePoint now) {
  std::map<ModelRef, ModelDemand> out;
  auto& models = services_[service];
  for (auto it = models.begin(); it != models.end();) {
    auto& entry = it->second;
    if (now - entry.last_arrival > kForget) {
      it = models.erase(it);
      continue;
    }
    Decay(entry, now);
    ModelDemand demand;
    demand.rate = entry.arrivals / Seconds(kMemory);
    demand.concurrency = entry.concurrency;
    demand.last_arrival = entry.last_arrival;
    for (const auto& [node, counts] : entry.nodes) {
      if (now - counts.received >= kNodeValid) {
        continue;
      }
      demand.waiting += counts.waiting;
      demand.running += counts.running;
      if (counts.earliest_deadline &&
          (!demand.earliest_deadline ||
           *counts.earliest_deadline < *demand.earliest_deadline)) {
        demand.earliest_deadline = counts.earliest_deadline;
      }
    }
    out.emplace(it->first, demand);
    ++it;
  }
  return out;
}

}  // namespace tanagerloom
