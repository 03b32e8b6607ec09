#include "membership/liveness.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/event_log.h"
#include "base/events.h"

namespace tanagerloom {

namespace {

// Maximum number of reports in a digest, so that it fits a frame.
constexpr std::size_t kMaxReportsPerDigest = 256;

}  // namespace

Liveness::Liveness(PeerContext& context, LinkSet& links)
    : context_(context), links_(links) {
  own_state_.node = context.identity.node;
  own_state_.incarnation = context.identity.incarnation;
}

void Liveness::Flood(const LinkState& report, const std::string& except) {
  links_.SendToMesh(
      MakeOutbound(context_.NewEnvelope(Digest{{report}})),
      [&](const std::string& id) { return id == except || id == report.node; });
}

void Liveness::SendAll(PeerConnection& connection) {
  auto reports = link_states_.Snapshot();
  LinkState own = own_state_;
  own.full = true;
  reports.push_back(std::move(own));
  for (std::size_t i = 0; i < reports.size(); i += kMaxReportsPerDigest) {
    const auto end = std::min(reports.size(), i + kMaxReportsPerDigest);
    Digest digest;
    std::move(reports.begin() + static_cast<std::ptrdiff_t>(i),
              reports.begin() + static_cast<std::ptrdiff_t>(end),
              std::back_inserter(digest.entries));
    links_.Push(connection,
                MakeOutbound(context_.NewEnvelope(std::move(digest))));
  }
}

void Liveness::Publish(TimePoint now) {
  RequestMissingReports(now);
  if (now - last_published_at_ < context_.settings.heartbeat_interval &&
      !has_unpublished_change_) {
    return;
  }
  const auto links = links_.HeardNodes(now, /*mesh_only=*/true);
  LinkState change = own_state_;
  change.added.clear();
  std::ranges::set_difference(links, own_state_.added,
                              std::back_inserter(change.added));
  std::ranges::set_difference(own_state_.added, links,
                              std::back_inserter(change.removed));
  if (change.added.empty() && change.removed.empty() &&
      !has_unpublished_change_) {
    return;
  }
  last_published_at_ = now;
  has_unpublished_change_ = false;
  change.version = ++own_state_.version;
  change.full = change.version == 1;
  own_state_.added.assign(links.begin(), links.end());
  Flood(change, "");
}

void Liveness::AnnounceLeaving(bool gone) {
  own_state_.leaving = true;
  own_state_.gone = own_state_.gone || gone;
  has_unpublished_change_ = true;
  reachability_valid_ = false;
  Publish(context_.clock.Now());
}

void Liveness::Apply(PeerConnection& connection,
                     const std::vector<const LinkState*>& reports) {
  bool has_missing = false;
  for (const auto* it : reports) {
    const auto outcome = link_states_.Apply(*it);
    has_missing = has_missing || outcome == LinkStateOutcome::kMissing;
    if (outcome != LinkStateOutcome::kNew) {
      continue;
    }
    reachability_valid_ = false;
    auto& known = context_.members.FindOrAddKnown(it->node);
    if ((it->leaving && !known.leaving) || (it->gone && !known.gone)) {
      context_.events.Record(events::kMemberLeaving,
                             {{"node", it->node}, {"gone", it->gone}});
    }
    known.leaving = it->leaving;
    known.gone = it->gone;
    Flood(*it, connection.peer());
  }
  if (has_missing) {
    digest_source_ = connection.weak_from_this();
    RequestMissingReports(context_.clock.Now());
  }
}

void Liveness::RequestMissingReports(TimePoint now) {
  const auto connection = digest_source_.lock();
  if (connection == nullptr || now - last_request_at_ < context_.peer_timeout) {
    return;
  }
  last_request_at_ = now;
  digest_source_.reset();
  links_.Push(*connection, MakeOutbound(context_.NewEnvelope(DigestRequest{})));
}

void Liveness::SetReachable(const std::string& id,
                            KnownNode& known,
                            bool reachable,
                            bool direct,
                            TimePoint now) {
  if (known.reachable || reachable) {
    // A chain of working links shows that the node lives, as a frame does.
    known.last_heard_at = now;
  }
  if (known.reachable == reachable) {
    return;
  }
  known.reachable = reachable;
  if (reachable) {
    context_.events.Record(
        events::kMemberReachable,
        {{"node", id}, {"incarnation", known.incarnation}, {"direct", direct}});
  } else {
    context_.events.Record(events::kMemberUnreachable,
                           {{"node", id}, {"incarnation", known.incarnation}});
  }
}

bool Liveness::Refresh(TimePoint now) {
  auto direct = links_.HeardNodes(now, /*mesh_only=*/false);
  if (reachability_valid_ && direct == directly_heard_) {
    return false;
  }
  directly_heard_ = std::move(direct);
  reachability_valid_ = true;
  const auto reached = link_states_.Reachable(directly_heard_);
  for (auto& [id, known] : context_.members.known_nodes()) {
    const bool reachable =
        reached.contains(id) && !known.gone && !known.incarnation.empty();
    SetReachable(id, known, reachable, directly_heard_.contains(id), now);
  }
  std::set<std::string> live;
  for (const auto* it : context_.members.Nodes()) {
    if (IsLive(*it)) {
      live.insert(it->id);
    }
  }
  // This node is live even if the VM list does not contain it yet.
  if (!own_state_.leaving &&
      context_.members.FindNode(context_.identity.node) == nullptr) {
    live.insert(context_.identity.node);
  }
  return std::exchange(live_ids_, live) != live;
}

bool Liveness::IsLive(const Vm& vm) const {
  if (vm.id == context_.identity.node) {
    return !vm.leaving && !own_state_.leaving;
  }
  const auto* known = context_.members.FindKnown(vm.id);
  return !vm.leaving && known != nullptr && known->reachable &&
         !known->leaving && !known->gone;
}

void Liveness::OnNewIncarnation(const std::string& node) {
  link_states_.Erase(node);
  reachability_valid_ = false;
}

void Liveness::Forget(const std::string& node) {
  link_states_.Erase(node);
  reachability_valid_ = false;
}

}  // namespace tanagerloom
