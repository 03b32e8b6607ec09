// Tests how one node admits requests by quota: guards against a charge that is
// taken twice or not given back, and against refusals without a true time.
#include <gtest/gtest.h>

#include "fleet/customer.h"
#include "http/http_connection.h"
#include "tests/support/forwarding_site.h"

namespace tanagerloom {
namespace {

using testing_support::WaitUntil;

constexpr char kKey[] = "k7b2ex5wa5xwyhks8nbk";

class QuotaAdmission : public testing::Test {
 protected:
  // Starts a node with one customer, and waits until it has all units of the
  // quota. The slow rate keeps them from coming back within a test.
  void Start(double rate, double burst) {
    site.Start();
    auto config = ConfigJson();
    config["version"] = 2;
    config["tenants"] = {{{"name", "north"},
                          {"apiKeys", {kKey}},
                          {"unit", "tokens"},
                          {"plainTokens", 100},
                          {"ratePerS", rate},
                          {"burst", burst}}};
    site.store.Set("config", "main", config);
    ASSERT_TRUE(WaitUntil([&] { return site.quotas.VoteShare() == 1; }));
    site.clock.SleepFor(std::chrono::milliseconds(1500));
  }

  HttpResponse Send(const std::string& path, const std::string& tokens = "") {
    auto out = site.Request(path);
    out.headers.Add("Authorization", std::string("Token ") + kKey);
    if (!tokens.empty()) {
      out.headers.Add("Token-Count", tokens);
    }
    return site.Send(out).assume_value();
  }

  ForwardingSite& site = *new ForwardingSite();
};

// A request beyond the quota gets 429 with a time, and reaches no endpoint.
TEST_F(QuotaAdmission, RequestOverTheQuotaIsRefusedWithATime) {
  Start(100, 100);
  int served = 0;
  HttpResponse refused;
  for (int i = 0; i < 20 && refused.status != 429; ++i) {
    refused = Send("/read/x");
    served += refused.status == 200 ? 1 : 0;
  }
  EXPECT_EQ(refused.status, 429);
  const auto retry_after = refused.headers.Find("Retry-After");
  ASSERT_TRUE(retry_after);
  EXPECT_GT(std::stod(std::string(*retry_after)), 0);
  EXPECT_GE(served, 1);
  EXPECT_EQ(site.Runs(), static_cast<std::size_t>(served));
}

// A retry by the node uses no further units.
TEST_F(QuotaAdmission, RetryIsChargedOnce) {
  Start(1000, 1000);
  int n = 0;
  site.SetServe([&](const HttpRequest& request, HttpResponder& responder) {
    if (n++ == 0) {
      (void)responder.Send({503, {{"Not-Executed", "1"}}, ""});
      return;
    }
    (void)responder.Send({200, EndpointStandin::SealedHeaders(request), ""});
  });
  EXPECT_EQ(Send("/read/x").status, 200);
  EXPECT_EQ(n, 2);
  EXPECT_EQ(site.quotas.counts().charged, 100);
}

// A request that no endpoint ran gives its units back: more such requests than
// the quota has room for are all admitted.
TEST_F(QuotaAdmission, RequestThatDoesNotRunGivesItsUnitsBack) {
  Start(100, 300);
  site.SetServe([](const HttpRequest&, HttpResponder& responder) {
    (void)responder.Send({503, {{"Not-Executed", "1"}}, ""});
  });
  for (int i = 0; i < 12; ++i) {
    EXPECT_EQ(Send("/read/x", "90,10").status, 503);
  }
  EXPECT_EQ(site.quotas.counts().charged, 1200);
}

// Guards against clients that leave while an endpoint runs their request, and
// so use an endpoint without using their quota.
TEST_F(QuotaAdmission, RequestWhoseClientLeavesStaysCharged) {
  constexpr double kRate = 200;
  constexpr double kBurst = 400;
  constexpr double kCost = 100;
  const auto started_at = site.clock.Now();
  Start(kRate, kBurst);
  int arrived = 0;
  site.SetServe([&](const HttpRequest&, HttpResponder& responder) {
    ++arrived;
    ASSERT_TRUE(WaitUntil([&] { return responder.client_gone(); }));
  });
  auto request = site.Request("/book/x");
  request.headers.Add("Authorization", std::string("Token ") + kKey);
  for (int i = 0; i < 20; ++i) {
    HttpConnection connection(Runtime::Get().io(), site.address);
    const auto now = site.clock.Now();
    ASSERT_TRUE(connection.Connect(now + std::chrono::seconds(1)));
    (void)connection.Send(request,
                          {.deadline = now + std::chrono::milliseconds(40)});
  }
  const std::chrono::duration<double> elapsed = site.clock.Now() - started_at;
  EXPECT_GE(arrived, 1);
  EXPECT_LE(arrived * kCost, kBurst + kRate * elapsed.count());
}

// Guards against a count of tokens that no one can read and that costs nothing.
TEST_F(QuotaAdmission, MalformedTokenCountsAsTheDefault) {
  Start(1000, 1000);
  for (const auto* it : {"x,y", "5000000000,5000000000", "-1,-1", "7"}) {
    EXPECT_EQ(Send("/read/x", it).status, 200) << it;
  }
  EXPECT_EQ(site.quotas.counts().charged, 400);
}

// A request that is larger than the quota would wait in vain.
TEST_F(QuotaAdmission, RequestLargerThanTheQuotaIsRefused) {
  Start(100, 100);
  EXPECT_EQ(Send("/read/x", "5000,10").status, 429);
  EXPECT_EQ(site.quotas.counts().too_large, 1U);
}

// A gate of a node of its own, with the configuration of the site.
struct OtherNode {
  OtherNode(ForwardingSite& site, FakeCluster& cluster, const std::string& id)
      : peers(cluster, id, "z"),
        gate(peers, site.registry, site.clock, site.log, QuotaReserve{}) {
    peers.OnMessage([this](const std::string& from, const PeerMessage& it) {
      if (const auto* report = std::get_if<QuotaReport>(&it)) {
        gate.OnReport(from, *report);
      } else if (const auto* grant = std::get_if<QuotaGrant>(&it)) {
        gate.OnGrant(from, *grant);
      }
    });
    boost::fibers::fiber([this] { gate.Run(); }).detach();
  }

  bool Admits(double cost) {
    const Customer customer{"north", {}, {}, {}};
    return std::holds_alternative<QuotaCharge>(gate.Admit(customer, cost));
  }

  FakePeers peers;
  QuotaGate gate;
};

// Units that accrued for all nodes go to the one that gets the requests, also
// if it had none before; nodes that do not hear each other share them.
TEST_F(QuotaAdmission, UnitsGoToTheNodeThatNeedsThem) {
  Start(10, 1000);
  auto& cluster = *new FakeCluster;
  std::vector<OtherNode*> nodes;
  for (const auto* id : {"n1", "n2", "n3", "n4"}) {
    nodes.push_back(new OtherNode(site, cluster, id));
  }
  const auto votes = [&] {
    double sum = 0;
    for (const auto* it : nodes) {
      sum += it->gate.VoteShare();
    }
    return sum;
  };
  ASSERT_TRUE(WaitUntil([&] { return votes() == 1; }));
  site.clock.SleepFor(std::chrono::milliseconds(2500));
  // At least 25 units have accrued; an even share would be 6.
  EXPECT_TRUE(nodes[2]->Admits(15));
  cluster.deliver = [](const auto&, const auto&) { return false; };
  site.clock.SleepFor(std::chrono::milliseconds(2000));
  EXPECT_LE(votes(), 1);
  EXPECT_FALSE(nodes[1]->Admits(300));
  // Each goes on with its own part.
  ASSERT_TRUE(WaitUntil([&] { return votes() == 1; }));
  site.clock.SleepFor(std::chrono::milliseconds(2000));
  for (auto* it : nodes) {
    EXPECT_TRUE(it->Admits(2));
  }
}

}  // namespace
}  // namespace tanagerloom
