// Defines the keep-alive policies: whether an idle model stays loaded, and
// whether an unloaded one is loaded ahead of its next request.
#ifndef DECISION_KEEP_ALIVE_H_
#define DECISION_KEEP_ALIVE_H_

#include <cstdint>
#include <string_view>
#include <variant>

#include "decision/arrival_history.h"

namespace tanagerloom {

/// Weighs cold starts against idle time by the pool's costs and the model's
/// arrival history.
struct CostKeepAlive {};

/// Unloads after a fixed idle time, evicts the least recently used model and
/// loads in the order of arrival. For comparison.
struct FixedKeepAlive {
  double idle_s = 600;
};

/// Never unloads an idle model except to make room. For comparison.
struct NeverUnload {};

using KeepAlivePolicy =
    std::variant<CostKeepAlive, FixedKeepAlive, NeverUnload>;

/// The policy of a setting: "cost", "fixed" or "never"; others are "cost".
KeepAlivePolicy ParseKeepAlivePolicy(std::string_view name,
                                     double fixed_idle_s);

/// Costs of one model.
struct KeepAliveCosts {
  double cold_start_s = 5;
  double cold_start_cost_per_s = 1;
  double idle_cost_per_hour = 1;
};

/// Whether a model that is idle now should be unloaded.
bool ShouldUnload(const KeepAlivePolicy& policy,
                  const ArrivalHistory& history,
                  const KeepAliveCosts& costs,
                  std::uint64_t now_ms);

/// Whether a model that is not loaded should be loaded ahead of demand.
bool ShouldPrewarm(const KeepAlivePolicy& policy,
                   const ArrivalHistory& history,
                   const KeepAliveCosts& costs,
                   std::uint64_t now_ms);

}  // namespace tanagerloom

#endif  // DECISION_KEEP_ALIVE_H_
