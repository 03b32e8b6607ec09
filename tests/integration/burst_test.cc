// A burst of requests for cold models at every node at once: guards against
// lost or swapped answers, more loads than decided, and overcommitted memory.
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
                const std::vector<Answer>& answers) {
    tally_ = site_.Check(calls, answers);
    EXPECT_EQ(tally_.problems, "");
    EXPECT_EQ(site_.Violations(), "");
  }

  Site site_;
  Tally tally_;
};

// With room for every model and no fault, nothing excuses a refusal.
TEST_F(BurstTest, EveryColdRequestGetsItsOwnAnswer) {
  ASSERT_EQ(site_.Start(), "");
  const auto calls = site_.Spread("burst", kRequests);
  CheckAll(calls, site_.cluster().caller().SendAll(calls));
  EXPECT_EQ(tally_.answers, kRequests);
}

// A node that takes a lost answer for a failed write would decide twice.
TEST_F(BurstTest, LostAnswersToDecisionsCauseNoSecondLoad) {
  ASSERT_EQ(site_.Start(), "");
  site_.cluster().Control("platform", {{"lose_probability", 0.3}});
  const auto calls = site_.Spread("lost", kRequests);
  CheckAll(calls, site_.cluster().caller().SendAll(calls));
  EXPECT_GT(site_.cluster().Read(site_.cluster().platform(),
                                 "/test/counters")["lost"],
            0);
  EXPECT_EQ(tally_.answers, kRequests);
}

// Decisions stop with the platform; what waits must be served after it.
TEST_F(BurstTest, PlatformOutageDuringTheBurst) {
  ASSERT_EQ(site_.Start(), "");
  auto& cluster = site_.cluster();
  const auto calls = site_.Spread("down", kRequests);
  std::vector<Answer> answers;
  boost::fibers::fiber burst(
      [&] { answers = cluster.caller().SendAll(calls); });
  EXPECT_TRUE(WaitUntil([&] { return !site_.RunsByPrompt().empty(); }));
  cluster.Control("platform", {{"mode", "down"}});
  SleepMs(3000);
  cluster.Control("platform", {{"mode", "up"}});
  burst.join();
  CheckAll(calls, answers);
  EXPECT_EQ(tally_.answers, kRequests);
}

}  // namespace

// More models than memory: replicas are evicted while others wait.
TEST(BurstOverMemoryTest, EvictionKeepsLimits) {
  SiteOptions options;
  options.engine_memory_mb = 36000;
  options.replica_limit = 1;
  Site site(options);
  ASSERT_EQ(site.Start(), "");
  const auto calls = site.Spread("evict", kRequests);
  const auto answers = site.cluster().caller().SendAll(calls);
  const auto tally = site.Check(calls, answers);
  EXPECT_EQ(tally.problems, "");
  EXPECT_EQ(site.Violations(), "");
  EXPECT_GT(tally.answers, 0);
  EXPECT_EQ(tally.answers + tally.not_run + tally.may_have_run, kRequests);
}

}  // namespace tanagerloom::testing_support
