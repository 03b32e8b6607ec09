// Test of the fibers of the placement service on the real clock.
#include <gtest/gtest.h>

#include "placement_fakes.h"
#include "runtime/steady_clock.h"

namespace tanagerloom::testing_placement {
namespace {

// Guards against a service that does not start, sends no orders or never stops,
// and against one that stops before its orders in flight are recorded.
TEST(PlacementServiceTest, ServesDemandAndStopsAfterItsOrders) {
  SteadyClock clock;
  FakeStore store;
  FakeEngines engines(clock);
  engines.load_time = 30ms;
  PeerHub hub;
  hub.nodes = {"n0"};
  hub.vms.push_back({.id = "gw-0",
                     .role = VmRole::kEngine,
                     .address = {"127.0.0.1", 1000},
                     .data_centre = "dc",
                     .pool = "pool"});
  FakePeers peers(hub, "n0");
  FakeEstate estate;
  estate.estate->version = 1;
  estate.estate->pools["pool"].name = "pool";
  auto& model = estate.estate->models["m"];
  model.version = "1";
  model.pool = "pool";
  model.memory_mb = 100;
  model.replica_limit = 1;
  EventLog log("n0", 1000, MakeNullLogger());
  Settings settings;
  PlacementService service(
      {store, engines, peers, estate, clock, log, settings});
  service.Start();
  const ModelKey key{"m", "1", ""};
  service.SetDemand("pool", key, {1, 0, 0, {}});
  const auto deadline = clock.Now() + 20s;
  while (service.Replicas(key).empty() && clock.Now() < deadline) {
    const auto seen_count = service.changed().count();
    service.changed().WaitUntil(seen_count, clock.Now() + 1s);
  }
  ASSERT_EQ(service.Replicas(key).size(), 1U);
  EXPECT_EQ(service.Replicas(key).front().engine, "gw-0");
  // The response to the next order is lost; the service waits until the engine
  // reports that the order was executed.
  engines.engines[1000].loses_responses = true;
  auto& other = estate.estate->models["other"] = model;
  (void)other;
  service.SetDemand("pool", {"other", "1", ""}, {1, 0, 0, {}});
  while (engines.engines[1000].started_loads < 2 && clock.Now() < deadline) {
    clock.SleepFor(5ms);
  }
  engines.engines[1000].loses_responses = false;
  service.RequestStop(20s);
  EXPECT_LT(clock.Now(), deadline);
  const auto record = service.Status()["cells"]["pool"]["record"];
  EXPECT_EQ(record["servers"]["gw-0"]["replicas"].size(), 2U);
}

}  // namespace
}  // namespace tanagerloom::testing_placement
