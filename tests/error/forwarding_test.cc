// Tests of request forwarding with stand-ins for the object store and the
// endpoints. They check what the client receives and what the endpoints ran.
#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include "forwarding/request_times.h"
#include "http/http_connection.h"
#include "tests/support/forwarding_site.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing_support::WaitUntil;

class Forwarding : public testing::Test {
 protected:
  void SetUp() override { site.Start(); }

  ForwardingSite& site = *new ForwardingSite();
};

// Guards against a request or an answer that forwarding changes.
TEST_F(Forwarding, RequestAndAnswerPassUnchanged) {
  const auto answer = site.Send(site.Request("/read/x?y=1&z=%20"));
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer.assume_value().status, 200);
  EXPECT_EQ(answer.assume_value().body, "the answer");
  EXPECT_EQ(answer.assume_value().headers.Find("Response-Seal"), "seal");
  ASSERT_EQ(site.Runs(), 1U);
  const auto& seen =
      site.a.requests().empty() ? site.b.requests() : site.a.requests();
  EXPECT_EQ(seen[0].target, "/read/x?y=1&z=%20");
  EXPECT_EQ(seen[0].body, "body of /read/x?y=1&z=%20");
  EXPECT_EQ(seen[0].headers.Find("Host"), "h.example");
}

// Guards against a process that ends, since its HTTP library throws for TRACE
// with a body.
TEST_F(Forwarding, TraceRequestWithABodyPassesUnchanged) {
  auto request = site.Request("/read/x");
  request.method = "TRACE";
  request.body = "abc";
  EXPECT_EQ(site.Send(request).assume_value().status, 200);
  const auto& arrived =
      (site.a.requests().empty() ? site.b : site.a).requests();
  ASSERT_EQ(arrived.size(), 1U);
  EXPECT_EQ(arrived[0].method, "TRACE");
  EXPECT_EQ(arrived[0].body, "abc");
}

// Guards against a 404 before the configuration is known, and against a 503 for
// an unknown route once it is known.
TEST_F(Forwarding, UnknownRouteGives404AndMissingConfigurationGives503) {
  EXPECT_EQ(site.Send(site.Request("/none/")).assume_value().status, 404);
  auto& unconfigured = *new ForwardingSite();
  const auto answer = unconfigured.Send(unconfigured.Request("/read/x"));
  EXPECT_EQ(answer.assume_value().status, 503);
  EXPECT_TRUE(answer.assume_value().headers.Find("Retry-After"));
}

// Guards against a request that fails because one endpoint refused it.
TEST_F(Forwarding, RequestThatDidNotRunIsRetriedAtAnotherEndpoint) {
  int refused = 0;
  site.SetServe([&](const HttpRequest& request, HttpResponder& responder) {
    if (refused++ == 0) {
      (void)responder.Send({503, {{"Not-Executed", "1"}}, ""});
      return;
    }
    (void)responder.Send(
        {200, EndpointStandin::SealedHeaders(request), "done"});
  });
  EXPECT_EQ(site.Send(site.Request("/book/x")).assume_value().status, 200);
  EXPECT_EQ(refused, 2);
}

// Guards against a non-idempotent request that runs twice after its connection
// broke, and against a 503, which states not-run, for one that may have run.
TEST_F(Forwarding, BookingWithALostAnswerIsNeitherRetriedNorReportedAsNotRun) {
  site.SetServe(
      [](const HttpRequest&, HttpResponder& responder) { responder.Abort(); });
  EXPECT_EQ(site.Send(site.Request("/book/x")).assume_value().status, 502);
  EXPECT_EQ(site.Runs(), 1U);
}

// Guards against an idempotent request that fails because one endpoint crashed.
TEST_F(Forwarding, ReadIsRetriedAtAnotherEndpoint) {
  int n = 0;
  site.SetServe([&](const HttpRequest& request, HttpResponder& responder) {
    if (n++ == 0) {
      responder.Abort();
      return;
    }
    (void)responder.Send(
        {200, EndpointStandin::SealedHeaders(request), "done"});
  });
  EXPECT_EQ(site.Send(site.Request("/read/x")).assume_value().status, 200);
  EXPECT_EQ(site.a.runs().size(), 1U);
  EXPECT_EQ(site.b.runs().size(), 1U);
}

// Guards against forwarding an answer that belongs to another request, has no
// seal or has a content encoding that the client did not ask for.
TEST_F(Forwarding, ForeignAnswersAreNotForwarded) {
  const std::vector<HttpHeaders> foreign = {
      {{"Attempt-Id", "other"}, {"Response-Seal", "seal"}},
      {{"Attempt-Id", "id-1"}},
      {{"Attempt-Id", "id-1"},
       {"Response-Seal", "seal"},
       {"Content-Encoding", "gzip"}}};
  for (const auto& headers : foreign) {
    site.SetServe([&](const HttpRequest&, HttpResponder& responder) {
      (void)responder.Send({200, headers, "foreign"});
    });
    const auto answer = site.Send(site.Request("/book/x"));
    EXPECT_EQ(answer.assume_value().status, 502);
    EXPECT_EQ(answer.assume_value().body.find("foreign"), std::string::npos);
  }
}

// Guards against forwarding a 503 of an endpoint that ran the request: the
// client would take it as not run.
TEST_F(Forwarding, NotRunStatusOfAnExecutedRequestIsReplaced) {
  site.SetServe([](const HttpRequest& request, HttpResponder& responder) {
    (void)responder.Send(
        {503, EndpointStandin::SealedHeaders(request), "failed"});
  });
  EXPECT_EQ(site.Send(site.Request("/book/x")).assume_value().status, 502);
}

// Guards against replacing an endpoint's own 500 by an answer of the node.
TEST_F(Forwarding, EndpointFailureIsForwarded) {
  site.SetServe([](const HttpRequest& request, HttpResponder& responder) {
    (void)responder.Send(
        {500, EndpointStandin::SealedHeaders(request), "broken"});
  });
  const auto booking = site.Send(site.Request("/book/x"));
  EXPECT_EQ(booking.assume_value().status, 500);
  EXPECT_EQ(booking.assume_value().body, "broken");
  const auto read = site.Send(site.Request("/read/x"));
  EXPECT_EQ(read.assume_value().status, 500);
  EXPECT_EQ(site.Runs(), 3U);
}

// Guards against a truncated, missing or duplicate event in a stream whose
// connection to the endpoint broke within an event.
TEST_F(Forwarding, StreamResumesAfterTheLastCompleteEvent) {
  int n = 0;
  std::string resumed_after;
  site.SetServe([&](const HttpRequest& request, HttpResponder& responder) {
    (void)responder.StartStream(200, EndpointStandin::SealedHeaders(request));
    if (n++ == 0) {
      (void)responder.Write(EndpointStandin::StreamEvent(1) +
                            EndpointStandin::StreamEvent(2) +
                            "id: 3\ndata: to");
      responder.Abort();
      return;
    }
    resumed_after = request.headers.Find("Last-Event-Id").value_or("");
    (void)responder.Write(EndpointStandin::StreamEvent(3) +
                          EndpointStandin::StreamEvent(4));
    (void)responder.Finish();
  });
  const auto answer = site.Send(site.Request("/stream-on/x"));
  ASSERT_TRUE(answer);
  EXPECT_EQ(resumed_after, "2");
  std::string expected;
  for (int i = 1; i <= 4; ++i) {
    expected += EndpointStandin::StreamEvent(i);
  }
  EXPECT_EQ(answer.assume_value().body, expected);
}

// Guards against a stalled stream that never ends because its endpoint sends a
// byte now and then.
TEST_F(Forwarding, TrickleOfBytesIsNoProgressOfAStream) {
  int n = 0;
  site.SetServe([&](const HttpRequest& request, HttpResponder& responder) {
    (void)responder.StartStream(200, EndpointStandin::SealedHeaders(request));
    if (n++ == 0) {
      (void)responder.Write(EndpointStandin::StreamEvent(1) + "id: 2\ndata: ");
      while (responder.Write("x")) {
        boost::this_fiber::sleep_for(milliseconds(50));
      }
      return;
    }
    (void)responder.Write(EndpointStandin::StreamEvent(2));
    (void)responder.Finish();
  });
  const auto answer = site.Send(site.Request("/stream-on/x"));
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer.assume_value().body,
            EndpointStandin::StreamEvent(1) + EndpointStandin::StreamEvent(2));
  EXPECT_EQ(site.Runs(), 2U);
}

// Guards against cutting a slow but sound stream, whose events arrive just
// within the allowed pause.
TEST_F(Forwarding, SlowSoundStreamStaysWithItsEndpoint) {
  site.SetServe([](const HttpRequest& request, HttpResponder& responder) {
    (void)responder.StartStream(200, EndpointStandin::SealedHeaders(request));
    for (int i = 1; i <= 4; ++i) {
      (void)responder.Write(EndpointStandin::StreamEvent(i));
      boost::this_fiber::sleep_for(milliseconds(390));
    }
    (void)responder.Finish();
  });
  const auto answer = site.Send(site.Request("/stream-on/x"));
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer.assume_value().status, 200);
  EXPECT_EQ(site.Runs(), 1U);
}

// Guards against a node that aborts a stream because the only endpoint that can
// serve it is silent for longer than the gap target.
TEST_F(Forwarding, SilentStreamIsKeptIfThereIsNoOtherEndpoint) {
  site.store.Erase("servers", "i-b");
  ASSERT_TRUE(
      WaitUntil([&] { return site.view.directory().Find("i-b") == nullptr; }));
  site.SetServe([](const HttpRequest& request, HttpResponder& responder) {
    (void)responder.StartStream(200, EndpointStandin::SealedHeaders(request));
    (void)responder.Write(EndpointStandin::StreamEvent(1));
    boost::this_fiber::sleep_for(milliseconds(1500));
    (void)responder.Write(EndpointStandin::StreamEvent(2));
    (void)responder.Finish();
  });
  const auto answer = site.Send(site.Request("/stream-on/x"));
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer.assume_value().body,
            EndpointStandin::StreamEvent(1) + EndpointStandin::StreamEvent(2));
  EXPECT_EQ(site.Runs(), 1U);
}

// Guards against a node that aborts a stream because the endpoint is silent for
// longer than the gap target and the retry budget is used up.
TEST_F(Forwarding, SilentStreamIsKeptIfNoRetryIsLeft) {
  auto& limited = *new ForwardingSite(RetryLimits{0, seconds(10), 0});
  limited.Start();
  limited.SetServe([](const HttpRequest& request, HttpResponder& responder) {
    (void)responder.StartStream(200, EndpointStandin::SealedHeaders(request));
    (void)responder.Write(EndpointStandin::StreamEvent(1));
    boost::this_fiber::sleep_for(milliseconds(1500));
    (void)responder.Write(EndpointStandin::StreamEvent(2));
    (void)responder.Finish();
  });
  const auto stream = limited.Send(limited.Request("/stream-on/x"));
  ASSERT_TRUE(stream);
  EXPECT_EQ(stream.assume_value().body,
            EndpointStandin::StreamEvent(1) + EndpointStandin::StreamEvent(2));
  EXPECT_EQ(limited.Runs(), 1U);
}

// Guards against a truncated stream that looks complete to the client, or that
// runs a second time.
TEST_F(Forwarding, StreamThatIsNotResumableIsAbortedForTheClient) {
  site.SetServe([](const HttpRequest& request, HttpResponder& responder) {
    (void)responder.StartStream(200, EndpointStandin::SealedHeaders(request));
    (void)responder.Write(EndpointStandin::StreamEvent(1));
    responder.Abort();
  });
  EXPECT_FALSE(site.Send(site.Request("/stream-once/x")));
  EXPECT_EQ(site.Runs(), 1U);
}

// Guards against a request that stays open beyond the timeout of its route
// because its endpoint does not answer.
TEST_F(Forwarding, SilentEndpointGives504AtTheRouteTimeout) {
  site.SetServe([](const HttpRequest&, HttpResponder& responder) {
    boost::this_fiber::sleep_for(seconds(6));
    responder.Abort();
  });
  const auto start = site.clock.Now();
  EXPECT_EQ(site.Send(site.Request("/book/x")).assume_value().status, 504);
  EXPECT_LT(site.clock.Now() - start, milliseconds(2300));
  EXPECT_GT(site.clock.Now() - start, milliseconds(1800));
}

// Guards against an endpoint that goes on with a request whose client
// disconnected.
TEST_F(Forwarding, ClientDisconnectCancelsTheEndpointsWork) {
  bool cancelled = false;
  site.SetServe([&](const HttpRequest&, HttpResponder& responder) {
    responder.OnClientGone([&] { cancelled = true; });
    for (int i = 0; i < 200 && !cancelled; ++i) {
      boost::this_fiber::sleep_for(milliseconds(10));
    }
  });
  auto connection =
      std::make_unique<HttpConnection>(Runtime::Get().io(), site.address);
  ASSERT_TRUE(connection->Connect(site.clock.Now() + seconds(1)));
  EXPECT_FALSE(
      connection->Send(site.Request("/read/x"),
                       {.deadline = site.clock.Now() + milliseconds(200)}));
  connection.reset();
  const auto disconnected_at = site.clock.Now();
  EXPECT_TRUE(WaitUntil([&] { return cancelled; }));
  EXPECT_LT(site.clock.Now() - disconnected_at, milliseconds(500));
}

// Guards against refusing a request whose model can be loaded before the
// deadline, and against keeping one waiting whose model cannot.
TEST_F(Forwarding, RequestWaitsForItsModelOnlyIfItCanLoadInTime) {
  auto request = site.Request("/stream-once/x");
  request.headers.Set("Model", "m");
  boost::fibers::fiber load([&] {
    boost::this_fiber::sleep_for(milliseconds(300));
    site.a.loaded.insert("m");
    site.a.Register();
  });
  EXPECT_EQ(site.Send(request).assume_value().status, 200);
  load.join();

  auto& slow_site = *new ForwardingSite();
  slow_site.Start();
  LoadEstimate estimate{"s", 1, 1, {"m"}, {60000}};
  slow_site.view.OnLoadEstimates(estimate);
  const auto start = slow_site.clock.Now();
  const auto answer = slow_site.Send(request);
  EXPECT_EQ(answer.assume_value().status, 503);
  EXPECT_TRUE(answer.assume_value().headers.Find("Retry-After"));
  EXPECT_LT(slow_site.clock.Now() - start, milliseconds(200));
  EXPECT_EQ(slow_site.Runs(), 0U);
}

// Guards against a request that still waits when its node stops.
TEST_F(Forwarding, WaitingRequestIsRefusedBeforeTheNodeStops) {
  auto request = site.Request("/stream-once/x");
  request.headers.Set("Model", "m");
  const auto stop_waiting_at = site.clock.Now() + milliseconds(200);
  site.stop_at = stop_waiting_at + kMinServiceTime;
  const auto answer = site.Send(request);
  EXPECT_EQ(answer.assume_value().status, 503);
  EXPECT_LT(site.clock.Now() - stop_waiting_at, milliseconds(300));
}

// Guards against a request that is sent although its node stops before such
// requests are answered.
TEST_F(Forwarding, RequestThatCannotFinishBeforeTheNodeStopsIsRefused) {
  constexpr milliseconds kWorkTime{200};
  site.SetServe([&](const HttpRequest& request, HttpResponder& responder) {
    boost::this_fiber::sleep_for(kWorkTime);
    (void)responder.Send(
        {200, EndpointStandin::SealedHeaders(request), "done"});
  });
  EXPECT_EQ(site.Send(site.Request("/book/x")).assume_value().status, 200);
  site.stop_at = site.clock.Now() + kWorkTime / 2;
  const auto refused = site.Send(site.Request("/book/x"));
  EXPECT_EQ(refused.assume_value().status, 503);
  EXPECT_TRUE(refused.assume_value().headers.Find("Retry-After"));
  EXPECT_EQ(site.Runs(), 1U);
  site.stop_at = site.clock.Now() + seconds(10);
  EXPECT_EQ(site.Send(site.Request("/book/x")).assume_value().status, 200);
}

// Guards against a request in flight that is cut when its node stops, and
// against an answer that wrongly promises that it did not run.
TEST_F(Forwarding, RequestsInFlightAreAnsweredWhenTheNodeStops) {
  constexpr milliseconds kWorkTime{1500};
  site.SetServe([&](const HttpRequest& request, HttpResponder& responder) {
    if (request.target.starts_with("/stream")) {
      (void)responder.StartStream(200, EndpointStandin::SealedHeaders(request));
      (void)responder.Write(EndpointStandin::StreamEvent(1));
    }
    boost::this_fiber::sleep_for(kWorkTime);
    responder.Abort();
  });
  int booking = 0;
  bool stream_complete = true;
  boost::fibers::fiber book([&] {
    booking = site.Send(site.Request("/book/x")).assume_value().status;
  });
  boost::fibers::fiber stream([&] {
    stream_complete = site.Send(site.Request("/stream-on/x")).has_value();
  });
  ASSERT_TRUE(WaitUntil([&] { return site.Runs() == 2; }));
  const auto start = site.clock.Now();
  site.stop_at = start;
  site.forwarder.EndRequests();
  book.join();
  stream.join();
  EXPECT_LT(site.clock.Now() - start, kWorkTime);
  EXPECT_EQ(booking, 504);
  EXPECT_FALSE(stream_complete);
  EXPECT_EQ(site.Runs(), 2U);
  EXPECT_EQ(site.Send(site.Request("/read/x")).assume_value().status, 503);
}

// Guards against sending requests to an endpoint that is draining or no longer
// registered.
TEST_F(Forwarding, LeavingEndpointGetsNoMoreRequests) {
  site.a.draining = true;
  site.a.Register();
  ASSERT_TRUE(
      WaitUntil([&] { return site.view.directory().Find("i-a")->draining; }));
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(site.Send(site.Request("/read/x")).assume_value().status, 200);
  }
  EXPECT_TRUE(site.a.runs().empty());
  site.store.Erase("servers", "i-b");
  ASSERT_TRUE(
      WaitUntil([&] { return site.view.directory().Find("i-b") == nullptr; }));
  EXPECT_EQ(site.Send(site.Request("/read/x")).assume_value().status, 503);
}

// Guards against an older configuration, from a peer or the store, that
// replaces a newer one.
TEST_F(Forwarding, OlderConfigurationIsIgnored) {
  auto newer = ConfigJson();
  newer["version"] = 5;
  newer["routes"].push_back(RouteJson("/new/", "idempotent", 1, false));
  site.store.Set("config", "main", newer);
  ASSERT_TRUE(
      WaitUntil([&] { return site.registry.config()->config.version == 5; }));
  EXPECT_EQ(site.Send(site.Request("/new/x")).assume_value().status, 200);
  site.registry.OnPeerConfig({9, 0, ConfigJson().dump()});
  site.store.Set("config", "main", ConfigJson());
  boost::this_fiber::sleep_for(milliseconds(100));
  EXPECT_EQ(site.registry.config()->config.version, 5U);
}

// Guards against a request that is sent into the queue of an engine that cannot
// start it in time: it fails at its deadline although another engine is idle.
TEST_F(Forwarding, EngineWithALongQueueOfPromptsGetsNoRequest) {
  const EndpointUse use{{"i-a"}, {3}, {2000000}};
  site.view.OnPeerUse("peer", use);
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(site.Send(site.Request("/read/x")).assume_value().status, 200);
  }
  EXPECT_EQ(site.a.runs().size(), 0U);
  EXPECT_EQ(site.b.runs().size(), 6U);
}

// Guards against a node whose connection to the store is lost and that keeps an
// old configuration although its peers have a newer one.
TEST_F(Forwarding, ConfigurationIsRequestedFromAPeerWithoutTheStore) {
  FakePeers peer(site.cluster, "peer", "z");
  auto newer = ConfigJson();
  newer["version"] = 5;
  int requests = 0;
  peer.version = [] { return std::uint64_t{5}; };
  peer.OnMessage([&](const std::string&, const PeerMessage& message) {
    const auto* request = std::get_if<ConfigRequest>(&message);
    if (request != nullptr && request->known_version < 5) {
      ++requests;
      site.registry.OnPeerConfig({5, 0, newer.dump()});
    }
  });
  site.store.fault = [](const std::string&) {
    return StoreStandinFault::kSilent;
  };
  ASSERT_TRUE(
      WaitUntil([&] { return site.registry.config()->config.version == 5; }));
  EXPECT_EQ(requests, 1);
}

// Guards against a node that does not send its configuration to a peer that
// cannot read the store, and against sending it to one that has it.
TEST_F(Forwarding, ConfigurationIsSentToAPeerThatLacksIt) {
  FakePeers peer(site.cluster, "peer", "z");
  std::vector<ConfigUpdate> updates;
  peer.OnMessage([&](const std::string&, const PeerMessage& message) {
    if (const auto* update = std::get_if<ConfigUpdate>(&message)) {
      updates.push_back(*update);
    }
  });
  site.registry.OnConfigRequest("peer", {1});
  EXPECT_TRUE(updates.empty());
  site.registry.OnConfigRequest("peer", {0});
  ASSERT_EQ(updates.size(), 1U);
  EXPECT_EQ(updates[0].version, 1U);
  EXPECT_EQ(nlohmann::json::parse(updates[0].root), ConfigJson());
}

// Guards against a large configuration that every node sends to all peers: all
// of them read it from the store themselves.
TEST_F(Forwarding, ConfigurationIsNotBroadcast) {
  FakePeers peer(site.cluster, "peer", "z");
  int updates = 0;
  peer.OnMessage([&](const std::string&, const PeerMessage& message) {
    updates += std::holds_alternative<ConfigUpdate>(message) ? 1 : 0;
  });
  auto newer = ConfigJson();
  newer["version"] = 5;
  site.store.Set("config", "main", newer);
  ASSERT_TRUE(
      WaitUntil([&] { return site.registry.config()->config.version == 5; }));
  EXPECT_EQ(updates, 0);
}

}  // namespace
}  // namespace tanagerloom
