// Defines when a failed request may be retried, and the response status if it
// is not.
#ifndef FORWARDING_RETRY_POLICY_H_
#define FORWARDING_RETRY_POLICY_H_

#include <cstdint>

#include "base/verdict.h"
#include "fleet/fleet_config.h"

namespace tanagerloom {

/// Outcomes of the attempts of a request so far.
struct RequestHistory {
  std::uint32_t runs = 0;  ///< Number of endpoints that ran it or may have.
  Verdict last_verdict = Verdict::kNotRun;
};

/// Returns whether a request may be sent to another endpoint. A request that
/// may have run is retried only if its route allows it, and on at most
/// max_attempts endpoints.
inline bool MayRetry(const Route& route, const RequestHistory& history) {
  if (history.last_verdict == Verdict::kNotRun) {
    return history.runs == 0 || route.IsRetryable();
  }
  return route.IsRetryable() && history.runs < route.max_attempts;
}

/// Returns the response status of an abandoned request. 503 promises that it
/// never ran.
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

#endif  // FORWARDING_RETRY_POLICY_H_
