// Tests of the adapter's store client and of following a collection, against a
// stand-in of the store and its faults.
#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include "base/event_log.h"
#include "http/http_client.h"
#include "platform/store_client.h"
#include "registry/collection_follower.h"
#include "runtime/runtime.h"
#include "runtime/steady_clock.h"
#include "testing/fleet_standin/store_standin.h"
#include "testing/harness/wait.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using testing_support::WaitUntil;

class PlatformStore : public testing::Test {
 protected:
  // Kept until the process ends, as the fibers of its server are.
  StoreStandin& standin = *new StoreStandin();
  SteadyClock clock;
  HttpClient http{Runtime::Get().io()};
  platform::StoreClient store{http, clock, standin.address()};
};

// Guards against a conditional write that is carried out against its condition.
TEST_F(PlatformStore, WritesAreConditional) {
  const auto created = store.Put("k/a", R"({"x":1})", 0);
  ASSERT_TRUE(created);
  EXPECT_EQ(store.Put("k/a", R"({"x":2})", 0).assume_error().kind,
            ErrorKind::kConflict);
  const auto replaced = store.Put("k/a", R"({"x":2})", created.assume_value());
  ASSERT_TRUE(replaced);
  EXPECT_GT(replaced.assume_value(), created.assume_value());
  EXPECT_EQ(store.Put("k/a", R"({"x":3})", created.assume_value())
                .assume_error()
                .kind,
            ErrorKind::kConflict);
  EXPECT_EQ(store.Get("k/a").assume_value().value, R"({"x":2})");
  EXPECT_EQ(store.Get("k/none").assume_error().kind, ErrorKind::kNotFound);
}

// Guards against a lost answer that is taken for a refusal, after which the
// caller would believe that nothing was stored.
TEST_F(PlatformStore, LostAnswerIsUnknownAndRefusalIsNot) {
  standin.fault = [](const std::string&) {
    return StoreStandinFault::kAnswerLost;
  };
  const auto lost = store.Put("k/a", R"({"x":1})", 0);
  ASSERT_FALSE(lost);
  EXPECT_NE(lost.assume_error().kind, ErrorKind::kUnavailable);
  EXPECT_EQ(standin.Spec("k", "a").at("x"), 1);
  standin.fault = [](const std::string&) {
    return StoreStandinFault::kRefused;
  };
  EXPECT_EQ(store.Put("k/b", R"({"x":1})", 0).assume_error().kind,
            ErrorKind::kUnavailable);
  EXPECT_TRUE(standin.Spec("k", "b").is_null());
}

// Guards against endpoints that are missing because a list has several pages.
TEST_F(PlatformStore, ListIsReadOverPageBorders) {
  standin.page_size = 3;
  for (int i = 0; i < 10; ++i) {
    standin.Set("k", "n" + std::to_string(i), {{"x", i}});
  }
  const auto list = store.ReadAll("k", Freshness::kCurrent);
  ASSERT_TRUE(list);
  EXPECT_EQ(list.assume_value().items.size(), 10U);
  EXPECT_TRUE(store.ReadAll("none", Freshness::kMayBeStale)
                  .assume_value()
                  .items.empty());
}

// Guards against a change that a watch misses, and a removal taken for a
// change.
TEST_F(PlatformStore, WatchGivesChangesAndRemovals) {
  standin.Set("k", "a", {{"x", 1}});
  const auto from = store.ReadAll("k", Freshness::kCurrent);
  standin.Set("k", "b", {{"x", 2}});
  standin.Erase("k", "a");
  const auto changes =
      store.WatchAll("k", from.assume_value().revision, milliseconds(500));
  ASSERT_TRUE(changes);
  ASSERT_EQ(changes.assume_value().changes.size(), 2U);
  EXPECT_FALSE(changes.assume_value().changes[0].removed);
  EXPECT_TRUE(changes.assume_value().changes[1].removed);
  EXPECT_EQ(changes.assume_value().changes[1].item.name, "a");
  standin.Set("k", "c", {{"x", 3}});
  standin.ForgetHistory();
  EXPECT_EQ(store.WatchAll("k", from.assume_value().revision, milliseconds(100))
                .assume_error()
                .kind,
            ErrorKind::kHistoryGone);
}

// Guards against a watch that hangs on a silent connection.
TEST_F(PlatformStore, SilentWatchEnds) {
  standin.fault = [](const std::string&) { return StoreStandinFault::kSilent; };
  const auto began = clock.Now();
  EXPECT_FALSE(store.WatchAll("k", 1, milliseconds(300)));
  EXPECT_LT(clock.Now() - began, milliseconds(2500));
}

// A follower and what it reported.
struct Followed {
  Followed(platform::StoreClient& store, Clock& clock)
      : follower(store,
                 clock,
                 log,
                 "k",
                 {milliseconds(300), milliseconds(20), milliseconds(50)},
                 {[this](const CollectionList& list) {
                    ++lists;
                    names.clear();
                    for (const auto& it : list.items) {
                      names.insert(it.name);
                    }
                  },
                  [this](const CollectionChanges& changes) {
                    for (const auto& it : changes.changes) {
                      if (it.removed) {
                        names.erase(it.item.name);
                      } else {
                        names.insert(it.item.name);
                      }
                    }
                  },
                  [this] { ++outages; }, [this] { ++returns; }}),
        fiber([this] { follower.Run(); }) {}
  ~Followed() {
    follower.Stop();
    fiber.join();
  }

  EventLog log{"test", 100, MakeNullLogger()};
  std::set<std::string> names;
  int lists = 0;
  int outages = 0;
  int returns = 0;
  CollectionFollower follower;
  boost::fibers::fiber fiber;
};

// Guards against changes that are lost when the history was dropped meanwhile.
TEST_F(PlatformStore, FollowerListsAgainAfterAGoneHistory) {
  standin.Set("k", "a", {});
  Followed followed(store, clock);
  ASSERT_TRUE(WaitUntil([&] { return followed.names.contains("a"); }));
  standin.Set("k", "b", {});
  standin.Erase("k", "a");
  standin.ForgetHistory();
  EXPECT_TRUE(
      WaitUntil([&] { return followed.names == std::set<std::string>{"b"}; }));
  EXPECT_GE(followed.lists, 1);
  EXPECT_EQ(followed.outages, 0);
}

// Guards against an outage that is not noticed, or never ends.
TEST_F(PlatformStore, FollowerReportsOutageAndReturn) {
  Followed followed(store, clock);
  ASSERT_TRUE(WaitUntil([&] { return followed.lists == 1; }));
  standin.fault = [](const std::string&) {
    return StoreStandinFault::kRefused;
  };
  EXPECT_TRUE(WaitUntil([&] { return followed.outages == 1; }));
  standin.Set("k", "late", {});
  EXPECT_EQ(followed.returns, 0);
  standin.fault = [](const std::string&) { return StoreStandinFault::kNone; };
  EXPECT_TRUE(WaitUntil([&] { return followed.names.contains("late"); }));
  EXPECT_EQ(followed.returns, 1);
  EXPECT_EQ(followed.outages, 1);
}

}  // namespace
}  // namespace tanagerloom
