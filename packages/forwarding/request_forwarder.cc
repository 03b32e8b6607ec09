#include "forwarding/request_forwarder.h"

#include "forwarding/forwarded_request.h"

namespace tanagerloom {

void RequestForwarder::Handle(const HttpRequest& request,
                              HttpResponder& responder) {
  ForwardedRequest forwarded(deps_, budgets_, service_times_, request,
                             responder);
  requests_.insert(&forwarded);
  forwarded.Run();
  requests_.erase(&forwarded);
}

void RequestForwarder::EndRequests() {
  for (auto* it : requests_) {
    it->End();
  }
}

}  // namespace tanagerloom
