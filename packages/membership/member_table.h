// Defines MemberTable, which stores the VMs of the platform's list and what
// this node has learned from peers: incarnations of nodes, when they were last
// heard and leaving notices of endpoints.
#ifndef MEMBERSHIP_MEMBER_TABLE_H_
#define MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ports/vm_list.h"
#include "runtime/clock.h"

namespace tanagerloom {

/// What this node knows about another node.
struct KnownNode {
  /// Current incarnation; empty until the node was heard.
  std::string incarnation;
  TimePoint incarnation_since{};
  /// Replaced incarnations, with the time at which they were replaced or were
  /// last heard after that.
  std::map<std::string, TimePoint> retired_incarnations;
  /// When the node was last known to be reachable, directly or through other
  /// nodes. Up to date only while the node is not reachable.
  std::optional<TimePoint> last_heard_at;
  std::optional<TimePoint> last_direct_at;  ///< When a frame arrived directly.
  bool reachable = false;
  bool leaving = false;  ///< The current incarnation announced that it drains.
  bool gone = false;     ///< The current incarnation announced its end.
  std::uint64_t config_version = 0;
};

/// The result of checking the incarnation in a message.
enum class IncarnationCheck {
  kCurrent,
  kNew,    ///< It became the current one; the previous one is retired.
  kStale,  ///< The message must be ignored.
};

/// The members and endpoints that this node knows.
class MemberTable {
 public:
  /// Settings that the table uses.
  struct Timing {
    Duration peer_timeout{};  ///< A peer that is silent for longer is lost.
    /// For how long a process that was last heard, listed or replaced may still
    /// run and send.
    Duration sender_gone{};
  };

  MemberTable(std::string self_id, std::string self_incarnation, Timing timing);

  /// Replaces the VM list. Returns whether the list differs from the last one.
  bool SetVms(std::vector<Vm> vms, TimePoint now);

  /// Returns whether a VM list has been read.
  bool has_list() const { return first_list_at_.has_value(); }
  TimePoint last_list_at() const { return last_list_at_; }

  /// Returns the node of the list with the given id, or null.
  const Vm* FindNode(std::string_view id) const;
  /// Returns the nodes of the list, this one included if it is listed.
  std::vector<const Vm*> Nodes() const;
  /// Returns all VMs of the list. VMs with a leaving notice that is valid at
  /// `now` are marked as leaving.
  std::vector<Vm> Vms(TimePoint now) const;

  /// Checks an incarnation of another node and makes it the current one if it
  /// is newer. `direct` means that the peer of a connection has just proved
  /// that it is this incarnation. Incarnations are ordered by the wall clock at
  /// their start. Because the wall clock of a VM may have been wrong, a direct
  /// proof also lets an earlier incarnation replace one that is silent or gone.
  IncarnationCheck CheckIncarnation(const std::string& node,
                                    const std::string& incarnation,
                                    bool direct,
                                    TimePoint now);

  /// Returns the entry of a node, which is added if absent.
  KnownNode& FindOrAddKnown(const std::string& node) {
    return known_nodes_[node];
  }
  /// Returns the entry of a node, or null.
  const KnownNode* FindKnown(std::string_view node) const;
  std::map<std::string, KnownNode, std::less<>>& known_nodes() {
    return known_nodes_;
  }

  /// Advances the times at which nodes were last heard by `gap`, for which this
  /// process was paused and could not receive.
  void AdjustForPause(Duration gap);

  /// See PeerNetwork::MayStillRun.
  bool MayStillRun(std::string_view node_incarnation, TimePoint now) const;

  /// Records that an endpoint leaves, valid until `until`. Returns false if a
  /// valid notice was recorded before or the table of notices is full.
  bool RecordLeaving(const std::string& endpoint,
                     TimePoint until,
                     TimePoint now);
  /// Returns the valid leaving notices, as endpoint and end of validity.
  std::map<std::string, TimePoint> LeavingNotices(TimePoint now) const;

  /// Removes expired leaving notices, old retired incarnations and nodes that
  /// have been absent from the list and silent for long. Returns the removed
  /// nodes.
  std::vector<std::string> Prune(TimePoint now);

 private:
  /// Returns for how long a node has been absent from the lists that were read.
  Duration AbsenceDuration(std::string_view node) const;

  std::string self_id_;
  std::string self_incarnation_;
  Timing timing_;
  std::vector<Vm> vms_;
  /// Index in vms_ of each node of the list, by id.
  std::map<std::string, std::size_t, std::less<>> node_index_;
  std::optional<TimePoint> first_list_at_;
  TimePoint last_list_at_{};
  /// When a node was first absent from a list that was read.
  std::map<std::string, TimePoint, std::less<>> absent_since_;
  std::map<std::string, KnownNode, std::less<>> known_nodes_;
  /// End of validity of the leaving notices, by endpoint.
  std::map<std::string, TimePoint> leaving_until_;
};

}  // namespace tanagerloom

#endif  // MEMBERSHIP_MEMBER_TABLE_H_
