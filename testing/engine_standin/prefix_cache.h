// Defines PrefixCache: which prompt prefixes the engine stand-in has computed,
// and the cache events that it publishes, which arrive late and with gaps.
#ifndef TESTING_ENGINE_STANDIN_PREFIX_CACHE_H_
#define TESTING_ENGINE_STANDIN_PREFIX_CACHE_H_

#include <cstdint>
#include <list>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "testing/support/flags.h"

namespace tanagerloom::testing_support {

/// An LRU cache of prompt blocks. A block is identified by the model and the
/// whole prompt up to the end of the block.
class PrefixCache {
 public:
  explicit PrefixCache(const Flags& flags);

  /// Adds the blocks of a prompt or marks them as used. Returns the number of
  /// blocks to compute: those that were not cached, and one for the rest of the
  /// prompt.
  int AddPrompt(const std::string& model, const std::string& prompt);

  /// Returns the body of GET /control/cache-events: the events with a sequence
  /// number above `after` that are old enough and not omitted.
  nlohmann::json PublishedEvents(std::uint64_t after) const;

  /// Drops all blocks without events, as a restart of the engine does.
  void Clear() { blocks_.clear(); }

 private:
  struct Event {
    std::int64_t at_ms;  ///< Steady clock.
    std::string kind;    ///< "stored" or "evicted".
    std::string model;
    std::uint64_t block;  ///< Hash of the prompt up to the end of the block.
  };

  std::size_t capacity_blocks_;
  std::int64_t lag_ms_;         ///< Age at which an event is published.
  std::uint64_t gap_interval_;  ///< Every n-th event is omitted; 0: none.
  /// Block hash and model, most recently used first.
  std::list<std::pair<std::uint64_t, std::string>> blocks_;
  std::vector<Event> events_;  ///< Event number n has index n - 1.
};

}  // namespace tanagerloom::testing_support

#endif  // TESTING_ENGINE_STANDIN_PREFIX_CACHE_H_
