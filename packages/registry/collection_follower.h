// Defines CollectionFollower, which tracks one collection of the platform's
// object store: it reads the whole collection once and then watches its
// changes.
#ifndef REGISTRY_COLLECTION_FOLLOWER_H_
#define REGISTRY_COLLECTION_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "ports/object_collection.h"
#include "runtime/clock.h"

namespace tanagerloom {

class EventLog;
class StoreEra;

/// Timing of the calls to the store. Every call has a cost, and a connection
/// may go silent without an error.
struct FollowTiming {
  /// Maximum duration of one watch call.
  Duration watch_timeout = std::chrono::milliseconds(1200);
  /// Pause after a watch that returned changes.
  Duration watch_interval = std::chrono::milliseconds(300);
  /// Min time between a failed call and the next one. A call that took longer
  /// is followed by the next one at once.
  Duration retry_interval = std::chrono::milliseconds(300);
};

/// Callbacks of a follower.
struct FollowHandlers {
  std::function<void(const CollectionList&)> on_list;
  std::function<void(const CollectionChanges&)> on_changes;
  /// Called on the first failed call of an outage.
  std::function<void()> on_unavailable;
  /// Called on the first success after it.
  std::function<void()> on_available;
};

/// Follows one collection until Stop(), also through outages of the store. A
/// new era of the store counts as an outage: revisions of the old era mean
/// nothing in it, and the list may lack what was written last.
class CollectionFollower {
 public:
  CollectionFollower(ObjectCollection& collections,
                     const StoreEra& era,
                     Clock& clock,
                     EventLog& log,
                     std::string collection,
                     FollowTiming timing,
                     FollowHandlers handlers);

  /// Runs until Stop(). Call it on a fiber.
  void Run();
  void Stop() { stopping_ = true; }

 private:
  /// Reads the whole collection.
  void ReadAll();
  /// Waits for changes once. A whole read follows if the history is gone.
  void WatchOnce();
  /// Reports an outage and discards the revision.
  void OnNewEra();
  void OnFailure(const Error& error);
  void OnSuccess();
  /// Waits until the next call may follow a failed one that was made at
  /// `called_at`.
  void AwaitRetry(TimePoint called_at);

  ObjectCollection& collections_;
  const StoreEra& era_;
  Clock& clock_;
  EventLog& log_;
  std::string collection_;
  FollowTiming timing_;
  FollowHandlers handlers_;
  std::uint64_t revision_ = 0;
  bool has_list_ = false;       ///< revision_ is valid to watch from.
  std::uint32_t list_era_ = 0;  ///< The era of the store in which it is.
  bool unavailable_ = false;
  TimePoint outage_started_at_{};
  bool stopping_ = false;
};

}  // namespace tanagerloom

#endif  // REGISTRY_COLLECTION_FOLLOWER_H_
