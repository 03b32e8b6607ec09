// Defines RequestForwarder, which forwards client requests to the endpoints of
// a service without changing their body.
#ifndef FORWARDING_REQUEST_FORWARDER_H_
#define FORWARDING_REQUEST_FORWARDER_H_

#include <cstddef>
#include <cstdint>
#include <set>

#include "forwarding/forwarding_dependencies.h"
#include "forwarding/service_times.h"
#include "forwarding/upload_limit.h"
#include "forwarding/waiting_lists.h"

namespace tanagerloom {

struct HttpRequest;
class ForwardedRequest;
class HttpResponder;

/// Handles client requests; each has its response when its call returns.
class RequestForwarder {
 public:
  explicit RequestForwarder(ForwardingDependencies deps);

  /// Handles one request; call it on the request's fiber.
  void Handle(const HttpRequest& request, HttpResponder& responder);

  /// Ends all requests in flight because the node stops: those that have no
  /// response yet get one, streams are broken off.
  void EndRequests();

  /// Number of requests that have no complete response yet.
  std::size_t requests_in_flight() const { return requests_.size(); }

  /// The requests that wait for endpoints.
  WaitingLists& waiting_lists() { return waiting_lists_; }

  /// Number of requests of a priority that wait for an endpoint.
  std::size_t waiting(std::uint32_t priority) const {
    return waiting_lists_.CountOf(priority);
  }

 private:
  ForwardingDependencies deps_;
  SharedRetryBudgets budgets_;
  ServiceTimes service_times_;
  UploadLimit uploads_;
  WaitingLists waiting_lists_;
  std::set<ForwardedRequest*> requests_;  ///< In flight.
};

}  // namespace tanagerloom

#endif  // FORWARDING_REQUEST_FORWARDER_H_
