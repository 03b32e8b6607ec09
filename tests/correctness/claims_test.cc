// Tests of service calls that must not run twice: guards against a second run
// of a call that the client sends again, at any node and under faults of the
// object store.
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
              const int run = ++run_count_;
              boost::this_fiber::sleep_for(service_delay_);
              if (loses_response_) {
                responder.Abort();
                return;
              }
              HttpResponse response = JsonResponse(200, std::to_string(run));
              response.headers = EchoId(request, "application/json");
              if (not_run_refusals_left_ > 0) {
                --not_run_refusals_left_;
                --run_count_;
                response.status = 503;
                response.headers.Set("X-Not-Run", "true");
              }
              (void)responder.Send(response);
            })) {}

  FakeNode& AddServingNode(const std::string& id) {
    auto& node = AddNode(id);
    node.AddService("svc", service_);
    node.Start();
    return node;
  }

  int run_count_ = 0;
  int not_run_refusals_left_ = 0;
  bool loses_response_ = false;
  std::chrono::milliseconds service_delay_{0};
  FakeEndpoint& service_;
};

// Guards against a second run when the client sends the call again to another
// node.
TEST_F(ClaimsTest, ResendAtAnotherNodeGetsTheStoredOutcome) {
  auto& first = AddServingNode("n1");
  auto& second = AddServingNode("n2");
  const auto a = Call(first, Service("POST", "/close", "k1"));
  const auto b = Call(second, Service("POST", "/close", "k1"));
  ASSERT_TRUE(a && b);
  EXPECT_EQ(a.assume_value().body, "1");
  EXPECT_EQ(b.assume_value().body, "1");
  EXPECT_EQ(b.assume_value().headers.Find("X-Idempotent-Replay"), "true");
  EXPECT_EQ(run_count_, 1);
}

// Guards against a second run when the same call arrives at several nodes at
// once.
TEST_F(ClaimsTest, SimultaneousSendsRunOnceAndGetOneOutcome) {
  auto& first = AddServingNode("n1");
  auto& second = AddServingNode("n2");
  service_delay_ = 50ms;
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
  EXPECT_EQ(run_count_, 1);
}

// Guards against a call that runs although its claim cannot be stored.
TEST_F(ClaimsTest, CallWithoutAStoredClaimDoesNotRun) {
  auto& node = AddServingNode("n1");
  objects_.unavailable = true;
  auto request = Service("POST", "/close", "k1");
  request.headers.Set("X-Deadline-Ms", "300");
  const auto response = Call(node, request);
  ASSERT_TRUE(response);
  EXPECT_EQ(response.assume_value().status, 503);
  EXPECT_EQ(ErrorOf(response)["verdict"], "not_run");
  EXPECT_EQ(run_count_, 0);
  // A claim that may have been stored is released, so that a resend runs.
  objects_.unavailable = false;
  const auto resend = Call(node, Service("POST", "/close", "k1"));
  ASSERT_TRUE(resend);
  EXPECT_EQ(resend.assume_value().body, "1");
}

// Guards against a call that is refused because of its own claim when the
// response to the write of the claim is lost.
TEST_F(ClaimsTest, LostResponseToTheClaimWriteDoesNotBlockTheCall) {
  auto& node = AddServingNode("n1");
  objects_.lose_answers = 1;
  const auto response = Call(node, Service("POST", "/close", "k1"));
  ASSERT_TRUE(response);
  EXPECT_EQ(response.assume_value().body, "1");
  EXPECT_EQ(run_count_, 1);
}

// Guards against a second run of a call whose outcome could not be stored
// because the object store was unavailable.
TEST_F(ClaimsTest, NodeKeepsAnOutcomeThatCannotBeStored) {
  auto& node = AddServingNode("n1");
  service_delay_ = 50ms;
  boost::fibers::fiber outage([&] {
    EXPECT_TRUE(Eventually([&] { return run_count_ == 1; }));
    objects_.unavailable = true;
  });
  ASSERT_TRUE(Call(node, Service("POST", "/close", "k1")));
  outage.join();
  const auto resend = Call(node, Service("POST", "/close", "k1"));
  ASSERT_TRUE(resend);
  EXPECT_EQ(resend.assume_value().body, "1");
  objects_.unavailable = false;
}

// Guards against a resend that runs, or gets the verdict "not run", when the
// node that ran the call terminated without storing the outcome.
TEST_F(ClaimsTest, CallOfATerminatedNodeMayHaveRun) {
  auto& first = AddServingNode("n1");
  auto& second = AddServingNode("n2");
  second.peers.ended_processes.insert("n1/1");
  loses_response_ = true;
  service_delay_ = 30s;
  boost::fibers::fiber([&] {
    (void)client_.Call(first.address, Service("POST", "/close", "k1"),
                       {.deadline = clock_.Now() + 30s});
  }).detach();
  ASSERT_TRUE(Eventually([&] { return run_count_ == 1; }));
  const auto response = Call(second, Service("POST", "/close", "k1"));
  ASSERT_TRUE(response);
  EXPECT_EQ(ErrorOf(response)["verdict"], "may_have_run");
  EXPECT_EQ(run_count_, 1);
}

// Guards against a call that is retried, or reported as not run, after the
// service closed the connection without a response.
TEST_F(ClaimsTest, CallWithALostResponseIsNotRetriedAndMayHaveRun) {
  auto& node = AddServingNode("n1");
  loses_response_ = true;
  for (const char* key : {"k1", "k1", ""}) {
    const auto response = Call(node, Service("POST", "/close", key));
    ASSERT_TRUE(response);
    EXPECT_EQ(ErrorOf(response)["verdict"], "may_have_run");
  }
  EXPECT_EQ(run_count_, 2);  // One for k1, one for the call without a key.
}

// Guards against a refusal that is returned to the client, or blocked by the
// call's own claim, although the service states that the call did not run.
TEST_F(ClaimsTest, CallRefusedAsNotRunIsRetriedUnderTheSameClaim) {
  auto& node = AddServingNode("n1");
  not_run_refusals_left_ = 1;
  const auto response = Call(node, Service("POST", "/close", "k1"));
  ASSERT_TRUE(response);
  EXPECT_EQ(response.assume_value().body, "1");
  EXPECT_EQ(service_.requests.size(), 2U);
}

// Guards against a retry of a call that may have run: only an explicit
// statement makes a refusal "not run"; a 429 or 500 without it is passed to the
// client.
TEST_F(ClaimsTest, RefusalWithoutANotRunStatementIsNotRetried) {
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

// Guards against a call that is not retried after a lost response although the
// configuration names it as repeatable.
TEST_F(ClaimsTest, RepeatableCallIsRetriedAfterALostResponse) {
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

// Guards against a claim that blocks a resend although the call was refused as
// not run.
TEST_F(ClaimsTest, ResendRunsAfterTheClaimIsReleased) {
  auto& node = AddServingNode("n1");
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

// Guards against another call that gets a stored outcome because it reuses the
// idempotency key.
TEST_F(ClaimsTest, KeyReusedForAnotherBodyIsRefused) {
  auto& node = AddServingNode("n1");
  ASSERT_TRUE(Call(node, Service("POST", "/close", "k1")));
  auto other = Service("POST", "/close", "k1");
  other.body = "another body";
  const auto response = Call(node, other);
  ASSERT_TRUE(response);
  EXPECT_EQ(response.assume_value().status, 422);
  EXPECT_EQ(run_count_, 1);
}

// Guards against a client that gets the outcome of another client's call with
// an equal idempotency key.
TEST_F(ClaimsTest, EqualKeysOfTwoClientsAreSeparateClaims) {
  auto& node = AddServingNode("n1");
  ASSERT_TRUE(Call(node, Service("POST", "/close", "k1")));
  auto other = Service("POST", "/close", "k1");
  other.headers.Set("Authorization", "Bearer key-b");
  ASSERT_TRUE(Call(node, other));
  EXPECT_EQ(run_count_, 2);
}

// Guards against one write per claim when many calls start at once.
TEST_F(ClaimsTest, ChangesDuringAWriteAreWrittenTogether) {
  auto& node = AddNode("n1");
  objects_.put_delay = 20ms;
  auto& store = *new ClaimStore(*new RoutingDependencies{
      node.client, node.placement, node.peers, objects_, node.estate,
      node.engines, node.clock, node.log, node.settings});
  std::vector<boost::fibers::fiber> writers;
  for (int i = 0; i < 200; ++i) {
    writers.emplace_back([&, i] {
      ClaimRecord record;
      record.request = "r" + std::to_string(i);
      record.expires_ms = clock_.WallNow().count() + 60000;
      EXPECT_TRUE(
          store.Take("a/" + std::to_string(i), record, clock_.Now() + 10s));
    });
  }
  for (auto& it : writers) {
    it.join();
  }
  // 16 ranges, with at most two writes each: the first change, then all others.
  EXPECT_LE(objects_.put_calls, 32);
}

// Guards against objects that grow beyond the size limit of the object store,
// and against claims that other nodes cannot find after a split.
TEST_F(ClaimsTest, LargeRangesAreSplit) {
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

// Guards against ranges that keep expired claims, and against bodies that are
// changed when a range is serialized and parsed.
TEST(ClaimRangeTest, ExpiredClaimsAreRemovedAndBodiesAreUnchanged) {
  ClaimRange range;
  ClaimRecord expired;
  expired.expires_ms = 10;
  ClaimRecord fresh;
  fresh.expires_ms = 100;
  fresh.state = ClaimState::kDone;
  fresh.body = std::string("\xff\x00 bytes", 8);
  range.Apply({ClaimChange::Kind::kTake, "a/old", expired});
  range.Apply({ClaimChange::Kind::kTake, "a/fresh", fresh});
  EXPECT_TRUE(range.Prune(50));
  const auto read = ClaimRange::Parse(range.Serialize());
  ASSERT_TRUE(read);
  ASSERT_EQ(read->claims.size(), 1U);
  EXPECT_EQ(read->claims.at("a/fresh").body, fresh.body);
}

}  // namespace
}  // namespace tanagerloom
