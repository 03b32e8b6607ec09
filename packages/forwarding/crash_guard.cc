#include "forwarding/crash_guard.h"

#include <algorithm>
#include <chrono>

#include "base/event_log.h"
#include "base/events.h"
#include "base/id.h"
#include "fleet/request_profile.h"
#include "http/http_message.h"
#include "ports/peer_network.h"

namespace tanagerloom {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Max number of counts that are announced again at one time; the others follow
// the next time.
constexpr std::size_t kMaxAnnounced = 64;
// Max number of parts of a prompt that are counted.
constexpr std::size_t kMaxPromptParts = 16;
// Crashes closer together count once for a part that many requests share:
// several endpoints can fail together for another reason.
constexpr milliseconds kSameCrash{100};
// How long, and how many, requests are remembered whose clients left.
constexpr std::chrono::seconds kAbandonedMemory{60};
constexpr std::size_t kMaxAbandoned = 1024;

}  // namespace

RequestFingerprints FingerprintsOf(const HttpRequest& request,
                                   const RequestProfile& profile) {
  StableHasher hasher;
  for (const auto text :
       {std::string_view(request.method),
        request.headers.Find("Host").value_or(""),
        std::string_view(request.target), std::string_view(request.body)}) {
    hasher.Add(text);
    hasher.Add("\n");
  }
  RequestFingerprints out;
  out.request = hasher.Value();
  for (const auto& it : profile.SharedPromptParts().first(
           std::min(profile.SharedPromptParts().size(), kMaxPromptParts))) {
    out.prompt_parts.push_back({it.id, StableHash("prompt part\n" + it.id)});
  }
  return out;
}

CrashGuard::CrashGuard(PeerNetwork& peers, Clock& clock, EventLog& log)
    : peers_(peers), clock_(clock), log_(log), prompt_parts_(kSameCrash) {}

bool CrashGuard::IsQuarantined(const RequestFingerprints& fingerprints) const {
  const auto now = clock_.Now();
  return requests_.IsQuarantined(fingerprints.request, now) ||
         std::ranges::any_of(fingerprints.prompt_parts, [&](const auto& it) {
           return prompt_parts_.IsQuarantined(it.value, now);
         });
}

bool CrashGuard::IsSuspected(const RequestFingerprints& fingerprints) const {
  return requests_.IsSuspected(fingerprints.request) ||
         std::ranges::any_of(fingerprints.prompt_parts, [&](const auto& it) {
           return prompt_parts_.IsSuspected(it.value);
         });
}

bool CrashGuard::MustWait(std::uint64_t request) const {
  return requests_.CountOf(request, clock_.Now()) > 0 &&
         runs_.contains(request);
}

void CrashGuard::BeginRun(std::uint64_t request) {
  ++runs_[request];
}

void CrashGuard::EndRun(std::uint64_t request) {
  const auto it = runs_.find(request);
  if (it != runs_.end() && --it->second == 0) {
    runs_.erase(it);
  }
}

// ---- exchange with the peers

void CrashGuard::Announce(const CrashSuspects& table, const Suspect& suspect) {
  const auto now = clock_.Now();
  CrashNotice notice{suspect.fingerprint,
                     suspect.count,
                     static_cast<std::uint64_t>(
                         duration_cast<milliseconds>(suspect.valid).count()),
                     &table == &prompt_parts_,
                     {}};
  for (const auto& it : suspect.crashes) {
    const auto age = duration_cast<milliseconds>(now - it.at);
    notice.observed.push_back({it.id, static_cast<std::uint32_t>(age.count())});
  }
  peers_.Broadcast(notice);
}

void CrashGuard::AnnounceQuarantined() {
  const auto now = clock_.Now();
  const auto requests = requests_.Quarantined(now);
  const auto parts = prompt_parts_.Quarantined(now);
  const auto n = requests.size() + parts.size();
  for (std::size_t i = 0; i < std::min(n, kMaxAnnounced); ++i) {
    const auto k = (next_announced_ + i) % n;
    if (k < requests.size()) {
      Announce(requests_, requests[k]);
    } else {
      Announce(prompt_parts_, parts[k - requests.size()]);
    }
  }
  next_announced_ += kMaxAnnounced;
}

void CrashGuard::OnNotice(const CrashNotice& notice) {
  auto& table = notice.prompt_part ? prompt_parts_ : requests_;
  if (notice.crashes == 0) {
    RecordReset(table, notice.fingerprint, "peer");
    table.OnReset(notice.fingerprint);
    return;
  }
  const auto now = clock_.Now();
  std::vector<SuspectCrash> crashes;
  for (const auto& it : notice.observed) {
    crashes.push_back({it.id, now - milliseconds(it.age_ms)});
  }
  const bool refused = table.IsQuarantined(notice.fingerprint, now);
  table.OnNotice(notice.fingerprint, crashes, now);
  RecordQuarantine(table, notice.fingerprint, refused);
}

std::size_t CrashGuard::QuarantinedCount() const {
  const auto now = clock_.Now();
  return requests_.Quarantined(now).size() +
         prompt_parts_.Quarantined(now).size();
}

// ---- crashes

void CrashGuard::RecordQuarantine(const CrashSuspects& table,
                                  std::uint64_t fingerprint,
                                  bool refused) {
  const auto now = clock_.Now();
  if (refused || !table.IsQuarantined(fingerprint, now)) {
    return;
  }
  const auto suspect = table.Find(fingerprint, now);
  log_.Record(events::kRequestQuarantined,
              {{"fingerprint", fingerprint},
               {"crashes", suspect.count},
               {"ms", duration_cast<milliseconds>(suspect.valid).count()}});
}

std::uint32_t CrashGuard::Count(CrashSuspects& table,
                                std::uint64_t fingerprint,
                                std::uint64_t crash_id) {
  const auto now = clock_.Now();
  const bool refused = table.IsQuarantined(fingerprint, now);
  const auto count = table.OnCrash(fingerprint, crash_id, now);
  if (count > 0) {
    Announce(table, table.Find(fingerprint, now));
  }
  RecordQuarantine(table, fingerprint, refused);
  return count;
}

void CrashGuard::OnCrash(const EndpointCrash& crash) {
  const auto fingerprint = crash.fingerprints.request;
  log_.Record(events::kRequestCrashedEndpoint,
              {{"request", crash.request},
               {"endpoint", crash.endpoint},
               {"fingerprint", fingerprint},
               {"crashes", Count(requests_, fingerprint, RandomU64())}});
  if (crash.answering) {
    return;
  }
  // All nodes see the crash of an endpoint; for a part that many requests share
  // it counts once.
  const auto endpoint_crash =
      StableHash(crash.endpoint + "\n" + std::to_string(crash.boot));
  for (const auto& it : crash.fingerprints.prompt_parts) {
    log_.Record(events::kRequestCrashedEndpoint,
                {{"request", crash.request},
                 {"endpoint", crash.endpoint},
                 {"prompt_part", it.part},
                 {"fingerprint", it.value},
                 {"crashes", Count(prompt_parts_, it.value, endpoint_crash)}});
  }
}

bool CrashGuard::OnAbandonedRun(const RequestFingerprints& fingerprints) {
  const auto now = clock_.Now();
  auto& abandoned_at = abandoned_[fingerprints.request];
  const bool again =
      abandoned_at != TimePoint{} && now - abandoned_at < kAbandonedMemory;
  abandoned_at = now;
  if (abandoned_.size() > kMaxAbandoned) {
    abandoned_.erase(std::ranges::min_element(
        abandoned_, {}, [](const auto& it) { return it.second; }));
  }
  return again || IsSuspected(fingerprints);
}

// ---- runs without a crash

void CrashGuard::RecordReset(const CrashSuspects& table,
                             std::uint64_t fingerprint,
                             std::string_view source) {
  const auto crashes = table.CrashesOf(fingerprint);
  if (crashes > 0) {
    log_.Record(events::kCrashCountReset, {{"fingerprint", fingerprint},
                                           {"crashes", crashes},
                                           {"source", source}});
  }
}

void CrashGuard::Prove(CrashSuspects& table, std::uint64_t fingerprint) {
  RecordReset(table, fingerprint, "run");
  if (table.OnProof(fingerprint, clock_.Now())) {
    Announce(table, Suspect{fingerprint, 0, CrashSuspects::kRetention, {}});
  }
}

void CrashGuard::OnAnswering(const RequestFingerprints& fingerprints) {
  for (const auto& it : fingerprints.prompt_parts) {
    Prove(prompt_parts_, it.value);
  }
}

void CrashGuard::OnCompleted(const RequestFingerprints& fingerprints) {
  Prove(requests_, fingerprints.request);
}

}  // namespace tanagerloom
