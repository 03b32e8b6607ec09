// Tests of the explanation of a request from event logs, and of the rate limit
// on log lines.
#include <gtest/gtest.h>

#include "base/log_rate_limiter.h"
#include "ctl/explanation.h"

namespace tanagerloom {
namespace {

// Returns a log line with an event at the given time in milliseconds.
std::string MakeLogLine(std::int64_t ms,
                        const std::string& event,
                        const nlohmann::json& fields,
                        const std::string& process = "n") {
  return nlohmann::json({{"time_us", ms * 1000},
                         {"process", process},
                         {"event", event},
                         {"fields", fields}})
      .dump();
}

// Guards against an explanation that omits the cause of a request's failure, or
// includes events of other requests and models.
TEST(Explain, IncludesEventsOfTheModelTheEndpointsAndTheLeaseHolder) {
  const std::vector<std::string> lines = {
      "  3.2 node-1 " + MakeLogLine(13000, "lease_taken", {{"fence", 2}}),
      MakeLogLine(100, "lease_taken", {{"fence", 1}}),
      MakeLogLine(14000, "engine_order_sent",
                  {{"model", "m/a1"}, {"engine", "e9"}}),
      MakeLogLine(14100, "engine_order_sent",
                  {{"model", "other"}, {"engine", "e8"}}),
      MakeLogLine(14200, "endpoint_gone", {{"endpoint", "e1"}}),
      MakeLogLine(15000, "forward_sent",
                  {{"request", "r1"}, {"endpoint", "e1"}}),
      MakeLogLine(15100, "forward_sent",
                  {{"request", "r2"}, {"endpoint", "e1"}}),
      MakeLogLine(19500, "forward_rejected",
                  {{"request", "r1"}, {"model", "m"}}),
      "no event"};
  std::vector<nlohmann::json> events;
  for (const auto& it : lines) {
    auto event = ParseLogLine(it);
    if (!event.is_null()) {
      events.push_back(event);
    }
  }
  ASSERT_EQ(events.size(), 8U);
  const auto explained = Explain("r1", events);
  std::vector<std::string> names;
  for (const auto& it : explained) {
    names.push_back(it.event.at("event"));
  }
  EXPECT_EQ(names, (std::vector<std::string>{"lease_taken", "engine_order_sent",
                                             "endpoint_gone", "forward_sent",
                                             "forward_rejected"}));
  EXPECT_EQ(explained[0].offset_ms, -2000);
  EXPECT_TRUE(explained[3].belongs_to_request);
  EXPECT_TRUE(Explain("none", events).empty());
}

// Guards against an explanation that omits that the request's own node was
// stopping or could not reach the object store.
TEST(Explain, IncludesEventsOfTheNodeItself) {
  std::vector<nlohmann::json> events;
  for (const auto& it :
       {MakeLogLine(10000, "node_stopping", {{"signals", 1}}),
        MakeLogLine(10100, "node_stopping", {{"signals", 1}}, "other"),
        MakeLogLine(11000, "dependency_lost", {{"dependency", "store"}}),
        MakeLogLine(12000, "forward_rejected", {{"request", "r1"}})}) {
    events.push_back(ParseLogLine(it));
  }
  const auto explained = Explain("r1", events);
  ASSERT_EQ(explained.size(), 3U);
  EXPECT_EQ(explained[0].event.at("event"), "node_stopping");
  EXPECT_EQ(explained[0].event.at("process"), "n");
  EXPECT_EQ(explained[1].event.at("event"), "dependency_lost");
}

// Guards against a log that grows with the load, and against warnings that are
// omitted because of routine lines.
TEST(LogRateLimiter, LimitsLinesPerSecondAndCountsOmittedOnes) {
  LogRateLimiter limiter;
  LogRateLimiter::TimePoint now{std::chrono::hours(1)};
  std::uint32_t written = 0;
  for (int i = 0; i < 1000; ++i) {
    written += limiter.Allow(Severity::kInfo, now) ? 1 : 0;
  }
  EXPECT_EQ(written, LogRateLimiter::kMaxRoutineLinesPerSecond);
  EXPECT_TRUE(limiter.Allow(Severity::kWarning, now));
  EXPECT_EQ(limiter.TakeOmittedCount(), 0U);
  now += std::chrono::seconds(1);
  EXPECT_TRUE(limiter.Allow(Severity::kInfo, now));
  EXPECT_EQ(limiter.TakeOmittedCount(), 700U);
  EXPECT_EQ(limiter.TakeOmittedCount(), 0U);
}

}  // namespace
}  // namespace tanagerloom
