#include "forwarding/crash_guard.h"

#include <algorithm>
#include <chrono>

#include "base/event_log.h"
#include "base/events.h"
#include "base/id.h"
#include "http/http_message.h"
#include "ports/peer_network.h"

namespace tanagerloom {

namespace {

// Max number of counts that are announced again at one time; the others follow
// the next time.
constexpr std::size_t kMaxAnnounced = 64;

}  // namespace

RequestFingerprints FingerprintsOf(const HttpRequest& request) {
  StableHasher hasher;
  for (const auto text :
       {std::string_view(request.method),
        request.headers.Find("Host").value_or(""),
        std::string_view(request.target), std::string_view(request.body)}) {
    hasher.Add(text);
    hasher.Add("\n");
  }
  return {hasher.Value()};
}

bool CrashGuard::IsQuarantined(const RequestFingerprints& fingerprints) const {
  return suspects_.IsQuarantined(fingerprints.request, clock_.Now());
}

bool CrashGuard::IsSuspected(const RequestFingerprints& fingerprints) const {
  return suspects_.IsSuspected(fingerprints.request);
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

void CrashGuard::OnCrash(const EndpointCrash& crash) {
  const auto fingerprint = crash.fingerprints.request;
  const auto crashes = suspects_.OnCrash(fingerprint, clock_.Now());
  log_.Record(events::kRequestCrashedEndpoint, {{"request", crash.request},
                                                {"endpoint", crash.endpoint},
                                                {"fingerprint", fingerprint},
                                                {"crashes", crashes}});
  if (crashes > 0) {
    Announce({fingerprint, crashes, CrashSuspects::kRetention});
  }
}

void CrashGuard::OnCompleted(const RequestFingerprints& fingerprints) {
  // Most requests differ; a proof of one that never crashed an endpoint is of
  // no use.
  if (suspects_.IsSuspected(fingerprints.request) &&
      suspects_.OnProof(fingerprints.request, clock_.Now())) {
    Announce({fingerprints.request, 0, CrashSuspects::kRetention});
  }
}

void CrashGuard::OnNotice(const CrashNotice& notice) {
  suspects_.OnNotice(notice.fingerprint, notice.crashes,
                     std::chrono::milliseconds(notice.valid_ms), clock_.Now());
}

}  // namespace tanagerloom
