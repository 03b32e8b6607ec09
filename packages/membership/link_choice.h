// Defines ChooseLinks, which chooses the mesh links that a node keeps open.
#ifndef MEMBERSHIP_LINK_CHOICE_H_
#define MEMBERSHIP_LINK_CHOICE_H_

#include <cstdint>
#include <set>
#include <span>
#include <string>

namespace tanagerloom {

/// A node to which a link may be kept.
struct LinkCandidate {
  std::string id;
  bool same_data_centre = true;
};

/// Returns the nodes among `others` to which `self` keeps a link: all if there
/// are at most `links`, otherwise those with the highest hash of the pair of
/// ids. The hash is the same at both ends, so that both choose most links. All
/// but a few links lead to nodes of the same data centre, because a flood
/// passes every link and traffic between data centres is charged.
///
/// A link exists if either end chooses it. Each end therefore chooses 3/4 of
/// `links`, so that the mean number of links per node is close to `links`.
std::set<std::string> ChooseLinks(const std::string& self,
                                  std::span<const LinkCandidate> others,
                                  std::uint32_t links);

}  // namespace tanagerloom

#endif  // MEMBERSHIP_LINK_CHOICE_H_
