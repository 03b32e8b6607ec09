// Tests of the quarantine of requests that crash endpoints. Guards against one
// request that crashes one endpoint after another, and against quarantining the
// requests that ran beside it.
#include "routing/crash_quarantine.h"
#include "tests/routing_fakes.h"

namespace tanagerloom {
namespace {

// An engine that a prompt with "POISON" crashes. A crash breaks every
// connection; after the restart the engine knows no earlier stream.
class CrashingEngine {
 public:
  CrashingEngine()
      : endpoint([this](const auto& request, auto& responder) {
          Handle(request, responder);
        }) {}

  int crashes = 0;
  int running = 0;
  FakeEndpoint endpoint;

 private:
  void Handle(const HttpRequest& request, HttpResponder& responder) {
    if (request.Path().starts_with("/v1/streams/")) {
      (void)responder.Send(JsonResponse(404, "{}"));
      return;
    }
    const int boot = crashes;
    ++running;
    (void)responder.StartStream(200, EchoId(request, "text/event-stream"));
    const bool crashes_engine =
        request.body.find("POISON") != std::string::npos;
    for (int i = 0; i < 30 && boot == crashes; ++i) {
      boost::this_fiber::sleep_for(2ms);
      crashes += crashes_engine && boot == crashes && i == 10 ? 1 : 0;
    }
    --running;
    if (boot != crashes) {
      responder.Abort();
      return;
    }
    (void)responder.Write(ChatEvent("ok"));
    (void)responder.Write(kStopEvent);
    (void)responder.Write(kEndEvent);
    (void)responder.Finish();
  }
};

class CrashQuarantineTest : public RoutingTest {
 protected:
  // Starts a node that has both engines as replicas.
  FakeNode& AddServingNode(const std::string& id) {
    auto& node = AddNode(id);
    node.AddReplica("s1", engines_[0].endpoint);
    node.AddReplica("s2", engines_[1].endpoint);
    node.Start();
    return node;
  }
  int crashes() const { return engines_[0].crashes + engines_[1].crashes; }

  CrashingEngine* engines_ = new CrashingEngine[2];
};

// Guards against a node that sends a request on although it reached the crash
// limit at another node.
TEST_F(CrashQuarantineTest, CrashingRequestIsRefusedByAllNodes) {
  auto& first = AddServingNode("n1");
  auto& second = AddServingNode("n2");
  const auto a = Call(first, Chat(true, "POISON"));
  ASSERT_TRUE(a);
  EXPECT_EQ(a.assume_value().status, 422);
  EXPECT_EQ(ErrorOf(a)["code"], "quarantined");
  EXPECT_EQ(ErrorOf(a)["verdict"], "may_have_run");
  EXPECT_EQ(crashes(), 2);
  const auto b = Call(second, Chat(false, "POISON"));
  ASSERT_TRUE(b);
  EXPECT_EQ(ErrorOf(b)["code"], "quarantined");
  EXPECT_EQ(ErrorOf(b)["verdict"], "not_run");
  EXPECT_EQ(crashes(), 2);
}

// Guards against a request that stays queued until its deadline although the
// same request reached the crash limit at another node meanwhile.
TEST_F(CrashQuarantineTest, RequestWaitingSinceBeforeTheCrashesIsRefused) {
  auto& first = AddServingNode("n1");
  auto& second = AddNode("n2");
  second.Start();
  bool answered = false;
  boost::fibers::fiber waiting([&] {
    const auto response = Call(second, Chat(true, "POISON"));
    answered = true;
    ASSERT_TRUE(response);
    EXPECT_EQ(ErrorOf(response)["code"], "quarantined");
    EXPECT_EQ(ErrorOf(response)["verdict"], "not_run");
  });
  ASSERT_TRUE(Eventually(
      [&] { return second.api->Status()["scheduler"]["waiting"] == 1; }));
  ASSERT_TRUE(Call(first, Chat(true, "POISON")));
  EXPECT_TRUE(Eventually([&] { return answered; }));
  waiting.join();
}

// Guards against a node that lost the crash notices and sends the request on.
// It reads the crash counts from the object store.
TEST_F(CrashQuarantineTest, NodeWithoutNoticesReadsTheStoredCrashCount) {
  auto& first = AddServingNode("n1");
  auto& second = AddServingNode("n2");
  second.peers.drops_received = true;
  ASSERT_TRUE(Call(first, Chat(true, "POISON")));
  EXPECT_TRUE(Eventually(
      [&] { return second.api->Status()["crashes"]["quarantined"] == 1; }));
  const auto b = Call(second, Chat(true, "POISON"));
  ASSERT_TRUE(b);
  EXPECT_EQ(ErrorOf(b)["verdict"], "not_run");
  EXPECT_EQ(crashes(), 2);
}

// Guards against quarantining requests whose engine was crashed by another one,
// and against keeping their crash counts.
TEST_F(CrashQuarantineTest,
       RequestsRunningBesideTheCrashingOneAreNotQuarantined) {
  auto& first = AddServingNode("n1");
  auto& second = AddServingNode("n2");
  std::vector<boost::fibers::fiber> clients;
  for (int i = 0; i < 8; ++i) {
    clients.emplace_back([&, i] {
      const auto response = Call(i % 2 == 0 ? first : second,
                                 Chat(true, "innocent" + std::to_string(i)));
      ASSERT_TRUE(response);
      EXPECT_EQ(TextOf(response.assume_value().body), "ok");
    });
  }
  clients.emplace_back([&] {
    ASSERT_TRUE(Eventually(
        [&] { return engines_[0].running + engines_[1].running == 8; }));
    const auto response = Call(first, Chat(true, "POISON"));
    ASSERT_TRUE(response);
    EXPECT_EQ(ErrorOf(response)["code"], "quarantined");
  });
  for (auto& it : clients) {
    it.join();
  }
  EXPECT_EQ(crashes(), 2);
  // Only the crashing request remains a suspect.
  EXPECT_EQ(first.api->Status()["crashes"]["suspects"], 1);
}

// Guards against counting a network fault as a crash. Both break the
// connection; only a crash changes the boot ID of the engine.
TEST_F(CrashQuarantineTest, BrokenConnectionWithSameBootIsNotACrash) {
  auto& node = AddServingNode("n1");
  node.engines.boots[engines_[0].endpoint.address] = "b";
  node.engines.boots[engines_[1].endpoint.address] = "b";
  const auto response = Call(node, Chat(true, "POISON"));
  ASSERT_TRUE(response);
  EXPECT_NE(ErrorOf(response)["code"], "quarantined");
}

// Guards against quarantining a request that ran beside others at each crash.
TEST(NextCrashCountTest, SharedCrashesNeverReachTheLimit) {
  EXPECT_EQ(NextCrashCount(0, false, 2), 1U);
  EXPECT_EQ(NextCrashCount(1, false, 2), 1U);
  EXPECT_EQ(NextCrashCount(1, true, 2), 2U);
  EXPECT_EQ(NextCrashCount(2, false, 2), 3U);
  EXPECT_EQ(NextCrashCount(0, false, 1), 1U);
}

}  // namespace
}  // namespace tanagerloom
