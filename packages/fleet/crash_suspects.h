// Defines CrashSuspects, which counts how many endpoint crashes followed each
// request, over all nodes. A request that crashes every endpoint it reaches is
// refused instead of taking down one endpoint after another.
#ifndef FLEET_CRASH_SUSPECTS_H_
#define FLEET_CRASH_SUSPECTS_H_

#include <cstdint>
#include <map>
#include <string_view>

#include "runtime/clock.h"

namespace tanagerloom {

/// Crash counts by request fingerprint. Nodes exchange the counts, so that a
/// request which crashes endpoints is refused at every node once it reaches
/// kCrashLimit.
class CrashSuspects {
 public:
  /// Crashes after which a request is refused. Fewer could be a coincidence
  /// with an endpoint that crashed for another reason.
  static constexpr std::uint32_t kCrashLimit = 3;
  /// How long a count is valid after the last crash or notice.
  static constexpr Duration kRetention = std::chrono::minutes(5);
  /// Maximum number of fingerprints kept, which bounds the memory used.
  static constexpr std::size_t kMaxFingerprints = 4096;

  /// Counts a crash that followed the request. Returns the new count, which the
  /// caller announces to the other nodes.
  std::uint32_t OnCrash(std::uint64_t fingerprint, TimePoint now) {
    MakeRoom(now);
    auto& entry = entries_[fingerprint];
    entry.expires_at = now + kRetention;
    return ++entry.crashes;
  }

  /// Merges the count of another node; the higher count wins.
  void OnNotice(std::uint64_t fingerprint,
                std::uint32_t crashes,
                TimePoint now) {
    MakeRoom(now);
    auto& entry = entries_[fingerprint];
    entry.crashes = entry.crashes < crashes ? crashes : entry.crashes;
    entry.expires_at = now + kRetention;
  }

  /// Returns whether the request has reached kCrashLimit and must be refused.
  bool IsQuarantined(std::uint64_t fingerprint) const {
    const auto it = entries_.find(fingerprint);
    return it != entries_.end() && it->second.crashes >= kCrashLimit;
  }

 private:
  struct Entry {
    std::uint32_t crashes = 0;
    TimePoint expires_at{};
  };

  /// Removes expired entries once the table is full, and others if needed.
  void MakeRoom(TimePoint now) {
    if (entries_.size() >= kMaxFingerprints) {
      std::erase_if(entries_, [&](const auto& it) {
        return it.second.expires_at <= now ||
               entries_.size() >= kMaxFingerprints;
      });
    }
  }

  std::map<std::uint64_t, Entry> entries_;
};

}  // namespace tanagerloom

#endif  // FLEET_CRASH_SUSPECTS_H_
