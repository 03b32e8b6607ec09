// Defines FairQueue, which decides whose waiting request is served next: by
// class rank, with a guaranteed share for deferred classes, and in equal shares
// between the operators of one class.
#ifndef DECISION_FAIR_QUEUE_H_
#define DECISION_FAIR_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace tanagerloom {

/// One waiting request as the queue sees it.
struct FairEntry {
  std::uint64_t id = 0;
  std::uint32_t rank = 0;
  bool deferred = false;
  std::string operator_name;
  std::chrono::steady_clock::time_point deadline;
};

/// A queue of waiting requests of one target.
///
/// Classes are served by rank. Deferred classes get every kDeferredPeriod-th
/// place while others wait, so that they never starve. Operators of one class
/// take turns. Requests of one operator are served by deadline.
class FairQueue {
 public:
  /// One in this many places goes to deferred work while both kinds wait.
  static constexpr std::uint32_t kDeferredPeriod = 10;
  /// Requests looked at in one class and operator before moving on. It bounds
  /// the cost of a choice while many requests cannot be placed.
  static constexpr int kMaxScan = 8;

  using Eligible = std::function<bool(std::uint64_t id)>;

  void Push(const FairEntry& entry);

  /// Removes a request; does nothing if it is not queued.
  void Remove(std::uint64_t id);

  /// Removes and returns the next request for which `eligible` holds.
  std::optional<std::uint64_t> Take(const Eligible& eligible);

  std::size_t size() const { return entries_.size(); }
  bool empty() const { return entries_.empty(); }

  /// Number of requests that are served before a new one of this class.
  std::size_t CountAhead(std::uint32_t rank, bool deferred) const;

  /// The best rank and the earliest deadline among the waiting.
  std::uint32_t BestRank() const;
  std::optional<std::chrono::steady_clock::time_point> EarliestDeadline() const;

 private:
  using SortKey =
      std::pair<std::chrono::steady_clock::time_point, std::uint64_t>;

  struct OperatorQueue {
    double virtual_time = 0;
    std::map<SortKey, std::uint64_t> waiting;
  };

  struct ClassQueue {
    double virtual_time = 0;
    std::size_t size = 0;
    std::map<std::string, OperatorQueue> operators;
  };

  /// Deferred classes sort after the others.
  using ClassKey = std::pair<bool, std::uint32_t>;

  struct QueuePosition {
    ClassKey class_key;
    std::string operator_name;
    SortKey sort_key;
  };

  std::optional<std::uint64_t> TakeFrom(bool deferred,
                                        const Eligible& eligible);
  std::optional<std::uint64_t> TakeFromClass(ClassQueue& queue,
                                             const Eligible& eligible);

  std::map<ClassKey, ClassQueue> classes_;
  std::map<std::uint64_t, QueuePosition> entries_;
  std::uint64_t sequence_ = 0;
  std::uint32_t taken_since_deferred_ = 0;
};

}  // namespace tanagerloom

#endif  // DECISION_FAIR_QUEUE_H_
