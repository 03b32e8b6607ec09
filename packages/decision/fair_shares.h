// Defines FairShares, which remembers how much each customer of a class was
// served, so that several queues together serve customers in equal parts.
#ifndef DECISION_FAIR_SHARES_H_
#define DECISION_FAIR_SHARES_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace tanagerloom {

/// Identifies a class of requests. Classes are served in ascending order.
struct ClassKey {
  bool deferred = false;  ///< Deferred classes come after all others.
  std::uint32_t rank = 0;

  auto operator<=>(const ClassKey&) const = default;
};

/// The service that customers received, as virtual times (start-time fair
/// queueing): a customer's time rises by the cost of each request served, and
/// the customer with the lowest time is served next.
class FairShares {
 public:
  /// Returns the virtual time of a customer that begins to wait. It accumulates
  /// no turns while it does not wait.
  double BeginWait(const ClassKey& key, const std::string& customer);

  /// Returns the virtual time of a waiting customer.
  double TimeOf(const ClassKey& key, const std::string& customer) const;

  /// Counts a request served in its turn.
  void OnServed(const ClassKey& key, const std::string& customer, double cost);

  /// Counts service that other nodes gave to a customer.
  void OnServedElsewhere(const ClassKey& key,
                         const std::string& customer,
                         double cost);

  /// Returns the cost of the requests served since the last call, by class and
  /// customer.
  std::map<ClassKey, std::map<std::string, double>> TakeServed() {
    return std::exchange(served_, {});
  }

  /// Counts a turn of the first waiting class, or of one after it while the
  /// first one waits.
  void OnFirstClassTurn() { ++first_class_turns_; }
  void OnLaterClassTurn() { first_class_turns_ = 0; }
  /// Number of turns of first classes since the last one of a later class.
  std::uint32_t first_class_turns() const { return first_class_turns_; }

  /// Returns a number that is the lower the longer a class had no turn.
  std::uint64_t LastTurnOf(const ClassKey& key) const;

 private:
  struct Class {
    double time = 0;  ///< Highest virtual time at which a request was served.
    std::uint64_t last_turn = 0;
    std::map<std::string, double> customers;  ///< Their virtual times.
  };

  std::map<ClassKey, Class> classes_;
  std::map<ClassKey, std::map<std::string, double>> served_;
  std::uint64_t turns_ = 0;
  std::uint32_t first_class_turns_ = 0;
};

}  // namespace tanagerloom

#endif  // DECISION_FAIR_SHARES_H_
