#include "membership/link_choice.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "base/id.h"

namespace tanagerloom {

namespace {

// Minimum number of links that a node chooses to other data centres. In a data
// centre with many nodes it is enough, because all its nodes have such links.
// In a small one, each node chooses more.
constexpr std::size_t kMinLinksToOtherDataCentres = 1;

using RankedIds = std::vector<std::pair<std::uint64_t, const std::string*>>;

std::uint64_t PairHash(const std::string& a, const std::string& b) {
  const auto& [low, high] = std::minmax(a, b);
  std::string pair = low;
  pair += '\n';
  pair += high;
  return StableHash(pair);
}

void InsertHighest(RankedIds ranked,
                   std::size_t n,
                   std::set<std::string>& out) {
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(n);
  std::ranges::partial_sort(ranked, end, std::greater<>());
  for (auto it = ranked.begin(); it != end; ++it) {
    out.insert(*it->second);
  }
}

}  // namespace

std::set<std::string> ChooseLinks(const std::string& self,
                                  std::span<const LinkCandidate> others,
                                  std::uint32_t links) {
  std::set<std::string> out;
  if (others.size() <= links) {
    for (const auto& it : others) {
      out.insert(it.id);
    }
    return out;
  }
  RankedIds nearby;
  RankedIds remote;
  for (const auto& it : others) {
    auto& ranked = it.same_data_centre ? nearby : remote;
    ranked.emplace_back(PairHash(self, it.id), &it.id);
  }
  const std::size_t n = std::max<std::size_t>(1, (links * 3 + 3) / 4);
  const auto to_remote = std::min(
      remote.size(),
      std::max(kMinLinksToOtherDataCentres, n - std::min(n, nearby.size())));
  const auto to_nearby = std::min(nearby.size(), n - std::min(n, to_remote));
  InsertHighest(std::move(nearby), to_nearby, out);
  InsertHighest(std::move(remote), to_remote, out);
  return out;
}

}  // namespace tanagerloom
