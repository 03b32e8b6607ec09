#include "node/registry_timing.h"

#include <algorithm>

#include "node/fleet_settings.h"
#include "ports/object_collection.h"
#include "registry/fleet_registry.h"

namespace tanagerloom {

namespace {

using std::chrono::milliseconds;

// Time for the call that follows a watch without an answer.
constexpr milliseconds kNextCallTime{500};
constexpr milliseconds kMinConfigWatch{1000};
// Max number of configurations that a node reads within the time in which a new
// one must be in force. Each is read as a whole, so a series of changes would
// otherwise take all of the link.
constexpr int kReadsPerConfigDelay = 8;

}  // namespace

// A watch that has gone silent is noticed within the time for which such a
// fault is excused. In a large fleet the list of endpoints changes all the time
// and each watch is answered at once; the pause between two watches takes half
// of the time within which all nodes must know that an endpoint drains.
RegistryTiming RegistryTimingFor(const FleetBounds& bounds) {
  RegistryTiming out;
  out.config.watch_timeout =
      std::max(kMinConfigWatch,
               bounds.max_contact_loss - kWatchAnswerTimeout - kNextCallTime);
  out.config.watch_interval = bounds.max_config_delay / kReadsPerConfigDelay;
  out.max_config_lag = bounds.max_config_delay / 2;
  out.endpoints.watch_timeout = bounds.max_drain_delay / 2 + kNextCallTime;
  out.endpoints.watch_interval = bounds.max_drain_delay / 2;
  return out;
}

}  // namespace tanagerloom
