#include "forwarding/request_times.h"

#include <algorithm>

#include "fleet/fleet_config.h"

namespace tanagerloom {

namespace {

using std::chrono::milliseconds;

constexpr double kWaitPart = 0.7;
constexpr int kPatienceObjectives = 3;
constexpr int kPatienceGaps = 3;
// In which an endpoint answers a whole request, and reads a long prompt.
constexpr milliseconds kShortestPatience{350};
constexpr milliseconds kShortestEventPatience{1000};
// A client is asked to wait for at most this part of the time that it has left.
constexpr int kRetryPartOfTime = 3;

}  // namespace

TimePoint LatestStart(TimePoint arrival, TimePoint deadline) {
  const auto time = deadline - arrival;
  return arrival + std::chrono::duration_cast<Duration>(time * kWaitPart);
}

TimePoint AnswerDue(const Route& route, TimePoint now, TimePoint deadline) {
  const auto shortest = route.kind == RequestKind::kStreaming
                            ? kShortestEventPatience
                            : kShortestPatience;
  const auto patience =
      std::max<Duration>(route.latency_goal * kPatienceObjectives, shortest);
  return std::min(now + std::min<Duration>(patience, (deadline - now) / 2),
                  deadline);
}

TimePoint EventDue(const Route& route, TimePoint now, TimePoint deadline) {
  const auto patience = std::max<Duration>(route.max_event_gap * kPatienceGaps,
                                           kShortestEventPatience);
  return std::min(now + patience, deadline);
}

milliseconds RetryAfterLoad(TimePoint ready_at,
                            TimePoint now,
                            TimePoint deadline) {
  const auto most =
      std::max<Duration>(kRetryAfterModel, (deadline - now) / kRetryPartOfTime);
  return std::chrono::duration_cast<milliseconds>(
      std::clamp<Duration>(ready_at - now, kRetryAfterModel, most));
}

}  // namespace tanagerloom
