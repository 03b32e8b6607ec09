// Faults of engines and callers during model requests: guards against cut,
// silent or swapped answers reaching a caller as whole ones, and against work
// that goes on for a caller who left.
#include "tests/routing_fakes.h"

namespace tanagerloom {
namespace {

// Streams `sent` tokens and then breaks the connection or falls silent.
void StreamPart(const HttpRequest& request,
                HttpResponder& responder,
                int sent,
                Duration silence = 0ms) {
  (void)responder.StartStream(200, EchoId(request, "text/event-stream"));
  for (int i = 0; i < sent; ++i) {
    (void)responder.Write(ChatEvent("t" + std::to_string(i) + " "));
  }
  boost::this_fiber::sleep_for(silence);
  responder.Abort();
}

bool IsResume(const HttpRequest& request) {
  return request.Path().starts_with("/v1/streams/");
}

class ModelFaultsTest : public RoutingTest {
 protected:
  void SetUp() override {
    node_ = &AddNode("n1");
    node_->Start();
  }

  FakeEndpoint& AddEngine(const std::string& id, HttpServer::Handler handler) {
    // Leaked, since the node's fibers outlive the test.
    auto* engine = new FakeEndpoint(std::move(handler));
    node_->AddReplica(id, *engine);
    return *engine;
  }

  FakeEndpoint& AddHealthyEngine(const std::string& id) {
    return AddEngine(id, [](const auto& request, auto& responder) {
      StreamTokens(request, responder, 0, 4);
    });
  }

  // Sends requests until `faulty` has had one; each must get its whole answer.
  void ExpectWholeAnswers(const FakeEndpoint& faulty, bool stream) {
    for (int i = 0; i < 50 && faulty.requests.empty(); ++i) {
      const auto response = Call(*node_, Chat(stream));
      ASSERT_TRUE(response);
      EXPECT_EQ(response.assume_value().status, 200);
      EXPECT_EQ(TextOf(response.assume_value().body), "t0 t1 t2 t3 ");
    }
    EXPECT_FALSE(faulty.requests.empty());
  }

  FakeNode* node_ = nullptr;
};

TEST_F(ModelFaultsTest, RefusalThatDidNotRunIsRetriedElsewhere) {
  AddHealthyEngine("good");
  auto& bad = AddEngine("bad", [](const auto& request, auto& responder) {
    HttpResponse response = JsonResponse(503, R"({"reason":"overloaded"})");
    response.headers = EchoId(request, "application/json");
    response.headers.Set("X-Not-Run", "true");
    response.headers.Set("Retry-After", "30");
    (void)responder.Send(response);
  });
  ExpectWholeAnswers(bad, /*stream=*/true);
  // Backpressure holds at once: the endpoint gets no second request.
  for (int i = 0; i < 10; ++i) {
    ASSERT_TRUE(Call(*node_, Chat(true)));
  }
  EXPECT_EQ(bad.requests.size(), 1U);
}

TEST_F(ModelFaultsTest, RefusedConnectionIsRetriedElsewhere) {
  auto& gone = AddHealthyEngine("gone");
  gone.Stop();
  AddHealthyEngine("good");
  for (int i = 0; i < 8; ++i) {
    const auto response = Call(*node_, Chat(false));
    ASSERT_TRUE(response);
    EXPECT_EQ(TextOf(response.assume_value().body), "t0 t1 t2 t3 ");
  }
}

TEST_F(ModelFaultsTest, AnswerLostBeforeTheFirstByteIsRetried) {
  AddHealthyEngine("good");
  auto& bad = AddEngine("bad", [](const auto& request, auto& responder) {
    if (IsResume(request)) {
      (void)responder.Send(JsonResponse(404, "{}"));
    } else {
      responder.Abort();
    }
  });
  ExpectWholeAnswers(bad, /*stream=*/true);
}

TEST_F(ModelFaultsTest, WholeAnswerCutHalfwayIsNeverPassedOn) {
  AddHealthyEngine("good");
  auto& bad = AddEngine("bad", [](const auto& request, auto& responder) {
    if (IsResume(request)) {
      (void)responder.Send(JsonResponse(404, "{}"));
    } else {
      StreamPart(request, responder, 2);
    }
  });
  ExpectWholeAnswers(bad, /*stream=*/false);
}

TEST_F(ModelFaultsTest, CutStreamResumesAtItsOffset) {
  auto& engine = AddEngine("s1", [](const auto& request, auto& responder) {
    if (IsResume(request)) {
      StreamTokens(request, responder, std::stoi(*request.Query("offset")), 4);
    } else {
      StreamPart(request, responder, 2);
    }
  });
  const auto response = Call(*node_, Chat(true));
  ASSERT_TRUE(response);
  EXPECT_EQ(TextOf(response.assume_value().body), "t0 t1 t2 t3 ");
  ASSERT_EQ(engine.requests.size(), 2U);
  EXPECT_EQ(engine.requests[1].Query("offset"), "2");
}

TEST_F(ModelFaultsTest, SilentStreamResumesOverANewConnection) {
  auto& engine = AddEngine("s1", [](const auto& request, auto& responder) {
    if (IsResume(request)) {
      StreamTokens(request, responder, std::stoi(*request.Query("offset")), 4);
    } else {
      StreamPart(request, responder, 3, /*silence=*/30s);
    }
  });
  const auto response = Call(*node_, Chat(true));
  ASSERT_TRUE(response);
  EXPECT_EQ(TextOf(response.assume_value().body), "t0 t1 t2 t3 ");
  EXPECT_EQ(engine.requests.size(), 2U);
}

// A slow prefill is no failure: while the engine knows the request, the node
// goes on waiting until the deadline.
TEST_F(ModelFaultsTest, SilenceBeforeTheFirstTokenIsWaitedOut) {
  auto& engine = AddEngine("s1", [](const auto& request, auto& responder) {
    if (IsResume(request)) {
      (void)responder.StartStream(200, EchoId(request, "text/event-stream"));
      boost::this_fiber::sleep_for(150ms);
      (void)responder.Write(ChatEvent("late "));
      (void)responder.Write(kStopEvent);
      (void)responder.Write(kEndEvent);
      (void)responder.Finish();
    } else {
      StreamPart(request, responder, 0, /*silence=*/30s);
    }
  });
  const auto response = Call(*node_, Chat(false));
  ASSERT_TRUE(response);
  EXPECT_EQ(TextOf(response.assume_value().body), "late ");
  EXPECT_EQ(engine.requests.size(), 2U);
}

TEST_F(ModelFaultsTest, OnlyTheEndMarkerIsFetchedAgain) {
  AddEngine("s1", [](const auto& request, auto& responder) {
    if (IsResume(request)) {
      StreamTokens(request, responder, 1, 1);
      return;
    }
    (void)responder.StartStream(200, EchoId(request, "text/event-stream"));
    (void)responder.Write(ChatEvent("t0 "));
    (void)responder.Write(kStopEvent);
    (void)responder.Finish();
  });
  const auto response = Call(*node_, Chat(true));
  ASSERT_TRUE(response);
  const auto& body = response.assume_value().body;
  EXPECT_EQ(body.find(kStopEvent), body.rfind(kStopEvent));
  EXPECT_TRUE(body.ends_with(kEndEvent));
}

TEST_F(ModelFaultsTest, StreamThatCannotGoOnEndsWithAnErrorEvent) {
  AddEngine("s1", [](const auto& request, auto& responder) {
    if (IsResume(request)) {
      (void)responder.Send(JsonResponse(404, "{}"));
    } else {
      StreamPart(request, responder, 2);
    }
  });
  auto exchange = client_.Start(node_->address, Chat(true),
                                {.deadline = clock_.Now() + 10s});
  ASSERT_TRUE(exchange);
  std::string body;
  while (true) {
    const auto read =
        exchange.assume_value()->ReadSome(body, clock_.Now() + 10s);
    // The connection must break: a proper end would state completeness.
    if (!read) {
      break;
    }
    ASSERT_GT(read.assume_value(), 0U);
  }
  EXPECT_EQ(body.find("[DONE]"), std::string::npos);
  EXPECT_NE(body.find(R"("code":"response_cut")"), std::string::npos);
  EXPECT_NE(body.find(R"("verdict":"may_have_run")"), std::string::npos);
}

TEST_F(ModelFaultsTest, SwappedAnswerIsNotPassedOn) {
  AddHealthyEngine("good");
  auto& bad = AddEngine("bad", [](const auto& request, auto& responder) {
    if (IsResume(request)) {
      (void)responder.Send(JsonResponse(404, "{}"));
      return;
    }
    (void)responder.StartStream(200, {{"X-Request-Id", "req-of-another"},
                                      {"Content-Type", "text/event-stream"}});
    (void)responder.Write(ChatEvent("foreign "));
    (void)responder.Write(kEndEvent);
    (void)responder.Finish();
  });
  ExpectWholeAnswers(bad, /*stream=*/true);
}

TEST_F(ModelFaultsTest, CallerWhoLeavesCancelsTheWork) {
  auto& engine = AddEngine("s1", [](const auto& request, auto& responder) {
    (void)responder.StartStream(200, EchoId(request, "text/event-stream"));
    while (responder.Write(ChatEvent("t "))) {
      boost::this_fiber::sleep_for(5ms);
    }
  });
  {
    auto exchange = client_.Start(node_->address, Chat(true),
                                  {.deadline = clock_.Now() + 10s});
    ASSERT_TRUE(exchange);
  }
  EXPECT_TRUE(Eventually([&] { return engine.cancelled.size() == 1; }));
  EXPECT_TRUE(
      Eventually([&] { return node_->api->requests_in_flight() == 0; }));
  EXPECT_EQ(engine.cancelled[0],
            engine.requests[0].headers.Find("X-Request-Id"));
}

TEST_F(ModelFaultsTest, CallerWhoLeavesTheQueueIsForgotten) {
  {
    const auto response = client_.Call(node_->address, Chat(true),
                                       {.deadline = clock_.Now() + 50ms});
    EXPECT_FALSE(response);
  }
  EXPECT_TRUE(
      Eventually([&] { return node_->api->requests_in_flight() == 0; }));
}

TEST_F(ModelFaultsTest, DeadlineWhileRunningIsMayHaveRun) {
  auto& engine = AddEngine("s1", [](const auto& request, auto& responder) {
    (void)responder.StartStream(200, EchoId(request, "text/event-stream"));
    while (responder.Write(": waiting\n\n")) {
      boost::this_fiber::sleep_for(5ms);
    }
  });
  auto request = Chat(false);
  request.headers.Set("X-Deadline-Ms", "100");
  const auto response = Call(*node_, request);
  ASSERT_TRUE(response);
  EXPECT_EQ(response.assume_value().status, 504);
  EXPECT_EQ(ErrorOf(response)["verdict"], "may_have_run");
  EXPECT_TRUE(Eventually([&] { return engine.cancelled.size() == 1; }));
}

// An engine that restarted holds nothing; the request waits for the load
// instead of using up its retries.
TEST_F(ModelFaultsTest, ReplicaThatIsGoneIsWaitedFor) {
  int refusals = 0;
  AddEngine("s1", [&](const auto& request, auto& responder) {
    if (++refusals > 1) {
      StreamTokens(request, responder, 0, 4);
      return;
    }
    HttpResponse response = JsonResponse(503, R"({"reason":"not_loaded"})");
    response.headers = EchoId(request, "application/json");
    response.headers.Set("X-Not-Run", "true");
    (void)responder.Send(response);
  });
  const auto replica = node_->placement.replicas[{"m", "1", ""}];
  boost::fibers::fiber loader([&] {
    ASSERT_TRUE(Eventually([&] { return refusals == 1; }));
    boost::this_fiber::sleep_for(30ms);
    EXPECT_TRUE((node_->placement.replicas[{"m", "1", ""}].empty()));
    node_->placement.replicas[{"m", "1", ""}] = replica;
    node_->placement.changed().Signal();
  });
  const auto response = Call(*node_, Chat(true));
  loader.join();
  ASSERT_TRUE(response);
  EXPECT_EQ(TextOf(response.assume_value().body), "t0 t1 t2 t3 ");
}

}  // namespace
}  // namespace tanagerloom
