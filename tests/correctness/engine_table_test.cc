// Tests of what the orderer of engines knows of them.
#include <gtest/gtest.h>

#include "fleet/endpoint_directory.h"
#include "ordering/engine_table.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(1)};

EndpointRecord Engine(std::string id, std::uint64_t boot = 1) {
  EndpointRecord record;
  record.id = std::move(id);
  record.service = "s";
  record.boot = boot;
  record.models["m"];
  return record;
}

EngineState Report(std::uint64_t sequence, bool busy) {
  EngineState state;
  state.sequence = sequence;
  state.busy = busy;
  state.entries.push_back({"m", "", "", EngineReplicaState::kLoaded, "", ""});
  return state;
}

struct Fixture {
  Fixture() {
    directory.Update(Engine("a"), kNow);
    directory.Update(Engine("b"), kNow);
  }

  EndpointDirectory directory;
  EngineTable book;
};

// Guards against a plan that is made before any report was read: it would take
// every model for missing, and reject all requests that wait for one.
TEST(EngineTable, NoPlanBeforeTheFirstReport) {
  Fixture f;
  EXPECT_EQ(f.book.Sync(f.directory, "s", kNow).size(), 2U);
  f.book.Find("a")->reading_report = true;
  f.book.Find("b")->reading_report = true;
  EXPECT_TRUE(f.book.IsAwaitingReports(kNow));
  f.book.Adopt("a", Report(4, false), kNow);
  // The other engine may hold what seems to be missing.
  EXPECT_TRUE(f.book.IsAwaitingReports(kNow + milliseconds(100)));
  EXPECT_FALSE(f.book.IsAwaitingReports(kNow + seconds(1)));
  const auto places = f.book.Snapshots(f.directory, kNow);
  EXPECT_TRUE(places[0].usable);
  EXPECT_FALSE(places[1].usable);
}

// Guards against models that are taken for lost while the engines with their
// copies are still registering.
TEST(EngineTable, IsSettledOnceNoEngineIsNew) {
  Fixture f;
  f.book.Sync(f.directory, "s", kNow);
  EXPECT_FALSE(f.book.IsSettled(kNow + seconds(2)));
  f.directory.Update(Engine("c"), kNow + seconds(2));
  f.book.Sync(f.directory, "s", kNow + seconds(2));
  EXPECT_FALSE(f.book.IsSettled(kNow + seconds(4)));
  f.book.Sync(f.directory, "s", kNow + seconds(5));
  EXPECT_TRUE(f.book.IsSettled(kNow + seconds(5)));
}

// Guards against a load beyond an engine's memory while it carries out an order
// of an earlier holder, whose model its report does not list yet.
TEST(EngineTable, EngineWithAnUnknownOrderIsBusyUntilItsReportSaysOtherwise) {
  Fixture f;
  f.book.Sync(f.directory, "s", kNow);
  f.book.Adopt("a", Report(4, /*busy=*/true), kNow);
  EXPECT_TRUE(f.book.Snapshots(f.directory, kNow + seconds(9))[0].busy);
  const auto to_read = f.book.Sync(f.directory, "s", kNow + seconds(9));
  EXPECT_EQ(to_read.at(0), "a");
  f.book.Adopt("a", Report(4, /*busy=*/false), kNow + seconds(9));
  EXPECT_FALSE(f.book.Snapshots(f.directory, kNow + seconds(9))[0].busy);
}

// Guards against what an earlier boot held or had been ordered.
TEST(EngineTable, RestartedEngineIsReadAnew) {
  Fixture f;
  f.book.Sync(f.directory, "s", kNow);
  f.book.Adopt("a", Report(4, false), kNow);
  f.book.Find("a")->order = InFlightOrder{};
  f.directory.Update(Engine("a", 2), kNow);
  f.book.Sync(f.directory, "s", kNow);
  EXPECT_FALSE(f.book.Find("a")->order);
  EXPECT_FALSE(f.book.Find("a")->sequence);
}

// Guards against a late description that replaces what was ordered since, and
// against a change by another hand that is never noticed.
TEST(EngineTable, DifferentDescriptionIsDoubtedOnlyIfItIsNewer) {
  Fixture f;
  f.book.Sync(f.directory, "s", kNow);
  f.book.Adopt("a", Report(4, false), kNow);
  f.book.Adopt("b", Report(4, false), kNow);
  auto changed = Engine("a");
  changed.entry_sequence = 2;
  changed.models.clear();
  f.directory.Update(changed, kNow + milliseconds(500));
  EXPECT_TRUE(f.book.Sync(f.directory, "s", kNow + seconds(1)).empty());
  changed.entry_sequence = 3;
  changed.models["other"];
  f.directory.Update(changed, kNow + seconds(4));
  EXPECT_EQ(f.book.Sync(f.directory, "s", kNow + seconds(4)),
            std::vector<std::string>{"a"});
}

// Guards against orders that are sent to a dead engine again and again, while
// another one with a copy of the model could load it.
TEST(EngineTable, UnreachableEngineGetsNoOrdersUntilItAnswers) {
  Fixture f;
  f.book.Sync(f.directory, "s", kNow);
  f.book.Adopt("a", Report(4, false), kNow);
  f.book.Adopt("b", Report(4, false), kNow);
  auto& entry = *f.book.Find("a");
  EngineTable::OnUnreachable(entry, kNow);
  // One lost report is no reason to load elsewhere what the engine holds.
  EXPECT_TRUE(f.book.Snapshots(f.directory, kNow + seconds(9))[0].busy);
  EXPECT_TRUE(f.book.Snapshots(f.directory, kNow + seconds(9))[0].usable);
  EXPECT_TRUE(f.book.Sync(f.directory, "s", kNow).empty());
  const auto later = kNow + milliseconds(200);
  EXPECT_EQ(f.book.Sync(f.directory, "s", later),
            std::vector<std::string>{"a"});
  for (int i = 0; i < 20; ++i) {
    EngineTable::OnUnreachable(entry, later);
  }
  EXPECT_FALSE(f.book.Snapshots(f.directory, later + seconds(2))[0].usable);
  EXPECT_EQ(f.book.Sync(f.directory, "s", later + seconds(2)),
            std::vector<std::string>{"a"});
  f.book.Adopt("a", Report(4, false), later + seconds(2));
  EXPECT_TRUE(f.book.Snapshots(f.directory, later + seconds(2))[0].usable);
}

// Guards against an order that is taken for done when an earlier one is, after
// the engine was forgotten and found again: its memory would be promised twice.
TEST(EngineTable, OrderOfAForgottenEngineIsNotTakenForALaterOne) {
  Fixture f;
  f.book.Sync(f.directory, "s", kNow);
  f.book.Adopt("a", Report(4, false), kNow);
  f.book.Find("a")->order =
      InFlightOrder{1, OrderAction::kUnload, {"m", ""}, kNow};
  EXPECT_NE(f.book.FindWithOrder("a", 1), nullptr);
  EXPECT_EQ(f.book.FindWithOrder("a", 2), nullptr);
  EndpointDirectory other;
  other.Update(Engine("b"), kNow);
  f.book.Sync(other, "s", kNow);
  f.book.Sync(f.directory, "s", kNow);
  f.book.Adopt("a", Report(5, false), kNow);
  EXPECT_EQ(f.book.FindWithOrder("a", 1), nullptr);
  f.book.Find("a")->order =
      InFlightOrder{2, OrderAction::kLoad, {"n", ""}, kNow};
  EXPECT_EQ(f.book.FindWithOrder("a", 1), nullptr);
  EXPECT_NE(f.book.FindWithOrder("a", 2), nullptr);
}

// Guards against requests to a model whose unloading was ordered, and against
// notices to all nodes that tell nothing new.
TEST(EngineTable, NoticeLeavesOutWhatIsUnloaded) {
  Fixture f;
  f.book.Sync(f.directory, "s", kNow);
  f.book.Adopt("a", Report(4, false), kNow);
  auto& entry = *f.book.Find("a");
  EXPECT_EQ(f.book.MakeNotice(entry, 1, kNow)->models.size(), 1U);
  entry.order = InFlightOrder{1, OrderAction::kUnload, {"m", ""}, kNow};
  const auto notice = *f.book.MakeNotice(entry, 1, kNow);
  EXPECT_TRUE(notice.models.empty());
  EXPECT_EQ(notice.number, 2U);
  // Done: all nodes know it already.
  entry.order.reset();
  entry.record.models.erase("m");
  EXPECT_FALSE(f.book.MakeNotice(entry, 1, kNow + milliseconds(500)));
  EXPECT_TRUE(f.book.MakeNotice(entry, 1, kNow + milliseconds(1500)));
}

}  // namespace
}  // namespace tanagerloom
