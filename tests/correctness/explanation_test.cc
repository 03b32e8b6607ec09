// Tests of the explanation of a request from logs, and of the bound on them.
#include <gtest/gtest.h>

#include "base/log_rate_limiter.h"
#include "ctl/explanation.h"

namespace tanagerloom {
namespace {

std::string Line(std::int64_t ms,
                 const std::string& event,
                 const nlohmann::json& fields,
                 const std::string& process = "n") {
  return nlohmann::json({{"time_us", ms * 1000},
                         {"process", process},
                         {"event", event},
                         {"fields", fields}})
      .dump();
}

// Guards against an explanation that misses the cause, or drowns it in what
// other requests met.
TEST(Explain, GivesTheRequestItsModelItsEndpointsAndTheHolder) {
  const std::vector<std::string> lines = {
      "  3.2 node-1 " + Line(13000, "lease_taken", {{"fence", 2}}),
      Line(100, "lease_taken", {{"fence", 1}}),
      Line(14000, "engine_order_sent", {{"model", "m/a1"}, {"engine", "e9"}}),
      Line(14100, "engine_order_sent", {{"model", "other"}, {"engine", "e8"}}),
      Line(14200, "endpoint_gone", {{"endpoint", "e1"}}),
      Line(15000, "forward_sent", {{"request", "r1"}, {"endpoint", "e1"}}),
      Line(15100, "forward_sent", {{"request", "r2"}, {"endpoint", "e1"}}),
      Line(19500, "forward_rejected", {{"request", "r1"}, {"model", "m"}}),
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

// Guards against an explanation that leaves out that the request's own node was
// stopping or cut off from the store.
TEST(Explain, GivesWhatHappenedToTheProcess) {
  std::vector<nlohmann::json> events;
  for (const auto& it :
       {Line(10000, "node_stopping", {{"signals", 1}}),
        Line(10100, "node_stopping", {{"signals", 1}}, "other"),
        Line(11000, "dependency_lost", {{"dependency", "store"}}),
        Line(12000, "forward_rejected", {{"request", "r1"}})}) {
    events.push_back(ParseLogLine(it));
  }
  const auto explained = Explain("r1", events);
  ASSERT_EQ(explained.size(), 3U);
  EXPECT_EQ(explained[0].event.at("event"), "node_stopping");
  EXPECT_EQ(explained[0].event.at("process"), "n");
  EXPECT_EQ(explained[1].event.at("event"), "dependency_lost");
}

// Guards against a log that grows with the load, and against warnings that are
// left out because of routine lines.
TEST(LogRateLimiter, BoundsTheLinesOfASecondAndCountsTheRest) {
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
