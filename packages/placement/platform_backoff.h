// Defines PlatformBackoff, which limits the calls of a node to the platform's
// object API while they fail.
#ifndef PLACEMENT_PLATFORM_BACKOFF_H_
#define PLACEMENT_PLATFORM_BACKOFF_H_

#include <cstddef>
#include <cstdint>

#include "runtime/clock.h"

namespace tanagerloom {

/// One back-off for all cells of a node.
class PlatformBackoff {
 public:
  explicit PlatformBackoff(const Clock& clock) : clock_(clock) {}

  /// Time until the next call is allowed; zero if it is now.
  Duration TimeUntilAllowed() const;

  void RecordSuccess() { failures_ = 0; }

  /// Delays the next call, doubling from 100 ms, with jitter. The longest delay
  /// rises with the number of nodes, so that all of them together make at most
  /// about 50 calls a second.
  void RecordFailure(std::size_t nodes);

  std::uint32_t failures() const { return failures_; }

 private:
  const Clock& clock_;
  std::uint32_t failures_ = 0;  ///< In a row.
  TimePoint next_call_time_{};
};

}  // namespace tanagerloom

#endif  // PLACEMENT_PLATFORM_BACKOFF_H_
