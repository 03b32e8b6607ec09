#include "node/fleet_node.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <utility>

#include "base/event_log.h"
#include "base/events.h"
#include "config/settings.h"
#include "control/metrics.h"
#include "fleet/crash_suspects.h"
#include "fleet/demand_tracker.h"
#include "fleet/fleet_view.h"
#include "forwarding/request_forwarder.h"
#include "http/http_responder.h"
#include "http/http_server.h"
#include "membership/peer_counters.h"
#include "membership/peer_service.h"
#include "node/event_metrics.h"
#include "ordering/order_coordinator.h"
#include "ordering/order_lease.h"
#include "ports/object_store.h"
#include "registry/node_registry.h"
#include "runtime/event_flag.h"
#include "runtime/runtime.h"
#include "runtime/steady_clock.h"

namespace tanagerloom {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kLeaseKey = "fleet-leases/orders";
// The same for all nodes, however each of them reaches the store.
constexpr std::string_view kFleetKey = "registered fleet";
// How often nodes tell each other what they have in flight.
constexpr milliseconds kUseInterval{400};
// Up to this number of nodes; beyond, each tells it less often, so that what a
// node receives stays the same.
constexpr std::size_t kNodesAtFullRate = 8;
// The list of nodes changes rarely, and a read that may be old costs little.
constexpr milliseconds kNodeListInterval{1000};
// Time in which the balancer notices twice that the node is not ready.
constexpr milliseconds kUnreadyLead{2300};
// The shutdown is complete this long before the process is killed.
constexpr milliseconds kGraceMargin{400};
// A request that an endpoint gets later than this before the end of a shutdown
// would be cut off; it is rejected instead, and its client tries another node.
constexpr milliseconds kServeTime{2000};
constexpr milliseconds kStopStep{20};
// Left of the time for which a silent connection is excused, for the call that
// follows the watch on it.
constexpr milliseconds kWatchAllowance{500};
// A client may be slow to send a long body; the head has its own limit.
constexpr milliseconds kReadTimeout{15000};
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;

// A watch that went silent is noticed within the time for which such a fault is
// excused. The list of endpoints changes all the time in a large fleet, so that
// each watch is answered at once; the pause between two leaves half of the time
// in which a leaving endpoint must be known.
RegistryTiming TimingFor(const FleetBounds& bounds) {
  RegistryTiming out;
  out.config.watch_timeout =
      std::max(milliseconds(1000), bounds.contact - kWatchAllowance);
  out.config.watch_interval = milliseconds(100);
  out.endpoints.watch_timeout = bounds.drain / 2 + kWatchAllowance;
  out.endpoints.watch_interval = bounds.drain / 2;
  return out;
}

LeaseTiming LeaseTimingFor(const FleetBounds& bounds) {
  LeaseTiming out;
  out.handover_gap = bounds.handover;
  return out;
}

Settings PeerSettings(const FleetSettings& settings) {
  Settings out;
  out.node_id = settings.node_id;
  out.data_centre = settings.data_centre;
  out.region = settings.region;
  out.peer_listen = settings.peer_listen;
  // Nodes find each other in their store, and the network admits no others.
  out.peer_keys = {std::string(kFleetKey)};
  out.vm_list_interval = kNodeListInterval;
  return out;
}

Vm SelfAsVm(const FleetSettings& settings) {
  Vm vm;
  vm.id = settings.node_id;
  vm.role = VmRole::kNode;
  vm.address = {settings.peer_listen.ip, 0};
  vm.peer_port = settings.peer_listen.port;
  vm.data_centre = settings.data_centre;
  return vm;
}

std::string NodeOf(const std::string& node_incarnation) {
  return node_incarnation.substr(0, node_incarnation.find('/'));
}

}  // namespace

struct FleetNode::Parts {
  Parts(FleetSettings given, FleetPorts ports, EventLog& event_log)
      : settings(std::move(given)),
        log(event_log),
        view(settings.data_centre, clock),
        demand(clock),
        nodes(ports.store, ports.collections, clock, SelfAsVm(settings)),
        peers(Runtime::Get().io(), nodes, clock, log, PeerSettings(settings)),
        registry(ports.collections,
                 peers,
                 view,
                 clock,
                 log,
                 std::move(ports.format),
                 TimingFor(settings.bounds)),
        lease(ports.store,
              peers,
              clock,
              log,
              std::string(kLeaseKey),
              LeaseTimingFor(settings.bounds)),
        orders(
            {lease, ports.engines, peers, registry, view, demand, clock, log},
            settings.bounds.load_window),
        forwarder({Runtime::Get().io(), registry, view, demand, ports.protocol,
                   suspects, clock, log, settings.bounds.repeats,
                   [this] { return peers.LiveIds().size(); },
                   [this] { return stop_waiting_at; },
                   [this](std::uint64_t it) { OnCrash(it); }}),
        clients(Runtime::Get().io(),
                HttpServerLimits{},
                [this](const HttpRequest& request, HttpResponder& responder) {
                  forwarder.Handle(request, responder);
                }),
        readiness(Runtime::Get().io(),
                  HttpServerLimits{},
                  [this](const HttpRequest&, HttpResponder& responder) {
                    AnswerReadiness(responder);
                  }),
        control(Runtime::Get().io(),
                HttpServerLimits{},
                [this](const HttpRequest& request, HttpResponder& responder) {
                  AnswerControl(request, responder);
                }) {}

  void AddMetrics();
  void OnPeerMessage(const std::string& from, const PeerMessage& message);
  void OnCrash(std::uint64_t fingerprint);
  void ApplyLimits();
  void ShareUseLoop();
  bool Ready() const;
  void AnswerReadiness(HttpResponder& responder);
  void AnswerControl(const HttpRequest& request, HttpResponder& responder);
  void Shutdown();

  FleetSettings settings;
  EventLog& log;
  SteadyClock clock;
  FleetView view;
  DemandTracker demand;
  CrashSuspects suspects;
  NodeRegistry nodes;
  PeerService peers;
  FleetRegistry registry;
  OrderLease lease;
  OrderCoordinator orders;
  RequestForwarder forwarder;
  HttpServer clients;
  HttpServer readiness;
  HttpServer control;
  Metrics metrics;
  EventMetrics event_metrics{metrics};
  bool said_ready = false;
  bool stopping = false;
  TimePoint stop_waiting_at = TimePoint::max();
  bool stopped = false;
  EventFlag stop_changed;
};

void FleetNode::Parts::AddMetrics() {
  log.SetObserver(
      [this](const EventRecord& record) { event_metrics.Observe(record); });
  metrics.AddGaugeReader(
      "tanagerloom_requests_in_progress",
      "Requests accepted and not yet answered.",
      [this] { return static_cast<double>(forwarder.requests_in_flight()); });
  metrics.AddGaugeReader(
      "tanagerloom_endpoints", "Endpoints that the store lists.", [this] {
        return static_cast<double>(view.directory().records().size());
      });
  metrics.AddGaugeReader("tanagerloom_holds_order_lease",
                         "1 while this node orders engines.",
                         [this] { return lease.is_holder() ? 1.0 : 0.0; });
}

// ---- messages of other nodes

namespace {

// Takes each kind of message to the part that it concerns.
struct MessageHandler {
  FleetView& view;
  OrderLease& lease;
  OrderCoordinator& orders;
  FleetRegistry& registry;
  CrashSuspects& suspects;
  std::string node;
  TimePoint now;

  void operator()(const Demand& it) const { orders.OnDemand(node, it); }
  void operator()(const LeaseNotice& it) const { lease.OnNotice(it); }
  void operator()(const LoadedModelsNotice& it) const {
    view.OnLoadedModels(it);
  }
  void operator()(const LoadEstimate& it) const { view.OnLoadEstimates(it); }
  void operator()(const EndpointUse& it) const { view.OnPeerUse(node, it); }
  void operator()(const ConfigUpdate& it) const {
    registry.OnPeerConfig(it.root);
  }
  void operator()(const CrashNotice& it) const {
    suspects.OnNotice(it.fingerprint, it.crashes, now);
  }
  // Of nodes that place models by stored records; none in a registered fleet.
  void operator()(const DemandAck&) const {}
  void operator()(const RecordUpdate&) const {}
  void operator()(const EndpointNotice&) const {}
  void operator()(const OrderDone&) const {}
};

}  // namespace

void FleetNode::Parts::OnPeerMessage(const std::string& from,
                                     const PeerMessage& message) {
  std::visit(MessageHandler{view, lease, orders, registry, suspects,
                            NodeOf(from), clock.Now()},
             message);
}

void FleetNode::Parts::OnCrash(std::uint64_t fingerprint) {
  const auto crashes = suspects.OnCrash(fingerprint, clock.Now());
  log.Record(events::kRequestCrashedEndpoint,
             {{"fingerprint", fingerprint}, {"crashes", crashes}});
  const auto valid =
      std::chrono::duration_cast<milliseconds>(CrashSuspects::kRetention);
  peers.Broadcast(CrashNotice{fingerprint, crashes,
                              static_cast<std::uint64_t>(valid.count())});
}

void FleetNode::Parts::ShareUseLoop() {
  bool idle = false;
  while (!stopped) {
    const auto nodes = std::max(kNodesAtFullRate, peers.LiveIds().size());
    clock.SleepFor(kUseInterval * nodes / kNodesAtFullRate);
    auto use = view.LocalUse();
    // An empty list is told once, so that the peers' counts end.
    if (!use.endpoints.empty() || !idle) {
      idle = use.endpoints.empty();
      peers.Broadcast(std::move(use));
    }
  }
}

// ---- limits, readiness, control

void FleetNode::Parts::ApplyLimits() {
  const auto& limits = registry.config()->config.limits;
  HttpServerLimits out;
  out.max_header_bytes = limits.max_header_bytes;
  out.max_body_bytes = limits.max_body_bytes;
  out.idle_timeout = limits.idle_timeout;
  out.read_timeout = std::max<Duration>(limits.header_timeout, kReadTimeout);
  clients.SetLimits(out);
}

bool FleetNode::Parts::Ready() const {
  return !stopping && registry.config() != nullptr &&
         registry.endpoints_known();
}

void FleetNode::Parts::AnswerReadiness(HttpResponder& responder) {
  const bool ready = Ready();
  if (std::exchange(said_ready, ready) != ready) {
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

void FleetNode::Parts::Shutdown() {
  const auto began = clock.Now();
  const auto end = began + settings.bounds.grace - kGraceMargin;
  stop_waiting_at = end - kServeTime;
  clients.AnnounceClose();
  peers.AnnounceLeaving();
  lease.Stop();
  orders.Stop();
  clock.SleepFor(kUnreadyLead);
  clients.StopAccepting();
  while (clients.requests_in_flight() > 0 && clock.Now() < end) {
    clock.SleepFor(kStopStep);
  }
  log.Record(events::kNodeStopped,
             {{"requests", clients.requests_in_flight()}});
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
  parts.AddMetrics();
  parts.registry.OnConfigChanged([&parts] { parts.ApplyLimits(); });
  parts.peers.OnMessage(
      [&parts](const std::string& from, const PeerMessage& message) {
        parts.OnPeerMessage(from, message);
      });
  BOOST_OUTCOME_TRYV(parts.readiness.Listen(parts.settings.readiness_listen));
  if (parts.settings.control_listen.port != 0) {
    BOOST_OUTCOME_TRYV(parts.control.Listen(parts.settings.control_listen));
  }
  BOOST_OUTCOME_TRYV(parts.peers.Start());
  boost::fibers::fiber([&parts] { parts.nodes.Register(); }).detach();
  parts.registry.Start();
  boost::fibers::fiber([&parts] { parts.lease.Run(); }).detach();
  parts.orders.Start();
  boost::fibers::fiber([&parts] { parts.ShareUseLoop(); }).detach();
  BOOST_OUTCOME_TRYV(parts.clients.Listen(parts.settings.client_listen));
  parts.log.Record(events::kNodeStarted, {{"node", parts.settings.node_id},
                                          {"incarnation", parts.peers.self()}});
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void FleetNode::Reload(const FleetSettings& settings) {
  parts_->settings.bounds = settings.bounds;
  parts_->log.Record(events::kSettingsReloaded,
                     {{"grace_ms", settings.bounds.grace.count()}});
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
