// Defines Settings, the start-up settings of one node process.
#ifndef CONFIG_SETTINGS_H_
#define CONFIG_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/address.h"
#include "base/error.h"
#include "config/problem.h"

namespace tanagerloom {

/// Settings of one `tanagerloomd`. docs/settings.md lists each with its unit,
/// default and range.
struct Settings {
  std::string node_id;
  std::string data_centre;
  std::string region;
  Address client_listen;     ///< Where the node accepts requests of clients.
  Address peer_listen;       ///< Where the node accepts connections of peers.
  Address admin_listen;      ///< Where AdminServer listens.
  Address platform_address;  ///< Address of the platform's HTTP API.
  /// Keys that authenticate peers: the first one signs, all of them verify.
  std::vector<std::string> peer_keys;
  bool json_logs = true;                ///< Whether log lines are JSON.
  std::size_t event_ring_size = 20000;  ///< Events kept for the timeline.
  /// Limit on one call to the platform.
  std::chrono::milliseconds platform_timeout{2000};
  /// Limit on one call to the control API of an engine.
  std::chrono::milliseconds engine_timeout{2000};
  /// Time between two reads of the platform's VM list.
  std::chrono::milliseconds vm_list_interval{500};
  /// Time between two heartbeats to a peer.
  std::chrono::milliseconds heartbeat_interval{200};
  /// Silence after which a peer counts as unreachable.
  std::chrono::milliseconds peer_timeout{1000};
  /// Number of peers to which this node opens connections.
  std::uint32_t peer_links = 8;
  /// Time for which new demand is collected before it is handled.
  std::chrono::milliseconds demand_batch_interval{10};
  /// Time without acknowledgement of its demand after which a node acts without
  /// the coordinator.
  std::chrono::milliseconds demand_timeout{500};
  /// Time without visible progress after which an order counts as lost. A
  /// placement controller whose view of its record is older reads it again
  /// before it sends an order.
  std::chrono::milliseconds order_progress_timeout{3000};
  /// Absence after which a node process, whose orders may still take effect, or
  /// an engine that is not listed counts as gone.
  std::chrono::milliseconds sender_gone_timeout{60000};
  /// Silence of an endpoint after which an attempt fails.
  std::chrono::milliseconds progress_timeout{5000};
  /// Time for which claims of idempotency keys are kept.
  std::chrono::milliseconds claim_retention{3600000};
  /// Time for which a request that crashed endpoints is refused.
  std::chrono::milliseconds quarantine_time{600000};
  /// Crashes after which a request is quarantined.
  std::uint32_t crash_limit = 2;
  /// Limit on the duration of a graceful shutdown.
  std::chrono::milliseconds shutdown_timeout{300000};
  /// Limit on the requests queued on this node.
  std::uint32_t max_waiting_requests = 20000;
  /// Limit on the requests of this node in flight per replica.
  std::uint32_t max_in_flight = 8;
  /// Time between two polls of the configuration.
  std::chrono::milliseconds config_poll_interval{3000};
  /// SHA-256 of the token that may apply the first estate file while no
  /// configuration exists; empty forbids it.
  std::string bootstrap_token_sha256;
  /// Policy for how long idle models stay loaded: "cost", "fixed" or "never".
  /// The last two are baselines for comparison.
  std::string keep_alive_policy = "cost";
  /// Idle time after which the policy "fixed" unloads a model.
  std::chrono::milliseconds fixed_keep_alive{600000};
};

/// Settings, or all problems of their text.
struct SettingsOutcome {
  Settings settings;
  std::vector<ConfigProblem> problems;  ///< Empty if the settings are valid.
};

/// Parses settings from JSON with comments. An unknown key is a problem.
SettingsOutcome ParseSettings(std::string_view text);

}  // namespace tanagerloom

#endif  // CONFIG_SETTINGS_H_
