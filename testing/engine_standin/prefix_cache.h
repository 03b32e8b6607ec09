// Defines PrefixCache: which prompt prefixes the engine stand-in has computed,
// and its cache events, which are published late and with gaps.
#ifndef TESTING_ENGINE_STANDIN_PREFIX_CACHE_H_
#define TESTING_ENGINE_STANDIN_PREFIX_CACHE_H_

#include <cstdint>
#include <list>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "testing/support/flags.h"

namespace tanagerloom::testing_support {

/// An LRU cache of prompt blocks.
class PrefixCache {
 public:
  explicit PrefixCache(const Flags& flags);

  /// Takes up the prompt's blocks; returns how many had to be computed.
  int AddPrompt(const std::string& model, const std::string& prompt);

  /// Published events with a number above `after`.
  nlohmann::json PublishedEvents(std::uint64_t after) const;

  void Clear() { blocks_.clear(); }

 private:
  struct Event {
    std::int64_t at_ms;
    std::string kind;
    std::string model;
    std::uint64_t block;
  };

  std::size_t capacity_blocks_;
  std::int64_t lag_ms_;
  std::uint64_t gap_interval_;
  std::list<std::pair<std::uint64_t, std::string>> blocks_;  ///< Latest first.
  std::vector<Event> events_;
};

}  // namespace tanagerloom::testing_support

#endif  // TESTING_ENGINE_STANDIN_PREFIX_CACHE_H_
