// Defines ModelDispatcher, which serves a model request: it waits for a
// replica, dispatches, and retries elsewhere while that is safe and in time.
#ifndef ROUTING_MODEL_DISPATCHER_H_
#define ROUTING_MODEL_DISPATCHER_H_

#include <string>

#include "decision/retry_budget.h"
#include "routing/cancel_source.h"
#include "routing/client_answer.h"
#include "routing/client_request.h"
#include "routing/model_attempt.h"
#include "routing/routing_dependencies.h"

namespace tanagerloom {

class CrashQuarantine;
class EndpointTable;
class RequestScheduler;

/// Serves model requests.
class ModelDispatcher {
 public:
  ModelDispatcher(const RoutingDependencies& deps,
                  RequestScheduler& scheduler,
                  EndpointTable& endpoints,
                  RetryBudget& budget,
                  CrashQuarantine& quarantine);

  /// Answers the request. Suspends until its answer is sent.
  void Serve(const ClientRequest& request,
             ModelCall call,
             ClientAnswer& answer,
             CancelSource& cancel);

 private:
  struct Progress;

  /// True if the request is to be tried again.
  bool HandleOutcome(const ClientRequest& request,
                     const ModelCall& call,
                     AttemptOutcome outcome,
                     ClientAnswer& answer,
                     Progress& progress);
  bool HandleFailure(const ClientRequest& request,
                     const ModelCall& call,
                     const AttemptFailed& failed,
                     ClientAnswer& answer,
                     Progress& progress);

  /// Moves a call to the version that the configuration in force offers; false
  /// if there is none.
  bool UpdateToCurrentVersion(ModelCall& call);
  /// Counts a crash if there is evidence of one; known to all nodes before the
  /// request is dispatched again.
  void CountCrash(const ClientRequest& request, const Progress& progress);
  /// The boot id of an engine; empty if it does not answer.
  std::string ReadBoot(const Address& engine);

  const RoutingDependencies& deps_;
  RequestScheduler& scheduler_;
  EndpointTable& endpoints_;
  RetryBudget& budget_;
  CrashQuarantine& quarantine_;
};

}  // namespace tanagerloom

#endif  // ROUTING_MODEL_DISPATCHER_H_
