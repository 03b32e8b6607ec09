// Compares keep-alive policies on simulated arrivals of one model. Guards
// against a cost policy that is no better than keeping each model for ten
// minutes.
#include <gtest/gtest.h>

#include <cstdio>
#include <random>

#include "decision/keep_alive.h"

namespace tanagerloom {
namespace {

// Cold start time in seconds and loaded idle time in hours under one policy.
struct Outcome {
  double cold_s = 0;
  double idle_hours = 0;

  double Cost(const KeepAliveCosts& costs) const {
    return cold_s * costs.cold_start_cost_per_s +
           idle_hours * costs.idle_cost_per_hour;
  }
};

// Simulates a policy second by second. `arrivals` are seconds in ascending
// order.
Outcome Replay(const std::vector<double>& arrivals,
               const KeepAlivePolicy& policy,
               const KeepAliveCosts& costs) {
  Outcome outcome;
  ArrivalHistory history;
  bool loaded = false;
  double ready_s = 0;
  double loaded_s = 0;
  std::size_t next = 0;
  for (double now = 1; next < arrivals.size(); now += 1) {
    const auto now_ms = static_cast<std::uint64_t>(now * 1000);
    bool arrived = false;
    while (next < arrivals.size() && arrivals[next] <= now) {
      if (!arrived) {
        if (!loaded) {
          loaded = true;
          ready_s = loaded_s = now + costs.cold_start_s;
        }
        outcome.cold_s += std::max(0.0, ready_s - now);
        history.RecordUse(now_ms);
        arrived = true;
      }
      ++next;
    }
    if (arrived) {
      continue;
    }
    if (loaded && now >= ready_s) {
      outcome.idle_hours += 1.0 / 3600;
      if (now > loaded_s + 2 * costs.cold_start_s &&
          ShouldUnload(policy, history, costs, now_ms)) {
        loaded = false;
      }
    } else if (!loaded && ShouldPrewarm(policy, history, costs, now_ms)) {
      loaded = true;
      ready_s = loaded_s = now + costs.cold_start_s;
    }
  }
  return outcome;
}

// Returns arrival times in seconds, ascending. Kind 0 is a daily burst, 1 is
// sparse and random, any other is regular.
std::vector<double> MakeArrivals(int kind, std::mt19937& random) {
  std::vector<double> arrivals;
  std::normal_distribution<double> jitter(0, 60);
  std::exponential_distribution<double> sparse_gap(1.0 / 5400);
  if (kind == 0) {  // A burst once a day, for four weeks.
    for (int day = 0; day < 28; ++day) {
      const double start = 10000 + day * 86400.0 + jitter(random);
      for (int i = 0; i < 300; ++i) {
        arrivals.push_back(start + i * 2);
      }
    }
  } else if (kind == 1) {  // Single requests, 90 minutes apart on average.
    double now = 100;
    for (int i = 0; i < 300; ++i) {
      arrivals.push_back(now += sparse_gap(random));
    }
  } else {  // Every 20 minutes.
    for (int i = 0; i < 500; ++i) {
      arrivals.push_back(100 + i * 1200 + jitter(random));
    }
  }
  return arrivals;
}

// Guards against a cost policy that costs 70% of the fixed policy or more, or
// at least as much as never unloading, over all kinds of arrivals.
TEST(KeepAlive, CostPolicyBeatsTheBaselines) {
  for (const double idle_weight : {1.0, 20.0, 60.0}) {
    const KeepAliveCosts costs{.cold_start_s = 5,
                               .cold_start_cost_per_s = 1,
                               .idle_cost_per_hour = idle_weight};
    double total_cost = 0;
    double fixed_total = 0;
    double never_unload_total = 0;
    for (int kind = 0; kind < 3; ++kind) {
      std::mt19937 random(kind);
      const auto arrivals = MakeArrivals(kind, random);
      const auto cost_policy = Replay(arrivals, CostKeepAlive{}, costs);
      const auto fixed_policy = Replay(arrivals, FixedKeepAlive{}, costs);
      std::printf(
          "idle weight %.0f, arrivals %d: cold %.0f s, idle %.1f h; "
          "fixed: cold %.0f s, idle %.1f h\n",
          idle_weight, kind, cost_policy.cold_s, cost_policy.idle_hours,
          fixed_policy.cold_s, fixed_policy.idle_hours);
      total_cost += cost_policy.Cost(costs);
      fixed_total += fixed_policy.Cost(costs);
      never_unload_total += Replay(arrivals, NeverUnload{}, costs).Cost(costs);
    }
    EXPECT_LT(total_cost, 0.7 * fixed_total) << "idle weight " << idle_weight;
    EXPECT_LT(total_cost, never_unload_total) << "idle weight " << idle_weight;
  }
}

}  // namespace
}  // namespace tanagerloom
