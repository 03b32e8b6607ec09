// Tests of the crash counts that nodes exchange, with simulated peers.
#include "forwarding/crash_guard.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>

#include "base/event_log.h"
#include "fleet/request_profile.h"
#include "http/http_message.h"
#include "tests/fakes/virtual_clock.h"
#include "tests/support/crash_guard_node.h"

namespace tanagerloom {
namespace {

class CrashGuardTest : public testing::Test {
 protected:
  // Counts as many crashes at `node` as are needed to refuse the request.
  void Quarantine(CrashGuardNode& node) {
    for (std::uint32_t i = 0; i < CrashSuspects::kCrashLimit; ++i) {
      node.guard.OnCrash({"id-1", "i-a", fingerprints, false});
    }
    ASSERT_TRUE(node.guard.IsQuarantined(fingerprints));
  }

  FakeCluster cluster;
  VirtualClock clock;
  EventLog log{"test", 1000, MakeNullLogger()};
  RequestFingerprints fingerprints = FingerprintsOf(HttpRequest(), {});
};

// Guards against a node that sends a request on that the other nodes refuse,
// because it started after the last crash.
TEST_F(CrashGuardTest, NodeThatStartedLaterLearnsOfTheQuarantine) {
  CrashGuardNode first(cluster, clock, log, "n-1");
  Quarantine(first);
  CrashGuardNode second(cluster, clock, log, "n-2");
  EXPECT_FALSE(second.guard.IsQuarantined(fingerprints));
  first.guard.AnnounceQuarantined();
  EXPECT_TRUE(second.guard.IsQuarantined(fingerprints));
}

// Guards against the same after a cut in which the notices of the crashes were
// lost.
TEST_F(CrashGuardTest, NodeThatWasCutOffLearnsOfTheQuarantine) {
  CrashGuardNode first(cluster, clock, log, "n-1");
  CrashGuardNode second(cluster, clock, log, "n-2");
  cluster.deliver = [](const std::string&, const std::string&) {
    return false;
  };
  Quarantine(first);
  cluster.deliver = [](const std::string&, const std::string&) { return true; };
  first.guard.AnnounceQuarantined();
  EXPECT_TRUE(second.guard.IsQuarantined(fingerprints));
}

// Guards against a quarantine that never ends because the nodes announce it to
// each other again and again.
TEST_F(CrashGuardTest, AnnouncementsDoNotProlongAQuarantine) {
  CrashGuardNode first(cluster, clock, log, "n-1");
  CrashGuardNode second(cluster, clock, log, "n-2");
  Quarantine(first);
  for (auto waited = Duration(0); waited < CrashSuspects::kRetention;
       waited += std::chrono::seconds(30)) {
    first.guard.AnnounceQuarantined();
    second.guard.AnnounceQuarantined();
    clock.SleepFor(std::chrono::seconds(30));
  }
  EXPECT_FALSE(first.guard.IsQuarantined(fingerprints));
  EXPECT_FALSE(second.guard.IsQuarantined(fingerprints));
}

// Guards against a suspicion that stays at other nodes after the request has
// run without a crash.
TEST_F(CrashGuardTest, CompletedRequestIsNoLongerSuspectedAnywhere) {
  CrashGuardNode first(cluster, clock, log, "n-1");
  CrashGuardNode second(cluster, clock, log, "n-2");
  first.guard.OnCrash({"id-1", "i-a", fingerprints, false});
  EXPECT_TRUE(second.guard.IsSuspected(fingerprints));
  first.guard.OnCompleted(fingerprints);
  EXPECT_FALSE(second.guard.IsSuspected(fingerprints));
}

// Returns the fingerprints of a request with this shared beginning and this
// shared second part, which no other request equals.
RequestFingerprints Prompt(const std::string& first,
                           const std::string& second) {
  static int n = 0;
  HttpRequest request;
  request.body = "request " + std::to_string(++n);
  RequestProfile profile;
  profile.prompt = {{first, 90}, {second, 60}, {request.body, 400}};
  return FingerprintsOf(request, profile);
}

// A run of a request at an engine.
struct Run {
  std::size_t node = 0;
  RequestFingerprints fingerprints;
  bool deadly = false;
  TimePoint answers_at;
  TimePoint ends_at;
  bool answering = false;
};

// Plays nodes and engines while some of the requests crash the engine that
// begins to answer them.
class EngineCrashes {
 public:
  EngineCrashes(std::uint32_t seed, double deadly_share)
      : random_(seed), deadly_share_(deadly_share) {
    for (std::size_t i = 0; i < kNodes; ++i) {
      nodes_.push_back(std::make_unique<CrashGuardNode>(
          cluster_, clock_, log_, "n-" + std::to_string(i)));
    }
  }

  void Play(Duration duration, bool with_deadly) {
    const auto end = clock_.Now() + duration;
    while (clock_.Now() < end) {
      Arrive(with_deadly);
      for (auto& it : engines_) {
        Step(it);
      }
      clock_.SleepFor(kStep);
    }
  }

  int crashes() const { return crashes_; }
  /// Sound requests that arrived and that were refused, since the last reset.
  int arrived = 0;
  int refused = 0;

 private:
  static constexpr std::size_t kNodes = 8;
  static constexpr std::size_t kEngines = 12;
  static constexpr auto kStep = std::chrono::milliseconds(12);
  static constexpr auto kRestartTime = std::chrono::seconds(3);

  struct Engine {
    TimePoint up_at;
    std::uint64_t boot = 0;
    std::vector<Run> runs;
  };

  std::size_t Draw(std::size_t n) { return random_() % n; }

  void Arrive(bool with_deadly) {
    Run run;
    run.node = Draw(kNodes);
    run.deadly = with_deadly && Draw(1000) < 1000 * deadly_share_;
    run.fingerprints =
        Prompt("first-" + std::to_string(Draw(3)),
               run.deadly ? "deadly" : "second-" + std::to_string(Draw(168)));
    const bool refuse = nodes_[run.node]->guard.IsQuarantined(run.fingerprints);
    if (!run.deadly) {
      ++arrived;
      refused += refuse ? 1 : 0;
    }
    auto& engine = engines_[Draw(kEngines)];
    if (refuse || engine.up_at > clock_.Now()) {
      return;
    }
    run.answers_at = clock_.Now() + std::chrono::milliseconds(50 + Draw(150));
    run.ends_at = run.answers_at + std::chrono::milliseconds(100 + Draw(400));
    engine.runs.push_back(std::move(run));
  }

  void Step(Engine& engine) {
    const auto now = clock_.Now();
    const bool crashes = std::ranges::any_of(engine.runs, [&](const auto& it) {
      return it.deadly && it.answers_at <= now;
    });
    for (auto& it : engine.runs) {
      auto& guard = nodes_[it.node]->guard;
      if (crashes) {
        guard.OnCrash({"id", "i", it.fingerprints, it.answering, engine.boot});
      } else if (!it.answering && it.answers_at <= now) {
        it.answering = true;
        guard.OnAnswering(it.fingerprints);
      }
    }
    if (crashes) {
      ++crashes_;
      engine.runs.clear();
      engine.up_at = now + kRestartTime;
      engine.boot = ++starts_;
    }
    std::erase_if(engine.runs,
                  [&](const auto& it) { return it.ends_at <= now; });
  }

  FakeCluster cluster_;
  VirtualClock clock_;
  EventLog log_{"test", 1000, MakeNullLogger()};
  std::mt19937 random_;
  double deadly_share_;
  std::vector<std::unique_ptr<CrashGuardNode>> nodes_;
  std::vector<Engine> engines_{kEngines};
  int crashes_ = 0;
  std::uint64_t starts_ = kEngines;
};

// Guards against requests that crash one engine after another because no two of
// them are alike, and against refusing sound requests that share their other
// parts or run beside them.
TEST(CrashGuard, OnlyThePartThatCrashesEnginesIsRefused) {
  for (const double share : {0.01, 0.05, 0.2, 0.5}) {
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
      EngineCrashes play(seed, share);
      play.Play(std::chrono::seconds(5), /*with_deadly=*/false);
      play.Play(std::chrono::seconds(20), /*with_deadly=*/true);
      const auto crashes = play.crashes();
      play.arrived = 0;
      play.refused = 0;
      play.Play(std::chrono::seconds(10), /*with_deadly=*/true);
      EXPECT_EQ(play.crashes(), crashes) << share << ' ' << seed;
      EXPECT_LE(play.refused, play.arrived / 20) << share << ' ' << seed;
    }
  }
}

}  // namespace
}  // namespace tanagerloom
