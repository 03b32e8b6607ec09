#include "node/node.h"

#include <boost/fiber/fiber.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/event_log.h"
#include "base/events.h"
#include "base/invariant.h"
#include "control/admin_server.h"
#include "control/config_store.h"
#include "control/metrics.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "membership/peer_counters.h"
#include "membership/peer_service.h"
#include "node/event_metrics.h"
#include "object_api/http_engine_control.h"
#include "object_api/http_object_store.h"
#include "object_api/http_vm_list.h"
#include "placement/placement_dependencies.h"
#include "placement/placement_service.h"
#include "routing/client_api.h"
#include "routing/routing_dependencies.h"
#include "runtime/event_flag.h"
#include "runtime/runtime.h"
#include "runtime/steady_clock.h"

namespace tanagerloom {

namespace {

// Max time for which a shutdown waits for the open orders of this process.
constexpr auto kHandoverTimeout = std::chrono::seconds(10);
// Time in which the load balancer can see that the node is not ready, before
// the client listener closes.
constexpr auto kNotReadyPeriod = std::chrono::milliseconds(500);

}  // namespace

struct Node::Parts {
  Parts(Settings initial_settings, EventLog& event_log)
      : settings(std::move(initial_settings)),
        log(event_log),
        http_client(Runtime::Get().io()),
        store(http_client,
              clock,
              settings.platform_address,
              settings.platform_timeout),
        vm_list(http_client,
                clock,
                settings.platform_address,
                settings.platform_timeout),
        engines(http_client, clock, settings.engine_timeout),
        peers(Runtime::Get().io(), vm_list, clock, log, settings),
        config(store, peers, clock, log, settings),
        placement(PlacementDependencies{store, engines, peers, config, clock,
                                        log, settings}),
        client_api(RoutingDependencies{http_client, placement, peers, store,
                                       config, engines, clock, log, settings}),
        client_server(
            Runtime::Get().io(),
            HttpServerLimits{},
            [this](const HttpRequest& request, HttpResponder& responder) {
              client_api.Handle(request, responder);
            }),
        admin(Runtime::Get().io(),
              config,
              peers,
              log,
              metrics,
              MakeAdminCallbacks()) {}

  AdminCallbacks MakeAdminCallbacks();
  void AddMetrics();
  nlohmann::json Status();

  Settings settings;
  EventLog& log;
  SteadyClock clock;
  HttpClient http_client;
  HttpObjectStore store;
  HttpVmList vm_list;
  HttpEngineControl engines;
  PeerService peers;
  ConfigStore config;
  PlacementService placement;
  ClientApi client_api;
  HttpServer client_server;
  Metrics metrics;
  EventMetrics event_metrics{metrics};
  AdminServer admin;

  std::function<void()> request_stop;
  int stop_signals = 0;
  bool stopped = false;
  EventFlag stop_changed;
};

AdminCallbacks Node::Parts::MakeAdminCallbacks() {
  return {
      .not_ready_reason =
          [this] {
            return stop_signals > 0 ? std::string("shutting down")
                                    : std::string();
          },
      .drain = [this] { request_stop(); },
      .placement = [this] { return placement.Status(); },
      .status = [this] { return Status(); },
  };
}

nlohmann::json Node::Parts::Status() {
  const auto& calls = store.calls();
  return {{"peers", peers.Status()},
          {"callers", client_api.Status()},
          {"platform_calls",
           {{"reads", calls.reads},
            {"writes", calls.writes},
            {"watches", calls.watches},
            {"failures", calls.failures}}},
          {"invariants_checked", InvariantsChecked()}};
}

void Node::Parts::AddMetrics() {
  const auto& calls = store.calls();
  const auto add_calls = [&](const char* kind, const std::uint64_t& count) {
    metrics.AddCounterReader(
        "tanagerloom_platform_calls_total", "Calls to the object API.",
        [&count] { return static_cast<double>(count); }, {{"kind", kind}});
  };
  add_calls("read", calls.reads);
  add_calls("write", calls.writes);
  add_calls("watch", calls.watches);
  add_calls("failure", calls.failures);
  log.SetObserver(
      [this](const EventRecord& record) { event_metrics.Observe(record); });
  const auto& traffic = peers.counters();
  metrics.AddCounterReader(
      "tanagerloom_peer_bytes_total", "Bytes between nodes.",
      [&traffic] { return static_cast<double>(traffic.bytes_sent); },
      {{"direction", "sent"}});
  metrics.AddCounterReader(
      "tanagerloom_peer_bytes_total", "Bytes between nodes.",
      [&traffic] { return static_cast<double>(traffic.bytes_received); },
      {{"direction", "received"}});
  metrics.AddCounterReader(
      "tanagerloom_invariants_checked_total", "Checked invariants.",
      [] { return static_cast<double>(InvariantsChecked()); });
  metrics.AddGaugeReader(
      "tanagerloom_requests_in_progress",
      "Requests accepted and not yet answered.",
      [this] { return static_cast<double>(client_api.requests_in_flight()); });
}

Node::Node(Settings settings, EventLog& log)
    : parts_(std::make_unique<Parts>(std::move(settings), log)) {
  parts_->request_stop = [this] { RequestStop(); };
}

Node::~Node() = default;

Result<void> Node::Start() {
  auto& parts = *parts_;
  parts.AddMetrics();
  BOOST_OUTCOME_TRYV(parts.admin.Listen(parts.settings.admin_listen));
  BOOST_OUTCOME_TRYV(parts.peers.Start());
  parts.config.OnChange([&parts] {
    parts.peers.SetConfigVersion(parts.config.Current()->version);
  });
  parts.config.Start();
  parts.placement.Start();
  parts.client_api.Start();
  BOOST_OUTCOME_TRYV(parts.client_server.Listen(parts.settings.client_listen));
  parts.log.Record(events::kNodeStarted, {{"node", parts.settings.node_id},
                                          {"incarnation", parts.peers.self()}});
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void Node::RequestStop() {
  auto& parts = *parts_;
  ++parts.stop_signals;
  parts.log.Record(events::kNodeStopping, {{"signals", parts.stop_signals}});
  if (parts.stop_signals == 1) {
    boost::fibers::fiber([this] { RunShutdown(); }).detach();
  } else if (parts.stop_signals == 2) {
    boost::fibers::fiber([this] { (void)parts_->client_api.Drain(); }).detach();
  }
}

void Node::RunShutdown() {
  auto& parts = *parts_;
  parts.peers.AnnounceLeaving();
  parts.clock.SleepFor(kNotReadyPeriod);
  parts.client_server.StopAccepting();
  const auto unfinished = parts.client_api.Drain();
  parts.placement.RequestStop(kHandoverTimeout);
  parts.peers.Stop();
  parts.log.Record(events::kNodeStopped, {{"requests", unfinished}});
  parts.stopped = true;
  parts.stop_changed.Signal();
}

void Node::WaitUntilStopped() {
  auto& parts = *parts_;
  while (!parts.stopped) {
    parts.stop_changed.WaitUntil(parts.stop_changed.count(),
                                 parts.clock.Now() + std::chrono::hours(1));
  }
}

}  // namespace tanagerloom
