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

// A mesh link without other traffic sends a keep-alive after this fraction of
// the peer timeout, so that two may be late before the link looks silent.
constexpr double kKeepAliveFraction = 0.3;
// Maximum keep-alive interval as a fraction of the peer timeout, whatever the
// heartbeat interval is: a link must not look silent between two keep-alives.
constexpr double kMaxKeepAliveFraction = 0.45;
// Keep-alives that are due within this fraction of the peer timeout are sent
// now, because the next check may come that much later.
constexpr double kKeepAliveMarginFraction = 0.025;
// If no frame arrives on a link for this fraction of the peer timeout, a second
// connection is opened, so that it is ready when the first one is closed.
constexpr double kSuspectFraction = 0.6;
// The backoff after a failed connection starts at this fraction of the peer
// timeout and doubles up to kMaxBackoffTimeouts timeouts. The maximum bounds
// the time until the two sides of a healed partition connect again.
constexpr double kInitialBackoffFraction = 0.1;
constexpr double kMaxBackoffTimeouts = 5.0;
constexpr int kMaxBackoffDoublings = 10;
// Number of failed attempts to connect to a node after which the next node in
// rank substitutes for it. One failure may be due to a restart.
constexpr int kFailuresBeforeSubstitute = 2;
// Links that are no longer chosen stay open for this many peer timeouts, so
// that a VM list that changes back and forth does not close them.
constexpr double kUnchosenLinkTimeouts = 10.0;
// A connection that was opened on demand is closed after this time without a
// message. It is longer than the gap between bursts of demand for one cell.
constexpr auto kIdleTimeout = std::chrono::seconds(30);
// Maximum number of unfinished handshakes, which bounds the resources that a
// client without a key can make this node use.
constexpr std::size_t kMaxHandshakes = 256;

}  // namespace

LinkSet::LinkSet(PeerContext& context, LinkSetDelegate& delegate)
    : context_(context), delegate_(delegate) {}

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

// ---- periodic checks

void LinkSet::Tick(TimePoint now) {
  CheckTimeouts(now);
  MaintainLinks(now);
  SendKeepAlives(now);
}

void LinkSet::CheckTimeouts(TimePoint now) {
  // Close only wakes the fibers of a connection. It is removed from the set
  // after they have ended.
  for (const auto& it : connections_) {
    if (it->closed()) {
      continue;
    }
    if (!it->authenticated()) {
      if (now - it->created_at() > context_.peer_timeout) {
        it->Close(CloseCause::kSilent, "handshake timed out");
      }
      continue;
    }
    CheckSilence(*it, now);
    if (it->opened_locally() && !it->mesh() &&
        now - it->last_used_at() > kIdleTimeout) {
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
  // Only mesh links carry regular keep-alives. A connection opened on demand is
  // silent if no frame has followed a message sent on it.
  auto since = connection.mesh() ? connection.last_received_at()
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

bool LinkSet::IsHealthy(const PeerConnection& connection, TimePoint now) const {
  if (connection.closed() || !connection.authenticated()) {
    return false;
  }
  const auto since = connection.mesh()
                         ? connection.last_received_at()
                         : connection.unanswered_since().value_or(now);
  return now - since <= context_.FractionOfTimeout(kSuspectFraction);
}

bool LinkSet::HasHealthyConnection(const Peer& peer,
                                   bool mesh_only,
                                   TimePoint now) const {
  return std::ranges::any_of(peer.connections, [&](const auto& it) {
    return (it->mesh() || !mesh_only) && IsHealthy(*it, now);
  });
}

// Control traffic of an idle node with the default settings and 8 links: a mesh
// link sends a keep-alive of 28 to 36 bytes, frame header included, every 0.3 s
// (kKeepAliveFraction of the peer timeout of 1 s, and at most once per
// heartbeat interval). 8 links / 0.3 s * 36 B = 960 B/s are sent and as much
// received: 1.9 KB/s of the limit of 3 KB/s. At the size expected in two years,
// 1,440 restarts a day of nodes with 8 links cause 2 * 8 * 1440 / 86,400 s =
// 0.27 link changes a second. Each is flooded once over each of 8 links in a
// report of about 150 bytes: 0.27 * 8 * 150 B = 320 B/s in each direction. The
// total of both directions is 2.6 KB/s.
void LinkSet::SendKeepAlives(TimePoint now) {
  const auto interval =
      std::min(
          std::max<Duration>(context_.settings.heartbeat_interval,
                             context_.FractionOfTimeout(kKeepAliveFraction)),
          context_.FractionOfTimeout(kMaxKeepAliveFraction)) -
      context_.FractionOfTimeout(kKeepAliveMarginFraction);
  std::optional<OutboundMessage> message;
  for (const auto& it : connections_) {
    if (it->closed() || !it->authenticated()) {
      continue;
    }
    const bool due =
        it->mesh() ? now - it->last_sent_at() >= interval : it->needs_reply();
    if (due && it->queue().empty()) {
      if (!message) {
        message = MakeOutbound(context_.NewEnvelope(std::monostate()));
      }
      it->Send(*message);
    }
  }
}

// ---- choice of links

void LinkSet::ChooseMeshLinks() {
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
                         peer->second.failures >= kFailuresBeforeSubstitute &&
                         (known == nullptr || !known->reachable);
    if (!failing) {
      answering.push_back(candidate);
    }
  }
  // The next node in rank substitutes for a node that does not answer. Attempts
  // to connect to that node continue, so that the two sides of a partition
  // connect again after it.
  const auto links = context_.settings.peer_links;
  chosen_ = ChooseLinks(context_.identity.node, answering, links);
  chosen_.merge(ChooseLinks(context_.identity.node, all, links));
}

bool LinkSet::NeedsMeshLink(const std::string& id,
                            const Peer& peer,
                            TimePoint now) const {
  // An end that neither chose nor opened a link replaces it as well when it
  // looks silent: the other end may still hear this node and notice no fault.
  const bool wanted = chosen_.contains(id) ||
                      std::ranges::any_of(peer.connections, [](const auto& it) {
                        return it->mesh() && !it->closed();
                      });
  return wanted && !HasHealthyConnection(peer, /*mesh_only=*/true, now);
}

void LinkSet::MaintainLinks(TimePoint now) {
  if (context_.stopping) {
    return;
  }
  for (const auto& it : chosen_) {
    if (!peers_.contains(it)) {
      // Both ends choose most links. The delay lets one of them open it first.
      const bool waits = context_.identity.node > it;
      peers_[it].next_attempt_at =
          now +
          context_.FractionOfTimeout(waits ? kInitialBackoffFraction : 0.0);
    }
  }
  for (auto& [id, peer] : peers_) {
    CloseSurplusConnections(id, peer, now);
    if (peer.opening != nullptr || now < peer.next_attempt_at) {
      continue;
    }
    const bool mesh = NeedsMeshLink(id, peer, now);
    if (mesh || (!peer.pending.empty() &&
                 !HasHealthyConnection(peer, /*mesh_only=*/false, now))) {
      Open(id, peer, mesh);
    }
  }
}

void LinkSet::CloseSurplusConnections(const std::string& id,
                                      Peer& peer,
                                      TimePoint now) {
  // Of several healthy links, one opened by the node with the lower id is kept,
  // and of those the newest. Only the opener closes a link, so that the two
  // ends never close both.
  const bool low = context_.identity.node < id;
  const auto better = [&](const ConnectionPtr& a, const ConnectionPtr& b) {
    const bool a_low = a->opened_locally() == low;
    const bool b_low = b->opened_locally() == low;
    return a_low != b_low ? a_low
                          : a->authenticated_at() > b->authenticated_at();
  };
  ConnectionPtr kept;
  for (const auto& it : peer.connections) {
    if (it->mesh() && IsHealthy(*it, now) && (!kept || better(it, kept))) {
      kept = it;
    }
  }
  for (const auto& it : peer.connections) {
    if (!it->mesh() || !it->opened_locally() || !IsHealthy(*it, now) ||
        !it->IsDrained()) {
      continue;
    }
    const bool unwanted = !chosen_.contains(id) &&
                          now - it->authenticated_at() >
                              context_.FractionOfTimeout(kUnchosenLinkTimeouts);
    if (it != kept || unwanted) {
      it->Close(CloseCause::kDuplicate);
    }
  }
}

// ---- events of connections

bool LinkSet::OnAuthenticated(PeerConnection& connection) {
  const auto& id = connection.peer();
  if (context_.stopping ||
      !delegate_.AcceptIdentity(id, connection.peer_incarnation())) {
    return false;
  }
  auto& known = context_.members.FindOrAddKnown(id);
  known.last_direct_at = context_.clock.Now();
  auto& peer = peers_[id];
  peer.failed_at.reset();
  peer.connections.push_back(connection.shared_from_this());
  if (peer.opening.get() == &connection) {
    peer.opening.reset();
  }
  context_.events.Record(events::kPeerConnected,
                         {{"peer", id},
                          {"incarnation", connection.peer_incarnation()},
                          {"opened", connection.opened_locally()},
                          {"mesh", connection.mesh()}});
  delegate_.OnLinkReady(connection);
  connection.SendAll(peer.pending);
  delegate_.OnLinksChanged();
  return true;
}

void LinkSet::OnEnvelope(PeerConnection& connection,
                         const Envelope& envelope,
                         const std::string& payload) {
  if (context_.stopping) {
    return;
  }
  auto& known = context_.members.FindOrAddKnown(connection.peer());
  if (known.incarnation != connection.peer_incarnation()) {
    ++context_.counters.stale_ignored;
    connection.Close(CloseCause::kStale);
    return;
  }
  known.last_direct_at = context_.clock.Now();
  context_.events.clock().Observe(envelope.time);
  delegate_.OnEnvelope(connection, envelope, payload);
}

void LinkSet::RecordConnectFailure(Peer& peer, TimePoint now) {
  ++peer.failures;
  peer.failed_at = now;
  if (peer.failures == kFailuresBeforeSubstitute) {
    ChooseMeshLinks();
  }
  const int doublings = std::min(peer.failures - 1, kMaxBackoffDoublings);
  const double timeouts =
      std::min(kInitialBackoffFraction * (1 << doublings), kMaxBackoffTimeouts);
  peer.next_attempt_at =
      now + context_.FractionOfTimeout(timeouts * (0.5 + RandomUnit()));
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
    peer.pending = OutboundQueue();
    RecordConnectFailure(peer, now);
  } else if (was_link && connection.opened_locally() &&
             connection.cause() == CloseCause::kClosedByPeer &&
             now - connection.authenticated_at() < context_.peer_timeout) {
    // The peer refuses this node, perhaps as a replaced incarnation.
    RecordConnectFailure(peer, now);
  } else if (!was_link) {
    return;
  }
  if (!context_.stopping) {
    MaintainLinks(now);
    delegate_.OnLinksChanged();
  }
}

void LinkSet::RecordClose(const PeerConnection& connection) {
  const auto now = context_.clock.Now();
  const auto cause = connection.cause();
  if (cause == CloseCause::kUnauthenticated) {
    ++context_.counters.handshakes_refused;
    if (const auto n = refused_event_limiter_.TryPass(now)) {
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
    if (const auto n = frame_event_limiter_.TryPass(now)) {
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
  peer.next_attempt_at = context_.clock.Now();
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

void LinkSet::AdjustForPause(Duration gap) {
  for (const auto& it : connections_) {
    it->AdjustForPause(gap);
  }
}

bool LinkSet::IsDrained() const {
  return std::ranges::all_of(connections_, [](const auto& it) {
    return it->closed() || !it->authenticated() || it->IsDrained();
  });
}

void LinkSet::CloseAll() {
  for (const auto& it : connections_) {
    it->Close(CloseCause::kStopped);
  }
}

// ---- sending

std::set<std::string> LinkSet::HeardNodes(TimePoint now, bool mesh_only) const {
  std::set<std::string> out;
  for (const auto& [id, peer] : peers_) {
    const auto* known = context_.members.FindKnown(id);
    const bool in_time = known != nullptr && !known->gone &&
                         known->last_direct_at &&
                         now - *known->last_direct_at <= context_.peer_timeout;
    const bool connected =
        std::ranges::any_of(peer.connections, [&](const auto& it) {
          return !it->closed() && (it->mesh() || !mesh_only);
        });
    // While a connection is being replaced, the last frame received counts. A
    // connection opened on demand has no regular traffic: while no reply is due
    // on it, its node counts as heard only as long as frames arrive.
    if (in_time && (connected || chosen_.contains(id) || !mesh_only)) {
      out.insert(id);
    }
  }
  return out;
}

LinkSet::ConnectionPtr LinkSet::NewestConnection(const Peer& peer,
                                                 bool mesh_only) const {
  // An older connection may no longer work in the sending direction, which this
  // node cannot detect.
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
  const auto dropped_before = context_.counters.messages_dropped;
  connection.Send(std::move(message));
  const auto n = context_.counters.messages_dropped - dropped_before;
  if (n == 0) {
    return;
  }
  if (const auto suppressed =
          dropped_event_limiter_.TryPass(context_.clock.Now())) {
    context_.events.Record(events::kMessagesDropped,
                           {{"peer", connection.peer()},
                            {"messages", n},
                            {"suppressed", *suppressed}});
  }
}

void LinkSet::SendToMesh(const OutboundMessage& message,
                         const std::function<bool(const std::string&)>& skip) {
  for (const auto& [id, peer] : peers_) {
    const auto connection = NewestConnection(peer, /*mesh_only=*/true);
    if (connection != nullptr && !skip(id)) {
      Push(*connection, message);
    }
  }
}

bool LinkSet::SendTo(const std::string& node, OutboundMessage message) {
  const auto now = context_.clock.Now();
  auto& peer = peers_[node];
  const auto connection = NewestConnection(peer, /*mesh_only=*/false);
  if (connection != nullptr && IsHealthy(*connection, now)) {
    Push(*connection, std::move(message));
    return true;
  }
  if (context_.members.FindNode(node) == nullptr) {
    return false;
  }
  // If the last attempt failed, the node is live but no direct path to it
  // works. The caller learns this at once; a new attempt is made for later
  // calls.
  const bool failed = peer.failed_at.has_value();
  if (!failed) {
    context_.counters.messages_dropped += peer.pending.Push(std::move(message));
  }
  if (peer.opening == nullptr && now >= peer.next_attempt_at) {
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
                     {"opened", it->opened_locally()},
                     {"mesh", it->mesh()},
                     {"silent_ms", ToMillis(now - it->last_received_at())},
                     {"queued_messages", it->queue().size()},
                     {"queued_bytes", it->queue().bytes()}});
  }
  return links;
}

}  // namespace tanagerloom
