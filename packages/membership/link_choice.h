// Defines the choice of the links that a node keeps open.
#ifndef MEMBERSHIP_LINK_CHOICE_H_
#define MEMBERSHIP_LINK_CHOICE_H_

#include <cstdint>
#include <set>
#include <span>
#include <string>

namespace tanagerloom {

/// A node that a link may be kept to.
struct LinkCandidate {
  std::string id;
  bool same_data_centre = true;
};

/// The nodes among `others` that `self` keeps a link to: all if there are at
/// most `links`, otherwise those with the highest hash of the pair. The hash is
/// the same from both ends, so that most links are chosen by both. All but a
/// few links lead to nodes of the same data centre: a flood passes each link,
/// and traffic between data centres has a price.
///
/// A link exists if either end chooses it, so each end chooses 3/4 of `links`:
/// the mean number of links of a node then is close to `links`.
std::set<std::string> ChooseLinks(const std::string& self,
                                  std::span<const LinkCandidate> others,
                                  std::uint32_t links);

}  // namespace tanagerloom

#endif  // MEMBERSHIP_LINK_CHOICE_H_
