// Defines ServiceDispatcher, which serves calls to plain services. A call that
// is not retryable is dispatched again only if no earlier dispatch ran.
#ifndef ROUTING_SERVICE_DISPATCHER_H_
#define ROUTING_SERVICE_DISPATCHER_H_

#include <string>
#include <variant>

#include "decision/retry_budget.h"
#include "http/http_client.h"
#include "routing/cancel_source.h"
#include "routing/client_answer.h"
#include "routing/client_request.h"
#include "routing/routing_dependencies.h"

namespace tanagerloom {

class CrashQuarantine;
class EndpointSlot;
class EndpointTable;
class RequestScheduler;

/// The client disconnected before its call ended.
struct ClientGone {};

/// How a service call ended.
using ServiceOutcome = std::variant<HttpResponse, Refusal, ClientGone>;

/// Dispatches service calls and retries them where that is safe.
class ServiceDispatcher {
 public:
  ServiceDispatcher(const RoutingDependencies& deps,
                    RequestScheduler& scheduler,
                    EndpointTable& endpoints,
                    RetryBudget& budget,
                    CrashQuarantine& quarantine);

  /// Runs the call at an endpoint and returns its outcome; does not answer the
  /// client. Suspends until the call ends.
  ServiceOutcome Run(const ClientRequest& request,
                     const ServiceCall& call,
                     RequestRecord& record,
                     CancelSource& cancel);

 private:
  /// The state of one call over its attempts.
  struct Progress;

  /// Sends the call to an endpoint once and reads the response.
  HttpResult<HttpResponse> Attempt(const ClientRequest& request,
                                   const ServiceCall& call,
                                   const EndpointSlot& slot,
                                   const Progress& progress,
                                   CancelSource& cancel);
  /// Applies a failed attempt, and waits for the retry backoff. Returns the
  /// outcome of the call; empty if it is to be retried.
  std::optional<ServiceOutcome> HandleFailure(const ClientRequest& request,
                                              const HttpFailure& failure,
                                              RequestRecord& record,
                                              Progress& progress);
  /// Applies what a response says about its endpoint. Returns a failure if the
  /// response refuses the call; empty if it is the answer of the call.
  std::optional<HttpFailure> HandleResponse(const HttpResponse& response,
                                            const ServiceCall& call,
                                            Progress& progress);

  /// Whether the endpoint has probably crashed: the connection broke while the
  /// call ran, and the endpoint no longer accepts connections.
  bool Crashed(const HttpFailure& failure, const Progress& progress);

  const RoutingDependencies& deps_;
  RequestScheduler& scheduler_;
  EndpointTable& endpoints_;
  RetryBudget& budget_;
  CrashQuarantine& quarantine_;
};

}  // namespace tanagerloom

#endif  // ROUTING_SERVICE_DISPATCHER_H_
