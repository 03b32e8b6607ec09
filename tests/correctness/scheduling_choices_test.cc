// The pure choices of the request path: fair queue, admission, endpoint choice,
// breaker and retry budget.
#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "decision/admission_estimate.h"
#include "decision/endpoint_breaker.h"
#include "decision/endpoint_choice.h"
#include "decision/fair_queue.h"
#include "decision/retry_budget.h"

namespace tanagerloom {
namespace {

using namespace std::chrono_literals;

const auto kAll = [](std::uint64_t) { return true; };

FairEntry Entry(std::uint64_t id,
                std::uint32_t rank,
                bool deferred,
                const std::string& operator_name,
                std::chrono::seconds deadline = 10s) {
  return {id, rank, deferred, operator_name,
          std::chrono::steady_clock::time_point(deadline)};
}

TEST(FairQueueTest, LowerRanksAreServedFirst) {
  FairQueue queue;
  queue.Push(Entry(1, 5, false, "a"));
  queue.Push(Entry(2, 1, false, "a"));
  EXPECT_EQ(queue.Take(kAll), 2U);
  EXPECT_EQ(queue.Take(kAll), 1U);
  EXPECT_EQ(queue.Take(kAll), std::nullopt);
}

TEST(FairQueueTest, EarlierDeadlinesOfAnOperatorAreServedFirst) {
  FairQueue queue;
  queue.Push(Entry(1, 1, false, "a", 20s));
  queue.Push(Entry(2, 1, false, "a", 10s));
  EXPECT_EQ(queue.Take(kAll), 2U);
}

// Without a share, deferred care plans would wait for ever behind a steady
// stream of interactive requests.
TEST(FairQueueTest, DeferredWorkGetsItsShare) {
  FairQueue queue;
  for (std::uint64_t id = 0; id < 100; ++id) {
    queue.Push(Entry(id, 1, false, "a"));
    queue.Push(Entry(1000 + id, 9, true, "a"));
  }
  int deferred = 0;
  for (int i = 0; i < 100; ++i) {
    deferred += *queue.Take(kAll) >= 1000 ? 1 : 0;
  }
  EXPECT_EQ(deferred, 100 / static_cast<int>(FairQueue::kDeferredPeriod));
}

// One operator's backlog must not delay another operator's few requests.
TEST(FairQueueTest, OperatorsOfOneClassTakeTurns) {
  FairQueue queue;
  for (std::uint64_t id = 0; id < 50; ++id) {
    queue.Push(Entry(id, 1, false, "busy"));
  }
  for (int i = 0; i < 20; ++i) {
    queue.Take(kAll);
  }
  for (std::uint64_t id = 100; id < 105; ++id) {
    queue.Push(Entry(id, 1, false, "quiet"));
  }
  int quiet = 0;
  for (int i = 0; i < 10; ++i) {
    quiet += *queue.Take(kAll) >= 100 ? 1 : 0;
  }
  EXPECT_EQ(quiet, 5);
}

TEST(FairQueueTest, RequestThatCannotBePlacedDoesNotBlockOthers) {
  FairQueue queue;
  queue.Push(Entry(1, 1, false, "a"));
  queue.Push(Entry(2, 1, false, "a"));
  EXPECT_EQ(queue.Take([](std::uint64_t id) { return id != 1; }), 2U);
  EXPECT_EQ(queue.size(), 1U);
}

TEST(AdmissionTest, RefusesOnlyWhatCannotBeServedInTime) {
  AdmissionInput input;
  input.remaining = 10s;
  EXPECT_FALSE(ReviewAdmission(input)) << "nothing is known";
  input.ready_in = 5s;
  EXPECT_FALSE(ReviewAdmission(input));
  input.ready_in = 30s;
  ASSERT_TRUE(ReviewAdmission(input));
  EXPECT_EQ(ReviewAdmission(input)->code, "not_loaded_in_time");
  EXPECT_EQ(ReviewAdmission(input)->retry_after, 20s);
  input.slots = 4;
  input.service_time = 1s;
  input.ahead = 20;
  EXPECT_FALSE(ReviewAdmission(input));
  input.ahead = 100;
  ASSERT_TRUE(ReviewAdmission(input));
  EXPECT_EQ(ReviewAdmission(input)->code, "overloaded");
  EXPECT_EQ(ReviewAdmission(input)->retry_after, 15s);
}

TEST(AdmissionTest, FailingLoadsAreRefusedUnlessAReplicaServes) {
  AdmissionInput input;
  input.remaining = 10s;
  input.load_failing = true;
  ASSERT_TRUE(ReviewAdmission(input));
  EXPECT_EQ(ReviewAdmission(input)->code, "load_failing");
  input.slots = 1;
  EXPECT_FALSE(ReviewAdmission(input));
}

std::size_t First(std::size_t) {
  return 0;
}

TEST(EndpointChoiceTest, LessLoadedOfTwoIsChosen) {
  std::vector<EndpointCandidate> candidates(2);
  candidates[0] = {.own_in_flight = 1,
                   .peers_in_flight = 5,
                   .max_own_in_flight = 8,
                   .same_data_centre = true};
  candidates[1] = {.own_in_flight = 2,
                   .peers_in_flight = 0,
                   .max_own_in_flight = 8,
                   .same_data_centre = true};
  EXPECT_EQ(ChooseEndpoint(candidates, First), 1U);
  // The endpoint's own report may know of more work than the nodes.
  candidates[1].reported_in_flight = 9;
  EXPECT_EQ(ChooseEndpoint(candidates, First), 0U);
}

TEST(EndpointChoiceTest, FullAndUnusableEndpointsAreLeftOut) {
  std::vector<EndpointCandidate> candidates(2);
  candidates[0] = {.own_in_flight = 4, .max_own_in_flight = 4};
  candidates[1] = {.max_own_in_flight = 4, .usable = false};
  EXPECT_EQ(ChooseEndpoint(candidates, First), std::nullopt);
}

TEST(EndpointChoiceTest, OwnDataCentreIsLeftOnlyUnderLoad) {
  std::vector<EndpointCandidate> candidates(2);
  candidates[0] = {.max_own_in_flight = 20, .same_data_centre = false};
  candidates[1] = {
      .own_in_flight = 3, .max_own_in_flight = 20, .same_data_centre = true};
  EXPECT_EQ(ChooseEndpoint(candidates, First), 1U);
  candidates[1].own_in_flight = 12;
  EXPECT_EQ(ChooseEndpoint(candidates, First), 0U);
}

TEST(EndpointChoiceTest, PrefixAffinityIsGivenUpWhenOverloaded) {
  std::vector<EndpointCandidate> candidates(3);
  for (auto& it : candidates) {
    it = {.max_own_in_flight = 20, .same_data_centre = true};
  }
  candidates[2].prefix_blocks = 7;
  candidates[2].own_in_flight = 2;
  EXPECT_EQ(ChooseEndpoint(candidates, First), 2U);
  candidates[2].own_in_flight = 10;
  EXPECT_NE(ChooseEndpoint(candidates, First), 2U);
}

// Guards against an endpoint that stays away for seconds because many requests
// failed at the same instant.
TEST(EndpointBreakerTest, FailuresTogetherDoNotLengthenThePause) {
  const EndpointBreaker::TimePoint start{std::chrono::hours(1)};
  EndpointBreaker breaker;
  for (int i = 0; i < 20; ++i) {
    breaker.OnFailure(start);
  }
  EXPECT_TRUE(breaker.AllowsRequest(start + EndpointBreaker::kInitialCooldown));
  breaker.OnSend(start + EndpointBreaker::kInitialCooldown);
  EXPECT_TRUE(breaker.OnFailure(start + EndpointBreaker::kInitialCooldown));
  EXPECT_FALSE(
      breaker.AllowsRequest(start + 2 * EndpointBreaker::kInitialCooldown));
}

TEST(EndpointBreakerTest, OpensAfterFailuresAndLetsOneProbeThrough) {
  const EndpointBreaker::TimePoint start(100s);
  EndpointBreaker breaker;
  EXPECT_FALSE(breaker.OnFailure(start));
  EXPECT_FALSE(breaker.OnFailure(start));
  EXPECT_TRUE(breaker.OnFailure(start));
  EXPECT_FALSE(breaker.AllowsRequest(start));
  const auto later = start + 1s;
  EXPECT_TRUE(breaker.AllowsRequest(later));
  EXPECT_TRUE(breaker.OnSend(later));
  EXPECT_FALSE(breaker.AllowsRequest(later)) << "a probe is in progress";
  EXPECT_TRUE(breaker.OnSuccess());
  EXPECT_TRUE(breaker.AllowsRequest(later));
}

TEST(EndpointBreakerTest, PeersProbeIsWaitedFor) {
  const EndpointBreaker::TimePoint start(100s);
  EndpointBreaker breaker;
  breaker.Open(start, 1s);
  breaker.OnPeerProbe(start + 2s, 5s);
  EXPECT_FALSE(breaker.AllowsRequest(start + 3s));
  EXPECT_TRUE(breaker.AllowsRequest(start + 8s));
}

// Retries must not multiply the load of failing endpoints.
TEST(RetryBudgetTest, RetriesStayAFractionOfRequests) {
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.CountRequest();
    retries += budget.TakeRetry() ? 1 : 0;
  }
  EXPECT_LE(retries, 250);
  EXPECT_GE(retries, 200);
}

}  // namespace
}  // namespace tanagerloom
