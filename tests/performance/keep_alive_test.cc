// Keep-alive policies over simulated arrivals of one model: guards against a
// cost policy that does no better than keeping each model for ten minutes.
#include <gtest/gtest.h>

#include <cstdio>
#include <random>

#include "decision/keep_alive.h"

namespace tanagerloom {
namespace {

struct Outcome {
  double cold_s = 0;
  double idle_hours = 0;

  double Cost(const KeepAliveCosts& costs) const {
    return cold_s * costs.cold_start_cost_per_s +
           idle_hours * costs.idle_cost_per_hour;
  }
};

// Replays arrivals (seconds, ascending) second by second.
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

std::vector<double> Arrivals(int kind, std::mt19937& random) {
  std::vector<double> arrivals;
  std::normal_distribution<double> jitter(0, 60);
  std::exponential_distribution<double> sparse(1.0 / 5400);
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
      arrivals.push_back(now += sparse(random));
    }
  } else {  // Every 20 minutes.
    for (int i = 0; i < 500; ++i) {
      arrivals.push_back(100 + i * 1200 + jitter(random));
    }
  }
  return arrivals;
}

TEST(KeepAlive, CostPolicyBeatsTheBaselines) {
  for (const double idle_weight : {1.0, 20.0, 60.0}) {
    const KeepAliveCosts costs{.cold_start_s = 5,
                               .cold_start_cost_per_s = 1,
                               .idle_cost_per_hour = idle_weight};
    double cost = 0;
    double fixed = 0;
    double never = 0;
    for (int kind = 0; kind < 3; ++kind) {
      std::mt19937 random(kind);
      const auto arrivals = Arrivals(kind, random);
      const auto mine = Replay(arrivals, CostKeepAlive{}, costs);
      const auto ten_minutes = Replay(arrivals, FixedKeepAlive{}, costs);
      std::printf(
          "idle weight %.0f, arrivals %d: cold %.0f s, idle %.1f h; "
          "fixed: cold %.0f s, idle %.1f h\n",
          idle_weight, kind, mine.cold_s, mine.idle_hours, ten_minutes.cold_s,
          ten_minutes.idle_hours);
      cost += mine.Cost(costs);
      fixed += ten_minutes.Cost(costs);
      never += Replay(arrivals, NeverUnload{}, costs).Cost(costs);
    }
    EXPECT_LT(cost, 0.7 * fixed) << "idle weight " << idle_weight;
    EXPECT_LT(cost, never) << "idle weight " << idle_weight;
  }
}

}  // namespace
}  // namespace tanagerloom
