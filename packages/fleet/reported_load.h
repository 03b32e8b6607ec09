// Defines ReportedLoad, the load that an endpoint reports in a response.
#ifndef FLEET_REPORTED_LOAD_H_
#define FLEET_REPORTED_LOAD_H_

#include <cstdint>
#include <optional>

namespace tanagerloom {

/// Load of one endpoint at the time of a response, over all nodes.
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  /// Time that work takes on its machine now, relative to the usual time. Not
  /// set if the endpoint does not report it.
  std::optional<double> slowness;

  bool operator==(const ReportedLoad&) const = default;
};

}  // namespace tanagerloom

#endif  // FLEET_REPORTED_LOAD_H_
