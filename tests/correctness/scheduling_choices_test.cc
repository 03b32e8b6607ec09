// Tests of the decisions of the request path that need no I/O: fair queue,
// admission, endpoint choice, circuit breaker and retry budget.
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

const auto kAcceptAll = [](std::uint64_t) { return true; };

FairEntry Entry(std::uint64_t id,
                std::uint32_t rank,
                bool deferred,
                const std::string& operator_name,
                std::chrono::seconds deadline = 10s) {
  return {id, rank, deferred, operator_name,
          std::chrono::steady_clock::time_point(deadline)};
}

// Guards against requests of a less urgent class that are served first.
TEST(FairQueueTest, LowerRanksAreServedFirst) {
  FairQueue queue;
  queue.Push(Entry(1, 5, false, "a"));
  queue.Push(Entry(2, 1, false, "a"));
  EXPECT_EQ(queue.Take(kAcceptAll), 2U);
  EXPECT_EQ(queue.Take(kAcceptAll), 1U);
  EXPECT_EQ(queue.Take(kAcceptAll), std::nullopt);
}

// Guards against a request that misses its deadline while a later one of the
// same operator is served.
TEST(FairQueueTest, EarlierDeadlinesOfAnOperatorAreServedFirst) {
  FairQueue queue;
  queue.Push(Entry(1, 1, false, "a", 20s));
  queue.Push(Entry(2, 1, false, "a", 10s));
  EXPECT_EQ(queue.Take(kAcceptAll), 2U);
}

// Guards against starvation: without a reserved fraction, deferred requests
// would wait forever behind a steady stream of interactive ones.
TEST(FairQueueTest, DeferredRequestsGetTheirFraction) {
  FairQueue queue;
  for (std::uint64_t id = 0; id < 100; ++id) {
    queue.Push(Entry(id, 1, false, "a"));
    queue.Push(Entry(1000 + id, 9, true, "a"));
  }
  int deferred = 0;
  for (int i = 0; i < 100; ++i) {
    deferred += *queue.Take(kAcceptAll) >= 1000 ? 1 : 0;
  }
  EXPECT_EQ(deferred, 100 / static_cast<int>(FairQueue::kLaterClassPeriod));
}

// Guards against one operator's backlog that delays another operator's few
// requests.
TEST(FairQueueTest, OperatorsOfOneClassTakeTurns) {
  FairQueue queue;
  for (std::uint64_t id = 0; id < 50; ++id) {
    queue.Push(Entry(id, 1, false, "busy"));
  }
  for (int i = 0; i < 20; ++i) {
    queue.Take(kAcceptAll);
  }
  for (std::uint64_t id = 100; id < 105; ++id) {
    queue.Push(Entry(id, 1, false, "quiet"));
  }
  int quiet = 0;
  for (int i = 0; i < 10; ++i) {
    quiet += *queue.Take(kAcceptAll) >= 100 ? 1 : 0;
  }
  EXPECT_EQ(quiet, 5);
}

// Guards against head-of-line blocking by a request that no endpoint can take.
TEST(FairQueueTest, RequestThatCannotBePlacedDoesNotBlockOthers) {
  FairQueue queue;
  queue.Push(Entry(1, 1, false, "a"));
  queue.Push(Entry(2, 1, false, "a"));
  EXPECT_EQ(queue.Take([](std::uint64_t id) { return id != 1; }), 2U);
  EXPECT_EQ(queue.size(), 1U);
}

// Guards against waiting requests that cannot be served before their deadline,
// and against refusing ones that can.
TEST(AdmissionTest, RefusesOnlyRequestsThatCannotBeServedInTime) {
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

// Guards against requests that wait for a model whose loads fail, and against
// refusing them while a loaded replica can serve them.
TEST(AdmissionTest, FailingLoadIsRefusedUnlessAReplicaIsLoaded) {
  AdmissionInput input;
  input.remaining = 10s;
  input.load_failing = true;
  ASSERT_TRUE(ReviewAdmission(input));
  EXPECT_EQ(ReviewAdmission(input)->code, "load_failing");
  input.slots = 1;
  EXPECT_FALSE(ReviewAdmission(input));
}

std::size_t ChooseFirst(std::size_t) {
  return 0;
}

// Guards against a choice that ignores the requests of peers or the load that
// the endpoint reports.
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
  EXPECT_EQ(ChooseEndpoint(candidates, ChooseFirst), 1U);
  // The endpoint may report more requests than the nodes have counted.
  candidates[1].reported_in_flight = 9;
  EXPECT_EQ(ChooseEndpoint(candidates, ChooseFirst), 0U);
}

// Guards against requests to an endpoint at its limit or one that is not
// usable.
TEST(EndpointChoiceTest, FullAndUnusableEndpointsAreNotChosen) {
  std::vector<EndpointCandidate> candidates(2);
  candidates[0] = {.own_in_flight = 4, .max_own_in_flight = 4};
  candidates[1] = {.max_own_in_flight = 4, .usable = false};
  EXPECT_EQ(ChooseEndpoint(candidates, ChooseFirst), std::nullopt);
}

// Guards against requests that are sent to another data centre although the
// endpoint in the own one is little loaded.
TEST(EndpointChoiceTest, OtherDataCentreIsChosenOnlyUnderLoad) {
  std::vector<EndpointCandidate> candidates(2);
  candidates[0] = {.max_own_in_flight = 20, .same_data_centre = false};
  candidates[1] = {
      .own_in_flight = 3, .max_own_in_flight = 20, .same_data_centre = true};
  EXPECT_EQ(ChooseEndpoint(candidates, ChooseFirst), 1U);
  candidates[1].own_in_flight = 12;
  EXPECT_EQ(ChooseEndpoint(candidates, ChooseFirst), 0U);
}

// Guards against an endpoint that is overloaded because it has the cached
// prefix of many requests.
TEST(EndpointChoiceTest, PrefixAffinityEndsWhenTheEndpointIsOverloaded) {
  std::vector<EndpointCandidate> candidates(3);
  for (auto& it : candidates) {
    it = {.max_own_in_flight = 20, .same_data_centre = true};
  }
  candidates[2].prefix_blocks = 7;
  candidates[2].own_in_flight = 2;
  EXPECT_EQ(ChooseEndpoint(candidates, ChooseFirst), 2U);
  candidates[2].own_in_flight = 10;
  EXPECT_NE(ChooseEndpoint(candidates, ChooseFirst), 2U);
}

// Guards against an endpoint that stays unused for seconds because many
// requests failed at the same time.
TEST(EndpointBreakerTest, SimultaneousFailuresDoNotLengthenTheCooldown) {
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

// Guards against a breaker that never opens, never closes, or sends many
// requests to a failing endpoint when it is half-open.
TEST(EndpointBreakerTest, OpensAfterFailuresAndAllowsOneProbe) {
  const EndpointBreaker::TimePoint start(100s);
  EndpointBreaker breaker;
  EXPECT_FALSE(breaker.OnFailure(start));
  EXPECT_FALSE(breaker.OnFailure(start));
  EXPECT_TRUE(breaker.OnFailure(start));
  EXPECT_FALSE(breaker.AllowsRequest(start));
  const auto later = start + 1s;
  EXPECT_TRUE(breaker.AllowsRequest(later));
  EXPECT_TRUE(breaker.OnSend(later));
  EXPECT_FALSE(breaker.AllowsRequest(later)) << "a probe is in flight";
  EXPECT_TRUE(breaker.OnSuccess());
  EXPECT_TRUE(breaker.AllowsRequest(later));
}

// Guards against every node probing a failing endpoint at the same time.
TEST(EndpointBreakerTest, NoRequestIsAllowedDuringAPeersProbe) {
  const EndpointBreaker::TimePoint start(100s);
  EndpointBreaker breaker;
  breaker.Open(start, 1s);
  breaker.OnPeerProbe(start + 2s, 5s);
  EXPECT_FALSE(breaker.AllowsRequest(start + 3s));
  EXPECT_TRUE(breaker.AllowsRequest(start + 8s));
}

// Guards against retries that multiply the load of failing endpoints.
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
