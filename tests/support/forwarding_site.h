// Defines ForwardingSite, the request path of one node with two endpoints and
// stand-ins for everything outside it.
#ifndef TESTS_SUPPORT_FORWARDING_SITE_H_
#define TESTS_SUPPORT_FORWARDING_SITE_H_

#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>
#include <string>

#include "base/event_log.h"
#include "fleet/demand_tracker.h"
#include "fleet/fleet_view.h"
#include "forwarding/crash_guard.h"
#include "forwarding/endpoint_statements.h"
#include "forwarding/quota_gate.h"
#include "forwarding/request_forwarder.h"
#include "http/buffer_budget.h"
#include "http/http_client.h"
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

inline nlohmann::json RouteJson(const std::string& prefix,
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

inline nlohmann::json ConfigJson() {
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

// A node's request path with two endpoints. Tests leak it, because the fibers
// of its servers run until the process ends.
struct ForwardingSite {
  static constexpr std::size_t kBufferBytes = 8UL * 1024 * 1024;

  explicit ForwardingSite(RetryLimits retry_limits = {})
      : a(store, "i-a", "s"),
        b(store, "i-b", "s"),
        client(Runtime::Get().io()),
        adapter(client, clock, store.address()),
        view("z", clock),
        demand(clock),
        peers(cluster, "n", "z"),
        registry(
            adapter,
            adapter.era(),
            peers,
            view,
            clock,
            log,
            platform::MakeRegistryFormat(),
            {{std::chrono::milliseconds(500), std::chrono::milliseconds(10),
              std::chrono::milliseconds(50)},
             {std::chrono::milliseconds(500), std::chrono::milliseconds(10),
              std::chrono::milliseconds(50)}}),
        quotas(peers, registry, clock, log, quota_reserve),
        forwarder({Runtime::Get().io(), registry, view, demand, protocol,
                   crashes, statements, clock, log, retry_limits,
                   [] { return std::size_t{1}; }, [this] { return stop_at; },
                   buffers, quotas}),
        server(Runtime::Get().io(),
               HttpServerLimits{},
               [this](const HttpRequest& request, HttpResponder& responder) {
                 forwarder.Handle(request, responder);
               }),
        address(server.Listen({"127.0.0.1", 0}).value()) {}

  // Stores the configuration, registers both endpoints and waits until the node
  // knows them.
  void Start() {
    store.Set("config", "main", ConfigJson());
    a.Register();
    b.Register();
    registry.Start();
    boost::fibers::fiber([this] { quotas.Run(); }).detach();
    ASSERT_TRUE(testing_support::WaitUntil([&] {
      return registry.config() != nullptr &&
             view.directory().records().size() == 2;
    }));
  }

  // Sets the request handler of both endpoints.
  void SetServe(const EndpointStandin::RequestHandler& serve) {
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
    return client.Call(address, request,
                       {.deadline = clock.Now() + std::chrono::seconds(8),
                        .fresh_connection = true});
  }

  // Number of requests that the endpoints ran.
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
  BufferBudget buffers{kBufferBytes};
  FakeCluster cluster;
  FakePeers peers;
  CrashGuard crashes{peers, clock, log};
  EndpointStatements statements{view, peers, clock, log};
  FleetRegistry registry;
  TimePoint stop_at = TimePoint::max();
  QuotaReserve quota_reserve;
  QuotaGate quotas;
  RequestForwarder forwarder;
  HttpServer server;
  Address address;
};

}  // namespace tanagerloom

#endif  // TESTS_SUPPORT_FORWARDING_SITE_H_
