// Defines WaitingList, which decides for the requests that wait for one target
// which of them gets a place and which of them can no longer be served.
#ifndef FORWARDING_WAITING_LIST_H_
#define FORWARDING_WAITING_LIST_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "decision/fair_queue.h"
#include "forwarding/place_rate.h"
#include "runtime/clock.h"

namespace tanagerloom {

/// What the order of waiting requests depends on.
struct WaitingEntry {
  std::uint64_t id = 0;
  std::uint32_t priority = 0;  ///< 0 is the highest.
  std::string customer;        ///< Name; empty without customers.
  double cost = 1;             ///< Counts toward the customer's share.
  /// Time until which the request may wait.
  TimePoint latest_start{};
};

/// Why a request is not served in time.
struct WaitTooLong {
  std::size_t ahead = 0;      ///< Waiting requests that are served before it.
  Duration place_interval{};  ///< Observed mean time between free places.
  Duration expected_wait{};
  /// Time after which a request of this class and customer would be served.
  Duration retry_after{};
};

/// The waiting requests of one target: a service, and a model or an adapter of
/// it. Does no I/O; the time is passed in.
class WaitingList {
 public:
  /// Lists of one service share the shares of its customers.
  explicit WaitingList(FairShares& shares) : shares_(shares), queue_(shares) {}

  /// Adds a request. Its turn comes with the next Serve().
  void Add(const WaitingEntry& entry);

  /// Removes a request that no longer waits.
  void Remove(std::uint64_t id);

  /// Offers places to the requests in their order until none is left. Returns
  /// those that took one; they no longer wait. A request that skips a place is
  /// set aside until ReturnSkipped().
  std::vector<std::uint64_t> Serve(const FairQueue::Offer& offer,
                                   TimePoint now);

  /// Leaves the next place to another node if it is the turn of a request that
  /// waits there. `has_place` tells whether a request could have a place now.
  bool LeavesPlace(const FairQueue::Eligible& has_place, TimePoint now);

  /// A request of `priority` waits for the same target at another node. Until
  /// `until`, this list takes only the turns of later classes if it has just
  /// these and is short of places itself.
  void OnWaitingElsewhere(std::uint32_t priority, TimePoint until) {
    elsewhere_ = {priority, until};
  }

  /// Returns the requests that wait for nothing but a place.
  std::vector<const WaitingEntry*> ShortOfPlaces() const;

  /// Gives the requests that skipped a place their turn again.
  void ReturnSkipped();

  /// Returns the requests that may not wait until `time`.
  std::vector<std::uint64_t> EndingBefore(TimePoint time) const;

  /// The number of endpoints of the target. A growing one makes the observed
  /// rate worthless.
  void OnEndpoints(std::size_t n);

  /// Returns why a waiting request surely is not served in time; nothing if it
  /// may be, or if too little is known.
  std::optional<WaitTooLong> Review(std::uint64_t id, TimePoint now) const;

  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }
  const std::map<std::uint64_t, WaitingEntry>& entries() const {
    return entries_;
  }

 private:
  void Push(const WaitingEntry& entry);
  void SetAside(std::span<const std::uint64_t> ids);
  /// Returns whether all requests come after one that waits elsewhere.
  bool ComesAfterOthers(TimePoint now) const;

  /// The first class that waits for the same target at other nodes.
  struct Elsewhere {
    std::uint32_t priority = 0;
    TimePoint until{};
  };

  FairShares& shares_;
  FairQueue queue_;
  std::map<std::uint64_t, WaitingEntry> entries_;
  std::set<std::uint64_t> skipped_;
  /// Whether the last Serve() ended at its limit on offers.
  bool stopped_early_ = false;
  std::set<std::pair<TimePoint, std::uint64_t>> by_latest_start_;
  PlaceRate places_;
  std::size_t endpoints_ = 0;
  Elsewhere elsewhere_;
};

}  // namespace tanagerloom

#endif  // FORWARDING_WAITING_LIST_H_
