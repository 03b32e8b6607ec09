// Tests of model requests through the client API over loopback.
#include "tests/routing_fakes.h"

namespace tanagerloom {
namespace {

class ModelRequestsTest : public RoutingTest {};

// Guards against a stream that loses events, or its end marker, on the way from
// the engine to the client.
TEST_F(ModelRequestsTest, StreamIsForwardedWithItsEndMarker) {
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

// Guards against a client without streaming that gets events or part of the
// text: the node always streams from the engine and assembles the response.
TEST_F(ModelRequestsTest, CompleteResponseIsAssembledFromTheStream) {
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

// Guards against a waiting request that reports no demand, so that its model is
// never loaded, and against demand that remains after the request.
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

// Guards against a request that keeps waiting for an old version of its model,
// which is not loaded any more once a new version is in force.
TEST_F(ModelRequestsTest, WaitingRequestUsesANewVersion) {
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

// Guards against a request that waits beyond its deadline, or whose refusal
// does not say that it did not run.
TEST_F(ModelRequestsTest, WaitingRequestIsRefusedAsNotRunAtItsDeadline) {
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

// Guards against a model list that omits the adapters that a client may use.
TEST_F(ModelRequestsTest, ModelListContainsModelsAndAdapters) {
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
