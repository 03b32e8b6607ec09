// Defines Settings, what one node process is told at its start.
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
  Address client_listen;
  Address peer_listen;
  Address admin_listen;
  Address platform_address;
  std::vector<std::string> peer_keys;  ///< The first one signs; all verify.
  bool json_logs = true;
  std::size_t event_ring_size = 20000;
  std::chrono::milliseconds platform_timeout{2000};
  std::chrono::milliseconds engine_timeout{2000};
  std::chrono::milliseconds vm_list_interval{500};
  std::chrono::milliseconds heartbeat_interval{200};
  std::chrono::milliseconds peer_timeout{1000};
  std::uint32_t peer_links = 8;
  std::chrono::milliseconds demand_batch_interval{10};
  std::chrono::milliseconds demand_timeout{500};
  std::chrono::milliseconds order_progress_timeout{3000};
  std::chrono::milliseconds sender_gone_timeout{60000};
  std::chrono::milliseconds progress_timeout{5000};  ///< Endpoint silence.
  std::chrono::milliseconds claim_retention{3600000};
  std::chrono::milliseconds quarantine_time{600000};
  std::uint32_t crash_limit = 2;
  std::chrono::milliseconds shutdown_timeout{300000};
  std::uint32_t max_waiting_requests =
      20000;                        ///< Requests queued on this node.
  std::uint32_t max_in_flight = 8;  ///< Requests of one node per replica.
  std::chrono::milliseconds config_poll_interval{3000};
  /// SHA-256 of the token that may apply the first estate file while no
  /// configuration exists; empty forbids it.
  std::string bootstrap_token_sha256;
  /// "cost", "fixed" or "never": how long idle models stay loaded. The last two
  /// are baselines for comparison.
  std::string keep_alive_policy = "cost";
  /// Idle time after which the policy "fixed" unloads a model.
  std::chrono::milliseconds fixed_keep_alive{600000};
};

/// Settings, or every problem of the text.
struct SettingsOutcome {
  Settings settings;
  std::vector<ConfigProblem> problems;  ///< Empty if the settings are valid.
};

/// Reads settings from JSON with comments; an unknown key is a problem.
SettingsOutcome ParseSettings(std::string_view text);

}  // namespace tanagerloom

#endif  // CONFIG_SETTINGS_H_
