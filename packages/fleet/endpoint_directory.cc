#include "fleet/endpoint_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace tanagerloom {

namespace {

// Time that the removal of a silent endpoint's entry takes beyond the max
// silence, until this node has read it.
constexpr auto kRemovalLag = std::chrono::milliseconds(1500);

}  // namespace

bool EndpointDirectory::IsInGrace(TimePoint now) const {
  return list_unavailable_ ||
         (available_at_ && now < *available_at_ + kReregistrationGrace);
}

void EndpointDirectory::OnListAvailable(TimePoint now) {
  if (std::exchange(list_unavailable_, false)) {
    available_at_ = now;
    // Removals during the outage were not seen.
    for (auto& [id, entry] : held_back_) {
      entry.since = now;
    }
  }
}

void EndpointDirectory::Erase(const std::string& id, TimePoint now) {
  const auto it = records_.find(id);
  if (it == records_.end()) {
    return;
  }
  std::erase_if(removed_, [now](const auto& known) {
    return now - known.second.removed_at >= kRemovedMemory;
  });
  removed_[id] = {it->second.boot, it->second.entry_sequence, now};
  if (it->second.draining) {
    RememberDraining(id, it->second.boot, now);
  }
  records_.erase(it);
  changed_at_.erase(id);
}

bool EndpointDirectory::IsOutdated(const EndpointRecord& record,
                                   TimePoint now) const {
  const auto it = removed_.find(record.id);
  if (it == removed_.end() || now - it->second.removed_at >= kRemovedMemory) {
    return false;
  }
  const auto& last = it->second;
  // A live endpoint writes a higher sequence; an entry without one says
  // nothing.
  return record.boot < last.boot ||
         (record.boot == last.boot && record.entry_sequence > 0 &&
          record.entry_sequence <= last.entry_sequence);
}

void EndpointDirectory::RememberDraining(const std::string& id,
                                         std::uint64_t boot,
                                         TimePoint now) {
  auto& known = draining_starts_[id];
  known = {std::max(known.boot, boot), now};
  if (draining_starts_.size() > kMaxRememberedDraining) {
    draining_starts_.erase(std::ranges::min_element(
        draining_starts_, {},
        [](const auto& it) { return it.second.noted_at; }));
  }
}

bool EndpointDirectory::IsDraining(std::string_view id,
                                   std::uint64_t boot) const {
  const auto it = draining_starts_.find(id);
  return it != draining_starts_.end() && boot <= it->second.boot;
}

bool EndpointDirectory::OnLeaving(const std::string& id,
                                  std::uint64_t boot,
                                  TimePoint now) {
  if (IsDraining(id, boot)) {
    return false;
  }
  RememberDraining(id, boot, now);
  const auto it = records_.find(id);
  if (it != records_.end() && it->second.boot <= boot) {
    it->second.draining = true;
  }
  return true;
}

void EndpointDirectory::Insert(EndpointRecord record,
                               TimePoint now,
                               DirectoryChange& change) {
  removal_at_.erase(record.id);
  if (IsDraining(record.id, record.boot)) {
    record.draining = true;
  } else if (record.draining) {
    RememberDraining(record.id, record.boot, now);
  }
  const auto it = records_.find(record.id);
  if (it == records_.end()) {
    if (!IsOutdated(record, now)) {
      List(std::move(record), now, change);
      return;
    }
    auto& held_back = held_back_.try_emplace(record.id).first->second;
    if (held_back.since == TimePoint{}) {
      held_back.since = now;
    }
    held_back.record = std::move(record);
    return;
  }
  auto& known = it->second;
  if (record.boot < known.boot ||
      (record.boot == known.boot &&
       record.entry_sequence < known.entry_sequence)) {
    // Entries can arrive late. An older one has no news about the loaded
    // models, but an endpoint that once started to drain never stops draining.
    if (record.boot == known.boot && record.draining && !known.draining) {
      known.draining = true;
      change.draining.push_back(known.id);
    }
    return;
  }
  const bool same_boot = record.boot == known.boot;
  const bool was_draining = same_boot && known.draining;
  record.draining = record.draining || was_draining;
  if (record.draining && !was_draining) {
    change.draining.push_back(record.id);
  } else if (!(record == known)) {
    change.listed.push_back(record.id);
  }
  changed_at_[record.id] = now;
  known = std::move(record);
}

void EndpointDirectory::List(EndpointRecord record,
                             TimePoint now,
                             DirectoryChange& change) {
  held_back_.erase(record.id);
  change.listed.push_back(record.id);
  if (record.draining) {
    change.draining.push_back(record.id);
  }
  changed_at_[record.id] = now;
  records_.emplace(record.id, std::move(record));
}

DirectoryChange EndpointDirectory::Replace(std::vector<EndpointRecord> records,
                                           TimePoint now) {
  DirectoryChange change;
  std::set<std::string, std::less<>> present;
  for (auto& it : records) {
    present.insert(it.id);
    Insert(std::move(it), now, change);
  }
  std::erase_if(held_back_,
                [&](const auto& it) { return !present.contains(it.first); });
  std::vector<std::string> missing;
  for (const auto& [id, record] : records_) {
    if (!present.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const auto& it : missing) {
    auto removed = Remove(it, now);
    change.gone.insert(change.gone.end(), removed.gone.begin(),
                       removed.gone.end());
  }
  return change;
}

DirectoryChange EndpointDirectory::Update(EndpointRecord record,
                                          TimePoint now) {
  DirectoryChange change;
  Insert(std::move(record), now, change);
  return change;
}

DirectoryChange EndpointDirectory::Remove(const std::string& id,
                                          TimePoint now) {
  DirectoryChange change;
  held_back_.erase(id);
  const auto it = records_.find(id);
  if (it == records_.end()) {
    return change;
  }
  if (IsInGrace(now) && !it->second.draining) {
    const auto since = list_unavailable_ ? now : *available_at_;
    removal_at_.emplace(id, since + kReregistrationGrace);
    return change;
  }
  Erase(id, now);
  removal_at_.erase(id);
  change.gone.push_back(id);
  return change;
}

DirectoryChange EndpointDirectory::Expire(TimePoint now) {
  DirectoryChange change;
  if (list_unavailable_) {
    return change;
  }
  for (auto it = removal_at_.begin(); it != removal_at_.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    Erase(it->first, now);
    change.gone.push_back(it->first);
    it = removal_at_.erase(it);
  }
  for (auto it = held_back_.begin(); it != held_back_.end();) {
    if (now - it->second.since < max_silence_ + kRemovalLag) {
      ++it;
      continue;
    }
    auto record = std::move((it++)->second.record);
    List(std::move(record), now, change);
  }
  return change;
}

TimePoint EndpointDirectory::ChangedAt(std::string_view id) const {
  const auto it = changed_at_.find(id);
  return it == changed_at_.end() ? TimePoint{} : it->second;
}

const EndpointRecord* EndpointDirectory::Find(std::string_view id) const {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

}  // namespace tanagerloom
