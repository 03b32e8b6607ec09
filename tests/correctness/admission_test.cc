// Admission, endpoint knowledge and shutdown through the caller API: guards
// against late refusals, work for leaving endpoints and interrupted requests.
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

  // An engine that answers once `open_` is set.
  FakeEndpoint& AddGatedEngine(const std::string& id) {
    return AddEngine(id, [this](const auto& request, auto& responder) {
      (void)responder.StartStream(200, EchoId(request, "text/event-stream"));
      while (!open_ && responder.Write(": wait\n\n")) {
        boost::this_fiber::sleep_for(5ms);
      }
      (void)responder.Write(ChatEvent("done"));
      (void)responder.Write(kStopEvent);
      (void)responder.Write(kEndEvent);
      (void)responder.Finish();
    });
  }

  boost::fibers::fiber Caller(HttpResult<HttpResponse>& result) {
    return boost::fibers::fiber([&] { result = Call(*node_, Chat(false)); });
  }

  static HttpResult<HttpResponse> None() { return HttpFailure{}; }

  FakeNode* node_ = nullptr;
  bool open_ = false;
};

TEST_F(AdmissionTest, FailingLoadIsRefusedBeforeTheDeadline) {
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

// The forecast may turn bad while a request waits.
TEST_F(AdmissionTest, WaitingRequestIsReviewedAgain) {
  node_->Start();
  auto result = None();
  auto caller = Caller(result);
  ASSERT_TRUE(
      Eventually([&] { return node_->api->requests_in_flight() == 1; }));
  node_->placement.load_estimate.ready_in = 600s;
  caller.join();
  ASSERT_TRUE(result);
  EXPECT_EQ(ErrorOf(result)["code"], "not_loaded_in_time");
}

TEST_F(AdmissionTest, MemoryOfWaitingRequestsIsBounded) {
  node_->settings.max_waiting_requests = 2;
  node_->Start();
  auto results = std::vector<HttpResult<HttpResponse>>(2, None());
  auto first = Caller(results[0]);
  auto second = Caller(results[1]);
  ASSERT_TRUE(
      Eventually([&] { return node_->api->requests_in_flight() == 2; }));
  const auto response = Call(*node_, Chat(true));
  ASSERT_TRUE(response);
  EXPECT_EQ(ErrorOf(response)["code"], "queue_full");
  open_ = true;
  AddGatedEngine("s1");
  first.join();
  second.join();
  EXPECT_EQ(TextOf(results[0].assume_value().body), "done");
  EXPECT_EQ(TextOf(results[1].assume_value().body), "done");
}

TEST_F(AdmissionTest, EndpointLimitHoldsAndTheRestWaits) {
  node_->settings.max_in_flight = 2;
  node_->Start();
  auto& engine = AddGatedEngine("s1");
  auto results = std::vector<HttpResult<HttpResponse>>(5, None());
  std::vector<boost::fibers::fiber> callers;
  for (auto& it : results) {
    callers.push_back(Caller(it));
  }
  ASSERT_TRUE(
      Eventually([&] { return node_->api->requests_in_flight() == 5; }));
  ASSERT_TRUE(Eventually([&] { return engine.requests.size() == 2; }));
  boost::this_fiber::sleep_for(60ms);
  EXPECT_EQ(engine.requests.size(), 2U);
  open_ = true;
  for (auto& it : callers) {
    it.join();
  }
  for (const auto& it : results) {
    EXPECT_EQ(TextOf(it.assume_value().body), "done");
  }
}

TEST_F(AdmissionTest, LeavingEndpointGetsNoNewWorkFromAnySource) {
  open_ = true;
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
  // The endpoint's answer was the first sign; node n2 had it from its peer.
  EXPECT_EQ(leaving.requests.size(), 1U);
  EXPECT_EQ(node_->peers.leaving_reports, std::vector<std::string>{"s1"});

  auto& listed = AddGatedEngine("s2");
  Vm vm;
  vm.id = "s2";
  vm.leaving = true;
  node_->peers.vms.push_back(vm);
  boost::this_fiber::sleep_for(60ms);
  auto request = Chat(true);
  request.headers.Set("X-Deadline-Ms", "50");
  ASSERT_TRUE(Call(*node_, request));
  EXPECT_TRUE(listed.requests.empty()) << "the VM list names it as leaving";
}

TEST_F(AdmissionTest, PeersUseOfAnEndpointCounts) {
  auto& other = AddNode("n2");
  node_->Start();
  other.Start();
  auto& engine = AddGatedEngine("s1");
  other.AddReplica("s1", engine);
  auto result = None();
  auto caller = Caller(result);
  // n2 learns of an endpoint's use once it has dealt with the endpoint itself.
  auto request = Chat(false);
  request.headers.Set("X-Deadline-Ms", "50");
  EXPECT_TRUE(Eventually([&] {
    (void)Call(other, request);
    return other.api->Status()["endpoints"]["s1"]["peers_in_progress"] == 1;
  }));
  open_ = true;
  caller.join();
}

TEST_F(AdmissionTest, CachedPrefixAttractsItsConversation) {
  open_ = true;
  node_->Start();
  for (const char* id : {"s1", "s2", "s3", "s4"}) {
    AddGatedEngine(id);
  }
  auto& warm = AddGatedEngine("s5");
  const std::string prompt(640, 'p');
  node_->engines.events[warm.address] = {
      {1, true, StableHash("m\n" + prompt.substr(0, 64))}};
  EXPECT_TRUE(Eventually([&] {
    (void)Call(*node_, Chat(true, prompt));
    return node_->engines.event_reads[warm.address] > 0;
  }));
  const auto before = warm.requests.size();
  for (int i = 0; i < 10; ++i) {
    ASSERT_TRUE(Call(*node_, Chat(true, prompt)));
  }
  EXPECT_EQ(warm.requests.size(), before + 10);
}

TEST_F(AdmissionTest, DrainFinishesRunningAndServesWaitingRequests) {
  node_->settings.max_in_flight = 1;
  node_->Start();
  AddGatedEngine("s1");
  auto results = std::vector<HttpResult<HttpResponse>>(2, None());
  auto first = Caller(results[0]);
  auto second = Caller(results[1]);
  ASSERT_TRUE(
      Eventually([&] { return node_->api->requests_in_flight() == 2; }));
  std::size_t left = 99;
  boost::fibers::fiber drain([&] { left = node_->api->Drain(); });
  ASSERT_TRUE(
      Eventually([&] { return node_->api->Status()["draining"] == true; }));
  const auto refused = Call(*node_, Chat(true));
  ASSERT_TRUE(refused);
  EXPECT_EQ(ErrorOf(refused)["code"], "shutting_down");
  EXPECT_EQ(ErrorOf(refused)["verdict"], "not_run");
  open_ = true;
  drain.join();
  first.join();
  second.join();
  EXPECT_EQ(left, 0U);
  EXPECT_EQ(TextOf(results[0].assume_value().body), "done");
  EXPECT_EQ(TextOf(results[1].assume_value().body), "done");
}

TEST_F(AdmissionTest, SecondDrainRefusesTheWaitingAndFinishesTheRunning) {
  node_->settings.max_in_flight = 1;
  node_->Start();
  auto& engine = AddGatedEngine("s1");
  auto results = std::vector<HttpResult<HttpResponse>>(2, None());
  auto first = Caller(results[0]);
  ASSERT_TRUE(Eventually([&] { return engine.requests.size() == 1; }));
  auto second = Caller(results[1]);
  ASSERT_TRUE(
      Eventually([&] { return node_->api->requests_in_flight() == 2; }));
  boost::fibers::fiber drain([&] { node_->api->Drain(); });
  boost::fibers::fiber again([&] { node_->api->Drain(); });
  second.join();
  EXPECT_EQ(ErrorOf(results[1])["code"], "shutting_down");
  EXPECT_EQ(ErrorOf(results[1])["verdict"], "not_run");
  open_ = true;
  first.join();
  drain.join();
  again.join();
  EXPECT_EQ(TextOf(results[0].assume_value().body), "done");
}

}  // namespace
}  // namespace tanagerloom
