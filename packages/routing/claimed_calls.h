// Defines ClaimedCalls, which runs a service call that is not retryable at most
// once for its Idempotency-Key, over all nodes and resends.
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

/// Runs calls under a claim that is stored before they are dispatched.
class ClaimedCalls {
 public:
  ClaimedCalls(const RoutingDependencies& deps,
               ClaimStore& store,
               ServiceDispatcher& services);

  /// Runs the call, or returns the outcome of an earlier send of it. Refuses
  /// the call if its claim cannot be stored, or if the key was used for another
  /// request.
  ServiceOutcome Run(const ClientRequest& request,
                     const ServiceCall& call,
                     RequestRecord& record,
                     CancelSource& cancel);

 private:
  /// Runs a call whose claim this request took, and stores the outcome.
  ServiceOutcome RunOwned(const std::string& claim,
                          ClaimRecord own_record,
                          const ClientRequest& request,
                          const ServiceCall& call,
                          RequestRecord& record,
                          CancelSource& cancel);
  /// The outcome of the call that has the claim `current`; empty if that call
  /// is still running. If its node has failed, the outcome is stored as
  /// unknown. A different fingerprint gives a refusal.
  std::optional<ServiceOutcome> ResolveOutcome(const std::string& claim,
                                               const ClaimRecord& current,
                                               const std::string& fingerprint);
  /// Waits for the outcome of a call that runs at this or another node; empty
  /// if the claim was released.
  std::optional<ServiceOutcome> WaitForOutcome(const std::string& claim,
                                               const ClaimRecord& own_record,
                                               TimePoint deadline,
                                               const CancelSource& cancel);
  /// The claim's record if this node has it in memory, else the result of
  /// taking the claim in the store.
  Result<ClaimRecord> AcquireClaim(const std::string& claim,
                                   const ClaimRecord& own_record,
                                   TimePoint deadline);
  /// Stores an outcome. It stays in `local_` until it is stored or abandoned.
  void StoreOutcome(const std::string& claim, const ClaimRecord& final_record);
  /// Wall-clock time in ms at the end of `time` and the claim retention.
  std::int64_t ExpiryAfter(Duration time) const;

  const RoutingDependencies& deps_;
  ClaimStore& store_;
  ServiceDispatcher& services_;
  /// Claims of this node whose call runs or whose outcome is not stored yet.
  /// Resends are answered from them even while the object store is unavailable.
  std::map<std::string, ClaimRecord> local_;
};

}  // namespace tanagerloom

#endif  // ROUTING_CLAIMED_CALLS_H_
