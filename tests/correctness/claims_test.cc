// Service calls that may not be repeated: guards against a second run of the
// same call by a resend, at any node and under faults of the object API.
#include "routing/claim_range.h"
#include "routing/claim_store.h"
#include "tests/routing_fakes.h"

namespace tanagerloom {
namespace {

class ClaimsTest : public RoutingTest {
 protected:
  ClaimsTest()
      : service_(
            *new FakeEndpoint([this](const auto& request, auto& responder) {
              const int run = ++runs_;
              boost::this_fiber::sleep_for(delay_);
              if (lose_answer_) {
                responder.Abort();
                return;
              }
              HttpResponse response = JsonResponse(200, std::to_string(run));
              response.headers = EchoId(request, "application/json");
              if (not_run_ > 0) {
                --not_run_;
                --runs_;
                response.status = 503;
                response.headers.Set("X-Not-Run", "true");
              }
              (void)responder.Send(response);
            })) {}

  FakeNode& AddServing(const std::string& id) {
    auto& node = AddNode(id);
    node.AddService("svc", service_);
    node.Start();
    return node;
  }

  int runs_ = 0;
  int not_run_ = 0;
  bool lose_answer_ = false;
  std::chrono::milliseconds delay_{0};
  FakeEndpoint& service_;
};

TEST_F(ClaimsTest, ResendAtAnotherNodeGetsTheStoredOutcome) {
  auto& first = AddServing("n1");
  auto& second = AddServing("n2");
  const auto a = Call(first, Service("POST", "/close", "k1"));
  const auto b = Call(second, Service("POST", "/close", "k1"));
  ASSERT_TRUE(a && b);
  EXPECT_EQ(a.assume_value().body, "1");
  EXPECT_EQ(b.assume_value().body, "1");
  EXPECT_EQ(b.assume_value().headers.Find("X-Idempotent-Replay"), "true");
  EXPECT_EQ(runs_, 1);
}

TEST_F(ClaimsTest, SimultaneousSendsRunOnceAndGetOneOutcome) {
  auto& first = AddServing("n1");
  auto& second = AddServing("n2");
  delay_ = 50ms;
  std::vector<boost::fibers::fiber> senders;
  for (int i = 0; i < 6; ++i) {
    senders.emplace_back([&, i] {
      const auto response =
          Call(i % 2 == 0 ? first : second, Service("POST", "/close", "k1"));
      ASSERT_TRUE(response);
      EXPECT_EQ(response.assume_value().body, "1");
    });
  }
  for (auto& it : senders) {
    it.join();
  }
  EXPECT_EQ(runs_, 1);
}

TEST_F(ClaimsTest, WithoutAClaimNothingRuns) {
  auto& node = AddServing("n1");
  objects_.unavailable = true;
  auto request = Service("POST", "/close", "k1");
  request.headers.Set("X-Deadline-Ms", "300");
  const auto response = Call(node, request);
  ASSERT_TRUE(response);
  EXPECT_EQ(response.assume_value().status, 503);
  EXPECT_EQ(ErrorOf(response)["verdict"], "not_run");
  EXPECT_EQ(runs_, 0);
  // The claim that may have been left is released, so that a resend runs.
  objects_.unavailable = false;
  const auto again = Call(node, Service("POST", "/close", "k1"));
  ASSERT_TRUE(again);
  EXPECT_EQ(again.assume_value().body, "1");
}

TEST_F(ClaimsTest, LostAnswerOfTheClaimWriteDoesNotBlockTheCall) {
  auto& node = AddServing("n1");
  objects_.lose_answers = 1;
  const auto response = Call(node, Service("POST", "/close", "k1"));
  ASSERT_TRUE(response);
  EXPECT_EQ(response.assume_value().body, "1");
  EXPECT_EQ(runs_, 1);
}

TEST_F(ClaimsTest, OutcomeIsKnownToTheNodeWhileItCannotBeStored) {
  auto& node = AddServing("n1");
  delay_ = 50ms;
  boost::fibers::fiber outage([&] {
    EXPECT_TRUE(Eventually([&] { return runs_ == 1; }));
    objects_.unavailable = true;
  });
  ASSERT_TRUE(Call(node, Service("POST", "/close", "k1")));
  outage.join();
  const auto again = Call(node, Service("POST", "/close", "k1"));
  ASSERT_TRUE(again);
  EXPECT_EQ(again.assume_value().body, "1");
  objects_.unavailable = false;
}

TEST_F(ClaimsTest, DeadNodeLeavesATruthfulMayHaveRun) {
  auto& first = AddServing("n1");
  auto& second = AddServing("n2");
  second.peers.ended_processes.insert("n1/1");
  lose_answer_ = true;
  delay_ = 30s;
  boost::fibers::fiber([&] {
    (void)client_.Call(first.address, Service("POST", "/close", "k1"),
                       {.deadline = clock_.Now() + 30s});
  }).detach();
  ASSERT_TRUE(Eventually([&] { return runs_ == 1; }));
  const auto response = Call(second, Service("POST", "/close", "k1"));
  ASSERT_TRUE(response);
  EXPECT_EQ(ErrorOf(response)["verdict"], "may_have_run");
  EXPECT_EQ(runs_, 1);
}

TEST_F(ClaimsTest, LostAnswerIsNeitherRepeatedNorCalledNotRun) {
  auto& node = AddServing("n1");
  lose_answer_ = true;
  for (const char* key : {"k1", "k1", ""}) {
    const auto response = Call(node, Service("POST", "/close", key));
    ASSERT_TRUE(response);
    EXPECT_EQ(ErrorOf(response)["verdict"], "may_have_run");
  }
  EXPECT_EQ(runs_, 2);  // One for k1, one for the call without a key.
}

TEST_F(ClaimsTest, RefusalThatDidNotRunIsRetriedUnderTheSameClaim) {
  auto& node = AddServing("n1");
  not_run_ = 1;
  const auto response = Call(node, Service("POST", "/close", "k1"));
  ASSERT_TRUE(response);
  EXPECT_EQ(response.assume_value().body, "1");
  EXPECT_EQ(service_.requests.size(), 2U);
}

// Only an explicit statement makes a refusal "not run": a 429 or 500 without it
// is passed on, and the call is not sent again.
TEST_F(ClaimsTest, RefusalWithoutAStatementIsNotRepeated) {
  auto& node = AddNode("n1");
  FakeEndpoint busy([](const auto& request, auto& responder) {
    (void)responder.Send({429, EchoId(request, "text/plain"), "busy"});
  });
  node.AddService("svc", busy);
  node.Start();
  const auto response = Call(node, Service("POST", "/close"));
  ASSERT_TRUE(response);
  EXPECT_EQ(response.assume_value().status, 429);
  EXPECT_EQ(busy.requests.size(), 1U);
}

// Repeatable calls are the ones that the configuration names.
TEST_F(ClaimsTest, OnlyRepeatableCallsAreRetriedAfterALostAnswer) {
  auto& node = AddNode("n1");
  int calls = 0;
  FakeEndpoint flaky([&](const auto& request, auto& responder) {
    if (++calls == 1) {
      responder.Abort();
      return;
    }
    (void)responder.Send({200, EchoId(request, "text/plain"), "stock"});
  });
  node.AddService("svc", flaky);
  node.Start();
  const auto response = Call(node, Service("GET", "/stock?item=3"));
  ASSERT_TRUE(response);
  EXPECT_EQ(response.assume_value().body, "stock");
  EXPECT_EQ(flaky.requests[1].target, "/stock?item=3");
}

TEST_F(ClaimsTest, ReleasedClaimLetsAResendRun) {
  auto& node = AddServing("n1");
  node.peers.vms.clear();
  auto request = Service("POST", "/close", "k1");
  request.headers.Set("X-Deadline-Ms", "50");
  const auto refused = Call(node, request);
  ASSERT_TRUE(refused);
  EXPECT_EQ(ErrorOf(refused)["verdict"], "not_run");
  node.AddService("svc", service_);
  const auto response = Call(node, Service("POST", "/close", "k1"));
  ASSERT_TRUE(response);
  EXPECT_EQ(response.assume_value().body, "1");
}

TEST_F(ClaimsTest, KeyReusedForAnotherBodyIsRefused) {
  auto& node = AddServing("n1");
  ASSERT_TRUE(Call(node, Service("POST", "/close", "k1")));
  auto other = Service("POST", "/close", "k1");
  other.body = "another body";
  const auto response = Call(node, other);
  ASSERT_TRUE(response);
  EXPECT_EQ(response.assume_value().status, 422);
  EXPECT_EQ(runs_, 1);
}

// Keys are bound to their caller: another caller's equal key is another claim.
TEST_F(ClaimsTest, KeysOfCallersAreApart) {
  auto& node = AddServing("n1");
  ASSERT_TRUE(Call(node, Service("POST", "/close", "k1")));
  auto other = Service("POST", "/close", "k1");
  other.headers.Set("Authorization", "Bearer key-b");
  ASSERT_TRUE(Call(node, other));
  EXPECT_EQ(runs_, 2);
}

TEST_F(ClaimsTest, ChangesDuringAWriteShareTheNextOne) {
  auto& node = AddNode("n1");
  objects_.put_delay = 20ms;
  auto& store = *new ClaimStore(*new RoutingDependencies{
      node.client, node.placement, node.peers, objects_, node.estate,
      node.engines, node.clock, node.log, node.settings});
  std::vector<boost::fibers::fiber> takers;
  for (int i = 0; i < 200; ++i) {
    takers.emplace_back([&, i] {
      ClaimRecord record;
      record.request = "r" + std::to_string(i);
      record.expires_ms = clock_.WallNow().count() + 60000;
      EXPECT_TRUE(
          store.Take("a/" + std::to_string(i), record, clock_.Now() + 10s));
    });
  }
  for (auto& it : takers) {
    it.join();
  }
  // 16 ranges: the first change of each and one group with all the others.
  EXPECT_LE(objects_.put_calls, 32);
}

TEST_F(ClaimsTest, RangesSplitBeforeTheyGrowLarge) {
  auto& node = AddNode("n1");
  auto& store = *new ClaimStore(*new RoutingDependencies{
      node.client, node.placement, node.peers, objects_, node.estate,
      node.engines, node.clock, node.log, node.settings});
  constexpr int kClaims = 300;
  for (int i = 0; i < kClaims; ++i) {
    ClaimRecord record;
    record.request = "r" + std::to_string(i);
    record.expires_ms = clock_.WallNow().count() + 60000;
    const auto claim = "a/" + std::to_string(i);
    ASSERT_TRUE(store.Take(claim, record, clock_.Now() + 10s));
    record.state = ClaimState::kDone;
    record.body = std::string(16 * 1024, 'x');
    ASSERT_TRUE(store.StoreOutcome(claim, record, clock_.Now() + 10s));
  }
  for (const auto& [key, object] : objects_.objects) {
    EXPECT_LT(object.value.size(), 256U * 1024) << key;
  }
  EXPECT_GT(objects_.objects.size(), 16U);
  // Another node, which has not seen the splits, finds every claim.
  ClaimStore other(*new RoutingDependencies{
      node.client, node.placement, node.peers, objects_, node.estate,
      node.engines, node.clock, node.log, node.settings});
  for (int i = 0; i < kClaims; ++i) {
    const auto claim = other.Read("a/" + std::to_string(i));
    ASSERT_TRUE(claim);
    ASSERT_TRUE(claim.assume_value());
    EXPECT_EQ(claim.assume_value()->state, ClaimState::kDone);
  }
}

TEST(ClaimRangeTest, ExpiredClaimsAreRemovedAndBytesSurvive) {
  ClaimRange range;
  ClaimRecord old;
  old.expires_ms = 10;
  ClaimRecord fresh;
  fresh.expires_ms = 100;
  fresh.state = ClaimState::kDone;
  fresh.body = std::string("\xff\x00 bytes", 8);
  range.Apply({ClaimChange::Kind::kTake, "a/old", old});
  range.Apply({ClaimChange::Kind::kTake, "a/fresh", fresh});
  EXPECT_TRUE(range.Prune(50));
  const auto read = ClaimRange::Parse(range.Serialize());
  ASSERT_TRUE(read);
  ASSERT_EQ(read->claims.size(), 1U);
  EXPECT_EQ(read->claims.at("a/fresh").body, fresh.body);
}

}  // namespace
}  // namespace tanagerloom
