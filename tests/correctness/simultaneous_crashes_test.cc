// Tests of crash counts when several nodes count crashes before they hear of
// each other's.
#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <algorithm>
#include <array>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "fleet/request_profile.h"
#include "http/http_message.h"
#include "tests/fakes/virtual_clock.h"
#include "tests/support/crash_guard_node.h"

namespace tanagerloom {
namespace {

class SimultaneousCrashes : public testing::Test {
 protected:
  SimultaneousCrashes() { StartNodes(); }

  void StartNodes() {
    nodes.clear();
    for (int i = 0; i < 4; ++i) {
      nodes.push_back(std::make_unique<CrashGuardNode>(
          cluster, clock, log, "n-" + std::to_string(i)));
    }
  }

  // Counts a crash under the request at each of the nodes before any of them
  // hears of the others'.
  void CrashAtOnce(std::span<const std::size_t> at,
                   const RequestFingerprints& fingerprints) {
    for (auto& it : nodes) {
      it->delayed = true;
    }
    for (const auto i : at) {
      nodes[i]->guard.OnCrash(
          {"id-" + std::to_string(i), "i-a", fingerprints, false});
    }
    for (auto& it : nodes) {
      it->delayed = false;
      it->Deliver();
    }
  }

  // Number of nodes that refuse the request.
  std::size_t Refusing(const RequestFingerprints& fingerprints) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        nodes,
        [&](const auto& it) { return it->guard.IsQuarantined(fingerprints); }));
  }

  FakeCluster cluster;
  VirtualClock clock;
  EventLog log{"test", 1000, MakeNullLogger()};
  std::vector<std::unique_ptr<CrashGuardNode>> nodes;
  RequestFingerprints request = FingerprintsOf(HttpRequest(), {});
};

// Guards against crashes of equal requests that count as one because several
// nodes see them at the same moment.
TEST_F(SimultaneousCrashes, CrashesOfAllNodesAddUp) {
  CrashAtOnce(std::array<std::size_t, 3>{0, 1, 2}, request);
  EXPECT_EQ(Refusing(request), nodes.size());
}

// Guards against a request that is refused too early because a crash is
// announced more than once.
TEST_F(SimultaneousCrashes, CrashIsCountedOnceHoweverOftenItIsAnnounced) {
  CrashAtOnce(std::array<std::size_t, 1>{0}, request);
  CrashAtOnce(std::array<std::size_t, 1>{1}, request);
  EXPECT_EQ(Refusing(request), 0U);
}

// Guards against crashes that are forgotten because a cut kept nodes from
// hearing of each other's.
TEST_F(SimultaneousCrashes, CrashesCountedDuringACutAddUpAfterIt) {
  cluster.deliver = [](const std::string&, const std::string&) {
    return false;
  };
  nodes[0]->guard.OnCrash({"id-1", "i-a", request, false});
  nodes[1]->guard.OnCrash({"id-2", "i-b", request, false});
  cluster.deliver = [](const std::string&, const std::string&) { return true; };
  nodes[0]->guard.OnCrash({"id-3", "i-c", request, false});
  for (auto& it : nodes) {
    it->guard.AnnounceQuarantined();
  }
  EXPECT_EQ(Refusing(request), nodes.size());
}

// Guards against refusing a popular request because several of its runs were at
// one endpoint when that crashed for another reason.
TEST_F(SimultaneousCrashes, CrashesUnderAPopularSoundRequestDoNotAddUp) {
  for (const auto& it : nodes) {
    it->guard.OnCompleted(request);
    it->guard.OnCompleted(request);
  }
  clock.SleepFor(std::chrono::seconds(1));
  CrashAtOnce(std::array<std::size_t, 3>{0, 1, 2}, request);
  EXPECT_EQ(Refusing(request), 0U);
}

// Guards against nodes that disagree because notices reach them late, more than
// once or not at all while they are cut off.
TEST_F(SimultaneousCrashes, NodesAgreeWhateverHappensToTheirNotices) {
  EXPECT_TRUE(rc::check([this] {
    StartNodes();
    const auto n = *rc::gen::inRange<std::size_t>(0, 6);
    bool any_lost = false;
    for (std::size_t i = 0; i < n; ++i) {
      const auto lost = *rc::gen::inRange<std::size_t>(0, 2 * nodes.size());
      any_lost = any_lost || lost < nodes.size();
      cluster.deliver = [&](const std::string&, const std::string& to) {
        return lost >= nodes.size() || to != nodes[lost]->peers.node_id();
      };
      for (auto& it : nodes) {
        it->delayed = *rc::gen::arbitrary<bool>();
      }
      const auto at = *rc::gen::inRange<std::size_t>(0, nodes.size());
      nodes[at]->guard.OnCrash({"id", "i-a", request, false});
    }
    cluster.deliver = [](const std::string&, const std::string&) {
      return true;
    };
    for (int round = 0; round < 2; ++round) {
      for (auto& it : nodes) {
        it->delayed = false;
        it->Deliver();
        it->guard.AnnounceQuarantined();
      }
    }
    const auto refusing = Refusing(request);
    RC_ASSERT(refusing == 0 || refusing == nodes.size());
    if (n < CrashSuspects::kCrashLimit) {
      RC_ASSERT(refusing == 0U);
    } else {
      RC_ASSERT(any_lost || refusing == nodes.size());
    }
  }));
}

// Guards against refusing a part of a prompt, which many requests share,
// because all nodes see the one crash of an engine.
TEST_F(SimultaneousCrashes, OneCrashSeenByAllNodesCountsOnceForAPart) {
  RequestProfile profile;
  profile.prompt = {{"shared", 90}, {"own", 400}};
  CrashAtOnce(std::array<std::size_t, 4>{0, 1, 2, 3},
              FingerprintsOf(HttpRequest(), profile));
  HttpRequest other;
  other.body = "another request with the part";
  EXPECT_EQ(Refusing(FingerprintsOf(other, profile)), 0U);
}

// Guards against refusing a part of a prompt too early because a node that was
// suspended gets the notices of one crash late and counts it again.
TEST_F(SimultaneousCrashes, LateNoticesDoNotCountACrashOfAPartAgain) {
  RequestProfile profile;
  profile.prompt = {{"shared", 90}, {"own", 400}};
  const auto part = FingerprintsOf(HttpRequest(), profile);
  const auto crash = [&](const std::string& endpoint) {
    for (const auto i : {0, 1}) {
      nodes[i]->delayed = true;
    }
    for (const auto i : {0, 1}) {
      nodes[i]->guard.OnCrash({"id", endpoint, part, false});
    }
    for (const auto i : {0, 1}) {
      nodes[i]->delayed = false;
      nodes[i]->Deliver();
    }
  };
  nodes[2]->delayed = true;
  crash("i-a");
  clock.SleepFor(std::chrono::seconds(3));
  nodes[2]->delayed = false;
  nodes[2]->Deliver();
  clock.SleepFor(std::chrono::seconds(2));
  crash("i-b");
  HttpRequest other;
  other.body = "another request with the part";
  EXPECT_EQ(Refusing(FingerprintsOf(other, profile)), 0U);
}

}  // namespace
}  // namespace tanagerloom
