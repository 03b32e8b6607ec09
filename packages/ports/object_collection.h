// Defines ObjectCollection, the interface to collections of the platform's
// object store: lists of objects of one kind, and the changes in them.
#ifndef PORTS_OBJECT_COLLECTION_H_
#define PORTS_OBJECT_COLLECTION_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "runtime/clock.h"

namespace tanagerloom {

/// One object of a collection.
struct CollectionItem {
  std::string name;
  std::string value;  ///< The bytes that were written.
  std::uint64_t version = 0;
};

/// A snapshot of a collection at `revision`.
struct CollectionList {
  std::vector<CollectionItem> items;
  std::uint64_t revision = 0;
};

/// A written or removed object.
struct CollectionChange {
  CollectionItem item;
  bool removed = false;
};

/// The changes of a collection up to `revision`, in the order of their writes.
struct CollectionChanges {
  std::vector<CollectionChange> changes;
  std::uint64_t revision = 0;
};

/// Whether a list must be current or may be some seconds old, which costs less.
enum class Freshness { kCurrent, kMayBeStale };

/// A watch without an answer fails this long after the time for which it waits.
inline constexpr std::chrono::milliseconds kWatchAnswerTimeout{600};

/// Reads and watches collections of the object store.
class ObjectCollection {
 public:
  virtual ~ObjectCollection() = default;

  /// Reads all objects of a collection.
  virtual Result<CollectionList> ReadAll(std::string_view collection,
                                         Freshness freshness) = 0;

  /// Waits for changes after `revision`, at most for `wait`, and returns them.
  /// Fails with kHistoryGone if the store no longer has these changes, and
  /// after `wait` and kWatchAnswerTimeout if it does not answer.
  virtual Result<CollectionChanges> WatchAll(std::string_view collection,
                                             std::uint64_t revision,
                                             Duration wait) = 0;
};

}  // namespace tanagerloom

#endif  // PORTS_OBJECT_COLLECTION_H_
