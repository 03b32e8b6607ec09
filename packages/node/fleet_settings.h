// Defines FleetSettings, the settings of one node of a registered fleet.
#ifndef NODE_FLEET_SETTINGS_H_
#define NODE_FLEET_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "base/address.h"
#include "fleet/quota_reserve.h"
#include "fleet/shared_retry_budget.h"

namespace tanagerloom {

/// Limits that the platform sets for all nodes.
struct FleetBounds {
  /// Time from SIGTERM to SIGKILL.
  std::chrono::milliseconds shutdown_grace{8000};
  /// Silence of an endpoint after which the platform removes its entry.
  std::chrono::milliseconds max_endpoint_silence{3600};
  /// Max time until all nodes know that an endpoint drains.
  std::chrono::milliseconds max_drain_delay{2000};
  /// Max time until a new configuration is in force at all nodes.
  std::chrono::milliseconds max_config_delay{2000};
  /// Max time for which a connection fault excuses a node from its guarantees.
  /// A connection that goes silent must be noticed within it.
  std::chrono::milliseconds max_contact_loss{3000};
  /// Min time between the last order of one holder of the order lease and the
  /// first order of the next.
  std::chrono::milliseconds order_handover_gap{3000};
  /// Time window of the rate limit on loads from the weight store.
  std::chrono::milliseconds load_rate_window{5000};
  RetryLimits retry_limits;  ///< For the retries of all nodes together.
  QuotaReserve quota_reserve;
  /// Max time until a revoked API key is refused at all nodes.
  std::chrono::milliseconds max_revoke_delay{5000};
};

/// Settings of one node of a registered fleet.
struct FleetSettings {
  std::string node_id;
  std::string data_centre;
  std::string region;
  Address client_listen;
  Address readiness_listen;
  Address control_listen;  ///< Serves the metrics; port 0 disables it.
  Address peer_listen;
  Address store;  ///< Of the platform's object store.
  FleetBounds bounds;
  /// Memory of the VM, which the process must not exceed.
  std::uint64_t memory_bytes = 160ULL * 1024 * 1024;
  double processors = 0;  ///< Of the VM, may be a part of one; 0 if unknown.
  /// Number of sockets that the process may open; 0 if it is not limited.
  std::size_t max_sockets = 0;
};

}  // namespace tanagerloom

#endif  // NODE_FLEET_SETTINGS_H_
