// Tests of the limit on request bodies that are being written to one endpoint.
// The load that it answers: an endpoint that reads slowly and gets many long
// requests.
#include "forwarding/upload_limit.h"

#include <gtest/gtest.h>

namespace tanagerloom {
namespace {

constexpr std::size_t kMb = 1024UL * 1024;

// Guards against one endpoint that holds the memory of all, and against
// endpoints that share one limit.
TEST(UploadLimit, HoldsForEachEndpointAlone) {
  UploadLimit limit(4 * kMb);
  Upload first(limit, "slow", 3 * kMb);
  EXPECT_TRUE(first.granted());
  EXPECT_FALSE(Upload(limit, "slow", 2 * kMb).granted());
  EXPECT_TRUE(Upload(limit, "slow", kMb).granted());
  EXPECT_TRUE(Upload(limit, "other", 3 * kMb).granted());
  EXPECT_EQ(limit.bytes("slow"), 3 * kMb);
  first.End();
  first.End();
  EXPECT_EQ(limit.bytes("slow"), 0U);
  EXPECT_TRUE(Upload(limit, "slow", 2 * kMb).granted());
  EXPECT_EQ(limit.bytes("slow"), 0U);
}

// Guards against a body above the limit that is never sent, and against short
// requests that wait behind long ones.
TEST(UploadLimit, AllowsOneLongBodyAndAllShortOnes) {
  UploadLimit limit(4 * kMb);
  Upload longest(limit, "e", 16 * kMb);
  EXPECT_TRUE(longest.granted());
  EXPECT_FALSE(Upload(limit, "e", UploadLimit::kMinCountedBytes).granted());
  EXPECT_TRUE(Upload(limit, "e", UploadLimit::kMinCountedBytes - 1).granted());
}

}  // namespace
}  // namespace tanagerloom
