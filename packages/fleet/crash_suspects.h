// Defines CrashSuspects, which counts over all nodes how often a request was
// followed by the crash of the endpoint that ran it.
#ifndef FLEET_CRASH_SUSPECTS_H_
#define FLEET_CRASH_SUSPECTS_H_

#include <cstdint>
#include <map>
#include <string_view>

#include "runtime/clock.h"

namespace tanagerloom {

/// Crash counts by request fingerprint. Answers a request that crashes each
/// endpoint and comes again at any node: it is refused after the limit.
class CrashSuspects {
 public:
  /// Crashes after which a request is refused; fewer could be a coincidence
  /// with an endpoint that crashed for another reason.
  static constexpr std::uint32_t kCrashLimit = 3;
  /// A request that did not come again for this long is forgotten.
  static constexpr Duration kRetention = std::chrono::minutes(5);
  /// Fingerprints kept, so that memory stays bounded.
  static constexpr std::size_t kMaxFingerprints = 4096;

  /// Counts a crash. Returns the new count, to tell the other nodes.
  std::uint32_t OnCrash(std::uint64_t fingerprint, TimePoint now) {
    MakeRoom(now);
    auto& entry = entries_[fingerprint];
    entry.expires_at = now + kRetention;
    return ++entry.crashes;
  }

  /// Takes the count of another node.
  void OnNotice(std::uint64_t fingerprint,
                std::uint32_t crashes,
                TimePoint now) {
    MakeRoom(now);
    auto& entry = entries_[fingerprint];
    entry.crashes = entry.crashes < crashes ? crashes : entry.crashes;
    entry.expires_at = now + kRetention;
  }

  /// Whether the request is refused.
  bool IsQuarantined(std::uint64_t fingerprint) const {
    const auto it = entries_.find(fingerprint);
    return it != entries_.end() && it->second.crashes >= kCrashLimit;
  }

 private:
  struct Entry {
    std::uint32_t crashes = 0;
    TimePoint expires_at{};
  };

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
