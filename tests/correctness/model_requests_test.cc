// Model requests through the caller API over loopback: guards against lost,
// cut, crossed or doubled answers.
#include "tests/routing_fakes.h"

namespace tanagerloom {
namespace {

class ModelRequestsTest : public RoutingTest {};

TEST_F(ModelRequestsTest, StreamIsRelayedWithItsEndMarker) {
  auto& node = AddNode("n1");
  node.Start();
  FakeEndpoint engine([](const auto& request, auto& responder) {
    StreamTokens(request, responder, 0, 5);
  });
  node.AddReplica("s1", engine);
  const auto response = Call(node, Chat(true));
  ASSERT_TRUE(response);
  EXPECT_EQ(response.assume_value().status, 200);
  EXPECT_EQ(TextOf(response.assume_value().body), "t0 t1 t2 t3 t4 ");
  EXPECT_TRUE(response.assume_value().body.ends_with(kEndEvent));
}

TEST_F(ModelRequestsTest, WholeAnswerIsAssembledFromTheStream) {
  auto& node = AddNode("n1");
  node.Start();
  FakeEndpoint engine([](const auto& request, auto& responder) {
    StreamTokens(request, responder, 0, 3);
  });
  node.AddReplica("s1", engine);
  const auto response = Call(node, Chat(false));
  ASSERT_TRUE(response);
  const auto body = nlohmann::json::parse(response.assume_value().body);
  EXPECT_EQ(body["object"], "chat.completion");
  EXPECT_EQ(body["choices"][0]["message"]["content"], "t0 t1 t2 ");
  EXPECT_EQ(body["choices"][0]["finish_reason"], "stop");
  EXPECT_TRUE(nlohmann::json::parse(engine.requests[0].body)["stream"]);
}

// A waiting request must report demand, or nothing is ever loaded for it.
TEST_F(ModelRequestsTest, RequestWaitsForALoadAndReportsDemand) {
  auto& node = AddNode("n1");
  node.Start();
  FakeEndpoint engine([](const auto& request, auto& responder) {
    StreamTokens(request, responder, 0, 1);
  });
  boost::fibers::fiber loader([&] {
    const ModelKey key{"m", "1", ""};
    EXPECT_TRUE(
        Eventually([&] { return node.placement.demand[key].waiting == 1; }));
    node.AddReplica("s1", engine);
  });
  const auto response = Call(node, Chat(true));
  loader.join();
  ASSERT_TRUE(response);
  EXPECT_EQ(TextOf(response.assume_value().body), "t0 ");
  const ModelKey key{"m", "1", ""};
  EXPECT_TRUE(
      Eventually([&] { return node.placement.demand[key].waiting == 0; }));
}

// Nothing loads the old version any more once a new one is in force.
TEST_F(ModelRequestsTest, WaitingRequestFollowsANewVersion) {
  auto& node = AddNode("n1");
  node.Start();
  FakeEndpoint engine([](const auto& request, auto& responder) {
    StreamTokens(request, responder, 0, 1);
  });
  node.placement.replicas[{"m", "2", ""}] = {{"s1", engine.address, "dc1"}};
  boost::fibers::fiber change([&] {
    ASSERT_TRUE(Eventually(
        [&] { return node.api->Status()["scheduler"]["waiting"] == 1; }));
    auto estate = std::make_shared<Estate>(*node.estate.estate);
    estate->version = 2;
    estate->models["m"].version = "2";
    node.estate.estate = estate;
  });
  const auto response = Call(node, Chat(true));
  change.join();
  ASSERT_TRUE(response);
  EXPECT_EQ(TextOf(response.assume_value().body), "t0 ");
  EXPECT_EQ(engine.requests[0].headers.Find("X-Model-Version"), "2");
}

TEST_F(ModelRequestsTest, RefusedAtTheDeadlineAsNotRun) {
  auto& node = AddNode("n1");
  node.Start();
  auto request = Chat(true);
  request.headers.Set("X-Deadline-Ms", "50");
  const auto response = Call(node, request);
  ASSERT_TRUE(response);
  EXPECT_EQ(response.assume_value().status, 504);
  EXPECT_EQ(ErrorOf(response)["verdict"], "not_run");
  EXPECT_TRUE(response.assume_value().headers.Find("Retry-After"));
}

TEST_F(ModelRequestsTest, ModelListNamesModelsAndAdapters) {
  auto& node = AddNode("n1");
  node.Start();
  const auto response = Call(
      node, {"GET", "/v1/models", {{"Authorization", "Bearer key-b"}}, ""});
  ASSERT_TRUE(response);
  const auto data = nlohmann::json::parse(response.assume_value().body)["data"];
  ASSERT_EQ(data.size(), 2U);
  EXPECT_EQ(data[0]["id"], "m");
  EXPECT_EQ(data[1]["id"], "m:tone");
}

}  // namespace
}  // namespace tanagerloom
