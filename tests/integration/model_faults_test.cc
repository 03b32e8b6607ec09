// Faults of the connections to engines: guards against answers that are cut,
// swapped or missing and pass as whole ones.
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
    const auto calls = site_.Spread("warm-up", 16);
    ASSERT_EQ(site_.Check(calls, cluster_.caller().SendAll(calls)).answers, 16);
  }

  // `n` requests, every second one a stream.
  std::vector<Call> MixedRequests(const std::string& name,
                                  int n,
                                  std::chrono::milliseconds deadline = 30s,
                                  int tokens = 8) const {
    const auto models = site_.Models();
    std::vector<Call> calls;
    for (int i = 0; i < n; ++i) {
      calls.push_back(site_.Complete(
          Site::Node(i % 4), models[i / 4 % models.size()],
          name + "-" + std::to_string(i), deadline, i % 2 == 0, tokens));
    }
    return calls;
  }

  // Sends the calls; broken streams are recognisable, all else is a problem.
  Tally SendAndCheck(const std::vector<Call>& calls) {
    const auto tally =
        site_.Check(calls, cluster_.caller().SendAll(calls), {}, true);
    EXPECT_EQ(tally.problems, "");
    EXPECT_EQ(site_.Violations(), "");
    return tally;
  }

  void SetEngineFaults(const nlohmann::json& faults) {
    for (const auto& id : cluster_.engine_ids()) {
      cluster_.Control(id, faults);
    }
  }

  void SetLinkFaults(const nlohmann::json& faults) {
    for (const auto& id : cluster_.engine_ids()) {
      cluster_.Fault(id, faults);
    }
  }

  Site site_{Options()};
  Cluster& cluster_ = site_.cluster();
};

TEST_F(ModelFaultsTest, SilentConnectionsAreReplaced) {
  // The pools hold idle connections; all go silent for good, new ones work.
  SetLinkFaults({{"silence_existing", "both"}});
  EXPECT_EQ(SendAndCheck(MixedRequests("idle-silent", 32)).answers, 32);
}

TEST_F(ModelFaultsTest, NewConnectionsAreSilentInOneDirection) {
  for (const std::string direction : {"to_target", "to_client"}) {
    SetLinkFaults({{"drop_existing", true}, {"silent_new", direction}});
    // Refused or broken by the deadline, not hanging.
    EXPECT_EQ(
        SendAndCheck(MixedRequests("silent-" + direction, 16, 4s)).answers, 0);
  }
  SetLinkFaults({{"drop_existing", true}, {"silent_new", ""}});
  // Engines may be held back for a while; in the end they serve again.
  int round = 0;
  EXPECT_TRUE(WaitUntil(
      [&] {
        return SendAndCheck(
                   MixedRequests("back-" + std::to_string(++round), 8, 10s))
                   .answers == 8;
      },
      60s));
}

TEST_F(ModelFaultsTest, SilentStreamsResumeOverANewConnection) {
  std::vector<Answer> answers;
  const auto calls = MixedRequests("mid-silent", 16, 60s, 400);
  boost::fibers::fiber burst(
      [&] { answers = cluster_.caller().SendAll(calls); });
  ASSERT_TRUE(
      WaitUntil([&] { return site_.RunsByPrompt().contains("mid-silent-0"); }));
  SetLinkFaults({{"silence_existing", "to_client"}});
  burst.join();
  const auto tally = site_.Check(calls, answers);
  EXPECT_EQ(tally.problems, "");
  EXPECT_EQ(tally.answers, 16);
}

TEST_F(ModelFaultsTest, ConnectionsBreakAtEachPosition) {
  // Before the first byte, inside the head, inside the events.
  for (const int bytes : {0, 60, 500, 900}) {
    SetLinkFaults({{"drop_existing", true}, {"cut_to_client_bytes", bytes}});
    (void)SendAndCheck(MixedRequests("cut-" + std::to_string(bytes), 16, 3s));
  }
}

TEST_F(ModelFaultsTest, StreamsBrokenOnceAreResumed) {
  SetEngineFaults({{"cut_streams", 4}});
  EXPECT_EQ(SendAndCheck(MixedRequests("resumed", 32)).answers, 32);
}

// After the last token, the missing end marker is the only sign of the cut.
TEST_F(ModelFaultsTest, MissingEndMarkerNeverPassesAsTheEnd) {
  SetEngineFaults({{"cut_ends", kAlways}});
  EXPECT_EQ(SendAndCheck(MixedRequests("cut-end", 16, 5s)).answers, 0);
  SetEngineFaults({{"cut_ends", 0}, {"omit_ends", kAlways}});
  EXPECT_EQ(SendAndCheck(MixedRequests("no-end", 16, 5s)).answers, 0);
}

TEST_F(ModelFaultsTest, SwappedAnswersNeverReachAClient) {
  SetEngineFaults({{"wrong_answers", 10}});
  (void)SendAndCheck(MixedRequests("swapped", 64));
  SetEngineFaults({{"wrong_answers", kAlways}});
  EXPECT_EQ(SendAndCheck(MixedRequests("all-swapped", 16, 5s)).answers, 0);
}

TEST_F(ModelFaultsTest, EnginesCrashWhileTheyAnswer) {
  std::vector<Answer> answers;
  const auto calls = MixedRequests("crash", 32, 60s, 200);
  boost::fibers::fiber burst(
      [&] { answers = cluster_.caller().SendAll(calls); });
  ASSERT_TRUE(
      WaitUntil([&] { return site_.RunsByPrompt().contains("crash-0"); }));
  for (const auto& id : cluster_.engine_ids()) {
    (void)cluster_.caller().SendJson(cluster_.address(id), "POST",
                                     "/test/crash", {{"down_ms", 500}});
  }
  burst.join();
  const auto tally = site_.Check(calls, answers, {}, true);
  EXPECT_EQ(tally.problems, "");
  EXPECT_EQ(site_.Violations(), "");
  // Whole answers had not begun at their callers, so they are run again.
  EXPECT_GE(tally.answers, 16);
}

}  // namespace
}  // namespace tanagerloom::testing_support
