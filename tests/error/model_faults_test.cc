// Tests of faults of engines and clients during model requests. Guards against
// truncated, silent or foreign answers that a client takes for complete ones,
// and against work that goes on after the client disconnected.
#include "tests/routing_fakes.h"

namespace tanagerloom {
namespace {

// Streams `sent` tokens, is silent for `silence` and breaks the connection.
void StreamTruncated(const HttpRequest& request,
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

// Returns whether the request asks for the rest of a started stream.
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
    // Leaked, because the node's fibers outlive the test.
    auto* engine = new FakeEndpoint(std::move(handler));
    node_->AddReplica(id, *engine);
    return *engine;
  }

  // Adds an engine that streams four tokens.
  FakeEndpoint& AddHealthyEngine(const std::string& id) {
    return AddEngine(id, [](const auto& request, auto& responder) {
      StreamTokens(request, responder, 0, 4);
    });
  }

  // Sends requests until `faulty` received one. Expects a complete answer to
  // each.
  void ExpectCompleteAnswers(const FakeEndpoint& faulty, bool stream) {
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

// Guards against a request that fails because one engine refused it, and
// against further requests to that engine before its Retry-After passed.
TEST_F(ModelFaultsTest, RequestThatDidNotRunIsRetriedAtAnotherEngine) {
  AddHealthyEngine("good");
  auto& bad = AddEngine("bad", [](const auto& request, auto& responder) {
    HttpResponse response = JsonResponse(503, R"({"reason":"overloaded"})");
    response.headers = EchoId(request, "application/json");
    response.headers.Set("X-Not-Run", "true");
    response.headers.Set("Retry-After", "30");
    (void)responder.Send(response);
  });
  ExpectCompleteAnswers(bad, /*stream=*/true);
  // Retry-After takes effect at once: the endpoint gets no second request.
  for (int i = 0; i < 10; ++i) {
    ASSERT_TRUE(Call(*node_, Chat(true)));
  }
  EXPECT_EQ(bad.requests.size(), 1U);
}

// Guards against a request that fails because one engine accepts no connection.
TEST_F(ModelFaultsTest, RefusedConnectionIsRetriedAtAnotherEngine) {
  auto& gone = AddHealthyEngine("gone");
  gone.Stop();
  AddHealthyEngine("good");
  for (int i = 0; i < 8; ++i) {
    const auto response = Call(*node_, Chat(false));
    ASSERT_TRUE(response);
    EXPECT_EQ(TextOf(response.assume_value().body), "t0 t1 t2 t3 ");
  }
}

// Guards against a request that fails because its connection broke before the
// engine sent anything.
TEST_F(ModelFaultsTest, AnswerLostBeforeTheFirstByteIsRetried) {
  AddHealthyEngine("good");
  auto& bad = AddEngine("bad", [](const auto& request, auto& responder) {
    if (IsResume(request)) {
      (void)responder.Send(JsonResponse(404, "{}"));
    } else {
      responder.Abort();
    }
  });
  ExpectCompleteAnswers(bad, /*stream=*/true);
}

// Guards against a truncated answer to a request without streaming. Its
// connection breaks after two tokens and the engine cannot resume it.
TEST_F(ModelFaultsTest, TruncatedAnswerIsRetried) {
  AddHealthyEngine("good");
  auto& bad = AddEngine("bad", [](const auto& request, auto& responder) {
    if (IsResume(request)) {
      (void)responder.Send(JsonResponse(404, "{}"));
    } else {
      StreamTruncated(request, responder, 2);
    }
  });
  ExpectCompleteAnswers(bad, /*stream=*/false);
}

// Guards against missing or duplicate tokens in a stream whose connection to
// the engine broke.
TEST_F(ModelFaultsTest, BrokenStreamResumesAtItsOffset) {
  auto& engine = AddEngine("s1", [](const auto& request, auto& responder) {
    if (IsResume(request)) {
      StreamTokens(request, responder, std::stoi(*request.Query("offset")), 4);
    } else {
      StreamTruncated(request, responder, 2);
    }
  });
  const auto response = Call(*node_, Chat(true));
  ASSERT_TRUE(response);
  EXPECT_EQ(TextOf(response.assume_value().body), "t0 t1 t2 t3 ");
  ASSERT_EQ(engine.requests.size(), 2U);
  EXPECT_EQ(engine.requests[1].Query("offset"), "2");
}

// Guards against a stream that stays silent because its connection does.
TEST_F(ModelFaultsTest, SilentStreamResumesOverANewConnection) {
  auto& engine = AddEngine("s1", [](const auto& request, auto& responder) {
    if (IsResume(request)) {
      StreamTokens(request, responder, std::stoi(*request.Query("offset")), 4);
    } else {
      StreamTruncated(request, responder, 3, /*silence=*/30s);
    }
  });
  const auto response = Call(*node_, Chat(true));
  ASSERT_TRUE(response);
  EXPECT_EQ(TextOf(response.assume_value().body), "t0 t1 t2 t3 ");
  EXPECT_EQ(engine.requests.size(), 2U);
}

// Guards against a request that fails because of a slow prefill. While the
// engine knows the request, the node waits until the deadline.
TEST_F(ModelFaultsTest, SilenceBeforeTheFirstTokenIsNoFailure) {
  auto& engine = AddEngine("s1", [](const auto& request, auto& responder) {
    if (IsResume(request)) {
      (void)responder.StartStream(200, EchoId(request, "text/event-stream"));
      boost::this_fiber::sleep_for(150ms);
      (void)responder.Write(ChatEvent("late "));
      (void)responder.Write(kStopEvent);
      (void)responder.Write(kEndEvent);
      (void)responder.Finish();
    } else {
      StreamTruncated(request, responder, 0, /*silence=*/30s);
    }
  });
  const auto response = Call(*node_, Chat(false));
  ASSERT_TRUE(response);
  EXPECT_EQ(TextOf(response.assume_value().body), "late ");
  EXPECT_EQ(engine.requests.size(), 2U);
}

// Guards against a duplicate stop event when the connection broke between that
// event and the end marker.
TEST_F(ModelFaultsTest, ResumedStreamAddsOnlyTheMissingEndMarker) {
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

// Guards against a truncated stream that looks complete to the client because
// its engine cannot resume it.
TEST_F(ModelFaultsTest, StreamThatCannotBeResumedEndsWithAnErrorEvent) {
  AddEngine("s1", [](const auto& request, auto& responder) {
    if (IsResume(request)) {
      (void)responder.Send(JsonResponse(404, "{}"));
    } else {
      StreamTruncated(request, responder, 2);
    }
  });
  auto exchange = client_.Start(node_->address, Chat(true),
                                {.deadline = clock_.Now() + 10s});
  ASSERT_TRUE(exchange);
  std::string body;
  while (true) {
    const auto read =
        exchange.assume_value()->ReadSome(body, clock_.Now() + 10s);
    // The connection must break: a regular end would mark the body as complete.
    if (!read) {
      break;
    }
    ASSERT_GT(read.assume_value(), 0U);
  }
  EXPECT_EQ(body.find("[DONE]"), std::string::npos);
  EXPECT_NE(body.find(R"("code":"response_cut")"), std::string::npos);
  EXPECT_NE(body.find(R"("verdict":"may_have_run")"), std::string::npos);
}

// Guards against forwarding an answer that carries the ID of another request.
TEST_F(ModelFaultsTest, ForeignAnswerIsNotForwarded) {
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
  ExpectCompleteAnswers(bad, /*stream=*/true);
}

// Guards against an engine that goes on with a request whose client
// disconnected.
TEST_F(ModelFaultsTest, ClientDisconnectCancelsTheEngineWork) {
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

// Guards against a queued request that stays queued after its client
// disconnected.
TEST_F(ModelFaultsTest, ClientDisconnectEndsAWaitingRequest) {
  {
    const auto response = client_.Call(node_->address, Chat(true),
                                       {.deadline = clock_.Now() + 50ms});
    EXPECT_FALSE(response);
  }
  EXPECT_TRUE(
      Eventually([&] { return node_->api->requests_in_flight() == 0; }));
}

// Guards against stating not-run for a request that reached its deadline while
// an engine ran it.
TEST_F(ModelFaultsTest, DeadlineDuringExecutionGivesMayHaveRun) {
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

// Guards against a request that uses up its retries at an engine that restarted
// without its models, instead of waiting until the model is loaded.
TEST_F(ModelFaultsTest, RequestWaitsForAReplicaThatIsNotLoaded) {
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
