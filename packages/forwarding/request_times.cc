#include "forwarding/request_times.h"

#include <algorithm>

#include "fleet/fleet_config.h"

namespace tanagerloom {

namespace {

using std::chrono::milliseconds;

constexpr double kMaxWaitFraction = 0.7;
constexpr int kGoalsUntilTimeout = 3;
constexpr int kGapsUntilTimeout = 3;
// In which an endpoint answers a whole request, and reads a long prompt.
constexpr milliseconds kMinResponseTimeout{350};
constexpr milliseconds kMinEventTimeout{1000};
// A client is asked to wait for at most this part of the time that it has left.
constexpr int kRetryAfterDivisor = 3;

}  // namespace

TimePoint LatestStart(TimePoint arrival, TimePoint deadline) {
  const auto time_available = deadline - arrival;
  return arrival + std::chrono::duration_cast<Duration>(time_available *
                                                        kMaxWaitFraction);
}

TimePoint SilenceDeadline(const Route& route,
                          TimePoint now,
                          TimePoint deadline) {
  const auto min_timeout = route.kind == RequestKind::kStreaming
                               ? kMinEventTimeout
                               : kMinResponseTimeout;
  const auto timeout =
      std::max<Duration>(route.latency_goal * kGoalsUntilTimeout, min_timeout);
  return std::min(now + std::min<Duration>(timeout, (deadline - now) / 2),
                  deadline);
}

TimePoint EventGapDeadline(const Route& route,
                           TimePoint now,
                           TimePoint deadline) {
  const auto timeout = std::max<Duration>(
      route.max_event_gap * kGapsUntilTimeout, kMinEventTimeout);
  return std::min(now + timeout, deadline);
}

milliseconds RetryAfterLoad(TimePoint ready_at,
                            TimePoint now,
                            TimePoint deadline) {
  const auto max_wait = std::max<Duration>(
      kRetryAfterModel, (deadline - now) / kRetryAfterDivisor);
  return std::chrono::duration_cast<milliseconds>(
      std::clamp<Duration>(ready_at - now, kRetryAfterModel, max_wait));
}

}  // namespace tanagerloom
