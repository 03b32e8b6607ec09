#include "decision/demand_book.h"

#include <algorithm>

namespace tanagerloom {

void DemandBook::Set(const std::string& node,
                     std::uint64_t number,
                     const ModelKey& key,
                     const ModelDemand& demand,
                     std::uint64_t now_ms) {
  auto& entry = entries_[key][node];
  if (entry.number != 0 && number < entry.number) {
    return;
  }
  entry = {number, now_ms, demand};
}

void DemandBook::Expire(std::uint64_t now_ms) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    std::erase_if(it->second, [&](const auto& node) {
      return now_ms > node.second.renewed_ms + kExpiryMs;
    });
    it = it->second.empty() ? entries_.erase(it) : std::next(it);
  }
}

std::map<ModelKey, ModelDemand> DemandBook::Total() const {
  std::map<ModelKey, ModelDemand> total;
  for (const auto& [key, nodes] : entries_) {
    ModelDemand sum;
    for (const auto& [node, entry] : nodes) {
      const auto& it = entry.demand;
      if (it.waiting > 0) {
        sum.rank = sum.waiting == 0 ? it.rank : std::min(sum.rank, it.rank);
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
