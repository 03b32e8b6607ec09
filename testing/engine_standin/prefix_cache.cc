#include "testing/engine_standin/prefix_cache.h"

#include <algorithm>

#include "base/id.h"
#include "testing/support/standin.h"

namespace tanagerloom::testing_support {

namespace {

constexpr std::size_t kBlockBytes = 64;

}  // namespace

PrefixCache::PrefixCache(const Flags& flags)
    : capacity_blocks_(
          static_cast<std::size_t>(flags.Number("prefix-blocks", 4096))),
      lag_ms_(flags.Milliseconds("cache-event-lag-ms", 200).count()),
      gap_interval_(
          static_cast<std::uint64_t>(flags.Number("cache-event-gap", 10))) {}

int PrefixCache::AddPrompt(const std::string& model,
                           const std::string& prompt) {
  int computed = 0;
  for (std::size_t end = kBlockBytes; end <= prompt.size();
       end += kBlockBytes) {
    const auto block = StableHash(model + "\n" + prompt.substr(0, end));
    const auto it =
        std::find_if(blocks_.begin(), blocks_.end(),
                     [&](const auto& entry) { return entry.first == block; });
    if (it != blocks_.end()) {
      blocks_.splice(blocks_.begin(), blocks_, it);
      continue;
    }
    ++computed;
    blocks_.emplace_front(block, model);
    events_.push_back({NowMs(), "stored", model, block});
    if (blocks_.size() > capacity_blocks_) {
      events_.push_back(
          {NowMs(), "evicted", blocks_.back().second, blocks_.back().first});
      blocks_.pop_back();
    }
  }
  return computed + 1;
}

nlohmann::json PrefixCache::PublishedEvents(std::uint64_t after) const {
  auto list = nlohmann::json::array();
  const auto latest = NowMs() - lag_ms_;
  for (std::uint64_t n = after + 1; n <= events_.size(); ++n) {
    const auto& event = events_[n - 1];
    const bool omitted = gap_interval_ > 0 && n % gap_interval_ == 0;
    if (event.at_ms <= latest && !omitted) {
      list.push_back({{"sequence", n},
                      {"kind", event.kind},
                      {"model", event.model},
                      {"block", event.block}});
    }
  }
  return {{"events", std::move(list)}};
}

}  // namespace tanagerloom::testing_support
