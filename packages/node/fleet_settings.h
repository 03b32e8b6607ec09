// Defines FleetSettings, what a node of a registered fleet is told at its
// start.
#ifndef NODE_FLEET_SETTINGS_H_
#define NODE_FLEET_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "base/address.h"
#include "fleet/shared_retry_budget.h"

namespace tanagerloom {

/// Bounds that the platform sets for all nodes.
struct FleetBounds {
  std::chrono::milliseconds grace{8000};     ///< From SIGTERM to SIGKILL.
  std::chrono::milliseconds drain{2000};     ///< For a leaving endpoint.
  std::chrono::milliseconds config{2000};    ///< For a new configuration.
  std::chrono::milliseconds contact{3000};   ///< A fault excuses for this long.
  std::chrono::milliseconds handover{3000};  ///< Between two order holders.
  std::chrono::milliseconds load_window{5000};  ///< Of loads from the store.
  RetryLimits repeats;
};

/// Settings of one node.
struct FleetSettings {
  std::string node_id;
  std::string data_centre;
  std::string region;
  Address client_listen;
  Address readiness_listen;
  Address control_listen;  ///< Metrics and status; port 0: not served.
  Address peer_listen;
  Address store;
  FleetBounds bounds;
};

}  // namespace tanagerloom

#endif  // NODE_FLEET_SETTINGS_H_
