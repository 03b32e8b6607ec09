// Tests of the parts of the peer network without I/O: the membership table, the
// filter for duplicate messages, the choice of links and the outbound queue.
#include <gtest/gtest.h>

#include <rapidcheck.h>

#include <set>

#include "membership/flood_filter.h"
#include "membership/link_choice.h"
#include "membership/link_state_table.h"
#include "membership/member_table.h"
#include "membership/outbound_queue.h"
#include "wire/frame.h"

namespace tanagerloom {
namespace {

using namespace std::chrono_literals;

class MemberTableTest : public testing::Test {
 protected:
  void SetListedVms(const std::vector<std::string>& ids) {
    std::vector<Vm> vms;
    for (const auto& it : ids) {
      vms.emplace_back().id = it;
    }
    table_.SetVms(std::move(vms), now_);
  }

  IncarnationCheck CheckPeer(const std::string& incarnation, bool direct) {
    return table_.CheckIncarnation("b", incarnation, direct, now_);
  }

  bool MayRun(std::string_view process) {
    return table_.MayStillRun(process, now_);
  }

  TimePoint now_ = TimePoint(100s);
  MemberTable table_{"a", "5", {.peer_timeout = 1s, .sender_gone = 60s}};
};

// Guards against taking a process for terminated that can still deliver orders:
// its VM must be absent from VM lists for the whole sender-gone time.
TEST_F(MemberTableTest, SenderMayRunUntilAbsentForTheSenderGoneTime) {
  EXPECT_TRUE(MayRun("b/1"));
  SetListedVms({"a", "b"});
  now_ += 300s;
  EXPECT_TRUE(MayRun("b/1"));
  SetListedVms({"a"});
  now_ += 59s;
  SetListedVms({"a"});
  EXPECT_TRUE(MayRun("b/1"));
  // Without a newer VM list, passing time does not show that the VM is absent.
  now_ += 600s;
  EXPECT_TRUE(MayRun("b/1"));
  SetListedVms({"a"});
  EXPECT_FALSE(MayRun("b/1"));
}

// Guards against taking a process for terminated that is absent from the VM
// list but still sends messages.
TEST_F(MemberTableTest, HeardSenderMayRunAlthoughItIsNotListed) {
  CheckPeer("1", true);
  table_.FindOrAddKnown("b").reachable = true;
  SetListedVms({"a"});
  now_ += 300s;
  SetListedVms({"a"});
  EXPECT_TRUE(MayRun("b/1"));
  table_.FindOrAddKnown("b").reachable = false;
  table_.FindOrAddKnown("b").last_heard_at = now_;
  EXPECT_TRUE(MayRun("b/1"));
  now_ += 60s;
  EXPECT_FALSE(MayRun("b/1"));
}

// Guards against waiting forever for a process that was replaced by a restart,
// and against taking a paused process for terminated at once.
TEST_F(MemberTableTest, ReplacedIncarnationMayRunForTheSenderGoneTime) {
  SetListedVms({"a", "b"});
  CheckPeer("1", true);
  EXPECT_EQ(CheckPeer("2", false), IncarnationCheck::kNew);
  now_ += 59s;
  EXPECT_TRUE(MayRun("b/1"));
  // The earlier process was only paused and still sends messages.
  EXPECT_EQ(CheckPeer("1", false), IncarnationCheck::kStale);
  now_ += 59s;
  EXPECT_TRUE(MayRun("b/1"));
  now_ += 1s;
  EXPECT_FALSE(MayRun("b/1"));
  EXPECT_TRUE(MayRun("b/2"));
  EXPECT_TRUE(MayRun("a/5"));
  EXPECT_FALSE(MayRun("a/4"));
}

// Guards against a VM that is refused forever because its wall clock is behind,
// and against a late connection of an earlier process that replaces the new
// one.
TEST_F(MemberTableTest, EarlierIncarnationNeedsADirectConnectionAndSilence) {
  EXPECT_EQ(CheckPeer("7", true), IncarnationCheck::kNew);
  table_.FindOrAddKnown("b").last_heard_at = now_;
  EXPECT_EQ(CheckPeer("3", true), IncarnationCheck::kStale);
  now_ += 3s;
  EXPECT_EQ(CheckPeer("3", false), IncarnationCheck::kStale);
  EXPECT_EQ(CheckPeer("3", true), IncarnationCheck::kNew);
  EXPECT_EQ(CheckPeer("7", false), IncarnationCheck::kStale);
}

// Guards against an endpoint that stays unused after a wrong notice that it is
// leaving.
TEST_F(MemberTableTest, LeavingNoticeExpires) {
  SetListedVms({"a", "gw"});
  EXPECT_TRUE(table_.RecordLeaving("gw", now_ + 60s, now_));
  EXPECT_FALSE(table_.RecordLeaving("gw", now_ + 60s, now_));
  EXPECT_TRUE(table_.Vms(now_)[1].leaving);
  now_ += 61s;
  EXPECT_FALSE(table_.Vms(now_)[1].leaving);
}

// Guards against a duplicate message that is accepted, and against a late
// message within the window that is dropped.
TEST(FloodFilterTest, AcceptsEachNumberInTheWindowOnce) {
  EXPECT_TRUE(rc::check([] {
    FloodFilter filter;
    std::set<std::uint64_t> seen;
    std::uint64_t highest = 0;
    for (int i = 0; i < 200; ++i) {
      const auto number = *rc::gen::inRange<std::uint64_t>(1, 3000);
      highest = std::max(highest, number);
      const bool in_window = highest - number < FloodFilter::kWindowSize;
      RC_ASSERT(filter.Accept(number) ==
                (in_window && seen.insert(number).second));
    }
  }));
}

// Guards against a fleet that is partitioned, and against a number of links for
// each node that grows with the size of the fleet.
TEST(LinkChoiceTest, FleetIsConnectedWithTheRequestedNumberOfLinks) {
  constexpr int kNodes = 530;
  constexpr std::uint32_t kLinks = 8;
  std::vector<std::string> ids;
  for (int i = 0; i < kNodes; ++i) {
    ids.push_back("node-" + std::to_string(i));
  }
  std::map<std::string, std::set<std::string>> graph;
  for (const auto& id : ids) {
    std::vector<LinkCandidate> others;
    for (const auto& it : ids) {
      if (it != id) {
        others.push_back({it, true});
      }
    }
    for (const auto& it : ChooseLinks(id, others, kLinks)) {
      graph[id].insert(it);
      graph[it].insert(id);
    }
  }
  LinkStateTable table;
  std::size_t links = 0;
  std::size_t max_links = 0;
  for (const auto& [id, neighbours] : graph) {
    table.Apply({id,
                 "1",
                 1,
                 true,
                 false,
                 false,
                 {neighbours.begin(), neighbours.end()},
                 {}});
    links += neighbours.size();
    max_links = std::max(max_links, neighbours.size());
  }
  EXPECT_EQ(table.Reachable({ids[0]}).size(), ids.size());
  EXPECT_LE(links, std::size_t{kNodes} * kLinks);
  EXPECT_GE(links, std::size_t{kNodes} * kLinks * 3 / 4);
  EXPECT_LE(max_links, std::size_t{2} * kLinks);
}

// Guards against floods that cross between data centres over most links, and
// against data centres that are partitioned when a few nodes fail.
TEST(LinkChoiceTest, FewLinksLeadToOtherDataCentres) {
  constexpr int kNodes = 75;
  constexpr int kDataCentres = 3;
  constexpr std::uint32_t kLinks = 8;
  const auto node_name = [](int i) { return "node-" + std::to_string(i); };
  std::set<std::pair<int, int>> cross_links;
  std::size_t local_links = 0;
  std::map<std::string, std::set<std::string>> graph;
  for (int i = 0; i < kNodes; ++i) {
    std::vector<LinkCandidate> others;
    for (int k = 0; k < kNodes; ++k) {
      if (k != i) {
        others.push_back({node_name(k), i % kDataCentres == k % kDataCentres});
      }
    }
    const auto chosen = ChooseLinks(node_name(i), others, kLinks);
    for (int k = 0; k < kNodes; ++k) {
      if (!chosen.contains(node_name(k))) {
        continue;
      }
      graph[node_name(i)].insert(node_name(k));
      graph[node_name(k)].insert(node_name(i));
      if (i % kDataCentres == k % kDataCentres) {
        ++local_links;
      } else {
        cross_links.insert(std::minmax(i, k));
      }
    }
  }
  EXPECT_LE(cross_links.size(), std::size_t{kNodes});
  EXPECT_GE(cross_links.size(), std::size_t{kNodes} / 3);
  EXPECT_GE(local_links, std::size_t{4} * kNodes);
  LinkStateTable table;
  for (const auto& [id, neighbours] : graph) {
    table.Apply({id,
                 "1",
                 1,
                 true,
                 false,
                 false,
                 {neighbours.begin(), neighbours.end()},
                 {}});
  }
  EXPECT_EQ(table.Reachable({node_name(0)}).size(), std::size_t{kNodes});
}

// Guards against a table that keeps removed links after a lost or duplicate
// report.
TEST(LinkStateTableTest, ReportsAreAppliedOnlyInOrder) {
  LinkStateTable table;
  const auto apply = [&](std::uint64_t version, bool full,
                         std::vector<std::string> added,
                         std::vector<std::string> removed) {
    return table.Apply({"b", "1", version, full, false, false, std::move(added),
                        std::move(removed)});
  };
  EXPECT_EQ(apply(2, false, {"c"}, {}), LinkStateOutcome::kMissing);
  EXPECT_EQ(apply(1, true, {"c"}, {}), LinkStateOutcome::kNew);
  EXPECT_EQ(apply(1, true, {"c"}, {}), LinkStateOutcome::kKnown);
  EXPECT_EQ(apply(2, false, {"d"}, {"c"}), LinkStateOutcome::kNew);
  EXPECT_EQ(apply(4, false, {"e"}, {}), LinkStateOutcome::kMissing);
  EXPECT_EQ(table.Reachable({"b"}), (std::set<std::string>{"b", "d"}));
  EXPECT_EQ(apply(5, true, {"e"}, {}), LinkStateOutcome::kNew);
  EXPECT_TRUE(table.HasLink("b", "e"));
  EXPECT_FALSE(table.HasLink("b", "d"));
}

// Wraps a message in an envelope without sender or number.
Envelope EnvelopeOf(PeerMessage message) {
  Envelope envelope;
  envelope.body = std::move(message);
  return envelope;
}

// Removes all messages from the queue and returns them in order.
std::vector<PeerMessage> Drain(OutboundQueue& queue) {
  std::vector<PeerMessage> out;
  while (const auto frame = queue.Pop()) {
    out.push_back(std::get<PeerMessage>(
        DecodeEnvelope(std::string_view(*frame).substr(kFrameHeaderBytes))
            .value()
            .body));
  }
  return out;
}

// Guards against a slow peer that gets old state after new, or state that newer
// state in the queue should have replaced.
TEST(OutboundQueueTest, NewestStateWins) {
  OutboundQueue queue;
  const auto push = [&](PeerMessage message) {
    queue.Push(MakeOutbound(EnvelopeOf(std::move(message))));
  };
  push(RecordUpdate{"c", 1, "old"});
  push(RecordUpdate{"d", 1, "other"});
  push(CrashNotice{1, 1, 1});
  push(RecordUpdate{"c", 3, "new"});
  push(RecordUpdate{"c", 2, "late"});
  push(CrashNotice{1, 2, 1});
  push(ConfigUpdate{1, 1, "a"});
  push(ConfigUpdate{2, 2, "b"});
  EXPECT_EQ(queue.replaced(), 3U);
  const auto sent = Drain(queue);
  ASSERT_EQ(sent.size(), 5U);
  EXPECT_EQ(std::get<RecordUpdate>(sent[0]).record, "new");
  EXPECT_EQ(std::get<ConfigUpdate>(sent[4]).version, 2U);
  EXPECT_EQ(queue.bytes(), 0U);
}

// Guards against demand that is lost when a newer message replaces it: arrivals
// are differences, and the zeros of a model without demand are sent only once.
TEST(OutboundQueueTest, ReplacedDemandKeepsArrivalsAndZeros) {
  OutboundQueue queue;
  const auto push = [&](std::uint64_t number,
                        std::vector<DemandEntry> entries) {
    queue.Push(
        MakeOutbound(EnvelopeOf(Demand{"c", number, std::move(entries)})));
  };
  push(1, {{"m", "1", "", 5, 0, 0, 0, 5}, {"left", "1", "", 0, 0, 0, 0, 0}});
  push(2, {{"m", "1", "", 2, 0, 0, 0, 3}});
  const auto sent = Drain(queue);
  ASSERT_EQ(sent.size(), 1U);
  const auto& demand = std::get<Demand>(sent[0]);
  EXPECT_EQ(demand.number, 2U);
  ASSERT_EQ(demand.entries.size(), 2U);
  EXPECT_EQ(demand.entries[0].waiting, 2U);
  EXPECT_EQ(demand.entries[0].arrivals, 8U);
  EXPECT_EQ(demand.entries[1].model, "left");
}

// Guards against a queue that grows without bound, and against heartbeats that
// are dropped to make room for data.
TEST(OutboundQueueTest, QueueIsBoundedAndKeepsControlMessages) {
  OutboundQueue queue;
  queue.Push(MakeOutbound(Envelope{}));
  std::size_t dropped = 0;
  for (std::uint64_t i = 0; i < 2 * OutboundQueue::kMaxMessages; ++i) {
    dropped += queue.Push(MakeOutbound(EnvelopeOf(CrashNotice{i, 1, 1})));
  }
  EXPECT_EQ(queue.size(), OutboundQueue::kMaxMessages);
  EXPECT_EQ(dropped, OutboundQueue::kMaxMessages + 1);
  const auto first = queue.Pop();
  EXPECT_EQ(*first, *MakeOutbound(Envelope{}).frame);
}

}  // namespace
}  // namespace tanagerloom
