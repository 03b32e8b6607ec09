#include "decision/fair_queue.h"

#include <algorithm>

namespace tanagerloom {

namespace {

// Limit on the customers and requests that a count examines; a count of fewer
// is still a lower bound.
constexpr std::size_t kMaxCounted = 64;

}  // namespace

void FairQueue::Push(const FairEntry& entry) {
  const auto key = entry.class_key();
  auto& queue = classes_[key];
  auto& customer = queue.customers[entry.customer];
  if (customer.waiting.empty()) {
    customer.turn = shares_.BeginWait(key, entry.customer);
    queue.turns.emplace(customer.turn, entry.customer);
  }
  const SortKey sort_key{entry.deadline, ++sequence_};
  customer.waiting.emplace(sort_key, entry.id);
  ++queue.size;
  entries_[entry.id] = {key, entry.customer, sort_key, entry.cost};
}

void FairQueue::Remove(std::uint64_t id) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) {
    return;
  }
  const auto queue = classes_.find(it->second.class_key);
  const auto customer = queue->second.customers.find(it->second.customer);
  customer->second.waiting.erase(it->second.sort_key);
  if (customer->second.waiting.empty()) {
    queue->second.turns.erase({customer->second.turn, customer->first});
    queue->second.customers.erase(customer);
  }
  if (--queue->second.size == 0) {
    classes_.erase(queue);
  }
  entries_.erase(it);
}

std::optional<std::uint64_t> FairQueue::Take(const Eligible& eligible) {
  return TakeOffered([&](std::uint64_t id) {
    return eligible(id) ? OfferResult::kTaken : OfferResult::kSkipped;
  });
}

std::optional<ClassKey> FairQueue::LaterClassTurn() const {
  if (classes_.size() < 2 ||
      shares_.first_class_turns() + 1 < kLaterClassPeriod) {
    return std::nullopt;
  }
  const auto next = std::min_element(
      std::next(classes_.begin()), classes_.end(),
      [this](const auto& a, const auto& b) {
        return shares_.LastTurnOf(a.first) < shares_.LastTurnOf(b.first);
      });
  return next->first;
}

std::optional<std::uint64_t> FairQueue::TakeOffered(const Offer& offer) {
  Scan scan{offer};
  const auto later = LaterClassTurn();
  if (later) {
    if (const auto id = TakeFromClass(*later, scan)) {
      return id;
    }
  }
  for (auto it = classes_.begin(); it != classes_.end() && !scan.ended; ++it) {
    if (it->first == later) {
      continue;
    }
    if (const auto id = TakeFromClass(it->first, scan)) {
      return id;
    }
  }
  return std::nullopt;
}

std::optional<std::uint64_t> FairQueue::TakeFromClass(const ClassKey& key,
                                                      Scan& scan) {
  auto& queue = classes_[key];
  auto it = queue.turns.begin();
  while (it != queue.turns.end() && !scan.ended) {
    auto& customer = queue.customers[it->second];
    const double time = shares_.TimeOf(key, it->second);
    if (time > customer.turn) {
      // Served from another queue meanwhile: it is met again at its new place.
      customer.turn = time;
      queue.turns.emplace(time, it->second);
      it = queue.turns.erase(it);
      continue;
    }
    if (const auto id = TakeFromCustomer(customer, scan)) {
      OnTaken(*id);
      return id;
    }
    ++it;
  }
  return std::nullopt;
}

std::optional<std::uint64_t> FairQueue::TakeFromCustomer(
    const CustomerQueue& queue,
    Scan& scan) {
  int scanned = 0;
  for (const auto& [key, id] : queue.waiting) {
    if (++scanned > kMaxScan) {
      break;
    }
    const auto result = scan.offer(id);
    if (result == OfferResult::kTaken) {
      return id;
    }
    scan.ended = result == OfferResult::kNoPlace || --scan.left == 0;
    if (scan.ended) {
      break;
    }
  }
  return std::nullopt;
}

void FairQueue::OnTaken(std::uint64_t id) {
  const auto& position = entries_.at(id);
  const auto key = position.class_key;
  if (key != classes_.begin()->first) {
    shares_.OnLaterClassTurn();
  } else if (classes_.size() > 1) {
    shares_.OnFirstClassTurn();
  }
  shares_.OnServed(key, position.customer, position.cost);
  Remove(id);
}

FairQueue::SortKey FairQueue::SortKeyOf(const FairEntry& entry) const {
  const auto it = entries_.find(entry.id);
  return it == entries_.end() ? SortKey{entry.deadline, sequence_ + 1}
                              : it->second.sort_key;
}

std::size_t FairQueue::CountBefore(const CustomerQueue& queue,
                                   const SortKey& key) {
  // New requests mostly have the latest deadlines, so that counting those that
  // come after is short.
  std::size_t after = 0;
  for (auto it = queue.waiting.rbegin();
       it != queue.waiting.rend() && it->first >= key; ++it) {
    if (++after > kMaxCounted) {
      return 0;
    }
  }
  return queue.waiting.size() - after;
}

std::size_t FairQueue::CountAhead(const FairEntry& entry) const {
  const auto key = entry.class_key();
  std::size_t earlier_classes = 0;
  for (auto it = classes_.begin(); it != classes_.end() && it->first < key;
       ++it) {
    earlier_classes += it->second.size;
  }
  std::size_t same_class = 0;
  const auto queue = classes_.find(key);
  if (queue != classes_.end()) {
    std::size_t own = 0;
    const auto customer = queue->second.customers.find(entry.customer);
    if (customer != queue->second.customers.end()) {
      own = CountBefore(customer->second, SortKeyOf(entry));
    }
    same_class = own;
    std::size_t counted = 0;
    for (const auto& [name, it] : queue->second.customers) {
      if (++counted > kMaxCounted) {
        break;
      }
      same_class +=
          name == entry.customer ? 0 : std::min(own, it.waiting.size());
    }
  }
  // One in kLaterClassPeriod turns is not an earlier class's.
  const auto before_turn = (same_class + 1) * kLaterClassPeriod - 1;
  return std::min(earlier_classes + same_class, before_turn);
}

std::uint32_t FairQueue::BestRank() const {
  std::uint32_t best = UINT32_MAX;
  for (const auto& [key, queue] : classes_) {
    best = std::min(best, key.rank);
  }
  return best == UINT32_MAX ? 0 : best;
}

std::optional<std::chrono::steady_clock::time_point>
FairQueue::EarliestDeadline() const {
  std::optional<std::chrono::steady_clock::time_point> earliest;
  for (const auto& [key, queue] : classes_) {
    for (const auto& [name, customer] : queue.customers) {
      const auto first = customer.waiting.begin()->first.first;
      earliest = std::min(earliest.value_or(first), first);
    }
  }
  return earliest;
}

}  // namespace tanagerloom
