#include "forwarding/request_forwarder.h"

#include "forwarding/forwarded_request.h"

namespace tanagerloom {

void RequestForwarder::Handle(const HttpRequest& request,
                              HttpResponder& responder) {
  ++requests_in_flight_;
  ForwardedRequest(deps_, budgets_, request, responder).Run();
  --requests_in_flight_;
}

}  // namespace tanagerloom
