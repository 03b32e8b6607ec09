// Defines FakeCollections, the collections of an object store in memory.
#ifndef TESTS_FAKES_FAKE_COLLECTIONS_H_
#define TESTS_FAKES_FAKE_COLLECTIONS_H_

#include <string>
#include <utility>
#include <vector>

#include "ports/object_collection.h"
#include "runtime/clock.h"

namespace tanagerloom {

/// Keeps all changes, so that its history is never gone. Every call succeeds.
class FakeCollections final : public ObjectCollection {
 public:
  explicit FakeCollections(Clock& clock) : clock_(clock) {}

  /// Writes an object unless it has this value already.
  void Set(const std::string& collection,
           const std::string& name,
           const std::string& value) {
    const auto* last = FindLast(collection, name);
    if (last == nullptr || last->removed || last->item.value != value) {
      Append(collection, {{name, value, 0}, false});
    }
  }

  void Erase(const std::string& collection, const std::string& name) {
    Append(collection, {{name, "", 0}, true});
  }

  Result<CollectionList> ReadAll(std::string_view collection,
                                 Freshness) override {
    CollectionList out;
    out.revision = changes_.size();
    for (const auto& [owner, change] : changes_) {
      const bool latest = FindLast(owner, change.item.name) == &change;
      if (owner == collection && latest && !change.removed) {
        out.items.push_back(change.item);
      }
    }
    return out;
  }

  Result<CollectionChanges> WatchAll(std::string_view collection,
                                     std::uint64_t revision,
                                     Duration wait) override {
    constexpr auto kPollInterval = std::chrono::milliseconds(50);
    const auto deadline = clock_.Now() + wait;
    while (true) {
      CollectionChanges out;
      out.revision = changes_.size();
      for (auto i = revision; i < changes_.size(); ++i) {
        if (changes_[i].first == collection) {
          out.changes.push_back(changes_[i].second);
        }
      }
      if (!out.changes.empty() || clock_.Now() >= deadline) {
        return out;
      }
      clock_.SleepFor(kPollInterval);
    }
  }

 private:
  const CollectionChange* FindLast(const std::string& collection,
                                   const std::string& name) const {
    for (auto it = changes_.rbegin(); it != changes_.rend(); ++it) {
      if (it->first == collection && it->second.item.name == name) {
        return &it->second;
      }
    }
    return nullptr;
  }

  void Append(const std::string& collection, CollectionChange change) {
    change.item.version = changes_.size() + 1;
    changes_.emplace_back(collection, std::move(change));
  }

  Clock& clock_;
  std::vector<std::pair<std::string, CollectionChange>> changes_;
};

}  // namespace tanagerloom

#endif  // TESTS_FAKES_FAKE_COLLECTIONS_H_
