// Tests of the estimate by which a node that stops refuses requests that it
// could not serve in time. A wrong one refuses requests that could be served,
// or cuts others.
#include "forwarding/service_times.h"

#include <gtest/gtest.h>

#include "forwarding/request_times.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against an estimate that follows the mean, so that slow requests are
// cut, or the slowest one, so that all others are refused.
TEST(ServiceTimes, SettlesAboveMostRequestsAndBelowAnOutlier) {
  ServiceTimes times;
  EXPECT_EQ(times.Expected("a"), Duration(0));
  times.Observe("a", seconds(2));
  EXPECT_EQ(times.Expected("a"), seconds(2));
  for (int i = 0; i < 1000; ++i) {
    times.Observe("a", milliseconds(100 + i % 100));
  }
  EXPECT_GT(times.Expected("a"), milliseconds(170));
  EXPECT_LT(times.Expected("a"), milliseconds(200));
  times.Observe("a", seconds(10));
  EXPECT_LT(times.Expected("a"), seconds(3));
  EXPECT_EQ(times.Expected("b"), Duration(0));
}

// Guards against refusals while no stop has begun, and against requests that
// are sent after the node's end.
TEST(CannotFinishBeforeStop, HoldsOnlyNearTheEnd) {
  const TimePoint now{seconds(100)};
  EXPECT_FALSE(CannotFinishBeforeStop(seconds(50), now, TimePoint::max()));
  EXPECT_FALSE(CannotFinishBeforeStop(seconds(5), now, now + seconds(5)));
  EXPECT_TRUE(CannotFinishBeforeStop(seconds(5), now, now + seconds(4)));
  EXPECT_TRUE(CannotFinishBeforeStop(Duration(0), now, now - seconds(1)));
}

}  // namespace
}  // namespace tanagerloom
