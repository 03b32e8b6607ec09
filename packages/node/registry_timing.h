// Defines how often a node of a registered fleet reads the configuration and
// the list of endpoints.
#ifndef NODE_REGISTRY_TIMING_H_
#define NODE_REGISTRY_TIMING_H_

namespace tanagerloom {

struct FleetBounds;
struct RegistryTiming;

/// Returns the timing of the registry's watches under the platform's limits.
RegistryTiming RegistryTimingFor(const FleetBounds& bounds);

}  // namespace tanagerloom

#endif  // NODE_REGISTRY_TIMING_H_
