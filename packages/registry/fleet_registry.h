// Defines FleetRegistry, which keeps this node's copy of the configuration and
// the list of endpoints up to date with the platform's object store.
#ifndef REGISTRY_FLEET_REGISTRY_H_
#define REGISTRY_FLEET_REGISTRY_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/error.h"
#include "fleet/endpoint_record.h"
#include "fleet/fleet_config.h"
#include "fleet/route_table.h"
#include "registry/collection_follower.h"

namespace tanagerloom {

class FleetView;
class PeerNetwork;
struct DirectoryChange;

/// Names of the platform's objects and functions that decode them.
struct RegistryFormat {
  std::string config_collection;
  std::string config_name;
  std::string endpoint_collection;
  std::function<Result<FleetConfig>(std::string_view value)> read_config;
  std::function<Result<EndpointRecord>(const CollectionItem&)> read_endpoint;
};

/// Timing of the registry's two collections.
struct RegistryTiming {
  FollowTiming config;
  FollowTiming endpoints;
};

/// The configuration in force and the index of its routes.
struct ConfigInForce {
  explicit ConfigInForce(FleetConfig given)
      : config(std::move(given)), routes(config) {}
  ConfigInForce(const ConfigInForce&) = delete;
  ConfigInForce& operator=(const ConfigInForce&) = delete;

  FleetConfig config;
  RouteTable routes;
};

/// Follows the configuration and the list of endpoints. The configuration is
/// never replaced by an older version.
class FleetRegistry {
 public:
  FleetRegistry(ObjectCollection& store,
                PeerNetwork& peers,
                FleetView& view,
                Clock& clock,
                EventLog& log,
                RegistryFormat format,
                RegistryTiming timing);

  /// Starts the fibers that follow the store.
  void Start();
  void Stop();

  /// Returns the configuration in force; null if none is known. A request keeps
  /// the configuration that was in force when it arrived.
  std::shared_ptr<const ConfigInForce> config() const { return config_; }

  /// Returns whether the list of endpoints was read at least once.
  bool endpoints_known() const { return endpoints_known_; }

  /// Returns whether the store answers this node's calls.
  bool store_reachable() const {
    return !config_unavailable_ && !endpoints_unavailable_;
  }

  /// Sets the handler that is called after each change of the configuration.
  void OnConfigChanged(std::function<void()> handler) {
    on_config_changed_ = std::move(handler);
  }

  /// Takes a configuration that a peer read from the store.
  void OnPeerConfig(const std::string& text);

 private:
  FollowHandlers ConfigHandlers();
  FollowHandlers EndpointHandlers();
  /// Puts a configuration in force if it is valid and newer.
  void ApplyConfig(const std::string& text, std::string_view source);
  void AnnounceConfig(const std::string& text);
  void ApplyEndpoints(const CollectionList& list);
  void ApplyEndpointChanges(const CollectionChanges& changes);
  /// Logs a change of the endpoints and wakes waiting requests.
  void PublishChange(const DirectoryChange& change);
  /// Removes endpoints whose grace time has passed, at intervals.
  void ExpireLoop();

  PeerNetwork& peers_;
  FleetView& view_;
  Clock& clock_;
  EventLog& log_;
  RegistryFormat format_;
  CollectionFollower config_follower_;
  CollectionFollower endpoint_follower_;
  std::shared_ptr<const ConfigInForce> config_;
  bool endpoints_known_ = false;
  bool config_unavailable_ = false;
  bool endpoints_unavailable_ = false;
  bool stopping_ = false;
  std::function<void()> on_config_changed_;
};

}  // namespace tanagerloom

#endif  // REGISTRY_FLEET_REGISTRY_H_
