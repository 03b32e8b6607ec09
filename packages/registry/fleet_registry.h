// Defines FleetRegistry, which keeps the configuration and the endpoints that
// the platform's store names up to date on this node.
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

/// How the platform writes what the registry reads.
struct RegistryFormat {
  std::string config_collection;
  std::string config_name;
  std::string endpoint_collection;
  std::function<Result<FleetConfig>(std::string_view value)> read_config;
  std::function<Result<EndpointRecord>(const CollectionItem&)> read_endpoint;
};

/// Times of the registry.
struct RegistryTiming {
  FollowTiming config;
  FollowTiming endpoints;
};

/// A configuration in force, with the index of its routes.
struct ConfigInForce {
  explicit ConfigInForce(FleetConfig given)
      : config(std::move(given)), routes(config) {}
  ConfigInForce(const ConfigInForce&) = delete;
  ConfigInForce& operator=(const ConfigInForce&) = delete;

  FleetConfig config;
  RouteTable routes;
};

/// Follows the configuration and the list of endpoints. A version of the
/// configuration is never replaced by an older one.
class FleetRegistry {
 public:
  FleetRegistry(ObjectCollection& store,
                PeerNetwork& peers,
                FleetView& view,
                Clock& clock,
                EventLog& log,
                RegistryFormat format,
                RegistryTiming timing);

  /// Starts the fibers that follow.
  void Start();
  void Stop();

  /// The configuration in force; null if none is known. Requests keep the one
  /// under which they began.
  std::shared_ptr<const ConfigInForce> config() const { return config_; }

  /// Whether the list of endpoints was read.
  bool endpoints_known() const { return endpoints_known_; }

  /// Whether the store answers this node.
  bool store_reachable() const {
    return !config_unavailable_ && !endpoints_unavailable_;
  }

  /// Called after each change of the configuration.
  void OnConfigChanged(std::function<void()> handler) {
    on_config_changed_ = std::move(handler);
  }

  /// Takes a configuration that a peer read from the store.
  void OnPeerConfig(const std::string& text);

 private:
  FollowHandlers ConfigHandlers();
  FollowHandlers EndpointHandlers();
  void ApplyConfig(const std::string& text, std::string_view source);
  void AnnounceConfig(const std::string& text);
  void ApplyEndpoints(const CollectionList& list);
  void ApplyEndpointChanges(const CollectionChanges& changes);
  void PublishChange(const DirectoryChange& change);
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
