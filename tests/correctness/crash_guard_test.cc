// Tests of the crash counts that nodes exchange, with simulated peers.
#include "forwarding/crash_guard.h"

#include <gtest/gtest.h>

#include "base/event_log.h"
#include "http/http_message.h"
#include "tests/fakes/fake_peers.h"
#include "tests/fakes/virtual_clock.h"

namespace tanagerloom {
namespace {

// One node with its crash counts.
struct Node {
  Node(FakeCluster& cluster, Clock& clock, EventLog& log, std::string id)
      : peers(cluster, std::move(id), "z"), guard(peers, clock, log) {
    peers.OnMessage([this](const std::string&, const PeerMessage& message) {
      if (const auto* it = std::get_if<CrashNotice>(&message)) {
        guard.OnNotice(*it);
      }
    });
  }

  FakePeers peers;
  CrashGuard guard;
};

class CrashGuardTest : public testing::Test {
 protected:
  // Counts as many crashes at `node` as are needed to refuse the request.
  void Quarantine(Node& node) {
    for (std::uint32_t i = 0; i < CrashSuspects::kCrashLimit; ++i) {
      node.guard.OnCrash({"id-1", "i-a", fingerprints});
    }
    ASSERT_TRUE(node.guard.IsQuarantined(fingerprints));
  }

  FakeCluster cluster;
  VirtualClock clock;
  EventLog log{"test", 1000, MakeNullLogger()};
  RequestFingerprints fingerprints = FingerprintsOf(HttpRequest());
};

// Guards against a node that sends a request on that the other nodes refuse,
// because it started after the last crash.
TEST_F(CrashGuardTest, NodeThatStartedLaterLearnsOfTheQuarantine) {
  Node first(cluster, clock, log, "n-1");
  Quarantine(first);
  Node second(cluster, clock, log, "n-2");
  EXPECT_FALSE(second.guard.IsQuarantined(fingerprints));
  first.guard.AnnounceQuarantined();
  EXPECT_TRUE(second.guard.IsQuarantined(fingerprints));
}

// Guards against the same after a cut in which the notices of the crashes were
// lost.
TEST_F(CrashGuardTest, NodeThatWasCutOffLearnsOfTheQuarantine) {
  Node first(cluster, clock, log, "n-1");
  Node second(cluster, clock, log, "n-2");
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
  Node first(cluster, clock, log, "n-1");
  Node second(cluster, clock, log, "n-2");
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
  Node first(cluster, clock, log, "n-1");
  Node second(cluster, clock, log, "n-2");
  first.guard.OnCrash({"id-1", "i-a", fingerprints});
  EXPECT_TRUE(second.guard.IsSuspected(fingerprints));
  first.guard.OnCompleted(fingerprints);
  EXPECT_FALSE(second.guard.IsSuspected(fingerprints));
}

}  // namespace
}  // namespace tanagerloom
