#include "placement/platform_backoff.h"

#include <algorithm>
#include <chrono>

#include "base/id.h"

namespace tanagerloom {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirstDelay{100};
constexpr milliseconds kLongestDelay{3000};
constexpr milliseconds kDelayPerNode{20};

}  // namespace

Duration PlatformBackoff::UntilAllowed() const {
  return failures_ == 0 ? Duration::zero()
                        : std::max(next_ - clock_.Now(), Duration::zero());
}

void PlatformBackoff::NoteFailure(std::size_t nodes) {
  const auto longest =
      std::max(kLongestDelay, kDelayPerNode * static_cast<int>(nodes));
  const auto delay = std::min<milliseconds>(
      kFirstDelay * (1U << std::min(failures_, 16U)), longest);
  ++failures_;
  next_ = clock_.Now() + std::chrono::duration_cast<Duration>(
                             delay * (0.5 + RandomUnit() / 2));
}

}  // namespace tanagerloom
