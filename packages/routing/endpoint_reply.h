// Defines how an endpoint's refusal is read: what it says about the request and
// about the endpoint.
#ifndef ROUTING_ENDPOINT_REPLY_H_
#define ROUTING_ENDPOINT_REPLY_H_

#include <optional>
#include <string_view>

#include "http/http_message.h"
#include "runtime/clock.h"

namespace tanagerloom {

/// What an endpoint's refusal says.
struct EndpointRefusal {
  bool states_not_run = false;  ///< By `X-Not-Run: true`.
  std::optional<Duration> backpressure;
  bool leaving = false;        ///< The endpoint takes no new work.
  bool model_missing = false;  ///< The engine does not hold the model.
};

/// Whether a status is the endpoint's judgement on the request itself, which is
/// the caller's answer and no failure of the endpoint.
bool IsClientError(int status);

/// Whether a header of an endpoint's response is passed on to the caller; those
/// of the connection and of the platform's protocol are not.
bool IsRelayedHeader(std::string_view name);

/// Reads a 429, 503 or other failure.
EndpointRefusal ParseRefusal(int status,
                             const HttpHeaders& headers,
                             std::string_view body);

}  // namespace tanagerloom

#endif  // ROUTING_ENDPOINT_REPLY_H_
