// Defines CrashWatch, which reports to the crash counts how the runs of one
// request end.
#ifndef FORWARDING_CRASH_WATCH_H_
#define FORWARDING_CRASH_WATCH_H_

#include <string>

#include "forwarding/crash_guard.h"

namespace tanagerloom {

struct EndpointTarget;
struct ForwardingDependencies;

/// The part of one request in the crash counts. A request has one run at a
/// time.
class CrashWatch {
 public:
  CrashWatch(const ForwardingDependencies& deps,
             std::string request,
             RequestFingerprints fingerprints);
  ~CrashWatch();
  CrashWatch(const CrashWatch&) = delete;
  CrashWatch& operator=(const CrashWatch&) = delete;

  /// Returns whether the request must be refused.
  bool IsQuarantined() const;

  /// Returns whether the request must wait for the outcome of an equal one.
  bool MustWait() const;

  void BeginRun();
  void EndRun();

  /// An event of the run's response arrived.
  void OnEvent();

  /// The whole response of the run arrived, and it states no failure. A failing
  /// endpoint need not have run the request.
  void OnWholeResponse();

  /// The stream of the run came to its end.
  void OnStreamEnd();

  /// The connection to the endpoint broke. Connects to it once more, counts a
  /// crash if that fails, and returns then: whether the request, and equal ones
  /// that broke with it, may be retried depends on the count.
  void OnBroken(const EndpointTarget& target);

  /// The client left before the run had an outcome, and the connection to the
  /// endpoint was closed. If equal requests come again, connects to the
  /// endpoint once more some time later and counts a crash if that fails.
  void OnAbandoned(const EndpointTarget& target) const;

 private:
  EndpointCrash MakeCrash(const EndpointTarget& target) const;

  const ForwardingDependencies& deps_;
  const std::string request_;
  const RequestFingerprints fingerprints_;
  bool answering_ = false;   ///< Whether an event of the run has arrived.
  bool has_outcome_ = true;  ///< Whether the run has answered or ended.
};

}  // namespace tanagerloom

#endif  // FORWARDING_CRASH_WATCH_H_
