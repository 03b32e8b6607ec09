// Defines ClaimStore, which keeps claims in the object API. All changes of a
// range that come up while a write is in flight go into the next one write.
#ifndef ROUTING_CLAIM_STORE_H_
#define ROUTING_CLAIM_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>

#include "base/error.h"
#include "routing/claim_range.h"
#include "routing/routing_dependencies.h"
#include "runtime/event_flag.h"

namespace tanagerloom {

/// The stored claims.
class ClaimStore {
 public:
  explicit ClaimStore(const RoutingDependencies& deps);

  /// Starts the removal of expired claims.
  void Start();

  /// Takes a claim for `record`. Returns the record that holds it: the own one
  /// or an earlier one. An error means that the claim was not taken by this
  /// call, or is released again.
  Result<ClaimRecord> Take(const std::string& claim,
                           const ClaimRecord& record,
                           TimePoint deadline);

  /// Stores the outcome of an own claim, or of one whose node died. Waits until
  /// it is stored, at most until `deadline`; it is tried further after that.
  bool StoreOutcome(const std::string& claim,
                    const ClaimRecord& record,
                    TimePoint deadline);

  /// Gives up an own claim whose call did not run.
  void Release(const std::string& claim, const ClaimRecord& record);

  /// Reads a claim; empty if it is free.
  Result<std::optional<ClaimRecord>> Read(const std::string& claim);

  /// Changes that wait to be stored.
  std::size_t pending() const { return pending_; }

 private:
  struct Pending {
    ClaimChange change;
    TimePoint deadline;
    bool done = false;
    bool abandoned = false;  ///< A Take whose caller no longer waits.
    std::optional<ClaimRecord> current;
    EventFlag changed;
  };
  // Shared between the waiting request and the writer, either of which may end
  // first.
  using PendingPtr = std::shared_ptr<Pending>;

  struct Range {
    std::deque<PendingPtr> pending;
    std::optional<ClaimRange> content;  ///< As last read or written.
    std::uint64_t version = 0;
    bool writing = false;
    TimePoint used_at;
  };

  PendingPtr Add(ClaimChange change, TimePoint deadline);
  void AddTo(const std::string& name, PendingPtr pending);
  std::string RangeOf(const std::string& claim) const;

  /// Body of the fiber that writes a range while changes are pending.
  void WriteLoop(const std::string& name);
  void RemoveExpired(Range& range);
  /// Writes the pending changes once; false if it failed.
  bool WriteOnce(const std::string& name, Range& range);
  Result<void> Load(const std::string& name, Range& range);
  Result<void> Store(const std::string& name,
                     Range& range,
                     const ClaimRange& content,
                     const std::string& text);
  /// Moves a range's claims to the ranges with one more digit.
  bool Split(const std::string& name, Range& range);
  void MoveToChildren(const std::string& name, Range& range);
  void Finish(const PendingPtr& pending, const ClaimRange& content);
  void EvictIdleRanges();
  void SweepLoop();
  void Sweep();

  const RoutingDependencies& deps_;
  std::map<std::string, Range> ranges_;  ///< By digits.
  std::set<std::string> split_;
  std::size_t pending_ = 0;
};

}  // namespace tanagerloom

#endif  // ROUTING_CLAIM_STORE_H_
