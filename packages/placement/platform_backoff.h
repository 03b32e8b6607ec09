// Defines PlatformBackoff, which limits the rate of calls from a node to the
// platform's object store while these calls fail.
#ifndef PLACEMENT_PLATFORM_BACKOFF_H_
#define PLACEMENT_PLATFORM_BACKOFF_H_

#include <cstddef>
#include <cstdint>

#include "runtime/clock.h"

namespace tanagerloom {

/// Exponential backoff with jitter, shared by all cells of a node.
class PlatformBackoff {
 public:
  explicit PlatformBackoff(const Clock& clock) : clock_(clock) {}

  /// Returns the time until the next call is allowed; zero if it is allowed
  /// now.
  Duration TimeUntilAllowed() const;

  /// Ends the backoff.
  void RecordSuccess() { failures_ = 0; }

  /// Delays the next call. The delay starts at 100 ms, doubles with each
  /// failure and has jitter. Its maximum rises with the number of nodes
  /// (`nodes`), so that all nodes together make at most about 50 calls per
  /// second.
  void RecordFailure(std::size_t nodes);

  /// Number of failed calls since the last successful one.
  std::uint32_t failures() const { return failures_; }

 private:
  const Clock& clock_;
  std::uint32_t failures_ = 0;  ///< Consecutive failed calls.
  TimePoint next_call_time_{};
};

}  // namespace tanagerloom

#endif  // PLACEMENT_PLATFORM_BACKOFF_H_
