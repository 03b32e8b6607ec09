// Tests of CheckInvariant. Guards against a check that does not abort the
// process on a violation or does not count.
#include <gtest/gtest.h>

#include "base/invariant.h"

namespace tanagerloom {
namespace {

TEST(InvariantDeathTest, ViolationAbortsWithItsNameAndValues) {
  testing::GTEST_FLAG(death_test_style) = "threadsafe";
  EXPECT_DEATH(CheckInvariant(false, "memory_within_capacity", {{"used", 9}}),
               "memory_within_capacity.*used");
}

TEST(InvariantTest, SatisfiedInvariantsAreCounted) {
  const auto before = InvariantsChecked();
  CheckInvariant(true, "holds", {});
  EXPECT_EQ(InvariantsChecked(), before + 1);
}

}  // namespace
}  // namespace tanagerloom
