// Defines ModelDispatcher, which serves model requests: it waits for a loaded
// replica, dispatches the request, and retries it at other engines until its
// deadline, as far as its retry limits allow.
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

  /// Answers the request. Suspends until the answer is sent or the client has
  /// disconnected.
  void Serve(const ClientRequest& request,
             ModelCall call,
             ClientAnswer& answer,
             CancelSource& cancel);

 private:
  /// The state of one request over its attempts.
  struct Progress;

  /// Applies the outcome of an attempt, and answers the request unless it is
  /// retried. Returns whether to retry.
  bool HandleOutcome(const ClientRequest& request,
                     const ModelCall& call,
                     AttemptOutcome outcome,
                     ClientAnswer& answer,
                     Progress& progress);
  /// Applies a failed attempt; as HandleOutcome().
  bool HandleFailure(const ClientRequest& request,
                     const ModelCall& call,
                     const AttemptFailed& failed,
                     ClientAnswer& answer,
                     Progress& progress);

  /// Changes a call to the model version that the configuration in force
  /// offers. Returns false if there is no other version.
  bool UpdateToCurrentVersion(ModelCall& call);
  /// Counts a crash of the last attempt's engine, unless its boot id shows that
  /// it did not crash. The count is stored before the request is dispatched
  /// again.
  void CountCrash(const ClientRequest& request, const Progress& progress);
  /// Reads the boot id of an engine; empty if the engine does not answer.
  std::string ReadBoot(const Address& engine);

  const RoutingDependencies& deps_;
  RequestScheduler& scheduler_;
  EndpointTable& endpoints_;
  RetryBudget& budget_;
  CrashQuarantine& quarantine_;
};

}  // namespace tanagerloom

#endif  // ROUTING_MODEL_DISPATCHER_H_
