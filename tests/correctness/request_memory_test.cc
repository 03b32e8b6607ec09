// Tests of the decisions on the memory that clients' requests may take. The
// load that they answer: many clients with long bodies at once, most of which
// stop before their end.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <vector>

#include "http/request_memory.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMb = 1024UL * 1024;
constexpr std::size_t kBudgetBytes = 16 * kMb;

class Requests : public testing::Test {
 protected:
  // Opens a connection on which a request begins to arrive.
  RequestMemoryUse& Add() {
    const auto number = uses.size();
    uses.push_back(std::make_unique<RequestMemoryUse>(
        budget, [this, number] { ended.push_back(number); }));
    EXPECT_TRUE(memory.AddConnection(*uses.back()));
    memory.BeginRead(*uses.back(), now);
    return *uses.back();
  }

  BufferBudget budget{kBudgetBytes};
  RequestMemory memory{budget};
  std::vector<std::unique_ptr<RequestMemoryUse>> uses;
  std::vector<std::size_t> ended;  ///< Numbers of the requests ended.
  TimePoint now{};
};

// Guards against long bodies that fill the whole memory, so that no short
// request and no response has any.
TEST_F(Requests, LongOnesLeaveRoomForShortOnesAndResponses) {
  constexpr int kMany = 60;
  for (int i = 0; i < kMany; ++i) {
    Add();
  }
  int large = 0;
  int small = 0;
  for (const auto& it : uses) {
    large += memory.Grow(*it, kMb, now) == MemoryDecision::kGranted ? 1 : 0;
  }
  EXPECT_GT(large, 5);
  EXPECT_LE(budget.used_bytes(), kBudgetBytes * 5 / 8);
  for (const auto& it : uses) {
    small += memory.Grow(*it, RequestMemory::kSmallRequestBytes, now) ==
                     MemoryDecision::kGranted
                 ? 1
                 : 0;
  }
  EXPECT_GT(small, large + 20);
  EXPECT_LE(budget.used_bytes(), kBudgetBytes * 6 / 8);
}

// Guards against clients that read long responses slowly and keep all others
// from sending, and against responses that are not counted.
TEST_F(Requests, ShortOnesHaveRoomBesideAllResponses) {
  BufferBudget responses(kBudgetBytes / 2, 1, &budget);
  BufferShare all(responses);
  EXPECT_FALSE(all.Resize(kBudgetBytes / 2 + 1));
  ASSERT_TRUE(all.Resize(kBudgetBytes / 2));
  EXPECT_EQ(budget.used_bytes(), kBudgetBytes / 2);
  EXPECT_EQ(memory.Grow(Add(), RequestMemory::kSmallRequestBytes, now),
            MemoryDecision::kGranted);
  EXPECT_EQ(memory.Grow(Add(), 3 * kMb, now), MemoryDecision::kWait);
}

// Guards against responses that exceed the memory which requests have filled.
TEST_F(Requests, LeaveNoMoreThanTheRestForResponses) {
  BufferBudget responses(kBudgetBytes / 2, 1, &budget);
  ASSERT_EQ(memory.Grow(Add(), 9 * kMb, now), MemoryDecision::kGranted);
  BufferShare all(responses);
  EXPECT_FALSE(all.Resize(kBudgetBytes / 2));
  EXPECT_TRUE(all.Resize(kBudgetBytes / 4));
}

// Guards against a request that arrived later and takes the memory that an
// earlier one waits for.
TEST_F(Requests, WaitInTheOrderOfTheirArrival) {
  auto& holder = Add();
  ASSERT_EQ(memory.Grow(holder, 9 * kMb, now), MemoryDecision::kGranted);
  auto& first = Add();
  auto& second = Add();
  EXPECT_EQ(memory.Grow(first, 4 * kMb, now), MemoryDecision::kWait);
  EXPECT_EQ(memory.Grow(second, kMb / 2, now), MemoryDecision::kWait);
  memory.EndRead(holder, 0);
  EXPECT_EQ(memory.Grow(second, kMb / 2, now), MemoryDecision::kWait);
  EXPECT_EQ(memory.Grow(first, 4 * kMb, now), MemoryDecision::kGranted);
  EXPECT_EQ(memory.Grow(second, kMb / 2, now), MemoryDecision::kGranted);
  EXPECT_EQ(memory.refused(), 0U);
}

// Guards against a client that waits until its deadline for memory which does
// not come, and against a queue without a limit.
TEST_F(Requests, WaitForAShortTimeAndInALimitedNumber) {
  ASSERT_EQ(memory.Grow(Add(), 9 * kMb, now), MemoryDecision::kGranted);
  auto& first = Add();
  EXPECT_EQ(memory.Grow(first, 4 * kMb, now), MemoryDecision::kWait);
  for (std::size_t i = 1; i < RequestMemory::kMaxWaiting; ++i) {
    EXPECT_EQ(memory.Grow(Add(), 4 * kMb, now), MemoryDecision::kWait);
  }
  EXPECT_EQ(memory.Grow(Add(), 4 * kMb, now), MemoryDecision::kRefused);
  now += RequestMemory::kMaxWait - milliseconds(1);
  EXPECT_EQ(memory.Grow(first, 4 * kMb, now), MemoryDecision::kWait);
  now += milliseconds(1);
  EXPECT_EQ(memory.Grow(first, 4 * kMb, now), MemoryDecision::kRefused);
  memory.EndRead(first, 0);
  EXPECT_EQ(memory.waiting(), RequestMemory::kMaxWaiting - 1);
}

// Guards against clients that stop short of the end of their body and keep
// others from the memory, and against the end of one that is still sending, is
// held up by this node, or has sent all.
TEST_F(Requests, StalledOneWithMostMemoryIsEnded) {
  auto& sending = Add();
  auto& small = Add();
  auto& large = Add();
  auto& arrived = Add();
  ASSERT_EQ(memory.Grow(sending, 4 * kMb, now), MemoryDecision::kGranted);
  ASSERT_EQ(memory.Grow(small, kMb, now), MemoryDecision::kGranted);
  ASSERT_EQ(memory.Grow(large, 2 * kMb, now), MemoryDecision::kGranted);
  ASSERT_EQ(memory.Grow(arrived, 2 * kMb, now), MemoryDecision::kGranted);
  memory.EndRead(arrived, 2 * kMb);
  ASSERT_EQ(memory.Grow(Add(), 4 * kMb, now), MemoryDecision::kWait);
  EXPECT_FALSE(memory.EndStalled(now));
  now += RequestMemory::kStallTime;
  memory.OnProgress(sending, kMb, now);
  memory.OnProgress(large, 100, now);  // Single bytes are no progress.
  EXPECT_TRUE(memory.EndStalled(now));
  EXPECT_TRUE(memory.EndStalled(now));
  EXPECT_FALSE(memory.EndStalled(now));
  EXPECT_EQ(ended, (std::vector<std::size_t>{2, 1}));
}

// Guards against memory that is counted twice or is never given back.
RC_GTEST_FIXTURE_PROP(Requests, NeverExceedTheirPartAndGiveAllBack, ()) {
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(0, 4000)));
  for (int i = 0; i < 12; ++i) {
    Add();
  }
  for (const auto& [index, kb] : steps) {
    auto& use = *uses[static_cast<std::size_t>(index)];
    if (kb % 3 == 0) {
      memory.EndRead(use, 0);
      memory.BeginRead(use, now);
    } else {
      (void)memory.Grow(use, static_cast<std::size_t>(kb) * 1024, now);
    }
    now += milliseconds(kb % 400);
    RC_ASSERT(budget.used_bytes() <= kBudgetBytes / 8 * 6);
    RC_ASSERT(memory.waiting() <= uses.size());
  }
  for (const auto& it : uses) {
    memory.RemoveConnection(*it);
  }
  RC_ASSERT(budget.used_bytes() == 0U);
  RC_ASSERT(memory.waiting() == 0U);
  RC_ASSERT(!memory.EndStalled(now + std::chrono::hours(1)));
}

}  // namespace
}  // namespace tanagerloom
