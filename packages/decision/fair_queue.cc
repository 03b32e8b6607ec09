#include "decision/fair_queue.h"

#include <algorithm>
#include <vector>

namespace tanagerloom {

void FairQueue::Push(const FairEntry& entry) {
  auto& queue = classes_[{entry.deferred, entry.rank}];
  auto& operator_queue = queue.operators[entry.operator_name];
  if (operator_queue.waiting.empty()) {
    // An operator accumulates no turns while it has no waiting requests.
    operator_queue.virtual_time =
        std::max(operator_queue.virtual_time, queue.virtual_time);
  }
  const SortKey sort_key{entry.deadline, ++sequence_};
  operator_queue.waiting.emplace(sort_key, entry.id);
  ++queue.size;
  entries_[entry.id] = {
      {entry.deferred, entry.rank}, entry.operator_name, sort_key};
}

void FairQueue::Remove(std::uint64_t id) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) {
    return;
  }
  auto& queue = classes_[it->second.class_key];
  queue.operators[it->second.operator_name].waiting.erase(it->second.sort_key);
  --queue.size;
  entries_.erase(it);
}

std::optional<std::uint64_t> FairQueue::Take(const Eligible& eligible) {
  const bool deferred_first = taken_since_deferred_ + 1 >= kDeferredPeriod;
  for (const bool deferred : {deferred_first, !deferred_first}) {
    if (const auto id = TakeFrom(deferred, eligible)) {
      taken_since_deferred_ = deferred ? 0 : taken_since_deferred_ + 1;
      return id;
    }
  }
  return std::nullopt;
}

std::optional<std::uint64_t> FairQueue::TakeFrom(bool deferred,
                                                 const Eligible& eligible) {
  for (auto& [key, queue] : classes_) {
    if (key.first != deferred || queue.size == 0) {
      continue;
    }
    if (const auto id = TakeFromClass(queue, eligible)) {
      return id;
    }
  }
  return std::nullopt;
}

std::optional<std::uint64_t> FairQueue::TakeFromClass(
    ClassQueue& queue,
    const Eligible& eligible) {
  std::vector<OperatorQueue*> order;
  for (auto& [name, operator_queue] : queue.operators) {
    if (!operator_queue.waiting.empty()) {
      order.push_back(&operator_queue);
    }
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const OperatorQueue* a, const OperatorQueue* b) {
                     return a->virtual_time < b->virtual_time;
                   });
  for (auto* operator_queue : order) {
    int scanned = 0;
    for (const auto& [key, id] : operator_queue->waiting) {
      if (++scanned > kMaxScan) {
        break;
      }
      if (eligible(id)) {
        queue.virtual_time =
            std::max(queue.virtual_time, operator_queue->virtual_time);
        operator_queue->virtual_time += 1;
        const auto taken = id;
        Remove(taken);
        return taken;
      }
    }
  }
  return std::nullopt;
}

std::size_t FairQueue::CountAhead(std::uint32_t rank, bool deferred) const {
  std::size_t n = 0;
  for (const auto& [key, queue] : classes_) {
    if (key <= ClassKey{deferred, rank}) {
      n += queue.size;
    }
  }
  return n;
}

std::uint32_t FairQueue::BestRank() const {
  std::uint32_t best = UINT32_MAX;
  for (const auto& [key, queue] : classes_) {
    if (queue.size > 0) {
      best = std::min(best, key.second);
    }
  }
  return best == UINT32_MAX ? 0 : best;
}

std::optional<std::chrono::steady_clock::time_point>
FairQueue::EarliestDeadline() const {
  std::optional<std::chrono::steady_clock::time_point> earliest;
  for (const auto& [key, queue] : classes_) {
    for (const auto& [name, operator_queue] : queue.operators) {
      if (!operator_queue.waiting.empty()) {
        const auto first = operator_queue.waiting.begin()->first.first;
        earliest = std::min(earliest.value_or(first), first);
      }
    }
  }
  return earliest;
}

}  // namespace tanagerloom
