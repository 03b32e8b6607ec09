// Defines FleetNode, which composes a node of a registered fleet: its endpoints
// and configuration come from the platform's object store.
#ifndef NODE_FLEET_NODE_H_
#define NODE_FLEET_NODE_H_

#include <memory>

#include "base/error.h"
#include "node/fleet_settings.h"
#include "registry/fleet_registry.h"

namespace tanagerloom {

class EngineControl;
class EventLog;
class ObjectCollection;
class ObjectStore;
class RequestProtocol;
class StoreEra;

/// The outside systems of a node. They must outlive it.
struct FleetPorts {
  ObjectStore& store;
  ObjectCollection& collections;
  EngineControl& engines;
  const RequestProtocol& protocol;
  RegistryFormat format;
  StoreEra& store_era;
};

/// A node of a registered fleet.
class FleetNode {
 public:
  FleetNode(FleetSettings settings, FleetPorts ports, EventLog& log);
  ~FleetNode();

  /// Opens the listeners and starts the fibers. Returns once the node listens;
  /// fails if it can't.
  Result<void> Start();

  /// Takes over the bounds of changed settings. Only the shutdown grace applies
  /// at once; all other settings stay as they are until a restart.
  void ReloadSettings(const FleetSettings& settings);

  /// Starts a graceful shutdown and returns at once: the node reports that it
  /// is not ready, serves requests that still arrive, and stops when no request
  /// is in flight or the shutdown grace nears its end. Further calls do
  /// nothing.
  void RequestStop();

  /// Suspends the calling fiber until the shutdown is complete.
  void WaitUntilStopped();

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace tanagerloom

#endif  // NODE_FLEET_NODE_H_
