// Plays many nodes that choose among endpoints of which some are slow in turn,
// and compares ways to choose. No network: requests are events in virtual time.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "fleet/endpoint_record.h"
#include "fleet/endpoint_selection.h"
#include "fleet/load_reports.h"
#include "fleet/reported_load.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;

enum class Policy {
  kPowerOfTwo,     // Own counts only.
  kLeastReported,  // The lowest figure of all, whatever its age.
  kLateBinding,    // Queued at two; the first with a free slot runs it.
  kIdleQueue,      // An endpoint with a free slot names itself to a node.
  kOwnAnswers,     // Expected time, by reports in own responses only.
  kExpectedTime,   // Power of two choices by reports, age and speed.
};

// What endpoints report.
enum class Reports { kAllFigures, kWithoutSlowness };

struct Outcome {
  double first_event_p99_ms = 0;
  double busiest_over_mean = 0;
  double refused_share = 0;
  /// Requests that had no first event within kObjectiveMs, refused ones too.
  double late_share = 0;
};

// 77 nodes and 71 endpoints with 16 slots and a short queue each. All endpoints
// run all requests.
class Play {
 public:
  static constexpr int kEndpoints = 71;
  static constexpr int kNodes = 77;
  static constexpr int kSlots = 16;
  static constexpr int kMaxWaiting = 8;
  static constexpr int kTickMs = 10;  // Between two states kept for reports.
  static constexpr int kDurationMs = 20000;
  static constexpr double kObjectiveMs = 500;
  static constexpr int kTurnMs = 3000;  // Then others are slow.

  Play(Policy policy, double requests_per_s, Reports reports)
      : policy_(policy), requests_per_s_(requests_per_s), reports_(reports) {
    for (int i = 0; i < kEndpoints; ++i) {
      records_[i].id = "e" + std::to_string(i);
      records_[i].slots = kSlots;
    }
  }

  Outcome Run() {
    double arrival_ms = 0;
    for (int t = 0; t < kDurationMs; t += kTickMs) {
      KeepStates(t);
      while (arrival_ms < t + kTickMs) {
        RunEndsUntil(arrival_ms);
        Arrive(arrival_ms);
        arrival_ms +=
            std::exponential_distribution(requests_per_s_ / 1000)(random_);
      }
      RunEndsUntil(t + kTickMs);
    }
    std::ranges::sort(first_events_);
    const auto in_time = std::ranges::upper_bound(first_events_, kObjectiveMs) -
                         first_events_.begin();
    const double arrivals = arrivals_;
    return {first_events_[first_events_.size() * 99 / 100],
            busiest_sum_ / samples_, refused_ / arrivals,
            1 - static_cast<double>(in_time) / arrivals};
  }

 private:
  struct Request {
    double arrived_ms = 0;
    int node = 0;
    bool started = false;
  };
  struct Endpoint {
    int running = 0;
    std::deque<std::shared_ptr<Request>> waiting;
    std::deque<ReportedLoad> states;  // One each kTickMs.
  };
  struct End {
    double at_ms = 0;
    int endpoint = 0;
    int node = 0;
    bool operator<(const End& other) const { return at_ms > other.at_ms; }
  };
  struct Node {
    std::map<int, std::uint32_t> in_flight;
    std::array<int, kEndpoints> report_tick{};
    LoadReports reports;
    std::deque<int> idle;
  };

  // One endpoint in five is twice, one in ten five times slower.
  static double Slowness(int endpoint, double now_ms) {
    const int turn = static_cast<int>(now_ms) / kTurnMs;
    const int n = (endpoint * 7 + turn * 3) % 10;
    return n == 0 ? 5 : n <= 2 ? 2 : 1;
  }

  void KeepStates(int now_ms) {
    int busiest = 0;
    int sum = 0;
    std::uniform_real_distribution noise(0.8, 1.2);
    for (int i = 0; i < kEndpoints; ++i) {
      auto& it = endpoints_[i];
      const auto waiting = static_cast<std::uint32_t>(it.waiting.size());
      it.states.push_back(
          {static_cast<std::uint32_t>(it.running), waiting, kSlots, {}});
      if (reports_ == Reports::kAllFigures) {
        it.states.back().slowness = Slowness(i, now_ms) * noise(random_);
      }
      busiest = std::max(busiest, it.running + static_cast<int>(waiting));
      sum += it.running + static_cast<int>(waiting);
    }
    if (sum > 0) {
      busiest_sum_ += static_cast<double>(busiest) * kEndpoints / sum;
      ++samples_;
    }
  }

  // Gives a node the reports that have arrived: 100 to 500 ms old.
  void UpdateReports(int n, double now_ms) {
    auto& node = nodes_[n];
    for (int i = 0; i < kEndpoints; ++i) {
      const int phase = (n * 131 + i * 37) % 400;
      const int made_ms =
          ((static_cast<int>(now_ms) + phase) / 400 * 400) - phase - 100;
      const int tick = made_ms / kTickMs;
      if (made_ms < 0 || tick == node.report_tick[i]) {
        continue;
      }
      node.report_tick[i] = tick;
      node.reports.OnReport(
          records_[i], endpoints_[i].states[static_cast<std::size_t>(tick)],
          node.in_flight[i], At(made_ms));
    }
  }

  static TimePoint At(double ms) {
    return TimePoint(std::chrono::hours(1)) +
           std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000));
  }

  int Choose(int n, double now_ms) {
    auto& node = nodes_[n];
    if (policy_ == Policy::kIdleQueue) {
      if (node.idle.empty()) {
        return static_cast<int>(random_() % kEndpoints);
      }
      const int out = node.idle.front();
      node.idle.pop_front();
      return out;
    }
    std::vector<SelectionCandidate> candidates;
    if (policy_ == Policy::kLeastReported || policy_ == Policy::kExpectedTime) {
      UpdateReports(n, now_ms);
    }
    for (int i = 0; i < kEndpoints; ++i) {
      candidates.push_back({&records_[i], node.in_flight[i], 0, true});
      const auto load =
          node.reports.Expect(records_[i], std::nullopt, At(now_ms));
      if (policy_ >= Policy::kOwnAnswers && load) {
        candidates.back().uncounted_in_flight = load->others_in_flight;
        candidates.back().slowness = load->slowness;
      }
    }
    if (policy_ == Policy::kLeastReported) {
      const auto load = [&](int i) {
        const auto& state = endpoints_[i].states[static_cast<std::size_t>(
            std::max(0, node.report_tick[i]))];
        return (state.running + state.waiting + 1) * state.slowness.value_or(1);
      };
      int best = 0;
      for (int i = 1; i < kEndpoints; ++i) {
        best = load(i) < load(best) ? i : best;
      }
      return best;
    }
    const auto* chosen = SelectEndpoint(candidates, {"", 0, random_()});
    return static_cast<int>(chosen - candidates.data());
  }

  void Arrive(double now_ms) {
    ++arrivals_;
    const int n = static_cast<int>(random_() % kNodes);
    auto request = std::make_shared<Request>(Request{now_ms, n, false});
    const int first = Choose(n, now_ms);
    if (policy_ != Policy::kLateBinding) {
      Offer(first, request, now_ms);
      return;
    }
    const int second =
        (first + 1 + static_cast<int>(random_() % (kEndpoints - 1))) %
        kEndpoints;
    const bool queued = Offer(first, request, now_ms);
    if (!request->started) {
      refused_ -= queued ? 0 : 1;
      if (!Offer(second, request, now_ms) && queued) {
        --refused_;
      }
    }
  }

  // A response of the endpoint reports its load to the node.
  void ReadReport(int e, int n, double now_ms) {
    if (policy_ == Policy::kOwnAnswers) {
      const auto& endpoint = endpoints_[e];
      nodes_[n].reports.OnReport(
          records_[e],
          {static_cast<std::uint32_t>(endpoint.running),
           static_cast<std::uint32_t>(endpoint.waiting.size()), kSlots,
           endpoint.states.back().slowness},
          nodes_[n].in_flight[e], At(now_ms));
    }
  }

  // Returns whether the endpoint takes the request.
  bool Offer(int e, const std::shared_ptr<Request>& request, double now_ms) {
    auto& endpoint = endpoints_[e];
    if (endpoint.running < kSlots) {
      ++nodes_[request->node].in_flight[e];
      Begin(e, request, now_ms);
    } else if (endpoint.waiting.size() < kMaxWaiting) {
      ++nodes_[request->node].in_flight[e];
      endpoint.waiting.push_back(request);
    } else {
      ++refused_;
      ReadReport(e, request->node, now_ms);
      return false;
    }
    return true;
  }

  void Begin(int e, const std::shared_ptr<Request>& request, double now_ms) {
    constexpr double kPromptMs = 20;
    constexpr double kDecodeMs = 300;
    auto& endpoint = endpoints_[e];
    request->started = true;
    ++endpoint.running;
    const double factor = Slowness(e, now_ms) *
                          (1 + static_cast<double>(endpoint.running) / kSlots);
    const double first_event = now_ms + kPromptMs * factor;
    first_events_.push_back(first_event - request->arrived_ms);
    ReadReport(e, request->node, now_ms);
    ends_.push({first_event + kDecodeMs * factor, e, request->node});
  }

  void RunEndsUntil(double now_ms) {
    while (!ends_.empty() && ends_.top().at_ms <= now_ms) {
      const auto end = ends_.top();
      ends_.pop();
      auto& endpoint = endpoints_[end.endpoint];
      --endpoint.running;
      --nodes_[end.node].in_flight[end.endpoint];
      while (!endpoint.waiting.empty() && endpoint.running < kSlots) {
        const auto next = endpoint.waiting.front();
        endpoint.waiting.pop_front();
        if (next->started) {  // At the other endpoint.
          --nodes_[next->node].in_flight[end.endpoint];
        } else {
          Begin(end.endpoint, next, end.at_ms);
        }
      }
      if (endpoint.running < kSlots) {
        nodes_[random_() % kNodes].idle.push_back(end.endpoint);
      }
    }
  }

  Policy policy_;
  double requests_per_s_;
  Reports reports_;
  std::mt19937_64 random_{7};
  std::array<EndpointRecord, kEndpoints> records_;
  std::array<Endpoint, kEndpoints> endpoints_;
  std::array<Node, kNodes> nodes_;
  std::priority_queue<End> ends_;
  std::vector<double> first_events_;
  double busiest_sum_ = 0;
  int samples_ = 0;
  int arrivals_ = 0;
  int refused_ = 0;
};

// What the policies do at one rate of requests.
class Comparison {
 public:
  explicit Comparison(double requests_per_s)
      : requests_per_s_(requests_per_s) {}

  Outcome Run(Policy policy, Reports reports = Reports::kAllFigures) const {
    const auto out = Play(policy, requests_per_s_, reports).Run();
    std::printf(
        "%5.0f requests/s, %-14s first event p99 %5.0f ms, busiest over mean "
        "%4.2f, refused %5.3f, late or refused %5.3f\n",
        requests_per_s_, Name(policy, reports), out.first_event_p99_ms,
        out.busiest_over_mean, out.refused_share, out.late_share);
    return out;
  }

 private:
  static const char* Name(Policy policy, Reports reports) {
    switch (policy) {
      case Policy::kPowerOfTwo:
        return "power of two";
      case Policy::kLeastReported:
        return "least reported";
      case Policy::kLateBinding:
        return "late binding";
      case Policy::kIdleQueue:
        return "idle queue";
      case Policy::kOwnAnswers:
        return "own answers";
      case Policy::kExpectedTime:
        return reports == Reports::kAllFigures ? "expected time"
                                               : "no slowness";
    }
    return "";
  }

  double requests_per_s_;
};

// Load: a tenth of the endpoints five times and a fifth two times slower,
// others every 3 s; light, and just below what they serve. Guards against slow
// endpoints that get as many requests as fast ones, and against all nodes that
// follow the same old figure.
TEST(EndpointChoice, ExpectedTimeWinsBelowCapacity) {
  for (const double requests_per_s : {600.0, 1200.0}) {
    const Comparison comparison(requests_per_s);
    const auto power_of_two = comparison.Run(Policy::kPowerOfTwo);
    const auto least_reported = comparison.Run(Policy::kLeastReported);
    const auto late_binding = comparison.Run(Policy::kLateBinding);
    const auto idle_queue = comparison.Run(Policy::kIdleQueue);
    const auto expected = comparison.Run(Policy::kExpectedTime);
    EXPECT_LT(expected.first_event_p99_ms, power_of_two.first_event_p99_ms / 2);
    EXPECT_LT(expected.first_event_p99_ms, idle_queue.first_event_p99_ms);
    EXPECT_LE(expected.refused_share, power_of_two.refused_share);
    EXPECT_LE(expected.refused_share, late_binding.refused_share);
    EXPECT_LT(expected.refused_share, least_reported.refused_share);
    EXPECT_LT(expected.busiest_over_mean, least_reported.busiest_over_mean);
  }
}

// Load: more requests than the endpoints serve. Guards against a choice that
// refuses more than the one without reports.
TEST(EndpointChoice, ExpectedTimeWinsAboveCapacity) {
  const Comparison comparison(1600);
  const auto power_of_two = comparison.Run(Policy::kPowerOfTwo);
  const auto late_binding = comparison.Run(Policy::kLateBinding);
  (void)comparison.Run(Policy::kIdleQueue);
  const auto expected = comparison.Run(Policy::kExpectedTime);
  EXPECT_LT(expected.first_event_p99_ms, power_of_two.first_event_p99_ms);
  EXPECT_LT(expected.refused_share, power_of_two.refused_share);
  EXPECT_LT(expected.first_event_p99_ms, 2 * late_binding.first_event_p99_ms);
}

// Load: as before, but the endpoints do not report how slow they are, or a node
// knows only the reports in its own responses, which are seconds old. Guards
// against harm to services that report less.
TEST(EndpointChoice, LessInformationDoesNoHarm) {
  constexpr double kTolerance = 0.005;  // Of the chance in one play.
  for (const double requests_per_s : {600.0, 1200.0}) {
    const Comparison comparison(requests_per_s);
    const auto power_of_two = comparison.Run(Policy::kPowerOfTwo);
    const auto counts =
        comparison.Run(Policy::kExpectedTime, Reports::kWithoutSlowness);
    const auto own = comparison.Run(Policy::kOwnAnswers);
    EXPECT_LE(counts.refused_share, power_of_two.refused_share);
    EXPECT_LE(counts.late_share, power_of_two.late_share);
    EXPECT_LE(own.refused_share, power_of_two.refused_share + kTolerance);
    EXPECT_LE(own.late_share, power_of_two.late_share + kTolerance);
  }
}

}  // namespace
}  // namespace tanagerloom
