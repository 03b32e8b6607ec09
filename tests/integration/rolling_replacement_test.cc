// Replaces every node under load. Guards against requests that are lost with a
// node, and against state that only one node had.
#include <gtest/gtest.h>
#include <signal.h>

#include <boost/fiber/fiber.hpp>

#include "testing/harness/site.h"
#include "testing/harness/wait.h"
#include "testing/support/standin.h"

namespace tanagerloom::testing_support {
namespace {

using namespace std::chrono_literals;

class RollingReplacementTest : public testing::Test {
 protected:
  static SiteOptions Options() {
    SiteOptions options;
    options.models_per_pool = 5;
    return options;
  }

  // The requests of one round. Like the platform's load balancer, it sends no
  // new requests to the node that is being stopped.
  std::vector<Call> RequestsOfRound(int round) const {
    std::vector<Call> calls;
    const auto models = site_.Models();
    for (int node = 0; node < site_.options().nodes; ++node) {
      if (Site::Node(node) == stopping_node_) {
        continue;
      }
      for (int i = 0; i < 3; ++i) {
        const auto n = static_cast<std::size_t>(round * 3 + node + i);
        const auto name = "roll-" + std::to_string(round) + "-" +
                          std::to_string(node) + "-" + std::to_string(i);
        calls.push_back(site_.CompletionCall(Site::Node(node),
                                             models[n % models.size()], name,
                                             60s, i == 0, 40));
      }
      const auto key =
          "roll-" + std::to_string(round) + "-" + std::to_string(node);
      calls.push_back(site_.BookingCall(Site::Node(node), key, key));
    }
    return calls;
  }

  void GenerateLoad(const bool& stop) {
    std::vector<boost::fibers::fiber> rounds;
    for (int round = 0; !stop; ++round) {
      rounds.emplace_back([this, calls = RequestsOfRound(round)] {
        const auto outcomes =
            site_.Check(calls, cluster_.client().SendAll(calls));
        EXPECT_EQ(outcomes.problems, "");
        EXPECT_EQ(outcomes.answers, static_cast<int>(calls.size()));
        answers_ += outcomes.answers;
      });
      SleepMs(100);
    }
    for (auto& it : rounds) {
      it.join();
    }
  }

  Site site_{Options()};
  Cluster& cluster_ = site_.cluster();
  std::string stopping_node_;
  int answers_ = 0;
};

// Guards against requests that fail while each node in turn is stopped by
// SIGTERM and replaced by a new process.
TEST_F(RollingReplacementTest, EveryNodeIsReplacedUnderLoad) {
  ASSERT_EQ(site_.Start(), "");
  bool stop = false;
  boost::fibers::fiber load([&] { GenerateLoad(stop); });
  for (int i = 0; i < site_.options().nodes; ++i) {
    const int before = answers_;
    EXPECT_TRUE(WaitUntil([&] { return answers_ > before + 20; }));
    stopping_node_ = Site::Node(i);
    // Requests in flight reach the node before the signal.
    SleepMs(300);
    auto& process = cluster_.process(Site::Node(i));
    process.Signal(SIGTERM);
    EXPECT_EQ(process.WaitForExit(90s), 0);
    cluster_.RemoveVm(Site::Node(i));
    EXPECT_TRUE(cluster_.ReplaceNode(Site::Node(i)));
    EXPECT_TRUE(
        WaitUntil([&] { return site_.ServesConfiguration(Site::Node(i)); }));
    stopping_node_.clear();
  }
  stop = true;
  load.join();
  EXPECT_EQ(site_.Violations(), "");
}

}  // namespace
}  // namespace tanagerloom::testing_support
