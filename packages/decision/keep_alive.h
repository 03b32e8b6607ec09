// Defines the keep-alive policies, which decide whether an idle model stays
// loaded and whether a model is loaded ahead of its next request.
#ifndef DECISION_KEEP_ALIVE_H_
#define DECISION_KEEP_ALIVE_H_

#include <cstdint>
#include <string_view>
#include <variant>

#include "decision/arrival_history.h"

namespace tanagerloom {

/// Weighs the cost of cold starts against the cost of idle time, by the costs
/// of the pool and the arrival history of the model.
struct CostKeepAlive {};

/// Unloads a model after a fixed idle time, evicts the least recently used
/// model and loads in the order of arrival. A baseline for comparison.
struct FixedKeepAlive {
  double idle_s = 600;  ///< Idle time after which a model is unloaded.
};

/// Unloads an idle model only to make room for another one. A baseline for
/// comparison.
struct NeverUnload {};

using KeepAlivePolicy =
    std::variant<CostKeepAlive, FixedKeepAlive, NeverUnload>;

/// Returns the policy that a setting names: "cost", "fixed" or "never"; any
/// other name means "cost".
KeepAlivePolicy ParseKeepAlivePolicy(std::string_view name,
                                     double fixed_idle_s);

/// The costs of one model.
struct KeepAliveCosts {
  double cold_start_s = 5;           ///< Duration of a cold start.
  double cold_start_cost_per_s = 1;  ///< Cost of waiting for a cold start.
  double idle_cost_per_hour = 1;     ///< Cost of a loaded, idle model.
};

/// Whether an idle loaded model should be unloaded.
bool ShouldUnload(const KeepAlivePolicy& policy,
                  const ArrivalHistory& history,
                  const KeepAliveCosts& costs,
                  std::uint64_t now_ms);

/// Whether a model that is not loaded should be loaded before a request
/// arrives.
bool ShouldPrewarm(const KeepAlivePolicy& policy,
                   const ArrivalHistory& history,
                   const KeepAliveCosts& costs,
                   std::uint64_t now_ms);

}  // namespace tanagerloom

#endif  // DECISION_KEEP_ALIVE_H_
