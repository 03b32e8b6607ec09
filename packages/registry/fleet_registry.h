// Defines FleetRegistry, which keeps this node's copy of the configuration and
// the list of endpoints up to date with the platform's object store.
#ifndef REGISTRY_FLEET_REGISTRY_H_
#define REGISTRY_FLEET_REGISTRY_H_

#include <boost/fiber/mutex.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "fleet/customer_index.h"
#include "fleet/endpoint_record.h"
#include "fleet/fleet_config.h"
#include "fleet/route_table.h"
#include "registry/collection_follower.h"
#include "runtime/checkpoint.h"

namespace tanagerloom {

class FleetView;
class PeerNetwork;
class StoreEra;
struct ConfigRequest;
struct ConfigUpdate;
struct DirectoryChange;

/// Names of the platform's objects and functions that decode them.
struct RegistryFormat {
  std::string config_collection;
  std::string config_name;
  std::string endpoint_collection;
  /// Decodes a configuration. Takes over the parts that are the same in
  /// `previous`, which may be null.
  std::function<Result<FleetConfig>(std::shared_ptr<const std::string> text,
                                    const FleetConfig* previous,
                                    const Checkpoint& checkpoint)>
      read_config;
  std::function<Result<EndpointRecord>(const CollectionItem&)> read_endpoint;
};

/// Timing of the registry's two collections.
struct RegistryTiming {
  FollowTiming config;
  FollowTiming endpoints;
  /// How long a peer's configuration may be newer than this node's before this
  /// node requests it from the peer.
  Duration max_config_lag = std::chrono::milliseconds(500);
};

/// The configuration in force and the index of its routes.
struct ConfigInForce {
  ConfigInForce(FleetConfig given, const Checkpoint& checkpoint)
      : config(std::move(given)),
        routes(config, checkpoint),
        customers(config) {}
  ConfigInForce(const ConfigInForce&) = delete;
  ConfigInForce& operator=(const ConfigInForce&) = delete;

  FleetConfig config;
  RouteTable routes;
  CustomerIndex customers;
};

/// Follows the configuration and the list of endpoints. The configuration is
/// never replaced by an older version.
class FleetRegistry {
 public:
  FleetRegistry(ObjectCollection& store,
                const StoreEra& era,
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

  /// Returns whether a peer has a newer configuration in force.
  bool IsBehindPeers() const;

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

  /// Takes a configuration that this node requested from a peer.
  void OnPeerConfig(const ConfigUpdate& update);

  /// Sends the configuration in force to a peer that requests a newer one than
  /// it has.
  void OnConfigRequest(const std::string& peer, const ConfigRequest& request);

 private:
  FollowHandlers ConfigHandlers();
  FollowHandlers EndpointHandlers();
  /// Puts a configuration in force if it is valid and newer. Suspends the
  /// calling fiber while it decodes.
  void ApplyConfig(std::string text, std::string_view source);
  /// Puts a decoded configuration in force, unless a newer one is by now.
  void PutInForce(FleetConfig config,
                  const Checkpoint& checkpoint,
                  std::string_view source);
  std::uint64_t ConfigVersion() const;
  /// Requests the configuration from a peer whose version is newer for too
  /// long, at intervals.
  void CatchUpLoop();
  void CatchUp();
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
  Duration max_config_lag_;
  /// Since when a peer has had a newer configuration.
  std::optional<TimePoint> lagging_since_;
  /// Held while a configuration is decoded, which other fibers may interrupt.
  boost::fibers::mutex apply_mutex_;
  std::shared_ptr<const ConfigInForce> config_;
  bool endpoints_known_ = false;
  bool config_unavailable_ = false;
  bool endpoints_unavailable_ = false;
  bool stopping_ = false;
  std::function<void()> on_config_changed_;
};

}  // namespace tanagerloom

#endif  // REGISTRY_FLEET_REGISTRY_H_
