// Defines FleetConfig, the routes, services and models that an operator offers,
// as one version that is in force as a whole.
#ifndef FLEET_FLEET_CONFIG_H_
#define FLEET_FLEET_CONFIG_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagerloom {

/// What may be repeated of a route's requests.
enum class RequestKind { kIdempotent, kNonIdempotent, kStreaming };

/// One service of a route and its part of the requests.
struct RouteTarget {
  std::string service;
  double weight = 1;
};

/// One route: which requests it takes and how they are served.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  RequestKind kind = RequestKind::kNonIdempotent;
  std::chrono::milliseconds timeout{0};  ///< Longest time to keep it waiting.
  std::chrono::milliseconds latency_goal{0};   ///< Response-time objective.
  std::chrono::milliseconds max_event_gap{0};  ///< Longest pause in a stream.
  std::uint32_t priority = 0;                  ///< 0 is the highest.
  std::uint32_t max_attempts = 1;  ///< Endpoints for one attempt of a client.
  bool resumable = false;          ///< A stream may go on at another endpoint.
  std::vector<RouteTarget> targets;

  /// Whether a request may run more than once.
  bool IsRetryable() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kStreaming && resumable);
  }
};

/// One model of a service's engines.
struct ModelSpec {
  std::string name;
  double weights_mb = 0;
  double adapter_mb = 0;
  std::chrono::milliseconds store_load_time{0};
  std::chrono::milliseconds disk_load_time{0};
  std::chrono::milliseconds memory_load_time{0};
};

/// The model engines of a service; all are alike.
struct EngineSpec {
  std::uint32_t slots = 1;  ///< Requests that run at once.
  double weights_mb = 0;    ///< Memory for weights and adapters.
  std::uint32_t adapter_slots = 0;
  double store_loads_per_s = 0;  ///< Of the weight store, over all engines.
  std::map<std::string, ModelSpec, std::less<>> models;
};

/// One service.
struct FleetService {
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;  ///< To one endpoint, from all callers.
  std::optional<EngineSpec> engine;   ///< Only if its endpoints run models.
};

/// Bounds on what a client may send.
struct ClientLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 4ULL * 1024 * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/// One version of the configuration.
struct FleetConfig {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, FleetService, std::less<>> services;
  ClientLimits limits;

  const FleetService* FindService(std::string_view name) const {
    const auto it = services.find(name);
    return it == services.end() ? nullptr : &it->second;
  }

  const ModelSpec* FindModel(std::string_view service,
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
