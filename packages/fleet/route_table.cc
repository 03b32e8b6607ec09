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

RouteTable::RouteTable(const FleetConfig& config) {
  for (const auto& it : config.routes) {
    routes_by_host_[NormalizeHost(it.host)].push_back(&it);
  }
  for (auto& [host, routes] : routes_by_host_) {
    std::ranges::stable_sort(routes, [](const Route* a, const Route* b) {
      return a->path_prefix.size() > b->path_prefix.size();
    });
  }
}

const Route* RouteTable::Match(std::string_view host,
                               std::string_view path) const {
  const auto routes = routes_by_host_.find(NormalizeHost(host));
  if (routes == routes_by_host_.end()) {
    return nullptr;
  }
  const auto it = std::ranges::find_if(routes->second, [&](const Route* route) {
    return path.starts_with(route->path_prefix);
  });
  return it == routes->second.end() ? nullptr : *it;
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
