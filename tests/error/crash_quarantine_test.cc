// Requests that crash endpoints: guards against one request taking down
// endpoint after endpoint, and against innocent requests being blamed for it.
#include "routing/crash_quarantine.h"
#include "tests/routing_fakes.h"

namespace tanagerloom {
namespace {

// An engine that a prompt with "POISON" crashes: every connection breaks, and
// after the restart no stream is known.
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
    const bool poison = request.body.find("POISON") != std::string::npos;
    for (int i = 0; i < 30 && boot == crashes; ++i) {
      boost::this_fiber::sleep_for(2ms);
      crashes += poison && boot == crashes && i == 10 ? 1 : 0;
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
  FakeNode& AddServing(const std::string& id) {
    auto& node = AddNode(id);
    node.AddReplica("s1", engines_[0].endpoint);
    node.AddReplica("s2", engines_[1].endpoint);
    node.Start();
    return node;
  }
  int crashes() const { return engines_[0].crashes + engines_[1].crashes; }

  CrashingEngine* engines_ = new CrashingEngine[2];
};

TEST_F(CrashQuarantineTest, CrashingRequestIsRefusedEverywhere) {
  auto& first = AddServing("n1");
  auto& second = AddServing("n2");
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

// Guards against a request that waits since before its first crash elsewhere
// and goes on waiting, until its deadline, when it is known to crash endpoints.
TEST_F(CrashQuarantineTest, RequestThatWaitsSinceBeforeTheCrashesIsRefused) {
  auto& first = AddServing("n1");
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

// Notices may be lost; the stored counts reach every node.
TEST_F(CrashQuarantineTest, NodeThatHeardNothingReadsTheStoredCount) {
  auto& first = AddServing("n1");
  auto& second = AddServing("n2");
  second.peers.deaf = true;
  ASSERT_TRUE(Call(first, Chat(true, "POISON")));
  EXPECT_TRUE(Eventually(
      [&] { return second.api->Status()["crashes"]["quarantined"] == 1; }));
  const auto b = Call(second, Chat(true, "POISON"));
  ASSERT_TRUE(b);
  EXPECT_EQ(ErrorOf(b)["verdict"], "not_run");
  EXPECT_EQ(crashes(), 2);
}

TEST_F(CrashQuarantineTest, InnocentRequestsAreServedAndNotQuarantined) {
  auto& first = AddServing("n1");
  auto& second = AddServing("n2");
  std::vector<boost::fibers::fiber> callers;
  for (int i = 0; i < 8; ++i) {
    callers.emplace_back([&, i] {
      const auto response = Call(i % 2 == 0 ? first : second,
                                 Chat(true, "innocent" + std::to_string(i)));
      ASSERT_TRUE(response);
      EXPECT_EQ(TextOf(response.assume_value().body), "ok");
    });
  }
  callers.emplace_back([&] {
    ASSERT_TRUE(Eventually(
        [&] { return engines_[0].running + engines_[1].running == 8; }));
    const auto response = Call(first, Chat(true, "POISON"));
    ASSERT_TRUE(response);
    EXPECT_EQ(ErrorOf(response)["code"], "quarantined");
  });
  for (auto& it : callers) {
    it.join();
  }
  EXPECT_EQ(crashes(), 2);
  // Only the culprit stays counted.
  EXPECT_EQ(first.api->Status()["crashes"]["suspects"], 1);
}

// A network fault looks like a crash until the boot id is compared.
TEST_F(CrashQuarantineTest, SameBootIdIsNoCrash) {
  auto& node = AddServing("n1");
  node.engines.boots[engines_[0].endpoint.address] = "b";
  node.engines.boots[engines_[1].endpoint.address] = "b";
  const auto response = Call(node, Chat(true, "POISON"));
  ASSERT_TRUE(response);
  EXPECT_NE(ErrorOf(response)["code"], "quarantined");
}

TEST(NextCrashCountTest, SharedCrashesNeverReachTheLimit) {
  EXPECT_EQ(NextCrashCount(0, false, 2), 1U);
  EXPECT_EQ(NextCrashCount(1, false, 2), 1U);
  EXPECT_EQ(NextCrashCount(1, true, 2), 2U);
  EXPECT_EQ(NextCrashCount(2, false, 2), 3U);
  EXPECT_EQ(NextCrashCount(0, false, 1), 1U);
}

}  // namespace
}  // namespace tanagerloom
