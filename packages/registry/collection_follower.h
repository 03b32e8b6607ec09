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
  Duration wait = std::chrono::milliseconds(1200);  ///< Of one watch.
  Duration pause = std::chrono::milliseconds(300);  ///< Between two watches.
  Duration retry = std::chrono::milliseconds(300);  ///< After a failed call.
};

/// What a follower reports to.
struct FollowSink {
  std::function<void(const CollectionList&)> on_list;
  std::function<void(const CollectionChanges&)> on_changes;
  std::function<void()> on_away;  ///< The first failed call of an outage.
  std::function<void()> on_back;  ///< Before the first success after it.
};

/// Follows one collection until Stop().
class CollectionFollower {
 public:
  CollectionFollower(ObjectCollection& store,
                     Clock& clock,
                     EventLog& log,
                     std::string collection,
                     FollowTiming timing,
                     FollowSink sink);

  /// Runs until Stop(); call it on a fiber.
  void Run();
  void Stop() { stopping_ = true; }

 private:
  /// Reads the whole collection; false if that failed.
  bool ReadAll();
  void WatchOnce();
  void OnFailure(const Error& error);
  void OnSuccess();

  ObjectCollection& store_;
  Clock& clock_;
  EventLog& log_;
  std::string collection_;
  FollowTiming timing_;
  FollowSink sink_;
  std::uint64_t revision_ = 0;
  bool listed_ = false;
  bool away_ = false;
  TimePoint away_since_{};
  bool stopping_ = false;
};

}  // namespace tanagerloom

#endif  // REGISTRY_COLLECTION_FOLLOWER_H_
