// Defines RunFleetDaemon, the daemon of a node on the users' platform.
#ifndef APPS_TANAGERLOOMD_FLEET_DAEMON_H_
#define APPS_TANAGERLOOMD_FLEET_DAEMON_H_

#include <string>

namespace tanagerloom {

/// Runs a node with the platform's settings until a stop signal, and ends the
/// process. With `check_only` it only checks the settings.
[[noreturn]] void RunFleetDaemon(const std::string& settings_path,
                                 bool check_only);

}  // namespace tanagerloom

#endif  // APPS_TANAGERLOOMD_FLEET_DAEMON_H_
