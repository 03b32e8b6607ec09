// Tests of the timing with which a node follows the object store, on a virtual
// clock.
#include "node/registry_timing.h"

#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>

#include "base/event_log.h"
#include "node/fleet_settings.h"
#include "ports/store_era.h"
#include "registry/collection_follower.h"
#include "registry/fleet_registry.h"
#include "tests/fakes/virtual_clock.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;

// A collection with one change for each watch that is sent while the store is
// available. A watch that is sent during the outage gets no answer.
class SilentCollection final : public ObjectCollection {
 public:
  SilentCollection(Clock& clock, TimePoint outage_ends_at)
      : clock_(clock), outage_ends_at_(outage_ends_at) {}

  Result<CollectionList> ReadAll(std::string_view, Freshness) override {
    return CollectionList{};
  }

  Result<CollectionChanges> WatchAll(std::string_view,
                                     std::uint64_t,
                                     Duration wait) override {
    if (clock_.Now() < outage_ends_at_) {
      clock_.SleepFor(wait + kWatchAnswerTimeout);
      return MakeError(ErrorKind::kTimeout, "no answer");
    }
    CollectionChanges out;
    out.changes.push_back({});
    return out;
  }

 private:
  Clock& clock_;
  TimePoint outage_ends_at_;
};

// Returns how long after the end of an outage the first change is seen.
Duration CatchUpTime(const FollowTiming& timing, Duration outage) {
  VirtualClock clock;
  EventLog log{"test", 1000, MakeNullLogger()};
  const auto outage_ends_at = clock.Now() + outage;
  SilentCollection collection(clock, outage_ends_at);
  std::optional<TimePoint> seen_at;
  CollectionFollower* running = nullptr;
  FollowHandlers handlers;
  handlers.on_list = [](const CollectionList&) {};
  handlers.on_changes = [&](const CollectionChanges&) {
    seen_at = clock.Now();
    running->Stop();
  };
  handlers.on_unavailable = [] {};
  handlers.on_available = [] {};
  const StoreEra era;
  CollectionFollower follower(collection, era, clock, log, "c", timing,
                              handlers);
  running = &follower;
  boost::fibers::fiber([&] { follower.Run(); }).join();
  return *seen_at - outage_ends_at;
}

// Guards against a node that is not up to date at the end of the time for which
// a fault of the store is excused, because its last watch went unanswered.
TEST(RegistryTiming, NodeIsUpToDateInTimeAfterTheStoreWasSilent) {
  const FleetBounds bounds;
  const auto timing = RegistryTimingFor(bounds);
  for (auto outage = milliseconds(10); outage < milliseconds(8000);
       outage += milliseconds(10)) {
    EXPECT_LT(CatchUpTime(timing.config, outage), bounds.max_contact_loss);
    EXPECT_LT(CatchUpTime(timing.endpoints, outage), bounds.max_contact_loss);
  }
}

}  // namespace
}  // namespace tanagerloom
