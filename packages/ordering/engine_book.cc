#include "ordering/engine_book.h"

#include <algorithm>

#include "fleet/endpoint_directory.h"

namespace tanagerloom {

namespace {

// A description that came this long after the last change may be newer than it.
constexpr auto kDescriptionLag = std::chrono::milliseconds(2500);
// Reads that failed in a row after which an engine counts as lost. One may be
// lost on the way; what the engine holds would be loaded elsewhere in vain.
constexpr std::uint32_t kLostAfter = 2;
// An engine that does not answer is asked again after this long. A crashed one
// is back after some seconds.
constexpr Duration kFirstProbePause = std::chrono::milliseconds(150);
constexpr Duration kLongestProbePause = std::chrono::milliseconds(1200);
// The first reports are waited for at most this long; most come within some
// milliseconds, and one that is lost times out.
constexpr auto kFirstReports = std::chrono::milliseconds(600);
// Live engines register again within about two seconds of the store's return;
// at a start they follow each other more closely.
constexpr auto kSettleTime = std::chrono::milliseconds(2500);
// Nodes believe a notice for longer than this against an older description, so
// that one which says the same need not follow sooner.
constexpr auto kNoticeRepeat = std::chrono::milliseconds(1000);

// Whether what the engine says of itself casts doubt on the book.
bool Doubtful(const BookedEngine& entry,
              const EndpointRecord& record,
              TimePoint described) {
  return record.models != entry.record.models && !entry.order &&
         entry.adapters_coming.empty() &&
         described >= entry.changed_at + kDescriptionLag;
}

}  // namespace

std::vector<std::string> EngineBook::Sync(const EndpointDirectory& directory,
                                          std::string_view service,
                                          TimePoint now) {
  std::vector<std::string> to_read;
  if (!begun_) {
    begun_ = now;
  }
  std::erase_if(engines_, [&](const auto& it) {
    return directory.Find(it.first) == nullptr;
  });
  for (const auto& [id, record] : directory.records()) {
    if (record.service != service) {
      continue;
    }
    const auto [it, inserted] = engines_.try_emplace(id);
    auto& entry = it->second;
    if (inserted || record.boot > entry.record.boot) {
      newest_ = now;
      entry = BookedEngine{};
      entry.record = record;
      entry.changed_at = now;
    } else if (record.boot == entry.record.boot) {
      entry.record.cached_weights = record.cached_weights;
      entry.record.draining = record.draining;
      entry.doubtful = Doubtful(entry, record, directory.ChangedAt(id));
    }
    const bool uncertain = !entry.sequence || entry.doubtful ||
                           entry.foreign_order || entry.unreachable > 0;
    if (uncertain && !entry.reading && now >= entry.blocked_until) {
      to_read.push_back(id);
    }
  }
  return to_read;
}

void EngineBook::Adopt(const std::string& id,
                       const EngineState& state,
                       TimePoint now) {
  auto* entry = Find(id);
  if (entry == nullptr) {
    return;
  }
  entry->sequence = state.sequence;
  entry->unreachable = 0;
  entry->changed_at = now;
  entry->doubtful = false;
  entry->foreign_order = state.busy;
  entry->record.models.clear();
  entry->adapters_coming.clear();
  for (const auto& it : state.entries) {
    if (it.state != EngineEntryState::kLoaded) {
      continue;
    }
    auto& adapters = entry->record.models[it.model];
    if (!it.adapter.empty()) {
      adapters.insert(it.adapter);
    }
  }
}

void EngineBook::OnUnreachable(BookedEngine& entry, TimePoint now) {
  constexpr std::uint32_t kMostDoublings = 8;
  const auto doublings = std::min(entry.unreachable, kMostDoublings);
  const Duration pause = kFirstProbePause * (Duration::rep{1} << doublings);
  entry.blocked_until = now + std::min(pause, kLongestProbePause);
  ++entry.unreachable;
}

bool EngineBook::AwaitsReports(TimePoint now) const {
  const auto known = [](const auto& it) {
    return it.second.sequence.has_value();
  };
  const auto reading = [](const auto& it) {
    return !it.second.sequence && it.second.reading;
  };
  const bool early = begun_ && now - *begun_ < kFirstReports;
  return (early || !std::ranges::any_of(engines_, known)) &&
         std::ranges::any_of(engines_, reading);
}

bool EngineBook::Settled(TimePoint now) const {
  return now - newest_ >= kSettleTime;
}

BookedEngine* EngineBook::Find(const std::string& id) {
  const auto it = engines_.find(id);
  return it == engines_.end() ? nullptr : &it->second;
}

BookedEngine* EngineBook::FindWithOrder(const std::string& id,
                                        std::uint64_t order_id) {
  auto* entry = Find(id);
  return entry != nullptr && entry->order && entry->order->id == order_id
             ? entry
             : nullptr;
}

std::vector<EngineSnapshot> EngineBook::Places(
    const EndpointDirectory& directory,
    TimePoint now) const {
  std::vector<EngineSnapshot> out;
  for (const auto& [id, entry] : engines_) {
    const auto* listed = directory.Find(id);
    EngineSnapshot place;
    place.id = id;
    place.usable = listed != nullptr && !listed->draining &&
                   entry.sequence.has_value() && entry.unreachable < kLostAfter;
    place.models = entry.record.models;
    place.cached_weights = entry.record.cached_weights;
    place.busy = entry.order.has_value() || entry.foreign_order ||
                 entry.unreachable > 0 || now < entry.blocked_until;
    place.free_in = std::max(Duration(0), entry.blocked_until - now);
    if (entry.order) {
      place.free_in =
          std::max<Duration>(place.free_in, entry.order->done_at - now);
      if (entry.order->action == OrderAction::kLoad &&
          entry.order->target.adapter.empty()) {
        place.loading_model = entry.order->target.model;
      }
    }
    place.adapter_loads_in_flight =
        static_cast<std::uint32_t>(entry.adapters_coming.size());
    for (const auto& [ref, at] : entry.adapters_coming) {
      place.models[ref.model].insert(ref.adapter);
    }
    out.push_back(std::move(place));
  }
  return out;
}

std::optional<HoldingsNotice> EngineBook::News(BookedEngine& entry,
                                               std::uint64_t fence,
                                               TimePoint now) {
  HoldingsNotice notice;
  notice.endpoint = entry.record.id;
  notice.boot = entry.record.boot;
  notice.fence = fence;
  for (const auto& [model, adapters] : entry.record.models) {
    const bool unloading = entry.order &&
                           entry.order->action == OrderAction::kUnload &&
                           entry.order->target == ModelRef{model, ""};
    if (!unloading) {
      notice.models.push_back({model, {adapters.begin(), adapters.end()}});
    }
  }
  if (entry.notices > 0 && notice.models == entry.told &&
      now - entry.told_at < kNoticeRepeat) {
    return std::nullopt;
  }
  notice.number = ++entry.notices;
  entry.told = notice.models;
  entry.told_at = now;
  return notice;
}

}  // namespace tanagerloom
