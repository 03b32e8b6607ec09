// Defines EndpointMonitor, which reads the load reports and cache events of the
// engines that this node uses.
#ifndef ROUTING_ENDPOINT_MONITOR_H_
#define ROUTING_ENDPOINT_MONITOR_H_

#include <string>

#include "routing/endpoint_table.h"
#include "routing/routing_dependencies.h"

namespace tanagerloom {

/// Keeps the reported load and the cached prefixes of engines up to date.
class EndpointMonitor {
 public:
  EndpointMonitor(const RoutingDependencies& deps, EndpointTable& endpoints);

  void Start();

 private:
  void Loop();
  void Read(const std::string& endpoint);
  void ReadCache(const std::string& endpoint);

  const RoutingDependencies& deps_;
  EndpointTable& endpoints_;
};

}  // namespace tanagerloom

#endif  // ROUTING_ENDPOINT_MONITOR_H_
