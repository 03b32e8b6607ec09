// Defines the times of a forwarded request: how long it may wait for an
// endpoint, how long an endpoint may be silent, and when a rejected client may
// come again.
#ifndef FORWARDING_REQUEST_TIMES_H_
#define FORWARDING_REQUEST_TIMES_H_

#include <chrono>

#include "runtime/clock.h"

namespace tanagerloom {

struct Route;

/// When a rejected client may come again: about the time of a load from disk,
/// and of a short overload.
constexpr std::chrono::milliseconds kRetryAfterModel{1000};
constexpr std::chrono::milliseconds kRetryAfterBusy{300};

/// Until when a request may wait for an endpoint; the rest of its time is what
/// an endpoint needs to run it.
TimePoint LatestStart(TimePoint arrival, TimePoint deadline);

/// Until when an endpoint that was sent a repeatable request may be silent: for
/// some objectives, but long enough to read a long prompt, and at most for half
/// of the time left, so that another endpoint can still serve it.
TimePoint SilenceDeadline(const Route& route,
                          TimePoint now,
                          TimePoint deadline);

/// Until when a stream that may be resumed may pause.
TimePoint EventGapDeadline(const Route& route,
                           TimePoint now,
                           TimePoint deadline);

/// When a client whose model can be loaded at `ready_at` may come again: at
/// that time, but soon enough to be served in the time that it has left.
std::chrono::milliseconds RetryAfterLoad(TimePoint ready_at,
                                         TimePoint now,
                                         TimePoint deadline);

}  // namespace tanagerloom

#endif  // FORWARDING_REQUEST_TIMES_H_
