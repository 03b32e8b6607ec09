#include "membership/peer_service.h"

// Boost 1.74's Asio uses std::exchange without including its header.
#include <utility>
// Keep this after <utility>.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <map>

#include "base/event_log.h"
#include "base/events.h"
#include "config/settings.h"
#include "membership/event_rate_limiter.h"
#include "membership/flood_filter.h"
#include "membership/link_set.h"
#include "membership/liveness.h"
#include "membership/peer_context.h"
#include "membership/vm_list_reader.h"
#include "runtime/await.h"
#include "runtime/clock.h"

namespace tanagerloom {

namespace asio = boost::asio;

namespace {

// Periodic checks per peer timeout, so that timeouts are accurate to 5% of it.
constexpr int kTicksPerTimeout = 20;
// If a check is late by this fraction of the peer timeout, the process was
// paused, and the peers were not silent.
constexpr double kPauseFraction = 0.5;
// Validity of the leaving notice of an endpoint. After this time the VM list
// surely contains the change.
constexpr auto kNoticeValidity = std::chrono::seconds(60);
// Maximum validity of a received notice; bounds the effect of a wrong one.
constexpr auto kMaxNoticeValidity = std::chrono::minutes(10);
// Floods above this size are not forwarded to nodes that have a link to the
// sender. In a full mesh of n nodes, each node would otherwise receive every
// record n - 2 times.
constexpr std::size_t kLargeFloodBytes = 1024;
constexpr auto kStopPollInterval = std::chrono::milliseconds(5);
// Maximum number of polls until the last notice has been written: 60 polls take
// 0.3 s.
constexpr int kMaxStopDrainPolls = 60;
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);

}  // namespace

struct PeerService::Impl final : LinkSetDelegate,
                                 std::enable_shared_from_this<Impl> {
  Impl(asio::io_context& io,
       VmList& vm_list,
       Clock& clock,
       EventLog& events,
       const Settings& settings)
      : context(io, clock, events, settings),
        links(context, *this),
        liveness(context, links),
        vm_list_reader(context,
                       vm_list,
                       [this](const std::vector<Vm>& previous_vms) {
                         OnListChanged(previous_vms);
                       }),
        acceptor(io) {}

  PeerContext context;
  LinkSet links;
  Liveness liveness;
  VmListReader vm_list_reader;
  asio::ip::tcp::acceptor acceptor;
  std::map<std::string, FloodFilter> flood_filters;
  std::uint64_t flood_number = 0;
  std::uint64_t config_version = 0;
  TimePoint last_tick_at{};
  bool started = false;
  bool stopped = false;
  bool accepting = false;
  std::vector<Handler> message_handlers;
  std::vector<std::function<void()>> members_changed_handlers;
  EventRateLimiter stale_event_limiter;

  Result<Address> Listen();
  void AcceptLoop();
  void OnListChanged(const std::vector<Vm>& previous_vms);
  void AnnounceListedLeaving(const std::vector<Vm>& previous_vms,
                             TimePoint now);
  void TickLoop();
  void Tick();
  void Stop();

  bool AcceptIdentity(const std::string& node,
                      const std::string& incarnation) override;
  void OnLinkReady(PeerConnection& connection) override;
  void OnEnvelope(PeerConnection& connection,
                  const Envelope& envelope,
                  const std::string& payload) override;
  void OnLinksChanged() override;

  bool CheckSender(const std::string& node,
                   const std::string& incarnation,
                   bool direct);
  void OnPeerMessage(PeerConnection& connection,
                     const Envelope& envelope,
                     const std::string& payload);
  void Deliver(const std::string& from, const PeerMessage& message);
  void Broadcast(const PeerMessage& message);
  bool Send(const std::string& id, const PeerMessage& message);
  bool RecordLeaving(const std::string& endpoint,
                     Duration valid,
                     const std::string& source);
  void Refresh();
  nlohmann::json NodesStatus() const;
  nlohmann::json CountersStatus() const;
};

// ---- listening, VM list, periodic checks

Result<Address> PeerService::Impl::Listen() {
  boost::system::error_code ec;
  const auto& address = context.settings.peer_listen;
  const auto ip = asio::ip::make_address(address.ip, ec);
  if (ec) {
    return MakeError(ErrorKind::kInvalid, "invalid IP address " + address.ip);
  }
  const asio::ip::tcp::endpoint local(ip, address.port);
  acceptor.open(local.protocol(), ec);
  acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  acceptor.bind(local, ec);
  if (!ec) {
    acceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return MakeError(
        ErrorKind::kUnavailable,
        "cannot listen on " + address.ToString() + ": " + ec.message());
  }
  return Address{address.ip, acceptor.local_endpoint().port()};
}

void PeerService::Impl::AcceptLoop() {
  accepting = true;
  while (!context.stopping) {
    asio::ip::tcp::socket socket(context.io);
    const auto result =
        AwaitIo([&](auto done) { acceptor.async_accept(socket, done); });
    if (context.stopping || result.ec == asio::error::operation_aborted) {
      break;
    }
    if (result.ec) {
      // No file descriptor is free, or the client has already disconnected.
      boost::this_fiber::sleep_for(kAcceptRetryDelay);
      continue;
    }
    links.Accept(std::move(socket));
  }
  accepting = false;
}

void PeerService::Impl::OnListChanged(const std::vector<Vm>& previous_vms) {
  const auto now = context.clock.Now();
  AnnounceListedLeaving(previous_vms, now);
  links.ChooseMeshLinks();
  links.MaintainLinks(now);
  liveness.Invalidate();
  Refresh();
}

void PeerService::Impl::AnnounceListedLeaving(
    const std::vector<Vm>& previous_vms,
    TimePoint now) {
  if (!vm_list_reader.is_large_site()) {
    return;
  }
  std::map<std::string_view, bool> known;
  for (const auto& it : previous_vms) {
    known.emplace(it.id, it.leaving);
  }
  for (const auto& it : context.members.Vms(now)) {
    const auto found = known.find(it.id);
    if (it.role != VmRole::kNode && it.leaving && found != known.end() &&
        !found->second &&
        RecordLeaving(it.id, kNoticeValidity, context.identity.full_id)) {
      Broadcast(EndpointNotice{
          it.id, EndpointCondition::kLeaving,
          static_cast<std::uint64_t>(ToMillis(kNoticeValidity))});
    }
  }
}

void PeerService::Impl::TickLoop() {
  while (!context.stopping) {
    context.clock.SleepFor(context.peer_timeout / kTicksPerTimeout);
    if (!context.stopping) {
      Tick();
    }
  }
}

void PeerService::Impl::Tick() {
  const auto now = context.clock.Now();
  const auto gap = now - last_tick_at - context.peer_timeout / kTicksPerTimeout;
  last_tick_at = now;
  if (gap > context.FractionOfTimeout(kPauseFraction)) {
    context.events.Record(events::kProcessPaused, {{"ms", ToMillis(gap)}});
    links.AdjustForPause(gap);
    context.members.AdjustForPause(gap);
  }
  links.Tick(now);
  liveness.Publish(now);
  for (const auto& it : context.members.Prune(now)) {
    liveness.Forget(it);
    links.Forget(it);
    flood_filters.erase(it);
  }
  Refresh();
}

void PeerService::Impl::Refresh() {
  if (!liveness.Refresh(context.clock.Now())) {
    return;
  }
  links.ChooseMeshLinks();
  const auto copy = members_changed_handlers;
  for (const auto& it : copy) {
    it();
  }
}

void PeerService::Impl::Stop() {
  if (stopped) {
    return;
  }
  stopped = true;
  if (started) {
    liveness.AnnounceLeaving(/*gone=*/true);
  }
  context.stopping = true;
  boost::system::error_code ec;
  acceptor.close(ec);
  for (int i = 0; i < kMaxStopDrainPolls && !links.IsDrained(); ++i) {
    boost::this_fiber::sleep_for(kStopPollInterval);
  }
  links.CloseAll();
  // The fibers use objects that the caller owns.
  while (!links.empty() || vm_list_reader.reading() || accepting) {
    boost::this_fiber::sleep_for(kStopPollInterval);
  }
  message_handlers.clear();
  members_changed_handlers.clear();
}

// ---- messages

bool PeerService::Impl::CheckSender(const std::string& node,
                                    const std::string& incarnation,
                                    bool direct) {
  const auto now = context.clock.Now();
  const auto* known = context.members.FindKnown(node);
  const std::string previous = known == nullptr ? "" : known->incarnation;
  const auto check =
      context.members.CheckIncarnation(node, incarnation, direct, now);
  if (check == IncarnationCheck::kNew) {
    if (!previous.empty()) {
      context.events.Record(events::kMemberRestarted,
                            {{"node", node},
                             {"incarnation", incarnation},
                             {"previous", previous}});
    }
    flood_filters.erase(node);
    liveness.OnNewIncarnation(node);
    links.OnNewIncarnation(node, previous);
  }
  if (check != IncarnationCheck::kStale) {
    return true;
  }
  ++context.counters.stale_ignored;
  if (const auto n = stale_event_limiter.TryPass(now)) {
    const bool self = node == context.identity.node;
    context.events.Record(
        events::kStaleIncarnation,
        {{"node", node},
         {"incarnation", incarnation},
         {"current", self ? context.identity.incarnation : previous},
         {"suppressed", *n}});
  }
  return false;
}

bool PeerService::Impl::AcceptIdentity(const std::string& node,
                                       const std::string& incarnation) {
  return CheckSender(node, incarnation, /*direct=*/true);
}

void PeerService::Impl::OnLinkReady(PeerConnection& connection) {
  const auto now = context.clock.Now();
  links.Push(connection,
             MakeOutbound(context.NewEnvelope(Heartbeat{config_version})));
  if (!connection.mesh()) {
    return;
  }
  liveness.SendAll(connection);
  for (const auto& [endpoint, until] : context.members.LeavingNotices(now)) {
    links.Push(connection,
               MakeOutbound(context.NewEnvelope(PeerMessage(EndpointNotice{
                   endpoint, EndpointCondition::kLeaving,
                   static_cast<std::uint64_t>(ToMillis(until - now))}))));
  }
}

void PeerService::Impl::OnLinksChanged() {
  Refresh();
}

void PeerService::Impl::OnEnvelope(PeerConnection& connection,
                                   const Envelope& envelope,
                                   const std::string& payload) {
  if (const auto* it = std::get_if<Heartbeat>(&envelope.body)) {
    context.members.FindOrAddKnown(connection.peer()).config_version =
        it->config_version;
  } else if (const auto* digest = std::get_if<Digest>(&envelope.body)) {
    liveness.OnDigest(
        connection, *digest,
        [this](const std::string& node, const std::string& incarnation) {
          return CheckSender(node, incarnation, /*direct=*/false);
        });
    Refresh();
  } else if (std::holds_alternative<DigestRequest>(envelope.body)) {
    liveness.SendAll(connection);
  } else if (std::holds_alternative<PeerMessage>(envelope.body)) {
    OnPeerMessage(connection, envelope, payload);
  } else if (!std::holds_alternative<std::monostate>(envelope.body)) {
    connection.Close(CloseCause::kMalformed,
                     "handshake message received after the handshake");
  }
}

void PeerService::Impl::OnPeerMessage(PeerConnection& connection,
                                      const Envelope& envelope,
                                      const std::string& payload) {
  const auto& message = std::get<PeerMessage>(envelope.body);
  if (envelope.flood_number == 0) {
    Deliver(connection.peer() + "/" + connection.peer_incarnation(), message);
    return;
  }
  const auto& origin = envelope.sender;
  if (origin == context.identity.node &&
      envelope.incarnation == context.identity.incarnation) {
    ++context.counters.duplicates_ignored;
    return;
  }
  if (!CheckSender(origin, envelope.incarnation, /*direct=*/false)) {
    return;
  }
  if (!flood_filters[origin].Accept(envelope.flood_number)) {
    ++context.counters.duplicates_ignored;
    return;
  }
  const bool large = payload.size() > kLargeFloodBytes;
  links.SendToMesh(MakeForwarded(envelope, payload),
                   [&](const std::string& id) {
                     return id == connection.peer() || id == origin ||
                            (large && liveness.HasLink(origin, id));
                   });
  Deliver(origin + "/" + envelope.incarnation, message);
}

void PeerService::Impl::Deliver(const std::string& from,
                                const PeerMessage& message) {
  const auto* notice = std::get_if<EndpointNotice>(&message);
  if (notice != nullptr && notice->condition == EndpointCondition::kLeaving) {
    const auto longest =
        static_cast<std::uint64_t>(ToMillis(kMaxNoticeValidity));
    RecordLeaving(
        notice->endpoint,
        std::chrono::milliseconds(std::min(notice->valid_ms, longest)), from);
  }
  const auto copy = message_handlers;
  for (const auto& handler : copy) {
    handler(from, message);
  }
}

void PeerService::Impl::Broadcast(const PeerMessage& message) {
  Envelope envelope = context.NewEnvelope(message);
  envelope.sender = context.identity.node;
  envelope.incarnation = context.identity.incarnation;
  envelope.flood_number = ++flood_number;
  links.SendToMesh(MakeOutbound(envelope),
                   [](const std::string&) { return false; });
}

bool PeerService::Impl::Send(const std::string& id,
                             const PeerMessage& message) {
  const auto* known = context.members.FindKnown(id);
  if (context.stopping || known == nullptr || !known->reachable) {
    return false;
  }
  return links.SendTo(id, MakeOutbound(context.NewEnvelope(message)));
}

bool PeerService::Impl::RecordLeaving(const std::string& endpoint,
                                      Duration valid,
                                      const std::string& source) {
  const auto now = context.clock.Now();
  if (!context.members.RecordLeaving(endpoint, now + valid, now)) {
    return false;
  }
  context.events.Record(events::kEndpointLeaving,
                        {{"endpoint", endpoint}, {"source", source}});
  return true;
}

// ---- status

nlohmann::json PeerService::Impl::NodesStatus() const {
  auto nodes = nlohmann::json::array();
  for (const auto* it : context.members.Nodes()) {
    const bool self = it->id == context.identity.node;
    const auto* found = context.members.FindKnown(it->id);
    const KnownNode known = found == nullptr ? KnownNode() : *found;
    nodes.push_back(
        {{"id", it->id},
         {"incarnation",
          self ? context.identity.incarnation : known.incarnation},
         {"reachable", self || known.reachable},
         {"leaving",
          it->leaving || (self ? liveness.leaving() : known.leaving)},
         {"gone", known.gone},
         {"config_version", self ? config_version : known.config_version}});
  }
  return nodes;
}

nlohmann::json PeerService::Impl::CountersStatus() const {
  const auto& c = context.counters;
  return {{"bytes_sent", c.bytes_sent},
          {"bytes_received", c.bytes_received},
          {"messages_sent", c.messages_sent},
          {"messages_received", c.messages_received},
          {"control_bytes_sent", c.control_bytes_sent},
          {"frames_refused", c.frames_refused},
          {"handshakes_refused", c.handshakes_refused},
          {"messages_dropped", c.messages_dropped},
          {"messages_replaced", c.messages_replaced},
          {"stale_ignored", c.stale_ignored},
          {"repeats_ignored", c.duplicates_ignored},
          {"silent_connections", c.silent_connections}};
}

// ---- public interface

PeerService::PeerService(asio::io_context& io,
                         VmList& vm_list,
                         Clock& clock,
                         EventLog& events,
                         const Settings& settings)
    : impl_(std::make_shared<Impl>(io, vm_list, clock, events, settings)) {}

PeerService::~PeerService() {
  Stop();
}

Result<Address> PeerService::Start() {
  BOOST_OUTCOME_TRY(address, impl_->Listen());
  impl_->started = true;
  impl_->last_tick_at = impl_->context.clock.Now();
  impl_->Refresh();
  boost::fibers::fiber([impl = impl_] { impl->AcceptLoop(); }).detach();
  boost::fibers::fiber([impl = impl_] { impl->vm_list_reader.Run(); }).detach();
  boost::fibers::fiber([impl = impl_] { impl->TickLoop(); }).detach();
  return address;
}

void PeerService::AnnounceLeaving() {
  if (!impl_->liveness.leaving()) {
    impl_->liveness.AnnounceLeaving(/*gone=*/false);
    impl_->Refresh();
  }
}

void PeerService::Stop() {
  impl_->Stop();
}

nlohmann::json PeerService::Status() const {
  const auto now = impl_->context.clock.Now();
  const auto& members = impl_->context.members;
  const auto age =
      members.has_list() ? now - members.last_list_at() : Duration();
  return {{"self", self()},
          {"nodes", impl_->NodesStatus()},
          {"links", impl_->links.Status(now)},
          {"vm_list",
           {{"known", members.has_list()},
            {"failing", impl_->vm_list_reader.failing()},
            {"age_ms", ToMillis(age)}}},
          {"counters", impl_->CountersStatus()}};
}

const PeerCounters& PeerService::counters() const {
  return impl_->context.counters;
}

const std::string& PeerService::self() const {
  return impl_->context.identity.full_id;
}

const std::string& PeerService::node_id() const {
  return impl_->context.identity.node;
}

std::vector<Member> PeerService::Members() const {
  std::vector<Member> out;
  for (const auto* it : impl_->context.members.Nodes()) {
    const auto* known = impl_->context.members.FindKnown(it->id);
    if (it->id == node_id()) {
      out.push_back({*it, impl_->context.identity.incarnation, true,
                     it->leaving || impl_->liveness.leaving(),
                     impl_->config_version});
    } else if (known == nullptr) {
      out.push_back({*it, "", false, it->leaving, 0});
    } else if (!known->gone) {
      out.push_back({*it, known->incarnation, known->reachable,
                     it->leaving || known->leaving, known->config_version});
    }
  }
  return out;
}

std::vector<std::string> PeerService::LiveIds() const {
  const auto& live = impl_->liveness.live();
  return {live.begin(), live.end()};
}

bool PeerService::MayStillRun(std::string_view node_incarnation) const {
  return impl_->context.members.MayStillRun(node_incarnation,
                                            impl_->context.clock.Now());
}

void PeerService::Broadcast(const PeerMessage& message) {
  impl_->Broadcast(message);
}

bool PeerService::Send(const std::string& node_id, const PeerMessage& message) {
  return impl_->Send(node_id, message);
}

void PeerService::OnMessage(Handler handler) {
  impl_->message_handlers.push_back(std::move(handler));
}

void PeerService::OnMembersChanged(std::function<void()> handler) {
  impl_->members_changed_handlers.push_back(std::move(handler));
}

void PeerService::SetConfigVersion(std::uint64_t version) {
  if (impl_->config_version == version) {
    return;
  }
  impl_->config_version = version;
  impl_->links.SendToMesh(
      MakeOutbound(impl_->context.NewEnvelope(Heartbeat{version})),
      [](const std::string&) { return false; });
}

std::vector<Vm> PeerService::Vms() const {
  return impl_->context.members.Vms(impl_->context.clock.Now());
}

void PeerService::ReportLeaving(const std::string& endpoint) {
  // A notice that is still valid was flooded before. Once it has expired, it is
  // sent again.
  if (impl_->RecordLeaving(endpoint, kNoticeValidity, self())) {
    impl_->Broadcast(
        EndpointNotice{endpoint, EndpointCondition::kLeaving,
                       static_cast<std::uint64_t>(ToMillis(kNoticeValidity))});
  }
}

}  // namespace tanagerloom
