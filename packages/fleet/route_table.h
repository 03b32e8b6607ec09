// Defines RouteTable, which finds the route of a request by host and path
// prefix.
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

/// Index of the routes of one configuration, which must outlive the table.
class RouteTable {
 public:
  explicit RouteTable(const FleetConfig& config);

  /// Returns the route of `host` with the longest matching prefix of `path`;
  /// null if none matches. The port and the case of `host` are ignored.
  const Route* Match(std::string_view host, std::string_view path) const;

 private:
  /// Routes by normalized host, each list ordered by descending prefix length.
  std::map<std::string, std::vector<const Route*>, std::less<>> routes_by_host_;
};

/// Returns the target for a request by weighted random choice; `draw` is
/// uniform in [0, 1). Returns null if no target has a positive weight.
const RouteTarget* ChooseTarget(const Route& route, double draw);

}  // namespace tanagerloom

#endif  // FLEET_ROUTE_TABLE_H_
