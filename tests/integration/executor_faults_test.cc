// Faults of the node that executes orders while a load runs: guards against
// loads that are decided, delivered or counted twice, and loads that nobody
// finishes.
#include <gtest/gtest.h>
#include <signal.h>

#include <boost/fiber/fiber.hpp>

#include "testing/harness/ledgers.h"
#include "testing/harness/site.h"
#include "testing/harness/wait.h"
#include "testing/support/standin.h"

namespace tanagerloom::testing_support {
namespace {

using namespace std::chrono_literals;

SiteOptions Options() {
  SiteOptions options;
  options.replica_limit = 1;
  options.models_per_pool = 3;
  return options;
}

// The parameter is the pool: engines that check fencing numbers, or don't.
class ExecutorFaultsTest : public testing::TestWithParam<std::string> {
 protected:
  void SetUp() override { ASSERT_EQ(site_.Start(), ""); }

  std::string model() const { return Site::Model(GetParam(), 0); }

  // Sends a request for the cold model to every node; loads are slow.
  void StartSlowLoad(const std::string& name) {
    cluster_.Control("weight-store", {{"slow_factor", 20}});
    for (const auto& node : cluster_.node_ids()) {
      calls_.push_back(
          site_.CompletionCall(node, model(), name + "-" + node, 60s));
    }
    burst_ = boost::fibers::fiber(
        [this] { answers_ = cluster_.client().SendAll(calls_); });
  }

  // The node that executes the load, once the engine has begun it.
  std::string ExecutorOfRunningLoad() {
    std::string executor;
    EXPECT_TRUE(WaitUntil([&] {
      executor = site_.FindExecutor(GetParam(), model());
      return !executor.empty() && site_.CountLoads(model()) > 0;
    }));
    return executor;
  }

  // Waits for the answers. Every node outside `ended` answers all requests.
  void FinishLoad(const std::set<std::string>& ended = {}) {
    cluster_.Control("weight-store", {{"slow_factor", 1}});
    burst_.join();
    const auto outcomes = site_.Check(calls_, answers_, ended);
    EXPECT_EQ(outcomes.problems, "");
    EXPECT_EQ(outcomes.answers, static_cast<int>(calls_.size() - ended.size()));
    EXPECT_EQ(site_.Violations(ended), "");
    calls_.clear();
  }

  void TearDown() override {
    if (burst_.joinable()) {
      burst_.join();
    }
  }

  Site site_{Options()};
  Cluster& cluster_ = site_.cluster();
  std::vector<Call> calls_;
  std::vector<CallResult> answers_;
  boost::fibers::fiber burst_;
};

TEST_P(ExecutorFaultsTest, ExecutorIsKilledWhileALoadRuns) {
  StartSlowLoad("killed");
  const auto executor = ExecutorOfRunningLoad();
  ASSERT_NE(executor, "");
  cluster_.process(executor).Kill();
  cluster_.RemoveVm(executor);
  FinishLoad({executor});
  EXPECT_EQ(site_.CountLoads(model()), 1);
}

// The first decision of a cell is the coordinator's, which executes it; after
// its death the next decision must come from another node.
TEST_P(ExecutorFaultsTest, NextDecisionAfterTheCoordinatorIsKilled) {
  StartSlowLoad("first");
  const auto coordinator = ExecutorOfRunningLoad();
  ASSERT_NE(coordinator, "");
  FinishLoad();
  // Still in the VM list: only silence shows that it ended.
  cluster_.process(coordinator).Kill();
  const auto other = Site::Model(GetParam(), 1);
  std::vector<Call> calls;
  for (const auto& node : cluster_.node_ids()) {
    if (node != coordinator) {
      calls.push_back(site_.CompletionCall(node, other, "second-" + node, 60s));
    }
  }
  const auto outcomes = site_.Check(calls, cluster_.client().SendAll(calls));
  EXPECT_EQ(outcomes.problems, "");
  EXPECT_EQ(outcomes.answers, static_cast<int>(calls.size()));
  EXPECT_EQ(site_.Violations({coordinator}), "");
}

// The paused executor believes that it still holds its duty. It must neither
// deliver its order again nor decide on what it knew.
TEST_P(ExecutorFaultsTest, ExecutorIsPausedPastEveryTimeout) {
  StartSlowLoad("paused");
  const auto executor = ExecutorOfRunningLoad();
  ASSERT_NE(executor, "");
  cluster_.process(executor).Pause();
  // Longer than peer, order and sender timeouts together.
  SleepMs(6000);
  cluster_.process(executor).Resume();
  FinishLoad();
}

// Orders reach the engines after their senders gave up on them, and one sender
// pauses meanwhile: none may load a replica besides the decided one.
TEST_P(ExecutorFaultsTest, OrderOfAPausedExecutorArrivesLate) {
  for (const auto& id : cluster_.engine_ids()) {
    cluster_.SetLinkFaults(id, {{"delay_to_target_ms", 1500}});
  }
  StartSlowLoad("late");
  std::string executor;
  ASSERT_TRUE(WaitUntil([&] {
    executor = site_.FindExecutor(GetParam(), model());
    return !executor.empty();
  }));
  cluster_.process(executor).Pause();
  SleepMs(6000);
  for (const auto& id : cluster_.engine_ids()) {
    cluster_.SetLinkFaults(id, {{"delay_to_target_ms", 0}});
  }
  cluster_.process(executor).Resume();
  FinishLoad();
}

TEST_P(ExecutorFaultsTest, EngineRestartsAndItsMemoryIsLost) {
  StartSlowLoad("restart");
  ASSERT_NE(ExecutorOfRunningLoad(), "");
  for (int i = 0; i < site_.options().engines_per_pool; ++i) {
    const auto engine = site_.Engine(GetParam(), i);
    if (!EventsOfKind(cluster_.Ledger(engine), "load_started").empty()) {
      cluster_.process(engine).Kill();
      ASSERT_TRUE(cluster_.Restart(engine));
    }
  }
  FinishLoad();
  EXPECT_GE(site_.CountLoads(model()), 2);
}

TEST_P(ExecutorFaultsTest, LoadThatAlwaysFailsIsRefusedWithItsCause) {
  for (const auto& id : cluster_.engine_ids()) {
    cluster_.Control(id, {{"fail_loads", {{model(), 1000000}}}});
  }
  std::vector<Call> calls;
  for (const auto& node : cluster_.node_ids()) {
    calls.push_back(site_.CompletionCall(node, model(), "fails-" + node, 30s));
  }
  const auto answers = cluster_.client().SendAll(calls);
  const auto outcomes = site_.Check(calls, answers);
  EXPECT_EQ(outcomes.problems, "");
  EXPECT_EQ(outcomes.not_run, static_cast<int>(calls.size()));
  for (const auto& it : answers) {
    EXPECT_NE(it.body.find("the checkpoint is damaged"), std::string::npos)
        << it.body;
  }
  EXPECT_EQ(site_.Violations(), "");
}

// An order whose answer is lost took effect; one that is dropped did not.
TEST_P(ExecutorFaultsTest, OrderAnswersAreLostOrLate) {
  for (const auto& id : cluster_.engine_ids()) {
    cluster_.Control(id, {{"lose_order_answers", 1}, {"drop_orders", 1}});
    cluster_.SetLinkFaults(id, {{"random_delay_ms", 300}});
  }
  const auto calls = site_.SpreadCalls("lost-orders", 60);
  const auto outcomes = site_.Check(calls, cluster_.client().SendAll(calls));
  EXPECT_EQ(outcomes.problems, "");
  EXPECT_EQ(outcomes.answers, static_cast<int>(calls.size()));
  EXPECT_EQ(site_.Violations(), "");
}

INSTANTIATE_TEST_SUITE_P(Pools,
                         ExecutorFaultsTest,
                         testing::Values(kFenceCheckingPool,
                                         kFenceIgnoringPool),
                         [](const auto& it) {
                           return it.param == kFenceCheckingPool
                                      ? "ChecksFence"
                                      : "IgnoresFence";
                         });

}  // namespace
}  // namespace tanagerloom::testing_support
