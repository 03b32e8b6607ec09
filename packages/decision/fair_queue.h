// Defines FairQueue, which decides which waiting request is served next.
// Classes are served by rank with a guaranteed fraction for the later ones, and
// the customers of one class in equal parts.
#ifndef DECISION_FAIR_QUEUE_H_
#define DECISION_FAIR_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "decision/fair_shares.h"

namespace tanagerloom {

/// A waiting request.
struct FairEntry {
  std::uint64_t id = 0;
  std::uint32_t rank = 0;  ///< Rank of the class; lower ranks are served first.
  bool deferred = false;   ///< The class is deferred.
  std::string customer;
  std::chrono::steady_clock::time_point deadline;
  double cost = 1;  ///< Its part of the customer's share.

  ClassKey class_key() const { return {deferred, rank}; }
};

/// What became of a place that was offered to a waiting request.
enum class OfferResult {
  kTaken,
  kSkipped,  ///< The place does not suit this request; others may take it.
  kNoPlace,  ///< There is no place for any request.
};

/// The queue of the requests that wait for one target.
///
/// Classes are served by rank. While several classes wait, every
/// kLaterClassPeriod-th request is taken from a class after the first, the one
/// that had no turn for longest, so that none starves. The customers of a class
/// get equal shares by cost, and the requests of one customer are served by
/// deadline. All operations are logarithmic in the number of requests and
/// customers, and linear in the number of classes.
class FairQueue {
 public:
  /// One in this many requests is taken from the later classes while they and
  /// the first class have waiting requests.
  static constexpr std::uint32_t kLaterClassPeriod = 10;
  /// Limits on the requests that one Take() examines, of one customer and
  /// class, and in all. They bound its cost while many requests are skipped.
  static constexpr int kMaxScan = 8;
  static constexpr int kMaxExamined = 64;

  /// Whether a request can be served now.
  using Eligible = std::function<bool(std::uint64_t id)>;
  /// Offers a place to a request.
  using Offer = std::function<OfferResult(std::uint64_t id)>;

  FairQueue() : shares_(own_shares_) {}
  /// A queue of several that share `shares`, which must outlive it.
  explicit FairQueue(FairShares& shares) : shares_(shares) {}
  FairQueue(const FairQueue&) = delete;
  FairQueue& operator=(const FairQueue&) = delete;

  /// Adds a request.
  void Push(const FairEntry& entry);

  /// Removes a request; does nothing if it is not queued.
  void Remove(std::uint64_t id);

  /// Offers a place to the requests in their order. Removes the one that takes
  /// it and returns its id; empty if none of the examined requests does.
  std::optional<std::uint64_t> TakeOffered(const Offer& offer);

  /// Removes the next eligible request and returns its id; empty if none of the
  /// examined requests is eligible.
  std::optional<std::uint64_t> Take(const Eligible& eligible);

  std::size_t size() const { return entries_.size(); }
  bool empty() const { return entries_.empty(); }

  /// Returns the number of waiting requests that are surely served before
  /// `entry`: all of earlier classes as far as these leave no turns, earlier
  /// ones of its customer, and the turns of other customers beside those.
  std::size_t CountAhead(const FairEntry& entry) const;

  /// Returns the lowest rank of the waiting requests; 0 if none waits.
  std::uint32_t BestRank() const;
  /// Returns the earliest deadline of the waiting requests; empty if none
  /// waits.
  std::optional<std::chrono::steady_clock::time_point> EarliestDeadline() const;

 private:
  using SortKey =
      std::pair<std::chrono::steady_clock::time_point, std::uint64_t>;

  struct CustomerQueue {
    double turn = 0;  ///< Virtual time under which `turns` lists it.
    std::map<SortKey, std::uint64_t> waiting;
  };

  struct ClassQueue {
    std::size_t size = 0;
    std::map<std::string, CustomerQueue> customers;  ///< Those that wait.
    /// The customers by virtual time, which may have risen since.
    std::set<std::pair<double, std::string>> turns;
  };

  struct QueuePosition {
    ClassKey class_key;
    std::string customer;
    SortKey sort_key;
    double cost = 1;
  };

  /// The requests that one TakeOffered() may still examine.
  struct Scan {
    const Offer& offer;
    int left = kMaxExamined;
    bool ended = false;
  };

  /// Returns the class after the first that has the next turn; empty if the
  /// turn is the first one's.
  std::optional<ClassKey> LaterClassTurn() const;
  std::optional<std::uint64_t> TakeFromClass(const ClassKey& key, Scan& scan);
  std::optional<std::uint64_t> TakeFromCustomer(const CustomerQueue& queue,
                                                Scan& scan);
  void OnTaken(std::uint64_t id);
  /// Returns the place of a request, queued or not, among its customer's.
  SortKey SortKeyOf(const FairEntry& entry) const;
  /// Returns how many requests come before `key`, or 0 if too many come after.
  static std::size_t CountBefore(const CustomerQueue& queue,
                                 const SortKey& key);

  FairShares own_shares_;
  FairShares& shares_;
  std::map<ClassKey, ClassQueue> classes_;  ///< Those with waiting requests.
  std::map<std::uint64_t, QueuePosition> entries_;
  std::uint64_t sequence_ = 0;
};

}  // namespace tanagerloom

#endif  // DECISION_FAIR_QUEUE_H_
