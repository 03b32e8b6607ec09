#include "forwarding/crash_watch.h"

#include <chrono>
#include <utility>

#include "base/event_log.h"
#include "base/events.h"
#include "fleet/fleet_view.h"
#include "forwarding/endpoint_attempt.h"
#include "forwarding/endpoint_chooser.h"
#include "forwarding/forwarding_dependencies.h"

namespace tanagerloom {

namespace {

// Timeout of the probe for a crash: a crashed endpoint refuses connections
// within this time.
constexpr std::chrono::milliseconds kCrashProbeTimeout{300};

void RecordNotCounted(EventLog& log,
                      const std::string& request,
                      const std::string& endpoint,
                      std::string_view reason) {
  log.Record(
      events::kCrashNotCounted,
      {{"request", request}, {"endpoint", endpoint}, {"reason", reason}});
}

}  // namespace

CrashWatch::CrashWatch(const ForwardingDependencies& deps,
                       std::string request,
                       RequestFingerprints fingerprints)
    : deps_(deps),
      request_(std::move(request)),
      fingerprints_(std::move(fingerprints)) {}

CrashWatch::~CrashWatch() {
  EndRun();
}

bool CrashWatch::IsQuarantined() const {
  return deps_.crashes.IsQuarantined(fingerprints_);
}

bool CrashWatch::MustWait() const {
  return deps_.crashes.MustWait(fingerprints_.request);
}

void CrashWatch::BeginRun() {
  answering_ = false;
  has_outcome_ = false;
  deps_.crashes.BeginRun(fingerprints_.request);
}

void CrashWatch::EndRun() {
  if (!std::exchange(has_outcome_, true)) {
    deps_.crashes.EndRun(fingerprints_.request);
    if (deps_.crashes.IsSuspected(fingerprints_)) {
      deps_.view.changed().Signal();  // An equal request may wait for this run.
    }
  }
}

void CrashWatch::OnEvent() {
  if (!std::exchange(answering_, true)) {
    deps_.crashes.OnAnswering(fingerprints_);
    EndRun();
  }
}

void CrashWatch::OnWholeResponse() {
  deps_.crashes.OnAnswering(fingerprints_);
  deps_.crashes.OnCompleted(fingerprints_);
}

void CrashWatch::OnStreamEnd() {
  // A crash can look like the end of an empty stream.
  if (answering_) {
    deps_.crashes.OnCompleted(fingerprints_);
  }
}

void CrashWatch::OnBroken(const EndpointTarget& target) {
  EndpointAttempt probe(deps_.io, deps_.protocol, deps_.clock, deps_.buffers,
                        target.address);
  if (probe.Connect(deps_.clock.Now() + kCrashProbeTimeout)) {
    RecordNotCounted(deps_.log, request_, target.id, "endpoint_reachable");
  } else {
    deps_.crashes.OnCrash(
        {request_, target.id, fingerprints_, answering_, target.boot});
  }
}

void CrashWatch::OnBrokenWithClientGone(const EndpointTarget& target) const {
  RecordNotCounted(deps_.log, request_, target.id, "client_gone");
}

}  // namespace tanagerloom
