// Tests of the table of engines that the lease holder plans and orders with.
#include <gtest/gtest.h>

#include "fleet/endpoint_directory.h"
#include "ordering/engine_table.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(1)};

// Returns the record of an engine of service "s" that has model "m" loaded.
EndpointRecord MakeEngine(std::string id, std::uint64_t boot = 1) {
  EndpointRecord record;
  record.id = std::move(id);
  record.service = "s";
  record.boot = boot;
  record.models["m"];
  return record;
}

// Returns the state report of an engine that has model "m" loaded.
EngineState MakeReport(std::uint64_t sequence, bool busy) {
  EngineState state;
  state.sequence = sequence;
  state.busy = busy;
  state.entries.push_back({"m", "", "", EngineReplicaState::kLoaded, "", ""});
  return state;
}

struct Fixture {
  Fixture() {
    directory.Update(MakeEngine("a"), kNow);
    directory.Update(MakeEngine("b"), kNow);
  }

  EndpointDirectory directory;
  EngineTable table;
};

// Guards against a plan that is made before any state report was read: it would
// take every model for missing and refuse all requests that wait for one.
TEST(EngineTable, PlanningAwaitsTheFirstReports) {
  Fixture f;
  EXPECT_EQ(f.table.Sync(f.directory, "s", kNow).size(), 2U);
  f.table.Find("a")->reading_report = true;
  f.table.Find("b")->reading_report = true;
  EXPECT_TRUE(f.table.IsAwaitingReports(kNow));
  f.table.Adopt("a", MakeReport(4, false), kNow);
  // The other engine may have loaded the models that seem to be missing.
  EXPECT_TRUE(f.table.IsAwaitingReports(kNow + milliseconds(100)));
  EXPECT_FALSE(f.table.IsAwaitingReports(kNow + seconds(1)));
  const auto snapshots = f.table.Snapshots(f.directory, kNow);
  EXPECT_TRUE(snapshots[0].usable);
  EXPECT_FALSE(snapshots[1].usable);
}

// Guards against models that are taken for lost while the engines with their
// cached copies are still registering.
TEST(EngineTable, IsSettledOnceNoEngineIsNew) {
  Fixture f;
  f.table.Sync(f.directory, "s", kNow);
  EXPECT_FALSE(f.table.IsSettled(kNow + seconds(2)));
  f.directory.Update(MakeEngine("c"), kNow + seconds(2));
  f.table.Sync(f.directory, "s", kNow + seconds(2));
  EXPECT_FALSE(f.table.IsSettled(kNow + seconds(4)));
  f.table.Sync(f.directory, "s", kNow + seconds(5));
  EXPECT_TRUE(f.table.IsSettled(kNow + seconds(5)));
}

// Guards against a load that exceeds an engine's memory while the engine
// executes an order of an earlier lease holder, whose model its report does not
// list yet.
TEST(EngineTable, EngineWithAnUnknownOrderIsBusyUntilItsReportSaysOtherwise) {
  Fixture f;
  f.table.Sync(f.directory, "s", kNow);
  f.table.Adopt("a", MakeReport(4, /*busy=*/true), kNow);
  EXPECT_TRUE(f.table.Snapshots(f.directory, kNow + seconds(9))[0].busy);
  const auto engines_to_read =
      f.table.Sync(f.directory, "s", kNow + seconds(9));
  EXPECT_EQ(engines_to_read.at(0), "a");
  f.table.Adopt("a", MakeReport(4, /*busy=*/false), kNow + seconds(9));
  EXPECT_FALSE(f.table.Snapshots(f.directory, kNow + seconds(9))[0].busy);
}

// Guards against planning with the models and the order in flight that an
// engine had before it restarted.
TEST(EngineTable, RestartedEngineIsReadAgain) {
  Fixture f;
  f.table.Sync(f.directory, "s", kNow);
  f.table.Adopt("a", MakeReport(4, false), kNow);
  f.table.Find("a")->order = InFlightOrder{};
  f.directory.Update(MakeEngine("a", 2), kNow);
  f.table.Sync(f.directory, "s", kNow);
  EXPECT_FALSE(f.table.Find("a")->order);
  EXPECT_FALSE(f.table.Find("a")->sequence);
}

// Guards against a late endpoint record that replaces the result of newer
// orders, and against a change by another lease holder that is never noticed.
TEST(EngineTable, DifferentRecordCausesAReportOnlyIfItIsNewer) {
  Fixture f;
  f.table.Sync(f.directory, "s", kNow);
  f.table.Adopt("a", MakeReport(4, false), kNow);
  f.table.Adopt("b", MakeReport(4, false), kNow);
  auto changed_record = MakeEngine("a");
  changed_record.entry_sequence = 2;
  changed_record.models.clear();
  f.directory.Update(changed_record, kNow + milliseconds(500));
  EXPECT_TRUE(f.table.Sync(f.directory, "s", kNow + seconds(1)).empty());
  changed_record.entry_sequence = 3;
  changed_record.models["other"];
  f.directory.Update(changed_record, kNow + seconds(4));
  EXPECT_EQ(f.table.Sync(f.directory, "s", kNow + seconds(4)),
            std::vector<std::string>{"a"});
}

// Guards against orders that are sent to an unreachable engine repeatedly while
// another engine with a cached copy of the model could load it.
TEST(EngineTable, UnreachableEngineGetsNoOrdersUntilItAnswers) {
  Fixture f;
  f.table.Sync(f.directory, "s", kNow);
  f.table.Adopt("a", MakeReport(4, false), kNow);
  f.table.Adopt("b", MakeReport(4, false), kNow);
  auto& entry = *f.table.Find("a");
  EngineTable::OnUnreachable(entry, kNow);
  // One lost report is no reason to load the engine's models elsewhere.
  EXPECT_TRUE(f.table.Snapshots(f.directory, kNow + seconds(9))[0].busy);
  EXPECT_TRUE(f.table.Snapshots(f.directory, kNow + seconds(9))[0].usable);
  EXPECT_TRUE(f.table.Sync(f.directory, "s", kNow).empty());
  const auto later = kNow + milliseconds(200);
  EXPECT_EQ(f.table.Sync(f.directory, "s", later),
            std::vector<std::string>{"a"});
  for (int i = 0; i < 20; ++i) {
    EngineTable::OnUnreachable(entry, later);
  }
  EXPECT_FALSE(f.table.Snapshots(f.directory, later + seconds(2))[0].usable);
  EXPECT_EQ(f.table.Sync(f.directory, "s", later + seconds(2)),
            std::vector<std::string>{"a"});
  f.table.Adopt("a", MakeReport(4, false), later + seconds(2));
  EXPECT_TRUE(f.table.Snapshots(f.directory, later + seconds(2))[0].usable);
}

// Guards against the result of an order that is assigned to a later order,
// after the engine was removed from the table and added again: its memory would
// be reserved twice.
TEST(EngineTable, OrderOfARemovedEngineIsNotTakenForALaterOne) {
  Fixture f;
  f.table.Sync(f.directory, "s", kNow);
  f.table.Adopt("a", MakeReport(4, false), kNow);
  f.table.Find("a")->order =
      InFlightOrder{1, OrderAction::kUnload, {"m", ""}, kNow};
  EXPECT_NE(f.table.FindWithOrder("a", 1), nullptr);
  EXPECT_EQ(f.table.FindWithOrder("a", 2), nullptr);
  EndpointDirectory other_directory;
  other_directory.Update(MakeEngine("b"), kNow);
  f.table.Sync(other_directory, "s", kNow);
  f.table.Sync(f.directory, "s", kNow);
  f.table.Adopt("a", MakeReport(5, false), kNow);
  EXPECT_EQ(f.table.FindWithOrder("a", 1), nullptr);
  f.table.Find("a")->order =
      InFlightOrder{2, OrderAction::kLoad, {"n", ""}, kNow};
  EXPECT_EQ(f.table.FindWithOrder("a", 1), nullptr);
  EXPECT_NE(f.table.FindWithOrder("a", 2), nullptr);
}

// Guards against requests to a model whose unload was ordered, and against
// notices to all nodes that contain nothing new.
TEST(EngineTable, NoticeOmitsModelsBeingUnloaded) {
  Fixture f;
  f.table.Sync(f.directory, "s", kNow);
  f.table.Adopt("a", MakeReport(4, false), kNow);
  auto& entry = *f.table.Find("a");
  EXPECT_EQ(f.table.MakeNotice(entry, 1, kNow)->models.size(), 1U);
  entry.order = InFlightOrder{1, OrderAction::kUnload, {"m", ""}, kNow};
  const auto notice = *f.table.MakeNotice(entry, 1, kNow);
  EXPECT_TRUE(notice.models.empty());
  EXPECT_EQ(notice.number, 2U);
  // The order is done; all nodes know its result from the notice before.
  entry.order.reset();
  entry.record.models.erase("m");
  EXPECT_FALSE(f.table.MakeNotice(entry, 1, kNow + milliseconds(500)));
  EXPECT_TRUE(f.table.MakeNotice(entry, 1, kNow + milliseconds(1500)));
}

}  // namespace
}  // namespace tanagerloom
