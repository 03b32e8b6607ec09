// Defines PeerNetwork, the interface to the other nodes: which of them are
// live, and messages to and from them.
#ifndef PORTS_PEER_NETWORK_H_
#define PORTS_PEER_NETWORK_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "ports/peer_message.h"
#include "ports/vm_list.h"

namespace tanagerloom {

/// A node in the membership table.
struct Member {
  Vm vm;
  std::string incarnation;  ///< Empty until a message arrived.
  /// Whether a chain of working links leads to the node; a link works if a
  /// frame arrived within the peer timeout.
  bool reachable = false;
  bool leaving = false;              ///< The node drains.
  std::uint64_t config_version = 0;  ///< Version in force; 0 if unknown.
};

/// Tracks the other nodes and exchanges messages with them. Messages may be
/// lost, duplicated and reordered.
class PeerNetwork {
 public:
  using Handler =
      std::function<void(const std::string& from, const PeerMessage&)>;

  virtual ~PeerNetwork() = default;

  /// Returns "NODE/INCARNATION" of this node. Each start has a new incarnation.
  virtual const std::string& self() const = 0;

  /// Returns the id of this node.
  virtual const std::string& node_id() const = 0;

  /// Returns the nodes of the VM list that have not announced their end, this
  /// node included, ordered by id.
  virtual std::vector<Member> Members() const = 0;

  /// Returns the ids of the members that are reachable and not leaving, this
  /// node included.
  virtual std::vector<std::string> LiveIds() const = 0;

  /// Returns whether the process "NODE/INCARNATION" may still run. It no longer
  /// does once it has been absent from the VM list and silent, or replaced by a
  /// later incarnation, for the sender-gone time.
  virtual bool MayStillRun(std::string_view node_incarnation) const = 0;

  /// Sends `message` to all other nodes.
  virtual void Broadcast(const PeerMessage& message) = 0;

  /// Sends `message` to one node. Returns false if it is not reachable.
  virtual bool Send(const std::string& node_id, const PeerMessage& message) = 0;

  /// Adds a handler for received messages. `from` is "NODE/INCARNATION".
  virtual void OnMessage(Handler handler) = 0;

  /// Adds a handler that is called when the set of live members changes.
  virtual void OnMembersChanged(std::function<void()> handler) = 0;

  /// Announces the configuration version in force on this node to the peers
  /// with a direct link, which show it in Member::config_version.
  virtual void SetConfigVersion(std::uint64_t version) { (void)version; }

  /// Returns all VMs of the last VM list, endpoints included. VMs that peers
  /// have announced as leaving are marked as leaving.
  virtual std::vector<Vm> Vms() const = 0;

  /// Marks an endpoint as leaving, as this node has observed, and announces it
  /// to the peers.
  virtual void ReportLeaving(const std::string& endpoint) = 0;
};

}  // namespace tanagerloom

#endif  // PORTS_PEER_NETWORK_H_
