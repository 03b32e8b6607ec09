// Defines functions that interpret an endpoint's response: whether it is a
// refusal, and what that says about the request and about the endpoint.
#ifndef ROUTING_ENDPOINT_REPLY_H_
#define ROUTING_ENDPOINT_REPLY_H_

#include <optional>
#include <string_view>

#include "http/endpoint_statement.h"
#include "http/http_message.h"
#include "runtime/clock.h"

namespace tanagerloom {

/// The content of an endpoint's refusal.
struct EndpointRefusal {
  /// Whether the header `X-Not-Run: true` states that the request did not run.
  bool states_not_run = false;
  EndpointStatement statement;  ///< What the endpoint says of itself.
  bool model_missing = false;  ///< Whether the engine has not loaded the model.
};

/// Whether a status is a client error, which is passed on to the client and is
/// no failure of the endpoint. 404, 408, 425 and 429 are excluded, since a
/// retry may succeed.
bool IsClientError(int status);

/// Whether a header of an endpoint's response is passed on to the client.
/// Headers of the connection, and the X-Request-Id that this node sets itself,
/// are not.
bool IsRelayedHeader(std::string_view name);

/// Parses a refusal of an endpoint: 429, 503 or another status that is no
/// success.
EndpointRefusal ParseRefusal(int status,
                             const HttpHeaders& headers,
                             std::string_view body);

}  // namespace tanagerloom

#endif  // ROUTING_ENDPOINT_REPLY_H_
