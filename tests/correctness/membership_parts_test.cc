// The parts of the peer network without I/O: guards against wrong answers to
// who may still run, who is reachable and which message is a repeat.
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
  void List(const std::vector<std::string>& ids) {
    std::vector<Vm> vms;
    for (const auto& it : ids) {
      vms.emplace_back().id = it;
    }
    table_.SetVms(std::move(vms), now_);
  }

  IncarnationCheck Check(const std::string& incarnation, bool direct) {
    return table_.CheckIncarnation("b", incarnation, direct, now_);
  }

  bool MayRun(std::string_view who) { return table_.MayStillRun(who, now_); }

  TimePoint now_ = TimePoint(100s);
  MemberTable table_{"a", "5", {.peer_timeout = 1s, .sender_gone = 60s}};
};

// Guards against removing the replicas of a sender that still delivers orders.
TEST_F(MemberTableTest, SenderMayRunUntilAbsentForTheFullTime) {
  EXPECT_TRUE(MayRun("b/1"));
  List({"a", "b"});
  now_ += 300s;
  EXPECT_TRUE(MayRun("b/1"));
  List({"a"});
  now_ += 59s;
  List({"a"});
  EXPECT_TRUE(MayRun("b/1"));
  // The list fails for long: its silence proves nothing.
  now_ += 600s;
  EXPECT_TRUE(MayRun("b/1"));
  List({"a"});
  EXPECT_FALSE(MayRun("b/1"));
}

// Guards against giving up a sender that the list dropped but that is heard.
TEST_F(MemberTableTest, HeardSenderMayRunWithoutTheList) {
  Check("1", true);
  table_.FindOrAddKnown("b").reachable = true;
  List({"a"});
  now_ += 300s;
  List({"a"});
  EXPECT_TRUE(MayRun("b/1"));
  table_.FindOrAddKnown("b").reachable = false;
  table_.FindOrAddKnown("b").last_heard_at = now_;
  EXPECT_TRUE(MayRun("b/1"));
  now_ += 60s;
  EXPECT_FALSE(MayRun("b/1"));
}

// Guards against waiting for ever for a process that a restart replaced, and
// against taking a paused one for gone at once.
TEST_F(MemberTableTest, ReplacedIncarnationMayRunForTheSenderGoneTime) {
  List({"a", "b"});
  Check("1", true);
  EXPECT_EQ(Check("2", false), IncarnationCheck::kNew);
  now_ += 59s;
  EXPECT_TRUE(MayRun("b/1"));
  // It was only paused and still sends.
  EXPECT_EQ(Check("1", false), IncarnationCheck::kStale);
  now_ += 59s;
  EXPECT_TRUE(MayRun("b/1"));
  now_ += 1s;
  EXPECT_FALSE(MayRun("b/1"));
  EXPECT_TRUE(MayRun("b/2"));
  EXPECT_TRUE(MayRun("a/5"));
  EXPECT_FALSE(MayRun("a/4"));
}

// Guards against a VM whose wall clock runs behind and is locked out for ever,
// and against a late connection of the old process that takes over.
TEST_F(MemberTableTest, EarlierIncarnationNeedsProofAndSilence) {
  EXPECT_EQ(Check("7", true), IncarnationCheck::kNew);
  table_.FindOrAddKnown("b").last_heard_at = now_;
  EXPECT_EQ(Check("3", true), IncarnationCheck::kStale);
  now_ += 3s;
  EXPECT_EQ(Check("3", false), IncarnationCheck::kStale);
  EXPECT_EQ(Check("3", true), IncarnationCheck::kNew);
  EXPECT_EQ(Check("7", false), IncarnationCheck::kStale);
}

// Guards against endpoints that stay out of use after a wrong notice.
TEST_F(MemberTableTest, LeavingNoticeExpires) {
  List({"a", "gw"});
  EXPECT_TRUE(table_.RecordLeaving("gw", now_ + 60s, now_));
  EXPECT_FALSE(table_.RecordLeaving("gw", now_ + 60s, now_));
  EXPECT_TRUE(table_.Vms(now_)[1].leaving);
  now_ += 61s;
  EXPECT_FALSE(table_.Vms(now_)[1].leaving);
}

// Guards against a repeat that passes, and against a late message that is lost
// although it is within the window.
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

// Guards against a fleet that falls into parts, and against links that grow
// with its size.
TEST(LinkChoiceTest, FleetIsConnectedWithAboutThatManyLinks) {
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
  std::size_t most = 0;
  for (const auto& [id, to] : graph) {
    table.Apply({id, "1", 1, true, false, false, {to.begin(), to.end()}, {}});
    links += to.size();
    most = std::max(most, to.size());
  }
  EXPECT_EQ(table.Reachable({ids[0]}).size(), ids.size());
  EXPECT_LE(links, std::size_t{kNodes} * kLinks);
  EXPECT_GE(links, std::size_t{kNodes} * kLinks * 3 / 4);
  EXPECT_LE(most, std::size_t{2} * kLinks);
}

// Guards against floods that pass between data centres over most links, and
// against data centres that a few lost nodes part.
TEST(LinkChoiceTest, FewLinksLeadToOtherDataCentres) {
  constexpr int kNodes = 75;
  constexpr int kCentres = 3;
  constexpr std::uint32_t kLinks = 8;
  const auto name = [](int i) { return "node-" + std::to_string(i); };
  std::set<std::pair<int, int>> between;
  std::size_t within = 0;
  std::map<std::string, std::set<std::string>> graph;
  for (int i = 0; i < kNodes; ++i) {
    std::vector<LinkCandidate> others;
    for (int k = 0; k < kNodes; ++k) {
      if (k != i) {
        others.push_back({name(k), i % kCentres == k % kCentres});
      }
    }
    const auto chosen = ChooseLinks(name(i), others, kLinks);
    for (int k = 0; k < kNodes; ++k) {
      if (!chosen.contains(name(k))) {
        continue;
      }
      graph[name(i)].insert(name(k));
      graph[name(k)].insert(name(i));
      if (i % kCentres == k % kCentres) {
        ++within;
      } else {
        between.insert(std::minmax(i, k));
      }
    }
  }
  EXPECT_LE(between.size(), std::size_t{kNodes});
  EXPECT_GE(between.size(), std::size_t{kNodes} / 3);
  EXPECT_GE(within, std::size_t{4} * kNodes);
  LinkStateTable table;
  for (const auto& [id, to] : graph) {
    table.Apply({id, "1", 1, true, false, false, {to.begin(), to.end()}, {}});
  }
  EXPECT_EQ(table.Reachable({name(0)}).size(), std::size_t{kNodes});
}

// Guards against a view that keeps links after a lost or repeated report.
TEST(LinkStateTableTest, ReportsApplyInOrderOnly) {
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

Envelope EnvelopeOf(PeerMessage message) {
  Envelope envelope;
  envelope.body = std::move(message);
  return envelope;
}

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

// Guards against a slow peer that gets old state after new, or only old state.
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

// Guards against demand that is lost when a newer one replaces it: arrivals are
// differences, and the zeros of a model that left are sent only once.
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

// Guards against a queue that grows, and against signs of life that are dropped
// to make room for data.
TEST(OutboundQueueTest, BoundsHoldAndControlIsKept) {
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
