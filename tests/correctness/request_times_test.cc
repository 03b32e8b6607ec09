// Tests of the timeouts of forwarded requests and of the Retry-After that their
// clients get.
#include "forwarding/request_times.h"

#include <gtest/gtest.h>

#include "fleet/fleet_config.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(1)};

// Guards against a request that is sent too late to finish by its deadline.
TEST(RequestTimes, WaitLeavesTimeToRun) {
  EXPECT_EQ(LatestStart(kNow, kNow + seconds(10)), kNow + seconds(7));
}

// Guards against an attempt that is abandoned while the endpoint processes a
// long prompt, and against a silent endpoint that uses up the time that an
// attempt at another endpoint would need.
TEST(RequestTimes, SilenceIsBoundedByLatencyGoalsAndTheDeadline) {
  Route route;
  route.kind = RequestKind::kIdempotent;
  route.latency_goal = milliseconds(100);
  const auto later = kNow + seconds(10);
  EXPECT_EQ(SilenceDeadline(route, kNow, later), kNow + milliseconds(350));
  route.latency_goal = milliseconds(400);
  EXPECT_EQ(SilenceDeadline(route, kNow, later), kNow + milliseconds(1200));
  route.kind = RequestKind::kStreaming;
  route.latency_goal = milliseconds(100);
  EXPECT_EQ(SilenceDeadline(route, kNow, later), kNow + seconds(1));
  EXPECT_EQ(SilenceDeadline(route, kNow, kNow + seconds(1)),
            kNow + milliseconds(500));
  route.max_event_gap = milliseconds(500);
  EXPECT_EQ(EventGapDeadline(route, kNow, later), kNow + milliseconds(1500));
  EXPECT_EQ(EventGapDeadline(route, kNow, kNow + seconds(1)),
            kNow + seconds(1));
}

// Guards against a request that is sent to an engine whose queue of prompts it
// cannot survive, while another engine or the client's retry could serve it.
TEST(RequestTimes, QueueOfPromptsMustLeaveTimeToRun) {
  constexpr double kTokensPerMs = 40;
  const auto deadline = kNow + seconds(4);
  EXPECT_FALSE(CannotStartInTime(0, kTokensPerMs, kNow, deadline));
  EXPECT_FALSE(
      CannotStartInTime(1900 * kTokensPerMs, kTokensPerMs, kNow, deadline));
  EXPECT_TRUE(
      CannotStartInTime(2100 * kTokensPerMs, kTokensPerMs, kNow, deadline));
  EXPECT_TRUE(CannotStartInTime(500 * kTokensPerMs, kTokensPerMs, kNow,
                                kNow + milliseconds(900)));
}

// Guards against clients that retry before their model can be loaded, or too
// late to be served by their deadline.
TEST(RequestTimes, RetryAfterFollowsTheExpectedLoadTime) {
  const auto deadline = kNow + seconds(12);
  EXPECT_EQ(RetryAfterLoad(kNow, kNow, deadline), kRetryAfterModel);
  EXPECT_EQ(RetryAfterLoad(kNow + seconds(3), kNow, deadline), seconds(3));
  EXPECT_EQ(RetryAfterLoad(kNow + seconds(9), kNow, deadline), seconds(4));
}

}  // namespace
}  // namespace tanagerloom
