// Tests of the order in which nodes take over the order lease. They guard
// against a holder on a small VM, and against nodes that all try at once.
#include "ordering/lease_rank.h"

#include <gtest/gtest.h>

#include <vector>

namespace tanagerloom {
namespace {

TEST(LeaseRank, LargerVmsComeFirst) {
  const std::vector<LeaseCandidate> nodes = {
      {"a", 0.09}, {"b", 0.5}, {"c", 0.3}, {"d", 0.5}};
  EXPECT_EQ(LeaseRank("b", nodes), 0U);
  EXPECT_EQ(LeaseRank("d", nodes), 1U);
  EXPECT_EQ(LeaseRank("c", nodes), 2U);
  EXPECT_GT(LeaseRank("a", nodes), LeaseRank("c", nodes));
}

TEST(LeaseRank, EqualVmsComeInTheOrderOfTheirNames) {
  const std::vector<LeaseCandidate> nodes = {
      {"c", 0.25}, {"a", 0.25}, {"b", 0.25}};
  EXPECT_EQ(LeaseRank("a", nodes), 0U);
  EXPECT_EQ(LeaseRank("b", nodes), 1U);
  EXPECT_EQ(LeaseRank("c", nodes), 2U);
}

// Guards against small VMs that try together with the last large ones.
TEST(LeaseRank, SmallVmsComeAfterAllLargeOnes) {
  std::vector<LeaseCandidate> nodes;
  for (int i = 0; i < 20; ++i) {
    nodes.push_back({"large-" + std::to_string(i), 0.5});
    nodes.push_back({"a-small-" + std::to_string(i), 0.09});
  }
  for (const auto& it : nodes) {
    if (it.processors > 0.1) {
      EXPECT_LT(LeaseRank(it.node, nodes), LeaseRank("a-small-0", nodes));
    }
  }
}

// Guards against a takeover that waits for longer the more nodes there are.
TEST(LeaseRank, IsLimited) {
  std::vector<LeaseCandidate> nodes;
  for (int i = 0; i < 500; ++i) {
    nodes.push_back({"n" + std::to_string(i), 0.01 * i});
  }
  for (const auto& it : nodes) {
    EXPECT_LE(LeaseRank(it.node, nodes), 6U);
  }
}

// Guards against nodes of an older version, which do not tell their processors:
// they come last, in the order of their names.
TEST(LeaseRank, UnknownVmsComeLast) {
  const std::vector<LeaseCandidate> nodes = {{"a", 0}, {"b", 0.09}, {"c", 0}};
  EXPECT_EQ(LeaseRank("b", nodes), 0U);
  EXPECT_GT(LeaseRank("a", nodes), 0U);
  const std::vector<LeaseCandidate> unknown = {{"a", 0}, {"b", 0}};
  EXPECT_EQ(LeaseRank("a", unknown), 0U);
  EXPECT_EQ(LeaseRank("b", unknown), 1U);
}

// Guards against a node that is not listed yet and tries before the others.
TEST(LeaseRank, UnlistedNodeDoesNotComeFirst) {
  EXPECT_GT(LeaseRank("x", std::vector<LeaseCandidate>{{"a", 0.5}}), 0U);
}

}  // namespace
}  // namespace tanagerloom
