// Defines FleetNode, the composition of a node that serves a registered fleet:
// endpoints and configuration come from the platform's store.
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

/// The outside systems of a node; they outlive it.
struct FleetPorts {
  ObjectStore& store;
  ObjectCollection& collections;
  EngineControl& engines;
  const RequestProtocol& protocol;
  RegistryFormat format;
};

/// One node. Start() returns once it listens.
class FleetNode {
 public:
  FleetNode(FleetSettings settings, FleetPorts ports, EventLog& log);
  ~FleetNode();

  Result<void> Start();

  /// Takes changed settings. Addresses stay as they are until a restart.
  void Reload(const FleetSettings& settings);

  /// Starts a graceful shutdown: the node says that it is not ready, serves
  /// what still comes, and ends when everything in progress is answered.
  void RequestStop();

  /// Suspends the calling fiber until the shutdown is complete.
  void WaitUntilStopped();

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace tanagerloom

#endif  // NODE_FLEET_NODE_H_
