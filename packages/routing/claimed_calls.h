// Defines ClaimedCalls, which runs a service call that may not be repeated at
// most once for its Idempotency-Key, over all nodes and resends.
#ifndef ROUTING_CLAIMED_CALLS_H_
#define ROUTING_CLAIMED_CALLS_H_

#include <map>
#include <optional>
#include <string>

#include "routing/cancel_source.h"
#include "routing/claim_store.h"
#include "routing/client_request.h"
#include "routing/request_record.h"
#include "routing/routing_dependencies.h"
#include "routing/service_dispatcher.h"

namespace tanagerloom {

/// Runs calls under a stored claim.
class ClaimedCalls {
 public:
  ClaimedCalls(const RoutingDependencies& deps,
               ClaimStore& store,
               ServiceDispatcher& services);

  /// Runs the call, or returns the outcome of an earlier send of it.
  ServiceOutcome Run(const ClientRequest& request,
                     const ServiceCall& call,
                     RequestRecord& record,
                     CancelSource& cancel);

 private:
  ServiceOutcome RunOwned(const std::string& claim,
                          ClaimRecord own_record,
                          const ClientRequest& request,
                          const ServiceCall& call,
                          RequestRecord& record,
                          CancelSource& cancel);
  /// The outcome that an earlier claim stands for; empty if its call is still
  /// running.
  std::optional<ServiceOutcome> ResolveOutcome(const std::string& claim,
                                               const ClaimRecord& current,
                                               const std::string& fingerprint);
  /// Waits for the outcome of a call that runs here or at another node; empty
  /// if the claim became free.
  std::optional<ServiceOutcome> WaitForOutcome(const std::string& claim,
                                               const ClaimRecord& own_record,
                                               TimePoint deadline,
                                               const CancelSource& cancel);
  /// The claim's record if this node has it in memory, else from the store.
  Result<ClaimRecord> AcquireClaim(const std::string& claim,
                                   const ClaimRecord& own_record,
                                   TimePoint deadline);
  void StoreOutcome(const std::string& claim, const ClaimRecord& final_record);
  std::int64_t ExpiryAfter(Duration time) const;

  const RoutingDependencies& deps_;
  ClaimStore& store_;
  ServiceDispatcher& services_;
  /// Claims of this node that run, or whose outcome is not stored yet. They
  /// answer resends also while the object API is down.
  std::map<std::string, ClaimRecord> local_;
};

}  // namespace tanagerloom

#endif  // ROUTING_CLAIMED_CALLS_H_
