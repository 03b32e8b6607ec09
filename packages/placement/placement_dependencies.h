// Defines PlacementDependencies, the components of a node that placement uses.
#ifndef PLACEMENT_PLACEMENT_DEPENDENCIES_H_
#define PLACEMENT_PLACEMENT_DEPENDENCIES_H_

namespace tanagerloom {

class Clock;
class EngineControl;
class EstateSource;
class EventLog;
class ObjectStore;
class PeerNetwork;
struct Settings;

/// The referenced objects must outlive the placement service.
struct PlacementDependencies {
  ObjectStore& store;
  EngineControl& engine_control;
  PeerNetwork& peers;
  EstateSource& estate;
  Clock& clock;
  EventLog& log;
  const Settings& settings;
};

}  // namespace tanagerloom

#endif  // PLACEMENT_PLACEMENT_DEPENDENCIES_H_
