#include "membership/link_choice.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "base/id.h"

namespace tanagerloom {

namespace {

// Links that a node of a data centre with many nodes chooses to others; all its
// nodes together have enough. In a small data centre each chooses more.
constexpr std::size_t kLinksToOthers = 1;

using Ranked = std::vector<std::pair<std::uint64_t, const std::string*>>;

std::uint64_t PairHash(const std::string& a, const std::string& b) {
  const auto& [low, high] = std::minmax(a, b);
  std::string pair = low;
  pair += '\n';
  pair += high;
  return StableHash(pair);
}

void TakeHighest(Ranked ranked, std::size_t n, std::set<std::string>& out) {
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
  Ranked near;
  Ranked far;
  for (const auto& it : others) {
    auto& ranked = it.same_data_centre ? near : far;
    ranked.emplace_back(PairHash(self, it.id), &it.id);
  }
  const std::size_t n = std::max<std::size_t>(1, (links * 3 + 3) / 4);
  const auto to_far = std::min(
      far.size(), std::max(kLinksToOthers, n - std::min(n, near.size())));
  const auto to_near = std::min(near.size(), n - std::min(n, to_far));
  TakeHighest(std::move(near), to_near, out);
  TakeHighest(std::move(far), to_far, out);
  return out;
}

}  // namespace tanagerloom
