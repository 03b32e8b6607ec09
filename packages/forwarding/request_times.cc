#include "forwarding/request_times.h"

#include <algorithm>

#include "fleet/fleet_config.h"

namespace tanagerloom {

namespace {

using std::chrono::milliseconds;

// Fraction of its time for which a request may wait for an endpoint.
constexpr double kMaxWaitFraction = 0.7;
// Fraction of the time left that other requests' prompts may take at an
// endpoint.
constexpr double kMaxQueueFraction = 0.5;
// Response-time objectives, and event gaps, after which a silent endpoint times
// out.
constexpr int kGoalsUntilTimeout = 3;
constexpr int kGapsUntilTimeout = 3;
// Time in which an endpoint answers a whole request, and in which it processes
// a long prompt.
constexpr milliseconds kMinResponseTimeout{350};
constexpr milliseconds kMinEventTimeout{1000};
// A client is asked to wait for at most the time that it has left divided by
// this.
constexpr int kRetryAfterDivisor = 3;
// Part of a pause over which the clients return after it.
constexpr double kPauseSpread = 0.2;

}  // namespace

TimePoint LatestStart(TimePoint arrival, TimePoint deadline) {
  const auto time_available = deadline - arrival;
  return arrival + std::chrono::duration_cast<Duration>(time_available *
                                                        kMaxWaitFraction);
}

bool CannotStartInTime(double prompt_tokens,
                       double tokens_per_ms,
                       TimePoint now,
                       TimePoint deadline) {
  const std::chrono::duration<double, std::milli> queue(prompt_tokens /
                                                        tokens_per_ms);
  return queue > (deadline - now) * kMaxQueueFraction;
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

milliseconds RetryAfterPause(TimePoint until, TimePoint now, double random) {
  const auto left = std::max<Duration>(until - now, kRetryAfterBusy);
  return std::chrono::ceil<milliseconds>(left * (1 + kPauseSpread * random));
}

}  // namespace tanagerloom
