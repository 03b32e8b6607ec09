// Sends a burst of requests for models that are not loaded to all nodes at
// once. Guards against lost or swapped responses, more loads than decided, and
// overcommitted memory.
#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>

#include "testing/harness/site.h"
#include "testing/harness/wait.h"
#include "testing/support/standin.h"

namespace tanagerloom::testing_support {
namespace {

using namespace std::chrono_literals;

constexpr int kRequests = 400;

class BurstTest : public testing::Test {
 protected:
  void CheckAll(const std::vector<Call>& calls,
                const std::vector<CallResult>& answers) {
    outcomes_ = site_.Check(calls, answers);
    EXPECT_EQ(outcomes_.problems, "");
    EXPECT_EQ(site_.Violations(), "");
  }

  Site site_;
  OutcomeCounts outcomes_;
};

// Guards against lost, swapped or refused requests without any fault; as all
// models fit in memory, no refusal is justified.
TEST_F(BurstTest, EveryColdRequestGetsItsOwnAnswer) {
  ASSERT_EQ(site_.Start(), "");
  const auto calls = site_.SpreadCalls("burst", kRequests);
  CheckAll(calls, site_.cluster().client().SendAll(calls));
  EXPECT_EQ(outcomes_.answers, kRequests);
}

// Guards against a second load: a node that treats a write with a lost response
// as failed would decide again.
TEST_F(BurstTest, LostAnswersToDecisionsCauseNoSecondLoad) {
  ASSERT_EQ(site_.Start(), "");
  site_.cluster().Control("platform", {{"lose_probability", 0.3}});
  const auto calls = site_.SpreadCalls("lost", kRequests);
  CheckAll(calls, site_.cluster().client().SendAll(calls));
  EXPECT_GT(site_.cluster().Read(site_.cluster().platform(),
                                 "/test/counters")["lost"],
            0);
  EXPECT_EQ(outcomes_.answers, kRequests);
}

// Guards against requests that are lost when an outage of the platform delays
// decisions; waiting requests must be served after it.
TEST_F(BurstTest, PlatformOutageDuringTheBurst) {
  ASSERT_EQ(site_.Start(), "");
  auto& cluster = site_.cluster();
  const auto calls = site_.SpreadCalls("down", kRequests);
  std::vector<CallResult> answers;
  boost::fibers::fiber burst(
      [&] { answers = cluster.client().SendAll(calls); });
  EXPECT_TRUE(WaitUntil([&] { return !site_.RunsByPrompt().empty(); }));
  cluster.Control("platform", {{"mode", "down"}});
  SleepMs(3000);
  cluster.Control("platform", {{"mode", "up"}});
  burst.join();
  CheckAll(calls, answers);
  EXPECT_EQ(outcomes_.answers, kRequests);
}

}  // namespace

// Guards against exceeded memory and replica limits when not all models fit in
// memory and replicas are evicted while other requests wait.
TEST(BurstOverMemoryTest, EvictionKeepsLimits) {
  SiteOptions options;
  options.engine_memory_mb = 36000;
  options.replica_limit = 1;
  Site site(options);
  ASSERT_EQ(site.Start(), "");
  const auto calls = site.SpreadCalls("evict", kRequests);
  const auto answers = site.cluster().client().SendAll(calls);
  const auto outcomes = site.Check(calls, answers);
  EXPECT_EQ(outcomes.problems, "");
  EXPECT_EQ(site.Violations(), "");
  EXPECT_GT(outcomes.answers, 0);
  EXPECT_EQ(outcomes.answers + outcomes.not_run + outcomes.may_have_run,
            kRequests);
}

}  // namespace tanagerloom::testing_support
