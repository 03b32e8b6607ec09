// Defines LinkStateTable, which stores what each node reports about its links
// and computes from it which nodes are reachable. A node is unreachable only if
// no chain of working links leads to it. So a single broken path makes no node
// unreachable, and all nodes of a lost data centre become unreachable together.
#ifndef MEMBERSHIP_LINK_STATE_TABLE_H_
#define MEMBERSHIP_LINK_STATE_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "membership/envelope.h"

namespace tanagerloom {

/// The result of applying a received link state.
enum class LinkStateOutcome {
  kNew,      ///< Applied; it must be forwarded to other nodes.
  kKnown,    ///< Already applied.
  kMissing,  ///< An earlier change is missing; a full report is needed.
};

/// The link states of all nodes except this one.
class LinkStateTable {
 public:
  /// Applies a report, whose incarnation the caller has checked. A report of
  /// another incarnation than the stored one replaces the entry and must be
  /// full.
  LinkStateOutcome Apply(const LinkState& report);

  /// Returns a full report for each node.
  std::vector<LinkState> Snapshot() const;

  /// Returns the nodes to which a chain of links leads from `direct`, including
  /// the nodes of `direct`.
  std::set<std::string> Reachable(const std::set<std::string>& direct) const;

  /// Returns whether `node` reports a link to `other`.
  bool HasLink(const std::string& node, const std::string& other) const;

  void Erase(const std::string& node) { entries_.erase(node); }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::string incarnation;
    std::uint64_t version = 0;
    bool leaving = false;
    bool gone = false;
    std::set<std::string> links;
  };

  std::map<std::string, Entry> entries_;
};

}  // namespace tanagerloom

#endif  // MEMBERSHIP_LINK_STATE_TABLE_H_
