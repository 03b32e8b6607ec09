// Defines Liveness: which nodes are reachable, by own links or by the chains of
// links that the nodes report in digests.
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

/// Digests out and in, and the set of live nodes that follows from them.
class Liveness {
 public:
  Liveness(PeerContext& context, LinkSet& links);

  /// Applies a digest from the other end of a link and passes on what is new.
  /// The senders' incarnations are checked by `check(node, incarnation)`.
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

  /// Sends all reports, this node's included, over one link.
  void SendAll(PeerConnection& connection);

  /// Floods this node's report if its links changed, at most once in a
  /// heartbeat interval.
  void Publish(TimePoint now);

  /// Announces at once that this node takes no new work, or that it ends.
  void AnnounceLeaving(bool gone);

  /// Recomputes who is reachable, if anything changed that it depends on.
  /// Returns whether the set of live nodes changed.
  bool Refresh(TimePoint now);

  /// Something changed that reachability depends on.
  void Invalidate() { valid_ = false; }

  void OnNewIncarnation(const std::string& node);
  void Forget(const std::string& node);

  /// Reachable members that are not leaving, this node included.
  const std::set<std::string>& live() const { return live_; }
  bool leaving() const { return own_.leaving; }
  /// Whether `node` reports a link to `other`.
  bool Linked(const std::string& node, const std::string& other) const {
    return table_.Linked(node, other);
  }

 private:
  void Apply(PeerConnection& connection,
             const std::vector<const LinkState*>& reports);
  void Flood(const LinkState& report, const std::string& except);
  /// Asks for all reports, at most once in a peer timeout: the reply may be
  /// 100 KB at 530 nodes.
  void RequestMissing(TimePoint now);
  void SetReachable(const std::string& id,
                    KnownNode& known,
                    bool reachable,
                    bool direct,
                    TimePoint now);
  bool IsLive(const Vm& vm) const;

  PeerContext& context_;
  LinkSet& links_;
  LinkStateTable table_;
  LinkState own_;  ///< `added` lists the links last published.
  TimePoint last_published_{};
  TimePoint last_request_{};
  std::weak_ptr<PeerConnection> request_to_;
  bool unpublished_ = true;
  bool valid_ = false;
  std::set<std::string> direct_;
  std::set<std::string> live_;
};

}  // namespace tanagerloom

#endif  // MEMBERSHIP_LIVENESS_H_
