#include "ordering/order_lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/event_log.h"
#include "base/events.h"
#include "ports/peer_network.h"

namespace tanagerloom {

namespace {

// How often a node that does not hold the lease looks whether it ended.
constexpr auto kFollowStep = std::chrono::milliseconds(100);
// Nodes try to take the lease one after the other, so that the store gets one
// call and not one from each.
constexpr auto kRankStep = std::chrono::milliseconds(200);
// Ranks beyond this share the last step.
constexpr std::size_t kMostRanks = 5;
// Pause after a failed call to the store.
constexpr auto kRetryPause = std::chrono::milliseconds(250);
// Covers timers that fire late and clocks that differ slightly in rate.
constexpr auto kClockMargin = std::chrono::milliseconds(100);

struct StoredLease {
  std::string holder;
  std::uint64_t fence = 0;
  std::uint64_t renewal = 0;
  bool released = false;
  bool ordering = false;  ///< The holder's wait for the last one was over.
  /// Of a release: the waits of all engines whose orders still count. Without
  /// them the whole gap has to be waited for.
  std::optional<std::map<std::string, Duration, std::less<>>> waits;
};

StoredLease ParseLease(const std::string& text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  StoredLease out;
  if (!json.is_object()) {
    return out;
  }
  out.holder = json.value("holder", "");
  out.fence = json.value("fence", std::uint64_t{0});
  out.renewal = json.value("renewal", std::uint64_t{0});
  out.released = json.value("released", false);
  out.ordering = json.value("ordering", false);
  const auto waits = json.find("engine_waits_ms");
  const bool readable =
      waits != json.end() && waits->is_object() &&
      std::ranges::all_of(*waits, [](const auto& it) {
        return it.is_number_integer() && it.template get<std::int64_t>() >= 0;
      });
  if (readable) {
    // They began when the release was written, before this reading.
    out.waits.emplace();
    for (const auto& [engine, ms] : waits->items()) {
      (*out.waits)[engine] =
          std::chrono::milliseconds(ms.get<std::int64_t>()) + kClockMargin;
    }
  }
  return out;
}

}  // namespace

OrderLease::OrderLease(ObjectStore& store,
                       PeerNetwork& peers,
                       Clock& clock,
                       EventLog& log,
                       std::string key,
                       LeaseTiming timing)
    : store_(store),
      peers_(peers),
      clock_(clock),
      log_(log),
      key_(std::move(key)),
      timing_(timing) {}

bool OrderLease::MayOrder() const {
  const auto now = clock_.SuspendAwareNow();
  return holding_ && !stopping_ && now >= orders_from_ &&
         now + timing_.order_time < sent_ + timing_.validity;
}

Duration OrderLease::WaitFor(const std::string& engine) const {
  const auto it = engine_from_.find(engine);
  return it == engine_from_.end()
             ? Duration(0)
             : std::max<Duration>(Duration(0),
                                  it->second - clock_.SuspendAwareNow());
}

bool OrderLease::MayOrder(const std::string& engine) const {
  return MayOrder() && WaitFor(engine) == Duration(0);
}

void OrderLease::OnOrder(const std::string& engine) {
  last_orders_[engine] = clock_.SuspendAwareNow();
}

bool OrderLease::Settled(TimePoint now) const {
  return now >= orders_from_ &&
         std::ranges::all_of(engine_from_,
                             [&](const auto& it) { return now >= it.second; });
}

OrderLease::EngineWaits OrderLease::WaitsAfterRelease(TimePoint now) const {
  EngineWaits out;
  const auto add = [&](const std::string& engine, TimePoint until) {
    if (until > now) {
      out[engine] = std::max(out[engine], until - now);
    }
  };
  for (const auto& [engine, at] : last_orders_) {
    add(engine, at + timing_.order_time + timing_.handover_gap);
  }
  for (const auto& [engine, at] : engine_from_) {
    add(engine, at);
  }
  return out;
}

std::string OrderLease::Value(bool released) const {
  const auto now = clock_.SuspendAwareNow();
  nlohmann::json out{{"holder", peers_.node_id()},
                     {"fence", fence_},
                     {"renewal", renewals_},
                     {"released", released},
                     {"ordering", holding_ && Settled(now)}};
  if (released && now >= names_all_from_) {
    auto waits = nlohmann::json::object();
    for (const auto& [engine, wait] : WaitsAfterRelease(now)) {
      waits[engine] =
          std::chrono::ceil<std::chrono::milliseconds>(wait).count();
    }
    out["engine_waits_ms"] = std::move(waits);
  }
  return out.dump();
}

void OrderLease::Announce() {
  peers_.Broadcast(
      LeaseNotice{peers_.node_id(), fence_, revision_, /*released=*/false});
}

void OrderLease::Await(Duration duration) {
  if (!stopping_) {
    clock_.SleepFor(duration);
  }
}

void OrderLease::Run() {
  while (!stopping_) {
    if (holding_) {
      Renew();
    } else {
      Follow();
    }
  }
}

void OrderLease::Renew() {
  const auto due = attempted_ + timing_.renewal;
  const auto now = clock_.SuspendAwareNow();
  if (now < due) {
    Await(std::min<Duration>(due - now, timing_.renewal));
    return;
  }
  ++renewals_;
  attempted_ = now;
  const auto result = store_.Put(key_, Value(/*released=*/false), revision_);
  if (stopping_ || !holding_) {
    return;
  }
  if (result) {
    OnRenewed(result.assume_value(), now);
  } else if (result.assume_error().kind == ErrorKind::kUnavailable) {
    return;  // Refused: nothing was stored, and the next renewal is due soon.
  } else {
    ReadBack(now);
  }
}

void OrderLease::OnRenewed(std::uint64_t revision, TimePoint sent) {
  revision_ = revision;
  sent_ = sent;
  Announce();
}

void OrderLease::ReadBack(TimePoint sent) {
  const auto stored = store_.Get(key_);
  if (stopping_ || !holding_ || !stored) {
    return;
  }
  const auto lease = ParseLease(stored.assume_value().value);
  if (lease.holder != peers_.node_id() || lease.fence != fence_) {
    Lose("held by " + lease.holder);
    return;
  }
  // An earlier renewal that was carried out late also keeps the lease, but says
  // nothing of when it was sent.
  revision_ = stored.assume_value().version;
  if (lease.renewal == renewals_) {
    OnRenewed(revision_, sent);
  }
}

void OrderLease::Lose(const std::string& cause) {
  holding_ = false;
  seen_.reset();
  holder_.clear();
  log_.Record(events::kLeaseLost, {{"fence", fence_}, {"cause", cause}});
  changed_.Signal();
}

Duration OrderLease::Patience() const {
  auto live = peers_.LiveIds();
  std::erase(live, holder_);
  const auto it = std::ranges::find(live, peers_.node_id());
  const auto rank = std::min<std::size_t>(
      static_cast<std::size_t>(it - live.begin()), kMostRanks);
  return timing_.validity + kClockMargin +
         kRankStep * static_cast<Duration::rep>(rank);
}

void OrderLease::Follow() {
  if (!looked_) {
    TryTake();
    return;
  }
  const auto now = clock_.SuspendAwareNow();
  if (seen_ && now - seen_->at < Patience()) {
    Await(kFollowStep);
    return;
  }
  TryTake();
}

void OrderLease::TryTake() {
  const auto stored = store_.Get(key_);
  if (stopping_) {
    return;
  }
  const auto now = clock_.SuspendAwareNow();
  if (!stored) {
    if (stored.assume_error().kind != ErrorKind::kNotFound) {
      Await(kRetryPause);
      return;
    }
    if (!std::exchange(looked_, true)) {
      // All nodes start at once: the first in rank creates the lease.
      seen_ = Seen{0, now - timing_.validity};
      return;
    }
    Take(0, 1, {});
    return;
  }
  looked_ = true;
  const auto& object = stored.assume_value();
  const auto lease = ParseLease(object.value);
  const Handover whole_gap{timing_.handover_gap, {}, timing_.handover_gap};
  if (lease.holder == peers_.node_id()) {
    // Left by an earlier process of this VM, whose orders count as this one's.
    // If it was still waiting out the holder before it, so must this one.
    const Duration longest = timing_.order_time + timing_.handover_gap;
    Take(object.version, lease.fence + 1,
         lease.ordering ? Handover{Duration(0), {}, longest} : whole_gap);
    return;
  }
  if (lease.released) {
    Take(object.version, lease.fence + 1,
         lease.waits ? Handover{Duration(0), *lease.waits, Duration(0)}
                     : whole_gap);
    return;
  }
  if (!seen_ || seen_->revision != object.version) {
    // Renewed at an unknown time, at the latest now.
    seen_ = Seen{object.version, now};
    fence_ = std::max(fence_, lease.fence);
    holder_ = lease.holder;
    changed_.Signal();
    return;
  }
  if (now - seen_->at >= timing_.validity + kClockMargin) {
    Take(object.version, lease.fence + 1, whole_gap);
  }
}

void OrderLease::Take(std::uint64_t expected_version,
                      std::uint64_t fence,
                      const Handover& handover) {
  const auto sent = clock_.SuspendAwareNow();
  const auto previous_fence = std::exchange(fence_, fence);
  renewals_ = 1;
  orders_from_ = sent + handover.all;
  names_all_from_ = sent + std::max(handover.all, handover.unnamed);
  engine_from_.clear();
  for (const auto& [engine, wait] : handover.engines) {
    engine_from_[engine] = sent + wait;
  }
  last_orders_.clear();
  const auto result =
      store_.Put(key_, Value(/*released=*/false), expected_version);
  if (stopping_) {
    return;
  }
  if (!result) {
    fence_ = previous_fence;
    seen_.reset();
    Await(kRetryPause);
    return;
  }
  holding_ = true;
  holder_ = peers_.node_id();
  attempted_ = sent;
  log_.Record(
      events::kLeaseTaken,
      {{"fence", fence_},
       {"orders_in_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(handover.all)
            .count()}});
  OnRenewed(result.assume_value(), sent);
  changed_.Signal();
}

void OrderLease::OnNotice(const LeaseNotice& notice) {
  if (notice.fence < fence_) {
    return;
  }
  if (holding_) {
    if (notice.fence > fence_) {
      Lose("taken by " + notice.holder);
    } else {
      return;
    }
  }
  const bool new_holder = notice.holder != holder_;
  fence_ = notice.fence;
  holder_ = notice.holder;
  seen_ = Seen{notice.revision, clock_.SuspendAwareNow()};
  looked_ = true;
  if (notice.released) {
    // Nobody renews it any more: only the order of the nodes is left to wait.
    seen_->at -= timing_.validity;
  }
  if (new_holder) {
    changed_.Signal();
  }
}

void OrderLease::Stop() {
  if (std::exchange(stopping_, true) || !holding_) {
    return;
  }
  holding_ = false;
  auto result = store_.Put(key_, Value(/*released=*/true), revision_);
  if (!result) {
    // A renewal that was on its way may have come first.
    const auto stored = store_.Get(key_);
    if (stored && ParseLease(stored.assume_value().value).fence == fence_) {
      result = store_.Put(key_, Value(/*released=*/true),
                          stored.assume_value().version);
    }
  }
  if (result) {
    peers_.Broadcast(LeaseNotice{peers_.node_id(), fence_,
                                 result.assume_value(), /*released=*/true});
  }
  log_.Record(events::kLeaseReleased,
              {{"fence", fence_}, {"stored", static_cast<bool>(result)}});
}

}  // namespace tanagerloom
