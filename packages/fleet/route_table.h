// Defines RouteTable, which finds the route of a request by host and path
// prefix.
#ifndef FLEET_ROUTE_TABLE_H_
#define FLEET_ROUTE_TABLE_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "runtime/checkpoint.h"

namespace tanagerloom {

struct FleetConfig;
struct Route;
struct RouteTarget;

/// Index of the routes of one configuration, which must outlive the table. The
/// time to match a request does not depend on the number of routes.
class RouteTable {
 public:
  /// Calls `checkpoint` after every kCheckpointRoutes routes.
  explicit RouteTable(const FleetConfig& config,
                      const Checkpoint& checkpoint = NoCheckpoint());

  static constexpr std::size_t kCheckpointRoutes = 256;

  /// Returns the route of `host` with the longest matching prefix of `path`;
  /// null if none matches. The port and the case of `host` are ignored.
  const Route* Match(std::string_view host, std::string_view path) const;

 private:
  struct HostRoutes {
    std::unordered_map<std::string_view, const Route*> by_prefix;
    std::size_t longest_prefix = 0;
  };

  std::map<std::string, HostRoutes, std::less<>> routes_by_host_;
};

/// Returns the target for a request by weighted random choice; `draw` is
/// uniform in [0, 1). Returns null if no target has a positive weight.
const RouteTarget* ChooseTarget(const Route& route, double draw);

}  // namespace tanagerloom

#endif  // FLEET_ROUTE_TABLE_H_
