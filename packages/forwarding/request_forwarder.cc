#include "forwarding/request_forwarder.h"

#include "forwarding/forwarded_request.h"

namespace tanagerloom {

void RequestForwarder::Handle(const HttpRequest& request,
                              HttpResponder& responder) {
  ++in_progress_;
  ForwardedRequest(deps_, budgets_, request, responder).Run();
  --in_progress_;
}

}  // namespace tanagerloom
