// Placement on several nodes with fake ports: guards against more replicas than
// decided (G1) and overcommitted memory (G2) under lost answers, lost peers and
// replaced executors.
#include "placement_fakes.h"

namespace tanagerloom::testing_placement {
namespace {

class PlacementTest : public PlacementFixture {};

// Guards against each node of a burst deciding its own replica.
TEST_F(PlacementTest, BurstAtAllNodesLoadsWithinTheLimit) {
  AddEngines(4, false);
  AddNodes(4);
  const auto model = AddModel("m", 9000, 2);
  RunFor(100ms);
  for (const auto& it : hub_.nodes) {
    Demand(it, model, 20);
  }
  RunFor(600ms);
  EXPECT_EQ(TotalLoads(), 2);
  for (const auto& it : hub_.nodes) {
    EXPECT_EQ(Loaded(it, model), 2U) << it;
  }
}

// Guards against a decision being repeated or dropped when the answer to its
// write, or the write itself, is lost.
TEST_F(PlacementTest, LostAnswersAndRequestsDoNotRepeatDecisions) {
  AddEngines(2, false);
  AddNodes(2);
  const auto model = AddModel("m", 9000, 1);
  RunFor(100ms);
  store_.lose_answers = 1;
  Demand("n0", model, 1);
  RunFor(500ms);
  EXPECT_EQ(TotalLoads(), 1);
  const auto other = AddModel("other", 9000, 1);
  store_.lose_requests = 1;
  Demand("n0", other, 1);
  RunFor(1s);
  EXPECT_EQ(TotalLoads(), 2);
  EXPECT_EQ(Loaded("n0", other), 1U);
}

// Guards against overcommitted memory when models don't all fit.
TEST_F(PlacementTest, ModelsThatDoNotFitAreNotLoaded) {
  AddEngines(1, true);
  AddNodes(1);
  const auto first = AddModel("first", 50000, 1);
  const auto second = AddModel("second", 50000, 1);
  RunFor(100ms);
  Demand("n0", first, 1);
  Demand("n0", second, 1);
  RunFor(500ms);
  EXPECT_EQ(TotalLoads(), 1);
}

// Guards against requests waiting for a coordinator that can't be reached.
TEST_F(PlacementTest, NodeDecidesItselfWithoutAcknowledgement) {
  AddEngines(2, false);
  AddNodes(3);
  const auto model = AddModel("m", 9000, 1);
  RunFor(100ms);
  const auto node = OtherNode();
  hub_.cut.insert(Coordinator());
  Demand(node, model, 1);
  RunFor(400ms);
  EXPECT_EQ(TotalLoads(), 0);
  RunFor(800ms);
  EXPECT_EQ(TotalLoads(), 1);
  EXPECT_EQ(Loaded(node, model), 1U);
}

// Guards against a load that is lost with its executor.
TEST_F(PlacementTest, OrderOfADeadExecutorIsAdopted) {
  AddEngines(2, false);
  AddNodes(2);
  const auto model = AddModel("m", 9000, 1);
  RunFor(100ms);
  const auto dead = Coordinator();
  const auto node = OtherNode();
  for (auto& [port, engine] : engines_.engines) {
    engine.unreachable = true;
  }
  Demand(node, model, 1);
  RunFor(100ms);
  EXPECT_EQ(TotalLoads(), 0);
  hub_.gone.insert(dead);
  for (auto& [port, engine] : engines_.engines) {
    engine.unreachable = false;
  }
  RunFor(2500ms);
  EXPECT_EQ(TotalLoads(), 1);
  EXPECT_EQ(Loaded(node, model), 1U);
}

}  // namespace
}  // namespace tanagerloom::testing_placement
