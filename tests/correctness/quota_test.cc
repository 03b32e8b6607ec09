// Tests the quotas that nodes keep together, on simulated time. Guards against
// requests beyond a quota, summed over all nodes, when nodes are cut off,
// frozen, restarted or added, and against refusals of requests within it.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <random>

#include "base/id.h"
#include "fleet/customer.h"
#include "fleet/quota_limits.h"
#include "fleet/quota_pool.h"
#include "fleet/quota_reserve.h"
#include "fleet/quota_share.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kCustomer = 7;
constexpr milliseconds kStep{5};
constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr milliseconds kMaxGrantWait{150};
// Rate of the fastest clock.
constexpr double kFastClock = 1.001;

struct Sent {
  TimePoint at;
  double cost = 0;
};

// One node: its own clock, its part of the quota and its requests.
struct SimNode {
  std::string id;
  int incarnation = 1;
  double clock_rate = 1;
  Duration clock_offset{};
  TimePoint frozen_until{};
  TimePoint joins_at{};
  int side = 0;  // Nodes of different sides do not hear each other.
  std::unique_ptr<QuotaShare> share;
  std::unique_ptr<QuotaPool> pool;
  struct Waiting {
    double cost;
    TimePoint until;
  };
  std::vector<Waiting> waiting;
  struct Charged {
    double cost;
    TimePoint send_at;
  };
  std::vector<Charged> charged;
};

// Nodes that exchange messages with a delay, on one simulated time.
class QuotaFleet {
 public:
  QuotaFleet(int nodes,
             CustomerQuota quota,
             QuotaReserve reserve,
             std::uint32_t seed)
      : random(seed),
        quota_(quota),
        reserve_(reserve),
        limits_{{kCustomer, LimitsOf(quota, reserve)}} {
    for (int i = 0; i < nodes; ++i) {
      Add(kStart);
    }
  }

  SimNode& Add(TimePoint joins_at) {
    auto& it = nodes.emplace_back();
    it.id = "n" + std::to_string(nodes.size());
    it.joins_at = joins_at;
    Start(it);
    return it;
  }

  void Restart(SimNode& node) {
    ++node.incarnation;
    node.waiting.clear();
    node.charged.clear();
    Start(node);
  }

  // The quota of a new configuration comes into force at all nodes.
  void SetQuota(CustomerQuota quota) {
    quota_ = quota;
    limits_ = {{kCustomer, LimitsOf(quota, reserve_)}};
    for (auto& it : nodes) {
      it.share->SetLimits(limits_);
      it.pool->SetLimits(limits_);
    }
  }

  // A request arrives and, once charged, is sent after `wait`.
  void Ask(SimNode& node, double cost, Duration wait = {}) {
    const auto now = LocalTime(node);
    asked += cost;
    node.share->OnRequest(kCustomer, cost);
    if (node.share->TryCharge(kCustomer, cost, now)) {
      if (wait.count() == 0) {
        node.share->OnSent(kCustomer, cost);
        sent.push_back({this->now, cost});
        return;
      }
      node.charged.push_back({cost, now + wait});
    } else if (node.share->FitsLimit(kCustomer, cost) &&
               node.share->MayWaitForGrant(kCustomer, now)) {
      node.share->BeginWait(kCustomer, cost);
      node.waiting.push_back({cost, now + kMaxGrantWait});
    } else {
      ++refused;
    }
  }

  void RunFor(Duration time, const std::function<void()>& each_step) {
    for (const auto end = now + time; now < end; now += kStep) {
      while (!messages_.empty() && messages_.begin()->first <= now) {
        const auto deliver = std::move(messages_.begin()->second);
        messages_.erase(messages_.begin());
        deliver();
      }
      each_step();
      for (auto& it : nodes) {
        if (Runs(it)) {
          Step(it);
        }
      }
    }
  }

  bool Runs(const SimNode& node) const {
    return now >= node.joins_at && now >= node.frozen_until;
  }

  TimePoint LocalTime(const SimNode& node) const {
    return kStart + node.clock_offset +
           std::chrono::duration_cast<Duration>((now - kStart) *
                                                node.clock_rate);
  }

  // Units that the quota and its reserve allow in one window.
  double Bound() const {
    return Allowed() * (1 + reserve_.excess) + reserve_.slack;
  }
  // Units that nodes with sound clocks send in one window, if requests wait
  // for endpoints or not.
  double LimitInWindow(bool with_waits) const {
    const auto& limits = limits_.at(kCustomer);
    return limits.rate_per_s * kFastClock *
               std::chrono::duration<double>(reserve_.window).count() +
           (with_waits ? limits.max_unsent : limits.capacity);
  }
  double Allowed() const {
    return quota_.rate_per_s *
               std::chrono::duration<double>(reserve_.window).count() +
           quota_.burst;
  }

  // Units that were sent in the window with the most.
  double MaxInWindow(TimePoint from = {}) const {
    double most = 0;
    double sum = 0;
    std::size_t first = 0;
    for (const auto& it : sent) {
      if (it.at < from) {
        ++first;
        continue;
      }
      sum += it.cost;
      while (sent[first].at <= it.at - reserve_.window) {
        sum -= sent[first++].cost;
      }
      most = std::max(most, sum);
    }
    return most;
  }

  double SentSince(TimePoint from) const {
    double sum = 0;
    for (const auto& it : sent) {
      sum += it.at >= from ? it.cost : 0;
    }
    return sum;
  }

  int Random(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random);
  }

  std::deque<SimNode> nodes;
  TimePoint now = kStart;
  std::vector<Sent> sent;
  double asked = 0;
  int refused = 0;
  int n_messages = 0;
  int loss_percent = 0;
  int late_percent = 0;
  std::mt19937 random;

 private:
  void Start(SimNode& node) {
    node.share = std::make_unique<QuotaShare>(LocalTime(node));
    node.pool = std::make_unique<QuotaPool>(node.id, reserve_.window,
                                            ++last_first_number_ * 1'000'000);
    node.share->SetLimits(limits_);
    node.pool->SetLimits(limits_);
  }

  std::string Incarnation(const SimNode& node) const {
    return node.id + "/" + std::to_string(node.incarnation);
  }

  void Post(SimNode& from, SimNode& to, std::function<void()> deliver) {
    ++n_messages;
    if (from.side != to.side || Random(0, 99) < loss_percent) {
      return;
    }
    const bool late = Random(0, 99) < late_percent;
    const auto at =
        now + milliseconds(late ? Random(100, 4000) : Random(1, 10));
    // A frozen node reads its messages when it wakes.
    messages_.emplace(at, [this, &to, at, deliver = std::move(deliver),
                           incarnation = to.incarnation] {
      if (to.incarnation != incarnation) {
        return;
      }
      if (Runs(to)) {
        deliver();
      } else {
        messages_.emplace(std::max(now + kStep, to.frozen_until), deliver);
      }
    });
  }

  void Report(SimNode& node) {
    const auto local = LocalTime(node);
    std::size_t listed = 0;
    const SimNode* best = &node;
    for (const auto& it : nodes) {
      listed += it.joins_at <= now ? 1 : 0;
      if (it.side == node.side && Runs(it) &&
          StableHash(it.id) > StableHash(best->id)) {
        best = &it;
      }
    }
    node.share->SetNodeCount(listed);
    node.pool->SetNodeCount(listed, local);
    node.share->PreferCoordinator(best->id, local);
    const auto report = node.share->MakeReport(local);
    if (!report) {
      return;
    }
    auto& to = *std::find_if(nodes.begin(), nodes.end(), [&](const auto& it) {
      return it.id == node.share->coordinator();
    });
    if (&to == &node) {
      Answer(node, node, *report, Incarnation(node));
    } else {
      Post(node, to,
           [this, &node, &to, report = *report,
            incarnation = Incarnation(node)] {
             Answer(node, to, report, incarnation);
           });
    }
  }

  void Answer(SimNode& node,
              SimNode& coordinator,
              const QuotaReport& report,
              const std::string& incarnation) {
    const auto local = LocalTime(coordinator);
    const auto grant =
        coordinator.pool->OnReport(node.id, incarnation, report, local);
    if (grant) {
      SendGrant(coordinator, node, *grant);
    }
    if (const auto poll = coordinator.pool->TakePoll(local)) {
      auto& voter = *std::find_if(nodes.begin(), nodes.end(), [&](auto& it) {
        return it.id == poll->node;
      });
      SendGrant(coordinator, voter, poll->grant);
    }
  }

  void SendGrant(SimNode& from, SimNode& to, const QuotaGrant& grant) {
    const auto take = [this, &to, grant, id = from.id,
                       incarnation = Incarnation(from)] {
      to.share->OnGrant(id, incarnation, grant, LocalTime(to));
      if (grant.reply_at_once) {
        Report(to);
      }
      Serve(to);
    };
    if (&from == &to) {
      take();
    } else {
      Post(from, to, take);
    }
  }

  void Serve(SimNode& node) {
    const auto local = LocalTime(node);
    std::erase_if(node.waiting, [&](const auto& it) {
      const bool charged = node.share->TryCharge(kCustomer, it.cost, local);
      if (charged) {
        node.charged.push_back({it.cost, local});
      } else if (local < it.until &&
                 node.share->MayWaitForGrant(kCustomer, local)) {
        return false;
      } else {
        ++refused;
      }
      node.share->EndWait(kCustomer, it.cost);
      return true;
    });
  }

  void Step(SimNode& node) {
    const auto local = LocalTime(node);
    Serve(node);
    std::erase_if(node.charged, [&](const auto& it) {
      if (it.send_at > local) {
        return false;
      }
      node.share->OnSent(kCustomer, it.cost);
      sent.push_back({now, it.cost});
      return true;
    });
    if (local >= node.share->last_report_at() + node.share->ReportInterval()) {
      Report(node);
    }
  }

  CustomerQuota quota_;
  QuotaReserve reserve_;
  QuotaTable limits_;
  std::uint64_t last_first_number_ = 0;
  std::multimap<TimePoint, std::function<void()>> messages_;
};

constexpr CustomerQuota kLarge{400'000, 400'000, QuotaUnit::kTokens, 200};
constexpr CustomerQuota kSmall{29'000, 29'000, QuotaUnit::kTokens, 200};
constexpr QuotaReserve kReserve{milliseconds(8000), 0.1, 110'000};
// A burst of many seconds' units, with a small reserve.
constexpr CustomerQuota kBursty{20'000, 300'000, QuotaUnit::kTokens, 200};
constexpr QuotaReserve kSmallReserve{milliseconds(8000), 0.05, 20'000};
constexpr CustomerQuota kCalls{50, 20, QuotaUnit::kRequests, 0};
constexpr QuotaReserve kCallReserve{milliseconds(8000), 0.1, 10};

struct QuotaCase {
  CustomerQuota quota;
  QuotaReserve reserve;
};

// Requests of 200 to 10,000 tokens, or of one unit, at the given rate, spread
// by `pick`. They wait for an endpoint for up to `max_wait`.
std::function<void()> Demand(QuotaFleet& fleet,
                             double tokens_per_s,
                             std::function<SimNode&()> pick,
                             milliseconds max_wait = {},
                             QuotaUnit unit = QuotaUnit::kTokens) {
  return [&fleet, tokens_per_s, pick, max_wait, unit, due = 0.0]() mutable {
    due += tokens_per_s * std::chrono::duration<double>(kStep).count();
    while (due > 0) {
      const bool is_long = fleet.Random(0, 9) == 0;
      const int tokens =
          is_long ? fleet.Random(2000, 10'000) : fleet.Random(200, 1000);
      const int cost = unit == QuotaUnit::kRequests ? 1 : tokens;
      fleet.Ask(pick(), cost, milliseconds(fleet.Random(0, max_wait.count())));
      due -= cost;
    }
  };
}

// ---- single rules

const QuotaTable kTable{{kCustomer, LimitsOf(kLarge, kReserve)}};

TimePoint At(int ms) {
  return kStart + milliseconds(ms);
}

// The pool of node "a", one of two, with the votes of both and all units.
class QuotaPoolTest : public testing::Test {
 protected:
  QuotaPoolTest() {
    pool.SetLimits(kTable);
    pool.SetNodeCount(2, At(0));
    for (int ms = 0; ms <= 3000; ms += 100) {
      Report("a", QuotaNeed{}, At(ms));
      Report("b", QuotaNeed{}, At(ms));
    }
  }

  // Sends a report that acknowledges the last grant; returns the units granted.
  double Report(const std::string& node, QuotaNeed need, TimePoint now) {
    need.customer = kCustomer;
    return Report(node, std::vector{need}, now);
  }
  double Report(const std::string& node,
                std::vector<QuotaNeed> needs,
                TimePoint now) {
    const auto grant = pool.OnReport(
        node, node + "/1",
        {++number, last_grant[node], true, 1200, std::move(needs)}, now);
    last_grant[node] = grant->number;
    return grant->allowances.empty() ? 0 : grant->allowances[0].granted;
  }

  QuotaLimits limits = kTable.at(kCustomer);
  QuotaPool pool{"a", kReserve.window, 1};
  std::uint64_t number = 0;
  std::map<std::string, std::uint64_t> last_grant;
};

constexpr float kMuch = 1e9F;

// Guards against units that are granted twice: a node holds them already.
TEST_F(QuotaPoolTest, UnitsAtNodesCount) {
  Report("b", QuotaNeed{.held = static_cast<float>(limits.capacity)}, At(3000));
  EXPECT_EQ(Report("a", QuotaNeed{.urgent = kMuch}, At(3000)), 0);
}

// Guards against requests that wait long, and are then all sent in one window
// besides those that are charged anew.
TEST_F(QuotaPoolTest, WaitingRequestsCount) {
  Report("b", QuotaNeed{.pending = static_cast<float>(limits.max_unsent)},
         At(3000));
  EXPECT_EQ(Report("a", QuotaNeed{.urgent = kMuch}, At(3000)), 0);
}

// Guards against a coordinator that lost its votes, and has the units of that
// time when it gets them back: another one may have granted them.
TEST_F(QuotaPoolTest, LostVotesTakeTheirUnitsAway) {
  EXPECT_EQ(pool.VoteShare(At(3000)), 1);
  EXPECT_EQ(pool.VoteShare(At(5000)), 0);
  const std::vector<QuotaNeed> none;
  Report("b", none, At(5000));
  Report("b", none, At(5010));
  EXPECT_LE(Report("b", QuotaNeed{.urgent = kMuch}, At(5020)),
            limits.rate_per_s * 0.02);
}

// Guards against a coordinator that was frozen and uses up its units itself.
TEST_F(QuotaPoolTest, OwnUnitsNeedAConfirmedVote) {
  EXPECT_EQ(Report("a", QuotaNeed{.urgent = 10}, At(3000)), 10);
  EXPECT_EQ(Report("a", QuotaNeed{.urgent = 10}, At(3000)), 0);
  const auto poll = pool.TakePoll(At(3000));
  ASSERT_TRUE(poll && poll->node == "b");
  last_grant["b"] = poll->grant.number;
  Report("b", QuotaNeed{}, At(3010));
  EXPECT_EQ(Report("a", QuotaNeed{.urgent = 10}, At(3010)), 10);
}

// Guards against a report that arrives after a newer one.
TEST_F(QuotaPoolTest, OvertakenReportIsIgnored) {
  EXPECT_FALSE(pool.OnReport("b", "b/1", {1, 1, true, 1200, {}}, At(3000)));
}

// Guards against a vote that counts for two coordinators.
TEST(QuotaShareTest, VoteMovesOnlyOnceTheLastOneHasEnded) {
  QuotaShare share(At(0));
  share.SetLimits(kTable);
  share.PreferCoordinator("a", At(100));
  EXPECT_FALSE(share.MakeReport(At(100))->votes) << "of an earlier process";
  EXPECT_TRUE(share.MakeReport(At(2000))->votes);
  share.PreferCoordinator("b", At(3100));
  EXPECT_EQ(share.coordinator(), "a");
  const auto withdrawal = share.MakeReport(At(3100));
  EXPECT_FALSE(withdrawal->votes);
  share.OnGrant("a", "a/1", {1, withdrawal->number, false, {}}, At(3110));
  share.PreferCoordinator("b", At(3110));
  EXPECT_EQ(share.coordinator(), "b") << "the vote was taken back";
  EXPECT_TRUE(share.MakeReport(At(3110))->votes);
  share.PreferCoordinator("a", At(4300));
  EXPECT_EQ(share.coordinator(), "b");
  share.PreferCoordinator("a", At(4320));
  EXPECT_EQ(share.coordinator(), "a") << "the vote has expired";
}

// Guards against units of a coordinator that may have lost its votes, and
// against units that are used long after they were granted.
TEST(QuotaShareTest, LateGrantsAndOldUnitsAreNotUsed) {
  QuotaShare share(At(0));
  share.SetLimits(kTable);
  share.PreferCoordinator("a", At(2000));
  auto report = share.MakeReport(At(2000));
  share.OnGrant("a", "a/1", {1, report->number, false, {{kCustomer, 10}}},
                At(3010));
  EXPECT_FALSE(share.TryCharge(kCustomer, 10, At(3010)));
  report = share.MakeReport(At(3010));
  share.OnGrant("a", "a/1", {2, report->number, false, {{kCustomer, 10}}},
                At(3020));
  EXPECT_TRUE(share.TryCharge(kCustomer, 5, At(5000)));
  EXPECT_FALSE(share.TryCharge(kCustomer, 5, At(5020)));
}

// ---- in calm

// Guards against nodes that keep an overloaded coordinator overloaded: its
// answers came too late, and each node reported again every 20 ms.
TEST(QuotaShareTest, ReportsWithoutAnAnswerBecomeRarer) {
  QuotaShare share(At(0));
  share.SetLimits(kTable);
  share.PreferCoordinator("a", At(2000));
  share.BeginWait(kCustomer, 10);
  auto now = At(2000);
  auto report = share.MakeReport(now);
  auto interval = share.ReportInterval();
  for (int i = 0; i < 3; ++i) {
    now += share.ReportInterval();
    EXPECT_FALSE(share.IsUnanswered(now));
    report = share.MakeReport(now);
    EXPECT_GT(share.ReportInterval(), interval);
    interval = share.ReportInterval();
  }
  EXPECT_TRUE(share.IsUnanswered(At(2000) + QuotaShare::kMaxSilence));
  share.OnGrant("a", "a/1", {1, report->number, false, {}}, now);
  EXPECT_FALSE(share.IsUnanswered(At(2000) + QuotaShare::kMaxSilence));
  EXPECT_LT(share.ReportInterval(), interval);
}

// Guards against a grant for each request of a customer that sends one now and
// then: in a large fleet these are most requests.
TEST(QuotaShareTest, UnitsForTheNextRequestAreHeld) {
  QuotaShare share(At(0));
  share.SetLimits(kTable);
  share.PreferCoordinator("a", At(2000));
  share.OnRequest(kCustomer, 5);
  (void)share.MakeReport(At(2000));
  const auto report = share.MakeReport(At(5000));
  ASSERT_EQ(report->needs.size(), 1U);
  EXPECT_GE(report->needs[0].wanted, 5);
  for (int i = 6; i < 20; ++i) {
    (void)share.MakeReport(At(i * 1000));
  }
  EXPECT_TRUE(share.MakeReport(At(20000))->needs.empty());
}

struct CalmCase {
  const char* name;
  CustomerQuota quota;
  int nodes;
  int move_every_ms;  // 0: spread over all nodes.
};

// With demand for all of a quota, at least 0.95 of it is used, wherever the
// load balancer sends the customer's requests.
TEST(QuotaCalm, NearlyTheWholeQuotaIsUsed) {
  for (const auto& it : {CalmCase{"spread", kLarge, 71, 0},
                         CalmCase{"spread, small", kSmall, 71, 0},
                         CalmCase{"one node", kLarge, 71, 1'000'000},
                         CalmCase{"one node, small", kSmall, 71, 1'000'000},
                         CalmCase{"moving", kLarge, 71, 300},
                         CalmCase{"moving, small", kSmall, 71, 1300},
                         CalmCase{"alone", kLarge, 1, 0}}) {
    QuotaFleet fleet(it.nodes, it.quota, kReserve, 1);
    fleet.RunFor(std::chrono::seconds(6), [] {});
    const auto start = fleet.now;
    const auto pick = [&]() -> SimNode& {
      const auto moved =
          it.move_every_ms == 0
              ? fleet.Random(0, it.nodes - 1)
              : (fleet.now - kStart) / milliseconds(it.move_every_ms);
      return fleet.nodes[moved % it.nodes];
    };
    fleet.RunFor(kReserve.window, Demand(fleet, it.quota.rate_per_s * 3, pick));
    EXPECT_GE(fleet.SentSince(start), 0.95 * fleet.Allowed()) << it.name;
    EXPECT_LE(fleet.MaxInWindow(), fleet.Bound()) << it.name;
  }
}

// A customer below its limit is not refused, also at the first burst.
TEST(QuotaCalm, NothingIsRefusedBelowTheLimit) {
  for (const int move_every_ms : {0, 500, 1'000'000}) {
    QuotaFleet fleet(71, kLarge, kReserve, 2);
    fleet.RunFor(std::chrono::seconds(6), [] {});
    const auto pick = [&]() -> SimNode& {
      const auto n = move_every_ms == 0
                         ? fleet.Random(0, 70)
                         : (fleet.now - kStart) / milliseconds(move_every_ms);
      return fleet.nodes[n % 71];
    };
    fleet.RunFor(std::chrono::seconds(10),
                 Demand(fleet, kLarge.rate_per_s * 0.6, pick));
    EXPECT_EQ(fleet.refused, 0) << move_every_ms;
  }
}

// Guards against peer traffic that grows while no request is limited.
TEST(QuotaCalm, IdleNodesSendFewMessages) {
  QuotaFleet fleet(20, kLarge, kReserve, 3);
  fleet.RunFor(std::chrono::seconds(6), [] {});
  const int before = fleet.n_messages;
  fleet.RunFor(std::chrono::seconds(10), [] {});
  EXPECT_LE(fleet.n_messages - before, 20 * 10 * 6);
}

// A lower limit binds from one window after it came into force.
TEST(QuotaCalm, ALowerLimitBinds) {
  QuotaFleet fleet(8, kLarge, kReserve, 4);
  const auto demand = Demand(fleet, kLarge.rate_per_s * 2, [&]() -> SimNode& {
    return fleet.nodes[fleet.Random(0, 7)];
  });
  fleet.RunFor(std::chrono::seconds(12), demand);
  fleet.SetQuota(kSmall);
  fleet.RunFor(kReserve.window, demand);
  const auto from = fleet.now;
  fleet.RunFor(std::chrono::seconds(12), demand);
  EXPECT_LE(fleet.MaxInWindow(from), fleet.Bound());
}

// ---- under faults

// Changes one thing at random. With sound clocks, none stops or jumps, and all
// nodes are known.
void Disturb(QuotaFleet& fleet, bool sound_clocks) {
  auto& node = fleet.nodes[fleet.Random(0, fleet.nodes.size() - 1)];
  switch (fleet.Random(0, sound_clocks ? 4 : 7)) {
    case 0:  // A cut in two.
      for (auto& it : fleet.nodes) {
        it.side = fleet.Random(0, 1);
      }
      return;
    case 1:  // Each node alone.
      for (auto& it : fleet.nodes) {
        it.side = fleet.Random(0, 1000);
      }
      return;
    case 2:
      for (auto& it : fleet.nodes) {
        it.side = 0;
      }
      return;
    case 3:
      node.frozen_until = fleet.now + milliseconds(fleet.Random(100, 6000));
      return;
    case 5: {  // Frozen with a clock that stops meanwhile.
      const milliseconds time(fleet.Random(100, 6000));
      node.frozen_until = fleet.now + time;
      node.clock_offset -= time;
      return;
    }
    case 4:
      fleet.Restart(node);
      return;
    case 6:
      node.clock_offset += milliseconds(fleet.Random(0, 3000));
      return;
    default:
      if (fleet.nodes.size() < 14) {
        fleet.Add(fleet.now + milliseconds(fleet.Random(0, 2000)));
      }
  }
}

// Plays a random fleet with random faults and demand. Returns the units of the
// window with the most as a part of what is allowed: by the quota and its
// reserve, or, if clocks are sound, by the limits that nodes keep.
double PlayFaults(bool sound_clocks) {
  const auto [quota, reserve] = *rc::gen::element(
      QuotaCase{kLarge, kReserve}, QuotaCase{kSmall, kReserve},
      QuotaCase{kBursty, kSmallReserve}, QuotaCase{kCalls, kCallReserve});
  QuotaFleet fleet(*rc::gen::inRange(2, 11), quota, reserve,
                   *rc::gen::arbitrary<std::uint32_t>());
  fleet.loss_percent = *rc::gen::element(0, 0, 5, 40);
  fleet.late_percent = *rc::gen::element(0, 0, 10);
  for (auto& it : fleet.nodes) {
    it.clock_rate = 1 + 1e-4 * fleet.Random(-10, 10);
  }
  const int calm_ms = *rc::gen::element(300, 1500, 5000);
  const double times = *rc::gen::element(0.5, 1.5, 6.0, 30.0);
  // Units accrue while nothing is asked for.
  const milliseconds idle(*rc::gen::element(0, 20'000));
  const bool hot_node = *rc::gen::arbitrary<bool>();
  // The balancer sends nothing to a frozen node.
  const auto pick = [&]() -> SimNode& {
    const auto n = fleet.nodes.size();
    for (int i = 0; i < 20; ++i) {
      const auto hot = (fleet.now - kStart) / std::chrono::seconds(3) % n;
      auto& it = fleet.nodes[hot_node ? hot : fleet.Random(0, n - 1)];
      if (fleet.Runs(it)) {
        return it;
      }
    }
    return fleet.nodes.front();
  };
  const milliseconds max_wait(*rc::gen::element(0, 300, 4000));
  const auto demand =
      Demand(fleet, quota.rate_per_s * times, pick, max_wait, quota.unit);
  auto next = fleet.now + std::chrono::seconds(4);
  fleet.RunFor(std::chrono::seconds(40), [&] {
    const bool is_idle =
        idle.count() > 0 && (fleet.now - kStart) / idle % 2 == 0;
    if (fleet.now >= next && !is_idle) {
      Disturb(fleet, sound_clocks);
      next = fleet.now + milliseconds(fleet.Random(calm_ms / 2, calm_ms));
    }
    if (!is_idle) {
      demand();
    }
  });
  return fleet.MaxInWindow() / (sound_clocks
                                    ? fleet.LimitInWindow(max_wait.count() > 0)
                                    : fleet.Bound());
}

TEST(QuotaFaults, NoWindowExceedsTheBound) {
  EXPECT_TRUE(rc::check("quota and reserve hold", [] {
    RC_ASSERT(PlayFaults(/*sound_clocks=*/false) <= 1);
  }));
}

// The last quarter of the reserve is not used while clocks run on.
TEST(QuotaFaults, NoWindowExceedsTheLimitsWithSoundClocks) {
  EXPECT_TRUE(rc::check("limits hold", [] {
    RC_ASSERT(PlayFaults(/*sound_clocks=*/true) <= 1);
  }));
}

// After all faults are gone, the quota is used as before.
TEST(QuotaFaults, TheQuotaIsUsedAgainAfterThem) {
  QuotaFleet fleet(12, kLarge, kReserve, 5);
  const auto demand = Demand(fleet, kLarge.rate_per_s * 2, [&]() -> SimNode& {
    return fleet.nodes[fleet.Random(0, 11)];
  });
  fleet.RunFor(std::chrono::seconds(5), demand);
  for (auto& it : fleet.nodes) {
    fleet.Restart(it);
  }
  fleet.RunFor(std::chrono::seconds(3), demand);
  const auto start = fleet.now;
  fleet.RunFor(std::chrono::seconds(8), demand);
  EXPECT_GE(fleet.SentSince(start), 0.95 * kLarge.rate_per_s * 8);
  EXPECT_LE(fleet.MaxInWindow(), fleet.Bound());
}

}  // namespace
}  // namespace tanagerloom
