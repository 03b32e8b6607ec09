// Tests of placement on several nodes under random combinations of faults:
// guards against overcommitted memory (G2), replicas above the limit (G1) and a
// cell that does not recover when the faults end.
#include <rapidcheck.h>

#include "placement_fakes.h"

namespace tanagerloom::testing_placement {
namespace {

// Runs random faults, then ends them and checks that a model gets loaded.
class RandomPlacement : public PlacementFixture {
 public:
  void TestBody() override {}

  void Run(bool checks_fence) {
    AddEngines(3, checks_fence);
    AddNodes(3);
    for (int i = 0; i < 4; ++i) {
      models_.push_back(AddModel("m" + std::to_string(i), 45000,
                                 *rc::gen::inRange<std::uint32_t>(1, 3)));
    }
    RunFor(500ms);
    for (int i = 0; i < 30; ++i) {
      if (*rc::gen::inRange(0, 3) == 0) {
        EndFaults();
      }
      InjectRandomFault();
      RunFor(*rc::gen::element<Duration>(50ms, 500ms, 4s), 25ms);
      RC_ASSERT(!HasFailure());
    }
    CheckRecovery();
  }

 private:
  std::string RandomNode() { return *rc::gen::elementOf(hub_.nodes); }
  FakeEngine& RandomEngine() {
    return engines_
        .engines[static_cast<std::uint16_t>(1000 + *rc::gen::inRange(0, 3))];
  }

  void InjectRandomFault() {
    switch (*rc::gen::inRange(0, 22)) {
      case 0:
      case 1:
      case 2:
      case 3:
      case 17:
      case 18:
        SetWaiting(RandomNode(), *rc::gen::elementOf(models_), 1);
        break;
      case 19:
      case 20:
        ClearDemand();
        break;
      case 4:
        store_.responses_to_lose = 1;
        break;
      case 5:
        store_.requests_to_lose = 1;
        break;
      case 6:
        store_.unavailable = !store_.unavailable;
        break;
      case 7:
      case 16:
        RandomEngine().Restart();
        break;
      case 8:
        RandomEngine().unreachable ^= true;
        break;
      case 9:
        RandomEngine().loses_responses ^= true;
        break;
      case 10:
        Toggle(hub_.disconnected, RandomNode());
        break;
      case 11:
        Toggle(paused_, RandomNode());
        break;
      case 12:
      case 14:
        RandomEngine().capture_orders ^= true;
        break;
      case 13:
      case 15:
        DeliverCaptured(RandomEngine());
        break;
      default:
        RandomEngine().fail_loads ^= true;
        break;
    }
  }

  // Adds `it` to the set, or removes it if the set contains it.
  static void Toggle(std::set<std::string>& set, const std::string& it) {
    if (set.erase(it) == 0) {
      set.insert(it);
    }
  }

  void ClearDemand() {
    for (const auto& node : hub_.nodes) {
      for (const auto& model : models_) {
        SetWaiting(node, model, 0);
      }
    }
  }

  // Delivers the orders that were delayed in the network.
  void DeliverCaptured(FakeEngine& engine) {
    for (const auto& order : std::exchange(engine.captured_orders, {})) {
      engines_.HandleOrder(engine, order);
    }
  }

  // Ends all faults. Captured orders are kept and may still be delivered.
  void EndFaults() {
    store_.unavailable = false;
    store_.responses_to_lose = store_.requests_to_lose = 0;
    hub_.disconnected.clear();
    paused_.clear();
    for (auto& [port, engine] : engines_.engines) {
      engine.unreachable = engine.loses_responses = engine.capture_orders =
          engine.fail_loads = false;
    }
  }

  void CheckRecovery() {
    EndFaults();
    for (auto& [port, engine] : engines_.engines) {
      engine.captured_orders.clear();
    }
    ClearDemand();
    RunFor(100ms);
    SetWaiting("n0", models_.front(), 1);
    RunFor(150s, 100ms);
    RC_ASSERT(!HasFailure());
    RC_ASSERT(CountLoaded("n0", models_.front()) >= 1U);
    RC_ASSERT(CountLoaded("n2", models_.front()) ==
              CountLoaded("n0", models_.front()));
  }

  std::vector<ModelKey> models_;
};

// Engines that check fencing tokens refuse orders that arrive too late.
TEST(PlacementRandomTest, EnginesThatCheckFencingTokens) {
  EXPECT_TRUE(rc::check([] { RandomPlacement().Run(true); }));
}

// Engines that ignore fencing tokens also execute orders that arrive too late.
TEST(PlacementRandomTest, EnginesThatIgnoreFencingTokens) {
  EXPECT_TRUE(rc::check([] { RandomPlacement().Run(false); }));
}

}  // namespace
}  // namespace tanagerloom::testing_placement
