#include "ordering/order_lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "base/events.h"
#include "ordering/lease_rank.h"
#include "ports/peer_network.h"
#include "ports/store_era.h"

namespace tanagerloom {

namespace {

// Interval at which a node that does not hold the lease checks whether it
// expired.
constexpr auto kFollowInterval = std::chrono::milliseconds(100);
// Delay between the takeover attempts of successive ranks, so that the store
// gets one call instead of one from each node.
constexpr auto kRankDelay = std::chrono::milliseconds(200);
// Min interval between two renewals while orders wait for one. Orders that are
// requested meanwhile share a renewal.
constexpr auto kMinRenewalInterval = std::chrono::milliseconds(50);
// Interval at which the holder checks whether orders wait for a renewal, and
// these whether it is stored.
constexpr auto kRequestCheckInterval = std::chrono::milliseconds(10);
// Delay after a failed call to the store.
constexpr auto kStoreRetryDelay = std::chrono::milliseconds(250);
// Allowance for timers that fire late and clocks that differ slightly in rate.
constexpr auto kClockMargin = std::chrono::milliseconds(100);
// Fencing tokens of one era of the store, with room for the revisions that the
// store gives out again.
constexpr std::uint64_t kFencesPerEra = 1'000'000;

struct StoredLease {
  std::string holder;
  std::string vm_address;  ///< Of the holder; empty if it did not store it.
  std::uint64_t fence = 0;
  std::uint64_t renewal_number = 0;
  std::uint32_t era = 0;  ///< Era of the store in which it was taken.
  bool released = false;
  bool handover_complete =
      false;  ///< The holder had finished waiting for the previous one.
  /// Of a release: waits of all engines whose orders still count. If absent, a
  /// successor waits for the whole handover gap.
  std::optional<std::map<std::string, Duration, std::less<>>> engine_waits;
  /// Engines that may have got orders within the handover gap or may still get
  /// some. If absent, all may.
  std::optional<std::set<std::string, std::less<>>> named_engines;
};

StoredLease ParseLease(const std::string& text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  StoredLease out;
  if (!json.is_object()) {
    return out;
  }
  out.holder = json.value("holder", "");
  out.vm_address = json.value("vm_address", "");
  out.fence = json.value("fence", std::uint64_t{0});
  out.renewal_number = json.value("renewal", std::uint64_t{0});
  out.era = json.value("era", std::uint32_t{0});
  out.released = json.value("released", false);
  out.handover_complete = json.value("ordering", false);
  const auto named = json.find("engines");
  if (named != json.end() && named->is_array() &&
      std::ranges::all_of(*named,
                          [](const auto& it) { return it.is_string(); })) {
    out.named_engines.emplace();
    for (const auto& it : *named) {
      out.named_engines->insert(it.get<std::string>());
    }
  }
  const auto waits = json.find("engine_waits_ms");
  const bool readable =
      waits != json.end() && waits->is_object() &&
      std::ranges::all_of(*waits, [](const auto& it) {
        return it.is_number_integer() && it.template get<std::int64_t>() >= 0;
      });
  if (readable) {
    // The waits started when the release was written, which was before this
    // read.
    out.engine_waits.emplace();
    for (const auto& [engine, ms] : waits->items()) {
      (*out.engine_waits)[engine] =
          std::chrono::milliseconds(ms.get<std::int64_t>()) + kClockMargin;
    }
  }
  return out;
}

}  // namespace

OrderLease::OrderLease(ObjectStore& store,
                       StoreEra& era,
                       PeerNetwork& peers,
                       Clock& clock,
                       EventLog& log,
                       std::string key,
                       std::string vm_address,
                       LeaseTiming timing)
    : store_(store),
      era_(era),
      peers_(peers),
      clock_(clock),
      log_(log),
      key_(std::move(key)),
      vm_address_(std::move(vm_address)),
      timing_(timing) {
  era_.OnChanged([this] { OnNewEra(); });
}

bool OrderLease::MaySendOrder() const {
  const auto now = clock_.SuspendAwareNow();
  return is_holder_ && !stopping_ && now >= orders_allowed_at_ &&
         now + timing_.order_delivery <
             last_renewal_sent_at_ + timing_.validity;
}

Duration OrderLease::RemainingWait(const std::string& engine) const {
  const auto it = engine_free_at_.find(engine);
  return it == engine_free_at_.end()
             ? Duration(0)
             : std::max<Duration>(Duration(0),
                                  it->second - clock_.SuspendAwareNow());
}

bool OrderLease::MaySendOrder(const std::string& engine) const {
  return MaySendOrder() && RemainingWait(engine) == Duration(0) &&
         (!allowed_ || allowed_->contains(engine));
}

void OrderLease::RequestOrder(const std::string& engine) {
  requested_.insert(engine);
}

void OrderLease::CancelRequest(const std::string& engine) {
  requested_.erase(engine);
}

bool OrderLease::AwaitOrder(const std::string& engine) {
  const auto fence = fence_;
  const auto deadline = clock_.Now() + timing_.validity;
  RequestOrder(engine);
  while (!MaySendOrder(engine) && MaySendOrder() && fence_ == fence &&
         clock_.Now() < deadline) {
    clock_.SleepFor(kRequestCheckInterval);
  }
  if (fence_ != fence) {
    return false;  // The request ended with the lease.
  }
  if (!MaySendOrder(engine)) {
    CancelRequest(engine);
    return false;
  }
  return true;
}

void OrderLease::RecordOrder(const std::string& engine) {
  requested_.erase(engine);
  last_order_at_[engine] = clock_.SuspendAwareNow();
}

bool OrderLease::HasUnnamedRequest() const {
  return allowed_ && std::ranges::any_of(requested_, [&](const auto& it) {
           return !allowed_->contains(it);
         });
}

std::optional<OrderLease::EngineSet> OrderLease::EnginesToName(
    TimePoint now) const {
  if (now < release_lists_all_at_) {
    return std::nullopt;
  }
  auto out = requested_;
  for (const auto& [engine, wait] : WaitsAfterRelease(now)) {
    out.insert(engine);
  }
  return out;
}

void OrderLease::BeginWrite(std::optional<EngineSet> engines) {
  written_names_ = std::move(engines);
  if (!allowed_) {
    allowed_ = written_names_;
  } else if (written_names_) {
    std::erase_if(*allowed_, [&](const auto& it) {
      return !written_names_->contains(it);
    });
  }
}

bool OrderLease::IsHandoverComplete(TimePoint now) const {
  return now >= orders_allowed_at_ &&
         std::ranges::all_of(engine_free_at_,
                             [&](const auto& it) { return now >= it.second; });
}

OrderLease::EngineWaits OrderLease::WaitsAfterRelease(TimePoint now) const {
  EngineWaits out;
  const auto add = [&](const std::string& engine, TimePoint until) {
    if (until > now) {
      out[engine] = std::max(out[engine], until - now);
    }
  };
  for (const auto& [engine, at] : last_order_at_) {
    add(engine, at + timing_.order_delivery + timing_.handover_gap);
  }
  for (const auto& [engine, at] : engine_free_at_) {
    add(engine, at);
  }
  return out;
}

std::string OrderLease::SerializeLease(bool released) const {
  const auto now = clock_.SuspendAwareNow();
  nlohmann::json out{{"holder", peers_.node_id()},
                     {"vm_address", vm_address_},
                     {"fence", fence_},
                     {"renewal", renewals_sent_},
                     {"released", released},
                     {"ordering", is_holder_ && IsHandoverComplete(now)}};
  if (lease_era_ != 0) {
    out["era"] = lease_era_;
  }
  if (written_names_) {
    out["engines"] = *written_names_;
  }
  if (released && now >= release_lists_all_at_) {
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
  peers_.Broadcast(LeaseNotice{peers_.node_id(), fence_, stored_revision_,
                               /*released=*/false, lease_era_});
}

void OrderLease::SleepUnlessStopping(Duration duration) {
  if (!stopping_) {
    clock_.SleepFor(duration);
  }
}

void OrderLease::Run() {
  while (!stopping_) {
    if (is_holder_) {
      Renew();
    } else {
      Follow();
    }
  }
}

void OrderLease::Renew() {
  const bool is_urgent = HasUnnamedRequest() && !renewal_failed_;
  const auto next_renewal_at =
      last_renewal_attempt_at_ +
      (is_urgent ? Duration(kMinRenewalInterval) : timing_.renewal_interval);
  const auto now = clock_.SuspendAwareNow();
  if (now < next_renewal_at) {
    SleepUnlessStopping(
        std::min<Duration>(next_renewal_at - now, kRequestCheckInterval));
    return;
  }
  ++renewals_sent_;
  last_renewal_attempt_at_ = now;
  BeginWrite(EnginesToName(now));
  const auto result =
      store_.Put(key_, SerializeLease(/*released=*/false), stored_revision_);
  if (stopping_ || !is_holder_) {
    return;
  }
  renewal_failed_ = !result;
  if (result) {
    OnRenewed(result.assume_value(), now);
  } else if (result.assume_error().kind == ErrorKind::kUnavailable) {
    return;  // Refused: nothing was stored, and the next renewal follows soon.
  } else {
    ReadBack(now);
  }
}

void OrderLease::OnRenewed(std::uint64_t revision, TimePoint sent_at) {
  stored_revision_ = revision;
  last_renewal_sent_at_ = sent_at;
  allowed_ = written_names_;
  Announce();
}

void OrderLease::ReadBack(TimePoint sent_at) {
  const auto stored = store_.Get(key_);
  if (stopping_ || !is_holder_ || !stored) {
    return;
  }
  const auto lease = ParseLease(stored.assume_value().value);
  if (lease.holder != peers_.node_id() || lease.fence != fence_) {
    Lose("held by " + lease.holder);
    return;
  }
  // An earlier renewal that was stored late also keeps the lease, but does not
  // extend it, because its sending time is unknown.
  stored_revision_ = stored.assume_value().version;
  if (lease.renewal_number == renewals_sent_) {
    OnRenewed(stored_revision_, sent_at);
  }
}

void OrderLease::Lose(const std::string& cause) {
  is_holder_ = false;
  observed_.reset();
  holder_.clear();
  log_.Record(events::kLeaseLost, {{"fence", fence_}, {"cause", cause}});
  changed_.Signal();
}

void OrderLease::OnNewEra() {
  if (is_holder_) {
    Lose("the store came back from an older copy");
  } else if (!holder_.empty()) {
    holder_.clear();
    changed_.Signal();
  }
  if (lease_read_) {
    // All nodes see the new era at about the same time: only the delay by rank
    // remains.
    observed_ = ObservedLease{0, clock_.SuspendAwareNow() - timing_.validity};
  }
}

OrderLease::Handover OrderLease::AfterEndedLease() const {
  return {timing_.handover_gap, {}, timing_.handover_gap};
}

OrderLease::Handover OrderLease::AfterNamedEngines(
    const EngineSet& engines) const {
  Handover out;
  for (const auto& it : engines) {
    out.engine_waits[it] = timing_.handover_gap;
  }
  return out;
}

OrderLease::Handover OrderLease::AfterEndedEra() const {
  const Duration wait = timing_.validity + kClockMargin + timing_.handover_gap;
  return {wait, {}, wait};
}

std::uint64_t OrderLease::NextFence(std::uint64_t stored,
                                    std::uint64_t version) const {
  const std::uint64_t era = era_.current();
  const auto first = era == 0 ? 0 : era * kFencesPerEra + version;
  return std::max({fence_, stored, first}) + 1;
}

Duration OrderLease::TakeoverDelay() const {
  std::map<std::string, double, std::less<>> processors;
  for (const auto& it : peers_.Members()) {
    processors[it.vm.id] = it.vm.processors;
  }
  std::vector<LeaseCandidate> candidates;
  for (const auto& it : peers_.LiveIds()) {
    // A holder of this node's name was another VM.
    if (it != holder_ || it == peers_.node_id()) {
      candidates.push_back({it, processors[it]});
    }
  }
  const auto rank = LeaseRank(peers_.node_id(), candidates);
  return kRankDelay * static_cast<Duration::rep>(rank);
}

void OrderLease::Follow() {
  if (!lease_read_) {
    TryTake();
    return;
  }
  const auto now = clock_.SuspendAwareNow();
  if (observed_) {
    const auto ended_at =
        observed_->observed_at + timing_.validity + kClockMargin;
    if (now < ended_at || now < ended_at + TakeoverDelay()) {
      SleepUnlessStopping(kFollowInterval);
      return;
    }
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
      store_lost_ = true;
      SleepUnlessStopping(kStoreRetryDelay);
      return;
    }
    if (!std::exchange(lease_read_, true)) {
      // All nodes may start at the same time: the first in rank creates the
      // lease.
      observed_ = ObservedLease{0, now - timing_.validity};
      return;
    }
    // A store that has eras may have lost a lease.
    Take(0, NextFence(0, 0),
         era_.current() == 0 ? Handover{} : AfterEndedEra());
    return;
  }
  lease_read_ = true;
  const bool was_lost = std::exchange(store_lost_, false);
  const auto& object = stored.assume_value();
  const auto lease = ParseLease(object.value);
  const auto fence = NextFence(lease.fence, object.version);
  if (lease.era != era_.current()) {
    // It was restored with the copy, or written late by a call of that time,
    // perhaps over a lease of this era.
    Take(object.version, fence, AfterEndedEra());
    return;
  }
  // While a holder itself waits, its own wait may be the longer one.
  const auto incomplete = lease.era == 0 ? AfterEndedLease() : AfterEndedEra();
  if (lease.holder == peers_.node_id() && lease.vm_address == vm_address_) {
    // The lease belongs to an earlier process of this VM, whose orders count as
    // this node's. If that process was still waiting for the handover from its
    // predecessor, this one has to wait too.
    const Duration longest_wait = timing_.order_delivery + timing_.handover_gap;
    Take(object.version, fence,
         lease.handover_complete ? Handover{Duration(0), {}, longest_wait}
                                 : incomplete);
    return;
  }
  if (lease.released) {
    Take(object.version, fence,
         lease.engine_waits
             ? Handover{Duration(0), *lease.engine_waits, Duration(0)}
             : incomplete);
    return;
  }
  if (!observed_ || observed_->revision != object.version) {
    // It was renewed at an unknown time, but not later than now.
    observed_ = ObservedLease{object.version, now};
    fence_ = std::max(fence_, lease.fence);
    holder_ = lease.holder;
    changed_.Signal();
    return;
  }
  const Duration age = now - observed_->observed_at;
  if (age < timing_.validity + kClockMargin) {
    return;
  }
  if (was_lost) {
    // The store is back, and all nodes see at about the same time that the
    // lease has ended: only the delay by rank remains.
    observed_->observed_at = now - timing_.validity - kClockMargin;
    return;
  }
  Take(object.version, fence,
       lease.named_engines ? AfterNamedEngines(*lease.named_engines)
                           : AfterEndedLease());
}

void OrderLease::Take(std::uint64_t expected_version,
                      std::uint64_t fence,
                      const Handover& handover) {
  const auto sent_at = clock_.SuspendAwareNow();
  const auto previous_fence = std::exchange(fence_, fence);
  lease_era_ = era_.current();
  renewals_sent_ = 1;
  orders_allowed_at_ = sent_at + handover.before_any_order;
  release_lists_all_at_ =
      sent_at + std::max(handover.before_any_order, handover.unnamed_engines);
  engine_free_at_.clear();
  for (const auto& [engine, wait] : handover.engine_waits) {
    engine_free_at_[engine] = sent_at + wait;
  }
  last_order_at_.clear();
  requested_.clear();
  allowed_.reset();
  BeginWrite(EnginesToName(sent_at));
  const auto result =
      store_.Put(key_, SerializeLease(/*released=*/false), expected_version);
  if (stopping_) {
    return;
  }
  if (!result || lease_era_ != era_.current()) {
    if (fence_ == fence) {
      fence_ = previous_fence;  // No notice told of a later one meanwhile.
    }
    observed_.reset();
    SleepUnlessStopping(kStoreRetryDelay);
    return;
  }
  is_holder_ = true;
  holder_ = peers_.node_id();
  last_renewal_attempt_at_ = sent_at;
  log_.Record(
      events::kLeaseTaken,
      {{"fence", fence_},
       {"orders_in_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                            handover.before_any_order)
                            .count()}});
  OnRenewed(result.assume_value(), sent_at);
  changed_.Signal();
}

void OrderLease::OnNotice(const LeaseNotice& notice) {
  era_.Observe(notice.era);
  if (notice.era != era_.current() || notice.fence < fence_) {
    return;
  }
  if (is_holder_) {
    if (notice.fence > fence_) {
      Lose("taken by " + notice.holder);
    } else {
      return;
    }
  }
  const bool new_holder = notice.holder != holder_;
  fence_ = notice.fence;
  holder_ = notice.holder;
  observed_ = ObservedLease{notice.revision, clock_.SuspendAwareNow()};
  lease_read_ = true;
  if (notice.released) {
    // Nobody renews it any more: only the delay by rank remains.
    observed_->observed_at -= timing_.validity;
  }
  if (new_holder) {
    changed_.Signal();
  }
}

void OrderLease::Stop() {
  if (std::exchange(stopping_, true) || !is_holder_) {
    return;
  }
  is_holder_ = false;
  auto result =
      store_.Put(key_, SerializeLease(/*released=*/true), stored_revision_);
  if (!result) {
    // A renewal in flight may have been stored first.
    const auto stored = store_.Get(key_);
    if (stored && ParseLease(stored.assume_value().value).fence == fence_) {
      result = store_.Put(key_, SerializeLease(/*released=*/true),
                          stored.assume_value().version);
    }
  }
  if (result) {
    peers_.Broadcast(LeaseNotice{peers_.node_id(), fence_,
                                 result.assume_value(), /*released=*/true,
                                 lease_era_});
  }
  log_.Record(events::kLeaseReleased,
              {{"fence", fence_}, {"stored", static_cast<bool>(result)}});
}

}  // namespace tanagerloom
