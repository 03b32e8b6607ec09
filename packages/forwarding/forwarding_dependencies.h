// Defines ForwardingDependencies, the objects and settings that forwarding
// uses.
#ifndef FORWARDING_FORWARDING_DEPENDENCIES_H_
#define FORWARDING_FORWARDING_DEPENDENCIES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "fleet/shared_retry_budget.h"

namespace boost::asio {
class io_context;
}

namespace tanagerloom {

class BufferBudget;
class Clock;
class CrashGuard;
class DemandTracker;
class EndpointStatements;
class EventLog;
class FleetRegistry;
class FleetView;
class QuotaGate;
class RequestProtocol;

/// Retry budgets of this node by service.
using SharedRetryBudgets =
    std::map<std::string, SharedRetryBudget, std::less<>>;

/// Dependencies of forwarding; they must outlive it.
struct ForwardingDependencies {
  boost::asio::io_context& io;
  FleetRegistry& registry;
  FleetView& view;
  DemandTracker& demand;
  const RequestProtocol& protocol;
  CrashGuard& crashes;
  EndpointStatements& statements;
  Clock& clock;
  EventLog& log;
  RetryLimits retry_limits;
  /// Number of live nodes, including this one.
  std::function<std::size_t()> live_nodes;
  /// Returns the time at which requests in flight end because the node stops.
  std::function<TimePoint()> stop_at;
  /// Memory for responses of endpoints.
  BufferBudget& buffers;
  QuotaGate& quotas;
};

}  // namespace tanagerloom

#endif  // FORWARDING_FORWARDING_DEPENDENCIES_H_
