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
#include "membership/event_limiter.h"
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

// Checks by time in a peer timeout: the error of every timeout is 5% of it.
constexpr int kTicksPerTimeout = 20;
// A check that is late by this part of the peer timeout means that the process
// was paused, not that the peers were silent.
constexpr double kPausePart = 0.5;
// An endpoint's leaving notice holds until the VM list has surely caught up.
constexpr auto kNoticeValid = std::chrono::seconds(60);
// Bounds the effect of a wrong notice.
constexpr auto kLongestNotice = std::chrono::minutes(10);
// Floods above this size skip the neighbours that have a link to the sender:
// in a full mesh each node would otherwise get every record n - 2 times.
constexpr std::size_t kLargeFloodBytes = 1024;
constexpr auto kStopStep = std::chrono::milliseconds(5);
// Time for the last notice to be written: 60 steps are 0.3 s.
constexpr int kStopDrainSteps = 60;
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);

}  // namespace

struct PeerService::Impl final : LinkOwner, std::enable_shared_from_this<Impl> {
  Impl(asio::io_context& io,
       VmList& vm_list,
       Clock& clock,
       EventLog& events,
       const Settings& settings)
      : context(io, clock, events, settings),
        links(context, *this),
        liveness(context, links),
        list(context,
             vm_list,
             [this](const std::vector<Vm>& before) { OnListChanged(before); }),
        acceptor(io) {}

  PeerContext context;
  LinkSet links;
  Liveness liveness;
  VmListReader list;
  asio::ip::tcp::acceptor acceptor;
  std::map<std::string, FloodFilter> floods;
  std::uint64_t flood_number = 0;
  std::uint64_t config_version = 0;
  TimePoint last_tick{};
  bool started = false;
  bool stopped = false;
  bool accepting = false;
  std::vector<Handler> handlers;
  std::vector<std::function<void()>> change_handlers;
  EventLimiter stale_limit;

  Result<Address> Listen();
  void AcceptLoop();
  void OnListChanged(const std::vector<Vm>& before);
  void NoteListedLeaving(const std::vector<Vm>& before, TimePoint now);
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
  bool NoteLeaving(const std::string& endpoint,
                   Duration valid,
                   const std::string& source);
  void Refresh();
  nlohmann::json NodesStatus() const;
  nlohmann::json CountersStatus() const;
};

// ---- listening, VM list, checks by time

Result<Address> PeerService::Impl::Listen() {
  boost::system::error_code ec;
  const auto& address = context.settings.peer_listen;
  const auto ip = asio::ip::make_address(address.ip, ec);
  if (ec) {
    return MakeError(ErrorKind::kInvalid, "bad IP number " + address.ip);
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
      // Out of file descriptors, or the client left already.
      boost::this_fiber::sleep_for(kAcceptRetryDelay);
      continue;
    }
    links.Accept(std::move(socket));
  }
  accepting = false;
}

void PeerService::Impl::OnListChanged(const std::vector<Vm>& before) {
  const auto now = context.clock.Now();
  NoteListedLeaving(before, now);
  links.Choose();
  links.Maintain(now);
  liveness.Invalidate();
  Refresh();
}

void PeerService::Impl::NoteListedLeaving(const std::vector<Vm>& before,
                                          TimePoint now) {
  if (!list.large_site()) {
    return;
  }
  std::map<std::string_view, bool> known;
  for (const auto& it : before) {
    known.emplace(it.id, it.leaving);
  }
  for (const auto& it : context.members.Vms(now)) {
    const auto found = known.find(it.id);
    if (it.role != VmRole::kNode && it.leaving && found != known.end() &&
        !found->second &&
        NoteLeaving(it.id, kNoticeValid, context.identity.full)) {
      Broadcast(
          EndpointNotice{it.id, EndpointCondition::kLeaving,
                         static_cast<std::uint64_t>(ToMillis(kNoticeValid))});
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
  const auto gap = now - last_tick - context.peer_timeout / kTicksPerTimeout;
  last_tick = now;
  if (gap > context.PartOfTimeout(kPausePart)) {
    context.events.Record(events::kProcessPaused, {{"ms", ToMillis(gap)}});
    links.ForgivePause(gap);
    context.members.ForgivePause(gap);
  }
  links.Tick(now);
  liveness.Publish(now);
  for (const auto& it : context.members.Prune(now)) {
    liveness.Forget(it);
    links.Forget(it);
    floods.erase(it);
  }
  Refresh();
}

void PeerService::Impl::Refresh() {
  if (!liveness.Refresh(context.clock.Now())) {
    return;
  }
  links.Choose();
  const auto copy = change_handlers;
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
  for (int i = 0; i < kStopDrainSteps && !links.Drained(); ++i) {
    boost::this_fiber::sleep_for(kStopStep);
  }
  links.CloseAll();
  // The fibers use objects that belong to the caller.
  while (!links.empty() || list.reading() || accepting) {
    boost::this_fiber::sleep_for(kStopStep);
  }
  handlers.clear();
  change_handlers.clear();
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
    floods.erase(node);
    liveness.OnNewIncarnation(node);
    links.OnNewIncarnation(node, previous);
  }
  if (check != IncarnationCheck::kStale) {
    return true;
  }
  ++context.counters.stale_ignored;
  if (const auto n = stale_limit.Pass(now)) {
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
    context.members.Known(connection.peer()).config_version =
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
                     "handshake message after the handshake");
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
    ++context.counters.repeats_ignored;
    return;
  }
  if (!CheckSender(origin, envelope.incarnation, /*direct=*/false)) {
    return;
  }
  if (!floods[origin].Accept(envelope.flood_number)) {
    ++context.counters.repeats_ignored;
    return;
  }
  const bool large = payload.size() > kLargeFloodBytes;
  links.SendToMesh(MakeForwarded(envelope, payload),
                   [&](const std::string& id) {
                     return id == connection.peer() || id == origin ||
                            (large && liveness.Linked(origin, id));
                   });
  Deliver(origin + "/" + envelope.incarnation, message);
}

void PeerService::Impl::Deliver(const std::string& from,
                                const PeerMessage& message) {
  const auto* notice = std::get_if<EndpointNotice>(&message);
  if (notice != nullptr && notice->condition == EndpointCondition::kLeaving) {
    const auto longest = static_cast<std::uint64_t>(ToMillis(kLongestNotice));
    NoteLeaving(notice->endpoint,
                std::chrono::milliseconds(std::min(notice->valid_ms, longest)),
                from);
  }
  const auto copy = handlers;
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

bool PeerService::Impl::NoteLeaving(const std::string& endpoint,
                                    Duration valid,
                                    const std::string& source) {
  const auto now = context.clock.Now();
  if (!context.members.NoteLeaving(endpoint, now + valid, now)) {
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
          {"repeats_ignored", c.repeats_ignored},
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
  impl_->last_tick = impl_->context.clock.Now();
  impl_->Refresh();
  boost::fibers::fiber([impl = impl_] { impl->AcceptLoop(); }).detach();
  boost::fibers::fiber([impl = impl_] { impl->list.Run(); }).detach();
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
  const auto age = members.has_list() ? now - members.last_list() : Duration();
  return {{"self", self()},
          {"nodes", impl_->NodesStatus()},
          {"links", impl_->links.Status(now)},
          {"vm_list",
           {{"known", members.has_list()},
            {"failing", impl_->list.failing()},
            {"age_ms", ToMillis(age)}}},
          {"counters", impl_->CountersStatus()}};
}

const PeerCounters& PeerService::counters() const {
  return impl_->context.counters;
}

const std::string& PeerService::self() const {
  return impl_->context.identity.full;
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
  impl_->handlers.push_back(std::move(handler));
}

void PeerService::OnMembersChanged(std::function<void()> handler) {
  impl_->change_handlers.push_back(std::move(handler));
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
  // A known notice was flooded already; once it expires it is sent again.
  if (impl_->NoteLeaving(endpoint, kNoticeValid, self())) {
    impl_->Broadcast(
        EndpointNotice{endpoint, EndpointCondition::kLeaving,
                       static_cast<std::uint64_t>(ToMillis(kNoticeValid))});
  }
}

}  // namespace tanagerloom
