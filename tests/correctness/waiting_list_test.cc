// Tests of the order of waiting requests and of their early refusal, in virtual
// time and without a network. The load is a target whose places free at a
// steady rate while more is wanted.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "decision/fair_queue.h"
#include "forwarding/waiting_list.h"

namespace tanagerloom {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1h};

// The requests of one customer and class: `per_tick` new ones each tick.
struct Flow {
  std::string customer;
  std::uint32_t priority = 0;
  int per_tick = 1;
  double cost = 1;
};

// A target with one waiting list, for which some places free each tick.
class Target {
 public:
  static constexpr Duration kTick = 10ms;
  static constexpr Duration kMaxWait = 1s;

  explicit Target(std::vector<Flow> flows) : flows_(std::move(flows)) {}

  // Plays the load; `cost_per_tick` is what the places of a tick can carry.
  void Play(int ticks, double cost_per_tick) {
    for (int i = 0; i < ticks; ++i) {
      now += kTick;
      for (const auto& it : flows_) {
        for (int n = 0; n < it.per_tick; ++n) {
          Add(it);
        }
      }
      for (const auto id : list.EndingBefore(now)) {
        list.Remove(id);
      }
      room_ = std::min(room_ + cost_per_tick, cost_per_tick);
      list.Serve([this](std::uint64_t id) { return Offer(id); }, now);
    }
  }

  void Add(const Flow& flow) {
    list.Add(
        {++last_id, flow.priority, flow.customer, flow.cost, now + kMaxWait});
    ++sent[flow.customer];
  }

  // Fraction of a customer's requests, and of all, that got a place.
  double Served(const std::string& customer) const {
    const auto it = served.find(customer);
    return it == served.end() ? 0.0 : it->second * 1.0 / sent.at(customer);
  }
  double ServedOfAll() const {
    double n = 0;
    double of = 0;
    for (const auto& [customer, count] : sent) {
      of += count;
      n += Served(customer) * count;
    }
    return n / of;
  }

  FairShares shares;
  WaitingList list{shares};
  TimePoint now = kStart;
  std::uint64_t last_id = 0;
  std::map<std::string, int> sent;
  std::map<std::string, int> served;

 private:
  OfferResult Offer(std::uint64_t id) {
    if (room_ <= 0) {
      return OfferResult::kNoPlace;
    }
    const auto& entry = list.entries().at(id);
    room_ -= entry.cost;
    ++served[entry.customer];
    return OfferResult::kTaken;
  }

  std::vector<Flow> flows_;
  double room_ = 0;
};

// Guards against a customer that takes the places of the others by sending six
// times its usual load.
TEST(WaitingListTest, CustomerWithSixTimesItsLoadLeavesTheOthersTheirShares) {
  Target target({{"hot", 1, 12}, {"a", 1, 2}, {"b", 1, 2}, {"c", 1, 2}});
  target.Play(2000, 8);
  for (const auto* it : {"a", "b", "c", "hot"}) {
    EXPECT_GE(target.Served(it), target.ServedOfAll() / 4) << it;
  }
  // Three customers want less than an equal share, so they get all they want.
  for (const auto* it : {"a", "b", "c"}) {
    EXPECT_GE(target.Served(it), 0.95) << it;
  }
}

// Guards against shares by number of requests: large requests would take the
// endpoints from small ones.
TEST(WaitingListTest, SharesAreEqualByCost) {
  Target target({{"large", 1, 4, 8}, {"small", 1, 32, 1}});
  target.Play(2000, 16);
  const double ratio = target.served["large"] * 8.0 / target.served["small"];
  EXPECT_NEAR(ratio, 1, 0.1);
}

// Guards against a low class that starves behind a high one, and against a high
// one that loses more than the guaranteed fraction to it.
TEST(WaitingListTest, HighClassIsFirstAndLowClassesDoNotStarve) {
  Target target({{"high", 0, 12}, {"low", 5, 4}, {"lowest", 9, 4}});
  target.Play(2000, 10);
  EXPECT_GE(target.served["high"], 2000 * 9 - 20);
  EXPECT_GE(target.served["low"], 900);
  EXPECT_GE(target.served["lowest"], 900);
}

// Guards against a high class that waits although its load leaves room: where
// both could run, it goes first.
TEST(WaitingListTest, HighClassWithRoomIsServedWhole) {
  Target target({{"high", 0, 5}, {"low", 5, 40}});
  target.Play(2000, 10);
  EXPECT_GE(target.Served("high"), 0.99);
}

// Guards against shares that count only one target: lists of one service share
// what a customer was served.
TEST(WaitingListTest, ListsOfOneServiceShareTheShares) {
  FairShares shares;
  WaitingList busy(shares);
  WaitingList other(shares);
  const auto take_one = [n = 0](std::uint64_t) mutable {
    return n++ == 0 ? OfferResult::kTaken : OfferResult::kNoPlace;
  };
  const auto latest = kStart + 1s;
  for (std::uint64_t id = 1; id <= 3; ++id) {
    busy.Add({id, 0, "a", 1, latest});
  }
  other.Add({11, 0, "a", 1, latest});
  other.Add({12, 0, "b", 1, latest + 1s});
  EXPECT_EQ(busy.Serve(take_one, kStart), std::vector<std::uint64_t>{1});
  EXPECT_EQ(other.Serve(take_one, kStart), std::vector<std::uint64_t>{12});
}

// Guards against a new request that overtakes a waiting one of equal right, and
// against one that a waiting request with a reason of its own holds up.
TEST(WaitingListTest, NewRequestsDoNotOvertakeExceptThoseThatSkipAPlace) {
  FairShares shares;
  WaitingList list(shares);
  list.Add({1, 0, "a", 1, kStart + 1s});
  list.Add({2, 0, "a", 1, kStart + 2s});
  list.Add({3, 0, "a", 1, kStart + 3s});
  std::vector<std::uint64_t> offered;
  const auto offer = [&](std::uint64_t id) {
    offered.push_back(id);
    return id == 1              ? OfferResult::kSkipped
           : offered.size() < 3 ? OfferResult::kTaken
                                : OfferResult::kNoPlace;
  };
  EXPECT_EQ(list.Serve(offer, kStart), std::vector<std::uint64_t>{2});
  EXPECT_EQ(offered, (std::vector<std::uint64_t>{1, 2, 3}));
  offered.clear();
  list.ReturnSkipped();
  EXPECT_EQ(list.Serve(offer, kStart), std::vector<std::uint64_t>{3});
  EXPECT_EQ(offered.front(), 1U);
}

// Guards against any loss or repetition of a request, in random orders of
// arrivals, places, skips and departures.
TEST(WaitingListTest, EachRequestGetsOnePlaceOrNone) {
  std::mt19937_64 random(11);
  FairShares shares;
  WaitingList list(shares);
  std::map<std::uint64_t, int> places;
  std::uint64_t last_id = 0;
  for (int step = 0; step < 5000; ++step) {
    const auto now = kStart + step * 1ms;
    const auto r = random();
    if (r % 3 != 0) {
      list.Add({++last_id, static_cast<std::uint32_t>(r / 3 % 4),
                "c" + std::to_string(r / 16 % 5), 1 + r / 128 % 3 * 1.0,
                now + 100ms});
    } else if (r % 2 == 0 && last_id > 0) {
      list.Remove(1 + r / 8 % last_id);
    }
    const auto taken = list.Serve(
        [&](std::uint64_t) {
          const auto n = random() % 6;
          return n == 0   ? OfferResult::kTaken
                 : n == 1 ? OfferResult::kSkipped
                          : OfferResult::kNoPlace;
        },
        now);
    for (const auto id : taken) {
      EXPECT_EQ(++places[id], 1);
      EXPECT_FALSE(list.entries().contains(id));
    }
    if (step % 5 == 0) {
      list.ReturnSkipped();
    }
  }
  EXPECT_GT(places.size(), 500U);
}

// Guards against a request that waits for a turn that comes too late, and
// against refusing one whose class or customer has its turn in time.
TEST(WaitingListTest, OnlyRequestsWhoseTurnComesTooLateAreRefused) {
  Target target({{"busy", 5, 4}});
  EXPECT_FALSE(target.list.Review(1, target.now)) << "nothing is known";
  target.Play(300, 1);  // 100 places a second, a backlog of up to a second.
  const auto review = [&](const Flow& flow) {
    target.Add(flow);
    return target.list.Review(target.last_id, target.now);
  };
  const auto late = review({"busy", 5});
  ASSERT_TRUE(late);
  EXPECT_GT(late->ahead, 200U);
  EXPECT_EQ(late->expected_wait, late->place_interval * late->ahead);
  EXPECT_GE(late->retry_after, 1s);
  EXPECT_FALSE(review({"busy", 0})) << "a higher class goes first";
  EXPECT_FALSE(review({"quiet", 5})) << "another customer has its share";
  EXPECT_FALSE(review({"low", 9})) << "a low class has its fraction";
}

// Guards against a refusal that takes a rate of arrivals for the rate of
// places: as long as every request finds room, nothing is known.
TEST(WaitingListTest, NoRefusalBeforePlacesWereShort) {
  Target target({{"a", 0, 1}});
  target.Play(500, 50);
  for (int i = 0; i < 5000; ++i) {
    target.Add({"a", 0});
  }
  EXPECT_FALSE(target.list.Review(target.last_id, target.now));
}

// Guards against a refusal by the rate of fewer endpoints than there are now.
TEST(WaitingListTest, NewEndpointsMakeTheRateUnknown) {
  Target target({{"a", 0, 4}});
  target.list.OnEndpoints(2);
  target.Play(300, 1);
  target.Add({"a", 0});
  ASSERT_TRUE(target.list.Review(target.last_id, target.now));
  target.list.OnEndpoints(3);
  EXPECT_FALSE(target.list.Review(target.last_id, target.now));
}

}  // namespace
}  // namespace tanagerloom
