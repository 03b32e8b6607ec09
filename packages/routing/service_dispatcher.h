// Defines ServiceDispatcher, which serves calls of plain services. A call that
// may not be repeated is dispatched again only after "not run".
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

/// How a service call ended: the endpoint's response, a refusal, or the caller
/// left first.
struct ClientGone {};
using ServiceOutcome = std::variant<HttpResponse, Refusal, ClientGone>;

/// Serves service calls.
class ServiceDispatcher {
 public:
  ServiceDispatcher(const RoutingDependencies& deps,
                    RequestScheduler& scheduler,
                    EndpointTable& endpoints,
                    RetryBudget& budget,
                    CrashQuarantine& quarantine);

  /// Runs the call at an endpoint, without answering the caller.
  ServiceOutcome Run(const ClientRequest& request,
                     const ServiceCall& call,
                     RequestRecord& record,
                     CancelSource& cancel);

 private:
  struct Progress;

  HttpResult<HttpResponse> Attempt(const ClientRequest& request,
                                   const ServiceCall& call,
                                   const EndpointSlot& slot,
                                   const Progress& progress,
                                   CancelSource& cancel);
  /// The outcome of a failed attempt; empty if it is to be tried again.
  std::optional<ServiceOutcome> HandleFailure(const ClientRequest& request,
                                              const HttpFailure& failure,
                                              RequestRecord& record,
                                              Progress& progress);
  /// Reads an endpoint's refusal; empty if the response is the answer.
  std::optional<HttpFailure> HandleResponse(const HttpResponse& response,
                                            const ServiceCall& call,
                                            Progress& progress);

  /// Whether the endpoint stopped listening while it ran the call.
  bool Crashed(const HttpFailure& failure, const Progress& progress);

  const RoutingDependencies& deps_;
  RequestScheduler& scheduler_;
  EndpointTable& endpoints_;
  RetryBudget& budget_;
  CrashQuarantine& quarantine_;
};

}  // namespace tanagerloom

#endif  // ROUTING_SERVICE_DISPATCHER_H_
