// Endpoints and nodes leave under load. Guards against work sent to a VM that
// is about to end, and against requests broken by a shutdown.
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

constexpr std::int64_t kLeavingLimitMs = 3000;

class LeavingTest : public testing::Test {
 protected:
  static SiteOptions Options() {
    SiteOptions options;
    options.nodes = 4;
    options.models_per_pool = 2;
    options.services = 2;
    // Allows 200 streams of one node to run at the same time.
    options.engine_flags = {"--capacity", "100"};
    options.node_settings = {{"max_in_progress", 100}};
    return options;
  }

  void SetUp() override { ASSERT_EQ(site_.Start(), ""); }

  // Sends rounds of requests until `stop`, and checks the responses of each.
  void GenerateLoad(const bool& stop) {
    for (int round = 0; !stop; ++round) {
      auto calls = site_.SpreadCalls("load-" + std::to_string(round), 16, 30s);
      for (int i = 0; i < 8; ++i) {
        const auto key =
            "book-" + std::to_string(round) + "-" + std::to_string(i);
        calls.push_back(site_.BookingCall(Site::Node(i % 4), key, key));
      }
      const auto outcomes =
          site_.Check(calls, cluster_.client().SendAll(calls));
      EXPECT_EQ(outcomes.problems, "");
      answers_ += outcomes.answers;
      SleepMs(20);
    }
  }

  // The time of the last event of `kind` in an endpoint's ledger, in ms; 0 if
  // there is none.
  std::int64_t LastEventMs(const std::string& id,
                           const std::string& kind) const {
    const auto events = EventsOfKind(cluster_.Ledger(id), kind);
    return events.empty() ? 0 : events.back().value("at_ms", std::int64_t{0});
  }

  Site site_{Options()};
  Cluster& cluster_ = site_.cluster();
  int answers_ = 0;
};

// Guards against work that still reaches an endpoint 3 s after the VM list
// reports that it is leaving.
TEST_F(LeavingTest, LeavingEndpointsGetNoNewWorkAfterThreeSeconds) {
  bool stop = false;
  boost::fibers::fiber load([&] { GenerateLoad(stop); });
  EXPECT_TRUE(WaitUntil([&] { return answers_ > 50; }));
  const auto engine = site_.Engine(kFenceIgnoringPool, 0);
  cluster_.SetVm(engine, {{"state", "leaving"}});
  cluster_.SetVm("desk-0", {{"state", "leaving"}});
  const auto leaving_at_ms = NowMs();
  const int before = answers_;
  SleepMs(kLeavingLimitMs + 2000);
  EXPECT_TRUE(WaitUntil([&] { return answers_ > before + 50; }));
  stop = true;
  load.join();
  for (const auto& [id, kind] : {std::pair{engine, "request"},
                                 {engine, "load_started"},
                                 {std::string("desk-0"), "run"}}) {
    EXPECT_LE(LastEventMs(id, kind), leaving_at_ms + kLeavingLimitMs)
        << id << " " << kind;
  }
  EXPECT_EQ(site_.Violations(), "");
}

// Guards against work that still reaches an endpoint that told only one node
// that it is leaving, by a refusal; the VM list does not report it.
TEST_F(LeavingTest, OneRefusalIsAnnouncedToEveryNode) {
  bool stop = false;
  boost::fibers::fiber load([&] { GenerateLoad(stop); });
  EXPECT_TRUE(WaitUntil([&] { return answers_ > 50; }));
  cluster_.Control("desk-0", {{"leaving", true}});
  SleepMs(1000);
  // The endpoint accepts requests again, but no node may send it any.
  const auto leaving_at_ms = NowMs();
  cluster_.Control("desk-0", {{"leaving", false}});
  const int before = answers_;
  SleepMs(kLeavingLimitMs + 1000);
  EXPECT_TRUE(WaitUntil([&] { return answers_ > before + 50; }));
  stop = true;
  load.join();
  EXPECT_LE(LastEventMs("desk-0", "run"), leaving_at_ms + kLeavingLimitMs);
  EXPECT_EQ(site_.Violations(), "");
}

// Guards against streams that are broken by a shutdown for a new version.
TEST_F(LeavingTest, SigtermFinishesAllOpenStreams) {
  constexpr int kStreams = 200;
  for (const auto& id : cluster_.engine_ids()) {
    cluster_.Control(id, {{"slow_factor", 50}});
  }
  std::vector<Call> calls;
  const auto models = site_.Models();
  for (int i = 0; i < kStreams; ++i) {
    calls.push_back(site_.CompletionCall(Site::Node(0),
                                         models[i % models.size()],
                                         "stream-" + std::to_string(i), 60s,
                                         /*stream=*/true, 60));
  }
  std::vector<CallResult> answers;
  boost::fibers::fiber burst(
      [&] { answers = cluster_.client().SendAll(calls); });
  EXPECT_TRUE(
      WaitUntil([&] { return site_.RunsByPrompt().size() == kStreams; }));
  auto& node = cluster_.process(Site::Node(0));
  node.Signal(SIGTERM);
  // New requests are refused immediately after the signal.
  EXPECT_TRUE(WaitUntil([&] {
    const auto answer = cluster_.client().SendJson(
        cluster_.admin(Site::Node(0)), "GET", "/readyz", nullptr);
    return answer.status != 200;
  }));
  burst.join();
  const auto outcomes = site_.Check(calls, answers);
  EXPECT_EQ(outcomes.problems, "");
  EXPECT_EQ(outcomes.answers, kStreams);
  EXPECT_EQ(node.WaitForExit(60s), 0);
  EXPECT_EQ(site_.Violations({Site::Node(0)}), "");
}

}  // namespace
}  // namespace tanagerloom::testing_support
