// Defines MemberTable: the VMs of the platform's list and what peers made known
// about nodes and endpoints: incarnations, leaving notices, signs of life.
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

/// What is known about one other node.
struct KnownNode {
  std::string incarnation;  ///< Current one; empty until the node was heard.
  TimePoint incarnation_since{};
  /// Replaced incarnations, with the time of the replacement.
  std::map<std::string, TimePoint> retired;
  /// By any route; kept up to date only while the node is not reachable.
  std::optional<TimePoint> last_heard;
  std::optional<TimePoint> last_direct;  ///< By a frame of its own.
  bool reachable = false;
  bool leaving = false;  ///< Announced by the current incarnation.
  bool gone = false;     ///< As above: the process ended.
  std::uint64_t config_version = 0;
};

/// Result of checking the incarnation that a message names.
enum class IncarnationCheck {
  kCurrent,
  kNew,    ///< Now the current one; the earlier one is retired.
  kStale,  ///< The message must be ignored.
};

/// Members and endpoints as far as this node knows.
class MemberTable {
 public:
  struct Timing {
    Duration peer_timeout{};
    Duration sender_gone{};
  };

  MemberTable(std::string self_id, std::string self_incarnation, Timing timing);

  /// Takes a new VM list. Returns whether it differs from the last one.
  bool SetVms(std::vector<Vm> vms, TimePoint now);

  /// Whether any VM list was read.
  bool has_list() const { return first_list_.has_value(); }
  TimePoint last_list() const { return last_list_; }

  const Vm* FindNode(std::string_view id) const;
  /// Nodes of the list, this one included if the list has it.
  std::vector<const Vm*> Nodes() const;
  /// All VMs, with the leaving notices that are valid at `now`.
  std::vector<Vm> Vms(TimePoint now) const;

  /// Checks an incarnation of another node. `direct` means that the other end
  /// of a connection has just proved that it is this incarnation. Incarnations
  /// are ordered by the wall clock of their start; an earlier one replaces the
  /// current one only if it is proved directly while nothing was heard of the
  /// current one, because a VM's wall clock may have been wrong.
  IncarnationCheck CheckIncarnation(const std::string& node,
                                    const std::string& incarnation,
                                    bool direct,
                                    TimePoint now);

  /// What is known about a node; created when absent.
  KnownNode& Known(const std::string& node) { return known_[node]; }
  const KnownNode* FindKnown(std::string_view node) const;
  std::map<std::string, KnownNode, std::less<>>& known() { return known_; }

  /// Moves all signs of life forward by a time in which this process was
  /// paused.
  void ForgivePause(Duration gap);

  /// See PeerNetwork::MayStillRun.
  bool MayStillRun(std::string_view node_incarnation, TimePoint now) const;

  /// Notes that an endpoint leaves. Returns false if it was known already.
  bool NoteLeaving(const std::string& endpoint, TimePoint until, TimePoint now);
  /// Valid notices with their ends.
  std::map<std::string, TimePoint> LeavingNotices(TimePoint now) const;

  /// Forgets nodes that left the list, retired incarnations and notices whose
  /// time is over. Returns the nodes forgotten.
  std::vector<std::string> Prune(TimePoint now);

 private:
  /// For how long a node has been absent from the lists that were read.
  Duration AbsentFor(std::string_view node) const;

  std::string self_id_;
  std::string self_incarnation_;
  Timing timing_;
  std::vector<Vm> vms_;
  std::map<std::string, std::size_t, std::less<>> node_index_;
  std::optional<TimePoint> first_list_;
  TimePoint last_list_{};
  /// When a node was first missing from a list that was read.
  std::map<std::string, TimePoint, std::less<>> absent_since_;
  std::map<std::string, KnownNode, std::less<>> known_;
  std::map<std::string, TimePoint> leaving_until_;
};

}  // namespace tanagerloom

#endif  // MEMBERSHIP_MEMBER_TABLE_H_
