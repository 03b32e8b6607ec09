// Defines QuotaShare, one node's part of the quotas: what it may send to
// endpoints without asking, and what it reports to the quota coordinator.
#ifndef FLEET_QUOTA_SHARE_H_
#define FLEET_QUOTA_SHARE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "fleet/quota_limits.h"
#include "ports/peer_message.h"
#include "runtime/clock.h"

namespace tanagerloom {

/// Units of all customers' quotas at one node. Requests are charged to units
/// that the coordinator granted before. The coordinator may be this node; a
/// node that hears no other has itself as coordinator, with one vote. Pass the
/// time of a clock that runs while the VM is suspended.
class QuotaShare {
 public:
  /// `started_at` is the start of the process. A vote of an earlier process of
  /// this node may count for a while after it.
  explicit QuotaShare(TimePoint started_at) : started_at_(started_at) {}

  /// Takes over the limits of a configuration. Units beyond them are dropped.
  void SetLimits(const QuotaTable& limits);

  /// Takes over the number of nodes; with many, each reports less often.
  void SetNodeCount(std::size_t n) { node_count_ = n; }

  /// Returns whether the customer has a limit.
  bool IsLimited(std::uint64_t customer) const;

  /// Returns whether a request of this cost can ever be charged.
  bool FitsLimit(std::uint64_t customer, double cost) const;

  /// Counts a request that arrived, as demand.
  void OnRequest(std::uint64_t customer, double cost);

  /// Charges a request. Returns false if this node holds too few units.
  bool TryCharge(std::uint64_t customer, double cost, TimePoint now);
  /// A charged request is sent to an endpoint.
  void OnSent(std::uint64_t customer, double cost);
  /// The endpoint did not run the request, which may be sent again.
  void OnNotRun(std::uint64_t customer, double cost);
  /// Gives back the charge of a request that was not sent.
  void GiveBack(std::uint64_t customer, double cost);

  /// Counts a request that waits for a grant, until EndWait().
  void BeginWait(std::uint64_t customer, double cost);
  void EndWait(std::uint64_t customer, double cost);
  /// Returns whether any request waits for a grant.
  bool HasWaiting() const { return n_waiting_ > 0; }

  /// Returns whether a request may wait for a grant; if not, the coordinator
  /// has just said that there is no room.
  bool MayWaitForGrant(std::uint64_t customer, TimePoint now) const;
  /// Returns when the customer has room again, as the coordinator last said.
  TimePoint RoomAt(std::uint64_t customer) const;

  /// Chooses the coordinator. Before this node votes for another one, it takes
  /// its vote back, or waits until the vote has expired.
  void PreferCoordinator(const std::string& node, TimePoint now);

  /// Returns the receiver of reports; empty while there is none.
  const std::string& coordinator() const { return coordinator_; }

  /// Returns the report that is to be sent to coordinator() now; nothing if
  /// there is none.
  std::optional<QuotaReport> MakeReport(TimePoint now);

  /// Takes a grant. Late grants are ignored: the coordinator may have lost its
  /// votes since. `incarnation` names the sender's process.
  void OnGrant(const std::string& node,
               const std::string& incarnation,
               const QuotaGrant& grant,
               TimePoint now);

  /// Returns the time until the next report, from the last one.
  Duration ReportInterval() const;

  /// Silence of the coordinator after which another node should be it. It may
  /// be overloaded and still be seen by its peers.
  static constexpr Duration kMaxSilence = std::chrono::milliseconds(500);

  /// Returns whether the coordinator has left reports without an answer for
  /// kMaxSilence.
  bool IsUnanswered(TimePoint now) const;

  /// Time of the last report.
  TimePoint last_report_at() const { return last_report_at_; }

 private:
  struct Account {
    QuotaLimits limits;
    double held = 0;
    double pending = 0;    ///< Charged and not sent.
    double waiting = 0;    ///< Costs of requests that wait for a grant.
    double asked = 0;      ///< Costs of requests since the last report.
    double last_cost = 0;  ///< Of the latest request.
    /// Time without a request. No request is expected at first.
    double idle_s = std::numeric_limits<double>::max();
    double demand_per_s = 0;
    TimePoint room_at{};
    TimePoint ask_at{};
  };

  Account* Find(std::uint64_t customer);
  const Account* Find(std::uint64_t customer) const;
  /// Returns the interval between reports while no request needs a faster one.
  std::chrono::milliseconds RestInterval() const;
  /// Returns for how long a vote is valid.
  std::chrono::milliseconds VoteTime() const;
  /// Drops units that are no longer valid.
  void ExpireHeld(Account& account, TimePoint now) const;
  QuotaNeed TakeNeed(std::uint64_t id, Account& account, double elapsed_s);

  TimePoint started_at_;
  std::size_t node_count_ = 1;
  std::map<std::uint64_t, Account> accounts_;
  std::size_t n_waiting_ = 0;
  /// Number of reports since the last answer, and the time of the first.
  std::uint32_t n_unanswered_ = 0;
  TimePoint unanswered_since_{};
  /// A grant since the last report was large.
  bool got_large_grant_ = false;
  TimePoint held_until_{};

  std::string coordinator_;
  std::string preferred_;
  std::string coordinator_incarnation_;
  /// This node's vote is assigned to `coordinator_` until then.
  TimePoint promised_until_{};
  std::uint64_t last_number_ = 0;  ///< Of the last report.
  std::uint64_t last_grant_ = 0;   ///< Number of the last grant.
  TimePoint last_report_at_{};
  /// Numbers and sending times of recent reports.
  std::deque<std::pair<std::uint64_t, TimePoint>> sent_;
  /// The report that takes the vote back, if it was sent.
  std::optional<std::uint64_t> withdrawal_;
};

}  // namespace tanagerloom

#endif  // FLEET_QUOTA_SHARE_H_
