#include "placement/platform_backoff.h"

#include <algorithm>
#include <chrono>

#include "base/id.h"

namespace tanagerloom {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInitialDelay{100};
constexpr milliseconds kMaxDelay{3000};
// One call per 20 ms of delay and node is 50 calls per second in total.
constexpr milliseconds kDelayPerNode{20};

}  // namespace

Duration PlatformBackoff::TimeUntilAllowed() const {
  return failures_ == 0
             ? Duration::zero()
             : std::max(next_call_time_ - clock_.Now(), Duration::zero());
}

void PlatformBackoff::RecordFailure(std::size_t nodes) {
  const auto max_delay =
      std::max(kMaxDelay, kDelayPerNode * static_cast<int>(nodes));
  const auto delay = std::min<milliseconds>(
      kInitialDelay * (1U << std::min(failures_, 16U)), max_delay);
  ++failures_;
  next_call_time_ = clock_.Now() + std::chrono::duration_cast<Duration>(
                                       delay * (0.5 + RandomUnit() / 2));
}

}  // namespace tanagerloom
