#include "forwarding/request_forwarder.h"

#include "forwarding/forwarded_request.h"
#include "http/buffer_budget.h"

namespace tanagerloom {

namespace {

// One endpoint may hold this fraction of the memory for responses, or as much
// of that for requests, by reading slowly.
constexpr std::size_t kUploadDivisor = 4;

}  // namespace

RequestForwarder::RequestForwarder(ForwardingDependencies deps)
    : deps_(std::move(deps)),
      uploads_(deps_.buffers.max_bytes() / kUploadDivisor),
      waiting_lists_(deps_.view, deps_.clock, deps_.stop_at) {}

void RequestForwarder::Handle(const HttpRequest& request,
                              HttpResponder& responder) {
  ForwardedRequest forwarded(deps_, budgets_, service_times_, uploads_,
                             waiting_lists_, request, responder);
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
