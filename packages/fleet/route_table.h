// Defines RouteTable, which finds the route of a request by host and path.
#ifndef FLEET_ROUTE_TABLE_H_
#define FLEET_ROUTE_TABLE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerloom {

struct FleetConfig;
struct Route;
struct RouteTarget;

/// The routes of one configuration, which must outlive the table.
class RouteTable {
 public:
  explicit RouteTable(const FleetConfig& config);

  /// The route of `host` with the longest prefix of `path`; null if none
  /// matches. A port in `host` is ignored, and so is its case.
  const Route* Match(std::string_view host, std::string_view path) const;

 private:
  /// By host; each list has the longest prefix first.
  std::map<std::string, std::vector<const Route*>, std::less<>> routes_by_host_;
};

/// The target that takes a request; `draw` is uniform in [0, 1). Null if the
/// route has no target with a weight.
const RouteTarget* ChooseTarget(const Route& route, double draw);

}  // namespace tanagerloom

#endif  // FLEET_ROUTE_TABLE_H_
