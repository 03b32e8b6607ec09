// Defines CollectionFollower, which keeps up with one collection of the
// platform's store: it reads the collection once and then follows its changes.
#ifndef REGISTRY_COLLECTION_FOLLOWER_H_
#define REGISTRY_COLLECTION_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "ports/object_collection.h"
#include "runtime/clock.h"

namespace tanagerloom {

class EventLog;

/// Times of a follower. Every call to the store has a price, and a connection
/// may go silent without a sign.
struct FollowTiming {
  Duration watch_timeout = std::chrono::milliseconds(1200);  ///< Of one watch.
  Duration watch_interval =
      std::chrono::milliseconds(300);  ///< Between two watches.
  Duration retry_delay =
      std::chrono::milliseconds(300);  ///< After a failed call.
};

/// What a follower reports to.
struct FollowHandlers {
  std::function<void(const CollectionList&)> on_list;
  std::function<void(const CollectionChanges&)> on_changes;
  std::function<void()>
      on_unavailable;                  ///< The first failed call of an outage.
  std::function<void()> on_available;  ///< Before the first success after it.
};

/// Follows one collection until Stop().
class CollectionFollower {
 public:
  CollectionFollower(ObjectCollection& collections,
                     Clock& clock,
                     EventLog& log,
                     std::string collection,
                     FollowTiming timing,
                     FollowHandlers handlers);

  /// Runs until Stop(); call it on a fiber.
  void Run();
  void Stop() { stopping_ = true; }

 private:
  /// Reads the whole collection; false if that failed.
  bool ReadAll();
  void WatchOnce();
  void OnFailure(const Error& error);
  void OnSuccess();

  ObjectCollection& collections_;
  Clock& clock_;
  EventLog& log_;
  std::string collection_;
  FollowTiming timing_;
  FollowHandlers handlers_;
  std::uint64_t revision_ = 0;
  bool has_list_ = false;
  bool unavailable_ = false;
  TimePoint outage_started_at_{};
  bool stopping_ = false;
};

}  // namespace tanagerloom

#endif  // REGISTRY_COLLECTION_FOLLOWER_H_
