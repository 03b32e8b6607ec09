// Tests of which registered endpoints may be used.
#include <gtest/gtest.h>

#include "fleet/endpoint_directory.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

EndpointRecord Record(std::string id,
                      std::uint64_t boot,
                      std::uint64_t entry,
                      bool draining = false) {
  EndpointRecord record;
  record.id = std::move(id);
  record.boot = boot;
  record.entry_sequence = entry;
  record.draining = draining;
  return record;
}

// Guards against requests to an endpoint that left while the list was stable.
TEST(EndpointDirectory, RemovedEntryIsGoneAtOnce) {
  EndpointDirectory directory;
  directory.Replace({Record("a", 1, 1), Record("b", 1, 1)}, kStart);
  EXPECT_EQ(directory.Remove("a", kStart).gone, std::vector<std::string>{"a"});
  EXPECT_EQ(directory.Find("a"), nullptr);
  EXPECT_EQ(directory.Replace({}, kStart).gone, std::vector<std::string>{"b"});
}

// Guards against a service that loses all endpoints because their entries
// lapsed while the store was away, and against one that is never dropped.
TEST(EndpointDirectory, LapsedEntryIsKeptForTheGraceAfterTheReturn) {
  EndpointDirectory directory;
  directory.Replace({Record("a", 1, 1), Record("b", 1, 1)}, kStart);
  directory.OnListUnavailable();
  EXPECT_TRUE(directory.Expire(kStart + std::chrono::hours(1)).empty());
  const auto back = kStart + std::chrono::seconds(9);
  directory.OnListAvailable(back);
  EXPECT_TRUE(directory.Replace({}, back).gone.empty());
  directory.Update(Record("b", 1, 2), back + milliseconds(500));
  EXPECT_TRUE(directory.Expire(back + milliseconds(1700)).empty());
  const auto late = back + milliseconds(1900);
  EXPECT_EQ(directory.Expire(late).gone, std::vector<std::string>{"a"});
  EXPECT_NE(directory.Find("b"), nullptr);
}

// Guards against the grace for an endpoint that had announced its leaving.
TEST(EndpointDirectory, DrainingEndpointGetsNoGrace) {
  EndpointDirectory directory;
  directory.Replace({Record("a", 1, 1, /*draining=*/true)}, kStart);
  directory.OnListUnavailable();
  EXPECT_EQ(directory.Remove("a", kStart).gone, std::vector<std::string>{"a"});
}

// Guards against a late entry that makes a leaving endpoint usable again or
// brings back what an earlier boot held.
TEST(EndpointDirectory, OlderEntryIsIgnoredButNotItsNoticeOfLeaving) {
  EndpointDirectory directory;
  directory.Update(Record("a", 2, 5, /*draining=*/true), kStart);
  directory.Update(Record("a", 2, 4), kStart);
  EXPECT_TRUE(directory.Find("a")->draining);
  directory.Update(Record("a", 2, 6), kStart);
  EXPECT_TRUE(directory.Find("a")->draining);
  directory.Update(Record("a", 1, 9), kStart);
  EXPECT_EQ(directory.Find("a")->boot, 2U);
  directory.Update(Record("b", 1, 5), kStart);
  directory.Update(Record("b", 1, 4, /*draining=*/true), kStart);
  EXPECT_TRUE(directory.Find("b")->draining);
}

// Guards against an endpoint that stays unused after it started again.
TEST(EndpointDirectory, NewBootUnderTheSameIdStartsAnew) {
  EndpointDirectory directory;
  auto first = Record("a", 1, 7, /*draining=*/true);
  first.models["m"];
  directory.Update(first, kStart);
  directory.Update(Record("a", 2, 1), kStart);
  EXPECT_FALSE(directory.Find("a")->draining);
  EXPECT_TRUE(directory.Find("a")->models.empty());
}

}  // namespace
}  // namespace tanagerloom
