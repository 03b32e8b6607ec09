// Tests of the pace of endpoints that start or recover, without a network. Each
// test names the load that it plays.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fleet/endpoint_observer.h"
#include "fleet/endpoint_pace.h"
#include "fleet/endpoint_record.h"
#include "fleet/endpoint_selection.h"
#include "fleet/fleet_view.h"
#include "fleet/reported_load.h"
#include "tests/fakes/virtual_clock.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::uint32_t kSlots = 16;
constexpr std::size_t kNodes = 77;

// The paces of one endpoint at all nodes.
class Nodes {
 public:
  explicit Nodes(std::size_t n = kNodes) : paces_(n) {}

  PaceShare Share(std::size_t i) const {
    return {kSlots, paces_.size(),
            static_cast<double>(i) / static_cast<double>(paces_.size())};
  }

  void Begin(PaceCause cause, TimePoint from) {
    for (std::size_t i = 0; i < paces_.size(); ++i) {
      paces_[i].Begin(cause, Share(i), from);
    }
  }

  // Requests that all nodes may have in flight, of at most `wanted` each.
  std::uint32_t Allowed(TimePoint now, std::uint32_t wanted = 1) {
    std::uint32_t out = 0;
    for (std::size_t i = 0; i < paces_.size(); ++i) {
      out += std::min(wanted, paces_[i].Limit(Share(i), now));
    }
    return out;
  }

  // Each node that may send a request gets an answer in `ratio` times the usual
  // time.
  void AnswerAll(double ratio, TimePoint now) {
    for (std::size_t i = 0; i < paces_.size(); ++i) {
      if (paces_[i].Limit(Share(i), now) > 0) {
        paces_[i].OnFirstEvent(ratio, Share(i), now);
      }
    }
  }

  std::size_t Paced() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(paces_, &EndpointPace::is_active));
  }

  EndpointPace& operator[](std::size_t i) { return paces_[i]; }

 private:
  std::vector<EndpointPace> paces_;
};

// Load: 77 nodes that each have a request for an endpoint that has just
// started. Guards against a flood at its start, and against an endpoint that
// stays limited after it has answered.
TEST(EndpointPace, StartIsSharedByAFewNodesAndEnds) {
  Nodes nodes;
  nodes.Begin(PaceCause::kStart, kStart);
  EXPECT_LE(nodes.Allowed(kStart), kSlots / 2);
  EXPECT_GE(nodes.Allowed(kStart), 1U);
  auto now = kStart;
  std::uint32_t before = 0;
  for (int i = 0; i < 8; ++i) {
    const auto allowed = nodes.Allowed(now);
    EXPECT_GE(allowed, before);
    EXPECT_LE(allowed, std::max(kSlots / 2, 3 * before));
    before = allowed;
    nodes.AnswerAll(1, now + milliseconds(50));
    now += EndpointPace::kDoublingInterval;
  }
  EXPECT_EQ(nodes.Allowed(now), kNodes);
  for (int i = 0; i < 20; ++i) {
    nodes.AnswerAll(1, now);
    now += EndpointPace::kDoublingInterval;
    (void)nodes.Allowed(now);
  }
  EXPECT_EQ(nodes.Paced(), 0U);
}

// Load: one node whose requests queue for an endpoint that has just started and
// answers at once. Guards against an endpoint that is left idle although it
// answers well.
TEST(EndpointPace, GoodAnswersRaiseTheLimitWithoutWaiting) {
  Nodes nodes(1);
  nodes.Begin(PaceCause::kStart, kStart);
  for (std::uint32_t i = 0; i < 2 * kSlots; ++i) {
    nodes[0].OnFirstEvent(1, nodes.Share(0), kStart + milliseconds(i));
  }
  EXPECT_FALSE(nodes[0].is_active());
}

// Load: 77 nodes after the backoff of an endpoint that was down. Guards against
// nodes that return all at once, or before the backoff ends.
TEST(EndpointPace, RecoveryStartsAtTheEndOfTheBackoff) {
  Nodes nodes;
  const auto until = kStart + milliseconds(600);
  nodes.Begin(PaceCause::kRecovery, until);
  EXPECT_EQ(nodes.Allowed(until - milliseconds(1)), 0U);
  EXPECT_LE(nodes.Allowed(until), kSlots / 2);
}

// Load: an endpoint in use, one of whose connections fails. Guards against
// lost packets that limit endpoints which work, and against an endpoint that is
// down and not paced because its failures are far apart.
TEST(EndpointPace, SingleConnectFailureDoesNotStartThePace) {
  EndpointPace pace;
  const PaceShare share{kSlots, kNodes, 0.9};
  EXPECT_FALSE(pace.OnUnreachable(share, kStart));
  pace.OnFirstEvent(1, share, kStart);
  EXPECT_FALSE(pace.OnUnreachable(share, kStart));
  EXPECT_EQ(pace.Limit(share, kStart), EndpointPace::kNoLimit);
  const auto until = kStart + seconds(3);
  EXPECT_TRUE(pace.OnUnreachable(share, until));
  EXPECT_EQ(pace.Limit(share, until), 0U);
  // It is still down after the backoff, which starts the pace anew.
  const auto later = until + seconds(3);
  EXPECT_FALSE(pace.OnUnreachable(share, later));
  EXPECT_EQ(pace.Limit(share, later - milliseconds(1)), 0U);
}

// Load: 77 nodes and an endpoint that goes down and up by turns. Guards against
// a limit that is not lowered again at the second recovery.
TEST(EndpointPace, EachRecoveryStartsLow) {
  Nodes nodes;
  auto now = kStart;
  for (int i = 0; i < 3; ++i) {
    nodes.Begin(PaceCause::kRecovery, now);
    EXPECT_LE(nodes.Allowed(now), kSlots / 2);
    for (int step = 0; step < 12; ++step) {
      nodes.AnswerAll(1, now);
      now += EndpointPace::kDoublingInterval;
    }
    EXPECT_EQ(nodes.Allowed(now), kNodes);
  }
}

// Load: many requests of one node that get no answer from a frozen endpoint.
// Guards against nodes that send as before when it wakes up, and against one
// slow answer that limits an endpoint.
TEST(EndpointPace, SilentAnswersStartThePace) {
  EndpointPace pace;
  const PaceShare share{kSlots, kNodes, 0.9};
  EXPECT_FALSE(pace.OnSilent(share, kStart));
  EXPECT_FALSE(pace.OnSilent(share, kStart));
  pace.OnFirstEvent(1, share, kStart);
  EXPECT_FALSE(pace.OnSilent(share, kStart));
  EXPECT_FALSE(pace.OnSilent(share, kStart));
  EXPECT_EQ(pace.Limit(share, kStart), EndpointPace::kNoLimit);
  EXPECT_TRUE(pace.OnSilent(share, kStart));
  EXPECT_EQ(pace.Limit(share, kStart), 0U);
  EXPECT_EQ(pace.cause(), PaceCause::kWakeUp);
}

// Load: 77 nodes while an endpoint that wakes up answers slowly or refuses.
// Guards against growth by time alone against the endpoint's answers.
TEST(EndpointPace, SlowAnswersAndRefusalsHoldTheLimitDown) {
  Nodes nodes;
  nodes.Begin(PaceCause::kWakeUp, kStart);
  auto now = kStart;
  for (int i = 0; i < 4; ++i) {
    nodes.AnswerAll(2 * EndpointPace::kSlowRatio, now);
    now += EndpointPace::kDoublingInterval;
    for (std::size_t n = 0; n < kNodes; ++n) {
      nodes[n].OnRefused(nodes.Share(n), now);
    }
    EXPECT_LE(nodes.Allowed(now), kSlots / 2);
  }
}

// Load: several refusals in a row of an endpoint that was used as usual. Guards
// against nodes that keep sending to a full endpoint, and against leaving its
// slots idle because it was full.
TEST(EndpointPace, RefusalsInARowHalveTheLoadButKeepTheSlotsBusy) {
  Nodes nodes;
  auto now = kStart;
  for (int i = 0; i < 12; ++i) {
    now += EndpointPace::kDoublingInterval;
    for (std::size_t n = 0; n < kNodes; ++n) {
      nodes[n].OnRefused(nodes.Share(n), now);
    }
  }
  EXPECT_EQ(nodes.Paced(), kNodes);
  EXPECT_EQ(nodes.Allowed(now), kSlots);
  EXPECT_EQ(nodes.Allowed(now + seconds(2)), kNodes);
}

// Load: 77 nodes with requests for an endpoint that says that it is slow from
// its start. Guards against a queue at a cold endpoint.
TEST(EndpointPace, ColdEndpointGetsNoMoreThanItsSlots) {
  Nodes warm;
  Nodes cold;
  warm.Begin(PaceCause::kStart, kStart);
  cold.Begin(PaceCause::kStart, kStart);
  const auto cold_end = kStart + seconds(3);
  for (std::size_t n = 0; n < kNodes; ++n) {
    cold[n].SetColdUntil(cold_end);
  }
  auto now = kStart;
  for (; now < kStart + EndpointPace::kMaxIdle / 2; now += milliseconds(50)) {
    warm.AnswerAll(1, now);
    cold.AnswerAll(2, now);
    EXPECT_LE(cold.Allowed(now), kSlots);
  }
  EXPECT_GT(warm.Allowed(now), kSlots);
  for (now = cold_end; now < cold_end + seconds(3);
       now += EndpointPace::kDoublingInterval) {
    EXPECT_GT(cold.Paced(), 0U);
    cold.AnswerAll(1, now);
    if (cold.Allowed(now) == kNodes) {
      break;
    }
  }
  EXPECT_LT(now, cold_end + seconds(3));
}

// Load: a single node of the highest rank that has demand. Guards against an
// endpoint that is left idle because the nodes that may start it have none.
TEST(EndpointPace, EndpointIsNeverIdleForLong) {
  for (const auto cause : {PaceCause::kStart, PaceCause::kRecovery,
                           PaceCause::kWakeUp, PaceCause::kRefusals}) {
    EndpointPace pace;
    const PaceShare share{kSlots, kNodes, 0.99};
    pace.Begin(cause, share, kStart);
    EXPECT_GE(pace.Limit(share, kStart + EndpointPace::kMaxIdle), 1U);
  }
}

// Load: requests of all nodes for which a starting endpoint is the only one.
// Guards against requests that wait while it is idle, and against all nodes
// sending at the same moment.
TEST(EndpointPace, OnlyEndpointIsUsedByAllNodesSoon) {
  Nodes nodes;
  nodes.Begin(PaceCause::kStart, kStart);
  const auto allowed = [&](TimePoint now) {
    std::size_t out = 0;
    for (std::size_t n = 0; n < kNodes; ++n) {
      out += nodes[n].LimitAlone(nodes.Share(n), now) > 0 ? 1 : 0;
    }
    return out;
  };
  EXPECT_LE(allowed(kStart), kSlots / 2);
  EXPECT_LE(allowed(kStart + EndpointPace::kAloneSpread / 2), kNodes * 2 / 3);
  EXPECT_EQ(allowed(kStart + EndpointPace::kAloneSpread), kNodes);
}

// A node's view of one service with three endpoints, one of 77 nodes.
class ObservedFleet : public testing::Test {
 protected:
  void SetUp() override {
    view.observer().SetNodes("node", [] { return kNodes; });
    for (const auto* id : {"a", "b", "c"}) {
      List(id, 1);
    }
  }

  void List(const std::string& id, std::uint64_t boot, milliseconds cold = {}) {
    EndpointRecord record;
    record.id = id;
    record.service = "s";
    record.slots = kSlots;
    record.boot = boot;
    record.cold_time_left = cold;
    view.directory().Update(record, clock.Now());
  }

  std::vector<SelectionCandidate> Candidates() {
    auto out = view.Candidates("s", {}, {});
    view.AddObservations(out);
    return out;
  }

  // Returns the candidate with that id.
  SelectionCandidate Candidate(const std::string& id) {
    for (const auto& it : Candidates()) {
      if (it.record->id == id) {
        return it;
      }
    }
    ADD_FAILURE() << id;
    return {};
  }

  std::uint64_t NowMs() const {
    return static_cast<std::uint64_t>(clock.WallNow().count());
  }

  VirtualClock clock;
  FleetView view{"z", clock};
};

// Guards against a change for services whose endpoints do not report their
// load: no endpoint is held back, and the choice has nothing but the counts.
TEST_F(ObservedFleet, NothingChangesWithoutAReport) {
  List("b", NowMs(), seconds(5));
  view.OnUnreachable("c", 1);
  view.OnUnreachable("c", 1);
  clock.SleepUntil(clock.Now() + EndpointHealth::kInitialBackoff);
  for (int i = 0; i < 5; ++i) {
    view.OnRefused("a", 1);
    view.OnSilent("a", 1);
    view.OnFirstEvent("a", 1, 0, seconds(1));
  }
  for (const auto& it : Candidates()) {
    EXPECT_FALSE(it.held_back);
    EXPECT_EQ(it.uncounted_in_flight, 0);
    EXPECT_EQ(it.slowness, 1);
  }
  EXPECT_EQ(view.observer().PacedCount(), 0U);
}

// Guards against pacing endpoints that have long been started, and against
// flooding one that has just restarted under its id.
TEST_F(ObservedFleet, OnlyRecentStartsArePaced) {
  std::vector<PaceChange> changes;
  view.observer().OnPaceChanged(
      [&](const PaceChange& it) { changes.push_back(it); });
  view.OnReportedLoad("a", 1, {0, 0, kSlots, 1.0});
  (void)Candidate("a");
  EXPECT_EQ(view.observer().PacedCount(), 0U);
  List("b", NowMs());
  (void)Candidate("b");
  EXPECT_EQ(view.observer().PacedCount(), 1U);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].endpoint, "b");
  EXPECT_TRUE(changes[0].paced);
}

// Guards against an endpoint that is paced for what its earlier start did, and
// against its report of that time.
TEST_F(ObservedFleet, NewStartClearsReportsAndPace) {
  view.OnReportedLoad("a", 1, {kSlots, 10, kSlots, 5.0});
  EXPECT_GT(Candidate("a").uncounted_in_flight, kSlots);
  view.OnUnreachable("a", 1);
  view.OnUnreachable("a", 1);
  EXPECT_EQ(view.observer().PacedCount(), 1U);
  List("a", 2);
  clock.SleepUntil(clock.Now() + EndpointHealth::kInitialBackoff);
  view.OnReportedLoad("a", 1, {kSlots, 10, kSlots, 5.0});
  EXPECT_LT(Candidate("a").uncounted_in_flight, kSlots / 2);
  EXPECT_EQ(view.observer().PacedCount(), 0U);
}

// Guards against an old figure that is taken for the present one: the estimate
// moves to the average of the service, not to an idle endpoint.
TEST_F(ObservedFleet, ReportsAge) {
  view.OnReportedLoad("a", 1, {kSlots, 8, kSlots, 4.0});
  const auto fresh = Candidate("a");
  clock.SleepUntil(clock.Now() + seconds(20));
  const auto old = Candidate("a");
  EXPECT_GT(fresh.uncounted_in_flight, 20);
  EXPECT_GT(fresh.slowness, 3.5);
  const auto never_heard = Candidate("b");
  EXPECT_NEAR(old.uncounted_in_flight, never_heard.uncounted_in_flight, 0.1);
  EXPECT_NEAR(old.slowness, never_heard.slowness, 0.1);
}

// Guards against nodes that return all at once after a pause that an endpoint
// asked for, and against a pace that goes on once it answers as usual.
TEST_F(ObservedFleet, PauseIsFollowedByAPace) {
  view.OnReportedLoad("a", 1, {0, 0, kSlots, 1.0});
  const auto until = clock.Now() + seconds(1);
  EXPECT_TRUE(view.OnPause("a", 1, until));
  clock.SleepUntil(until);
  (void)Candidate("a");
  EXPECT_EQ(view.observer().PacedCount(), 1U);
  for (int i = 0; i < 20; ++i) {
    view.OnFirstEvent("a", 1, 0, milliseconds(10));
    clock.SleepUntil(clock.Now() + EndpointPace::kDoublingInterval);
    (void)Candidate("a");
  }
  EXPECT_EQ(view.observer().PacedCount(), 0U);
}

// Guards against a service that stays full for ever: no requests are sent while
// all its endpoints count as full, so that no report says otherwise.
TEST_F(ObservedFleet, FullServiceIsTriedAgain) {
  for (int i = 0; i < 100; ++i) {
    for (const auto* id : {"a", "b", "c"}) {
      view.OnReportedLoad(id, 1, {kSlots, 4 * kSlots, kSlots, 1.0});
      clock.SleepUntil(clock.Now() + milliseconds(1));
    }
  }
  EXPECT_GT(Candidate("a").uncounted_in_flight, 2 * kSlots);
  clock.SleepUntil(clock.Now() + seconds(5));
  EXPECT_LT(Candidate("a").uncounted_in_flight, kSlots);
}

// Guards against an old slowness that counts as new because the endpoint still
// reports its queue.
TEST_F(ObservedFleet, SlownessAgesByItself) {
  view.OnReportedLoad("a", 1, {0, 0, kSlots, 4.0});
  clock.SleepUntil(clock.Now() + seconds(20));
  view.OnReportedLoad("a", 1, {0, 0, kSlots, {}});
  EXPECT_NEAR(Candidate("a").slowness, Candidate("b").slowness, 0.1);
}

// Guards against an endpoint without reports that is taken for a fast one while
// its answers are slow, and against one slow answer that sets it aside.
TEST_F(ObservedFleet, SilentEndpointIsJudgedByItsAnswers) {
  view.OnReportedLoad("a", 1, {0, 0, kSlots, 1.0});
  for (int i = 0; i < 20; ++i) {
    view.OnFirstEvent("a", 1, 0, milliseconds(20));
    view.OnFirstEvent("b", 1, 0, milliseconds(100));
  }
  view.OnFirstEvent("c", 1, 0, milliseconds(100));
  EXPECT_GT(Candidate("b").slowness, 1.3);
  EXPECT_LT(Candidate("b").slowness, 5);
  EXPECT_LT(Candidate("c").slowness, Candidate("b").slowness);
  EXPECT_NEAR(Candidate("a").slowness, 1, 0.1);
}

}  // namespace
}  // namespace tanagerloom
