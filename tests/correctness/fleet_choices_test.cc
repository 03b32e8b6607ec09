// Tests of the decisions of forwarding that need no I/O: the selection of an
// endpoint, retries and their budget, limits on loads from the weight store,
// the health of endpoints and the assembly of events.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>

#include "fleet/crash_suspects.h"
#include "fleet/demand_table.h"
#include "fleet/demand_tracker.h"
#include "fleet/endpoint_health.h"
#include "fleet/endpoint_record.h"
#include "fleet/endpoint_selection.h"
#include "fleet/load_rate_limiter.h"
#include "fleet/prompt_speed.h"
#include "fleet/shared_retry_budget.h"
#include "fleet/store_concurrency.h"
#include "forwarding/event_assembler.h"
#include "forwarding/retry_policy.h"
#include "runtime/manual_clock.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

EndpointRecord Endpoint(std::string id, std::uint32_t slots = 64) {
  EndpointRecord record;
  record.id = std::move(id);
  record.slots = slots;
  return record;
}

// Returns the fraction of selections that each endpoint gets over 3000 random
// numbers.
std::map<std::string, double> SelectionFractions(
    const std::vector<SelectionCandidate>& candidates) {
  constexpr int kChoices = 3000;
  std::mt19937_64 random(7);
  std::map<std::string, double> out;
  for (int i = 0; i < kChoices; ++i) {
    const auto* it = SelectEndpoint(candidates, {"", 0, random()});
    out[it->record->id] += 1.0 / kChoices;
  }
  return out;
}

// Guards against requests that accumulate at one endpoint: of two, the one with
// the lower load relative to its slots is always selected, and of several the
// most loaded one never.
TEST(SelectEndpoint, LessLoadedRelativeToItsSlotsIsSelected) {
  const auto a = Endpoint("a");
  const auto b = Endpoint("b");
  const auto small = Endpoint("small", 6);
  EXPECT_NEAR(SelectionFractions({{&a, 5, 0, true}, {&b, 3, 0, true}})["b"], 1,
              1e-9);
  const auto fractions = SelectionFractions(
      {{&a, 5, 0, true}, {&b, 3, 0, true}, {&small, 3, 0, true}});
  EXPECT_FALSE(fractions.contains("small"));
  EXPECT_NEAR(fractions.at("b"), 2.0 / 3, 0.05);
  EXPECT_EQ(SelectEndpoint({}, {"", 0}), nullptr);
}

// Guards against nodes that all select the same endpoint: the least loaded one
// by outdated counts, or the first of several with equal load.
TEST(SelectEndpoint, ManyNodesDoNotSelectTheSameEndpoint) {
  std::vector<EndpointRecord> records;
  for (int i = 0; i < 8; ++i) {
    records.push_back(Endpoint("e" + std::to_string(i), 12));
  }
  std::vector<SelectionCandidate> candidates;
  for (const auto& it : records) {
    candidates.push_back({&it, 0, 0, true});
  }
  for (const auto& [id, fraction] : SelectionFractions(candidates)) {
    EXPECT_NEAR(fraction, 1.0 / 8, 0.03) << id;
  }
  candidates[0].in_flight = 0;
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    candidates[i].in_flight = 2;
  }
  EXPECT_LE(SelectionFractions(candidates)["e0"], 0.3);
}

// Guards against an endpoint that attracts requests because it fails them fast
// and so stays idle.
TEST(SelectEndpoint, FailingEndpointIsAvoided) {
  const auto good = Endpoint("good");
  const auto failing = Endpoint("grey");
  const std::vector<SelectionCandidate> candidates = {{&good, 15, 0, true},
                                                      {&failing, 0, 0.5, true}};
  EXPECT_EQ(SelectEndpoint(candidates, {"", 0})->record->id, "good");
}

// Guards against a long shared prompt that every endpoint has to process, and
// against an endpoint that is overloaded because it has the prompt cached.
TEST(SelectEndpoint, SharedPromptsGoToOneEndpointUnlessItIsBusy) {
  const auto a = Endpoint("a");
  const auto b = Endpoint("b");
  std::vector<SelectionCandidate> candidates = {{&a, 4, 0, true},
                                                {&b, 4, 0, true}};
  const SelectionRequest request{"long prompt", 6000};
  const auto* preferred = SelectEndpoint(candidates, request);
  auto& busy = preferred == &candidates[0] ? candidates[0] : candidates[1];
  const std::string id = preferred->record->id;
  busy.in_flight = 12;
  EXPECT_EQ(SelectEndpoint(candidates, request)->record->id, id);
  busy.in_flight = 40;
  EXPECT_NE(SelectEndpoint(candidates, request)->record->id, id);
}

// Guards against counting requests only: an engine that reads long prompts is
// busier than one with more requests that all generate tokens.
TEST(SelectEndpoint, PromptsToReadCountAsLoad) {
  const auto a = Endpoint("a");
  const auto b = Endpoint("b");
  EXPECT_NEAR(
      SelectionFractions({{&a, 2, 0, true, 18000}, {&b, 10, 0, true, 0}})["b"],
      1, 1e-9);
}

// Guards against a hot shared prompt that fills one engine while others idle,
// and against prompts that are spread over all engines and read by each.
TEST(SelectEndpoint, HotSharedPromptsUseAFewEndpoints) {
  std::vector<EndpointRecord> records;
  for (int i = 0; i < 12; ++i) {
    records.push_back(Endpoint("e" + std::to_string(i)));
  }
  std::vector<SelectionCandidate> candidates;
  for (const auto& it : records) {
    candidates.push_back({&it, 0, 0, true});
  }
  std::mt19937_64 random(7);
  std::map<std::string, int> requests;
  // Each endpoint has finished its prompts before the next round arrives.
  for (int round = 0; round < 50; ++round) {
    for (auto& it : candidates) {
      it.prompt_tokens = 0;
      it.in_flight = 0;
    }
    for (int i = 0; i < 6; ++i) {
      const auto* it = SelectEndpoint(candidates, {"hot", 6000, random()});
      ++requests[it->record->id];
      auto& chosen = candidates[static_cast<std::size_t>(it - &candidates[0])];
      ++chosen.in_flight;
      chosen.prompt_tokens += 3000;
    }
  }
  std::vector<int> counts;
  for (const auto& [id, n] : requests) {
    counts.push_back(n);
  }
  std::ranges::sort(counts, std::greater<>());
  EXPECT_LE(counts[0], 150);  // Half of all requests.
  EXPECT_GE(counts[0] + counts[1] + counts[2], 150);
}

// Guards against an estimate that follows requests which waited behind others,
// and takes engines for slower than they are.
TEST(PromptSpeed, FollowsTheFastestRequests) {
  constexpr double kTokensPerMs = 40;
  PromptSpeed speed;
  std::mt19937_64 random(7);
  for (int i = 0; i < 500; ++i) {
    const auto queued = random() % 4 == 0 ? 0 : 100 + random() % 200;
    speed.Observe(3000, milliseconds(10 + 75 + queued));
  }
  EXPECT_NEAR(speed.tokens_per_ms(), kTokensPerMs, kTokensPerMs / 4);
  const auto before = speed.tokens_per_ms();
  speed.Observe(10, milliseconds(11));  // Too short to tell.
  EXPECT_EQ(speed.tokens_per_ms(), before);
}

// Guards against a model that is loaded late because the reports do not carry
// the rank that waits for it, or carry that of a request that has ended.
TEST(DemandTable, BestRankOfTheWaitingRequestsIsReported) {
  ManualClock clock;
  DemandTracker tracker(clock);
  DemandTable table;
  const auto rank = [&] {
    for (const auto& it : tracker.TakeDemand()) {
      table.Update("node", it, clock.Now());
    }
    return table.Read("s", clock.Now())[{"m", ""}].best_rank;
  };
  const auto deadline = clock.Now() + seconds(1);
  tracker.BeginWait("s", {"m", ""}, deadline, 5);
  EXPECT_EQ(rank(), 5U);
  tracker.BeginWait("s", {"m", ""}, deadline, 2);
  EXPECT_EQ(rank(), 2U);
  tracker.EndWait("s", {"m", ""}, deadline, 2);
  EXPECT_EQ(rank(), 5U);
  tracker.EndWait("s", {"m", ""}, deadline, 5);
  EXPECT_EQ(rank(), std::nullopt);
}

// Guards against demand for prompt tokens that is lost or never decays.
TEST(DemandTable, PromptTokensAreSummedOverNodesAndDecay) {
  DemandTable table;
  DemandEntry entry;
  entry.model = "m";
  entry.arrivals = 1;
  entry.prompt_tokens = 9000;
  for (int i = 0; i < 60; ++i) {
    const auto now = kStart + milliseconds(500) * i;
    table.Update("a", {"s", 1, {entry}}, now);
    table.Update("b", {"s", 1, {entry}}, now);
  }
  const auto end = kStart + seconds(30);
  const auto busy = table.Read("s", end).at({"m", ""}).prompt_tokens_per_s;
  EXPECT_NEAR(busy, 36000, 6000);
  const auto later = table.Read("s", end + seconds(12));
  EXPECT_LT(later.at({"m", ""}).prompt_tokens_per_s, busy / 20);
}

// Guards against a retry of a request that must run at most once, and against a
// status 503 for a request that may have run.
TEST(RetryPolicy, OnlyRetryableRequestsRunTwice) {
  Route booking;
  booking.kind = RequestKind::kNonIdempotent;
  booking.max_attempts = 3;
  EXPECT_TRUE(MayRetry(booking, {0, Verdict::kNotRun}));
  EXPECT_FALSE(MayRetry(booking, {1, Verdict::kMayHaveRun}));
  EXPECT_FALSE(MayRetry(booking, {1, Verdict::kRan}));
  Route stream;
  stream.kind = RequestKind::kStreaming;
  stream.max_attempts = 2;
  EXPECT_FALSE(MayRetry(stream, {1, Verdict::kRan}));
  stream.resumable = true;
  EXPECT_TRUE(MayRetry(stream, {1, Verdict::kRan}));
  EXPECT_FALSE(MayRetry(stream, {2, Verdict::kRan}));
  EXPECT_EQ(FinalStatus({0, Verdict::kNotRun}, true), 503);
  EXPECT_EQ(FinalStatus({1, Verdict::kMayHaveRun}, false), 502);
  EXPECT_EQ(FinalStatus({1, Verdict::kMayHaveRun}, true), 504);
}

// Guards against retries that multiply the load: all nodes together stay below
// the shared limit in every window.
TEST(SharedRetryBudget, NodesTogetherStayBelowTheLimit) {
  const RetryLimits limits{0.2, seconds(10), 56};
  constexpr std::size_t kNodes = 8;
  std::vector<SharedRetryBudget> nodes(kNodes);
  std::deque<TimePoint> retry_times;
  for (int ms = 0; ms < 30000; ms += 20) {
    const auto now = kStart + milliseconds(ms);
    for (auto& it : nodes) {
      it.OnRequest(now);
      if (it.TryAcquire(limits, kNodes, now)) {
        retry_times.push_back(now);
      }
    }
    while (retry_times.front() < now - limits.window) {
      retry_times.pop_front();
    }
    const double requests = kNodes * std::min(500, ms / 20 + 1);
    EXPECT_LE(static_cast<double>(retry_times.size()),
              limits.ratio * requests + limits.slack);
  }
}

// Guards against loads from the weight store above its rate, also just after a
// takeover from a lease holder that started some.
TEST(LoadRateLimiter, StaysBelowTheRate) {
  LoadRateLimiter limiter(seconds(5));
  limiter.OnTakeover(kStart);
  EXPECT_LE(limiter.LoadsAllowed(3.8, kStart), 8U);
  const auto later = kStart + seconds(6);
  std::uint32_t started = 0;
  while (limiter.LoadsAllowed(3.8, later) > 0) {
    limiter.OnLoadStarted(later);
    ++started;
  }
  EXPECT_EQ(started, 15U);
  EXPECT_EQ(limiter.LoadsAllowed(3.8, later + seconds(4)), 0U);
  EXPECT_GT(limiter.LoadsAllowed(3.8, later + seconds(5)), 0U);
  EXPECT_EQ(LoadRateLimiter(seconds(5)).LoadsAllowed(0, later), 1U);
}

// Guards against two lease holders that each stay below the rate and together
// exceed it, when the second one takes over right after the last load of the
// first. The weight store bears 1.1 times the rate.
TEST(LoadRateLimiter, TwoHoldersTogetherStayBelowTheRate) {
  constexpr double kRate = 78;
  std::uint32_t started = 0;
  for (int holder = 0; holder < 2; ++holder) {
    LoadRateLimiter limiter(seconds(5));
    if (holder == 1) {
      limiter.OnTakeover(kStart);
    }
    while (limiter.LoadsAllowed(kRate, kStart) > 0) {
      limiter.OnLoadStarted(kStart);
      ++started;
    }
  }
  EXPECT_LE(started, 1.1 * kRate * 5);
}

// Guards against an initial limit so high that loads slow each other down, and
// against a limit that needs many loads to adapt to a faster weight store.
TEST(StoreConcurrency, DoublesUntilALoadIsSlowed) {
  StoreConcurrency concurrency;
  EXPECT_LE(concurrency.limit(), 2U);
  concurrency.OnLoaded(concurrency.limit(), seconds(6), seconds(6));
  EXPECT_EQ(concurrency.limit(), 4U);
  concurrency.OnLoaded(4, seconds(12), seconds(6));
  EXPECT_LE(concurrency.limit(), 3U);
  concurrency.OnLoaded(3, seconds(6), seconds(6));
  EXPECT_LE(concurrency.limit(), 4U);
}

// Guards against loads that slow each other down, and against a limit that
// stays low after the weight store became faster.
TEST(StoreConcurrency, LimitFollowsLoadTimes) {
  StoreConcurrency concurrency;
  for (int i = 0; i < 10; ++i) {
    const auto concurrent_loads = concurrency.limit();
    concurrency.OnLoaded(concurrent_loads, seconds(6) * concurrent_loads,
                         seconds(6));
  }
  EXPECT_LE(concurrency.limit(), 2U);  // One, or a probe of one more.
  for (int i = 0; i < 20; ++i) {
    concurrency.OnLoaded(concurrency.limit(), seconds(6), seconds(6));
  }
  EXPECT_GT(concurrency.limit(), 8U);
}

// Guards against a failing endpoint that is never avoided, and against one that
// is avoided forever.
TEST(EndpointHealth, FailureRateRisesAndDecays) {
  EndpointHealth health;
  for (int i = 0; i < 10; ++i) {
    health.OnFailure(kStart);
  }
  EXPECT_GT(health.FailureRate(kStart), 0.8);
  EXPECT_TRUE(health.AllowsRequests(kStart));
  EXPECT_LT(health.FailureRate(kStart + seconds(12)), 0.2);
  EXPECT_EQ(health.FailureRate(kStart + std::chrono::hours(1)), 0);
  health.OnUnreachable(kStart);
  EXPECT_FALSE(health.AllowsRequests(kStart + milliseconds(200)));
  EXPECT_TRUE(health.AllowsRequests(kStart + milliseconds(300)));
}

// Returns `n` crashes with ids of their own.
std::vector<SuspectCrash> CrashesAt(TimePoint at, std::uint64_t n) {
  std::vector<SuspectCrash> out;
  for (std::uint64_t i = 0; i < n; ++i) {
    out.push_back({1000 + i, at});
  }
  return out;
}

// Guards against a request that crashes one endpoint after another, and against
// one that is quarantined because of a single crash.
TEST(CrashSuspects, QuarantinesAfterTheCrashLimitOfAllNodes) {
  CrashSuspects suspects;
  suspects.OnCrash(7, 1, kStart);
  suspects.OnNotice(7, CrashesAt(kStart, 1), kStart);
  EXPECT_FALSE(suspects.IsQuarantined(7, kStart));
  EXPECT_EQ(suspects.OnCrash(7, 2, kStart), 3U);
  EXPECT_TRUE(suspects.IsQuarantined(7, kStart));
  EXPECT_FALSE(suspects.IsQuarantined(8, kStart));
  EXPECT_FALSE(
      suspects.IsQuarantined(7, kStart + 2 * CrashSuspects::kRetention));
}

// Guards against refusing a fingerprint that also runs without a crash, also
// when many crashes follow each other before the next run ends.
TEST(CrashSuspects, RunsWithoutACrashOutweighCrashes) {
  CrashSuspects suspects;
  auto now = kStart;
  for (int i = 0; i < 20; ++i) {
    EXPECT_FALSE(suspects.OnProof(7, now));
    now += milliseconds(100);
  }
  for (std::uint64_t i = 0; i < 10; ++i) {
    EXPECT_EQ(suspects.OnCrash(7, i, now), 0U);
  }
  EXPECT_FALSE(suspects.IsQuarantined(7, now));
  EXPECT_TRUE(suspects.IsQuarantined(7, now + std::chrono::minutes(1)));
  suspects.OnReset(7);
  EXPECT_FALSE(suspects.IsQuarantined(7, now + std::chrono::minutes(1)));
}

// Guards against a wrong count of one node that spreads to nodes where the same
// requests run without a crash, and against a quarantine that nothing ends.
TEST(CrashSuspects, ProofRulesOutCountsOfOtherNodes) {
  CrashSuspects suspects;
  suspects.OnProof(7, kStart);
  suspects.OnNotice(7, CrashesAt(kStart, 9), kStart);
  EXPECT_FALSE(suspects.IsSuspected(7));
  suspects.OnNotice(8, CrashesAt(kStart, 9), kStart);
  EXPECT_TRUE(suspects.IsQuarantined(8, kStart));
  EXPECT_TRUE(suspects.OnProof(8, kStart));
  EXPECT_FALSE(suspects.IsQuarantined(8, kStart));
}

// Guards against counting endpoints that fail together for another reason.
TEST(CrashSuspects, CrashesCloseTogetherCountOnce) {
  CrashSuspects suspects(milliseconds(100));
  for (std::uint64_t i = 0; i < 10; ++i) {
    EXPECT_EQ(suspects.OnCrash(7, i, kStart + milliseconds(i)), 1U);
  }
  suspects.OnNotice(7, CrashesAt(kStart + milliseconds(50), 3), kStart);
  EXPECT_EQ(suspects.CrashesOf(7), 1U);
}

// Guards against a table that grows without bound.
TEST(CrashSuspects, KeepsCrashCountsRatherThanProofs) {
  CrashSuspects suspects;
  for (std::uint32_t i = 0; i < CrashSuspects::kCrashLimit; ++i) {
    suspects.OnCrash(1, i, kStart);
  }
  for (std::uint64_t i = 2; i < 2 * CrashSuspects::kMaxFingerprints; ++i) {
    suspects.OnProof(i, kStart);
  }
  EXPECT_TRUE(suspects.IsQuarantined(1, kStart));
}

// Guards against an entry that grows with each crash of a request.
TEST(CrashSuspects, KeepsALimitedNumberOfCrashes) {
  CrashSuspects suspects;
  suspects.OnNotice(7, CrashesAt(kStart, 10 * CrashSuspects::kMaxCrashes),
                    kStart);
  EXPECT_EQ(suspects.CrashesOf(7), CrashSuspects::kMaxCrashes);
  EXPECT_TRUE(suspects.IsQuarantined(7, kStart));
}

// Guards against partial events: only complete ones are forwarded, wherever the
// bytes are split, and the partial event of a truncated stream is discarded.
TEST(EventAssembler, ForwardsOnlyCompleteEventsForEverySplit) {
  const std::string text =
      "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\n";
  for (std::size_t split = 0; split <= text.size(); ++split) {
    EventAssembler assembler;
    assembler.input() += text.substr(0, split);
    std::string out = assembler.TakeEvents();
    EXPECT_TRUE(out.empty() || out.ends_with("\n\n") ||
                out.ends_with("\r\n\r\n") || out.ends_with("\n\r\n"));
    assembler.input() += text.substr(split);
    out += assembler.TakeEvents();
    EXPECT_EQ(out, text);
    EXPECT_EQ(assembler.last_event_id(), "2");
    EXPECT_EQ(assembler.TakeRemainder(), "");
  }
  EventAssembler assembler;
  assembler.input() += "id: 1\ndata: a\n\nid: 2\nda";
  EXPECT_EQ(assembler.TakeEvents(), "id: 1\ndata: a\n\n");
  assembler.DiscardPartialEvent();
  EXPECT_EQ(assembler.TakeRemainder(), "");
  EXPECT_EQ(assembler.last_event_id(), "1");
}

}  // namespace
}  // namespace tanagerloom
