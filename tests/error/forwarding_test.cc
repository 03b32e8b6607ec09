// Tests of forwarding against stand-ins of the store and the endpoints: what
// the client gets, and what the endpoints ran.
#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include "base/event_log.h"
#include "base/id.h"
#include "fleet/crash_suspects.h"
#include "fleet/demand_tracker.h"
#include "fleet/fleet_view.h"
#include "forwarding/request_forwarder.h"
#include "http/http_client.h"
#include "http/http_connection.h"
#include "http/http_server.h"
#include "platform/entry_decoder.h"
#include "platform/header_protocol.h"
#include "platform/store_client.h"
#include "registry/fleet_registry.h"
#include "runtime/runtime.h"
#include "runtime/steady_clock.h"
#include "testing/fleet_standin/endpoint_standin.h"
#include "testing/fleet_standin/store_standin.h"
#include "testing/harness/wait.h"
#include "tests/fakes/fake_peers.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing_support::WaitUntil;

nlohmann::json RouteJson(const std::string& prefix,
                         const std::string& kind,
                         int attempts,
                         bool resumable) {
  return {{"name", prefix},          {"host", "h.example"},
          {"pathPrefix", prefix},    {"kind", kind},
          {"timeoutMs", 2000},       {"goalMs", 100},
          {"priority", 0},           {"service", "s"},
          {"maxAttempts", attempts}, {"resumable", resumable},
          {"gapTargetMs", 400}};
}

nlohmann::json ConfigJson() {
  return {
      {"version", 1},
      {"routes",
       {RouteJson("/read/", "idempotent", 2, false),
        RouteJson("/book/", "non_idempotent", 1, false),
        RouteJson("/stream-on/", "streaming", 2, true),
        RouteJson("/stream-once/", "streaming", 1, false)}},
      {"services",
       {{{"name", "s"},
         {"engine",
          {{"slots", 8},
           {"weightsMb", 1000},
           {"models", {{{"name", "m"}, {"weightsMb", 10}, {"loadS", 1}}}}}}}}},
      {"limits", nlohmann::json::object()}};
}

// A node's request path with two endpoints. Its parts live until the process
// ends, as the fibers of their servers do.
struct Site {
  explicit Site(RetryLimits repeats = {})
      : a(store, "i-a", "s"),
        b(store, "i-b", "s"),
        client(Runtime::Get().io()),
        adapter(client, clock, store.address()),
        view("z", clock),
        demand(clock),
        peers(cluster, "n", "z"),
        registry(adapter,
                 peers,
                 view,
                 clock,
                 log,
                 platform::MakeRegistryFormat(),
                 {{milliseconds(500), milliseconds(10), milliseconds(50)},
                  {milliseconds(500), milliseconds(10), milliseconds(50)}}),
        forwarder(
            {Runtime::Get().io(), registry, view, demand, protocol, suspects,
             clock, log, repeats, [] { return std::size_t{1}; },
             [this] { return stop_waiting_at; },
             [this](std::uint64_t it) { suspects.OnCrash(it, clock.Now()); }}),
        server(Runtime::Get().io(),
               HttpServerLimits{},
               [this](const HttpRequest& request, HttpResponder& responder) {
                 forwarder.Handle(request, responder);
               }),
        address(server.Listen({"127.0.0.1", 0}).value()) {}

  void Start() {
    store.Set("config", "main", ConfigJson());
    a.Register();
    b.Register();
    registry.Start();
    ASSERT_TRUE(WaitUntil([&] {
      return registry.config() != nullptr &&
             view.directory().records().size() == 2;
    }));
  }

  // Lets every endpoint serve in the same way.
  void ServeBy(const EndpointStandin::RequestHandler& serve) {
    a.serve = serve;
    b.serve = serve;
  }

  HttpRequest Request(const std::string& path) const {
    HttpRequest request;
    request.method = "POST";
    request.target = path;
    request.body = "body of " + path;
    request.headers = {
        {"Host", "h.example"}, {"Attempt-Id", "id-1"}, {"Deadline-Ms", "5000"}};
    return request;
  }

  HttpResult<HttpResponse> Send(const HttpRequest& request) {
    return client.Call(
        address, request,
        {.deadline = clock.Now() + seconds(8), .fresh_connection = true});
  }

  std::size_t Runs() const { return a.runs().size() + b.runs().size(); }

  EventLog log{"test", 1000, MakeNullLogger()};
  SteadyClock clock;
  StoreStandin store;
  EndpointStandin a;
  EndpointStandin b;
  HttpClient client;
  platform::StoreClient adapter;
  platform::HeaderProtocol protocol;
  FleetView view;
  DemandTracker demand;
  CrashSuspects suspects;
  FakeCluster cluster;
  FakePeers peers;
  FleetRegistry registry;
  TimePoint stop_waiting_at = TimePoint::max();
  RequestForwarder forwarder;
  HttpServer server;
  Address address;
};

class Forwarding : public testing::Test {
 protected:
  void SetUp() override { site.Start(); }

  Site& site = *new Site();
};

// Guards against a request or an answer that is changed on the way.
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

// Guards against a 404 before the configuration is known, and a 503 after.
TEST_F(Forwarding, UnknownRouteIsNotFoundAndUnknownConfigurationIsNot) {
  EXPECT_EQ(site.Send(site.Request("/none/")).assume_value().status, 404);
  auto& fresh = *new Site();
  const auto answer = fresh.Send(fresh.Request("/read/x"));
  EXPECT_EQ(answer.assume_value().status, 503);
  EXPECT_TRUE(answer.assume_value().headers.Find("Retry-After"));
}

// Guards against a refusal of one endpoint that ends the request.
TEST_F(Forwarding, RequestThatDidNotRunGoesToAnotherEndpoint) {
  int refused = 0;
  site.ServeBy([&](const HttpRequest& request, HttpResponder& responder) {
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

// Guards against a booking that runs twice, and against a 503 for one that may
// have run.
TEST_F(Forwarding, BookingWhoseAnswerIsLostIsNeitherRepeatedNorPromised) {
  site.ServeBy(
      [](const HttpRequest&, HttpResponder& responder) { responder.Abort(); });
  EXPECT_EQ(site.Send(site.Request("/book/x")).assume_value().status, 502);
  EXPECT_EQ(site.Runs(), 1U);
}

// Guards against a read that fails because one endpoint crashed.
TEST_F(Forwarding, ReadIsRepeatedElsewhere) {
  int n = 0;
  site.ServeBy([&](const HttpRequest& request, HttpResponder& responder) {
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

// Guards against an answer of another request, of nobody, or in another
// encoding that a client takes for its own.
TEST_F(Forwarding, ForeignAnswersAreNotPassedOn) {
  const std::vector<HttpHeaders> foreign = {
      {{"Attempt-Id", "other"}, {"Response-Seal", "seal"}},
      {{"Attempt-Id", "id-1"}},
      {{"Attempt-Id", "id-1"},
       {"Response-Seal", "seal"},
       {"Content-Encoding", "gzip"}}};
  for (const auto& headers : foreign) {
    site.ServeBy([&](const HttpRequest&, HttpResponder& responder) {
      (void)responder.Send({200, headers, "foreign"});
    });
    const auto answer = site.Send(site.Request("/book/x"));
    EXPECT_EQ(answer.assume_value().status, 502);
    EXPECT_EQ(answer.assume_value().body.find("foreign"), std::string::npos);
  }
}

// Guards against an endpoint's own 503 that promises too much.
TEST_F(Forwarding, StatusOfARunThatPromisesNotRunIsReplaced) {
  site.ServeBy([](const HttpRequest& request, HttpResponder& responder) {
    (void)responder.Send(
        {503, EndpointStandin::SealedHeaders(request), "failed"});
  });
  EXPECT_EQ(site.Send(site.Request("/book/x")).assume_value().status, 502);
}

// Guards against an endpoint's failure that is hidden from the client.
TEST_F(Forwarding, FailureOfTheEndpointIsPassedOn) {
  site.ServeBy([](const HttpRequest& request, HttpResponder& responder) {
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

// Guards against a stream with a torn, missing or doubled event after its
// endpoint broke off in the middle of one.
TEST_F(Forwarding, StreamGoesOnAtTheNextWholeEvent) {
  int n = 0;
  std::string resumed_after;
  site.ServeBy([&](const HttpRequest& request, HttpResponder& responder) {
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
  std::string all;
  for (int i = 1; i <= 4; ++i) {
    all += EndpointStandin::StreamEvent(i);
  }
  EXPECT_EQ(answer.assume_value().body, all);
}

// Guards against a stream that its node breaks off because the only endpoint
// that can serve it is silent for a while.
TEST_F(Forwarding, StreamStaysWithASilentEndpointIfThereIsNoOther) {
  site.store.Erase("servers", "i-b");
  ASSERT_TRUE(
      WaitUntil([&] { return site.view.directory().Find("i-b") == nullptr; }));
  site.ServeBy([](const HttpRequest& request, HttpResponder& responder) {
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

// Guards against a stream that its node breaks off because the endpoint is
// silent for a while and no repeat is left.
TEST_F(Forwarding, SilenceEndsNoStreamIfNoRepeatIsLeft) {
  auto& poor = *new Site(RetryLimits{0, seconds(10), 0});
  poor.Start();
  poor.ServeBy([](const HttpRequest& request, HttpResponder& responder) {
    (void)responder.StartStream(200, EndpointStandin::SealedHeaders(request));
    (void)responder.Write(EndpointStandin::StreamEvent(1));
    boost::this_fiber::sleep_for(milliseconds(1500));
    (void)responder.Write(EndpointStandin::StreamEvent(2));
    (void)responder.Finish();
  });
  const auto stream = poor.Send(poor.Request("/stream-on/x"));
  ASSERT_TRUE(stream);
  EXPECT_EQ(stream.assume_value().body,
            EndpointStandin::StreamEvent(1) + EndpointStandin::StreamEvent(2));
  EXPECT_EQ(poor.Runs(), 1U);
}

// Guards against a cut stream that looks complete, or that runs a second time.
TEST_F(Forwarding, StreamThatMayNotGoOnIsCutForTheClient) {
  site.ServeBy([](const HttpRequest& request, HttpResponder& responder) {
    (void)responder.StartStream(200, EndpointStandin::SealedHeaders(request));
    (void)responder.Write(EndpointStandin::StreamEvent(1));
    responder.Abort();
  });
  EXPECT_FALSE(site.Send(site.Request("/stream-once/x")));
  EXPECT_EQ(site.Runs(), 1U);
}

// Guards against a request that is held beyond its route's time.
TEST_F(Forwarding, SilentEndpointIsAnsweredForAtTheTimeout) {
  site.ServeBy([](const HttpRequest&, HttpResponder& responder) {
    boost::this_fiber::sleep_for(seconds(6));
    responder.Abort();
  });
  const auto began = site.clock.Now();
  EXPECT_EQ(site.Send(site.Request("/book/x")).assume_value().status, 504);
  EXPECT_LT(site.clock.Now() - began, milliseconds(2300));
  EXPECT_GT(site.clock.Now() - began, milliseconds(1800));
}

// Guards against an endpoint that works on for a client that left.
TEST_F(Forwarding, LeavingClientCancelsTheEndpointsWork) {
  bool cancelled = false;
  site.ServeBy([&](const HttpRequest&, HttpResponder& responder) {
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
  const auto left = site.clock.Now();
  EXPECT_TRUE(WaitUntil([&] { return cancelled; }));
  EXPECT_LT(site.clock.Now() - left, milliseconds(500));
}

// Guards against a request for a missing model that is refused while it can be
// loaded in time, and against one that waits in vain.
TEST_F(Forwarding, RequestWaitsForItsModelOnlyIfItCanComeInTime) {
  auto request = site.Request("/stream-once/x");
  request.headers.Set("Model", "m");
  boost::fibers::fiber later([&] {
    boost::this_fiber::sleep_for(milliseconds(300));
    site.a.loaded.insert("m");
    site.a.Register();
  });
  EXPECT_EQ(site.Send(request).assume_value().status, 200);
  later.join();

  auto& other = *new Site();
  other.Start();
  LoadEstimate outlook{"s", 1, 1, {"m"}, {60000}};
  other.view.OnLoadEstimates(outlook);
  const auto began = other.clock.Now();
  const auto answer = other.Send(request);
  EXPECT_EQ(answer.assume_value().status, 503);
  EXPECT_TRUE(answer.assume_value().headers.Find("Retry-After"));
  EXPECT_LT(other.clock.Now() - began, milliseconds(200));
  EXPECT_EQ(other.Runs(), 0U);
}

// Guards against a request that still waits when its node ends.
TEST_F(Forwarding, WaitingRequestIsRejectedBeforeTheNodeEnds) {
  auto request = site.Request("/stream-once/x");
  request.headers.Set("Model", "m");
  site.stop_waiting_at = site.clock.Now() + milliseconds(200);
  const auto answer = site.Send(request);
  EXPECT_EQ(answer.assume_value().status, 503);
  EXPECT_LT(site.clock.Now() - site.stop_waiting_at, milliseconds(300));
}

// Guards against a request to an endpoint that announced its leaving or left.
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

// Guards against an older configuration that is put in force again.
TEST_F(Forwarding, OlderConfigurationIsIgnored) {
  auto newer = ConfigJson();
  newer["version"] = 5;
  newer["routes"].push_back(RouteJson("/new/", "idempotent", 1, false));
  site.store.Set("config", "main", newer);
  ASSERT_TRUE(
      WaitUntil([&] { return site.registry.config()->config.version == 5; }));
  EXPECT_EQ(site.Send(site.Request("/new/x")).assume_value().status, 200);
  site.registry.OnPeerConfig(ConfigJson().dump());
  site.store.Set("config", "main", ConfigJson());
  boost::this_fiber::sleep_for(milliseconds(100));
  EXPECT_EQ(site.registry.config()->config.version, 5U);
}

// Guards against a request that crashes one endpoint after the other.
TEST_F(Forwarding, RequestThatCrashedEndpointsIsRefused) {
  const auto request = site.Request("/read/crash");
  const auto fingerprint = StableHash(request.target + "\n" + request.body);
  for (std::uint32_t i = 0; i < CrashSuspects::kCrashLimit; ++i) {
    site.suspects.OnCrash(fingerprint, site.clock.Now());
  }
  EXPECT_EQ(site.Send(request).assume_value().status, 503);
  EXPECT_EQ(site.Runs(), 0U);
  EXPECT_EQ(site.Send(site.Request("/read/x")).assume_value().status, 200);
}

}  // namespace
}  // namespace tanagerloom
