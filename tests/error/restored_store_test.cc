// Tests of a node whose object store comes back from an older copy. They guard
// against a configuration that goes back to the copy's, and against endpoints
// that are lost or kept for good because the copy lacks their entries.
#include <gtest/gtest.h>

#include <algorithm>

#include "base/events.h"
#include "tests/support/forwarding_site.h"

namespace tanagerloom {
namespace {

using testing_support::WaitUntil;

// The site is leaked, because the fibers of its servers run until the process
// ends.
class RestoredStore : public testing::Test {
 protected:
  RestoredStore() { site.store.era = 1; }

  void SetVersion(int version) {
    auto config = ConfigJson();
    config["version"] = version;
    site.store.Set("config", "main", config);
  }
  std::uint64_t VersionInForce() const {
    return site.registry.config()->config.version;
  }
  // Waits until the node has read the endpoints of the current era.
  bool AwaitNewEra() {
    return WaitUntil([&] {
      return site.adapter.era().current() == site.store.era &&
             site.registry.store_reachable() && HasRecordedRecovery();
    });
  }
  bool HasRecordedRecovery() const {
    return std::ranges::any_of(site.log.Since(0), [](const auto& it) {
      return it.id.name == events::kDependencyRecovered.name &&
             it.fields.at("collection") == "servers";
    });
  }

  ForwardingSite& site = *new ForwardingSite();
};

TEST_F(RestoredStore, ConfigurationNeverGoesBack) {
  site.Start();
  const auto copy = site.store.MakeCopy();
  SetVersion(5);
  ASSERT_TRUE(WaitUntil([&] { return VersionInForce() == 5; }));
  site.store.Restore(copy);
  ASSERT_TRUE(AwaitNewEra());
  EXPECT_EQ(VersionInForce(), 5U);
  SetVersion(6);
  EXPECT_TRUE(WaitUntil([&] { return VersionInForce() == 6; }));
}

TEST_F(RestoredStore, EndpointStaysIfItRegistersAgain) {
  site.store.Set("config", "main", ConfigJson());
  const auto copy = site.store.MakeCopy();
  site.Start();
  site.store.Restore(copy);
  site.a.Register();
  ASSERT_TRUE(AwaitNewEra());
  EXPECT_TRUE(WaitUntil(
      [&] { return site.view.directory().Find(site.b.id()) == nullptr; }));
  EXPECT_NE(site.view.directory().Find(site.a.id()), nullptr);
  EXPECT_EQ(site.Send(site.Request("/read/1")).assume_value().status, 200);
}

}  // namespace
}  // namespace tanagerloom
