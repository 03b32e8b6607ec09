#include "registry/collection_follower.h"

#include <utility>

#include "base/event_log.h"
#include "base/events.h"

namespace tanagerloom {

CollectionFollower::CollectionFollower(ObjectCollection& store,
                                       Clock& clock,
                                       EventLog& log,
                                       std::string collection,
                                       FollowTiming timing,
                                       FollowSink sink)
    : store_(store),
      clock_(clock),
      log_(log),
      collection_(std::move(collection)),
      timing_(timing),
      sink_(std::move(sink)) {}

void CollectionFollower::OnFailure(const Error& error) {
  if (std::exchange(away_, true)) {
    return;
  }
  away_since_ = clock_.Now();
  log_.Record(events::kDependencyLost, {{"dependency", "store"},
                                        {"collection", collection_},
                                        {"cause", error.message}});
  sink_.on_away();
}

void CollectionFollower::OnSuccess() {
  if (!std::exchange(away_, false)) {
    return;
  }
  const auto outage = std::chrono::duration_cast<std::chrono::milliseconds>(
      clock_.Now() - away_since_);
  log_.Record(events::kDependencyRecovered, {{"dependency", "store"},
                                             {"collection", collection_},
                                             {"outage_ms", outage.count()}});
  sink_.on_back();
}

bool CollectionFollower::ReadAll() {
  const auto list = store_.ReadAll(collection_, Freshness::kCurrent);
  if (stopping_) {
    return false;
  }
  if (!list) {
    OnFailure(list.assume_error());
    return false;
  }
  OnSuccess();
  listed_ = true;
  revision_ = list.assume_value().revision;
  sink_.on_list(list.assume_value());
  return true;
}

void CollectionFollower::WatchOnce() {
  const auto changes = store_.WatchAll(collection_, revision_, timing_.wait);
  if (stopping_) {
    return;
  }
  if (!changes) {
    if (changes.assume_error().kind == ErrorKind::kHistoryGone) {
      listed_ = false;
      return;
    }
    OnFailure(changes.assume_error());
    clock_.SleepFor(timing_.retry);
    return;
  }
  OnSuccess();
  revision_ = changes.assume_value().revision;
  if (!changes.assume_value().changes.empty()) {
    sink_.on_changes(changes.assume_value());
    clock_.SleepFor(timing_.pause);
  }
}

void CollectionFollower::Run() {
  while (!stopping_) {
    if (listed_) {
      WatchOnce();
    } else if (!ReadAll()) {
      clock_.SleepFor(timing_.retry);
    }
  }
}

}  // namespace tanagerloom
