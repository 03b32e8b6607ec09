#include "routing/claim_store.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "base/events.h"
#include "base/id.h"
#include "config/settings.h"
#include "ports/object_store.h"
#include "ports/peer_network.h"

namespace tanagerloom {

namespace {

constexpr std::string_view kPrefix = "claims/";
constexpr std::string_view kDigits = "0123456789abcdef";

// A range is split above this size. Objects are limited to 1 MB, and every
// write sends the whole range.
constexpr std::size_t kSplitBytes = 128UL * 1024;

// Max number of digits of a range's name. 16^6 ranges of kSplitBytes have room
// for all claims that the clients of an estate can make.
constexpr std::size_t kMaxDigits = 6;

constexpr Duration kInitialBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);

// Max time for which outcomes and releases that cannot be stored are retried
// from memory.
constexpr Duration kStoreTimeout = std::chrono::minutes(10);

// Max number of idle ranges whose content is kept in memory: at most 8 MB in
// all.
constexpr std::size_t kMaxCachedRanges = 64;

// Max number of changes that wait for the object store. Beyond it no claim is
// taken, so that memory stays bounded during an outage.
constexpr std::size_t kMaxPendingChanges = 10000;

std::string ObjectKeyOf(const std::string& digits) {
  return std::string(kPrefix) + digits;
}

// A random time between half of `pause` and `pause`.
Duration Jittered(Duration pause) {
  return std::chrono::duration_cast<Duration>(pause * (0.5 + RandomUnit() / 2));
}

}  // namespace

ClaimStore::ClaimStore(const RoutingDependencies& deps) : deps_(deps) {}

void ClaimStore::Start() {
  boost::fibers::fiber([this] { SweepLoop(); }).detach();
}

std::string ClaimStore::RangeOf(const std::string& claim) const {
  const auto digits = ClaimHashDigits(claim);
  std::size_t n = 1;
  while (n < kMaxDigits && split_.contains(digits.substr(0, n))) {
    ++n;
  }
  return digits.substr(0, n);
}

ClaimStore::PendingPtr ClaimStore::Add(ClaimChange change, TimePoint deadline) {
  auto pending = std::make_shared<Pending>();
  pending->change = std::move(change);
  pending->deadline = deadline;
  ++pending_;
  AddTo(RangeOf(pending->change.claim), pending);
  return pending;
}

void ClaimStore::AddTo(const std::string& name, PendingPtr pending) {
  auto& range = ranges_[name];
  range.used_at = deps_.clock.Now();
  range.pending.push_back(std::move(pending));
  if (!range.writing) {
    range.writing = true;
    boost::fibers::fiber([this, name] { WriteLoop(name); }).detach();
  }
}

Result<ClaimRecord> ClaimStore::Take(const std::string& claim,
                                     const ClaimRecord& record,
                                     TimePoint deadline) {
  if (pending_ >= kMaxPendingChanges) {
    return MakeError(ErrorKind::kUnavailable,
                     "too many claim changes wait for the object store");
  }
  const auto pending = Add({ClaimChange::Kind::kTake, claim, record}, deadline);
  while (!pending->done) {
    const auto seen = pending->changed.count();
    if (!pending->changed.WaitUntil(seen, deadline) && !pending->done) {
      pending->abandoned = true;
      // The write may still take effect, so the claim is released.
      Release(claim, record);
      return MakeError(ErrorKind::kUnavailable,
                       "the claim could not be stored in time");
    }
  }
  return *pending->current;
}

bool ClaimStore::StoreOutcome(const std::string& claim,
                              const ClaimRecord& record,
                              TimePoint deadline) {
  const auto pending = Add({ClaimChange::Kind::kSetOutcome, claim, record},
                           deps_.clock.Now() + kStoreTimeout);
  while (!pending->done) {
    const auto seen = pending->changed.count();
    if (!pending->changed.WaitUntil(seen, deadline)) {
      return pending->done;
    }
  }
  return true;
}

void ClaimStore::Release(const std::string& claim, const ClaimRecord& record) {
  Add({ClaimChange::Kind::kRelease, claim, record},
      deps_.clock.Now() + kStoreTimeout);
}

Result<std::optional<ClaimRecord>> ClaimStore::Read(const std::string& claim) {
  while (true) {
    const auto name = RangeOf(claim);
    auto object = deps_.objects.Get(ObjectKeyOf(name));
    if (!object) {
      if (object.assume_error().kind == ErrorKind::kNotFound) {
        return std::optional<ClaimRecord>();
      }
      return object.assume_error();
    }
    const auto range = ClaimRange::Parse(object.assume_value().value);
    if (!range) {
      return MakeError(ErrorKind::kInternal,
                       "the object " + ObjectKeyOf(name) + " is malformed");
    }
    if (range->split) {
      split_.insert(name);
      continue;
    }
    if (const auto known = ranges_.find(name);
        known != ranges_.end() && !known->second.writing &&
        known->second.version < object.assume_value().version) {
      known->second.content = *range;
      known->second.version = object.assume_value().version;
    }
    const auto it = range->claims.find(claim);
    return it == range->claims.end() ? std::optional<ClaimRecord>()
                                     : std::optional(it->second);
  }
}

void ClaimStore::WriteLoop(const std::string& name) {
  auto& range = ranges_[name];
  Duration backoff = kInitialBackoff;
  while (true) {
    RemoveExpired(range);
    if (range.pending.empty()) {
      range.writing = false;
      EvictIdleRanges();
      return;
    }
    if (WriteOnce(name, range)) {
      backoff = kInitialBackoff;
    } else {
      deps_.clock.SleepFor(Jittered(backoff));
      backoff = std::min(backoff * 2, kMaxBackoff);
    }
  }
}

void ClaimStore::RemoveExpired(Range& range) {
  const auto now = deps_.clock.Now();
  pending_ -= std::erase_if(range.pending, [&](const PendingPtr& it) {
    return it->abandoned || it->deadline <= now;
  });
}

Result<void> ClaimStore::Load(const std::string& name, Range& range) {
  if (range.content) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  auto object = deps_.objects.Get(ObjectKeyOf(name));
  if (!object) {
    if (object.assume_error().kind != ErrorKind::kNotFound) {
      return object.assume_error();
    }
    range.content.emplace();
    range.version = 0;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  auto content = ClaimRange::Parse(object.assume_value().value);
  if (!content) {
    return MakeError(ErrorKind::kInternal,
                     "the object " + ObjectKeyOf(name) + " is malformed");
  }
  range.content = std::move(*content);
  range.version = object.assume_value().version;
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

bool ClaimStore::WriteOnce(const std::string& name, Range& range) {
  if (auto loaded = Load(name, range); !loaded) {
    deps_.log.Record(events::kClaimWriteFailed,
                     {{"range", name},
                      {"pending", range.pending.size()},
                      {"cause", loaded.assume_error().message}});
    return false;
  }
  if (range.content->split) {
    MoveToChildren(name, range);
    return true;
  }
  // The batch is everything that is pending now. Later changes wait for the
  // next write.
  const std::vector<PendingPtr> batch(range.pending.begin(),
                                      range.pending.end());
  ClaimRange content = *range.content;
  bool changed = content.Prune(deps_.clock.WallNow().count());
  for (const auto& it : batch) {
    changed = content.Apply(it->change) || changed;
  }
  if (changed) {
    const auto text = content.Serialize();
    if (auto stored = Store(name, range, content, text); !stored) {
      return stored.assume_error().kind == ErrorKind::kConflict;
    }
    if (text.size() > kSplitBytes && name.size() < kMaxDigits) {
      (void)Split(name, range);
    }
  }
  for (const auto& it : batch) {
    Finish(it, content);
  }
  std::erase_if(range.pending, [](const PendingPtr& it) { return it->done; });
  return true;
}

Result<void> ClaimStore::Store(const std::string& name,
                               Range& range,
                               const ClaimRange& content,
                               const std::string& text) {
  auto version = deps_.objects.Put(ObjectKeyOf(name), text, range.version);
  if (!version) {
    // Another node wrote first, or the result is unknown, so the range is read
    // again. Changes are idempotent, so that a write whose answer was lost may
    // be retried.
    range.content.reset();
    if (version.assume_error().kind != ErrorKind::kConflict) {
      deps_.log.Record(events::kClaimWriteFailed,
                       {{"range", name},
                        {"pending", range.pending.size()},
                        {"cause", version.assume_error().message}});
    }
    return version.assume_error();
  }
  range.content = content;
  range.version = version.assume_value();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void ClaimStore::Finish(const PendingPtr& pending, const ClaimRange& content) {
  const auto it = content.claims.find(pending->change.claim);
  if (it != content.claims.end()) {
    pending->current = it->second;
  }
  pending->done = true;
  --pending_;
  pending->changed.Signal();
}

// The children are written first and take effect only when the parent is marked
// as split, by a conditional update of the version that was copied. The parent
// is read between reading the children's versions and writing the children. If
// it is not split at that point, no child was in use at the version that is
// replaced, so a slow split cannot overwrite claims.
bool ClaimStore::Split(const std::string& name, Range& range) {
  std::map<char, ClaimRange> children;
  std::map<char, std::uint64_t> versions;
  for (const char digit : kDigits) {
    children[digit];
    const auto old = deps_.objects.Get(ObjectKeyOf(name + digit));
    if (!old && old.assume_error().kind != ErrorKind::kNotFound) {
      return false;
    }
    versions[digit] = old ? old.assume_value().version : 0;
  }
  const auto parent = deps_.objects.Get(ObjectKeyOf(name));
  if (!parent || parent.assume_value().version != range.version) {
    return false;
  }
  for (const auto& [claim, record] : range.content->claims) {
    children[ClaimHashDigits(claim)[name.size()]].claims[claim] = record;
  }
  for (const auto& [digit, child] : children) {
    if (!deps_.objects.Put(ObjectKeyOf(name + digit), child.Serialize(),
                           versions[digit])) {
      return false;
    }
  }
  ClaimRange marker;
  marker.split = true;
  if (!Store(name, range, marker, marker.Serialize())) {
    return false;
  }
  split_.insert(name);
  deps_.log.Record(events::kClaimRangeSplit, {{"range", name}});
  return true;
}

void ClaimStore::MoveToChildren(const std::string& name, Range& range) {
  split_.insert(name);
  const auto moved = std::exchange(range.pending, {});
  for (const auto& it : moved) {
    AddTo(RangeOf(it->change.claim), it);
  }
}

void ClaimStore::EvictIdleRanges() {
  std::vector<std::pair<TimePoint, std::string>> idle;
  for (const auto& [name, range] : ranges_) {
    if (!range.writing) {
      idle.emplace_back(range.used_at, name);
    }
  }
  if (idle.size() <= kMaxCachedRanges) {
    return;
  }
  std::sort(idle.begin(), idle.end());
  for (std::size_t i = 0; i + kMaxCachedRanges < idle.size(); ++i) {
    ranges_.erase(idle[i].second);
  }
}

// Each write of a range removes its expired claims. The sweep does so for
// ranges that are no longer written. Only the live node with the first id
// sweeps.
void ClaimStore::SweepLoop() {
  while (true) {
    deps_.clock.SleepFor(Jittered(deps_.settings.claim_retention));
    const auto live = deps_.peers.LiveIds();
    if (!live.empty() && live.front() == deps_.peers.node_id()) {
      Sweep();
    }
  }
}

void ClaimStore::Sweep() {
  constexpr Duration kPauseBetweenReads = std::chrono::milliseconds(50);
  const auto keys = deps_.objects.List(kPrefix);
  if (!keys) {
    return;
  }
  for (const auto& it : keys.assume_value()) {
    deps_.clock.SleepFor(kPauseBetweenReads);
    const auto object = deps_.objects.Get(it.key);
    if (!object) {
      continue;
    }
    auto range = ClaimRange::Parse(object.assume_value().value);
    if (range && range->Prune(deps_.clock.WallNow().count())) {
      // A conflict means that another node wrote the range, which removes
      // expired claims as well.
      (void)deps_.objects.Put(it.key, range->Serialize(),
                              object.assume_value().version);
    }
  }
}

}  // namespace tanagerloom
