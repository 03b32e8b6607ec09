#include "fleet/route_table.h"

#include <algorithm>
#include <cctype>

#include "fleet/fleet_config.h"

namespace tanagerloom {

namespace {

std::string NormalizeHost(std::string_view host) {
  std::string out(host.substr(0, host.find(':')));
  std::ranges::transform(out, out.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return out;
}

}  // namespace

RouteTable::RouteTable(const FleetConfig& config,
                       const Checkpoint& checkpoint) {
  std::size_t n = 0;
  for (const auto& it : config.routes) {
    const auto& route = *it.value;
    auto& host = routes_by_host_[NormalizeHost(route.host)];
    host.by_prefix.emplace(route.path_prefix, &route);
    host.longest_prefix =
        std::max(host.longest_prefix, route.path_prefix.size());
    if (++n % kCheckpointRoutes == 0) {
      checkpoint();
    }
  }
}

const Route* RouteTable::Match(std::string_view host,
                               std::string_view path) const {
  const auto routes = routes_by_host_.find(NormalizeHost(host));
  if (routes == routes_by_host_.end()) {
    return nullptr;
  }
  // Every prefix ends with a slash, so only those parts of the path can match.
  const auto& [by_prefix, longest_prefix] = routes->second;
  auto prefix = path.substr(0, longest_prefix);
  while (true) {
    const auto slash = prefix.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    const auto it = by_prefix.find(prefix.substr(0, slash + 1));
    if (it != by_prefix.end()) {
      return it->second;
    }
    prefix = prefix.substr(0, slash);
  }
}

const RouteTarget* ChooseTarget(const Route& route, double draw) {
  double total = 0;
  for (const auto& it : route.targets) {
    total += std::max(0.0, it.weight);
  }
  double left = draw * total;
  const RouteTarget* last = nullptr;
  for (const auto& it : route.targets) {
    if (it.weight <= 0) {
      continue;
    }
    last = &it;
    left -= it.weight;
    if (left < 0) {
      break;
    }
  }
  return last;
}

}  // namespace tanagerloom
