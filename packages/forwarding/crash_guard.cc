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

// Max number of counts that are announced again at one time; the others follow
// the next time.
constexpr std::size_t kMaxAnnounced = 64;
// Max number of parts of a prompt that are counted.
constexpr std::size_t kMaxPromptParts = 16;
// Crashes closer together count once for a part that many requests share:
// several endpoints can fail together for another reason.
constexpr std::chrono::milliseconds kSameCrash{100};

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

bool CrashGuard::IsQuarantined(const RequestFingerprints& fingerprints) const {
  const auto now = clock_.Now();
  return suspects_.IsQuarantined(fingerprints.request, now) ||
         std::ranges::any_of(fingerprints.prompt_parts, [&](const auto& it) {
           return suspects_.IsQuarantined(it.value, now);
         });
}

bool CrashGuard::IsSuspected(const RequestFingerprints& fingerprints) const {
  return suspects_.IsSuspected(fingerprints.request) ||
         std::ranges::any_of(fingerprints.prompt_parts, [&](const auto& it) {
           return suspects_.IsSuspected(it.value);
         });
}

void CrashGuard::Announce(const SuspectCount& count) {
  const auto valid =
      std::chrono::duration_cast<std::chrono::milliseconds>(count.valid);
  peers_.Broadcast(CrashNotice{count.fingerprint, count.crashes,
                               static_cast<std::uint64_t>(valid.count())});
}

void CrashGuard::AnnounceQuarantined() {
  const auto counts = suspects_.Quarantined(clock_.Now());
  for (std::size_t i = 0; i < std::min(counts.size(), kMaxAnnounced); ++i) {
    Announce(counts[(next_announced_ + i) % counts.size()]);
  }
  next_announced_ += kMaxAnnounced;
}

std::size_t CrashGuard::QuarantinedCount() const {
  return suspects_.Quarantined(clock_.Now()).size();
}

std::uint32_t CrashGuard::Count(std::uint64_t fingerprint,
                                Duration min_interval) {
  const auto now = clock_.Now();
  const bool refused = suspects_.IsQuarantined(fingerprint, now);
  const auto crashes = suspects_.OnCrash(fingerprint, now, min_interval);
  if (crashes > 0) {
    Announce({fingerprint, crashes, CrashSuspects::kRetention});
  }
  if (!refused && suspects_.IsQuarantined(fingerprint, now)) {
    log_.Record(events::kRequestQuarantined,
                {{"fingerprint", fingerprint},
                 {"crashes", crashes},
                 {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                            CrashSuspects::kRetention)
                            .count()}});
  }
  return crashes;
}

void CrashGuard::OnCrash(const EndpointCrash& crash) {
  const auto fingerprint = crash.fingerprints.request;
  log_.Record(events::kRequestCrashedEndpoint,
              {{"request", crash.request},
               {"endpoint", crash.endpoint},
               {"fingerprint", fingerprint},
               {"crashes", Count(fingerprint, Duration(0))}});
  if (crash.answering) {
    return;
  }
  for (const auto& it : crash.fingerprints.prompt_parts) {
    log_.Record(events::kRequestCrashedEndpoint,
                {{"request", crash.request},
                 {"endpoint", crash.endpoint},
                 {"prompt_part", it.part},
                 {"fingerprint", it.value},
                 {"crashes", Count(it.value, kSameCrash)}});
  }
}

void CrashGuard::RecordReset(std::uint64_t fingerprint,
                             std::uint32_t crashes,
                             std::string_view source) {
  if (crashes > 0) {
    log_.Record(events::kCrashCountReset, {{"fingerprint", fingerprint},
                                           {"crashes", crashes},
                                           {"source", source}});
  }
}

void CrashGuard::Prove(std::uint64_t fingerprint) {
  RecordReset(fingerprint, suspects_.CrashesOf(fingerprint), "run");
  if (suspects_.OnProof(fingerprint, clock_.Now())) {
    Announce({fingerprint, 0, CrashSuspects::kRetention});
  }
}

void CrashGuard::OnAnswering(const RequestFingerprints& fingerprints) {
  for (const auto& it : fingerprints.prompt_parts) {
    Prove(it.value);
  }
}

void CrashGuard::OnCompleted(const RequestFingerprints& fingerprints) {
  // Most requests differ; a proof of one that never crashed an endpoint is of
  // no use.
  if (suspects_.IsSuspected(fingerprints.request)) {
    Prove(fingerprints.request);
  }
}

void CrashGuard::OnNotice(const CrashNotice& notice) {
  if (notice.crashes == 0) {
    RecordReset(notice.fingerprint, suspects_.CrashesOf(notice.fingerprint),
                "peer");
  }
  suspects_.OnNotice(notice.fingerprint, notice.crashes,
                     std::chrono::milliseconds(notice.valid_ms), clock_.Now());
}

}  // namespace tanagerloom
