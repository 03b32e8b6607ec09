// Guards against an invariant check that cannot fire.
#include <gtest/gtest.h>

#include "base/invariant.h"

namespace tanagerloom {
namespace {

TEST(InvariantDeathTest, ViolationAbortsWithItsNameAndValues) {
  testing::GTEST_FLAG(death_test_style) = "threadsafe";
  EXPECT_DEATH(CheckInvariant(false, "memory_within_capacity", {{"used", 9}}),
               "memory_within_capacity.*used");
}

TEST(InvariantTest, HoldingOnesAreCounted) {
  const auto before = InvariantsChecked();
  CheckInvariant(true, "holds", {});
  EXPECT_EQ(InvariantsChecked(), before + 1);
}

}  // namespace
}  // namespace tanagerloom
