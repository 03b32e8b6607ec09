// Defines FleetConfig, one version of the routes, services and models that an
// operator offers. A version takes effect as a whole.
#ifndef FLEET_FLEET_CONFIG_H_
#define FLEET_FLEET_CONFIG_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/customer.h"

namespace tanagerloom {

/// Kind of a route's requests, which decides whether they may be retried.
enum class RequestKind { kIdempotent, kNonIdempotent, kStreaming };

/// One service of a route and its relative share of the requests.
struct RouteTarget {
  std::string service;
  double weight = 1;
};

/// One route: which requests it matches and how they are served.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  RequestKind kind = RequestKind::kNonIdempotent;
  /// Maximum time to serve a request; 0 sets none.
  std::chrono::milliseconds timeout{0};
  std::chrono::milliseconds latency_goal{0};  ///< Response-time objective.
  /// Maximum gap between events of a stream.
  std::chrono::milliseconds max_event_gap{0};
  std::uint32_t priority = 0;  ///< 0 is the highest.
  /// Maximum endpoints that may run one client request.
  std::uint32_t max_attempts = 1;
  bool resumable = false;  ///< A stream may continue at another endpoint.
  bool is_public = false;  ///< Admits requests without an API key.
  std::vector<RouteTarget> targets;

  /// Returns whether a request may run more than once.
  bool IsRetryable() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kStreaming && resumable);
  }
};

/// One model that the engines of a service can load.
struct FleetModel {
  std::string name;
  double weights_mb = 0;
  double adapter_mb = 0;
  std::chrono::milliseconds store_load_time{0};
  std::chrono::milliseconds disk_load_time{0};
  std::chrono::milliseconds memory_load_time{0};
};

/// Properties of the model engines of a service, which are all alike.
struct EngineSpec {
  std::uint32_t slots = 1;  ///< Maximum concurrent requests per engine.
  double weights_mb = 0;    ///< Memory per engine for weights and adapters.
  std::uint32_t adapter_slots = 0;
  /// Rate limit of the weight store, over all engines.
  double store_loads_per_s = 0;
  std::map<std::string, FleetModel, std::less<>> models;
};

/// One service.
struct FleetService {
  std::string name;
  std::string health_path;
  /// Connections to one endpoint, from all nodes.
  std::uint32_t max_connections = 0;
  std::optional<EngineSpec> engine;  ///< Set only if the endpoints run models.
};

/// Limits on client requests and connections.
struct ClientLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 4ULL * 1024 * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/// One route or service, with the text that it was decoded from. Versions share
/// the values of parts that are the same in both, since a version may have
/// thousands of routes and differ in one.
template <typename Value>
struct ConfigPart {
  std::string_view source;  ///< Part of FleetConfig::text.
  std::shared_ptr<const Value> value;
};

template <typename Value>
using ConfigParts = std::vector<ConfigPart<Value>>;

/// One version of the configuration.
struct FleetConfig {
  std::uint64_t version = 0;
  ConfigParts<Route> routes;
  ConfigParts<FleetService> services;
  /// Whether requests on routes that are not public need an API key. True with
  /// an empty list of customers too: the last key was revoked.
  bool needs_keys = false;
  ConfigParts<Customer> customers;
  ClientLimits limits;
  /// Text of the whole version, for nodes that cannot read it from the store.
  std::shared_ptr<const std::string> text;

  const FleetService* FindService(std::string_view name) const {
    for (const auto& it : services) {
      if (it.value->name == name) {
        return it.value.get();
      }
    }
    return nullptr;
  }

  const FleetModel* FindModel(std::string_view service,
                              std::string_view model) const {
    const auto* found = FindService(service);
    if (found == nullptr || !found->engine) {
      return nullptr;
    }
    const auto it = found->engine->models.find(model);
    return it == found->engine->models.end() ? nullptr : &it->second;
  }
};

}  // namespace tanagerloom

#endif  // FLEET_FLEET_CONFIG_H_
