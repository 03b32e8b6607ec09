// Tests of admission, of what nodes know of endpoints and of draining, through
// the client API.
#include "tests/routing_fakes.h"

namespace tanagerloom {
namespace {

class AdmissionTest : public RoutingTest {
 protected:
  void SetUp() override { node_ = &AddNode("n1"); }

  FakeEndpoint& AddEngine(const std::string& id, HttpServer::Handler handler) {
    auto* engine = new FakeEndpoint(std::move(handler));
    node_->AddReplica(id, *engine);
    return *engine;
  }

  // Adds an engine that completes its responses once `gate_open_` is set.
  FakeEndpoint& AddGatedEngine(const std::string& id) {
    return AddEngine(id, [this](const auto& request, auto& responder) {
      (void)responder.StartStream(200, EchoId(request, "text/event-stream"));
      while (!gate_open_ && responder.Write(": wait\n\n")) {
        boost::this_fiber::sleep_for(5ms);
      }
      (void)responder.Write(ChatEvent("done"));
      (void)responder.Write(kStopEvent);
      (void)responder.Write(kEndEvent);
      (void)responder.Finish();
    });
  }

  // Sends a request in a fiber, which stores the response in `result`.
  boost::fibers::fiber StartCall(HttpResult<HttpResponse>& result) {
    return boost::fibers::fiber([&] { result = Call(*node_, Chat(false)); });
  }

  static HttpResult<HttpResponse> NoResult() { return HttpFailure{}; }

  FakeNode* node_ = nullptr;
  bool gate_open_ = false;
};

// Guards against a request that waits until its deadline although the loads of
// its model fail.
TEST_F(AdmissionTest, RequestForAFailingModelIsRefusedBeforeTheDeadline) {
  node_->Start();
  node_->placement.load_estimate.failing = true;
  node_->placement.load_estimate.cause = "no such checkpoint";
  const auto response = Call(*node_, Chat(true));
  ASSERT_TRUE(response);
  EXPECT_EQ(ErrorOf(response)["code"], "load_failing");
  EXPECT_EQ(ErrorOf(response)["verdict"], "not_run");
  EXPECT_NE(ErrorOf(response)["message"].get<std::string>().find(
                "no such checkpoint"),
            std::string::npos);
  EXPECT_TRUE(response.assume_value().headers.Find("Retry-After"));
}

// Guards against a request that waits until its deadline although the load
// estimate became too late while it waited.
TEST_F(AdmissionTest, WaitingRequestIsReviewedWhenTheLoadEstimateChanges) {
  node_->Start();
  auto result = NoResult();
  auto call = StartCall(result);
  ASSERT_TRUE(
      Eventually([&] { return node_->api->requests_in_flight() == 1; }));
  node_->placement.load_estimate.ready_in = 600s;
  call.join();
  ASSERT_TRUE(result);
  EXPECT_EQ(ErrorOf(result)["code"], "not_loaded_in_time");
}

// Guards against waiting requests that use memory without bound.
TEST_F(AdmissionTest, NumberOfWaitingRequestsIsBounded) {
  node_->settings.max_waiting_requests = 2;
  node_->Start();
  auto results = std::vector<HttpResult<HttpResponse>>(2, NoResult());
  auto first = StartCall(results[0]);
  auto second = StartCall(results[1]);
  ASSERT_TRUE(
      Eventually([&] { return node_->api->requests_in_flight() == 2; }));
  const auto response = Call(*node_, Chat(true));
  ASSERT_TRUE(response);
  EXPECT_EQ(ErrorOf(response)["code"], "queue_full");
  gate_open_ = true;
  AddGatedEngine("s1");
  first.join();
  second.join();
  EXPECT_EQ(TextOf(results[0].assume_value().body), "done");
  EXPECT_EQ(TextOf(results[1].assume_value().body), "done");
}

// Guards against more requests at an endpoint than it may have in flight, and
// against refusing the others instead of queueing them.
TEST_F(AdmissionTest, RequestsAboveTheEndpointLimitWait) {
  node_->settings.max_in_flight = 2;
  node_->Start();
  auto& engine = AddGatedEngine("s1");
  auto results = std::vector<HttpResult<HttpResponse>>(5, NoResult());
  std::vector<boost::fibers::fiber> calls;
  for (auto& it : results) {
    calls.push_back(StartCall(it));
  }
  ASSERT_TRUE(
      Eventually([&] { return node_->api->requests_in_flight() == 5; }));
  ASSERT_TRUE(Eventually([&] { return engine.requests.size() == 2; }));
  boost::this_fiber::sleep_for(60ms);
  EXPECT_EQ(engine.requests.size(), 2U);
  gate_open_ = true;
  for (auto& it : calls) {
    it.join();
  }
  for (const auto& it : results) {
    EXPECT_EQ(TextOf(it.assume_value().body), "done");
  }
}

// Guards against requests sent to a leaving endpoint, whether its response, a
// peer's notice or the VM list says that it is leaving.
TEST_F(AdmissionTest, LeavingEndpointGetsNoNewRequests) {
  gate_open_ = true;
  auto& other = AddNode("n2");
  node_->Start();
  other.Start();
  auto& leaving = AddEngine("s1", [](const auto& request, auto& responder) {
    HttpResponse response = JsonResponse(503, R"({"reason":"leaving"})");
    response.headers = EchoId(request, "application/json");
    response.headers.Set("X-Not-Run", "true");
    (void)responder.Send(response);
  });
  other.AddReplica("s1", leaving);
  for (int i = 0; i < 3; ++i) {
    auto request = Chat(true);
    request.headers.Set("X-Deadline-Ms", "50");
    const auto response = Call(i == 2 ? other : *node_, request);
    ASSERT_TRUE(response);
    EXPECT_EQ(ErrorOf(response)["verdict"], "not_run");
  }
  // Node n1 learned it from the endpoint's response, node n2 from its peer.
  EXPECT_EQ(leaving.requests.size(), 1U);
  EXPECT_EQ(node_->peers.leaving_reports, std::vector<std::string>{"s1"});

  auto& listed = AddGatedEngine("s2");
  Vm vm;
  vm.id = "s2";
  vm.leaving = true;
  node_->peers.vms.push_back(vm);
  // The list is read at the first tick, each 20 ms, after an interval of 50 ms.
  boost::this_fiber::sleep_for(150ms);
  auto request = Chat(true);
  request.headers.Set("X-Deadline-Ms", "50");
  ASSERT_TRUE(Call(*node_, request));
  EXPECT_TRUE(listed.requests.empty()) << "the VM list names it as leaving";
}

// Guards against a node that ignores the requests that its peers have in flight
// at an endpoint.
TEST_F(AdmissionTest, PeersRequestsAtAnEndpointAreCounted) {
  auto& other = AddNode("n2");
  node_->Start();
  other.Start();
  auto& engine = AddGatedEngine("s1");
  other.AddReplica("s1", engine);
  auto result = NoResult();
  auto call = StartCall(result);
  // n2 records its peers' use of an endpoint once it has used it itself.
  auto request = Chat(false);
  request.headers.Set("X-Deadline-Ms", "50");
  EXPECT_TRUE(Eventually([&] {
    (void)Call(other, request);
    return other.api->Status()["endpoints"]["s1"]["peers_in_progress"] == 1;
  }));
  gate_open_ = true;
  call.join();
}

// Guards against a conversation that is sent to an engine without the cached
// prefix of its prompt, which would have to be computed again.
TEST_F(AdmissionTest, RequestsGoToTheEngineWithTheCachedPrefix) {
  gate_open_ = true;
  node_->Start();
  for (const char* id : {"s1", "s2", "s3", "s4"}) {
    AddGatedEngine(id);
  }
  auto& engine_with_prefix = AddGatedEngine("s5");
  const std::string prompt(640, 'p');
  node_->engines.events[engine_with_prefix.address] = {
      {1, true, StableHash("m\n" + prompt.substr(0, 64))}};
  EXPECT_TRUE(Eventually([&] {
    (void)Call(*node_, Chat(true, prompt));
    return node_->engines.event_reads[engine_with_prefix.address] > 0;
  }));
  const auto previous_count = engine_with_prefix.requests.size();
  for (int i = 0; i < 10; ++i) {
    ASSERT_TRUE(Call(*node_, Chat(true, prompt)));
  }
  EXPECT_EQ(engine_with_prefix.requests.size(), previous_count + 10);
}

// Guards against a drain that interrupts running or waiting requests, or that
// accepts new ones.
TEST_F(AdmissionTest, DrainFinishesRunningAndWaitingRequests) {
  node_->settings.max_in_flight = 1;
  node_->Start();
  AddGatedEngine("s1");
  auto results = std::vector<HttpResult<HttpResponse>>(2, NoResult());
  auto first = StartCall(results[0]);
  auto second = StartCall(results[1]);
  ASSERT_TRUE(
      Eventually([&] { return node_->api->requests_in_flight() == 2; }));
  std::size_t unfinished = 99;
  boost::fibers::fiber drain([&] { unfinished = node_->api->Drain(); });
  ASSERT_TRUE(
      Eventually([&] { return node_->api->Status()["draining"] == true; }));
  const auto refused = Call(*node_, Chat(true));
  ASSERT_TRUE(refused);
  EXPECT_EQ(ErrorOf(refused)["code"], "shutting_down");
  EXPECT_EQ(ErrorOf(refused)["verdict"], "not_run");
  gate_open_ = true;
  drain.join();
  first.join();
  second.join();
  EXPECT_EQ(unfinished, 0U);
  EXPECT_EQ(TextOf(results[0].assume_value().body), "done");
  EXPECT_EQ(TextOf(results[1].assume_value().body), "done");
}

// Guards against a second drain that keeps waiting requests or interrupts
// running ones.
TEST_F(AdmissionTest, SecondDrainRefusesWaitingAndFinishesRunningRequests) {
  node_->settings.max_in_flight = 1;
  node_->Start();
  auto& engine = AddGatedEngine("s1");
  auto results = std::vector<HttpResult<HttpResponse>>(2, NoResult());
  auto first = StartCall(results[0]);
  ASSERT_TRUE(Eventually([&] { return engine.requests.size() == 1; }));
  auto second = StartCall(results[1]);
  ASSERT_TRUE(
      Eventually([&] { return node_->api->requests_in_flight() == 2; }));
  boost::fibers::fiber first_drain([&] { node_->api->Drain(); });
  boost::fibers::fiber second_drain([&] { node_->api->Drain(); });
  second.join();
  EXPECT_EQ(ErrorOf(results[1])["code"], "shutting_down");
  EXPECT_EQ(ErrorOf(results[1])["verdict"], "not_run");
  gate_open_ = true;
  first.join();
  first_drain.join();
  second_drain.join();
  EXPECT_EQ(TextOf(results[0].assume_value().body), "done");
}

}  // namespace
}  // namespace tanagerloom
