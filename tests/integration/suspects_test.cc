// Requests suspected of crashing engines wait at several nodes. Guards against
// suspects that block each other until their deadline.
#include <gtest/gtest.h>

#include "testing/harness/site.h"

namespace tanagerloom::testing_support {
namespace {

using namespace std::chrono_literals;

// Guards against nodes that each hold back their own suspects for those of
// other nodes until all of them exceed the deadline.
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
    calls.push_back(site.CompletionCall(Site::Node(i % 4),
                                        Site::Model(kFenceCheckingPool, 0),
                                        "CRASH_ENGINE", 30s));
  }
  // Engines restart 300 ms after a crash and a suspect ends at once, so only
  // suspects that block each other can use up 30 s.
  int late = 0;
  for (const auto& it : site.cluster().client().SendAll(calls)) {
    late += it.RefusalCode() == "deadline_exceeded" ? 1 : 0;
  }
  EXPECT_EQ(late, 0);
  EXPECT_EQ(site.Violations(), "");
}

}  // namespace
}  // namespace tanagerloom::testing_support
