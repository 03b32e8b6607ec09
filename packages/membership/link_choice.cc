#include "membership/link_choice.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "base/id.h"

namespace tanagerloom {

std::set<std::string> ChooseLinks(const std::string& self,
                                  const std::vector<std::string>& others,
                                  std::uint32_t links) {
  if (others.size() <= links) {
    return {others.begin(), others.end()};
  }
  std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
  ranked.reserve(others.size());
  for (const auto& it : others) {
    const auto& [low, high] = std::minmax(self, it);
    std::string pair = low;
    pair += '\n';
    pair += high;
    ranked.emplace_back(StableHash(pair), &it);
  }
  const std::size_t n = std::max<std::size_t>(1, (links * 3 + 3) / 4);
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(n);
  std::ranges::partial_sort(ranked, end, std::greater<>());
  std::set<std::string> out;
  for (auto it = ranked.begin(); it != end; ++it) {
    out.insert(*it->second);
  }
  return out;
}

}  // namespace tanagerloom
