#include "decision/cell_demand_table.h"

#include <algorithm>

namespace tanagerloom {

void CellDemandTable::Set(const std::string& node,
                          std::uint64_t number,
                          const ModelKey& key,
                          const ModelDemand& demand,
                          std::uint64_t now_ms) {
  auto& entry = entries_[key][node];
  if (entry.number != 0 && number < entry.number) {
    return;
  }
  const auto waiting_since_ms =
      entry.demand.waiting > 0 ? entry.demand.waiting_since_ms : now_ms;
  const bool arrived = entry.arrived || demand.arrivals > 0;
  entry = {number, now_ms, demand, arrived};
  entry.demand.waiting_since_ms = demand.waiting > 0 ? waiting_since_ms : 0;
}

std::vector<ModelKey> CellDemandTable::TakeUsedKeys() {
  std::vector<ModelKey> used;
  for (auto& [key, nodes] : entries_) {
    bool in_use = false;
    for (auto& [node, entry] : nodes) {
      in_use = in_use || entry.arrived || entry.demand.waiting > 0 ||
               entry.demand.running > 0;
      entry.arrived = false;
    }
    if (in_use) {
      used.push_back(key);
    }
  }
  return used;
}

void CellDemandTable::Expire(std::uint64_t now_ms) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    std::erase_if(it->second, [&](const auto& node) {
      return now_ms > node.second.renewed_ms + kExpiryMs;
    });
    it = it->second.empty() ? entries_.erase(it) : std::next(it);
  }
}

std::map<ModelKey, ModelDemand> CellDemandTable::Total() const {
  std::map<ModelKey, ModelDemand> total;
  for (const auto& [key, nodes] : entries_) {
    ModelDemand sum;
    for (const auto& [node, entry] : nodes) {
      const auto& it = entry.demand;
      if (it.waiting > 0) {
        sum.rank = sum.waiting == 0 ? it.rank : std::min(sum.rank, it.rank);
        sum.waiting_since_ms = sum.waiting == 0 ? it.waiting_since_ms
                                                : std::min(sum.waiting_since_ms,
                                                           it.waiting_since_ms);
        if (it.deadline_ms != 0) {
          sum.deadline_ms = sum.deadline_ms == 0
                                ? it.deadline_ms
                                : std::min(sum.deadline_ms, it.deadline_ms);
        }
      }
      sum.waiting += it.waiting;
      sum.running += it.running;
      sum.arrivals += it.arrivals;
    }
    if (sum.waiting + sum.running > 0) {
      total.emplace(key, sum);
    }
  }
  return total;
}

}  // namespace tanagerloom
