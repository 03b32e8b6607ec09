// Tests of how long a forwarded request waits, for whom, and when its client
// may come again.
#include "forwarding/request_times.h"

#include <gtest/gtest.h>

#include "fleet/fleet_config.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(1)};

// Guards against a request that starts too late to be run in its time.
TEST(RequestTimes, WaitLeavesTimeToRun) {
  EXPECT_EQ(LatestStart(kNow, kNow + seconds(10)), kNow + seconds(7));
}

// Guards against an endpoint that is given up while it reads a long prompt, and
// against a silence that uses up the time another endpoint would need.
TEST(RequestTimes, SilenceIsBoundedByObjectivesAndTheTimeLeft) {
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

// Guards against clients that come back before their model can be there, or too
// late to be served.
TEST(RequestTimes, ClientComesBackWhenItsModelCanBeThere) {
  const auto deadline = kNow + seconds(12);
  EXPECT_EQ(RetryAfterLoad(kNow, kNow, deadline), kRetryAfterModel);
  EXPECT_EQ(RetryAfterLoad(kNow + seconds(3), kNow, deadline), seconds(3));
  EXPECT_EQ(RetryAfterLoad(kNow + seconds(9), kNow, deadline), seconds(4));
}

}  // namespace
}  // namespace tanagerloom
