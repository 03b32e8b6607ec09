#include "membership/link_set.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>

#include "base/event_log.h"
#include "base/events.h"
#include "base/id.h"
#include "membership/link_choice.h"

namespace tanagerloom {

namespace asio = boost::asio;

namespace {

// A mesh link sends a keep-alive after this part of the peer timeout without
// other traffic, so that two may be late before the link looks silent.
constexpr double kKeepAlivePart = 0.3;
// Longest interval, whatever the heartbeat interval is: a link must not look
// silent between two keep-alives.
constexpr double kLongestKeepAlivePart = 0.45;
// Keep-alives due within this part are sent now, because the next check is
// that much later.
constexpr double kKeepAliveMargin = 0.025;
// A link without a frame for this part of the peer timeout gets a second
// connection, so that a new one is ready when the old one is given up.
constexpr double kSuspectPart = 0.6;
// Retries of a failed connection start at this part of the peer timeout and
// double up to kLongestBackoff timeouts, which bounds the time until the halves
// of a healed partition find each other.
constexpr double kFirstBackoffPart = 0.1;
constexpr double kLongestBackoff = 5.0;
constexpr int kMaxDoublings = 10;
// Failed attempts after which the next node in rank stands in; the first may
// come from a restart.
constexpr int kFailuresToStandIn = 2;
// Links that lost their place in the choice stay for this many timeouts, so
// that a list that changes back and forth does not tear links down.
constexpr double kUnwantedTimeouts = 10.0;
// A connection that was opened on demand ends after this time without a
// message: longer than the gap between bursts of demand for one cell.
constexpr auto kIdleTimeout = std::chrono::seconds(30);
// Connections that may be in the handshake at once; bounds what a client
// without a key can make this node hold.
constexpr std::size_t kMaxHandshakes = 256;

}  // namespace

LinkSet::LinkSet(PeerContext& context, LinkOwner& owner)
    : context_(context), owner_(owner) {}

LinkSet::ConnectionPtr LinkSet::NewConnection() {
  auto connection = std::make_shared<PeerConnection>(context_, *this);
  connections_.insert(connection);
  return connection;
}

void LinkSet::Accept(asio::ip::tcp::socket socket) {
  const auto handshakes = std::ranges::count_if(
      connections_, [](const auto& it) { return !it->authenticated(); });
  if (static_cast<std::size_t>(handshakes) >= kMaxHandshakes) {
    ++context_.counters.handshakes_refused;
    return;
  }
  boost::fibers::fiber([connection = NewConnection(),
                        moved = std::move(socket)]() mutable {
    connection->RunAccepted(std::move(moved));
  }).detach();
}

void LinkSet::Open(const std::string& id, Peer& peer, bool mesh) {
  const auto* vm = context_.members.FindNode(id);
  if (vm == nullptr || vm->peer_port == 0) {
    return;
  }
  peer.opening = NewConnection();
  const Address address{vm->address.ip, vm->peer_port};
  boost::fibers::fiber([connection = peer.opening, id, address, mesh] {
    connection->RunOpened(id, address, mesh);
  }).detach();
}

// ---- checks by time

void LinkSet::Tick(TimePoint now) {
  CheckTimeouts(now);
  Maintain(now);
  SendKeepAlives(now);
}

void LinkSet::CheckTimeouts(TimePoint now) {
  // Closing only wakes the fibers of a connection, which leave the set later.
  for (const auto& it : connections_) {
    if (it->closed()) {
      continue;
    }
    if (!it->authenticated()) {
      if (now - it->created() > context_.peer_timeout) {
        it->Close(CloseCause::kSilent, "handshake not finished in time");
      }
      continue;
    }
    CheckSilence(*it, now);
    if (it->opened_here() && !it->mesh() &&
        now - it->last_used() > kIdleTimeout) {
      it->Close(CloseCause::kIdle);
    }
  }
  for (auto& [id, peer] : peers_) {
    const bool stable = std::ranges::any_of(peer.connections, [&](auto& it) {
      return now - it->authenticated_at() > context_.peer_timeout;
    });
    if (stable) {
      peer.failures = 0;
    }
  }
}

void LinkSet::CheckSilence(PeerConnection& connection, TimePoint now) {
  // Only mesh links carry regular keep-alives. A connection opened on demand
  // is silent if a message on it was followed by nothing.
  auto since = connection.mesh() ? connection.last_received()
                                 : connection.unanswered_since().value_or(now);
  if (connection.write_blocked_since()) {
    since = std::min(since, *connection.write_blocked_since());
  }
  if (now - since <= context_.peer_timeout) {
    return;
  }
  ++context_.counters.silent_connections;
  context_.events.Record(
      events::kPeerSilent,
      {{"peer", connection.peer()}, {"silent_ms", ToMillis(now - since)}});
  connection.Close(CloseCause::kSilent);
}

bool LinkSet::Healthy(const PeerConnection& connection, TimePoint now) const {
  if (connection.closed() || !connection.authenticated()) {
    return false;
  }
  const auto since = connection.mesh()
                         ? connection.last_received()
                         : connection.unanswered_since().value_or(now);
  return now - since <= context_.PartOfTimeout(kSuspectPart);
}

bool LinkSet::AnyHealthy(const Peer& peer,
                         bool mesh_only,
                         TimePoint now) const {
  return std::ranges::any_of(peer.connections, [&](const auto& it) {
    return (it->mesh() || !mesh_only) && Healthy(*it, now);
  });
}

// Control traffic of a node at idle with the default settings and 8 links: a
// mesh link sends a keep-alive every 0.3 s (kKeepAlivePart of the peer timeout
// of 1 s, and never more often than the heartbeat interval) of 28 to 36 bytes
// with its length field. 8 links / 0.3 s * 36 B = 960 B/s sent, and as much
// received: 1.9 KB/s of the 3 KB/s. At the two-year size 1,440 restarts a day
// of nodes with 8 links make 2 * 8 * 1440 / 86,400 s = 0.27 link changes a
// second, each flooded once over each of 8 links in a report of about 150
// bytes: 0.27 * 8 * 150 B = 320 B/s each way. Sum: 2.6 KB/s in both directions.
void LinkSet::SendKeepAlives(TimePoint now) {
  const auto interval =
      std::min(std::max<Duration>(context_.settings.heartbeat_interval,
                                  context_.PartOfTimeout(kKeepAlivePart)),
               context_.PartOfTimeout(kLongestKeepAlivePart)) -
      context_.PartOfTimeout(kKeepAliveMargin);
  std::optional<OutboundMessage> message;
  for (const auto& it : connections_) {
    if (it->closed() || !it->authenticated()) {
      continue;
    }
    const bool due =
        it->mesh() ? now - it->last_sent() >= interval : it->owes_reply();
    if (due && it->queue().empty()) {
      if (!message) {
        message = MakeOutbound(context_.NewEnvelope(std::monostate()));
      }
      it->Send(*message);
    }
  }
}

// ---- choice of links

void LinkSet::Choose() {
  std::vector<LinkCandidate> all;
  std::vector<LinkCandidate> answering;
  for (const auto* it : context_.members.Nodes()) {
    const auto* known = context_.members.FindKnown(it->id);
    if (it->id == context_.identity.node || (known != nullptr && known->gone)) {
      continue;
    }
    const LinkCandidate candidate{
        it->id, it->data_centre == context_.settings.data_centre};
    all.push_back(candidate);
    const auto peer = peers_.find(it->id);
    const bool failing = peer != peers_.end() &&
                         peer->second.failures >= kFailuresToStandIn &&
                         (known == nullptr || !known->reachable);
    if (!failing) {
      answering.push_back(candidate);
    }
  }
  // The next in rank stands in for a node that does not answer, which is tried
  // all the same: after a partition the two sides must find each other again.
  const auto links = context_.settings.peer_links;
  chosen_ = ChooseLinks(context_.identity.node, answering, links);
  chosen_.merge(ChooseLinks(context_.identity.node, all, links));
}

bool LinkSet::WantsMesh(const std::string& id,
                        const Peer& peer,
                        TimePoint now) const {
  // The end that did not choose or open a link replaces it too when it looks
  // silent: the other end may still hear this node and see nothing wrong.
  const bool wanted = chosen_.contains(id) ||
                      std::ranges::any_of(peer.connections, [](const auto& it) {
                        return it->mesh() && !it->closed();
                      });
  return wanted && !AnyHealthy(peer, /*mesh_only=*/true, now);
}

void LinkSet::Maintain(TimePoint now) {
  if (context_.stopping) {
    return;
  }
  for (const auto& it : chosen_) {
    if (!peers_.contains(it)) {
      // Both ends choose most links; the delay lets one of them open it.
      const bool waits = context_.identity.node > it;
      peers_[it].next_attempt =
          now + context_.PartOfTimeout(waits ? kFirstBackoffPart : 0.0);
    }
  }
  for (auto& [id, peer] : peers_) {
    CloseSurplus(id, peer, now);
    if (peer.opening != nullptr || now < peer.next_attempt) {
      continue;
    }
    const bool mesh = WantsMesh(id, peer, now);
    if (mesh || (!peer.waiting.empty() &&
                 !AnyHealthy(peer, /*mesh_only=*/false, now))) {
      Open(id, peer, mesh);
    }
  }
}

void LinkSet::CloseSurplus(const std::string& id, Peer& peer, TimePoint now) {
  // Of two healthy links the one opened by the lower id stays, and of one
  // opener's the newest. Only the opener closes, so that the two ends never
  // close both.
  const bool low = context_.identity.node < id;
  const auto better = [&](const ConnectionPtr& a, const ConnectionPtr& b) {
    const bool a_low = a->opened_here() == low;
    const bool b_low = b->opened_here() == low;
    return a_low != b_low ? a_low
                          : a->authenticated_at() > b->authenticated_at();
  };
  ConnectionPtr kept;
  for (const auto& it : peer.connections) {
    if (it->mesh() && Healthy(*it, now) && (!kept || better(it, kept))) {
      kept = it;
    }
  }
  for (const auto& it : peer.connections) {
    if (!it->mesh() || !it->opened_here() || !Healthy(*it, now) ||
        !it->Drained()) {
      continue;
    }
    const bool unwanted =
        !chosen_.contains(id) && now - it->authenticated_at() >
                                     context_.PartOfTimeout(kUnwantedTimeouts);
    if (it != kept || unwanted) {
      it->Close(CloseCause::kDuplicate);
    }
  }
}

// ---- connections that come and go

bool LinkSet::OnAuthenticated(PeerConnection& connection) {
  const auto& id = connection.peer();
  if (context_.stopping ||
      !owner_.AcceptIdentity(id, connection.peer_incarnation())) {
    return false;
  }
  auto& known = context_.members.Known(id);
  known.last_direct = context_.clock.Now();
  auto& peer = peers_[id];
  peer.failed_at.reset();
  peer.connections.push_back(connection.shared_from_this());
  if (peer.opening.get() == &connection) {
    peer.opening.reset();
  }
  context_.events.Record(events::kPeerConnected,
                         {{"peer", id},
                          {"incarnation", connection.peer_incarnation()},
                          {"opened", connection.opened_here()},
                          {"mesh", connection.mesh()}});
  owner_.OnLinkReady(connection);
  connection.SendAll(peer.waiting);
  owner_.OnLinksChanged();
  return true;
}

void LinkSet::OnEnvelope(PeerConnection& connection,
                         const Envelope& envelope,
                         const std::string& payload) {
  if (context_.stopping) {
    return;
  }
  auto& known = context_.members.Known(connection.peer());
  if (known.incarnation != connection.peer_incarnation()) {
    ++context_.counters.stale_ignored;
    connection.Close(CloseCause::kStale);
    return;
  }
  known.last_direct = context_.clock.Now();
  context_.events.clock().Observe(envelope.time);
  owner_.OnEnvelope(connection, envelope, payload);
}

void LinkSet::NoteFailure(Peer& peer, TimePoint now) {
  ++peer.failures;
  peer.failed_at = now;
  if (peer.failures == kFailuresToStandIn) {
    Choose();
  }
  const int doublings = std::min(peer.failures - 1, kMaxDoublings);
  const double part =
      std::min(kFirstBackoffPart * (1 << doublings), kLongestBackoff);
  peer.next_attempt = now + context_.PartOfTimeout(part * (0.5 + RandomUnit()));
}

void LinkSet::OnClosed(PeerConnection& connection) {
  const auto self = connection.shared_from_this();
  const auto now = context_.clock.Now();
  connections_.erase(self);
  RecordClose(connection);
  const auto found = peers_.find(connection.peer());
  if (found == peers_.end()) {
    return;
  }
  auto& peer = found->second;
  const bool was_link = std::erase(peer.connections, self) > 0;
  if (peer.opening == self) {
    peer.opening.reset();
    peer.waiting = OutboundQueue();
    NoteFailure(peer, now);
  } else if (was_link && connection.opened_here() &&
             connection.cause() == CloseCause::kClosedByPeer &&
             now - connection.authenticated_at() < context_.peer_timeout) {
    // The other end refuses this node, perhaps as a replaced incarnation.
    NoteFailure(peer, now);
  } else if (!was_link) {
    return;
  }
  if (!context_.stopping) {
    Maintain(now);
    owner_.OnLinksChanged();
  }
}

void LinkSet::RecordClose(const PeerConnection& connection) {
  const auto now = context_.clock.Now();
  const auto cause = connection.cause();
  if (cause == CloseCause::kUnauthenticated) {
    ++context_.counters.handshakes_refused;
    if (const auto n = refused_limit_.Pass(now)) {
      context_.events.Record(events::kPeerRefused,
                             {{"remote", connection.remote()},
                              {"claimed", connection.peer()},
                              {"cause", connection.detail()},
                              {"suppressed", *n}});
    }
    return;
  }
  if (cause == CloseCause::kMalformed) {
    ++context_.counters.frames_refused;
    if (const auto n = frame_limit_.Pass(now)) {
      context_.events.Record(events::kFrameRefused,
                             {{"peer", connection.peer()},
                              {"cause", connection.detail()},
                              {"suppressed", *n}});
    }
  }
  if (connection.authenticated() && cause != CloseCause::kStale) {
    context_.events.Record(events::kPeerDisconnected,
                           {{"peer", connection.peer()},
                            {"cause", CloseCauseName(cause)},
                            {"detail", connection.detail()}});
  }
}

void LinkSet::OnNewIncarnation(const std::string& node,
                               const std::string& previous) {
  auto& peer = peers_[node];
  peer.failures = 0;
  peer.next_attempt = context_.clock.Now();
  for (const auto& it : peer.connections) {
    if (!previous.empty() && it->peer_incarnation() == previous) {
      it->Close(CloseCause::kStale);
    }
  }
}

void LinkSet::Forget(const std::string& node) {
  const auto it = peers_.find(node);
  if (it != peers_.end() && it->second.connections.empty() &&
      it->second.opening == nullptr) {
    peers_.erase(it);
  }
}

void LinkSet::ForgivePause(Duration gap) {
  for (const auto& it : connections_) {
    it->ForgivePause(gap);
  }
}

bool LinkSet::Drained() const {
  return std::ranges::all_of(connections_, [](const auto& it) {
    return it->closed() || !it->authenticated() || it->Drained();
  });
}

void LinkSet::CloseAll() {
  for (const auto& it : connections_) {
    it->Close(CloseCause::kStopped);
  }
}

// ---- sending

std::set<std::string> LinkSet::Heard(TimePoint now, bool mesh_only) const {
  std::set<std::string> out;
  for (const auto& [id, peer] : peers_) {
    const auto* known = context_.members.FindKnown(id);
    const bool in_time = known != nullptr && !known->gone &&
                         known->last_direct &&
                         now - *known->last_direct <= context_.peer_timeout;
    const bool connected =
        std::ranges::any_of(peer.connections, [&](const auto& it) {
          return !it->closed() && (it->mesh() || !mesh_only);
        });
    // While a connection is being replaced the last sign of life counts. A
    // connection opened on demand has no regular traffic: while it is open and
    // owes nothing, it counts as a sign of life only as long as frames come.
    if (in_time && (connected || chosen_.contains(id) || !mesh_only)) {
      out.insert(id);
    }
  }
  return out;
}

LinkSet::ConnectionPtr LinkSet::Newest(const Peer& peer, bool mesh_only) const {
  // An older connection may have gone silent in the direction that this node
  // cannot see.
  ConnectionPtr best;
  for (const auto& it : peer.connections) {
    if (!it->closed() && (it->mesh() || !mesh_only) &&
        (!best || it->authenticated_at() >= best->authenticated_at())) {
      best = it;
    }
  }
  return best;
}

void LinkSet::Push(PeerConnection& connection, OutboundMessage message) {
  const auto before = context_.counters.messages_dropped;
  connection.Send(std::move(message));
  const auto n = context_.counters.messages_dropped - before;
  if (n == 0) {
    return;
  }
  if (const auto suppressed = dropped_limit_.Pass(context_.clock.Now())) {
    context_.events.Record(events::kMessagesDropped,
                           {{"peer", connection.peer()},
                            {"messages", n},
                            {"suppressed", *suppressed}});
  }
}

void LinkSet::SendToMesh(const OutboundMessage& message,
                         const std::function<bool(const std::string&)>& skip) {
  for (const auto& [id, peer] : peers_) {
    const auto connection = Newest(peer, /*mesh_only=*/true);
    if (connection != nullptr && !skip(id)) {
      Push(*connection, message);
    }
  }
}

bool LinkSet::SendTo(const std::string& node, OutboundMessage message) {
  const auto now = context_.clock.Now();
  auto& peer = peers_[node];
  const auto connection = Newest(peer, /*mesh_only=*/false);
  if (connection != nullptr && Healthy(*connection, now)) {
    Push(*connection, std::move(message));
    return true;
  }
  if (context_.members.FindNode(node) == nullptr) {
    return false;
  }
  // If the last attempt failed, the node lives but no direct path to it works;
  // the caller learns that at once, and a new attempt is made for later calls.
  const bool failed = peer.failed_at.has_value();
  if (!failed) {
    context_.counters.messages_dropped += peer.waiting.Push(std::move(message));
  }
  if (peer.opening == nullptr && now >= peer.next_attempt) {
    Open(node, peer, chosen_.contains(node));
  }
  return !failed;
}

nlohmann::json LinkSet::Status(TimePoint now) const {
  auto links = nlohmann::json::array();
  for (const auto& it : connections_) {
    links.push_back({{"peer", it->peer()},
                     {"remote", it->remote()},
                     {"authenticated", it->authenticated()},
                     {"opened", it->opened_here()},
                     {"mesh", it->mesh()},
                     {"silent_ms", ToMillis(now - it->last_received())},
                     {"queued_messages", it->queue().size()},
                     {"queued_bytes", it->queue().bytes()}});
  }
  return links;
}

}  // namespace tanagerloom
