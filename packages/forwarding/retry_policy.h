// Defines the rule by which a request is sent once more, and how it is answered
// if it is not.
#ifndef FORWARDING_RETRY_POLICY_H_
#define FORWARDING_RETRY_POLICY_H_

#include <cstdint>

#include "base/verdict.h"
#include "fleet/fleet_config.h"

namespace tanagerloom {

/// What became of a request so far.
struct RequestHistory {
  std::uint32_t runs = 0;  ///< Endpoints that ran it, or may have.
  Verdict last_verdict = Verdict::kNotRun;
};

/// Whether a request may be sent to another endpoint. One that may have run is
/// repeated only if its route allows that, and only on so many endpoints.
inline bool MayRetry(const Route& route, const RequestHistory& history) {
  if (history.last_verdict == Verdict::kNotRun) {
    return history.runs == 0 || route.IsRetryable();
  }
  return route.IsRetryable() && history.runs < route.max_attempts;
}

/// The status for a request that is given up: 503 promises that it never ran.
inline int FinalStatus(const RequestHistory& history, bool timed_out) {
  constexpr int kNotRunStatus = 503;
  constexpr int kBadGateway = 502;
  constexpr int kGatewayTimeout = 504;
  if (history.runs == 0) {
    return kNotRunStatus;
  }
  return timed_out ? kGatewayTimeout : kBadGateway;
}

}  // namespace tanagerloom

#endif  // FORWARDING_REPEAT_RULE_H_
