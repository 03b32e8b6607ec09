// Defines EndpointMonitor, which reads the load reports and prefix cache events
// of the engines that this node uses.
#ifndef ROUTING_ENDPOINT_MONITOR_H_
#define ROUTING_ENDPOINT_MONITOR_H_

#include <string>

#include "routing/endpoint_table.h"
#include "routing/routing_dependencies.h"

namespace tanagerloom {

/// Keeps the reported load and the cached prefixes of engines in an
/// EndpointTable up to date.
class EndpointMonitor {
 public:
  EndpointMonitor(const RoutingDependencies& deps, EndpointTable& endpoints);

  /// Starts the fiber that reads the reports. It runs until the process ends.
  void Start();

 private:
  /// Body of the fiber: reads some of the recently used engines periodically.
  void Loop();
  /// Reads the load and the cache events of one engine.
  void Read(const std::string& endpoint);
  /// Applies the cache events of one engine since the last read.
  void ReadCache(const std::string& endpoint);

  const RoutingDependencies& deps_;
  EndpointTable& endpoints_;
};

}  // namespace tanagerloom

#endif  // ROUTING_ENDPOINT_MONITOR_H_
