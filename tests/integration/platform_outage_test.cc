// Makes the platform unavailable or slow for a long time. Guards against loaded
// models that stop serving, requests that hang, and a burst of platform calls
// after the outage.
#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>

#include "testing/harness/site.h"
#include "testing/harness/wait.h"
#include "testing/support/standin.h"

namespace tanagerloom::testing_support {
namespace {

using namespace std::chrono_literals;

constexpr double kOutageMs = 15000;
constexpr double kCountingWindowMs = 3000;
// Allowed time past a request's deadline; it only limits the duration of a
// failing run.
constexpr auto kMaxDelayPastDeadline = 10s;

class PlatformOutageTest : public testing::Test {
 protected:
  static SiteOptions Options() {
    SiteOptions options;
    options.models_per_pool = 4;
    return options;
  }

  // Loads the first two models of each pool.
  void SetUp() override {
    ASSERT_EQ(site_.Start(), "");
    const auto calls = RequestsForLoadedModels("warm-up");
    ASSERT_EQ(site_.Check(calls, cluster_.client().SendAll(calls)).answers,
              static_cast<int>(calls.size()));
  }

  std::vector<Call> RequestsForModels(
      const std::string& name,
      int first,
      std::chrono::milliseconds deadline) const {
    std::vector<Call> calls;
    for (int node = 0; node < site_.options().nodes; ++node) {
      for (const auto& pool : {kFenceCheckingPool, kFenceIgnoringPool}) {
        for (int i = first; i < first + 2; ++i) {
          calls.push_back(site_.CompletionCall(
              Site::Node(node), Site::Model(pool, i),
              name + "-" + std::to_string(calls.size()), deadline));
        }
      }
    }
    return calls;
  }

  std::vector<Call> RequestsForLoadedModels(const std::string& name) const {
    return RequestsForModels(name, 0, 30s);
  }

  // Sends rounds of requests for loaded models until `stop`, and expects an
  // answer to each.
  void SendRequestsForLoadedModels(const bool& stop) {
    for (int round = 0; !stop; ++round) {
      const auto calls =
          RequestsForLoadedModels("warm-" + std::to_string(round));
      const auto outcomes =
          site_.Check(calls, cluster_.client().SendAll(calls));
      EXPECT_EQ(outcomes.problems, "");
      EXPECT_EQ(outcomes.answers, static_cast<int>(calls.size()));
      warm_rounds_ += 1;
      SleepMs(200);
    }
  }

  // Sends requests for models that are not loaded, and expects that each is
  // answered or refused by its deadline.
  OutcomeCounts SendRequestsForColdModels(const std::string& name,
                                          std::chrono::milliseconds deadline) {
    const auto calls = RequestsForModels(name, 2, deadline);
    const auto answers = cluster_.client().SendAll(calls);
    for (const auto& it : answers) {
      EXPECT_LE(it.took, deadline + kMaxDelayPastDeadline);
    }
    const auto outcomes = site_.Check(calls, answers);
    EXPECT_EQ(outcomes.problems, "");
    return outcomes;
  }

  // The number of calls that the platform has answered or refused so far.
  double PlatformCalls() {
    const auto counters = cluster_.Read(cluster_.platform(), "/test/counters");
    double calls = counters["refused"];
    for (const auto* kind : {"reads", "writes", "watches", "vm_reads"}) {
      calls += counters[kind]["total"].get<double>();
    }
    return calls;
  }

  // The number of platform calls within one counting window.
  double PlatformCallsInWindow() {
    const auto before = PlatformCalls();
    SleepMs(kCountingWindowMs);
    return PlatformCalls() - before;
  }

  double RateLimitedCalls() {
    const auto counters = cluster_.Read(cluster_.platform(), "/test/counters");
    return counters["reads"]["limited"].get<double>() +
           counters["writes"]["limited"].get<double>();
  }

  Site site_{Options()};
  Cluster& cluster_ = site_.cluster();
  int warm_rounds_ = 0;
};

// Guards against loaded models that are not served during an outage, and
// against nodes that flood the platform with calls during it or after it.
TEST_F(PlatformOutageTest, LoadedModelsServeWhileThePlatformIsDown) {
  bool stop = false;
  const double usual_calls = PlatformCallsInWindow();
  boost::fibers::fiber load([&] { SendRequestsForLoadedModels(stop); });
  cluster_.Control("platform", {{"mode", "down"}});
  const int rounds = warm_rounds_;
  const double calls_before = PlatformCalls();
  const auto start_ms = NowMs();
  for (int i = 0; NowMs() < start_ms + kOutageMs; ++i) {
    const auto outcomes =
        SendRequestsForColdModels("cold-down-" + std::to_string(i), 3s);
    // A read of the placement record may have been answered just before the
    // outage.
    EXPECT_GT(outcomes.not_run, 0);
    EXPECT_EQ(outcomes.may_have_run, 0);
  }
  const double calls_in_outage = PlatformCalls() - calls_before;
  const double windows =
      static_cast<double>(NowMs() - start_ms) / kCountingWindowMs;
  // Retries during an outage may exceed the usual number of calls, but must not
  // flood the platform.
  EXPECT_LE(calls_in_outage / windows, 3 * usual_calls + 300);
  EXPECT_GT(warm_rounds_, rounds);
  cluster_.Control("platform", {{"mode", "up"}});
  const double after = PlatformCallsInWindow();
  EXPECT_LE(after, 5 * usual_calls + 300);
  EXPECT_EQ(RateLimitedCalls(), 0);
  const auto outcomes = SendRequestsForColdModels("cold-after", 60s);
  EXPECT_EQ(outcomes.answers, 32);
  stop = true;
  load.join();
  EXPECT_EQ(site_.Violations(), "");
}

// Guards against requests for loaded models that wait for slow platform calls.
TEST_F(PlatformOutageTest, LoadedModelsServeWhileThePlatformIsSlow) {
  bool stop = false;
  boost::fibers::fiber load([&] { SendRequestsForLoadedModels(stop); });
  cluster_.Control("platform", {{"mode", "slow"}, {"slow_ms", 2000}});
  const int rounds = warm_rounds_;
  (void)SendRequestsForColdModels("cold-slow", 20s);
  EXPECT_TRUE(WaitUntil([&] { return warm_rounds_ > rounds + 3; }));
  cluster_.Control("platform", {{"mode", "up"}});
  const auto outcomes = SendRequestsForColdModels("cold-after", 60s);
  EXPECT_EQ(outcomes.answers, 32);
  stop = true;
  load.join();
  EXPECT_EQ(site_.Violations(), "");
}

}  // namespace
}  // namespace tanagerloom::testing_support
