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
#include <set>

#include "base/event_log.h"
#include "base/events.h"
#include "base/id.h"
#include "config/settings.h"
#include "membership/event_limiter.h"
#include "membership/flood_filter.h"
#include "membership/link_choice.h"
#include "membership/link_state_table.h"
#include "membership/member_table.h"
#include "membership/peer_connection.h"
#include "runtime/await.h"
#include "runtime/clock.h"

namespace tanagerloom {

namespace asio = boost::asio;

namespace {

using ConnectionPtr = std::shared_ptr<PeerConnection>;

// Period of the fiber that checks timeouts, as a part of the peer timeout. A
// tenth keeps the error of every timeout at 10%.
constexpr int kTicksPerTimeout = 20;
// A mesh link sends a keep-alive after this part of the peer timeout without
// other traffic, so that two may be late before the link looks silent.
constexpr double kKeepAlivePart = 0.3;
// A link without a frame for this part of the peer timeout gets a second
// connection, so that a new one is ready when the old one is given up.
constexpr double kSuspectPart = 0.6;
// Retries of a failed connection start at this part of the peer timeout and
// double up to kMaxBackoffTimeouts of it.
constexpr double kFirstBackoffPart = 0.1;
constexpr int kMaxBackoffTimeouts = 5;
// A connection that was opened on demand ends after this time without a
// message. Longer than the gap between bursts of demand for one cell.
constexpr auto kIdleTimeout = std::chrono::seconds(30);
// Connections that may be in the handshake at once; bounds what a client
// without a key can make this node hold.
constexpr std::size_t kMaxHandshakes = 256;
// An endpoint's leaving notice holds until the VM list has surely caught up.
constexpr auto kLeavingNoticeValid = std::chrono::seconds(60);
constexpr auto kMaxNoticeValid = std::chrono::minutes(10);
// Floods above this size skip the neighbours that have a link to the sender:
// in a full mesh every node would otherwise get each record n - 2 times.
constexpr std::size_t kLargeFloodBytes = 1024;
// A digest carries at most this many reports, so that it fits a frame.
constexpr std::size_t kReportsPerDigest = 256;
constexpr auto kStopStep = std::chrono::milliseconds(5);
constexpr int kStopDrainSteps = 60;
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);

// Wall milliseconds first, so that a later start compares as greater.
std::string NewIncarnation(const Clock& clock) {
  char buf[17];
  std::snprintf(buf, sizeof(buf), "%012llx",
                static_cast<unsigned long long>(clock.WallNow().count()));
  return std::string(buf) + NewId("-").substr(0, 9);
}

Duration Part(Duration duration, double part) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(duration.count()) * part));
}

std::int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// Connections to one other node.
struct Peer {
  std::vector<ConnectionPtr> connections;  ///< Authenticated ones.
  ConnectionPtr opening;
  TimePoint next_attempt{};
  int failures = 0;
  std::optional<TimePoint> failed_at;
  OutboundQueue waiting;  ///< Until a connection opened on demand is ready.
  FloodFilter floods;
};

}  // namespace

struct PeerService::Impl final : PeerConnectionOwner,
                                 std::enable_shared_from_this<Impl> {
  Impl(asio::io_context& io,
       VmList& vm_list,
       Clock& clock,
       EventLog& events,
       const Settings& settings)
      : io(io),
        vm_list(vm_list),
        clock(clock),
        events(events),
        settings(settings),
        peer_timeout(settings.peer_timeout),
        authenticator(settings.peer_keys),
        identity{settings.node_id, NewIncarnation(clock), ""},
        members(identity.node,
                identity.incarnation,
                {settings.peer_timeout, settings.sender_gone}),
        acceptor(io) {
    identity.full = identity.node + "/" + identity.incarnation;
    own.node = identity.node;
    own.incarnation = identity.incarnation;
  }

  asio::io_context& io;
  VmList& vm_list;
  Clock& clock;
  EventLog& events;
  const Settings settings;
  const Duration peer_timeout;
  PeerAuthenticator authenticator;
  PeerIdentity identity;
  PeerCounters counters;
  MemberTable members;
  LinkStateTable link_states;
  asio::ip::tcp::acceptor acceptor;
  std::map<std::string, Peer> peers;
  std::set<ConnectionPtr> connections;  ///< All, handshakes included.
  std::set<std::string> chosen;         ///< Mesh links of this node's choice.
  std::set<std::string> live;
  LinkState own;  ///< `added` lists the links last published.
  std::uint64_t flood_number = 0;
  std::uint64_t config_version = 0;
  TimePoint last_tick{};
  TimePoint last_published{};
  bool started = false;
  bool stopping = false;
  bool stopped = false;
  bool own_changed = true;
  bool reading_list = false;
  bool accepting = false;
  std::optional<TimePoint> list_failed_since;
  std::vector<Handler> handlers;
  std::vector<std::function<void()>> change_handlers;
  EventLimiter refused_limit;
  EventLimiter frame_limit;
  EventLimiter stale_limit;
  EventLimiter dropped_limit;

  Result<Address> Listen();
  void AcceptLoop();
  void ListLoop();
  void ReadList();
  void TickLoop();
  void Tick();

  void CheckConnections(TimePoint now);
  void CheckSilence(const ConnectionPtr& connection, TimePoint now);
  void SendKeepAlives(TimePoint now);
  void MaintainPeers(TimePoint now);
  void CloseSurplus(const std::string& id, Peer& peer, TimePoint now);
  bool WantsConnection(const std::string& id, const Peer& peer, TimePoint now);
  void Open(const std::string& id, Peer& peer, bool mesh);
  void ChooseMesh();
  void PublishLinks(TimePoint now);
  void RefreshMembers(TimePoint now);

  ConnectionPtr Best(const Peer& peer, bool mesh_only) const;
  bool Healthy(const PeerConnection& connection, TimePoint now) const;
  std::set<std::string> DirectlyHeard(TimePoint now, bool mesh_only) const;

  bool OnAuthenticated(PeerConnection& connection) override;
  void OnEnvelope(PeerConnection& connection,
                  const Envelope& envelope,
                  const std::string& payload) override;
  void OnClosed(PeerConnection& connection) override;
  void RecordClose(const PeerConnection& connection);

  void OnDigest(PeerConnection& connection, const Digest& digest);
  void OnPeerMessage(PeerConnection& connection,
                     const Envelope& envelope,
                     const std::string& payload);
  void Forward(const PeerConnection& from,
               const std::string& origin,
               const Envelope& envelope,
               const std::string& payload);
  void Deliver(const std::string& from, const PeerMessage& message);
  bool CheckSender(const std::string& node,
                   const std::string& incarnation,
                   bool direct);
  void OnNewIncarnation(const std::string& node, const std::string& previous);

  Envelope NewEnvelope(EnvelopeBody body);
  void SendDigest(PeerConnection& connection, std::vector<LinkState> entries);
  void SendDigestToMesh(const LinkState& entry, const PeerConnection* except);
  void SendAll(const OutboundMessage& message, const PeerConnection* except);
  void Push(PeerConnection& connection, OutboundMessage message);
  LinkState OwnReport() const;
  void Broadcast(const PeerMessage& message);
  bool Send(const std::string& id, const PeerMessage& message);
  void NoteLeaving(const std::string& endpoint,
                   Duration valid,
                   const std::string& source);
  bool IsLive(const std::string& id) const;
  nlohmann::json Status() const;
  void Stop();
};

// ---- starting, listening, VM list

Result<Address> PeerService::Impl::Listen() {
  boost::system::error_code ec;
  const auto& address = settings.peer_listen;
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
  while (!stopping) {
    asio::ip::tcp::socket socket(io);
    const auto result =
        AwaitIo([&](auto done) { acceptor.async_accept(socket, done); });
    if (stopping || result.ec == asio::error::operation_aborted) {
      break;
    }
    if (result.ec) {
      // Out of file descriptors, or the client left already.
      boost::this_fiber::sleep_for(kAcceptRetryDelay);
      continue;
    }
    const auto handshakes = std::ranges::count_if(
        connections, [](const auto& it) { return !it->authenticated(); });
    if (static_cast<std::size_t>(handshakes) >= kMaxHandshakes) {
      ++counters.handshakes_refused;
      continue;
    }
    auto connection = std::make_shared<PeerConnection>(
        io, clock, events.clock(), authenticator, identity, counters, *this);
    connections.insert(connection);
    boost::fibers::fiber([self = shared_from_this(), connection,
                          moved = std::move(socket)]() mutable {
      connection->RunAccepted(std::move(moved));
    }).detach();
  }
  accepting = false;
}

void PeerService::Impl::ListLoop() {
  while (!stopping) {
    reading_list = true;
    ReadList();
    reading_list = false;
    if (stopping) {
      return;
    }
    // Jitter keeps the nodes of a site from reading the list in step.
    constexpr double kJitter = 0.2;
    const double factor = 1.0 - kJitter + 2 * kJitter * RandomUnit();
    clock.SleepFor(Part(settings.vm_list_interval, factor));
  }
}

void PeerService::Impl::ReadList() {
  auto list = vm_list.Read();
  if (stopping) {
    return;
  }
  const auto now = clock.Now();
  if (!list) {
    if (!list_failed_since) {
      list_failed_since = now;
      events.Record(events::kVmListUnavailable,
                    {{"cause", list.assume_error().message}});
    }
    return;
  }
  if (list_failed_since) {
    events.Record(events::kVmListAvailable,
                  {{"outage_ms", Millis(now - *list_failed_since)}});
    list_failed_since.reset();
  }
  if (!members.SetVms(std::move(list).assume_value(), now)) {
    return;
  }
  const auto nodes = members.Nodes().size();
  events.Record(
      events::kVmListChanged,
      {{"nodes", nodes}, {"endpoints", members.Vms(now).size() - nodes}});
  ChooseMesh();
  MaintainPeers(now);
  RefreshMembers(now);
}

void PeerService::Impl::TickLoop() {
  while (!stopping) {
    clock.SleepFor(peer_timeout / kTicksPerTimeout);
    if (!stopping) {
      Tick();
    }
  }
}

void PeerService::Impl::Tick() {
  const auto now = clock.Now();
  const Duration gap = now - last_tick - peer_timeout / kTicksPerTimeout;
  last_tick = now;
  if (gap > Part(peer_timeout, kSuspectPart)) {
    // This process was paused: the peers' silence is its own.
    events.Record(events::kProcessPaused, {{"ms", Millis(gap)}});
    for (const auto& it : connections) {
      it->ForgivePause(gap);
    }
    for (auto& [node, known] : members.known()) {
      for (auto* it : {&known.last_heard, &known.last_direct}) {
        if (it->has_value()) {
          **it += gap;
        }
      }
    }
  }
  CheckConnections(now);
  ChooseMesh();
  MaintainPeers(now);
  PublishLinks(now);
  SendKeepAlives(now);
  for (const auto& it : members.Prune(now)) {
    link_states.Erase(it);
    peers.erase(it);
  }
  RefreshMembers(now);
}

// ---- connections

void PeerService::Impl::CheckConnections(TimePoint now) {
  const std::vector<ConnectionPtr> all(connections.begin(), connections.end());
  for (const auto& it : all) {
    if (it->closed()) {
      continue;
    }
    if (!it->authenticated()) {
      if (now - it->created() > peer_timeout) {
        it->Close(CloseCause::kSilent, "handshake not finished in time");
      }
      continue;
    }
    CheckSilence(it, now);
    if (!it->closed() && it->opened_here() && !it->mesh() &&
        now - it->last_used() > kIdleTimeout) {
      it->Close(CloseCause::kIdle);
    }
  }
}

void PeerService::Impl::CheckSilence(const ConnectionPtr& connection,
                                     TimePoint now) {
  // Only mesh links carry regular keep-alives. A connection opened on demand
  // is silent if a message on it was followed by nothing.
  const auto& blocked = connection->write_blocked_since();
  auto since = connection->last_received();
  if (!connection->mesh()) {
    since = connection->unanswered_since().value_or(now);
  }
  if (blocked) {
    since = std::min(since, *blocked);
  }
  if (now - since <= peer_timeout) {
    return;
  }
  ++counters.silent_connections;
  events.Record(events::kPeerSilent, {{"peer", connection->peer()},
                                      {"silent_ms", Millis(now - since)}});
  connection->Close(CloseCause::kSilent);
}

bool PeerService::Impl::Healthy(const PeerConnection& connection,
                                TimePoint now) const {
  if (connection.closed() || !connection.authenticated()) {
    return false;
  }
  const auto suspect = Part(peer_timeout, kSuspectPart);
  const auto since = connection.mesh()
                         ? connection.last_received()
                         : connection.unanswered_since().value_or(now);
  return now - since <= suspect;
}

ConnectionPtr PeerService::Impl::Best(const Peer& peer, bool mesh_only) const {
  // The newest connection, since an older one may have gone silent in the
  // direction that this node cannot see.
  ConnectionPtr best;
  for (const auto& it : peer.connections) {
    if (!it->closed() && (it->mesh() || !mesh_only) &&
        (!best || it->authenticated_at() >= best->authenticated_at())) {
      best = it;
    }
  }
  return best;
}

// Control traffic of a node at idle, with the default settings and 8 links:
// a mesh link sends a keep-alive every 0.3 s (kKeepAlivePart of the peer
// timeout of 1 s; never more often than the heartbeat interval), of 28 to 36
// bytes with its length field. 8 links / 0.3 s * 36 B = 960 B/s sent, and as
// much received: 1.9 KB/s of the 3 KB/s. At the two-year size 1,440 restarts a
// day of nodes with 8 links make 2 * 8 * 1440 / 86400 s = 0.27 link changes a
// second, each flooded once over each of 8 links in a report of about 150
// bytes: 0.27 * 8 * 150 B = 320 B/s each way.
void PeerService::Impl::SendKeepAlives(TimePoint now) {
  const auto interval = std::max<Duration>(settings.heartbeat_interval,
                                           Part(peer_timeout, kKeepAlivePart));
  const auto margin = peer_timeout / kTicksPerTimeout / 2;
  std::shared_ptr<OutboundMessage> message;
  for (const auto& it : connections) {
    if (it->closed() || !it->authenticated()) {
      continue;
    }
    const bool due = it->mesh() ? now - it->last_sent() + margin >= interval
                                : it->owes_reply();
    if (due && it->queue().empty()) {
      if (!message) {
        message = std::make_shared<OutboundMessage>(
            MakeOutbound(NewEnvelope(std::monostate())));
      }
      it->Send(*message);
    }
  }
}

void PeerService::Impl::ChooseMesh() {
  // A node that does not answer keeps its link only while it is reachable by
  // other routes; otherwise the next in rank takes its place.
  std::vector<std::string> candidates;
  for (const auto* it : members.Nodes()) {
    const auto* known = members.FindKnown(it->id);
    const auto peer = peers.find(it->id);
    const bool failing = peer != peers.end() && peer->second.failures > 1 &&
                         (known == nullptr || !known->reachable);
    if (it->id != identity.node && !(known != nullptr && known->gone) &&
        !failing) {
      candidates.push_back(it->id);
    }
  }
  chosen = ChooseLinks(identity.node, candidates, settings.peer_links);
  // In a small site failing nodes cost nothing to try.
  if (members.Nodes().size() <= settings.peer_links + 1) {
    for (const auto* it : members.Nodes()) {
      const auto* known = members.FindKnown(it->id);
      if (it->id != identity.node && !(known != nullptr && known->gone)) {
        chosen.insert(it->id);
      }
    }
  }
}

bool PeerService::Impl::WantsConnection(const std::string& id,
                                        const Peer& peer,
                                        TimePoint now) {
  bool mesh = chosen.contains(id);
  bool healthy_mesh = false;
  bool healthy = false;
  for (const auto& it : peer.connections) {
    const bool ok = Healthy(*it, now);
    healthy = healthy || ok;
    healthy_mesh = healthy_mesh || (ok && it->mesh());
    // The end that did not open a link replaces it too when it looks silent:
    // the opener may still hear this node and see nothing wrong.
    mesh = mesh || (it->mesh() && !it->closed() && !ok);
  }
  return mesh ? !healthy_mesh : (!healthy && !peer.waiting.empty());
}

void PeerService::Impl::MaintainPeers(TimePoint now) {
  if (stopping) {
    return;
  }
  for (const auto& it : chosen) {
    if (!peers.contains(it)) {
      // Both ends choose most links; the delay lets one open it.
      const bool waits = identity.node > it;
      peers[it].next_attempt =
          now +
          (waits ? Part(peer_timeout, kFirstBackoffPart) : Duration::zero());
    }
  }
  for (auto& [id, peer] : peers) {
    CloseSurplus(id, peer, now);
    if (peer.opening == nullptr && now >= peer.next_attempt &&
        WantsConnection(id, peer, now)) {
      Open(id, peer, chosen.contains(id) || peer.waiting.empty());
    }
  }
}

void PeerService::Impl::CloseSurplus(const std::string& id,
                                     Peer& peer,
                                     TimePoint now) {
  // Of two healthy links the one opened by the lower id stays, and of one
  // opener's the newest. Only the opener closes, so that the two ends never
  // close both.
  ConnectionPtr kept;
  const auto better = [&](const ConnectionPtr& a, const ConnectionPtr& b) {
    const bool low_opened = identity.node < id;
    const bool a_low = a->opened_here() == low_opened;
    const bool b_low = b->opened_here() == low_opened;
    return a_low != b_low ? a_low
                          : a->authenticated_at() > b->authenticated_at();
  };
  for (const auto& it : peer.connections) {
    if (it->mesh() && Healthy(*it, now) && (!kept || better(it, kept))) {
      kept = it;
    }
  }
  for (const auto& it : peer.connections) {
    if (!it->opened_here() || it->closed() || !Healthy(*it, now)) {
      continue;
    }
    // A little later than the choice, so that a list that changes back and
    // forth does not tear links down.
    const bool unwanted = it->mesh() && !chosen.contains(id) &&
                          now - it->authenticated_at() > 10 * peer_timeout;
    if ((kept && it != kept && it->mesh() && it->drained()) || unwanted) {
      it->Close(CloseCause::kDuplicate);
    }
  }
}

void PeerService::Impl::Open(const std::string& id, Peer& peer, bool mesh) {
  const auto* vm = members.FindNode(id);
  if (vm == nullptr || vm->peer_port == 0) {
    return;
  }
  auto connection = std::make_shared<PeerConnection>(
      io, clock, events.clock(), authenticator, identity, counters, *this);
  peer.opening = connection;
  connections.insert(connection);
  const Address address{vm->address.ip, vm->peer_port};
  boost::fibers::fiber([self = shared_from_this(), connection, id, address,
                        mesh] {
    connection->RunOpened(id, address, mesh);
  }).detach();
}

bool PeerService::Impl::OnAuthenticated(PeerConnection& connection) {
  const auto& id = connection.peer();
  if (stopping || !CheckSender(id, connection.peer_incarnation(), true)) {
    return false;
  }
  const auto now = clock.Now();
  auto& known = members.Known(id);
  known.last_heard = now;
  known.last_direct = now;
  auto& peer = peers[id];
  peer.failures = 0;
  peer.failed_at.reset();
  peer.connections.push_back(connection.shared_from_this());
  if (peer.opening.get() == &connection) {
    peer.opening.reset();
  }
  events.Record(events::kPeerConnected,
                {{"peer", id},
                 {"incarnation", connection.peer_incarnation()},
                 {"opened", connection.opened_here()},
                 {"mesh", connection.mesh()}});
  Push(connection, MakeOutbound(NewEnvelope(Heartbeat{config_version})));
  if (connection.mesh()) {
    auto entries = link_states.Snapshot();
    entries.push_back(OwnReport());
    SendDigest(connection, std::move(entries));
    for (const auto& [endpoint, until] : members.LeavingNotices(now)) {
      Push(connection, MakeOutbound(NewEnvelope(PeerMessage(EndpointNotice{
                           endpoint, EndpointCondition::kLeaving,
                           static_cast<std::uint64_t>(Millis(until - now))}))));
    }
  }
  connection.SendAll(peer.waiting);
  RefreshMembers(now);
  return true;
}

void PeerService::Impl::OnClosed(PeerConnection& connection) {
  const auto self = connection.shared_from_this();
  connections.erase(self);
  RecordClose(connection);
  const auto found = peers.find(connection.peer());
  if (found == peers.end()) {
    return;
  }
  auto& peer = found->second;
  std::erase(peer.connections, self);
  const auto now = clock.Now();
  if (peer.opening == self) {
    peer.opening.reset();
    ++peer.failures;
    peer.failed_at = now;
    peer.waiting = OutboundQueue();
    const int doublings = std::min(peer.failures - 1, 10);
    const auto backoff = std::min<Duration>(
        Part(peer_timeout, kFirstBackoffPart) * (1 << doublings),
        kMaxBackoffTimeouts * peer_timeout);
    peer.next_attempt = now + Part(backoff, 0.5 + RandomUnit());
  }
  if (!stopping) {
    MaintainPeers(now);
    RefreshMembers(now);
  }
}

void PeerService::Impl::RecordClose(const PeerConnection& connection) {
  const auto now = clock.Now();
  const auto cause = connection.cause();
  if (cause == CloseCause::kUnauthenticated) {
    ++counters.handshakes_refused;
    if (const auto n = refused_limit.Pass(now)) {
      events.Record(events::kPeerRefused, {{"remote", connection.remote()},
                                           {"claimed", connection.peer()},
                                           {"cause", connection.detail()},
                                           {"suppressed", *n}});
    }
    return;
  }
  if (cause == CloseCause::kMalformed) {
    ++counters.frames_refused;
    if (const auto n = frame_limit.Pass(now)) {
      events.Record(events::kFrameRefused, {{"peer", connection.peer()},
                                            {"cause", connection.detail()},
                                            {"suppressed", *n}});
    }
  }
  if (connection.authenticated() && cause != CloseCause::kStale) {
    events.Record(events::kPeerDisconnected, {{"peer", connection.peer()},
                                              {"cause", CloseCauseName(cause)},
                                              {"detail", connection.detail()}});
  }
}

// ---- members

std::set<std::string> PeerService::Impl::DirectlyHeard(TimePoint now,
                                                       bool mesh_only) const {
  std::set<std::string> out;
  for (const auto& [id, peer] : peers) {
    const auto* known = members.FindKnown(id);
    if (known == nullptr || known->gone) {
      continue;
    }
    const bool open =
        std::ranges::any_of(peer.connections, [&](const auto& it) {
          return !it->closed() && (it->mesh() || !mesh_only) &&
                 now - it->last_received() <= peer_timeout;
        });
    // While a connection is being replaced, the last sign of life counts.
    const bool between = known->last_direct &&
                         now - *known->last_direct <= peer_timeout &&
                         (chosen.contains(id) || !mesh_only);
    if (open || between) {
      out.insert(id);
    }
  }
  return out;
}

void PeerService::Impl::RefreshMembers(TimePoint now) {
  const auto direct = DirectlyHeard(now, /*mesh_only=*/false);
  const auto reached = link_states.Reachable(direct);
  bool changed = false;
  for (auto& [id, known] : members.known()) {
    const bool reachable =
        reached.contains(id) && !known.gone && !known.incarnation.empty();
    if (reachable) {
      // A chain of links is as good a sign of life as a frame.
      known.last_heard = now;
    }
    if (reachable == known.reachable) {
      continue;
    }
    known.reachable = reachable;
    if (reachable) {
      events.Record(events::kMemberReachable,
                    {{"node", id},
                     {"incarnation", known.incarnation},
                     {"direct", direct.contains(id)}});
    } else {
      events.Record(events::kMemberUnreachable,
                    {{"node", id}, {"incarnation", known.incarnation}});
    }
  }
  std::set<std::string> next;
  for (const auto* it : members.Nodes()) {
    if (IsLive(it->id)) {
      next.insert(it->id);
    }
  }
  changed = next != live;
  live = std::move(next);
  if (changed && !stopping) {
    const auto copy = change_handlers;
    for (const auto& it : copy) {
      it();
    }
  }
}

bool PeerService::Impl::IsLive(const std::string& id) const {
  const auto* vm = members.FindNode(id);
  if (id == identity.node) {
    return !own.leaving && !own.gone && (vm == nullptr || !vm->leaving);
  }
  const auto* known = members.FindKnown(id);
  return vm != nullptr && !vm->leaving && known != nullptr &&
         known->reachable && !known->leaving && !known->gone;
}

bool PeerService::Impl::CheckSender(const std::string& node,
                                    const std::string& incarnation,
                                    bool direct) {
  const auto now = clock.Now();
  const auto* known = members.FindKnown(node);
  const std::string previous = known == nullptr ? "" : known->incarnation;
  const auto check = members.CheckIncarnation(node, incarnation, direct, now);
  if (check == IncarnationCheck::kNew) {
    OnNewIncarnation(node, previous);
  }
  if (check != IncarnationCheck::kStale) {
    return true;
  }
  ++counters.stale_ignored;
  if (const auto n = stale_limit.Pass(now)) {
    events.Record(
        events::kStaleIncarnation,
        {{"node", node},
         {"incarnation", incarnation},
         {"current", node == identity.node ? identity.incarnation : previous},
         {"suppressed", *n}});
  }
  return false;
}

void PeerService::Impl::OnNewIncarnation(const std::string& node,
                                         const std::string& previous) {
  link_states.Erase(node);
  auto& peer = peers[node];
  peer.floods = FloodFilter();
  peer.next_attempt = clock.Now();
  if (previous.empty()) {
    return;
  }
  events.Record(events::kMemberRestarted,
                {{"node", node},
                 {"incarnation", members.Known(node).incarnation},
                 {"previous", previous}});
  const auto old = peer.connections;
  for (const auto& it : old) {
    if (it->peer_incarnation() == previous) {
      it->Close(CloseCause::kStale);
    }
  }
}

// ---- link states

LinkState PeerService::Impl::OwnReport() const {
  LinkState report = own;
  report.full = true;
  return report;
}

void PeerService::Impl::PublishLinks(TimePoint now) {
  if (now - last_published < settings.heartbeat_interval && !own_changed) {
    return;
  }
  const auto links = DirectlyHeard(now, /*mesh_only=*/true);
  LinkState change = own;
  change.added.clear();
  std::ranges::set_difference(links, own.added,
                              std::back_inserter(change.added));
  std::ranges::set_difference(own.added, links,
                              std::back_inserter(change.removed));
  if (change.added.empty() && change.removed.empty() && !own_changed) {
    return;
  }
  last_published = now;
  own_changed = false;
  change.version = ++own.version;
  change.full = change.version == 1;
  own.added.assign(links.begin(), links.end());
  SendDigestToMesh(change, nullptr);
}

void PeerService::Impl::OnDigest(PeerConnection& connection,
                                 const Digest& digest) {
  bool missing = false;
  bool applied = false;
  for (const auto& it : digest.entries) {
    if (it.node == identity.node || it.node.empty() ||
        !CheckSender(it.node, it.incarnation, /*direct=*/false)) {
      continue;
    }
    const auto outcome = link_states.Apply(it);
    missing = missing || outcome == LinkStateOutcome::kMissing;
    if (outcome != LinkStateOutcome::kNew) {
      continue;
    }
    applied = true;
    auto& known = members.Known(it.node);
    if ((it.leaving && !known.leaving) || (it.gone && !known.gone)) {
      events.Record(events::kMemberLeaving,
                    {{"node", it.node}, {"gone", it.gone}});
    }
    known.leaving = it.leaving;
    known.gone = it.gone;
    SendDigestToMesh(it, &connection);
  }
  if (missing) {
    Push(connection, MakeOutbound(NewEnvelope(DigestRequest{})));
  }
  if (applied) {
    RefreshMembers(clock.Now());
  }
}

void PeerService::Impl::SendDigest(PeerConnection& connection,
                                   std::vector<LinkState> entries) {
  for (std::size_t i = 0; i < entries.size(); i += kReportsPerDigest) {
    const auto n = std::min(kReportsPerDigest, entries.size() - i);
    Digest digest;
    for (std::size_t k = 0; k < n; ++k) {
      digest.entries.push_back(std::move(entries[i + k]));
    }
    Push(connection, MakeOutbound(NewEnvelope(std::move(digest))));
  }
}

void PeerService::Impl::SendDigestToMesh(const LinkState& entry,
                                         const PeerConnection* except) {
  SendAll(MakeOutbound(NewEnvelope(Digest{{entry}})), except);
}

// ---- messages

Envelope PeerService::Impl::NewEnvelope(EnvelopeBody body) {
  Envelope envelope;
  envelope.time = events.clock().Now();
  envelope.body = std::move(body);
  return envelope;
}

void PeerService::Impl::Push(PeerConnection& connection,
                             OutboundMessage message) {
  const auto dropped = counters.messages_dropped;
  connection.Send(std::move(message));
  const auto n = counters.messages_dropped - dropped;
  if (n == 0) {
    return;
  }
  if (const auto suppressed = dropped_limit.Pass(clock.Now())) {
    events.Record(events::kMessagesDropped, {{"peer", connection.peer()},
                                             {"messages", n},
                                             {"suppressed", *suppressed}});
  }
}

void PeerService::Impl::SendAll(const OutboundMessage& message,
                                const PeerConnection* except) {
  for (const auto& [id, peer] : peers) {
    if (except != nullptr && id == except->peer()) {
      continue;
    }
    if (const auto connection = Best(peer, /*mesh_only=*/true)) {
      Push(*connection, message);
    }
  }
}

void PeerService::Impl::OnEnvelope(PeerConnection& connection,
                                   const Envelope& envelope,
                                   const std::string& payload) {
  if (stopping) {
    return;
  }
  events.clock().Observe(envelope.time);
  auto& known = members.Known(connection.peer());
  if (known.incarnation != connection.peer_incarnation()) {
    ++counters.stale_ignored;
    connection.Close(CloseCause::kStale);
    return;
  }
  known.last_heard = clock.Now();
  known.last_direct = known.last_heard;
  if (const auto* it = std::get_if<Heartbeat>(&envelope.body)) {
    known.config_version = it->config_version;
  } else if (const auto* digest = std::get_if<Digest>(&envelope.body)) {
    OnDigest(connection, *digest);
  } else if (std::holds_alternative<DigestRequest>(envelope.body)) {
    auto entries = link_states.Snapshot();
    entries.push_back(OwnReport());
    SendDigest(connection, std::move(entries));
  } else if (std::holds_alternative<PeerMessage>(envelope.body)) {
    OnPeerMessage(connection, envelope, payload);
  } else if (!std::holds_alternative<std::monostate>(envelope.body)) {
    connection.Close(CloseCause::kMalformed, "handshake message repeated");
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
  if (origin == identity.node && envelope.incarnation == identity.incarnation) {
    ++counters.repeats_ignored;
    return;
  }
  if (!CheckSender(origin, envelope.incarnation, /*direct=*/false)) {
    return;
  }
  if (!peers[origin].floods.Accept(envelope.flood_number)) {
    ++counters.repeats_ignored;
    return;
  }
  Forward(connection, origin, envelope, payload);
  Deliver(origin + "/" + envelope.incarnation, message);
}

void PeerService::Impl::Forward(const PeerConnection& from,
                                const std::string& origin,
                                const Envelope& envelope,
                                const std::string& payload) {
  const OutboundMessage message = MakeForwarded(envelope, payload);
  for (const auto& [id, peer] : peers) {
    if (id == from.peer() || id == origin ||
        (payload.size() > kLargeFloodBytes && link_states.Linked(origin, id))) {
      continue;
    }
    if (const auto connection = Best(peer, /*mesh_only=*/true)) {
      Push(*connection, message);
    }
  }
}

void PeerService::Impl::Deliver(const std::string& from,
                                const PeerMessage& message) {
  if (const auto* it = std::get_if<EndpointNotice>(&message)) {
    if (it->condition == EndpointCondition::kLeaving) {
      const auto longest = static_cast<std::uint64_t>(Millis(kMaxNoticeValid));
      NoteLeaving(it->endpoint,
                  std::chrono::milliseconds(std::min(it->valid_ms, longest)),
                  from);
    }
  }
  const auto copy = handlers;
  for (const auto& handler : copy) {
    handler(from, message);
  }
}

void PeerService::Impl::Broadcast(const PeerMessage& message) {
  Envelope envelope = NewEnvelope(message);
  envelope.sender = identity.node;
  envelope.incarnation = identity.incarnation;
  envelope.flood_number = ++flood_number;
  SendAll(MakeOutbound(envelope), nullptr);
}

bool PeerService::Impl::Send(const std::string& id,
                             const PeerMessage& message) {
  if (stopping || id == identity.node) {
    return false;
  }
  const auto* known = members.FindKnown(id);
  if (known == nullptr || !known->reachable) {
    return false;
  }
  auto& peer = peers[id];
  const auto now = clock.Now();
  Envelope envelope = NewEnvelope(message);
  if (const auto connection = Best(peer, /*mesh_only=*/false)) {
    Push(*connection, MakeOutbound(envelope));
    return true;
  }
  // The node lives, but no direct path to it works at the moment.
  if (peer.failed_at && now - *peer.failed_at < peer_timeout) {
    return false;
  }
  if (members.FindNode(id) == nullptr) {
    return false;
  }
  counters.messages_dropped += peer.waiting.Push(MakeOutbound(envelope));
  if (peer.opening == nullptr) {
    Open(id, peer, chosen.contains(id));
  }
  return true;
}

void PeerService::Impl::NoteLeaving(const std::string& endpoint,
                                    Duration valid,
                                    const std::string& source) {
  const auto now = clock.Now();
  if (members.NoteLeaving(endpoint, now + valid, now)) {
    events.Record(events::kEndpointLeaving,
                  {{"endpoint", endpoint}, {"source", source}});
  }
}

nlohmann::json PeerService::Impl::Status() const {
  const auto now = clock.Now();
  auto nodes = nlohmann::json::array();
  for (const auto* it : members.Nodes()) {
    const auto* known = members.FindKnown(it->id);
    const bool self = it->id == identity.node;
    nodes.push_back(
        {{"id", it->id},
         {"incarnation", self    ? identity.incarnation
                         : known ? known->incarnation
                                 : ""},
         {"reachable", self || (known != nullptr && known->reachable)},
         {"leaving", it->leaving || (self && own.leaving) ||
                         (known != nullptr && known->leaving)},
         {"gone", known != nullptr && known->gone},
         {"config_version", self    ? config_version
                            : known ? known->config_version
                                    : 0}});
  }
  auto links = nlohmann::json::array();
  for (const auto& it : connections) {
    links.push_back({{"peer", it->peer()},
                     {"remote", it->remote()},
                     {"authenticated", it->authenticated()},
                     {"opened", it->opened_here()},
                     {"mesh", it->mesh()},
                     {"silent_ms", Millis(now - it->last_received())},
                     {"queued_messages", it->queue().size()},
                     {"queued_bytes", it->queue().bytes()}});
  }
  const auto& c = counters;
  return {{"self", identity.full},
          {"nodes", std::move(nodes)},
          {"links", std::move(links)},
          {"vm_list",
           {{"known", members.has_list()},
            {"failing", list_failed_since.has_value()},
            {"age_ms",
             members.has_list() ? Millis(now - members.last_list()) : 0}}},
          {"counters",
           {{"bytes_sent", c.bytes_sent},
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
            {"silent_connections", c.silent_connections}}}};
}

void PeerService::Impl::Stop() {
  if (stopped) {
    return;
  }
  stopped = true;
  if (started) {
    own.leaving = true;
    own.gone = true;
    LinkState report = own;
    report.version = ++own.version;
    report.full = true;
    SendDigestToMesh(report, nullptr);
  }
  stopping = true;
  boost::system::error_code ec;
  acceptor.close(ec);
  const auto drained = [&] {
    return std::ranges::all_of(connections, [](const auto& it) {
      return it->closed() || !it->authenticated() || it->drained();
    });
  };
  for (int i = 0; i < kStopDrainSteps && !drained(); ++i) {
    boost::this_fiber::sleep_for(kStopStep);
  }
  const std::vector<ConnectionPtr> all(connections.begin(), connections.end());
  for (const auto& it : all) {
    it->Close(CloseCause::kStopped);
  }
  // The fibers use objects that belong to the caller.
  while (!connections.empty() || reading_list || accepting) {
    boost::this_fiber::sleep_for(kStopStep);
  }
  handlers.clear();
  change_handlers.clear();
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
  impl_->last_tick = impl_->clock.Now();
  boost::fibers::fiber([impl = impl_] { impl->AcceptLoop(); }).detach();
  boost::fibers::fiber([impl = impl_] { impl->ListLoop(); }).detach();
  boost::fibers::fiber([impl = impl_] { impl->TickLoop(); }).detach();
  return address;
}

void PeerService::AnnounceLeaving() {
  if (!impl_->own.leaving) {
    impl_->own.leaving = true;
    impl_->own_changed = true;
    impl_->PublishLinks(impl_->clock.Now());
    impl_->RefreshMembers(impl_->clock.Now());
  }
}

void PeerService::Stop() {
  impl_->Stop();
}

nlohmann::json PeerService::Status() const {
  return impl_->Status();
}

const PeerCounters& PeerService::counters() const {
  return impl_->counters;
}

const std::string& PeerService::self() const {
  return impl_->identity.full;
}

const std::string& PeerService::node_id() const {
  return impl_->identity.node;
}

std::vector<Member> PeerService::Members() const {
  std::vector<Member> out;
  for (const auto* it : impl_->members.Nodes()) {
    const auto* known = impl_->members.FindKnown(it->id);
    if (it->id == impl_->identity.node) {
      out.push_back({*it, impl_->identity.incarnation, true,
                     it->leaving || impl_->own.leaving, impl_->config_version});
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
  std::set<std::string> out = impl_->live;
  if (impl_->IsLive(impl_->identity.node)) {
    out.insert(impl_->identity.node);
  }
  return {out.begin(), out.end()};
}

bool PeerService::MayStillRun(std::string_view node_incarnation) const {
  return impl_->members.MayStillRun(node_incarnation, impl_->clock.Now());
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
  impl_->SendAll(MakeOutbound(impl_->NewEnvelope(Heartbeat{version})), nullptr);
}

std::vector<Vm> PeerService::Vms() const {
  return impl_->members.Vms(impl_->clock.Now());
}

void PeerService::ReportLeaving(const std::string& endpoint) {
  impl_->NoteLeaving(endpoint, kLeavingNoticeValid, impl_->identity.full);
  impl_->Broadcast(
      EndpointNotice{endpoint, EndpointCondition::kLeaving,
                     static_cast<std::uint64_t>(Millis(kLeavingNoticeValid))});
}

}  // namespace tanagerloom
