// Defines FairQueue, which decides which waiting request is served next.
// Classes are served by rank with a guaranteed fraction for deferred classes,
// and the operators of one class in equal parts.
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

/// A waiting request.
struct FairEntry {
  std::uint64_t id = 0;
  std::uint32_t rank = 0;  ///< Rank of the class; lower ranks are served first.
  bool deferred = false;   ///< The class is deferred.
  std::string operator_name;
  std::chrono::steady_clock::time_point deadline;
};

/// The queue of the requests that wait for one target.
///
/// Classes are served by rank. While other classes wait too, every
/// kDeferredPeriod-th request is taken from the deferred classes, so that they
/// never starve. Operators of one class take turns. The requests of one
/// operator are served by deadline.
class FairQueue {
 public:
  /// One in this many requests is taken from the deferred classes while both
  /// kinds of classes have waiting requests.
  static constexpr std::uint32_t kDeferredPeriod = 10;
  /// Limit on the requests of one operator and class that Take() examines. It
  /// bounds the cost of Take() while many requests are not eligible.
  static constexpr int kMaxScan = 8;

  /// Whether a request can be served now.
  using Eligible = std::function<bool(std::uint64_t id)>;

  /// Adds a request.
  void Push(const FairEntry& entry);

  /// Removes a request; does nothing if it is not queued.
  void Remove(std::uint64_t id);

  /// Removes the next eligible request and returns its id; empty if none of the
  /// examined requests is eligible.
  std::optional<std::uint64_t> Take(const Eligible& eligible);

  std::size_t size() const { return entries_.size(); }
  bool empty() const { return entries_.empty(); }

  /// Returns the number of waiting requests that come before a new one of the
  /// class.
  std::size_t CountAhead(std::uint32_t rank, bool deferred) const;

  /// Returns the lowest rank of the waiting requests; 0 if none waits.
  std::uint32_t BestRank() const;
  /// Returns the earliest deadline of the waiting requests; empty if none
  /// waits.
  std::optional<std::chrono::steady_clock::time_point> EarliestDeadline() const;

 private:
  using SortKey =
      std::pair<std::chrono::steady_clock::time_point, std::uint64_t>;

  struct OperatorQueue {
    double virtual_time = 0;  ///< Rises by 1 with each request served.
    std::map<SortKey, std::uint64_t> waiting;
  };

  struct ClassQueue {
    double virtual_time = 0;  ///< Virtual time of the operator served last.
    std::size_t size = 0;
    std::map<std::string, OperatorQueue> operators;
  };

  /// Deferred flag and rank; deferred classes sort after the others.
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
