// Tests of the small decisions of forwarding: which endpoint, whether to
// repeat, how many repeats and loads, how reliable an endpoint is.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "fleet/crash_suspects.h"
#include "fleet/endpoint_health.h"
#include "fleet/endpoint_record.h"
#include "fleet/endpoint_selection.h"
#include "fleet/load_rate_limiter.h"
#include "fleet/shared_retry_budget.h"
#include "fleet/store_concurrency.h"
#include "forwarding/event_assembler.h"
#include "forwarding/retry_policy.h"

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

// The share of choices that each endpoint gets over many seeds.
std::map<std::string, double> Shares(
    const std::vector<EndpointCandidate>& candidates) {
  constexpr int kChoices = 3000;
  std::mt19937_64 random(7);
  std::map<std::string, double> out;
  for (int i = 0; i < kChoices; ++i) {
    const auto* it = SelectEndpoint(candidates, {"", 0, random()});
    out[it->record->id] += 1.0 / kChoices;
  }
  return out;
}

// Guards against requests piling up on one endpoint: of two, the less loaded
// one by its slots is always taken, and of many the most loaded one never.
TEST(SelectEndpoint, LessLoadedByItsSlotsWins) {
  const auto a = Endpoint("a");
  const auto b = Endpoint("b");
  const auto small = Endpoint("small", 6);
  EXPECT_NEAR(Shares({{&a, 5, 0, true}, {&b, 3, 0, true}})["b"], 1, 1e-9);
  const auto shares =
      Shares({{&a, 5, 0, true}, {&b, 3, 0, true}, {&small, 3, 0, true}});
  EXPECT_FALSE(shares.contains("small"));
  EXPECT_NEAR(shares.at("b"), 2.0 / 3, 0.05);
  EXPECT_EQ(SelectEndpoint({}, {"", 0}), nullptr);
}

// Guards against nodes that all send to the endpoint that their old counts call
// the least loaded, or to the first one of equal ones.
TEST(SelectEndpoint, ManyNodesDoNotMeetAtOneEndpoint) {
  std::vector<EndpointRecord> records;
  for (int i = 0; i < 8; ++i) {
    records.push_back(Endpoint("e" + std::to_string(i), 12));
  }
  std::vector<EndpointCandidate> candidates;
  for (const auto& it : records) {
    candidates.push_back({&it, 0, 0, true});
  }
  for (const auto& [id, share] : Shares(candidates)) {
    EXPECT_NEAR(share, 1.0 / 8, 0.03) << id;
  }
  candidates[0].in_flight = 0;
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    candidates[i].in_flight = 2;
  }
  EXPECT_LE(Shares(candidates)["e0"], 0.3);
}

// Guards against an idle endpoint that fails its requests and so stays idle.
TEST(SelectEndpoint, FailingEndpointStandsBack) {
  const auto good = Endpoint("good");
  const auto grey = Endpoint("grey");
  const std::vector<EndpointCandidate> candidates = {{&good, 15, 0, true},
                                                     {&grey, 0, 0.5, true}};
  EXPECT_EQ(SelectEndpoint(candidates, {"", 0})->record->id, "good");
}

// Guards against long shared prompts that are read again at each endpoint, and
// against a meeting point that is overrun.
TEST(SelectEndpoint, SharedPromptsMeetUnlessTheMeetingPointIsBusy) {
  const auto a = Endpoint("a");
  const auto b = Endpoint("b");
  std::vector<EndpointCandidate> candidates = {{&a, 4, 0, true},
                                               {&b, 4, 0, true}};
  const SelectionRequest request{"long prompt", 6000};
  const auto* meeting = SelectEndpoint(candidates, request);
  auto& busy = meeting == &candidates[0] ? candidates[0] : candidates[1];
  const std::string id = meeting->record->id;
  busy.in_flight = 12;
  EXPECT_EQ(SelectEndpoint(candidates, request)->record->id, id);
  busy.in_flight = 40;
  EXPECT_NE(SelectEndpoint(candidates, request)->record->id, id);
}

// Guards against a second run of a request that may run once, and against a 503
// for one that may have run.
TEST(RepeatRule, OnlyRepeatableRequestsRunTwice) {
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

// Guards against repeats that multiply the load: all nodes together stay below
// the shared limit in every window.
TEST(SharedRetryBudget, NodesTogetherStayBelowTheLimit) {
  const RetryLimits limits{0.2, seconds(10), 56};
  constexpr std::size_t kNodes = 8;
  std::vector<SharedRetryBudget> nodes(kNodes);
  std::deque<TimePoint> taken;
  for (int ms = 0; ms < 30000; ms += 20) {
    const auto now = kStart + milliseconds(ms);
    for (auto& it : nodes) {
      it.OnRequest(now);
      if (it.TryAcquire(limits, kNodes, now)) {
        taken.push_back(now);
      }
    }
    while (taken.front() < now - limits.window) {
      taken.pop_front();
    }
    const double requests = kNodes * std::min(500, ms / 20 + 1);
    EXPECT_LE(static_cast<double>(taken.size()),
              limits.ratio * requests + limits.slack);
  }
}

// Guards against more loads from the weight store than it allows, also just
// after another node began some.
TEST(LoadRateLimiter, StaysBelowTheRate) {
  LoadRateLimiter ceiling(seconds(5));
  ceiling.OnTakeover(kStart);
  EXPECT_LE(ceiling.LoadsAllowed(3.8, kStart), 8U);
  const auto later = kStart + seconds(6);
  std::uint32_t started = 0;
  while (ceiling.LoadsAllowed(3.8, later) > 0) {
    ceiling.OnLoadStarted(later);
    ++started;
  }
  EXPECT_EQ(started, 15U);
  EXPECT_EQ(ceiling.LoadsAllowed(3.8, later + seconds(4)), 0U);
  EXPECT_GT(ceiling.LoadsAllowed(3.8, later + seconds(5)), 0U);
  EXPECT_EQ(LoadRateLimiter(seconds(5)).LoadsAllowed(0, later), 1U);
}

// Guards against loads that slow each other down from the first one on, and
// against a limit that takes many loads to find a faster store.
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
// never rises again.
TEST(StoreConcurrency, FollowsTheTimesOfLoads) {
  StoreConcurrency concurrency;
  for (int i = 0; i < 10; ++i) {
    const auto at_once = concurrency.limit();
    concurrency.OnLoaded(at_once, seconds(6) * at_once, seconds(6));
  }
  EXPECT_LE(concurrency.limit(), 2U);  // One, or a try of one more.
  for (int i = 0; i < 20; ++i) {
    concurrency.OnLoaded(concurrency.limit(), seconds(6), seconds(6));
  }
  EXPECT_GT(concurrency.limit(), 8U);
}

// Guards against an endpoint that is avoided for ever, or not at all.
TEST(EndpointHealth, FailuresCountAndAreForgotten) {
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

// Guards against a request that crashes endpoint after endpoint, and against
// one that is refused because of a single crash.
TEST(CrashSuspects, RefusesAfterTheLimitOverAllNodes) {
  CrashSuspects suspects;
  suspects.OnCrash(7, kStart);
  suspects.OnNotice(7, 2, kStart);
  EXPECT_FALSE(suspects.IsQuarantined(7));
  EXPECT_EQ(suspects.OnCrash(7, kStart), 3U);
  EXPECT_TRUE(suspects.IsQuarantined(7));
  EXPECT_FALSE(suspects.IsQuarantined(8));
}

// Guards against torn events: only whole ones are passed on, in any cut of the
// bytes, and the rest of a broken stream is dropped.
TEST(EventAssembler, PassesWholeEventsInEveryCut) {
  const std::string text =
      "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\n";
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    EventAssembler cutter;
    cutter.input() += text.substr(0, cut);
    std::string out = cutter.TakeEvents();
    EXPECT_TRUE(out.empty() || out.ends_with("\n\n") ||
                out.ends_with("\r\n\r\n") || out.ends_with("\n\r\n"));
    cutter.input() += text.substr(cut);
    out += cutter.TakeEvents();
    EXPECT_EQ(out, text);
    EXPECT_EQ(cutter.last_event_id(), "2");
    EXPECT_EQ(cutter.TakeRemainder(), "");
  }
  EventAssembler cutter;
  cutter.input() += "id: 1\ndata: a\n\nid: 2\nda";
  EXPECT_EQ(cutter.TakeEvents(), "id: 1\ndata: a\n\n");
  cutter.DiscardPartialEvent();
  EXPECT_EQ(cutter.TakeRemainder(), "");
  EXPECT_EQ(cutter.last_event_id(), "1");
}

}  // namespace
}  // namespace tanagerloom
