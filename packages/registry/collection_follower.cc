#include "registry/collection_follower.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/events.h"
#include "ports/store_era.h"

namespace tanagerloom {

CollectionFollower::CollectionFollower(ObjectCollection& collections,
                                       const StoreEra& era,
                                       Clock& clock,
                                       EventLog& log,
                                       std::string collection,
                                       FollowTiming timing,
                                       FollowHandlers handlers)
    : collections_(collections),
      era_(era),
      clock_(clock),
      log_(log),
      collection_(std::move(collection)),
      timing_(timing),
      handlers_(std::move(handlers)) {}

void CollectionFollower::OnFailure(const Error& error) {
  if (std::exchange(unavailable_, true)) {
    return;
  }
  outage_started_at_ = clock_.Now();
  log_.Record(events::kDependencyLost, {{"dependency", "store"},
                                        {"collection", collection_},
                                        {"cause", error.message}});
  handlers_.on_unavailable();
}

void CollectionFollower::OnSuccess() {
  if (!std::exchange(unavailable_, false)) {
    return;
  }
  const auto outage = std::chrono::duration_cast<std::chrono::milliseconds>(
      clock_.Now() - outage_started_at_);
  log_.Record(events::kDependencyRecovered, {{"dependency", "store"},
                                             {"collection", collection_},
                                             {"outage_ms", outage.count()}});
  handlers_.on_available();
}

void CollectionFollower::AwaitRetry(TimePoint called_at) {
  clock_.SleepUntil(std::max(clock_.Now(), called_at + timing_.retry_interval));
}

void CollectionFollower::ReadAll() {
  const auto list = collections_.ReadAll(collection_, Freshness::kCurrent);
  if (stopping_) {
    return;
  }
  if (!list) {
    OnFailure(list.assume_error());
    // A list that takes long is not read again at once: that would use the link
    // on which it is slow.
    clock_.SleepFor(timing_.retry_interval);
    return;
  }
  OnSuccess();
  has_list_ = true;
  list_era_ = era_.current();
  revision_ = list.assume_value().revision;
  handlers_.on_list(list.assume_value());
}

void CollectionFollower::WatchOnce() {
  const auto called_at = clock_.Now();
  const auto changes =
      collections_.WatchAll(collection_, revision_, timing_.watch_timeout);
  if (stopping_ || list_era_ != era_.current()) {
    return;
  }
  if (!changes) {
    if (changes.assume_error().kind == ErrorKind::kHistoryGone) {
      has_list_ = false;
      return;
    }
    OnFailure(changes.assume_error());
    AwaitRetry(called_at);
    return;
  }
  OnSuccess();
  revision_ = changes.assume_value().revision;
  if (!changes.assume_value().changes.empty()) {
    handlers_.on_changes(changes.assume_value());
    clock_.SleepFor(timing_.watch_interval);
  }
}

void CollectionFollower::OnNewEra() {
  has_list_ = false;
  OnFailure(MakeError(ErrorKind::kHistoryGone,
                      "the store came back from an older copy"));
}

void CollectionFollower::Run() {
  while (!stopping_) {
    if (has_list_ && list_era_ != era_.current()) {
      OnNewEra();
    }
    if (has_list_) {
      WatchOnce();
    } else {
      ReadAll();
    }
  }
}

}  // namespace tanagerloom
