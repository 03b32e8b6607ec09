// Defines the port to collections of the platform's store: lists of objects of
// one kind, and what changes in them.
#ifndef PORTS_OBJECT_COLLECTION_H_
#define PORTS_OBJECT_COLLECTION_H_

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
  std::string value;  ///< As its writer wrote it.
  std::uint64_t version = 0;
};

/// A whole collection as of `revision`.
struct CollectionList {
  std::vector<CollectionItem> items;
  std::uint64_t revision = 0;
};

/// One changed object.
struct CollectionChange {
  CollectionItem item;
  bool removed = false;
};

/// What changed up to `revision`, in order.
struct CollectionChanges {
  std::vector<CollectionChange> changes;
  std::uint64_t revision = 0;
};

/// Whether a list may be some seconds old, which costs less.
enum class Freshness { kCurrent, kMayBeStale };

/// Collections of the platform's store.
class ObjectCollection {
 public:
  virtual ~ObjectCollection() = default;

  /// Reads a whole collection.
  virtual Result<CollectionList> ReadAll(std::string_view collection,
                                         Freshness freshness) = 0;

  /// Waits until something changes after `revision`, at most `wait`. Fails with
  /// kHistoryGone if the changes are no longer kept.
  virtual Result<CollectionChanges> WatchAll(std::string_view collection,
                                             std::uint64_t revision,
                                             Duration wait) = 0;
};

}  // namespace tanagerloom

#endif  // PORTS_OBJECT_COLLECTION_H_
