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

std::uint32_t CrashSuspects::EffectiveCrashes(const Entry& entry,
                                              TimePoint now) {
  if (entry.expires_at <= now) {
    return 0;
  }
  const double left = entry.crashes - std::floor(ProofWeight(entry, now));
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

std::uint32_t CrashSuspects::OnCrash(std::uint64_t fingerprint,
                                     TimePoint now,
                                     Duration min_interval) {
  auto& entry = MakeRoomFor(fingerprint, now);
  if (entry.expires_at <= now) {
    entry.crashes = 0;
  }
  if (entry.crashes == 0 || now - entry.crashed_at >= min_interval) {
    ++entry.crashes;
    entry.crashed_at = now;
  }
  entry.expires_at = now + kRetention;
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
  entry->crashes = 0;
  // The weight of one proof is gone after some half-lives.
  constexpr int kProofRetention = 6;
  entry->expires_at = now + kProofRetention * kProofHalfLife;
  return std::exchange(entry->announced, false);
}

void CrashSuspects::OnNotice(std::uint64_t fingerprint,
                             std::uint32_t crashes,
                             Duration valid,
                             TimePoint now) {
  if (crashes == 0) {
    const auto it = entries_.find(fingerprint);
    if (it != entries_.end()) {
      it->second.crashes = 0;
      it->second.announced = false;
    }
    return;
  }
  auto& entry = MakeRoomFor(fingerprint, now);
  if (entry.proofs > 0 && now - entry.proven_at < kProofValidity) {
    return;
  }
  if (entry.expires_at <= now) {
    entry.crashes = 0;
  }
  if (crashes > entry.crashes) {
    entry.crashes = crashes;
    entry.crashed_at = now;
  }
  entry.announced = true;
  entry.expires_at =
      std::max(entry.expires_at, now + std::min(valid, kRetention));
}

std::uint32_t CrashSuspects::CrashesOf(std::uint64_t fingerprint) const {
  const auto it = entries_.find(fingerprint);
  return it == entries_.end() ? 0 : it->second.crashes;
}

bool CrashSuspects::IsSuspected(std::uint64_t fingerprint) const {
  return CrashesOf(fingerprint) > 0;
}

bool CrashSuspects::IsQuarantined(std::uint64_t fingerprint,
                                  TimePoint now) const {
  const auto it = entries_.find(fingerprint);
  return it != entries_.end() &&
         EffectiveCrashes(it->second, now) >= kCrashLimit;
}

std::vector<SuspectCount> CrashSuspects::Quarantined(TimePoint now) const {
  std::vector<SuspectCount> out;
  for (const auto& [fingerprint, entry] : entries_) {
    const auto crashes = EffectiveCrashes(entry, now);
    if (crashes >= kCrashLimit) {
      out.push_back({fingerprint, crashes, entry.expires_at - now});
    }
  }
  return out;
}

}  // namespace tanagerloom
