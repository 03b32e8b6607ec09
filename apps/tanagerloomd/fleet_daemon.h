// Defines RunFleetDaemon, the main function of tanagerloomd for a node whose
// endpoints and configuration are registered in the platform's object store.
#ifndef APPS_TANAGERLOOMD_FLEET_DAEMON_H_
#define APPS_TANAGERLOOMD_FLEET_DAEMON_H_

#include <string>

namespace tanagerloom {

/// Reads the settings file in the platform's format, runs a node until a stop
/// signal arrives and exits the process: with status 0 after a graceful
/// shutdown, 1 if the node can't start, 2 if the settings are invalid. With
/// `check_only` it only checks the settings.
[[noreturn]] void RunFleetDaemon(const std::string& settings_path,
                                 bool check_only);

}  // namespace tanagerloom

#endif  // APPS_TANAGERLOOMD_FLEET_DAEMON_H_
