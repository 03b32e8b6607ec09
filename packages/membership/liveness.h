// Defines Liveness, which determines the nodes that are reachable: over links
// of this node or over chains of the links that nodes report in digests.
#ifndef MEMBERSHIP_LIVENESS_H_
#define MEMBERSHIP_LIVENESS_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "membership/link_set.h"
#include "membership/link_state_table.h"
#include "membership/peer_context.h"

namespace tanagerloom {

/// Sends and applies digests and computes the set of live nodes from them.
class Liveness {
 public:
  Liveness(PeerContext& context, LinkSet& links);

  /// Applies a digest received over `connection` and floods the reports that
  /// are new. Ignores a report unless `check(node, incarnation)` returns true.
  template <typename Check>
  void OnDigest(PeerConnection& connection, const Digest& digest, Check check) {
    std::vector<const LinkState*> accepted;
    for (const auto& it : digest.entries) {
      if (!it.node.empty() && it.node != context_.identity.node &&
          check(it.node, it.incarnation)) {
        accepted.push_back(&it);
      }
    }
    Apply(connection, accepted);
  }

  /// Sends the reports of all nodes, this one included, over one link.
  void SendAll(PeerConnection& connection);

  /// Floods the report of this node if its links changed, at most once per
  /// heartbeat interval, or at once after AnnounceLeaving.
  void Publish(TimePoint now);

  /// Announces without delay that this node drains and, with `gone`, that its
  /// process is about to end.
  void AnnounceLeaving(bool gone);

  /// Recomputes which nodes are reachable if an input changed. Returns whether
  /// the set of live nodes changed.
  bool Refresh(TimePoint now);

  /// Makes the next Refresh recompute reachability.
  void Invalidate() { reachability_valid_ = false; }

  /// Discards the report of the previous incarnation of `node`.
  void OnNewIncarnation(const std::string& node);
  /// Discards the report of a node that has left.
  void Forget(const std::string& node);

  /// Ids of the reachable members that are not leaving, this node included.
  const std::set<std::string>& live() const { return live_ids_; }
  bool leaving() const { return own_state_.leaving; }
  /// Returns whether `node` reports a link to `other`.
  bool HasLink(const std::string& node, const std::string& other) const {
    return link_states_.HasLink(node, other);
  }

 private:
  void Apply(PeerConnection& connection,
             const std::vector<const LinkState*>& reports);
  void Flood(const LinkState& report, const std::string& except);
  /// Requests all reports after a missing change, at most once per peer
  /// timeout, because the reply is up to 100 KB at 530 nodes.
  void RequestMissingReports(TimePoint now);
  void SetReachable(const std::string& id,
                    KnownNode& known,
                    bool reachable,
                    bool direct,
                    TimePoint now);
  bool IsLive(const Vm& vm) const;

  PeerContext& context_;
  LinkSet& links_;
  LinkStateTable link_states_;
  /// State of this node; `added` lists the links in the last published report.
  LinkState own_state_;
  TimePoint last_published_at_{};
  TimePoint last_request_at_{};
  /// Connection over which to request missing reports.
  std::weak_ptr<PeerConnection> digest_source_;
  bool has_unpublished_change_ = true;
  bool reachability_valid_ = false;  ///< Whether live_ids_ is up to date.
  std::set<std::string> directly_heard_;
  std::set<std::string> live_ids_;
};

}  // namespace tanagerloom

#endif  // MEMBERSHIP_LIVENESS_H_
