// Defines RequestForwarder, which forwards client requests to the endpoints of
// a service without changing their body.
#ifndef FORWARDING_REQUEST_FORWARDER_H_
#define FORWARDING_REQUEST_FORWARDER_H_

#include <cstddef>

#include "forwarding/forwarding_dependencies.h"

namespace tanagerloom {

struct HttpRequest;
class HttpResponder;

/// Handles client requests; each has its response when its call returns.
class RequestForwarder {
 public:
  explicit RequestForwarder(ForwardingDependencies deps)
      : deps_(std::move(deps)) {}

  /// Handles one request; call it on the request's fiber.
  void Handle(const HttpRequest& request, HttpResponder& responder);

  /// Number of requests that have no complete response yet.
  std::size_t requests_in_flight() const { return requests_in_flight_; }

 private:
  ForwardingDependencies deps_;
  SharedRetryBudgets budgets_;
  std::size_t requests_in_flight_ = 0;
};

}  // namespace tanagerloom

#endif  // FORWARDING_REQUEST_FORWARDER_H_
