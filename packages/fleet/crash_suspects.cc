#include "fleet/crash_suspects.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tanagerloom {

namespace {

// Interval at which a full table is searched for expired entries.
constexpr std::chrono::seconds kPruneInterval{1};

}  // namespace

double CrashSuspects::ProofWeight(const Entry& entry, TimePoint now) {
  const std::chrono::duration<double> age = now - entry.proven_at;
  const std::chrono::duration<double> half_life = kProofHalfLife;
  return entry.proofs * std::exp2(-(age / half_life));
}

std::uint32_t CrashSuspects::CountCrashes(const Entry& entry) const {
  std::vector<TimePoint> times;
  for (const auto& it : entry.crashes) {
    times.push_back(it.at);
  }
  std::ranges::sort(times);
  std::uint32_t n = 0;
  TimePoint counted_at{};
  for (const auto& it : times) {
    if (n == 0 || it - counted_at >= min_interval_) {
      ++n;
      counted_at = it;
    }
  }
  return n;
}

std::uint32_t CrashSuspects::EffectiveCrashes(const Entry& entry,
                                              TimePoint now) const {
  if (entry.expires_at <= now) {
    return 0;
  }
  const double left = CountCrashes(entry) - std::floor(ProofWeight(entry, now));
  return left > 0 ? static_cast<std::uint32_t>(left) : 0;
}

CrashSuspects::Entry* CrashSuspects::FindOrAdd(std::uint64_t fingerprint,
                                               TimePoint now) {
  const auto it = entries_.find(fingerprint);
  if (it != entries_.end()) {
    return &it->second;
  }
  if (entries_.size() >= kMaxFingerprints && now >= next_prune_at_) {
    next_prune_at_ = now + kPruneInterval;
    std::erase_if(entries_, [&](const auto& entry) {
      return entry.second.expires_at <= now;
    });
  }
  return entries_.size() < kMaxFingerprints ? &entries_[fingerprint] : nullptr;
}

CrashSuspects::Entry& CrashSuspects::MakeRoomFor(std::uint64_t fingerprint,
                                                 TimePoint now) {
  if (auto* entry = FindOrAdd(fingerprint, now)) {
    return *entry;
  }
  entries_.erase(std::ranges::min_element(
      entries_, {}, [](const auto& it) { return it.second.expires_at; }));
  return entries_[fingerprint];
}

void CrashSuspects::AddCrash(Entry& entry, const SuspectCrash& crash) {
  const auto known =
      std::ranges::find(entry.crashes, crash.id, &SuspectCrash::id);
  if (known != entry.crashes.end()) {
    known->at = std::min(known->at, crash.at);
    return;
  }
  entry.expires_at = std::max(entry.expires_at, crash.at + kRetention);
  if (entry.crashes.size() < kMaxCrashes) {
    entry.crashes.push_back(crash);
  }
}

std::uint32_t CrashSuspects::OnCrash(std::uint64_t fingerprint,
                                     std::uint64_t crash_id,
                                     TimePoint now) {
  auto& entry = MakeRoomFor(fingerprint, now);
  if (entry.expires_at <= now) {
    entry.crashes.clear();
  }
  AddCrash(entry, {crash_id, now});
  const auto count = EffectiveCrashes(entry, now);
  entry.announced = entry.announced || count > 0;
  return count;
}

bool CrashSuspects::OnProof(std::uint64_t fingerprint, TimePoint now) {
  auto* entry = FindOrAdd(fingerprint, now);
  if (entry == nullptr) {
    return false;
  }
  entry->proofs = ProofWeight(*entry, now) + 1;
  entry->proven_at = now;
  entry->crashes.clear();
  // The weight of one proof is gone after some half-lives.
  constexpr int kProofRetention = 6;
  entry->expires_at = now + kProofRetention * kProofHalfLife;
  return std::exchange(entry->announced, false);
}

void CrashSuspects::OnNotice(std::uint64_t fingerprint,
                             std::span<const SuspectCrash> crashes,
                             TimePoint now) {
  auto& entry = MakeRoomFor(fingerprint, now);
  if (entry.proofs > 0 && now - entry.proven_at < kProofValidity) {
    return;
  }
  if (entry.expires_at <= now) {
    entry.crashes.clear();
  }
  for (const auto& it : crashes) {
    AddCrash(entry, it);
  }
  entry.announced = true;
}

void CrashSuspects::OnReset(std::uint64_t fingerprint) {
  const auto it = entries_.find(fingerprint);
  if (it != entries_.end()) {
    it->second.crashes.clear();
    it->second.announced = false;
  }
}

std::uint32_t CrashSuspects::CrashesOf(std::uint64_t fingerprint) const {
  const auto it = entries_.find(fingerprint);
  return it == entries_.end() ? 0 : CountCrashes(it->second);
}

bool CrashSuspects::IsSuspected(std::uint64_t fingerprint) const {
  return CrashesOf(fingerprint) > 0;
}

std::uint32_t CrashSuspects::CountOf(std::uint64_t fingerprint,
                                     TimePoint now) const {
  const auto it = entries_.find(fingerprint);
  return it == entries_.end() ? 0 : EffectiveCrashes(it->second, now);
}

bool CrashSuspects::IsQuarantined(std::uint64_t fingerprint,
                                  TimePoint now) const {
  return CountOf(fingerprint, now) >= kCrashLimit;
}

Suspect CrashSuspects::MakeSuspect(std::uint64_t fingerprint,
                                   const Entry& entry,
                                   TimePoint now) const {
  return {fingerprint, EffectiveCrashes(entry, now), entry.expires_at - now,
          entry.crashes};
}

Suspect CrashSuspects::Find(std::uint64_t fingerprint, TimePoint now) const {
  const auto it = entries_.find(fingerprint);
  return it == entries_.end() ? Suspect{fingerprint, 0, Duration(0), {}}
                              : MakeSuspect(fingerprint, it->second, now);
}

std::vector<Suspect> CrashSuspects::Quarantined(TimePoint now) const {
  std::vector<Suspect> out;
  for (const auto& [fingerprint, entry] : entries_) {
    if (EffectiveCrashes(entry, now) >= kCrashLimit) {
      out.push_back(MakeSuspect(fingerprint, entry, now));
    }
  }
  return out;
}

}  // namespace tanagerloom
