// Requests suspected of crashing engines, waiting at several nodes: guards
// against suspects that keep each other from running until their deadline.
#include <gtest/gtest.h>

#include "testing/harness/site.h"

namespace tanagerloom::testing_support {
namespace {

using namespace std::chrono_literals;

TEST(SuspectsTest, SuspectsOfSeveralNodesFinishBeforeTheirDeadline) {
  SiteOptions options;
  options.with_proxy = false;
  options.nodes = 4;
  options.engines_per_pool = 3;
  options.models_per_pool = 2;
  options.replica_limit = 3;
  options.engine_flags = {"--crash", "simulate", "--crash-ms", "300"};
  Site site(options);
  ASSERT_EQ(site.Start(), "");
  std::vector<Call> calls;
  for (int i = 0; i < 50; ++i) {
    calls.push_back(site.Complete(
        Site::Node(i % 4), Site::Model(kCheckingPool, 0), "CRASH_ENGINE", 30s));
  }
  // Engines are up again 300 ms after a crash, and a suspect ends at once, so
  // that only the waiting for each other can use up 30 s.
  int late = 0;
  for (const auto& it : site.cluster().caller().SendAll(calls)) {
    late += it.RefusalCode() == "deadline_exceeded" ? 1 : 0;
  }
  EXPECT_EQ(late, 0);
  EXPECT_EQ(site.Violations(), "");
}

}  // namespace
}  // namespace tanagerloom::testing_support
