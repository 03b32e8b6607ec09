// Defines ClaimStore, which keeps claims in the object store. Writes are
// grouped: all changes of a range that arrive while a write is in flight go
// into the next write.
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

/// Reads and changes the stored claims. Functions suspend the calling fiber.
class ClaimStore {
 public:
  explicit ClaimStore(const RoutingDependencies& deps);

  /// Starts the fiber that removes expired claims.
  void Start();

  /// Takes a claim for `record` unless another request has it. Returns the
  /// stored record: `record` itself or that of the other request. On an error
  /// this call did not take the claim, or it releases the claim again.
  Result<ClaimRecord> Take(const std::string& claim,
                           const ClaimRecord& record,
                           TimePoint deadline);

  /// Stores the outcome of a claim of this node, or of one whose node failed.
  /// Waits until it is stored, at most until `deadline`; after that it is still
  /// retried in the background, up to a fixed limit. Returns whether the change
  /// was applied before `deadline`.
  bool StoreOutcome(const std::string& claim,
                    const ClaimRecord& record,
                    TimePoint deadline);

  /// Removes a claim of this node whose call did not run. Returns at once; the
  /// change is stored in the background.
  void Release(const std::string& claim, const ClaimRecord& record);

  /// Reads a claim; empty if there is none.
  Result<std::optional<ClaimRecord>> Read(const std::string& claim);

  /// Number of changes that wait to be stored.
  std::size_t pending() const { return pending_; }

 private:
  /// A change that waits to be stored. Shared between the waiting request and
  /// the writer, either of which may end first.
  struct Pending {
    ClaimChange change;
    TimePoint deadline;  ///< The change is discarded after this time.
    bool done = false;
    bool abandoned = false;  ///< The caller of Take() no longer waits.
    std::optional<ClaimRecord> current;  ///< The stored record, once done.
    EventFlag changed;                   ///< Signalled when `done` is set.
  };
  using PendingPtr = std::shared_ptr<Pending>;

  /// The state of one range at this node.
  struct Range {
    std::deque<PendingPtr> pending;
    /// As last read or written; empty if it has to be read.
    std::optional<ClaimRange> content;
    std::uint64_t version = 0;  ///< Object version of `content`.
    bool writing = false;       ///< A WriteLoop fiber runs for the range.
    TimePoint used_at;
  };

  /// Queues a change for the range of its claim.
  PendingPtr Add(ClaimChange change, TimePoint deadline);
  /// Queues a change for a range and starts its writer if none runs.
  void AddTo(const std::string& name, PendingPtr pending);
  /// Name of the range that has a claim, as far as this node knows the splits.
  std::string RangeOf(const std::string& claim) const;

  /// Body of the fiber that writes a range until no change is pending.
  void WriteLoop(const std::string& name);
  /// Discards pending changes that were abandoned or whose deadline passed.
  void RemoveExpired(Range& range);
  /// Writes the pending changes once. Returns false if the write failed and has
  /// to be retried after a pause.
  bool WriteOnce(const std::string& name, Range& range);
  /// Reads a range's content unless it is cached.
  Result<void> Load(const std::string& name, Range& range);
  /// Writes a range if its version is unchanged. On an error the cached content
  /// is discarded.
  Result<void> Store(const std::string& name,
                     Range& range,
                     const ClaimRange& content,
                     const std::string& text);
  /// Moves a range's claims to the ranges with one more digit. Returns false if
  /// it failed; the range then stays whole.
  bool Split(const std::string& name, Range& range);
  /// Queues the pending changes of a split range again for its children.
  void MoveToChildren(const std::string& name, Range& range);
  /// Completes a change that was written.
  void Finish(const PendingPtr& pending, const ClaimRange& content);
  /// Removes the least recently used ranges from memory beyond the limit.
  void EvictIdleRanges();
  /// Body of the fiber that calls Sweep() periodically.
  void SweepLoop();
  /// Removes expired claims from all ranges.
  void Sweep();

  const RoutingDependencies& deps_;
  std::map<std::string, Range> ranges_;  ///< Ranges in use, by their digits.
  std::set<std::string> split_;          ///< Ranges that are known to be split.
  std::size_t pending_ = 0;              ///< Pending changes in all ranges.
};

}  // namespace tanagerloom

#endif  // ROUTING_CLAIM_STORE_H_
