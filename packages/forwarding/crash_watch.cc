#include "forwarding/crash_watch.h"

#include <boost/fiber/fiber.hpp>
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

// Time that a run without a client gets to crash its endpoint, before the
// endpoint is probed.
constexpr std::chrono::milliseconds kAbandonedRunTime{300};

// Counts a crash if the endpoint of a run whose connection ended refuses
// connections.
void CountIfCrashed(const ForwardingDependencies& deps,
                    const EndpointCrash& crash,
                    const Address& address) {
  EndpointAttempt probe(deps.io, deps.protocol, deps.clock, deps.buffers,
                        address);
  if (probe.Connect(deps.clock.Now() + kCrashProbeTimeout)) {
    deps.log.Record(events::kCrashNotCounted,
                    {{"request", crash.request},
                     {"endpoint", crash.endpoint},
                     {"reason", "endpoint_reachable"}});
  } else {
    deps.crashes.OnCrash(crash);
  }
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
  CountIfCrashed(deps_, MakeCrash(target), target.address);
}

void CrashWatch::OnAbandoned(const EndpointTarget& target) const {
  if (!deps_.crashes.OnAbandonedRun(fingerprints_)) {
    return;
  }
  boost::fibers::fiber([&deps = deps_, crash = MakeCrash(target),
                        address = target.address] {
    deps.clock.SleepFor(kAbandonedRunTime);
    CountIfCrashed(deps, crash, address);
  }).detach();
}

EndpointCrash CrashWatch::MakeCrash(const EndpointTarget& target) const {
  return {request_, target.id, fingerprints_, answering_, target.boot};
}

}  // namespace tanagerloom
