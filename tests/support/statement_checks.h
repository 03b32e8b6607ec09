// Defines StatementChecks, which checks in a fault soak that nodes heed what
// endpoints say of themselves in responses.
#ifndef TESTS_SUPPORT_STATEMENT_CHECKS_H_
#define TESTS_SUPPORT_STATEMENT_CHECKS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "tests/support/soak_calls.h"

namespace tanagerloom::testing_support {

/// One start of an endpoint.
struct EndpointStart {
  std::string id;
  std::uint64_t started_ms = 0;

  auto operator<=>(const EndpointStart&) const = default;
};

/// Records what endpoints said to nodes and which requests reached them later.
/// Times are in milliseconds since the start of the run.
class StatementChecks {
 public:
  /// A client sends a request to a node.
  void OnSent(const std::string& attempt,
              const std::string& node,
              std::int64_t at_ms) {
    sent_[attempt] = {node, at_ms};
  }

  /// A request reaches an endpoint, which runs or refuses it.
  void OnArrival(const EndpointStart& endpoint,
                 const std::string& attempt,
                 std::int64_t at_ms) {
    const auto it = sent_.find(attempt);
    if (it != sent_.end()) {
      arrivals_.push_back(
          {endpoint, it->second.node, it->second.sent_ms, at_ms});
    }
  }

  /// An endpoint refuses a request and asks for a pause.
  void OnPause(const EndpointStart& endpoint,
               const std::string& attempt,
               std::int64_t at_ms,
               std::int64_t pause_ms) {
    pauses_.push_back({endpoint, sent_[attempt].node, at_ms, at_ms + pause_ms});
  }

  /// An endpoint says in its answer to a request that it leaves.
  void OnLeaving(const EndpointStart& endpoint, const std::string& attempt) {
    leaving_answers_[attempt] = endpoint;
  }

  /// A client has received the whole answer to a request.
  void OnAnswered(const std::string& attempt, std::int64_t at_ms) {
    const auto it = leaving_answers_.find(attempt);
    if (it != leaving_answers_.end()) {
      leaving_.push_back({it->second, sent_[attempt].node, at_ms, 0});
    }
  }

  /// A node was stopped, started, killed or suspended, or a link of it broke.
  void OnNodeFault(const std::string& node,
                   std::int64_t from_ms,
                   std::int64_t to_ms) {
    faults_.push_back({node, from_ms, to_ms});
  }

  /// Returns one line for each broken guarantee; empty if all hold.
  std::string Violations() const {
    std::string out;
    for (const auto& it : pauses_) {
      int n = 0;
      for (const auto& arrival : arrivals_) {
        n += Concerns(it, arrival) && arrival.at_ms > it.from_ms + kSettleMs &&
                     arrival.at_ms < it.until_ms
                 ? 1
                 : 0;
      }
      if (n > kMaxArrivalsInPause &&
          !IsDisturbed(it.node, it.from_ms, it.until_ms)) {
        out += std::to_string(n) + " requests within a pause of " +
               Describe(it) + "\n";
      }
    }
    for (const auto& it : leaving_) {
      for (const auto& arrival : arrivals_) {
        if (Concerns(it, arrival) &&
            arrival.sent_ms > it.from_ms + kMaxDrainDelayMs &&
            !IsDisturbed(it.node, it.from_ms, arrival.at_ms)) {
          out += "a request sent at " + std::to_string(arrival.sent_ms) +
                 " ms reached an endpoint that leaves: " + Describe(it) + "\n";
          break;
        }
      }
    }
    return out;
  }

  std::size_t pauses() const { return pauses_.size(); }
  std::size_t leaving_answers() const { return leaving_.size(); }

 private:
  // The limits that the platform sets.
  static constexpr std::int64_t kSettleMs = 500;
  static constexpr int kMaxArrivalsInPause = 2;
  static constexpr std::int64_t kMaxDrainDelayMs = 2000;

  struct Sent {
    std::string node;
    std::int64_t sent_ms = 0;
  };
  struct Arrival {
    EndpointStart endpoint;
    std::string node;
    std::int64_t sent_ms = 0;
    std::int64_t at_ms = 0;
  };
  struct Statement {
    EndpointStart endpoint;
    std::string node;
    std::int64_t from_ms = 0;
    std::int64_t until_ms = 0;  ///< Of a pause.
  };

  static bool Concerns(const Statement& statement, const Arrival& arrival) {
    return arrival.endpoint == statement.endpoint &&
           arrival.node == statement.node;
  }

  static std::string Describe(const Statement& it) {
    return it.endpoint.id + " told " + it.node + " at " +
           std::to_string(it.from_ms) + " ms";
  }

  bool IsDisturbed(const std::string& node,
                   std::int64_t from_ms,
                   std::int64_t to_ms) const {
    for (const auto& it : faults_) {
      if (it.node == node && it.from_ms <= to_ms && it.to_ms >= from_ms) {
        return true;
      }
    }
    return false;
  }

  std::map<std::string, Sent> sent_;
  std::map<std::string, EndpointStart> leaving_answers_;
  std::vector<Arrival> arrivals_;
  std::vector<Statement> pauses_;
  std::vector<Statement> leaving_;
  std::vector<SoakFault> faults_;
};

}  // namespace tanagerloom::testing_support

#endif  // TESTS_SUPPORT_STATEMENT_CHECKS_H_
