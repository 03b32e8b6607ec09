#include "membership/link_state_table.h"

#include <utility>

namespace tanagerloom {

LinkStateOutcome LinkStateTable::Apply(const LinkState& report) {
  const auto it = entries_.find(report.node);
  const bool same =
      it != entries_.end() && it->second.incarnation == report.incarnation;
  if (same && report.version <= it->second.version) {
    return LinkStateOutcome::kKnown;
  }
  if (!report.full && (!same || report.version != it->second.version + 1)) {
    return LinkStateOutcome::kMissing;
  }
  auto& entry = entries_[report.node];
  if (report.full) {
    entry.links.clear();
  }
  entry.incarnation = report.incarnation;
  entry.version = report.version;
  entry.leaving = report.leaving;
  entry.gone = report.gone;
  entry.links.insert(report.added.begin(), report.added.end());
  for (const auto& removed : report.removed) {
    entry.links.erase(removed);
  }
  return LinkStateOutcome::kNew;
}

std::vector<LinkState> LinkStateTable::Snapshot() const {
  std::vector<LinkState> out;
  out.reserve(entries_.size());
  for (const auto& [node, entry] : entries_) {
    out.push_back({node,
                   entry.incarnation,
                   entry.version,
                   true,
                   entry.leaving,
                   entry.gone,
                   {entry.links.begin(), entry.links.end()},
                   {}});
  }
  return out;
}

std::set<std::string> LinkStateTable::Reachable(
    const std::set<std::string>& direct) const {
  std::set<std::string> reached = direct;
  std::vector<std::string> unvisited(direct.begin(), direct.end());
  while (!unvisited.empty()) {
    const auto node = std::move(unvisited.back());
    unvisited.pop_back();
    const auto it = entries_.find(node);
    if (it == entries_.end() || it->second.gone) {
      continue;
    }
    for (const auto& next : it->second.links) {
      if (reached.insert(next).second) {
        unvisited.push_back(next);
      }
    }
  }
  return reached;
}

bool LinkStateTable::HasLink(const std::string& node,
                             const std::string& other) const {
  const auto it = entries_.find(node);
  return it != entries_.end() && it->second.links.contains(other);
}

}  // namespace tanagerloom
