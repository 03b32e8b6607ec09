// Random faults over placement on several nodes: guards against overcommitted
// memory (G2) and replicas above the limit (G1) under combined faults, and
// against a cell that does not recover after them.
#include <rapidcheck.h>

#include "placement_fakes.h"

namespace tanagerloom::testing_placement {
namespace {

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
        Heal();
      }
      Fault();
      RunFor(*rc::gen::element<Duration>(50ms, 500ms, 4s), 25ms);
      RC_ASSERT(!HasFailure());
    }
    Recover();
  }

 private:
  std::string AnyNode() { return *rc::gen::elementOf(hub_.nodes); }
  FakeEngine& AnyEngine() {
    return engines_
        .engines[static_cast<std::uint16_t>(1000 + *rc::gen::inRange(0, 3))];
  }

  void Fault() {
    switch (*rc::gen::inRange(0, 22)) {
      case 0:
      case 1:
      case 2:
      case 3:
      case 17:
      case 18:
        Demand(AnyNode(), *rc::gen::elementOf(models_), 1);
        break;
      case 19:
      case 20:
        ClearDemand();
        break;
      case 4:
        store_.lose_answers = 1;
        break;
      case 5:
        store_.lose_requests = 1;
        break;
      case 6:
        store_.down = !store_.down;
        break;
      case 7:
      case 16:
        AnyEngine().Restart();
        break;
      case 8:
        AnyEngine().unreachable ^= true;
        break;
      case 9:
        AnyEngine().silent ^= true;
        break;
      case 10:
        Toggle(hub_.cut, AnyNode());
        break;
      case 11:
        Toggle(paused_, AnyNode());
        break;
      case 12:
      case 14:
        AnyEngine().capture ^= true;
        break;
      case 13:
      case 15:
        DeliverCaptured(AnyEngine());
        break;
      default:
        AnyEngine().fail_loads ^= true;
        break;
    }
  }

  static void Toggle(std::set<std::string>& set, const std::string& it) {
    if (set.erase(it) == 0) {
      set.insert(it);
    }
  }

  void ClearDemand() {
    for (const auto& node : hub_.nodes) {
      for (const auto& model : models_) {
        Demand(node, model, 0);
      }
    }
  }

  // An order that is still in the network may arrive at any time.
  void DeliverCaptured(FakeEngine& engine) {
    for (const auto& order : std::exchange(engine.captured, {})) {
      engines_.Take(engine, order);
    }
  }

  // Ends all faults; orders that were sent stay in the network.
  void Heal() {
    store_.down = false;
    store_.lose_answers = store_.lose_requests = 0;
    hub_.cut.clear();
    paused_.clear();
    for (auto& [port, engine] : engines_.engines) {
      engine.unreachable = engine.silent = engine.capture = engine.fail_loads =
          false;
    }
  }

  void Recover() {
    Heal();
    for (auto& [port, engine] : engines_.engines) {
      engine.captured.clear();
    }
    ClearDemand();
    RunFor(100ms);
    Demand("n0", models_.front(), 1);
    RunFor(150s, 100ms);
    RC_ASSERT(!HasFailure());
    RC_ASSERT(Loaded("n0", models_.front()) >= 1U);
    RC_ASSERT(Loaded("n2", models_.front()) == Loaded("n0", models_.front()));
  }

  std::vector<ModelKey> models_;
};

TEST(PlacementRandomTest, EnginesThatCheckFences) {
  EXPECT_TRUE(rc::check([] { RandomPlacement().Run(true); }));
}

TEST(PlacementRandomTest, EnginesThatIgnoreFences) {
  EXPECT_TRUE(rc::check([] { RandomPlacement().Run(false); }));
}

}  // namespace
}  // namespace tanagerloom::testing_placement
