// Tests of the base package: the order of events across processes, stable hash
// values and the bounded event log.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "base/event_log.h"
#include "base/events.h"
#include "base/hybrid_clock.h"
#include "base/id.h"

namespace tanagerloom {
namespace {

// Guards against an event that is ordered before the message of another process
// that caused it, when the local wall clock is behind.
TEST(HybridClockTest, LocalTimeIsAfterEveryObservedTime) {
  EXPECT_TRUE(rc::check([](std::vector<std::uint32_t> remote) {
    std::uint64_t wall = 1000;
    HybridClock clock([&] { return wall; });
    HybridTime last;
    for (const auto remote_wall : remote) {
      const HybridTime observed{remote_wall, remote_wall % 7};
      clock.Observe(observed);
      wall += remote_wall % 3;
      const auto now = clock.Now();
      RC_ASSERT(now > observed);
      RC_ASSERT(now > last);
      last = now;
    }
  }));
}

// Guards against a hash that differs between calls or processes: nodes would
// choose different coordinators.
TEST(StableHashTest, EqualInputsHaveEqualHashes) {
  EXPECT_EQ(StableHash("greenwriter"), StableHash("greenwriter"));
  EXPECT_NE(StableHash("n1/greenwriter"), StableHash("n2/greenwriter"));
}

// Guards against an event log that grows without bound or drops new events
// instead of old ones.
TEST(EventLogTest, RingIsBoundedAndKeepsTheNewestEvents) {
  EventLog log("p", 3, MakeNullLogger());
  for (int i = 0; i < 5; ++i) {
    log.Record(events::kOrderSent, {{"i", i}});
  }
  const auto records = log.Since(0);
  ASSERT_EQ(records.size(), 3U);
  EXPECT_EQ(records.back().fields["i"], 4);
  EXPECT_EQ(log.Since(4).size(), 1U);
}

}  // namespace
}  // namespace tanagerloom
