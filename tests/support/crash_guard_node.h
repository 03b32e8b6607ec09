// Defines CrashGuardNode, the crash counts of one simulated node.
#ifndef TESTS_SUPPORT_CRASH_GUARD_NODE_H_
#define TESTS_SUPPORT_CRASH_GUARD_NODE_H_

#include <string>
#include <utility>
#include <vector>

#include "forwarding/crash_guard.h"
#include "tests/fakes/fake_peers.h"

namespace tanagerloom {

// One node with its crash counts. While `delayed`, messages of its peers are on
// their way until Deliver.
struct CrashGuardNode {
  CrashGuardNode(FakeCluster& cluster,
                 Clock& clock,
                 EventLog& log,
                 std::string id)
      : peers(cluster, std::move(id), "z"), guard(peers, clock, log) {
    peers.OnMessage([this](const std::string&, const PeerMessage& message) {
      on_their_way.push_back(message);
      if (!delayed) {
        Deliver();
      }
    });
  }

  void Deliver() {
    for (const auto& message : std::exchange(on_their_way, {})) {
      if (const auto* it = std::get_if<CrashNotice>(&message)) {
        guard.OnNotice(*it);
      }
    }
  }

  FakePeers peers;
  CrashGuard guard;
  bool delayed = false;
  std::vector<PeerMessage> on_their_way;
};

}  // namespace tanagerloom

#endif  // TESTS_SUPPORT_CRASH_GUARD_NODE_H_
