// Tests of the directory of registered endpoints.
#include <gtest/gtest.h>

#include "fleet/endpoint_directory.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

EndpointRecord Record(std::string id,
                      std::uint64_t boot,
                      std::uint64_t entry_sequence,
                      bool draining = false) {
  EndpointRecord record;
  record.id = std::move(id);
  record.boot = boot;
  record.entry_sequence = entry_sequence;
  record.draining = draining;
  return record;
}

// Guards against requests to an endpoint whose entry was removed while the list
// of endpoints was available.
TEST(EndpointDirectory, RemovedEntryIsGoneAtOnce) {
  EndpointDirectory directory;
  directory.Replace({Record("a", 1, 1), Record("b", 1, 1)}, kStart);
  EXPECT_EQ(directory.Remove("a", kStart).gone, std::vector<std::string>{"a"});
  EXPECT_EQ(directory.Find("a"), nullptr);
  EXPECT_EQ(directory.Replace({}, kStart).gone, std::vector<std::string>{"b"});
}

// Guards against a service that loses all endpoints because their entries
// expired during an outage of the object store, and against an endpoint that is
// never removed after the outage.
TEST(EndpointDirectory, ExpiredEntryIsKeptForAGracePeriodAfterAnOutage) {
  EndpointDirectory directory;
  directory.Replace({Record("a", 1, 1), Record("b", 1, 1)}, kStart);
  directory.OnListUnavailable();
  EXPECT_TRUE(directory.Expire(kStart + std::chrono::hours(1)).empty());
  const auto available_at = kStart + std::chrono::seconds(9);
  directory.OnListAvailable(available_at);
  EXPECT_TRUE(directory.Replace({}, available_at).gone.empty());
  directory.Update(Record("b", 1, 2), available_at + milliseconds(500));
  EXPECT_TRUE(directory.Expire(available_at + milliseconds(1700)).empty());
  const auto after_grace_period = available_at + milliseconds(1900);
  EXPECT_EQ(directory.Expire(after_grace_period).gone,
            std::vector<std::string>{"a"});
  EXPECT_NE(directory.Find("b"), nullptr);
}

// Guards against requests to an endpoint that has gone and that an older copy
// of the list shows again, and against one that is ignored when it comes back.
TEST(EndpointDirectory, OlderListDoesNotBringAnEndpointBack) {
  EndpointDirectory directory;
  directory.Replace({Record("a", 2, 5), Record("b", 1, 1)}, kStart);
  directory.Remove("a", kStart);
  const auto available_at = kStart + std::chrono::seconds(2);
  directory.OnListUnavailable();
  directory.OnListAvailable(available_at);
  EXPECT_TRUE(
      directory.Replace({Record("a", 2, 4), Record("b", 1, 1)}, available_at)
          .listed.empty());
  EXPECT_EQ(directory.Find("a"), nullptr);
  directory.Update(Record("a", 1, 9), available_at);
  EXPECT_EQ(directory.Find("a"), nullptr);
  directory.Update(Record("a", 2, 6), available_at);
  EXPECT_NE(directory.Find("a"), nullptr);
}

// Guards against requests to an endpoint that has gone, and whose last entry
// comes back with an older copy of the list, or late.
TEST(EndpointDirectory, LastEntryOfARemovedEndpointDoesNotBringItBack) {
  EndpointDirectory directory;
  directory.Replace({Record("a", 2, 5), Record("b", 1, 1)}, kStart);
  directory.Remove("a", kStart);
  const auto back_at = kStart + std::chrono::seconds(2);
  directory.Update(Record("a", 2, 5), back_at);
  EXPECT_EQ(directory.Find("a"), nullptr);
  directory.OnListUnavailable();
  directory.OnListAvailable(back_at);
  directory.Replace({Record("a", 2, 5), Record("b", 1, 1)}, back_at);
  EXPECT_EQ(directory.Find("a"), nullptr);
  directory.Remove("a", back_at + std::chrono::seconds(3));
  EXPECT_TRUE(directory.Expire(back_at + std::chrono::seconds(9)).empty());
  EXPECT_EQ(directory.Find("a"), nullptr);
  // A live endpoint writes a higher sequence.
  directory.Update(Record("a", 2, 6), back_at + std::chrono::seconds(9));
  EXPECT_NE(directory.Find("a"), nullptr);
}

// Guards against a live endpoint that is never used again: its check-ins do not
// change the entry that came back with a copy of the list.
TEST(EndpointDirectory, LastEntryThatOutlivesASilenceIsListed) {
  EndpointDirectory directory;
  directory.Update(Record("a", 2, 5), kStart);
  directory.Remove("a", kStart);
  directory.Update(Record("a", 2, 5), kStart + milliseconds(1000));
  EXPECT_TRUE(directory.Expire(kStart + milliseconds(4500)).empty());
  EXPECT_EQ(directory.Find("a"), nullptr);
  const auto change = directory.Expire(kStart + milliseconds(6500));
  EXPECT_EQ(change.listed, std::vector<std::string>{"a"});
  EXPECT_NE(directory.Find("a"), nullptr);
}

// Guards against a removal during an outage of the list that is not seen: the
// time for which an entry is there counts from the end of the outage.
TEST(EndpointDirectory, HeldBackEntryIsNotListedForTheTimeOfAnOutage) {
  EndpointDirectory directory;
  directory.Update(Record("a", 2, 5), kStart);
  directory.Remove("a", kStart);
  directory.Update(Record("a", 2, 5), kStart + milliseconds(1000));
  directory.OnListUnavailable();
  EXPECT_TRUE(directory.Expire(kStart + milliseconds(9000)).empty());
  directory.OnListAvailable(kStart + milliseconds(9000));
  EXPECT_TRUE(directory.Expire(kStart + milliseconds(9100)).empty());
  directory.Remove("a", kStart + milliseconds(9200));
  EXPECT_TRUE(directory.Expire(kStart + milliseconds(20000)).empty());
}

// Guards against an endpoint that is kept out because its entries have no
// sequence.
TEST(EndpointDirectory, EntryWithoutASequenceComesBackAtOnce) {
  EndpointDirectory directory;
  directory.Update(Record("a", 2, 0), kStart);
  directory.Remove("a", kStart);
  directory.Update(Record("a", 2, 0), kStart + milliseconds(1000));
  EXPECT_NE(directory.Find("a"), nullptr);
}

// Guards against a grace period for an endpoint that had announced that it
// drains.
TEST(EndpointDirectory, DrainingEndpointGetsNoGracePeriod) {
  EndpointDirectory directory;
  directory.Replace({Record("a", 1, 1, /*draining=*/true)}, kStart);
  directory.OnListUnavailable();
  EXPECT_EQ(directory.Remove("a", kStart).gone, std::vector<std::string>{"a"});
}

// Guards against requests to an endpoint that said it leaves while its entry
// had lapsed: an entry that arrives later says that it is ready.
TEST(EndpointDirectory, StatementOfAnUnlistedEndpointIsRemembered) {
  EndpointDirectory directory;
  directory.Update(Record("a", 1, 1), kStart);
  directory.Remove("a", kStart);
  EXPECT_TRUE(directory.OnLeaving("a", 1, kStart));
  EXPECT_FALSE(directory.OnLeaving("a", 1, kStart));
  const auto change = directory.Update(Record("a", 1, 2), kStart);
  EXPECT_EQ(change.draining, std::vector<std::string>{"a"});
  EXPECT_TRUE(directory.Find("a")->draining);
  directory.Update(Record("a", 2, 1), kStart);
  EXPECT_FALSE(directory.Find("a")->draining);
}

// Guards against requests to an endpoint that never was listed here, or only as
// an earlier start, when a peer told that it leaves.
TEST(EndpointDirectory, StatementOfALaterStartIsRemembered) {
  EndpointDirectory directory;
  directory.Update(Record("a", 1, 9), kStart);
  EXPECT_TRUE(directory.OnLeaving("a", 2, kStart));
  // The earlier start has ended, since there is a later one.
  EXPECT_TRUE(directory.Find("a")->draining);
  directory.Update(Record("a", 2, 1), kStart);
  EXPECT_TRUE(directory.Find("a")->draining);
  EXPECT_TRUE(directory.OnLeaving("b", 7, kStart));
  directory.Update(Record("b", 7, 1), kStart);
  EXPECT_TRUE(directory.Find("b")->draining);
}

// Guards against a late statement or entry of an earlier start that replaces
// the knowledge about the current one.
TEST(EndpointDirectory, StatementOfAnEarlierStartReplacesNothing) {
  EndpointDirectory directory;
  EXPECT_TRUE(directory.OnLeaving("a", 2, kStart));
  EXPECT_FALSE(directory.OnLeaving("a", 1, kStart));
  directory.Update(Record("a", 1, 9, /*draining=*/true), kStart);
  directory.Update(Record("a", 2, 1), kStart);
  EXPECT_TRUE(directory.Find("a")->draining);
  directory.Update(Record("a", 3, 1), kStart);
  EXPECT_FALSE(directory.OnLeaving("a", 2, kStart));
  EXPECT_FALSE(directory.Find("a")->draining);
}

// Guards against a memory of draining endpoints that grows without a bound, and
// against one that loses the latest of them.
TEST(EndpointDirectory, LatestDrainingEndpointsAreRemembered) {
  constexpr auto kMax = EndpointDirectory::kMaxRememberedDraining;
  EndpointDirectory directory;
  const auto id = [](std::size_t i) { return "e" + std::to_string(i); };
  for (std::size_t i = 0; i <= kMax; ++i) {
    directory.OnLeaving(id(i), 1, kStart + milliseconds(i));
  }
  directory.Update(Record(id(0), 1, 1), kStart);
  directory.Update(Record(id(1), 1, 1), kStart);
  directory.Update(Record(id(kMax), 1, 1), kStart);
  EXPECT_FALSE(directory.Find(id(0))->draining);
  EXPECT_TRUE(directory.Find(id(1))->draining);
  EXPECT_TRUE(directory.Find(id(kMax))->draining);
}

// Guards against a late entry that makes a draining endpoint usable again or
// restores the state of an earlier boot.
TEST(EndpointDirectory, OlderEntryIsIgnoredExceptThatItDrains) {
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

// Guards against an endpoint that stays draining, or keeps its loaded models,
// after it restarted.
TEST(EndpointDirectory, NewBootReplacesAllStateOfTheEndpoint) {
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
