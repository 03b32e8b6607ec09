#include "ordering/engine_table.h"

#include <algorithm>

#include "fleet/endpoint_directory.h"

namespace tanagerloom {

namespace {

// A directory entry that arrived this long after the last change here may be
// newer than that change.
constexpr auto kRecordLag = std::chrono::milliseconds(2500);
// Consecutive failed reads after which an engine counts as lost. A single read
// can fail because of the network, and the engine's models would be loaded
// elsewhere for nothing.
constexpr std::uint32_t kLostAfterFailedReads = 2;
// Backoff between reads of an engine that does not answer. A crashed engine is
// back after some seconds.
constexpr Duration kInitialProbeBackoff = std::chrono::milliseconds(150);
constexpr Duration kMaxProbeBackoff = std::chrono::milliseconds(1200);
// Maximum wait for the first reports. Most arrive within some milliseconds, and
// a lost one would delay planning until its read times out.
constexpr auto kFirstReportsTimeout = std::chrono::milliseconds(600);
// Time without a new engine after which all are assumed to be known. After an
// outage of the store live engines register again within about two seconds; at
// a start they follow each other more closely.
constexpr auto kSettleTime = std::chrono::milliseconds(2500);
// Interval at which the report of an engine is read that waits for requests to
// end before it unloads an adapter.
constexpr auto kUnloadCheckInterval = std::chrono::milliseconds(250);
// Minimum interval between two equal notices of one engine. Nodes prefer a
// notice over an older directory entry for longer than this.
constexpr auto kNoticeRepeatInterval = std::chrono::milliseconds(1000);

// Adds what a report says of one model or adapter.
void AdoptReplica(TrackedEngine& entry,
                  const EngineReplica& replica,
                  TimePoint now) {
  switch (replica.state) {
    case EngineReplicaState::kLoaded: {
      auto& adapters = entry.record.models[replica.model];
      if (!replica.adapter.empty()) {
        adapters.insert(replica.adapter);
      }
      return;
    }
    case EngineReplicaState::kLoading:
      if (replica.adapter.empty()) {
        entry.executing_unknown_order = true;
      } else {
        entry.loading_adapters[{replica.model, replica.adapter}] =
            now + EngineTable::kAdapterLoadTime;
      }
      return;
    case EngineReplicaState::kFailed:
      return;
  }
}

// Forgets the unloads that have ended, if the report is not older than them.
// The other adapters are no longer for use although it lists them.
void KeepUnloadingAdapters(TrackedEngine& entry, bool report_is_newest) {
  std::erase_if(entry.unloading_adapters, [&](const ModelRef& it) {
    const auto model = entry.record.models.find(it.model);
    const bool listed = model != entry.record.models.end() &&
                        model->second.erase(it.adapter) > 0;
    return report_is_newest && !listed;
  });
}

// Returns whether the directory entry contradicts the state here and may be
// newer.
bool RecordDisagrees(const TrackedEngine& entry,
                     const EndpointRecord& record,
                     TimePoint described_at) {
  return record.models != entry.record.models && !entry.order &&
         entry.loading_adapters.empty() &&
         described_at >= entry.changed_at + kRecordLag;
}

}  // namespace

std::vector<std::string> EngineTable::Sync(const EndpointDirectory& directory,
                                           std::string_view service,
                                           TimePoint now) {
  std::vector<std::string> to_read;
  if (!first_sync_at_) {
    first_sync_at_ = now;
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
      newest_engine_at_ = now;
      entry = TrackedEngine{};
      entry.record = record;
      entry.changed_at = now;
    } else if (record.boot == entry.record.boot) {
      entry.record.cached_weights = record.cached_weights;
      entry.record.draining = record.draining;
      entry.record_mismatch =
          RecordDisagrees(entry, record, directory.ChangedAt(id));
    }
    const bool awaits_unload =
        !entry.unloading_adapters.empty() &&
        now - entry.unloads_checked_at >= kUnloadCheckInterval;
    const bool needs_report = !entry.sequence || entry.record_mismatch ||
                              entry.executing_unknown_order || awaits_unload ||
                              entry.failed_reads > 0;
    if (needs_report && !entry.reading_report && now >= entry.blocked_until) {
      to_read.push_back(id);
    }
  }
  return to_read;
}

void EngineTable::Adopt(const std::string& id,
                        const EngineState& state,
                        TimePoint now) {
  auto* entry = Find(id);
  if (entry == nullptr) {
    return;
  }
  const bool is_newest = !entry->sequence || state.sequence >= *entry->sequence;
  entry->sequence = state.sequence;
  entry->failed_reads = 0;
  entry->changed_at = now;
  entry->record_mismatch = false;
  entry->executing_unknown_order = state.busy;
  entry->record.models.clear();
  entry->loading_adapters.clear();
  for (const auto& it : state.entries) {
    AdoptReplica(*entry, it, now);
  }
  entry->unloads_checked_at = now;
  KeepUnloadingAdapters(*entry, is_newest);
}

void EngineTable::OnAdapterUnload(TrackedEngine& entry,
                                  const ModelRef& adapter,
                                  bool done,
                                  TimePoint now) {
  const auto model = entry.record.models.find(adapter.model);
  if (model == entry.record.models.end()) {
    return;  // It was unloaded with its adapters.
  }
  model->second.erase(adapter.adapter);
  entry.changed_at = now;
  if (!done) {
    entry.unloading_adapters.insert(adapter);
    entry.unloads_checked_at = now;
  }
}

bool EngineTable::FinishAdapterLoads(TrackedEngine& entry, TimePoint now) {
  const auto n = std::erase_if(entry.loading_adapters, [&](const auto& it) {
    const auto& [ref, expected_end] = it;
    const auto model = entry.record.models.find(ref.model);
    // An unload of the model removes its adapters.
    const bool loaded =
        now >= expected_end && model != entry.record.models.end();
    if (loaded) {
      model->second.insert(ref.adapter);
    }
    return now >= expected_end;
  });
  if (n > 0) {
    entry.changed_at = now;
  }
  return n > 0;
}

void EngineTable::OnUnreachable(TrackedEngine& entry, TimePoint now) {
  constexpr std::uint32_t kMaxDoublings = 8;
  const auto doublings = std::min(entry.failed_reads, kMaxDoublings);
  const Duration pause = kInitialProbeBackoff * (Duration::rep{1} << doublings);
  entry.blocked_until = now + std::min(pause, kMaxProbeBackoff);
  ++entry.failed_reads;
}

bool EngineTable::IsAwaitingReports(TimePoint now) const {
  const auto known = [](const auto& it) {
    return it.second.sequence.has_value();
  };
  const auto reading_report = [](const auto& it) {
    return !it.second.sequence && it.second.reading_report;
  };
  const bool early =
      first_sync_at_ && now - *first_sync_at_ < kFirstReportsTimeout;
  return (early || !std::ranges::any_of(engines_, known)) &&
         std::ranges::any_of(engines_, reading_report);
}

bool EngineTable::IsSettled(TimePoint now) const {
  return now - newest_engine_at_ >= kSettleTime;
}

TrackedEngine* EngineTable::Find(const std::string& id) {
  const auto it = engines_.find(id);
  return it == engines_.end() ? nullptr : &it->second;
}

TrackedEngine* EngineTable::FindWithOrder(const std::string& id,
                                          std::uint64_t order_id) {
  auto* entry = Find(id);
  return entry != nullptr && entry->order && entry->order->id == order_id
             ? entry
             : nullptr;
}

std::vector<EngineSnapshot> EngineTable::Snapshots(
    const EndpointDirectory& directory,
    TimePoint now) const {
  std::vector<EngineSnapshot> out;
  for (const auto& [id, entry] : engines_) {
    const auto* listed = directory.Find(id);
    EngineSnapshot snapshot;
    snapshot.id = id;
    snapshot.usable = listed != nullptr && !listed->draining &&
                      entry.sequence.has_value() &&
                      entry.failed_reads < kLostAfterFailedReads;
    snapshot.models = entry.record.models;
    snapshot.cached_weights = entry.record.cached_weights;
    snapshot.busy = entry.order.has_value() || entry.executing_unknown_order ||
                    entry.failed_reads > 0 || now < entry.blocked_until;
    snapshot.time_until_free = std::max(Duration(0), entry.blocked_until - now);
    if (entry.order) {
      snapshot.time_until_free = std::max<Duration>(
          snapshot.time_until_free, entry.order->expected_done_at - now);
      if (entry.order->action == OrderAction::kLoad &&
          entry.order->target.adapter.empty()) {
        snapshot.loading_model = entry.order->target.model;
      }
    }
    snapshot.adapter_loads_in_flight =
        static_cast<std::uint32_t>(entry.loading_adapters.size());
    for (const auto& [ref, at] : entry.loading_adapters) {
      snapshot.models[ref.model].insert(ref.adapter);
    }
    snapshot.unloading_adapters = entry.unloading_adapters;
    out.push_back(std::move(snapshot));
  }
  return out;
}

std::optional<LoadedModelsNotice> EngineTable::MakeNotice(TrackedEngine& entry,
                                                          std::uint64_t fence,
                                                          TimePoint now) {
  LoadedModelsNotice notice;
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
  if (entry.notices_sent > 0 && notice.models == entry.announced_models &&
      now - entry.announced_at < kNoticeRepeatInterval) {
    return std::nullopt;
  }
  notice.number = ++entry.notices_sent;
  entry.announced_models = notice.models;
  entry.announced_at = now;
  return notice;
}

}  // namespace tanagerloom
