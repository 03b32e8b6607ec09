// Defines LinkStateTable: what every node reports about its own links, and from
// it which nodes can be reached by any route. A node is unreachable only if no
// chain of working links leads to it, so that one broken path declares nobody
// dead, and a lost data centre disappears as a whole.
#ifndef MEMBERSHIP_LINK_STATE_TABLE_H_
#define MEMBERSHIP_LINK_STATE_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "membership/envelope.h"

namespace tanagerloom {

/// What applying a received link state did.
enum class LinkStateOutcome {
  kNew,      ///< Applied; other nodes may not know it yet.
  kKnown,    ///< Nothing new.
  kMissing,  ///< Earlier changes are missing; a full report is needed.
};

/// The link states of all nodes but this one.
class LinkStateTable {
 public:
  /// Applies a report. The caller has checked the incarnation: a report of
  /// another incarnation than the stored one replaces it and must be full.
  LinkStateOutcome Apply(const LinkState& report);

  /// Full reports of all nodes.
  std::vector<LinkState> Snapshot() const;

  /// The nodes to which a chain of links leads from `direct`.
  std::set<std::string> Reachable(const std::set<std::string>& direct) const;

  /// Whether `node` reports a link to `other`.
  bool Linked(const std::string& node, const std::string& other) const;

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
