// Defines the port to the other nodes: who lives, and messages to them.
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

/// One node of the system.
struct Member {
  Vm vm;
  std::string incarnation;  ///< Empty until the node was heard.
  bool reachable = false;   ///< Heard within the peer timeout, by any route.
  bool leaving = false;
  std::uint64_t config_version = 0;
};

/// The other nodes. Messages may be lost, repeated and reordered.
class PeerNetwork {
 public:
  using Handler =
      std::function<void(const std::string& from, const PeerMessage&)>;

  virtual ~PeerNetwork() = default;

  /// This node as "NODE/INCARNATION"; the incarnation is new at each start.
  virtual const std::string& self() const = 0;

  /// This node's id.
  virtual const std::string& node_id() const = 0;

  /// All members of the VM list that are not known to have gone, with this
  /// node, ordered by id.
  virtual std::vector<Member> Members() const = 0;

  /// Members that are reachable and not leaving, with this node.
  virtual std::vector<std::string> LiveIds() const = 0;

  /// Whether "NODE/INCARNATION" may still be running: it is in the VM list, was
  /// heard lately, or left both for less than the sender-gone time.
  virtual bool MayStillRun(std::string_view node_incarnation) const = 0;

  /// Sends to all nodes.
  virtual void Broadcast(const PeerMessage& message) = 0;

  /// Sends to one node; false if it is not reachable.
  virtual bool Send(const std::string& node_id, const PeerMessage& message) = 0;

  /// Adds a handler of received messages. `from` is "NODE/INCARNATION".
  virtual void OnMessage(Handler handler) = 0;

  /// Adds a handler called when the set of live members changes.
  virtual void OnMembersChanged(std::function<void()> handler) = 0;

  /// States the configuration version in force on this node; peers with a
  /// direct link see it in Member::config_version.
  virtual void SetConfigVersion(std::uint64_t version) { (void)version; }

  /// All VMs of the last VM list, endpoints included, with leaving notices
  /// from peers merged in.
  virtual std::vector<Vm> Vms() const = 0;

  /// Marks an endpoint as leaving from this node's own observation, and tells
  /// the peers.
  virtual void ReportLeaving(const std::string& endpoint) = 0;
};

}  // namespace tanagerloom

#endif  // PORTS_PEER_NETWORK_H_
