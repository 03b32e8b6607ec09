// Runs the nodes of a registered fleet as real processes against stand-ins of
// the platform's object store and engines.
#include <gtest/gtest.h>
#include <signal.h>

#include <boost/fiber/operations.hpp>
#include <fstream>
#include <set>

#include "http/http_client.h"
#include "runtime/runtime.h"
#include "runtime/steady_clock.h"
#include "testing/fleet_standin/endpoint_standin.h"
#include "testing/fleet_standin/store_standin.h"
#include "testing/harness/node_process.h"
#include "testing/harness/process.h"
#include "testing/harness/wait.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing_support::NodeProcess;
using testing_support::TestFolder;
using testing_support::WaitUntil;

constexpr int kNodes = 3;
constexpr int kModels = 6;

nlohmann::json ConfigJson() {
  auto models = nlohmann::json::array();
  for (int i = 0; i < kModels; ++i) {
    models.push_back({{"name", "m" + std::to_string(i)},
                      {"weightsMb", 400},
                      {"loadS", 1.5},
                      {"diskS", 0.3},
                      {"warmS", 0.3}});
  }
  const auto route = [](const char* prefix, const char* service) {
    return nlohmann::json{{"name", prefix},       {"host", "h.example"},
                          {"pathPrefix", prefix}, {"kind", "streaming"},
                          {"timeoutMs", 15000},   {"goalMs", 3000},
                          {"service", service},   {"maxAttempts", 1}};
  };
  return {{"version", 1},
          {"routes", {route("/stream/", "pool")}},
          {"services",
           {{{"name", "pool"},
             {"engine",
              {{"slots", 8},
               {"weightsMb", 1000},
               {"adapterSlots", 2},
               {"loadsPerS", 4},
               {"models", models}}}}}}};
}

// Time within which a node that was started is ready.
constexpr auto kStartTimeout = std::chrono::seconds(10);

class FleetTest : public testing::Test {
 protected:
  void SetUp() override {
    store.Set("config", "main", ConfigJson());
    for (int e = 0; e < 2; ++e) {
      engines.push_back(
          new EndpointStandin(store, "i-" + std::to_string(e), "pool"));
    }
    for (int i = 0; i < kModels; ++i) {
      engines[i % 2]->on_disk.insert("m" + std::to_string(i));
    }
    for (auto* it : engines) {
      it->Register();
    }
    for (int i = 0; i < kNodes; ++i) {
      nodes.push_back(std::make_unique<NodeProcess>(
          folder.path(), "node-" + std::to_string(i), store.address()));
    }
    for (const auto& it : nodes) {
      ASSERT_TRUE(WaitUntil([&] { return it->IsReady(); }));
    }
  }

  // Sends one request for a model to a node. Returns the HTTP status, or 0 if
  // there is no response.
  int SendRequest(const NodeProcess& node, const std::string& model) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/stream/" + model;
    request.body = "prompt";
    request.headers = {{"Host", "h.example"},
                       {"Attempt-Id", "a-" + std::to_string(++request_count)},
                       {"Model", model},
                       {"Deadline-Ms", "14000"}};
    const auto answer = client.Call(
        node.front(), request,
        {.deadline = clock.Now() + seconds(16), .fresh_connection = true});
    return answer ? answer.assume_value().status : 0;
  }

  std::string LeaseHolder() const {
    const auto lease = store.Spec("fleet-leases", "orders");
    return lease.is_null() ? "" : lease.at("holder").get<std::string>();
  }

  NodeProcess& NodeById(const std::string& id) {
    return *nodes.at(static_cast<std::size_t>(id.back() - '0'));
  }

  // Expects that orders of two lease holders reach an engine at least the
  // handover gap of the settings apart, and with rising fencing tokens.
  void ExpectHandoverGap() const {
    for (const auto* engine : engines) {
      const auto& orders = engine->orders();
      for (std::size_t i = 1; i < orders.size(); ++i) {
        if (orders[i].holder == orders[i - 1].holder) {
          EXPECT_GE(orders[i].fence, orders[i - 1].fence);
          continue;
        }
        EXPECT_GT(orders[i].fence, orders[i - 1].fence);
        EXPECT_GE(orders[i].received_at - orders[i - 1].received_at,
                  testing_support::kNodeHandoverGap);
      }
    }
  }

  // Expects that no engine got an order to load a model that it had loaded.
  void ExpectNoLoadOfALoadedModel() const {
    for (const auto* engine : engines) {
      std::set<std::string> ordered;
      for (const auto& it : engine->orders()) {
        if (it.operation != "load") {
          ordered.erase(it.model);
        } else {
          EXPECT_TRUE(ordered.insert(it.model).second) << it.model;
        }
      }
    }
  }

  // Expects that the models loaded by each engine fit in its memory.
  void ExpectMemoryLimit() const {
    for (const auto* engine : engines) {
      EXPECT_LE(engine->loaded.size() * 400, 1000U);
    }
  }

  TestFolder folder;
  StoreStandin& store = *new StoreStandin();
  std::vector<EndpointStandin*> engines;
  std::vector<std::unique_ptr<NodeProcess>> nodes;
  SteadyClock clock;
  HttpClient client{Runtime::Get().io()};
  int request_count = 0;
};

// Guards against a requested model that is never loaded, whichever node
// receives the request.
TEST_F(FleetTest, ColdModelsAreLoadedAndServed) {
  for (int i = 0; i < kModels; ++i) {
    EXPECT_EQ(SendRequest(*nodes[i % kNodes], "m" + std::to_string(i)), 200)
        << i;
  }
  EXPECT_EQ(SendRequest(*nodes[0], "unknown"), 503);
  ExpectHandoverGap();
  ExpectMemoryLimit();
}

// Guards against orders with a wrong number after one adapter was unloaded to
// load another. The engine refuses such an order, which delays the replacement
// by half a second.
TEST_F(FleetTest, AdapterReplacementCausesNoRefusedOrders) {
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(SendRequest(*nodes[i % kNodes], "m0/a" + std::to_string(i)), 200)
        << i;
  }
  int refused = 0;
  for (const auto* it : engines) {
    refused += it->refused_orders();
    EXPECT_LE(it->adapters.size(), 2U);
  }
  EXPECT_EQ(refused, 0);
}

// Guards against a fleet that loads no model after the order lease holder was
// killed, and against a successor that sends orders within the handover gap.
TEST_F(FleetTest, AnotherNodeSendsOrdersAfterTheLeaseHolderIsKilled) {
  EXPECT_EQ(SendRequest(*nodes[0], "m0"), 200);
  const auto holder = LeaseHolder();
  ASSERT_FALSE(holder.empty());
  NodeById(holder).process().Kill();
  auto& other = *nodes[holder.back() == '0' ? 1 : 0];
  EXPECT_EQ(SendRequest(other, "m1"), 200);
  EXPECT_EQ(SendRequest(other, "m2"), 200);
  EXPECT_NE(LeaseHolder(), holder);
  ExpectHandoverGap();
  ExpectMemoryLimit();
}

// Guards against a fleet that does not recover after all nodes were killed at
// once.
TEST_F(FleetTest, ServesAgainAfterAllNodesWereKilled) {
  EXPECT_EQ(SendRequest(*nodes[0], "m0"), 200);
  for (const auto& it : nodes) {
    it->process().Kill();
  }
  for (const auto& it : nodes) {
    it->Start();
  }
  for (const auto& it : nodes) {
    ASSERT_TRUE(WaitUntil([&] { return it->IsReady(); }));
  }
  EXPECT_EQ(SendRequest(*nodes[1], "m3"), 200);
  ExpectHandoverGap();
  ExpectMemoryLimit();
}

// Guards against a fleet that orders nothing any more after its store came back
// from an older copy, against two lease holders within the handover gap, and
// against loads that are ordered again although the copy lacks their traces.
TEST_F(FleetTest, OrdersAgainAfterTheStoreWasRestored) {
  EXPECT_EQ(SendRequest(*nodes[0], "m0"), 200);
  const auto copy = store.MakeCopy();
  EXPECT_EQ(SendRequest(*nodes[1], "m1"), 200);
  store.Restore(copy);
  NodeById(LeaseHolder()).process().Kill();
  NodeById(LeaseHolder()).Start();
  for (const auto& it : nodes) {
    ASSERT_TRUE(WaitUntil([&] { return it->IsReady(); }));
  }
  EXPECT_EQ(SendRequest(*nodes[2], "m1"), 200);
  EXPECT_EQ(SendRequest(*nodes[1], "m3"), 200);
  EXPECT_EQ(store.Spec("fleet-leases", "orders").value("era", 0), 1);
  ExpectHandoverGap();
  ExpectMemoryLimit();
  ExpectNoLoadOfALoadedModel();
}

// Guards against a graceful shutdown that breaks a request, keeps the order
// lease, or outlasts the time after which the platform kills the process.
TEST_F(FleetTest, StopsGracefully) {
  EXPECT_EQ(SendRequest(*nodes[0], "m0"), 200);
  const auto holder = LeaseHolder();
  NodeById(holder).process().Signal(SIGTERM);
  ASSERT_TRUE(WaitUntil([&] { return !NodeById(holder).IsReady(); }));
  EXPECT_EQ(SendRequest(NodeById(holder), "m0"), 200);
  EXPECT_EQ(NodeById(holder).process().WaitForExit(seconds(6)), 0);
  auto& other = *nodes[holder.back() == '0' ? 1 : 0];
  EXPECT_EQ(SendRequest(other, "m1"), 200);
  ExpectHandoverGap();
}

// Guards against a node that exits on SIGHUP, or that applies a settings file
// Guards against a node that a signal ends because it arrives before the node
// handles signals.
TEST_F(FleetTest, SignalsRightAfterTheStartDoNotEndANode) {
  auto& node = *nodes[0];
  node.process().Kill();
  for (int i = 0; i < 10; ++i) {
    node.Start();
    node.process().Signal(SIGHUP);
    ASSERT_TRUE(WaitUntil([&] { return node.IsReady(); }, kStartTimeout));
    node.process().Kill();
  }
  node.Start();
  node.process().Signal(SIGTERM);
  EXPECT_EQ(node.process().WaitForExit(testing_support::kNodeGrace), 0);
}

// that it cannot parse.
TEST_F(FleetTest, ReloadsSettings) {
  nodes[0]->process().Signal(SIGHUP);
  ASSERT_TRUE(WaitUntil([&] {
    return nodes[0]->process().Output().find("settings_reloaded") !=
           std::string::npos;
  }));
  std::ofstream(nodes[0]->settings_path()) << "{";
  nodes[0]->process().Signal(SIGHUP);
  ASSERT_TRUE(WaitUntil([&] {
    return nodes[0]->process().Output().find("entry_ignored") !=
           std::string::npos;
  }));
  EXPECT_EQ(SendRequest(*nodes[0], "m0"), 200);
}

// Guards against requests for loaded models that fail during an outage of the
// object store alone.
TEST_F(FleetTest, ServesLoadedModelsDuringAStoreOutage) {
  EXPECT_EQ(SendRequest(*nodes[0], "m0"), 200);
  store.fault = [](const std::string&) { return StoreStandinFault::kRefused; };
  boost::this_fiber::sleep_for(seconds(3));
  for (const auto& it : nodes) {
    EXPECT_EQ(SendRequest(*it, "m0"), 200);
    EXPECT_TRUE(it->IsReady());
  }
  store.fault = [](const std::string&) { return StoreStandinFault::kNone; };
  EXPECT_EQ(SendRequest(*nodes[2], "m1"), 200);
  ExpectHandoverGap();
}

}  // namespace
}  // namespace tanagerloom
