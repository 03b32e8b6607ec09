#include "node/fleet_node.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <utility>

#include "base/event_log.h"
#include "base/events.h"
#include "config/settings.h"
#include "control/metrics.h"
#include "fleet/demand_tracker.h"
#include "fleet/fleet_view.h"
#include "fleet/load_sharing.h"
#include "forwarding/crash_guard.h"
#include "forwarding/endpoint_statements.h"
#include "forwarding/quota_gate.h"
#include "forwarding/request_forwarder.h"
#include "forwarding/waiting_exchange.h"
#include "http/buffer_budget.h"
#include "http/http_responder.h"
#include "http/http_server.h"
#include "http/request_memory.h"
#include "membership/event_rate_limiter.h"
#include "membership/peer_counters.h"
#include "membership/peer_service.h"
#include "node/event_metrics.h"
#include "node/registry_timing.h"
#include "ordering/order_coordinator.h"
#include "ordering/order_lease.h"
#include "ports/object_store.h"
#include "ports/store_era.h"
#include "registry/node_registry.h"
#include "runtime/event_flag.h"
#include "runtime/runtime.h"
#include "runtime/steady_clock.h"

namespace tanagerloom {

namespace {

using std::chrono::milliseconds;

// Key of the order lease in the object store.
constexpr std::string_view kOrderLeaseKey = "fleet-leases/orders";
// Key with which nodes authenticate to each other. It is the same for all
// nodes, whatever address of the store each of them uses.
constexpr std::string_view kFleetPeerKey = "registered fleet";
// Interval at which a node broadcasts its requests in flight to its peers.
constexpr milliseconds kEndpointUseInterval{400};
// Interval at which a node announces again which requests are refused because
// they crash endpoints.
constexpr milliseconds kQuarantineInterval{1000};
// Interval at which a node looks for peers that have started or returned.
constexpr milliseconds kReturnedPeersInterval{500};
// Max number of nodes that broadcast at these intervals. With more nodes each
// broadcasts less often, so that the rate at which a node receives is constant.
constexpr std::size_t kMaxNodesAtFullRate = 8;
// Max number of nodes that broadcast at all. In a larger fleet the counts would
// be older than most requests: all nodes would choose the endpoint that had few
// requests a while ago, and then the next one.
constexpr std::size_t kMaxNodesWithCounts = 16;
// Interval at which a node reads the list of nodes. The list changes rarely,
// and a read that may be stale costs little.
constexpr milliseconds kNodeListInterval{1000};
// Time in which the load balancer sees in two checks that the node is not
// ready, before the client listener closes.
constexpr milliseconds kNotReadyPeriod{2300};
// Min time between the end of a shutdown and the kill of the process.
constexpr milliseconds kShutdownMargin{400};
// Time in which the responses that end requests in flight are written.
constexpr milliseconds kFinalResponseTime{200};
constexpr milliseconds kShutdownPollInterval{20};
// Min read timeout of a request with its body, since a client may be slow to
// send a long body. The header has a limit of its own.
constexpr milliseconds kMinReadTimeout{15000};
// Fraction of the VM's memory for connections, requests and responses: two
// fifths. The rest is for what the node knows of the fleet, for calls of the
// store and of engines, and for unread bytes in the kernel.
constexpr std::uint64_t kBufferMemoryDivisor = 5;
constexpr std::uint64_t kBufferMemoryParts = 2;
// Fraction of that memory that responses may use, so that clients which read
// slowly leave room for new requests.
constexpr std::size_t kResponseMemoryDivisor = 2;
// Fraction of the sockets that clients leave to the store, peers and engines.
constexpr std::size_t kReservedSocketsDivisor = 8;
// Limits of the listeners that only the platform and operators use.
constexpr std::size_t kMaxOwnConnections = 64;
constexpr std::uint64_t kMaxOwnBodyBytes = 64UL * 1024;
// Min interval between two reports of requests refused for lack of memory.
constexpr milliseconds kMemoryReportInterval{5000};
// The lowest priority that has a metric of its waiting requests.
constexpr std::uint32_t kLastPriority = 9;
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;

LeaseTiming LeaseTimingFor(const FleetBounds& bounds) {
  LeaseTiming out;
  out.handover_gap = bounds.order_handover_gap;
  return out;
}

// Returns the settings of the peer service.
Settings PeerSettings(const FleetSettings& settings) {
  Settings out;
  out.node_id = settings.node_id;
  out.data_centre = settings.data_centre;
  out.region = settings.region;
  out.peer_listen = settings.peer_listen;
  // One fixed key is enough: nodes find each other in the object store, and the
  // network admits no other processes.
  out.peer_keys = {std::string(kFleetPeerKey)};
  out.vm_list_interval = kNodeListInterval;
  return out;
}

HttpServerLimits WithSocketLimits(HttpServerLimits limits,
                                  std::size_t max_sockets) {
  if (max_sockets > 0) {
    limits.max_sockets = max_sockets - max_sockets / kReservedSocketsDivisor;
  }
  return limits;
}

HttpServerLimits OwnServerLimits() {
  HttpServerLimits out;
  out.max_body_bytes = kMaxOwnBodyBytes;
  out.max_connections = kMaxOwnConnections;
  return out;
}

// Returns this node's entry in the list of nodes.
Vm SelfAsVm(const FleetSettings& settings) {
  Vm vm;
  vm.id = settings.node_id;
  vm.role = VmRole::kNode;
  vm.address = {settings.peer_listen.ip, 0};
  vm.peer_port = settings.peer_listen.port;
  vm.data_centre = settings.data_centre;
  vm.processors = settings.processors;
  return vm;
}

// Returns "NODE" of "NODE/INCARNATION".
std::string NodeIdOf(const std::string& node_incarnation) {
  return node_incarnation.substr(0, node_incarnation.find('/'));
}

}  // namespace

struct FleetNode::Parts {
  Parts(FleetSettings initial_settings, FleetPorts ports, EventLog& event_log)
      : settings(std::move(initial_settings)),
        log(event_log),
        store_era(ports.store_era),
        view(settings.data_centre, clock),
        demand(clock),
        memory(settings.memory_bytes / kBufferMemoryDivisor *
               kBufferMemoryParts),
        responses(memory.max_bytes() / kResponseMemoryDivisor,
                  BufferBudget::kDefaultShareDivisor,
                  &memory),
        nodes(ports.store,
              ports.collections,
              store_era,
              clock,
              SelfAsVm(settings)),
        peers(Runtime::Get().io(), nodes, clock, log, PeerSettings(settings)),
        crashes(peers, clock, log),
        statements(view, peers, clock, log),
        load_sharing(view, peers, clock, settings.data_centre),
        registry(ports.collections,
                 store_era,
                 peers,
                 view,
                 clock,
                 log,
                 std::move(ports.format),
                 RegistryTimingFor(settings.bounds)),
        quotas(peers, registry, clock, log, settings.bounds.quota_reserve),
        lease(ports.store,
              store_era,
              peers,
              clock,
              log,
              std::string(kOrderLeaseKey),
              settings.peer_listen.ip,
              LeaseTimingFor(settings.bounds)),
        orders({lease, ports.engines, peers, registry, view, demand, clock, log,
                [this](const std::string& engine, std::uint64_t boot) {
                  statements.OnLeaving({engine, boot}, "");
                }},
               settings.bounds.load_rate_window),
        forwarder({Runtime::Get().io(), registry, view, demand, ports.protocol,
                   crashes, statements, clock, log,
                   settings.bounds.retry_limits,
                   [this] { return peers.LiveIds().size(); },
                   [this] { return stop_at; }, responses, quotas}),
        waiting_exchange(
            {forwarder.waiting_lists(), peers, clock,
             [this] { return HasCustomers(); },
             [this] {
               return WaitingCollector{lease.holder(), lease.fence()};
             }}),
        client_server(
            Runtime::Get().io(),
            WithSocketLimits({}, settings.max_sockets),
            [this](const HttpRequest& request, HttpResponder& responder) {
              forwarder.Handle(request, responder);
            },
            &request_memory),
        readiness_server(Runtime::Get().io(),
                         OwnServerLimits(),
                         [this](const HttpRequest&, HttpResponder& responder) {
                           AnswerReadiness(responder);
                         }),
        control_server(
            Runtime::Get().io(),
            OwnServerLimits(),
            [this](const HttpRequest& request, HttpResponder& responder) {
              AnswerControl(request, responder);
            }) {}

  void ObserveEndpoints();
  void AddMetrics();
  void OnStoreEraChanged();
  void AddMemoryMetrics();
  void AddQuotaMetrics();
  void OnPeerMessage(const std::string& from, const PeerMessage& message);
  void ApplyClientLimits();
  void BroadcastUseLoop();
  void ShareLoadsLoop();
  void AnnounceQuarantineLoop();
  void TellReturnedPeersLoop();
  void ReportMemoryLoop();
  void WaitingExchangeLoop();
  bool HasCustomers() const;
  bool IsReady() const;
  void AnswerReadiness(HttpResponder& responder);
  void AnswerControl(const HttpRequest& request, HttpResponder& responder);
  /// Waits until no request is in flight, but not longer than `deadline`.
  void AwaitRequestsUntil(TimePoint deadline);
  void Shutdown();

  FleetSettings settings;
  EventLog& log;
  StoreEra& store_era;
  SteadyClock clock;
  FleetView view;
  DemandTracker demand;
  BufferBudget memory;
  BufferBudget responses;  ///< The part of the memory for responses.
  RequestMemory request_memory{memory};
  NodeRegistry nodes;
  PeerService peers;
  CrashGuard crashes;
  EndpointStatements statements;
  LoadSharing load_sharing;
  FleetRegistry registry;
  QuotaGate quotas;
  OrderLease lease;
  OrderCoordinator orders;
  RequestForwarder forwarder;
  WaitingExchange waiting_exchange;
  HttpServer client_server;
  HttpServer readiness_server;
  HttpServer control_server;
  Metrics metrics;
  EventMetrics event_metrics{metrics};
  EventRateLimiter pace_events;
  bool reported_ready = false;  ///< Last answer to a readiness check.
  bool stopping = false;
  /// Time at which requests in flight end because the node stops.
  TimePoint stop_at = TimePoint::max();
  bool stopped = false;
  EventFlag stop_changed;
};

void FleetNode::Parts::AddMemoryMetrics() {
  metrics.AddGaugeReader(
      "tanagerloom_buffer_bytes",
      "Bytes of connections, requests and responses that are held.",
      [this] { return static_cast<double>(memory.used_bytes()); });
  metrics.AddGaugeReader(
      "tanagerloom_buffer_max_bytes", "Limit on tanagerloom_buffer_bytes.",
      [this] { return static_cast<double>(memory.max_bytes()); });
  metrics.AddGaugeReader(
      "tanagerloom_response_buffer_bytes",
      "Bytes of endpoints' responses that are not yet forwarded.",
      [this] { return static_cast<double>(responses.used_bytes()); });
  metrics.AddGaugeReader(
      "tanagerloom_requests_waiting_for_memory",
      "Requests whose client is held up until memory is free.",
      [this] { return static_cast<double>(request_memory.waiting()); });
  metrics.AddGaugeReader(
      "tanagerloom_requests_refused_for_memory",
      "Requests refused since the start because no memory was free.",
      [this] { return static_cast<double>(request_memory.refused()); });
  metrics.AddGaugeReader(
      "tanagerloom_stalled_requests_ended",
      "Requests ended since the start because their client sent nothing while "
      "others needed the memory or the connection.",
      [this] { return static_cast<double>(request_memory.ended()); });
  metrics.AddGaugeReader(
      "tanagerloom_connections", "Open connections of clients.",
      [this] { return static_cast<double>(client_server.connections()); });
  metrics.AddGaugeReader(
      "tanagerloom_connections_closed_at_limit",
      "Connections closed since the start because there were too many.",
      [this] { return static_cast<double>(client_server.closed_at_limit()); });
}

void FleetNode::Parts::ObserveEndpoints() {
  view.observer().SetNodes(settings.node_id,
                           [this] { return peers.LiveIds().size(); });
  view.observer().OnPaceChanged([this](const PaceChange& it) {
    const auto suppressed = pace_events.TryPass(clock.Now());
    if (suppressed) {
      log.Record(events::kEndpointPaceChanged,
                 {{"endpoint", it.endpoint},
                  {"boot", it.boot},
                  {"paced", it.paced},
                  {"cause", PaceCauseName(it.cause)},
                  {"suppressed", *suppressed}});
    }
  });
  metrics.AddGaugeReader(
      "tanagerloom_endpoints_paced",
      "Endpoints that get few requests because they start or recover.",
      [this] { return static_cast<double>(view.observer().PacedCount()); });
  metrics.AddCounterReader(
      "tanagerloom_endpoint_refusals_total",
      "Requests that endpoints refused because they were full.",
      [this] { return static_cast<double>(view.observer().refusals()); });
}

void FleetNode::Parts::AddMetrics() {
  log.SetObserver(
      [this](const EventRecord& record) { event_metrics.Observe(record); });
  metrics.AddGaugeReader(
      "tanagerloom_requests_in_progress",
      "Requests accepted and not yet answered.",
      [this] { return static_cast<double>(forwarder.requests_in_flight()); });
  for (std::uint32_t priority = 0; priority <= kLastPriority; ++priority) {
    metrics.AddGaugeReader(
        "tanagerloom_requests_waiting",
        "Requests that wait for an endpoint, by priority.",
        [this, priority] {
          return static_cast<double>(forwarder.waiting(priority));
        },
        {{"priority", std::to_string(priority)}});
  }
  metrics.AddGaugeReader(
      "tanagerloom_endpoints", "Endpoints that the store lists.", [this] {
        return static_cast<double>(view.directory().records().size());
      });
  AddMemoryMetrics();
  metrics.AddGaugeReader(
      "tanagerloom_quarantined_fingerprints",
      "Kinds of requests that are refused because they crash endpoints.",
      [this] { return static_cast<double>(crashes.QuarantinedCount()); });
  metrics.AddGaugeReader(
      "tanagerloom_endpoints_set_aside",
      "Listed endpoints that drain or want a pause.",
      [this] { return static_cast<double>(view.SetAsideCount()); });
  metrics.AddGaugeReader(
      "tanagerloom_customers", "Customers of the configuration in force.",
      [this] {
        const auto config = registry.config();
        return config == nullptr
                   ? 0.0
                   : static_cast<double>(config->customers.size());
      });
  metrics.AddGaugeReader("tanagerloom_holds_order_lease",
                         "1 while this node orders engines.",
                         [this] { return lease.is_holder() ? 1.0 : 0.0; });
  metrics.AddGaugeReader(
      "tanagerloom_store_era",
      "Era of the object store; rises when it is restored from a copy.",
      [this] { return static_cast<double>(store_era.current()); });
}

void FleetNode::Parts::OnStoreEraChanged() {
  log.Record(events::kStoreEraChanged, {{"era", store_era.current()},
                                        {"previous", store_era.previous()}});
  boost::fibers::fiber([this] { nodes.Register(); }).detach();
}

void FleetNode::Parts::AddQuotaMetrics() {
  const auto& counts = quotas.counts();
  metrics.AddCounterReader("tanagerloom_quota_granted_units_total",
                           "Units of quotas that were granted to this node.",
                           [&counts] { return counts.granted; });
  metrics.AddCounterReader("tanagerloom_quota_charged_units_total",
                           "Units of quotas that admitted requests use.",
                           [&counts] { return counts.charged; });
  const auto add_refused = [&](const std::string& reason,
                               const std::uint64_t& n) {
    metrics.AddCounterReader(
        "tanagerloom_quota_refused_requests_total",
        "Requests refused because of their customer's quota.",
        [&n] { return static_cast<double>(n); }, {{"reason", reason}});
  };
  add_refused("over_quota", counts.over_quota);
  add_refused("no_answer", counts.no_answer);
  add_refused("too_large", counts.too_large);
  metrics.AddGaugeReader("tanagerloom_quota_vote_share",
                         "Part of the nodes whose quota coordinator is this.",
                         [this] { return quotas.VoteShare(); });
}

// ---- messages from peers

namespace {

// Passes each kind of peer message to the component that handles it.
struct MessageHandler {
  FleetView& view;
  OrderLease& lease;
  OrderCoordinator& orders;
  FleetRegistry& registry;
  CrashGuard& crashes;
  EndpointStatements& statements;
  QuotaGate& quotas;
  WaitingExchange& waiting_exchange;
  LoadSharing& load_sharing;
  std::string node;  ///< Id of the sender.
  std::string from;  ///< Its process, "NODE/INCARNATION".

  void operator()(const Demand& it) const { orders.OnDemand(node, it); }
  void operator()(const LeaseNotice& it) const { lease.OnNotice(it); }
  void operator()(const LoadedModelsNotice& it) const {
    view.OnLoadedModels(it);
  }
  void operator()(const LoadEstimate& it) const { view.OnLoadEstimates(it); }
  void operator()(const EndpointUse& it) const { view.OnPeerUse(node, it); }
  void operator()(const ConfigUpdate& it) const { registry.OnPeerConfig(it); }
  void operator()(const ConfigRequest& it) const {
    registry.OnConfigRequest(node, it);
  }
  void operator()(const CrashNotice& it) const { crashes.OnNotice(it); }
  void operator()(const SharedLoads& it) const { load_sharing.OnLoads(it); }
  void operator()(const EndpointNotice& it) const { statements.OnNotice(it); }
  void operator()(const QuotaReport& it) const { quotas.OnReport(from, it); }
  void operator()(const QuotaGrant& it) const { quotas.OnGrant(from, it); }
  void operator()(const WaitingReport& it) const {
    waiting_exchange.OnReport(node, it);
  }
  void operator()(const WaitingSummary& it) const {
    waiting_exchange.OnSummary(it);
  }
  // Sent only by nodes that keep placement records, which a registered fleet
  // does not have.
  void operator()(const DemandAck&) const {}
  void operator()(const RecordUpdate&) const {}
  void operator()(const OrderDone&) const {}
};

}  // namespace

void FleetNode::Parts::OnPeerMessage(const std::string& from,
                                     const PeerMessage& message) {
  std::visit(
      MessageHandler{view, lease, orders, registry, crashes, statements, quotas,
                     waiting_exchange, load_sharing, NodeIdOf(from), from},
      message);
}

void FleetNode::Parts::BroadcastUseLoop() {
  bool idle = false;
  while (!stopped) {
    const auto nodes = std::clamp(peers.LiveIds().size(), kMaxNodesAtFullRate,
                                  kMaxNodesWithCounts);
    clock.SleepFor(kEndpointUseInterval * nodes / kMaxNodesAtFullRate);
    if (peers.LiveIds().size() > kMaxNodesWithCounts) {
      continue;
    }
    auto use = view.LocalUse();
    // An empty list is sent only once, to reset the peers' counts.
    if (!use.endpoints.empty() || !idle) {
      idle = use.endpoints.empty();
      peers.Broadcast(std::move(use));
    }
  }
}

void FleetNode::Parts::ShareLoadsLoop() {
  while (!stopped) {
    clock.SleepFor(load_sharing.Share());
  }
}

void FleetNode::Parts::AnnounceQuarantineLoop() {
  while (!stopped) {
    // Beyond this number of nodes, each announces less often.
    const auto nodes = std::max(peers.LiveIds().size(), kMaxNodesAtFullRate);
    clock.SleepFor(kQuarantineInterval * nodes / kMaxNodesAtFullRate);
    crashes.AnnounceQuarantined();
  }
}

void FleetNode::Parts::TellReturnedPeersLoop() {
  while (!stopped) {
    clock.SleepFor(kReturnedPeersInterval);
    statements.TellReturnedPeers();
  }
}

void FleetNode::Parts::ReportMemoryLoop() {
  std::uint64_t reported = 0;
  while (!stopped) {
    clock.SleepFor(kMemoryReportInterval);
    const auto refused = request_memory.refused();
    const auto ended = request_memory.ended();
    const auto closed = client_server.closed_at_limit();
    if (std::exchange(reported, refused + ended + closed) != reported) {
      log.Record(events::kMemoryShort, {{"refused", refused},
                                        {"ended", ended},
                                        {"closed", closed},
                                        {"used", memory.used_bytes()},
                                        {"max", memory.max_bytes()}});
    }
  }
}

bool FleetNode::Parts::HasCustomers() const {
  return registry.config() != nullptr &&
         !registry.config()->config.customers.empty();
}

void FleetNode::Parts::WaitingExchangeLoop() {
  while (!stopped) {
    clock.SleepFor(WaitingExchange::kInterval);
    waiting_exchange.Exchange();
  }
}

// ---- client limits, readiness and control listeners

void FleetNode::Parts::ApplyClientLimits() {
  const auto& limits = registry.config()->config.limits;
  HttpServerLimits out;
  out.max_header_bytes = limits.max_header_bytes;
  out.max_body_bytes = limits.max_body_bytes;
  out.idle_timeout = limits.idle_timeout;
  out.read_timeout = std::max<Duration>(limits.header_timeout, kMinReadTimeout);
  client_server.SetLimits(WithSocketLimits(out, settings.max_sockets));
}

bool FleetNode::Parts::IsReady() const {
  return !stopping && registry.config() != nullptr &&
         registry.endpoints_known();
}

void FleetNode::Parts::AnswerReadiness(HttpResponder& responder) {
  const bool ready = IsReady();
  if (std::exchange(reported_ready, ready) != ready) {
    log.Record(events::kReadinessChanged,
               {{"ready", ready},
                {"stopping", stopping},
                {"configuration", registry.config() != nullptr},
                {"endpoints", registry.endpoints_known()}});
  }
  (void)responder.Send({ready ? kOk : kUnavailable, {}, ""});
}

void FleetNode::Parts::AnswerControl(const HttpRequest& request,
                                     HttpResponder& responder) {
  if (request.Path() != "/metrics") {
    (void)responder.Send({kNotFound, {}, "only /metrics is served\n"});
    return;
  }
  (void)responder.Send(
      {kOk, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.ToText()});
}

// ---- shutdown

void FleetNode::Parts::AwaitRequestsUntil(TimePoint deadline) {
  while (client_server.requests_in_flight() > 0 && clock.Now() < deadline) {
    clock.SleepFor(kShutdownPollInterval);
  }
}

void FleetNode::Parts::Shutdown() {
  stop_at = clock.Now() + settings.bounds.shutdown_grace - kShutdownMargin;
  client_server.AnnounceClose();
  peers.AnnounceLeaving();
  lease.Stop();
  orders.Stop();
  clock.SleepFor(kNotReadyPeriod);
  client_server.StopAccepting();
  AwaitRequestsUntil(stop_at);
  const auto unfinished = client_server.requests_in_flight();
  forwarder.EndRequests();
  AwaitRequestsUntil(stop_at + kFinalResponseTime);
  log.Record(events::kNodeStopped,
             {{"ended", unfinished},
              {"requests", client_server.requests_in_flight()}});
  quotas.Stop();
  registry.Stop();
  nodes.Stop();
  stopped = true;
  stop_changed.Signal();
}

// ---- public interface

FleetNode::FleetNode(FleetSettings settings, FleetPorts ports, EventLog& log)
    : parts_(
          std::make_unique<Parts>(std::move(settings), std::move(ports), log)) {
}

FleetNode::~FleetNode() = default;

Result<void> FleetNode::Start() {
  auto& parts = *parts_;
  parts.view.directory().SetMaxSilence(
      parts.settings.bounds.max_endpoint_silence);
  parts.AddMetrics();
  parts.store_era.OnChanged([&parts] { parts.OnStoreEraChanged(); });
  parts.AddQuotaMetrics();
  parts.ObserveEndpoints();
  parts.registry.OnConfigChanged([&parts] { parts.ApplyClientLimits(); });
  parts.peers.OnMessage(
      [&parts](const std::string& from, const PeerMessage& message) {
        parts.OnPeerMessage(from, message);
      });
  BOOST_OUTCOME_TRYV(
      parts.readiness_server.Listen(parts.settings.readiness_listen));
  if (parts.settings.control_listen.port != 0) {
    BOOST_OUTCOME_TRYV(
        parts.control_server.Listen(parts.settings.control_listen));
  }
  BOOST_OUTCOME_TRYV(parts.peers.Start());
  boost::fibers::fiber([&parts] { parts.nodes.Register(); }).detach();
  parts.registry.Start();
  boost::fibers::fiber([&parts] { parts.lease.Run(); }).detach();
  parts.orders.Start();
  boost::fibers::fiber([&parts] { parts.BroadcastUseLoop(); }).detach();
  boost::fibers::fiber([&parts] { parts.quotas.Run(); }).detach();
  boost::fibers::fiber([&parts] { parts.ShareLoadsLoop(); }).detach();
  boost::fibers::fiber([&parts] { parts.AnnounceQuarantineLoop(); }).detach();
  boost::fibers::fiber([&parts] { parts.TellReturnedPeersLoop(); }).detach();
  boost::fibers::fiber([&parts] { parts.ReportMemoryLoop(); }).detach();
  boost::fibers::fiber([&parts] { parts.WaitingExchangeLoop(); }).detach();
  BOOST_OUTCOME_TRYV(parts.client_server.Listen(parts.settings.client_listen));
  parts.log.Record(events::kNodeStarted, {{"node", parts.settings.node_id},
                                          {"incarnation", parts.peers.self()}});
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void FleetNode::ReloadSettings(const FleetSettings& settings) {
  parts_->settings.bounds = settings.bounds;
  parts_->view.directory().SetMaxSilence(settings.bounds.max_endpoint_silence);
  parts_->log.Record(events::kSettingsReloaded,
                     {{"grace_ms", settings.bounds.shutdown_grace.count()}});
}

void FleetNode::RequestStop() {
  if (std::exchange(parts_->stopping, true)) {
    return;
  }
  parts_->log.Record(events::kNodeStopping, {{"signals", 1}});
  boost::fibers::fiber([this] { parts_->Shutdown(); }).detach();
}

void FleetNode::WaitUntilStopped() {
  auto& parts = *parts_;
  while (!parts.stopped) {
    parts.stop_changed.WaitUntil(parts.stop_changed.count(),
                                 parts.clock.Now() + std::chrono::hours(1));
  }
}

}  // namespace tanagerloom
