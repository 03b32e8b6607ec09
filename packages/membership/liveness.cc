#include "membership/liveness.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/event_log.h"
#include "base/events.h"

namespace tanagerloom {

namespace {

// A digest carries at most this many reports, so that it fits a frame.
constexpr std::size_t kReportsPerDigest = 256;

}  // namespace

Liveness::Liveness(PeerContext& context, LinkSet& links)
    : context_(context), links_(links) {
  own_.node = context.identity.node;
  own_.incarnation = context.identity.incarnation;
}

void Liveness::Flood(const LinkState& report, const std::string& except) {
  links_.SendToMesh(
      MakeOutbound(context_.NewEnvelope(Digest{{report}})),
      [&](const std::string& id) { return id == except || id == report.node; });
}

void Liveness::SendAll(PeerConnection& connection) {
  auto reports = table_.Snapshot();
  LinkState own = own_;
  own.full = true;
  reports.push_back(std::move(own));
  for (std::size_t i = 0; i < reports.size(); i += kReportsPerDigest) {
    const auto end = std::min(reports.size(), i + kReportsPerDigest);
    Digest digest;
    std::move(reports.begin() + static_cast<std::ptrdiff_t>(i),
              reports.begin() + static_cast<std::ptrdiff_t>(end),
              std::back_inserter(digest.entries));
    links_.Push(connection,
                MakeOutbound(context_.NewEnvelope(std::move(digest))));
  }
}

void Liveness::Publish(TimePoint now) {
  RequestMissing(now);
  if (now - last_published_ < context_.settings.heartbeat_interval &&
      !unpublished_) {
    return;
  }
  const auto links = links_.Heard(now, /*mesh_only=*/true);
  LinkState change = own_;
  change.added.clear();
  std::ranges::set_difference(links, own_.added,
                              std::back_inserter(change.added));
  std::ranges::set_difference(own_.added, links,
                              std::back_inserter(change.removed));
  if (change.added.empty() && change.removed.empty() && !unpublished_) {
    return;
  }
  last_published_ = now;
  unpublished_ = false;
  change.version = ++own_.version;
  change.full = change.version == 1;
  own_.added.assign(links.begin(), links.end());
  Flood(change, "");
}

void Liveness::AnnounceLeaving(bool gone) {
  own_.leaving = true;
  own_.gone = own_.gone || gone;
  unpublished_ = true;
  valid_ = false;
  Publish(context_.clock.Now());
}

void Liveness::Apply(PeerConnection& connection,
                     const std::vector<const LinkState*>& reports) {
  bool missing = false;
  for (const auto* it : reports) {
    const auto outcome = table_.Apply(*it);
    missing = missing || outcome == LinkStateOutcome::kMissing;
    if (outcome != LinkStateOutcome::kNew) {
      continue;
    }
    valid_ = false;
    auto& known = context_.members.Known(it->node);
    if ((it->leaving && !known.leaving) || (it->gone && !known.gone)) {
      context_.events.Record(events::kMemberLeaving,
                             {{"node", it->node}, {"gone", it->gone}});
    }
    known.leaving = it->leaving;
    known.gone = it->gone;
    Flood(*it, connection.peer());
  }
  if (missing) {
    request_to_ = connection.weak_from_this();
    RequestMissing(context_.clock.Now());
  }
}

void Liveness::RequestMissing(TimePoint now) {
  const auto connection = request_to_.lock();
  if (connection == nullptr || now - last_request_ < context_.peer_timeout) {
    return;
  }
  last_request_ = now;
  request_to_.reset();
  links_.Push(*connection, MakeOutbound(context_.NewEnvelope(DigestRequest{})));
}

void Liveness::SetReachable(const std::string& id,
                            KnownNode& known,
                            bool reachable,
                            bool direct,
                            TimePoint now) {
  if (known.reachable || reachable) {
    // A chain of working links is as good a sign of life as a frame.
    known.last_heard = now;
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
  auto direct = links_.Heard(now, /*mesh_only=*/false);
  if (valid_ && direct == direct_) {
    return false;
  }
  direct_ = std::move(direct);
  valid_ = true;
  const auto reached = table_.Reachable(direct_);
  for (auto& [id, known] : context_.members.known()) {
    const bool reachable =
        reached.contains(id) && !known.gone && !known.incarnation.empty();
    SetReachable(id, known, reachable, direct_.contains(id), now);
  }
  std::set<std::string> live;
  for (const auto* it : context_.members.Nodes()) {
    if (IsLive(*it)) {
      live.insert(it->id);
    }
  }
  // This node counts before the list has it.
  if (!own_.leaving &&
      context_.members.FindNode(context_.identity.node) == nullptr) {
    live.insert(context_.identity.node);
  }
  return std::exchange(live_, live) != live;
}

bool Liveness::IsLive(const Vm& vm) const {
  if (vm.id == context_.identity.node) {
    return !vm.leaving && !own_.leaving;
  }
  const auto* known = context_.members.FindKnown(vm.id);
  return !vm.leaving && known != nullptr && known->reachable &&
         !known->leaving && !known->gone;
}

void Liveness::OnNewIncarnation(const std::string& node) {
  table_.Erase(node);
  valid_ = false;
}

void Liveness::Forget(const std::string& node) {
  table_.Erase(node);
  valid_ = false;
}

}  // namespace tanagerloom
