// Tests of the load generator: planned arrivals and the report of results.

#include <gtest/gtest.h>

#include <set>

#include "load/load_report.h"
#include "load/workload.h"

namespace tanagerloom {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view kWorkload = R"({
  "name": "test", "seed": 7,
  "traffic": [
    // Interactive requests of two models.
    {"name": "checks", "caller_key": "k", "models": ["a", "b"],
     "requests_per_s": 50, "end_s": 10, "skew": 1.0},
    {"name": "bookings", "caller_key": "k", "service": "desk", "path": "/book",
     "repeatable": false, "requests_per_s": 5, "start_s": 2, "end_s": 6}
  ]})";

// Guards against policies that are compared under different requests: one seed
// must always give the same arrivals.
TEST(WorkloadTest, SameSeedPlansTheSameArrivals) {
  const auto spec = ParseWorkload(kWorkload).value();
  const auto first = PlanArrivals(spec);
  const auto second = PlanArrivals(spec);
  ASSERT_EQ(first.size(), second.size());
  ASSERT_GT(first.size(), 400U);
  for (std::size_t i = 0; i < first.size(); ++i) {
    EXPECT_EQ(first[i].send_offset, second[i].send_offset);
    EXPECT_EQ(first[i].body, second[i].body);
  }
}

// Guards against calls that share an idempotency key, and against arrivals
// outside the start and end of their traffic.
TEST(WorkloadTest, BookingsHaveDistinctKeysAndArriveWithinTheirTimes) {
  const auto arrivals = PlanArrivals(ParseWorkload(kWorkload).value());
  std::set<std::string> keys;
  std::size_t bookings = 0;
  for (const auto& it : arrivals) {
    if (it.traffic_index == 1) {
      ++bookings;
      keys.insert(it.idempotency_key);
      EXPECT_GE(it.send_offset, 2s);
      EXPECT_LT(it.send_offset, 6s);
    }
  }
  EXPECT_GT(bookings, 0U);
  EXPECT_EQ(keys.size(), bookings);
}

// Guards against an error message that does not tell which traffic is invalid.
TEST(WorkloadTest, InvalidDescriptionNamesTheTraffic) {
  const auto outcome = ParseWorkload(
      R"({"name":"x","traffic":[{"name":"t1","caller_key":"k",
          "models":["a"],"requests_per_s":0,"end_s":1}]})");
  ASSERT_FALSE(outcome);
  EXPECT_NE(outcome.assume_error().message.find("t1"), std::string::npos);
}

// Guards against percentiles that hide the slowest requests.
TEST(LoadReportTest, PercentilesAreExact) {
  std::vector<std::chrono::nanoseconds> values;
  for (int i = 1000; i >= 1; --i) {
    values.push_back(std::chrono::milliseconds(i));
  }
  const auto result = ComputePercentiles(values);
  EXPECT_NEAR(result.p50, 500, 1);
  EXPECT_NEAR(result.p99, 990, 1);
  EXPECT_NEAR(result.max, 1000, 1);
}

// Guards against outcomes that are omitted or counted twice.
TEST(LoadReportTest, CountsEveryOutcomeOnce) {
  const auto report =
      Summarise({{LoadOutcome::kAnswered, "", 1ms, 2ms, 0ms, true},
                 {LoadOutcome::kRefusedNotRun, "overloaded"},
                 {LoadOutcome::kFailed, "response cut"}});
  EXPECT_EQ(report.answered, 1U);
  EXPECT_EQ(report.refused_not_run, 1U);
  EXPECT_EQ(report.failed, 1U);
  EXPECT_EQ(report.details.at("overloaded"), 1U);
}

}  // namespace
}  // namespace tanagerloom
