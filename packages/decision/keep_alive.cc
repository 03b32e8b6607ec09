#include "decision/keep_alive.h"

#include <algorithm>

namespace tanagerloom {

namespace {

constexpr double kSecondsPerHour = 3600;
// A model is unloaded if the payoff of keeping it loaded is below the first
// factor and loaded ahead if it is above the second. The range between them
// keeps a model near the break-even point from being loaded and unloaded in
// turn.
constexpr double kKeepFactor = 0.7;
constexpr double kPrewarmFactor = 1.5;

// Returns the expected cold start cost that a model saves by being loaded in
// the window that starts at idle time `from_s`, divided by the idle cost in
// this window. Above 1, the model is worth being loaded.
double Payoff(const ArrivalHistory& history,
              const KeepAliveCosts& costs,
              double from_s) {
  const double window_s =
      std::max(2 * costs.cold_start_s, history.WindowSeconds(from_s));
  const auto chance = history.EstimateArrival(from_s, window_s);
  const double saved =
      chance.probability * costs.cold_start_s * costs.cold_start_cost_per_s;
  const double idle =
      chance.mean_idle_s / kSecondsPerHour * costs.idle_cost_per_hour;
  return idle > 0 ? saved / idle : saved;
}

}  // namespace

KeepAlivePolicy ParseKeepAlivePolicy(std::string_view name,
                                     double fixed_idle_s) {
  if (name == "fixed") {
    return FixedKeepAlive{fixed_idle_s};
  }
  if (name == "never") {
    return NeverUnload{};
  }
  return CostKeepAlive{};
}

bool ShouldUnload(const KeepAlivePolicy& policy,
                  const ArrivalHistory& history,
                  const KeepAliveCosts& costs,
                  std::uint64_t now_ms) {
  const auto idle_s = history.IdleSeconds(now_ms);
  if (const auto* fixed = std::get_if<FixedKeepAlive>(&policy)) {
    return idle_s >= fixed->idle_s;
  }
  return std::holds_alternative<CostKeepAlive>(policy) &&
         idle_s > costs.cold_start_s &&
         Payoff(history, costs, idle_s) < kKeepFactor;
}

bool ShouldPrewarm(const KeepAlivePolicy& policy,
                   const ArrivalHistory& history,
                   const KeepAliveCosts& costs,
                   std::uint64_t now_ms) {
  if (!std::holds_alternative<CostKeepAlive>(policy) || !history.used()) {
    return false;
  }
  const auto ready_s = history.IdleSeconds(now_ms) + costs.cold_start_s;
  return Payoff(history, costs, ready_s) > kPrewarmFactor;
}

}  // namespace tanagerloom
