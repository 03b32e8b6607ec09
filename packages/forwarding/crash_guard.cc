#include "forwarding/crash_guard.h"

#include <chrono>

#include "base/event_log.h"
#include "base/events.h"
#include "base/id.h"
#include "http/http_message.h"
#include "ports/peer_network.h"

namespace tanagerloom {

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

void CrashGuard::Announce(std::uint64_t fingerprint, std::uint32_t crashes) {
  const auto valid = std::chrono::duration_cast<std::chrono::milliseconds>(
      CrashSuspects::kRetention);
  peers_.Broadcast(CrashNotice{fingerprint, crashes,
                               static_cast<std::uint64_t>(valid.count())});
}

void CrashGuard::OnCrash(const EndpointCrash& crash) {
  const auto fingerprint = crash.fingerprints.request;
  const auto crashes = suspects_.OnCrash(fingerprint, clock_.Now());
  log_.Record(events::kRequestCrashedEndpoint, {{"request", crash.request},
                                                {"endpoint", crash.endpoint},
                                                {"fingerprint", fingerprint},
                                                {"crashes", crashes}});
  if (crashes > 0) {
    Announce(fingerprint, crashes);
  }
}

void CrashGuard::OnCompleted(const RequestFingerprints& fingerprints) {
  // Most requests differ; a proof of one that never crashed an endpoint is of
  // no use.
  if (suspects_.IsSuspected(fingerprints.request) &&
      suspects_.OnProof(fingerprints.request, clock_.Now())) {
    Announce(fingerprints.request, 0);
  }
}

void CrashGuard::OnNotice(const CrashNotice& notice) {
  suspects_.OnNotice(notice.fingerprint, notice.crashes,
                     std::chrono::milliseconds(notice.valid_ms), clock_.Now());
}

}  // namespace tanagerloom
