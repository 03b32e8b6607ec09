// Defines the deadlines of a forwarded request: how long it may wait for an
// endpoint, how long an endpoint may be silent, and when a refused client may
// retry.
#ifndef FORWARDING_REQUEST_TIMES_H_
#define FORWARDING_REQUEST_TIMES_H_

#include <chrono>

#include "runtime/clock.h"

namespace tanagerloom {

struct Route;

/// Delay after which a refused client may retry: about the time to load a model
/// from disk, and the duration of a short overload.
constexpr std::chrono::milliseconds kRetryAfterModel{1000};
constexpr std::chrono::milliseconds kRetryAfterBusy{300};

/// Returns the time until which a request may wait for an endpoint. The rest of
/// its time is reserved for running it.
TimePoint LatestStart(TimePoint arrival, TimePoint deadline);

/// Min time between the sending of a request that has waited and the end of a
/// shutdown. It would be cut off if it were sent later.
constexpr std::chrono::milliseconds kMinServiceTime{2000};

/// Returns the time until which a request may wait for an endpoint if the node
/// ends its requests in flight at `stop_at`.
constexpr TimePoint LatestStartBeforeStop(TimePoint stop_at) {
  return stop_at - kMinServiceTime;
}

/// Returns whether the node stops before an endpoint is expected to answer a
/// request that is sent now. Such a request is refused, so that its client can
/// send it to another node.
constexpr bool CannotFinishBeforeStop(Duration expected_time,
                                      TimePoint now,
                                      TimePoint stop_at) {
  return expected_time > stop_at - now;
}

/// Returns whether an endpoint that has still to read `prompt_tokens` of other
/// requests, at `tokens_per_ms`, would answer a new one only after most of its
/// time. Sending it there would only lengthen the endpoint's queue.
bool CannotStartInTime(double prompt_tokens,
                       double tokens_per_ms,
                       TimePoint now,
                       TimePoint deadline);

/// Returns the time until which an endpoint with a retryable request may be
/// silent: a multiple of the response-time objective, but long enough to
/// process a long prompt, and at most half of the time left, so that another
/// endpoint can still serve the request.
TimePoint SilenceDeadline(const Route& route,
                          TimePoint now,
                          TimePoint deadline);

/// Returns the time until which a resumable stream may be silent between
/// events.
TimePoint EventGapDeadline(const Route& route,
                           TimePoint now,
                           TimePoint deadline);

/// Returns the delay after which a client whose model is loaded at `ready_at`
/// may retry: at that time, but early enough to be served within the time that
/// it has left.
std::chrono::milliseconds RetryAfterLoad(TimePoint ready_at,
                                         TimePoint now,
                                         TimePoint deadline);

/// Returns the delay after which a client may retry whose endpoints all want a
/// pause until `until`. `random`, from 0 to 1, spreads the clients over a fifth
/// of the pause, so that they do not return at one moment.
std::chrono::milliseconds RetryAfterPause(TimePoint until,
                                          TimePoint now,
                                          double random);

}  // namespace tanagerloom

#endif  // FORWARDING_REQUEST_TIMES_H_
