// Tests of the client of the object store and of CollectionFollower, with a
// stand-in for the store that injects faults.
#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include "base/event_log.h"
#include "http/http_client.h"
#include "platform/store_client.h"
#include "registry/collection_follower.h"
#include "registry/node_registry.h"
#include "runtime/runtime.h"
#include "runtime/steady_clock.h"
#include "testing/fleet_standin/store_standin.h"
#include "testing/harness/wait.h"
#include "tests/support/fault_relay.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using testing_support::WaitUntil;

class PlatformStore : public testing::Test {
 protected:
  // Leaked, because the fibers of its server run until the process ends.
  StoreStandin& standin = *new StoreStandin();
  SteadyClock clock;
  HttpClient http{Runtime::Get().io()};
  platform::StoreClient store{http, clock, standin.address()};
};

// Guards against a write that takes effect although the expected version is not
// the stored one.
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

// Guards against taking a lost answer for a refusal: the caller would assume
// that nothing was stored.
TEST_F(PlatformStore, LostAnswerIsUnknownAndRefusalIsUnavailable) {
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

// Guards against a list that is never read because each try ends before a slow
// link has delivered it.
TEST_F(PlatformStore, ListIsReadOverASlowLink) {
  standin.Set("k", "a", {{"x", 1}});
  auto& relay = *new FaultRelay(standin.address().port);
  platform::StoreClient client(http, clock, {"127.0.0.1", relay.port()});
  ASSERT_TRUE(client.ReadAll("k", Freshness::kCurrent));
  relay.SetPaused(true);
  boost::fibers::fiber resume([&] {
    boost::this_fiber::sleep_for(milliseconds(1200));
    relay.SetPaused(false);
  });
  EXPECT_TRUE(client.ReadAll("k", Freshness::kCurrent));
  resume.join();
}

// Guards against items that are missing because a list has several pages.
TEST_F(PlatformStore, ListIsReadAcrossPages) {
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

// Guards against a change that a watch misses, a removal that is taken for a
// change, and a watch that does not report that the history is gone.
TEST_F(PlatformStore, WatchReportsChangesAndRemovals) {
  standin.Set("k", "a", {{"x", 1}});
  const auto before = store.ReadAll("k", Freshness::kCurrent);
  standin.Set("k", "b", {{"x", 2}});
  standin.Erase("k", "a");
  const auto changes =
      store.WatchAll("k", before.assume_value().revision, milliseconds(500));
  ASSERT_TRUE(changes);
  ASSERT_EQ(changes.assume_value().changes.size(), 2U);
  EXPECT_FALSE(changes.assume_value().changes[0].removed);
  EXPECT_TRUE(changes.assume_value().changes[1].removed);
  EXPECT_EQ(changes.assume_value().changes[1].item.name, "a");
  standin.Set("k", "c", {{"x", 3}});
  standin.ForgetHistory();
  EXPECT_EQ(
      store.WatchAll("k", before.assume_value().revision, milliseconds(100))
          .assume_error()
          .kind,
      ErrorKind::kHistoryGone);
}

// Guards against a watch that blocks on a silent connection beyond its timeout.
TEST_F(PlatformStore, SilentWatchTimesOut) {
  standin.fault = [](const std::string&) { return StoreStandinFault::kSilent; };
  const auto start = clock.Now();
  EXPECT_FALSE(store.WatchAll("k", 1, milliseconds(300)));
  EXPECT_LT(clock.Now() - start, milliseconds(2500));
}

// Guards against a node that goes back to an era that has ended when answers
// arrive out of order.
TEST_F(PlatformStore, AnswerOfAnEndedEraFails) {
  standin.Set("k", "a", {{"x", 1}});
  EXPECT_TRUE(store.Get("k/a"));
  EXPECT_EQ(store.era().current(), 0U);
  standin.era = 2;
  EXPECT_TRUE(store.Get("k/a"));
  EXPECT_EQ(store.era().current(), 2U);
  standin.era = 1;
  EXPECT_EQ(store.Get("k/a").assume_error().kind, ErrorKind::kUnknown);
  EXPECT_FALSE(store.ReadAll("k", Freshness::kCurrent));
  EXPECT_FALSE(store.Put("k/b", "{}", 0));
  EXPECT_EQ(store.era().current(), 2U);
  standin.era = 3;
  EXPECT_EQ(store.Get("k/none").assume_error().kind, ErrorKind::kNotFound);
  EXPECT_EQ(store.era().current(), 3U);
}

// Guards against a list whose first page is of another era than its last.
TEST_F(PlatformStore, ListOfTwoErasFails) {
  standin.era = 1;
  standin.page_size = 1;
  standin.Set("k", "a", {});
  standin.Set("k", "b", {});
  const auto copy = standin.MakeCopy();
  standin.fault = [&](const std::string& call) {
    if (call.find("after=") != std::string::npos && standin.era == 1U) {
      standin.Restore(copy);
    }
    return StoreStandinFault::kNone;
  };
  EXPECT_FALSE(store.ReadAll("k", Freshness::kCurrent));
  EXPECT_EQ(store.ReadAll("k", Freshness::kCurrent).assume_value().items.size(),
            2U);
}

// Guards against a node that the others no longer find after the store lost its
// address, and against writes of an address that is still stored.
TEST_F(PlatformStore, NodeRegistersAgainInANewEra) {
  Vm vm;
  vm.id = "n";
  vm.address.ip = "127.0.0.1";
  const auto copy = standin.MakeCopy();
  NodeRegistry nodes(store, store, store.era(), clock, vm);
  nodes.Register();
  EXPECT_FALSE(standin.Spec("fleet-nodes", "n").is_null());
  const auto calls = standin.calls.size();
  nodes.Register();
  EXPECT_EQ(standin.calls.size(), calls);
  standin.Restore(copy);
  EXPECT_TRUE(standin.Spec("fleet-nodes", "n").is_null());
  (void)store.Get("k/a");
  nodes.Register();
  EXPECT_FALSE(standin.Spec("fleet-nodes", "n").is_null());
}

// Runs a CollectionFollower and records what it reports.
struct FollowerRecorder {
  FollowerRecorder(platform::StoreClient& store, Clock& clock)
      : follower(store,
                 store.era(),
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
                  [this] { ++outages; }, [this] { ++recoveries; }}),
        fiber([this] { follower.Run(); }) {}
  ~FollowerRecorder() {
    follower.Stop();
    fiber.join();
  }

  EventLog log{"test", 100, MakeNullLogger()};
  std::set<std::string> names;
  int lists = 0;
  int outages = 0;
  int recoveries = 0;
  CollectionFollower follower;
  boost::fibers::fiber fiber;
};

// Guards against losing changes when the store discards its history between two
// watches.
TEST_F(PlatformStore, FollowerListsAgainAfterHistoryIsGone) {
  standin.Set("k", "a", {});
  FollowerRecorder recorder(store, clock);
  ASSERT_TRUE(WaitUntil([&] { return recorder.names.contains("a"); }));
  standin.Set("k", "b", {});
  standin.Erase("k", "a");
  standin.ForgetHistory();
  EXPECT_TRUE(
      WaitUntil([&] { return recorder.names == std::set<std::string>{"b"}; }));
  EXPECT_GE(recorder.lists, 1);
  EXPECT_EQ(recorder.outages, 0);
}

// Guards against an outage of the store that is not reported, is reported twice
// or has no reported end.
TEST_F(PlatformStore, FollowerReportsOutageAndRecovery) {
  FollowerRecorder recorder(store, clock);
  ASSERT_TRUE(WaitUntil([&] { return recorder.lists == 1; }));
  standin.fault = [](const std::string&) {
    return StoreStandinFault::kRefused;
  };
  EXPECT_TRUE(WaitUntil([&] { return recorder.outages == 1; }));
  standin.Set("k", "late", {});
  EXPECT_EQ(recorder.recoveries, 0);
  standin.fault = [](const std::string&) { return StoreStandinFault::kNone; };
  EXPECT_TRUE(WaitUntil([&] { return recorder.names.contains("late"); }));
  EXPECT_EQ(recorder.recoveries, 1);
  EXPECT_EQ(recorder.outages, 1);
}

// Guards against changes that are missed, or taken from another history,
// because revisions of an ended era are given out again.
TEST_F(PlatformStore, FollowerListsAgainInANewEra) {
  standin.era = 1;
  standin.Set("k", "a", {});
  FollowerRecorder recorder(store, clock);
  ASSERT_TRUE(WaitUntil([&] { return recorder.names.contains("a"); }));
  const auto copy = standin.MakeCopy();
  standin.Set("k", "lost", {});
  ASSERT_TRUE(WaitUntil([&] { return recorder.names.contains("lost"); }));
  standin.Restore(copy);
  standin.Set("k", "new", {});  // With the revision that "lost" had.
  const std::set<std::string> stored{"a", "new"};
  EXPECT_TRUE(WaitUntil([&] { return recorder.names == stored; }));
  EXPECT_EQ(recorder.outages, 1);
  EXPECT_EQ(recorder.recoveries, 1);
  EXPECT_EQ(recorder.lists, 2);
}

}  // namespace
}  // namespace tanagerloom
