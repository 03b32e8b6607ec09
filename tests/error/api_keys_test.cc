// Tests of API keys: which requests they admit, what endpoints see of them, and
// how a key that is revoked stops working.
#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>

#include "base/events.h"
#include "runtime/event_flag.h"
#include "tests/support/forwarding_site.h"

namespace tanagerloom {
namespace {

using testing_support::WaitUntil;

constexpr char kKey[] = "k7b2ex5wa5xwyhks8nbk";
constexpr char kOtherKey[] = "asnmgkcuyj8pjbvk9m68";

using Json = nlohmann::json;

Json CustomerJson(const std::string& name, const Json& keys) {
  return {{"name", name}, {"apiKeys", keys}, {"priority", 3}};
}

Json ConfigWithCustomers(int version, const Json& customers) {
  auto out = ConfigJson();
  out["version"] = version;
  auto open = RouteJson("/open/", "idempotent", 2, false);
  open["public"] = true;
  out["routes"].push_back(open);
  out["tenants"] = customers;
  return out;
}

class ApiKeys : public testing::Test {
 protected:
  void SetUp() override {
    site.Start();
    Apply(2, Json::array({CustomerJson("north", {kKey}),
                          CustomerJson("south", {"other"})}));
  }

  // Stores a version and waits until it is in force.
  void Apply(int version, const Json& customers) {
    site.store.Set("config", "main", ConfigWithCustomers(version, customers));
    ASSERT_TRUE(WaitUntil([&] { return InForce(version); }));
  }

  bool InForce(int version) {
    return site.registry.config()->config.version ==
           static_cast<std::uint64_t>(version);
  }

  HttpRequest Request(const std::string& path, const std::string& key) {
    auto out = site.Request(path);
    out.headers.Add("Authorization", "Token " + key);
    return out;
  }

  int Status(const HttpRequest& request) {
    return site.Send(request).assume_value().status;
  }

  std::vector<HttpRequest> Received() const {
    auto out = site.a.requests();
    out.insert(out.end(), site.b.requests().begin(), site.b.requests().end());
    return out;
  }

  ForwardingSite& site = *new ForwardingSite();
};

// Guards against a request that runs without a valid key, and against a key
// that is taken although it is ambiguous.
TEST_F(ApiKeys, OnlyAKnownKeyAdmitsARequest) {
  EXPECT_EQ(Status(Request("/read/x", kKey)), 200);
  EXPECT_EQ(Status(Request("/read/x", "unknown")), 401);
  EXPECT_EQ(Status(site.Request("/read/x")), 401);
  auto twice = Request("/read/x", kKey);
  twice.headers.Add("authorization", "Token other");
  EXPECT_EQ(Status(twice), 401);
  auto other_scheme = site.Request("/read/x");
  other_scheme.headers.Add("Authorization", std::string("Bearer ") + kKey);
  EXPECT_EQ(Status(other_scheme), 401);
  EXPECT_EQ(site.Runs(), 1U);
}

// Guards against a public route that asks for a key or shows one to endpoints.
TEST_F(ApiKeys, PublicRouteNeedsNoKey) {
  EXPECT_EQ(Status(site.Request("/open/x")), 200);
  EXPECT_EQ(Status(Request("/open/x", "unknown")), 200);
  for (const auto& it : Received()) {
    EXPECT_FALSE(it.headers.Find("Authorization"));
    EXPECT_FALSE(it.headers.Find("Tenant"));
  }
}

// Guards against 401 by a node that does not know the keys yet: clients do not
// repeat a request after it.
TEST_F(ApiKeys, NodeWithoutConfigurationAnswers503) {
  auto& unconfigured = *new ForwardingSite();
  auto request = unconfigured.Request("/read/x");
  request.headers.Add("Authorization", std::string("Token ") + kKey);
  EXPECT_EQ(unconfigured.Send(request).assume_value().status, 503);
}

// Guards against 401 for a key of a version that only the peers have so far.
TEST_F(ApiKeys, UnknownKeyAtANodeThatLagsGives503) {
  FakePeers peer(site.cluster, "peer", "z");
  peer.version = [] { return std::uint64_t{9}; };
  EXPECT_EQ(Status(Request("/read/x", "unknown")), 503);
}

// Guards against an endpoint that sees a key, or the name that a client claims,
// on any path of a request: first attempt, retry, resumed stream.
TEST_F(ApiKeys, EndpointSeesTheCustomerAndNeverTheKey) {
  int n = 0;
  site.SetServe([&](const HttpRequest& request, HttpResponder& responder) {
    if (n++ == 0) {
      (void)responder.Send({503, {{"Not-Executed", "1"}}, ""});
      return;
    }
    (void)responder.StartStream(200, EndpointStandin::SealedHeaders(request));
    (void)responder.Write(EndpointStandin::StreamEvent(n));
    if (n == 2) {
      responder.Abort();
      return;
    }
    (void)responder.Finish();
  });
  auto request = Request("/stream-on/x", kKey);
  request.headers.Add("Tenant", "south");
  request.headers.Add("TENANT", "south");
  EXPECT_EQ(Status(request), 200);
  const auto received = Received();
  ASSERT_EQ(received.size(), 3U);
  for (const auto& it : received) {
    EXPECT_FALSE(it.headers.Find("Authorization"));
    EXPECT_EQ(it.headers.FindAll("Tenant"),
              std::vector<std::string_view>{"north"});
    EXPECT_EQ(it.headers.Find("Request-Urgency"), "3");
  }
}

// Guards against a configuration without customers that changes what endpoints
// get: their own keys pass through.
TEST_F(ApiKeys, WithoutCustomersHeadersPassUnchanged) {
  auto config = ConfigJson();
  config["version"] = 3;
  site.store.Set("config", "main", config);
  ASSERT_TRUE(WaitUntil([&] { return InForce(3); }));
  EXPECT_EQ(Status(Request("/read/x", "own")), 200);
  EXPECT_EQ(Received().back().headers.Find("Authorization"), "Token own");
}

// Guards against a key that reaches the log, whatever becomes of its request.
TEST_F(ApiKeys, KeysAreNotLogged) {
  EXPECT_EQ(Status(Request("/read/x", kKey)), 200);
  EXPECT_EQ(Status(Request("/read/x", kOtherKey)), 401);
  auto broken =
      ConfigWithCustomers(3, Json::array({CustomerJson("north", {kKey, 7})}));
  site.store.Set("config", "main", broken);
  ASSERT_TRUE(WaitUntil([&] {
    const auto events = site.log.Since(0);
    return std::ranges::any_of(events, [](const EventRecord& it) {
      return it.id.number == events::kEntryIgnored.number;
    });
  }));
  for (const auto& it : site.log.Since(0)) {
    const auto text = it.fields.dump();
    EXPECT_EQ(text.find(kKey), std::string::npos) << text;
    EXPECT_EQ(text.find(kOtherKey), std::string::npos) << text;
  }
}

// Guards against a request in flight that ends when its key is revoked.
TEST_F(ApiKeys, RequestInFlightGoesOnAfterItsKeyIsRevoked) {
  EventFlag changed;
  bool arrived = false;
  bool revoked = false;
  site.SetServe([&](const HttpRequest& request, HttpResponder& responder) {
    arrived = true;
    ASSERT_TRUE(WaitUntil([&] { return revoked; }));
    (void)responder.Send(
        {200, EndpointStandin::SealedHeaders(request), "done"});
  });
  int status = 0;
  boost::fibers::fiber in_flight(
      [&] { status = Status(Request("/book/x", kKey)); });
  ASSERT_TRUE(WaitUntil([&] { return arrived; }));
  Apply(3, Json::array({CustomerJson("south", {"other"})}));
  EXPECT_EQ(Status(Request("/book/x", kKey)), 401);
  revoked = true;
  in_flight.join();
  EXPECT_EQ(status, 200);
}

// Guards against keys that go on working once the last of them is revoked.
TEST_F(ApiKeys, LastKeyOfAllCustomersCanBeRevoked) {
  Apply(3, Json::array({CustomerJson("north", Json::array())}));
  EXPECT_EQ(Status(Request("/read/x", kKey)), 401);
  Apply(4, Json::array());
  EXPECT_EQ(Status(Request("/read/x", kKey)), 401);
  // A list that is no list does not open the routes either.
  Apply(5, "none");
  EXPECT_EQ(Status(Request("/read/x", kKey)), 401);
  EXPECT_EQ(site.Runs(), 0U);
}

// A peer that sends its configuration to nodes that request it.
struct ServingPeer {
  ServingPeer(ForwardingSite& site, const Json& config)
      : peers(site.cluster, "peer", "z") {
    const auto version = config["version"].get<std::uint64_t>();
    peers.version = [version] { return version; };
    peers.OnMessage([&site, version, text = config.dump()](
                        const std::string&, const PeerMessage& message) {
      if (std::holds_alternative<ConfigRequest>(message)) {
        site.registry.OnPeerConfig({version, 0, text});
      }
    });
  }

  FakePeers peers;
};

// Guards against a revoked key at a node that is cut off from the store while
// its peers are not, and against a restart that brings the key back.
TEST_F(ApiKeys, RevokedKeyIsRefusedWithoutTheStoreAndAfterARestart) {
  const auto silent = [](const std::string&) {
    return StoreStandinFault::kSilent;
  };
  const auto revoked =
      ConfigWithCustomers(5, Json::array({CustomerJson("south", {"other"})}));
  site.store.fault = silent;
  const ServingPeer peer(site, revoked);
  ASSERT_TRUE(WaitUntil([&] { return InForce(5); }));
  EXPECT_EQ(Status(Request("/read/x", kKey)), 401);

  auto& restarted = *new ForwardingSite();
  restarted.store.Set(
      "config", "main",
      ConfigWithCustomers(2, Json::array({CustomerJson("north", {kKey})})));
  restarted.store.fault = silent;
  restarted.registry.Start();
  const ServingPeer peer_of_restarted(restarted, revoked);
  ASSERT_TRUE(
      WaitUntil([&] { return restarted.registry.config() != nullptr; }));
  auto request = restarted.Request("/read/x");
  request.headers.Add("Authorization", std::string("Token ") + kKey);
  EXPECT_EQ(restarted.Send(request).assume_value().status, 401);
  restarted.store.fault = [](const std::string&) {
    return StoreStandinFault::kNone;
  };
  EXPECT_EQ(restarted.Send(request).assume_value().status, 401);
}

}  // namespace
}  // namespace tanagerloom
