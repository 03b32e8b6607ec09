// Defines LinkSet, which opens, replaces and closes all connections of a node
// to other nodes. Mesh links carry floods and keep-alives. Other connections
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

#include "membership/event_rate_limiter.h"
#include "membership/outbound_queue.h"
#include "membership/peer_connection.h"
#include "membership/peer_context.h"

namespace tanagerloom {

/// Receives the events of a LinkSet.
class LinkSetDelegate {
 public:
  virtual ~LinkSetDelegate() = default;

  /// Called when the peer of a connection has proved its identity. Returns
  /// false to refuse the peer.
  virtual bool AcceptIdentity(const std::string& node,
                              const std::string& incarnation) = 0;
  /// Called when a connection is ready; its first messages may be sent now.
  virtual void OnLinkReady(PeerConnection& connection) = 0;
  /// Called when a message arrived from the current incarnation of the peer.
  /// `payload` is the encoding of `envelope`.
  virtual void OnEnvelope(PeerConnection& connection,
                          const Envelope& envelope,
                          const std::string& payload) = 0;
  /// Called when a connection became ready or ended.
  virtual void OnLinksChanged() = 0;
};

/// The connections of a node to other nodes.
class LinkSet final : public PeerConnectionDelegate {
 public:
  /// Both arguments must outlive the connections: see CloseAll and empty.
  LinkSet(PeerContext& context, LinkSetDelegate& delegate);

  /// Serves an accepted connection in a new fiber, or closes it if there are
  /// too many unfinished handshakes.
  void Accept(boost::asio::ip::tcp::socket socket);

  /// Chooses the mesh links anew; called when members have changed.
  void ChooseMeshLinks();

  /// Closes silent and idle connections, opens missing ones and sends
  /// keep-alives that are due. Called regularly.
  void Tick(TimePoint now);

  /// Opens missing connections and closes surplus ones.
  void MaintainLinks(TimePoint now);

  /// Advances the timestamps of all connections by `gap`, for which this
  /// process was paused.
  void AdjustForPause(Duration gap);

  /// Returns the nodes from which a frame arrived directly within the peer
  /// timeout; with `mesh_only`, only those with a mesh link.
  std::set<std::string> HeardNodes(TimePoint now, bool mesh_only) const;

  /// Sends a message over one connection and records the messages that its
  /// queue drops.
  void Push(PeerConnection& connection, OutboundMessage message);

  /// Sends a message over all mesh links, except to nodes for which `skip`
  /// returns true.
  void SendToMesh(const OutboundMessage& message,
                  const std::function<bool(const std::string&)>& skip);

  /// Sends a message to one node and opens a connection if there is none.
  /// Returns false if the VM list does not have the node or the last attempt to
  /// connect to it failed.
  bool SendTo(const std::string& node, OutboundMessage message);

  /// Called when a node was heard under a new incarnation. Closes the
  /// connections of the previous incarnation and allows a new connection
  /// without delay.
  void OnNewIncarnation(const std::string& node, const std::string& previous);

  /// Removes the state of a node that has left.
  void Forget(const std::string& node);

  /// Returns whether the queues of all connections have been written.
  bool IsDrained() const;
  /// Closes all connections; their fibers end soon after.
  void CloseAll();
  /// Returns whether the fibers of all connections have ended.
  bool empty() const { return connections_.empty(); }

  /// Returns the state of all connections as a JSON array.
  nlohmann::json Status(TimePoint now) const;

  bool OnAuthenticated(PeerConnection& connection) override;
  void OnEnvelope(PeerConnection& connection,
                  const Envelope& envelope,
                  const std::string& payload) override;
  void OnClosed(PeerConnection& connection) override;

 private:
  using ConnectionPtr = std::shared_ptr<PeerConnection>;

  // The connections to one other node.
  struct Peer {
    std::vector<ConnectionPtr> connections;  ///< Authenticated connections.
    ConnectionPtr opening;  ///< Connection being opened, or null.
    TimePoint next_attempt_at{};
    int failures = 0;  ///< Failed attempts since the last stable connection.
    /// When the last attempt failed; empty after a successful one.
    std::optional<TimePoint> failed_at;
    /// Messages to send when the connection that is being opened is ready.
    OutboundQueue pending;
  };

  void CheckTimeouts(TimePoint now);
  void CheckSilence(PeerConnection& connection, TimePoint now);
  void SendKeepAlives(TimePoint now);
  void CloseSurplusConnections(const std::string& id,
                               Peer& peer,
                               TimePoint now);
  bool NeedsMeshLink(const std::string& id,
                     const Peer& peer,
                     TimePoint now) const;
  bool IsHealthy(const PeerConnection& connection, TimePoint now) const;
  bool HasHealthyConnection(const Peer& peer,
                            bool mesh_only,
                            TimePoint now) const;
  ConnectionPtr NewestConnection(const Peer& peer, bool mesh_only) const;
  void Open(const std::string& id, Peer& peer, bool mesh);
  void RecordConnectFailure(Peer& peer, TimePoint now);
  void RecordClose(const PeerConnection& connection);
  ConnectionPtr NewConnection();

  PeerContext& context_;
  LinkSetDelegate& delegate_;
  std::map<std::string, Peer> peers_;
  /// All connections, including those in the handshake.
  std::set<ConnectionPtr> connections_;
  std::set<std::string> chosen_;  ///< Nodes chosen for mesh links.
  EventRateLimiter refused_event_limiter_;
  EventRateLimiter frame_event_limiter_;
  EventRateLimiter dropped_event_limiter_;
};

}  // namespace tanagerloom

#endif  // MEMBERSHIP_LINK_SET_H_
