// Defines RequestForwarder, the front end for requests that are passed on
// unchanged to the endpoints of a service.
#ifndef FORWARDING_REQUEST_FORWARDER_H_
#define FORWARDING_REQUEST_FORWARDER_H_

#include <cstddef>

#include "forwarding/forwarding_dependencies.h"

namespace tanagerloom {

struct HttpRequest;
class HttpResponder;

/// Handles requests; each is answered before its call returns.
class RequestForwarder {
 public:
  explicit RequestForwarder(ForwardingDependencies deps)
      : deps_(std::move(deps)) {}

  void Handle(const HttpRequest& request, HttpResponder& responder);

  /// Requests that are not answered yet.
  std::size_t requests_in_flight() const { return requests_in_flight_; }

 private:
  ForwardingDependencies deps_;
  SharedRetryBudgets budgets_;
  std::size_t requests_in_flight_ = 0;
};

}  // namespace tanagerloom

#endif  // FORWARDING_REQUEST_FORWARDER_H_
