// Defines LinkSet, all connections of a node: which are opened, replaced when
// they go silent, and closed. Mesh links carry floods and keep-alives; others
// are opened on demand for direct messages and closed when idle.
#ifndef MEMBERSHIP_LINK_SET_H_
#define MEMBERSHIP_LINK_SET_H_

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "membership/event_limiter.h"
#include "membership/outbound_queue.h"
#include "membership/peer_connection.h"
#include "membership/peer_context.h"

namespace tanagerloom {

/// Receives what the links of a node bring.
class LinkOwner {
 public:
  virtual ~LinkOwner() = default;

  /// The other end proved its identity. Returns false to refuse it.
  virtual bool AcceptIdentity(const std::string& node,
                              const std::string& incarnation) = 0;
  /// A connection is ready; the first messages on it may be sent now.
  virtual void OnLinkReady(PeerConnection& connection) = 0;
  /// A message arrived from the current incarnation of the other end.
  virtual void OnEnvelope(PeerConnection& connection,
                          const Envelope& envelope,
                          const std::string& payload) = 0;
  /// Links came or went.
  virtual void OnLinksChanged() = 0;
};

/// The connections of a node.
class LinkSet final : public PeerConnectionOwner {
 public:
  /// Both must outlive the connections: see CloseAll and empty.
  LinkSet(PeerContext& context, LinkOwner& owner);

  /// Serves an accepted connection in a new fiber, or closes it if too many
  /// handshakes are in progress.
  void Accept(boost::asio::ip::tcp::socket socket);

  /// Chooses the mesh links again, after members changed.
  void Choose();

  /// Closes silent and idle connections, opens missing ones and sends the
  /// keep-alives that are due.
  void Tick(TimePoint now);

  /// Opens missing connections and closes surplus ones.
  void Maintain(TimePoint now);

  /// Moves all signs of life forward by a time in which this process was
  /// paused.
  void ForgivePause(Duration gap);

  /// Nodes heard by a frame of their own within the peer timeout; with
  /// `mesh_only`, over a mesh link.
  std::set<std::string> Heard(TimePoint now, bool mesh_only) const;

  /// Sends over one connection, counting what its queue drops.
  void Push(PeerConnection& connection, OutboundMessage message);

  /// Sends over each mesh link but those to nodes for which `skip` is true.
  void SendToMesh(const OutboundMessage& message,
                  const std::function<bool(const std::string&)>& skip);

  /// Sends to one node, opening a connection if there is none. Returns false
  /// if the last attempt to connect failed.
  bool SendTo(const std::string& node, OutboundMessage message);

  /// A node was heard under a new incarnation: closes the connections of the
  /// previous one and connects again without delay.
  void OnNewIncarnation(const std::string& node, const std::string& previous);

  /// Drops what is kept about a node that left.
  void Forget(const std::string& node);

  /// Whether all queues have been written.
  bool Drained() const;
  /// Closes all connections; their fibers end soon after.
  void CloseAll();
  /// Whether the fibers of all connections have ended.
  bool empty() const { return connections_.empty(); }

  nlohmann::json Status(TimePoint now) const;

  bool OnAuthenticated(PeerConnection& connection) override;
  void OnEnvelope(PeerConnection& connection,
                  const Envelope& envelope,
                  const std::string& payload) override;
  void OnClosed(PeerConnection& connection) override;

 private:
  using ConnectionPtr = std::shared_ptr<PeerConnection>;

  // Connections to one other node.
  struct Peer {
    std::vector<ConnectionPtr> connections;  ///< Authenticated ones.
    ConnectionPtr opening;
    TimePoint next_attempt{};
    int failures = 0;
    std::optional<TimePoint> failed_at;
    OutboundQueue waiting;  ///< Until a connection opened on demand is ready.
  };

  void CheckTimeouts(TimePoint now);
  void CheckSilence(PeerConnection& connection, TimePoint now);
  void SendKeepAlives(TimePoint now);
  void CloseSurplus(const std::string& id, Peer& peer, TimePoint now);
  bool WantsMesh(const std::string& id, const Peer& peer, TimePoint now) const;
  bool Healthy(const PeerConnection& connection, TimePoint now) const;
  bool AnyHealthy(const Peer& peer, bool mesh_only, TimePoint now) const;
  ConnectionPtr Newest(const Peer& peer, bool mesh_only) const;
  void Open(const std::string& id, Peer& peer, bool mesh);
  void NoteFailure(Peer& peer, TimePoint now);
  void RecordClose(const PeerConnection& connection);
  ConnectionPtr NewConnection();

  PeerContext& context_;
  LinkOwner& owner_;
  std::map<std::string, Peer> peers_;
  std::set<ConnectionPtr> connections_;  ///< All, handshakes included.
  std::set<std::string> chosen_;         ///< Mesh links of this node's choice.
  EventLimiter refused_limit_;
  EventLimiter frame_limit_;
  EventLimiter dropped_limit_;
};

}  // namespace tanagerloom

#endif  // MEMBERSHIP_LINK_SET_H_
