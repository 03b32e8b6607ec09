// Base package: guards against events that are ordered against the messages
// between processes and against unstable hashes, which would name different
// coordinators in different processes.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "base/event_log.h"
#include "base/events.h"
#include "base/hybrid_clock.h"
#include "base/id.h"

namespace tanagerloom {
namespace {

TEST(HybridClockTest, LocalTimeIsAfterEveryObservedTime) {
  EXPECT_TRUE(rc::check([](std::vector<std::uint32_t> remote) {
    std::uint64_t wall = 1000;
    HybridClock clock([&] { return wall; });
    HybridTime last;
    for (const auto it : remote) {
      const HybridTime observed{it, it % 7};
      clock.Observe(observed);
      wall += it % 3;
      const auto now = clock.Now();
      RC_ASSERT(now > observed);
      RC_ASSERT(now > last);
      last = now;
    }
  }));
}

TEST(StableHashTest, KeepsItsValues) {
  EXPECT_EQ(StableHash("greenwriter"), StableHash("greenwriter"));
  EXPECT_NE(StableHash("n1/greenwriter"), StableHash("n2/greenwriter"));
}

TEST(EventLogTest, RingIsBoundedAndKeepsTheNewest) {
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
