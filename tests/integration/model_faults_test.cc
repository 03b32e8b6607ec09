// Injects faults into the connections to engines. Guards against truncated,
// swapped or missing responses that are delivered as complete.
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

constexpr int kAlways = 1000000000;

class ModelFaultsTest : public testing::Test {
 protected:
  static SiteOptions Options() {
    SiteOptions options;
    options.nodes = 4;
    options.models_per_pool = 2;
    options.engine_flags = {"--crash", "simulate",       "--crash-ms",
                            "500",     "--tokens-per-s", "200"};
    return options;
  }

  void SetUp() override {
    ASSERT_EQ(site_.Start(), "");
    const auto calls = site_.SpreadCalls("warm-up", 16);
    ASSERT_EQ(site_.Check(calls, cluster_.client().SendAll(calls)).answers, 16);
  }

  // `n` requests, every second one streaming.
  std::vector<Call> MixedRequests(const std::string& name,
                                  int n,
                                  std::chrono::milliseconds deadline = 30s,
                                  int tokens = 8) const {
    const auto models = site_.Models();
    std::vector<Call> calls;
    for (int i = 0; i < n; ++i) {
      calls.push_back(site_.CompletionCall(
          Site::Node(i % 4), models[i / 4 % models.size()],
          name + "-" + std::to_string(i), deadline, i % 2 == 0, tokens));
    }
    return calls;
  }

  // Sends the calls. Allows broken streams, which clients can detect, and
  // expects no other problem.
  OutcomeCounts SendAndCheck(const std::vector<Call>& calls) {
    const auto outcomes =
        site_.Check(calls, cluster_.client().SendAll(calls), {}, true);
    EXPECT_EQ(outcomes.problems, "");
    EXPECT_EQ(site_.Violations(), "");
    return outcomes;
  }

  void SetEngineFaults(const nlohmann::json& faults) {
    for (const auto& id : cluster_.engine_ids()) {
      cluster_.Control(id, faults);
    }
  }

  void SetLinkFaults(const nlohmann::json& faults) {
    for (const auto& id : cluster_.engine_ids()) {
      cluster_.SetLinkFaults(id, faults);
    }
  }

  Site site_{Options()};
  Cluster& cluster_ = site_.cluster();
};

// Guards against requests that fail because pooled connections went silent.
TEST_F(ModelFaultsTest, SilentConnectionsAreReplaced) {
  // The connection pools hold idle connections. All of them go silent for good;
  // new ones work.
  SetLinkFaults({{"silence_existing", "both"}});
  EXPECT_EQ(SendAndCheck(MixedRequests("idle-silent", 32)).answers, 32);
}

// Guards against requests that hang, and engines that are never used again,
// when new connections are silent in one direction.
TEST_F(ModelFaultsTest, NewConnectionsAreSilentInOneDirection) {
  for (const std::string direction : {"to_target", "to_client"}) {
    SetLinkFaults({{"drop_existing", true}, {"silent_new", direction}});
    // Requests must be refused or broken by their deadline, not hang.
    EXPECT_EQ(
        SendAndCheck(MixedRequests("silent-" + direction, 16, 4s)).answers, 0);
  }
  SetLinkFaults({{"drop_existing", true}, {"silent_new", ""}});
  // The nodes may hold back engines for a while; in the end engines serve
  // again.
  int round = 0;
  EXPECT_TRUE(WaitUntil(
      [&] {
        return SendAndCheck(
                   MixedRequests("back-" + std::to_string(++round), 8, 10s))
                   .answers == 8;
      },
      60s));
}

// Guards against streams that are lost when their connection goes silent.
TEST_F(ModelFaultsTest, SilentStreamsResumeOverANewConnection) {
  std::vector<CallResult> answers;
  const auto calls = MixedRequests("mid-silent", 16, 60s, 400);
  boost::fibers::fiber burst(
      [&] { answers = cluster_.client().SendAll(calls); });
  ASSERT_TRUE(
      WaitUntil([&] { return site_.RunsByPrompt().contains("mid-silent-0"); }));
  SetLinkFaults({{"silence_existing", "to_client"}});
  burst.join();
  const auto outcomes = site_.Check(calls, answers);
  EXPECT_EQ(outcomes.problems, "");
  EXPECT_EQ(outcomes.answers, 16);
}

// Guards against truncated responses that pass as complete, wherever the
// connection breaks.
TEST_F(ModelFaultsTest, ConnectionsBreakAtEachPosition) {
  // Before the first byte, inside the headers, and inside the events.
  for (const int bytes : {0, 60, 500, 900}) {
    SetLinkFaults({{"drop_existing", true}, {"cut_to_client_bytes", bytes}});
    (void)SendAndCheck(MixedRequests("cut-" + std::to_string(bytes), 16, 3s));
  }
}

// Guards against streams that fail after a single broken connection.
TEST_F(ModelFaultsTest, StreamsBrokenOnceAreResumed) {
  SetEngineFaults({{"cut_streams", 4}});
  EXPECT_EQ(SendAndCheck(MixedRequests("resumed", 32)).answers, 32);
}

// Guards against a truncated stream that passes as complete when its connection
// breaks after the last token, where only the end marker is missing.
TEST_F(ModelFaultsTest, MissingEndMarkerNeverPassesAsTheEnd) {
  SetEngineFaults({{"cut_ends", kAlways}});
  EXPECT_EQ(SendAndCheck(MixedRequests("cut-end", 16, 5s)).answers, 0);
  SetEngineFaults({{"cut_ends", 0}, {"omit_ends", kAlways}});
  EXPECT_EQ(SendAndCheck(MixedRequests("no-end", 16, 5s)).answers, 0);
}

// Guards against a response to one request that is delivered to another.
TEST_F(ModelFaultsTest, SwappedAnswersNeverReachAClient) {
  SetEngineFaults({{"wrong_answers", 10}});
  (void)SendAndCheck(MixedRequests("swapped", 64));
  SetEngineFaults({{"wrong_answers", kAlways}});
  EXPECT_EQ(SendAndCheck(MixedRequests("all-swapped", 16, 5s)).answers, 0);
}

// Guards against wrong or lost responses when all engines crash while they
// answer.
TEST_F(ModelFaultsTest, EnginesCrashWhileTheyAnswer) {
  std::vector<CallResult> answers;
  const auto calls = MixedRequests("crash", 32, 60s, 200);
  boost::fibers::fiber burst(
      [&] { answers = cluster_.client().SendAll(calls); });
  ASSERT_TRUE(
      WaitUntil([&] { return site_.RunsByPrompt().contains("crash-0"); }));
  for (const auto& id : cluster_.engine_ids()) {
    (void)cluster_.client().SendJson(cluster_.address(id), "POST",
                                     "/test/crash", {{"down_ms", 500}});
  }
  burst.join();
  const auto outcomes = site_.Check(calls, answers, {}, true);
  EXPECT_EQ(outcomes.problems, "");
  EXPECT_EQ(site_.Violations(), "");
  // Responses without streaming had not started to reach their clients, so
  // these requests are run again.
  EXPECT_GE(outcomes.answers, 16);
}

}  // namespace
}  // namespace tanagerloom::testing_support
