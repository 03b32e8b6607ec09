// Defines QuotaPool, the quota coordinator's part of the quotas: it grants
// units to the nodes that have assigned their vote to it.
#ifndef FLEET_QUOTA_POOL_H_
#define FLEET_QUOTA_POOL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/quota_limits.h"
#include "ports/peer_message.h"
#include "runtime/clock.h"

namespace tanagerloom {

/// Grants units of all customers' quotas. Each node has one vote and assigns it
/// to one coordinator at a time. Units accrue in proportion to the votes, so
/// that coordinators which do not hear each other never grant more than the
/// quota together. Pass the time of a clock that runs while the VM is
/// suspended.
class QuotaPool {
 public:
  /// `forget_after` is how long the units of a node that falls silent count. It
  /// must not be shorter than the window of the quotas. `first_number` is that
  /// of the first grant; it must differ between processes, so that no vote for
  /// an earlier process counts.
  QuotaPool(std::string self, Duration forget_after, std::uint64_t first_number)
      : self_(std::move(self)),
        forget_after_(forget_after),
        last_number_(first_number) {}

  /// Takes over the limits of a configuration. New customers start without
  /// units, because another coordinator may have granted them.
  void SetLimits(const QuotaTable& limits);

  /// Takes over the number of nodes, this one included. A lower one takes
  /// effect later, since nodes that are no longer listed may still run.
  void SetNodeCount(std::size_t n, TimePoint now);

  /// Answers the report of a node, this one included. Returns nothing for a
  /// report that was overtaken by a newer one.
  std::optional<QuotaGrant> OnReport(const std::string& node,
                                     const std::string& incarnation,
                                     const QuotaReport& report,
                                     TimePoint now);

  /// A grant without units that asks a node to confirm its vote.
  struct Poll {
    std::string node;
    QuotaGrant grant;
  };

  /// Returns the poll that must be answered before this node's own requests get
  /// more units; nothing if none is due.
  std::optional<Poll> TakePoll(TimePoint now);

  /// Returns the part of all votes that this node has, from 0 to 1.
  double VoteShare(TimePoint now) const;

 private:
  struct SentGrant {
    std::uint64_t number = 0;
    TimePoint sent_at;
    std::vector<std::pair<std::uint64_t, double>> units;  ///< By customer.
  };

  /// Units at one node, as it reported, and of grants that are on their way.
  struct NodeUnits {
    double held = 0;
    double pending = 0;
    double unmet = 0;  ///< Asked for and not granted.
  };

  struct Node {
    std::string incarnation;
    std::uint64_t last_report = 0;
    TimePoint heard_at{};
    TimePoint vote_until{};
    std::deque<SentGrant> sent;  ///< Not acknowledged, oldest first.
    std::map<std::uint64_t, NodeUnits> units;
  };

  struct CustomerPool {
    QuotaLimits limits;
    double level = 0;       ///< Units that can be granted.
    double accrued_at = 0;  ///< Value of vote_seconds_ when last updated.
    NodeUnits at_nodes;     ///< Sums over all nodes.
  };

  /// Accrues the votes since the last call.
  void Advance(TimePoint now);
  void Refill(CustomerPool& customer) const;
  void TakeVote(Node& node, const QuotaReport& report, TimePoint now);
  /// Replaces what is known of a node's units by its report.
  void TakeUnits(Node& node, const QuotaReport& report, TimePoint now);
  void RemoveUnits(Node& node);
  void ForgetSilentNodes(TimePoint now);
  QuotaAllowance Allow(CustomerPool& customer,
                       NodeUnits& units,
                       const QuotaNeed& need) const;
  bool HasOtherVotes(TimePoint now) const;

  std::string self_;
  Duration forget_after_;
  std::uint64_t last_number_;
  std::map<std::string, Node> nodes_;
  std::map<std::uint64_t, CustomerPool> customers_;
  /// Integral of the vote share over time.
  double vote_seconds_ = 0;
  double share_ = 0;  ///< Vote share at `advanced_at_`.
  TimePoint advanced_at_{};
  /// Counts of nodes and when each was last seen, highest count first.
  std::deque<std::pair<std::size_t, TimePoint>> node_counts_;
  /// First grant that a voter must acknowledge before this node gets more units
  /// for itself. A coordinator that was frozen may have lost its votes without
  /// noticing; other nodes do not take its late grants, but it would its own.
  std::optional<std::uint64_t> unconfirmed_since_;
  bool poll_due_ = false;
};

}  // namespace tanagerloom

#endif  // FLEET_QUOTA_POOL_H_
