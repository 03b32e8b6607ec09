// Defines RoutingDependencies, the interfaces to the rest of the node that the
// request path uses.
#ifndef ROUTING_ROUTING_DEPENDENCIES_H_
#define ROUTING_ROUTING_DEPENDENCIES_H_

namespace tanagerloom {

class Clock;
class EngineControl;
class EstateSource;
class EventLog;
class HttpClient;
class ObjectStore;
class PeerNetwork;
class PlacementView;
struct Settings;

/// References to the services of the node. Each referenced object must outlive
/// the ClientApi.
struct RoutingDependencies {
  HttpClient& http_client;
  PlacementView& placement;
  PeerNetwork& peers;
  ObjectStore& objects;
  EstateSource& estate;
  EngineControl& engines;
  Clock& clock;
  EventLog& log;
  const Settings& settings;
};

}  // namespace tanagerloom

#endif  // ROUTING_ROUTING_DEPENDENCIES_H_
