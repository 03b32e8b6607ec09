// Sends service calls that are not idempotent. Guards against a call that runs
// twice, and against a refusal with the verdict "not run" for a call that ran.
#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>

#include "testing/harness/ledgers.h"
#include "testing/harness/site.h"
#include "testing/harness/wait.h"
#include "testing/support/standin.h"

namespace tanagerloom::testing_support {
namespace {

using namespace std::chrono_literals;

class ServiceCallsTest : public testing::Test {
 protected:
  static SiteOptions Options() {
    SiteOptions options;
    options.nodes = 4;
    options.models_per_pool = 1;
    options.services = 2;
    return options;
  }

  void SetUp() override { ASSERT_EQ(site_.Start(), ""); }

  // Calls with `keys` different idempotency keys, each to be sent to three
  // nodes.
  std::vector<Call> CallsToThreeNodes(const std::string& name, int keys) const {
    std::vector<Call> calls;
    for (int i = 0; i < keys; ++i) {
      const auto key = name + "-" + std::to_string(i);
      for (int node = 0; node < 3; ++node) {
        calls.push_back(
            site_.BookingCall(Site::Node((i + node) % 4), key, key, 15s));
      }
    }
    return calls;
  }

  void SetFaults(const nlohmann::json& faults) {
    for (const auto& id : site_.service_ids()) {
      cluster_.Control(id, faults);
    }
  }

  Site site_{Options()};
  Cluster& cluster_ = site_.cluster();
};

// Guards against a call that runs more than once when three nodes receive it at
// the same time.
TEST_F(ServiceCallsTest, SameKeyAtThreeNodesAtOnceRunsOnce) {
  SetFaults({{"delay_ms", 50}});
  const auto calls = CallsToThreeNodes("at-once", 30);
  const auto answers = cluster_.client().SendAll(calls);
  const auto outcomes = site_.Check(calls, answers);
  EXPECT_EQ(outcomes.problems, "");
  EXPECT_EQ(site_.Violations(), "");
  // Without a fault, no refusal is justified; all three calls get the answer of
  // the single run.
  EXPECT_EQ(outcomes.answers, static_cast<int>(calls.size()));
  EXPECT_EQ(site_.RunsByIdempotencyKey().size(), 30U);
}

// Guards against a call that runs twice after its response or that of a
// conditional update of its claim was lost.
TEST_F(ServiceCallsTest, LostAnswersAndConditionalUpdatesRunNothingTwice) {
  cluster_.Control("platform", {{"lose_probability", 0.3}});
  SetFaults({{"lose_answers", 10}, {"not_run", 5}, {"crash_before", 5}});
  const auto calls = CallsToThreeNodes("lost", 30);
  const auto outcomes = site_.Check(calls, cluster_.client().SendAll(calls));
  EXPECT_EQ(outcomes.problems, "");
  EXPECT_EQ(site_.Violations(), "");
}

// Guards against a call that runs again, or is reported as not run, when it is
// resent after the node that sent it was killed.
TEST_F(ServiceCallsTest, ResendAfterTheFirstNodeDied) {
  SetFaults({{"delay_ms", 1500}});
  std::vector<Call> first;
  for (int i = 0; i < 10; ++i) {
    const auto key = "dies-" + std::to_string(i);
    first.push_back(site_.BookingCall(Site::Node(0), key, key));
  }
  std::vector<CallResult> broken;
  boost::fibers::fiber sender(
      [&] { broken = cluster_.client().SendAll(first); });
  ASSERT_TRUE(
      WaitUntil([&] { return site_.RunsByIdempotencyKey().size() == 10; }));
  cluster_.process(Site::Node(0)).Kill();
  cluster_.RemoveVm(Site::Node(0));
  sender.join();
  std::vector<Call> resent;
  for (int i = 0; i < 10; ++i) {
    const auto key = "dies-" + std::to_string(i);
    for (int node = 1; node < 4; ++node) {
      resent.push_back(site_.BookingCall(Site::Node(node), key, key, 15s));
    }
  }
  const auto outcomes = site_.Check(resent, cluster_.client().SendAll(resent));
  EXPECT_EQ(outcomes.problems, "");
  EXPECT_EQ(outcomes.not_run, 0);
  EXPECT_EQ(site_.Violations({Site::Node(0)}), "");
}

// Guards against wrong verdicts over silent connections: if only the direction
// to the service is silent, nothing runs; if only the direction to the node is,
// the answer of a call that ran is lost.
TEST_F(ServiceCallsTest, RefusalsOverSilentConnectionsAreTrue) {
  for (const std::string direction : {"to_target", "to_client", "both"}) {
    for (const auto& id : site_.service_ids()) {
      cluster_.SetLinkFaults(id, {{"silent_new", direction}});
    }
    std::vector<Call> calls;
    for (int i = 0; i < 8; ++i) {
      const auto key = "silent-" + direction + "-" + std::to_string(i);
      calls.push_back(site_.BookingCall(Site::Node(i % 4), key, key, 3s));
    }
    const auto outcomes = site_.Check(calls, cluster_.client().SendAll(calls));
    EXPECT_EQ(outcomes.problems, "") << direction;
    EXPECT_EQ(outcomes.answers, 0) << direction;
  }
  for (const auto& id : site_.service_ids()) {
    cluster_.SetLinkFaults(id,
                           {{"silent_new", ""}, {"silence_existing", "both"}});
  }
  // Connections that were usable before are silent now; new ones work.
  std::vector<Call> calls;
  for (int i = 0; i < 8; ++i) {
    const auto key = "after-silence-" + std::to_string(i);
    calls.push_back(site_.BookingCall(Site::Node(i % 4), key, key, 30s));
  }
  const auto outcomes = site_.Check(calls, cluster_.client().SendAll(calls));
  EXPECT_EQ(outcomes.problems, "");
  EXPECT_EQ(outcomes.answers, 8);
  EXPECT_EQ(site_.Violations(), "");
}

// Guards against a call that runs during an outage of the platform, when its
// claim cannot be stored.
TEST_F(ServiceCallsTest, PlatformDownRefusesWithoutRunning) {
  cluster_.Control("platform", {{"mode", "down"}});
  std::vector<Call> calls;
  for (int i = 0; i < 8; ++i) {
    const auto key = "outage-" + std::to_string(i);
    calls.push_back(site_.BookingCall(Site::Node(i % 4), key, key, 2s));
  }
  const auto outcomes = site_.Check(calls, cluster_.client().SendAll(calls));
  EXPECT_EQ(outcomes.problems, "");
  EXPECT_EQ(outcomes.not_run, 8);
  EXPECT_EQ(site_.RunsByIdempotencyKey().size(), 0U);
  cluster_.Control("platform", {{"mode", "up"}});
  const auto resent = site_.Check(calls, cluster_.client().SendAll(calls));
  EXPECT_EQ(resent.problems, "");
  EXPECT_EQ(site_.Violations(), "");
}

}  // namespace
}  // namespace tanagerloom::testing_support
