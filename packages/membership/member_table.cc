#include "membership/member_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace tanagerloom {

namespace {

// These limits bound the memory that a faulty or hostile peer with a valid key
// can make this node use.
constexpr std::size_t kMaxLeavingNotices = 20000;
constexpr std::size_t kMaxRetiredIncarnations = 16;

bool SameVm(const Vm& a, const Vm& b) {
  const auto key = [](const Vm& vm) {
    return std::tie(vm.id, vm.role, vm.address, vm.peer_port, vm.admin_port,
                    vm.data_centre, vm.pool, vm.leaving);
  };
  return key(a) == key(b);
}

}  // namespace

MemberTable::MemberTable(std::string self_id,
                         std::string self_incarnation,
                         Timing timing)
    : self_id_(std::move(self_id)),
      self_incarnation_(std::move(self_incarnation)),
      timing_(timing) {}

bool MemberTable::SetVms(std::vector<Vm> vms, TimePoint now) {
  std::ranges::sort(vms, {}, &Vm::id);
  if (!first_list_at_) {
    first_list_at_ = now;
  }
  last_list_at_ = now;
  const bool changed = !std::ranges::equal(
      vms, vms_, [](const Vm& a, const Vm& b) { return SameVm(a, b); });
  if (changed) {
    const auto previous = std::exchange(node_index_, {});
    vms_ = std::move(vms);
    for (std::size_t i = 0; i < vms_.size(); ++i) {
      if (vms_[i].role == VmRole::kNode) {
        node_index_[vms_[i].id] = i;
        absent_since_.erase(vms_[i].id);
      }
    }
    for (const auto& [id, index] : previous) {
      if (!node_index_.contains(id)) {
        absent_since_.emplace(id, now);
      }
    }
  }
  return changed;
}

const Vm* MemberTable::FindNode(std::string_view id) const {
  const auto it = node_index_.find(id);
  return it == node_index_.end() ? nullptr : &vms_[it->second];
}

std::vector<const Vm*> MemberTable::Nodes() const {
  std::vector<const Vm*> out;
  out.reserve(node_index_.size());
  for (const auto& [id, index] : node_index_) {
    out.push_back(&vms_[index]);
  }
  return out;
}

std::vector<Vm> MemberTable::Vms(TimePoint now) const {
  std::vector<Vm> out = vms_;
  for (auto& it : out) {
    const auto notice = leaving_until_.find(it.id);
    if (notice != leaving_until_.end() && notice->second > now) {
      it.leaving = true;
    }
  }
  return out;
}

const KnownNode* MemberTable::FindKnown(std::string_view node) const {
  const auto it = known_nodes_.find(node);
  return it == known_nodes_.end() ? nullptr : &it->second;
}

IncarnationCheck MemberTable::CheckIncarnation(const std::string& node,
                                               const std::string& incarnation,
                                               bool direct,
                                               TimePoint now) {
  if (node == self_id_ || incarnation.empty()) {
    return IncarnationCheck::kStale;
  }
  auto& known = known_nodes_[node];
  if (known.incarnation == incarnation) {
    return IncarnationCheck::kCurrent;
  }
  // Twice the peer timeout gives the current incarnation time to replace a
  // silent connection.
  const bool current_silent =
      !known.reachable &&
      (!known.last_heard_at ||
       now - *known.last_heard_at > 2 * timing_.peer_timeout);
  const bool state_key = direct && (current_silent || known.gone);
  const bool newer = incarnation > known.incarnation &&
                     !known.retired_incarnations.contains(incarnation);
  if (!known.incarnation.empty() && !newer && !state_key) {
    // A replaced process that still sends messages may also still send orders,
    // so its time starts anew.
    const auto retired_incarnations =
        known.retired_incarnations.find(incarnation);
    if (retired_incarnations != known.retired_incarnations.end()) {
      retired_incarnations->second = now;
    }
    return IncarnationCheck::kStale;
  }
  if (!known.incarnation.empty()) {
    known.retired_incarnations[known.incarnation] = now;
    if (known.retired_incarnations.size() > kMaxRetiredIncarnations) {
      known.retired_incarnations.erase(std::ranges::min_element(
          known.retired_incarnations, {},
          [](const auto& entry) { return entry.second; }));
    }
  }
  known.retired_incarnations.erase(incarnation);
  known.incarnation = incarnation;
  known.incarnation_since = now;
  known.last_direct_at.reset();
  known.leaving = false;
  known.gone = false;
  known.config_version = 0;
  return IncarnationCheck::kNew;
}

void MemberTable::AdjustForPause(Duration gap) {
  for (auto& [node, known] : known_nodes_) {
    for (auto* it : {&known.last_heard_at, &known.last_direct_at}) {
      if (it->has_value()) {
        **it += gap;
      }
    }
  }
}

Duration MemberTable::AbsenceDuration(std::string_view node) const {
  if (!first_list_at_) {
    return Duration::zero();
  }
  // Counts only up to the last list that was read: since then the node may have
  // been listed again.
  const auto it = absent_since_.find(node);
  return last_list_at_ -
         (it == absent_since_.end() ? *first_list_at_ : it->second);
}

bool MemberTable::MayStillRun(std::string_view node_incarnation,
                              TimePoint now) const {
  const auto slash = node_incarnation.find('/');
  const auto node = node_incarnation.substr(0, slash);
  const auto incarnation = slash == std::string_view::npos
                               ? std::string_view()
                               : node_incarnation.substr(slash + 1);
  if (node == self_id_ && incarnation == self_incarnation_) {
    return true;
  }
  const auto* known = FindKnown(node);
  if (known != nullptr && known->incarnation == incarnation) {
    // A node that was heard lately may run even if the list no longer has it.
    const bool heard_lately =
        known->reachable || (known->last_heard_at &&
                             now - *known->last_heard_at < timing_.sender_gone);
    return FindNode(node) != nullptr || heard_lately ||
           AbsenceDuration(node) < timing_.sender_gone;
  }
  if (node == self_id_) {
    return !first_list_at_ || now - *first_list_at_ < timing_.sender_gone;
  }
  if (known != nullptr && !known->incarnation.empty() &&
      incarnation < known->incarnation) {
    // A later process of the same node runs. The earlier one may be on a paused
    // VM, so it may still run until the sender-gone time has passed.
    const auto it = known->retired_incarnations.find(std::string(incarnation));
    const auto since = it == known->retired_incarnations.end()
                           ? known->incarnation_since
                           : it->second;
    return now - since < timing_.sender_gone;
  }
  if (known != nullptr) {
    const auto it = known->retired_incarnations.find(std::string(incarnation));
    if (it != known->retired_incarnations.end()) {
      return now - it->second < timing_.sender_gone;
    }
  }
  return FindNode(node) != nullptr ||
         AbsenceDuration(node) < timing_.sender_gone;
}

bool MemberTable::RecordLeaving(const std::string& endpoint,
                                TimePoint until,
                                TimePoint now) {
  const auto it = leaving_until_.find(endpoint);
  if (it != leaving_until_.end()) {
    const bool known = it->second > now;
    it->second = std::max(it->second, until);
    return !known;
  }
  if (leaving_until_.size() >= kMaxLeavingNotices) {
    return false;
  }
  leaving_until_.emplace(endpoint, until);
  return true;
}

std::map<std::string, TimePoint> MemberTable::LeavingNotices(
    TimePoint now) const {
  std::map<std::string, TimePoint> out;
  for (const auto& [endpoint, until] : leaving_until_) {
    if (until > now) {
      out.emplace(endpoint, until);
    }
  }
  return out;
}

std::vector<std::string> MemberTable::Prune(TimePoint now) {
  std::erase_if(leaving_until_,
                [&](const auto& entry) { return entry.second <= now; });
  std::vector<std::string> forgotten;
  for (auto& [node, known] : known_nodes_) {
    std::erase_if(known.retired_incarnations, [&](const auto& entry) {
      return now - entry.second > 2 * timing_.sender_gone;
    });
    const bool silent = !known.reachable &&
                        (!known.last_heard_at ||
                         now - *known.last_heard_at > 2 * timing_.sender_gone);
    if (silent && FindNode(node) == nullptr &&
        AbsenceDuration(node) > 2 * timing_.sender_gone) {
      forgotten.push_back(node);
    }
  }
  for (const auto& it : forgotten) {
    known_nodes_.erase(it);
    absent_since_.erase(it);
  }
  return forgotten;
}

}  // namespace tanagerloom
