// Defines RequestProtocol, the port to the platform's headers: what a request
// and an answer say beside HTTP itself.
#ifndef FORWARDING_REQUEST_PROTOCOL_H_
#define FORWARDING_REQUEST_PROTOCOL_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "fleet/request_profile.h"
#include "http/http_message.h"

namespace tanagerloom {

/// What is added to a request when it is sent to an endpoint.
struct AttemptParameters {
  std::string endpoint;  ///< Any other endpoint refuses the request.
  std::chrono::milliseconds time_left{0};
  std::uint32_t urgency = 0;  ///< 0 is served first; at most 9.
  /// Goes on after this event; empty sends the client's own value.
  std::string resume_after_event;
};

/// What an answer says of itself.
struct ResponseTraits {
  std::string attempt_id;       ///< The request that it answers.
  bool from_endpoint = false;   ///< It bears an endpoint's seal.
  bool not_run = false;         ///< The endpoint states that it did not run it.
  bool encoded = false;         ///< Its body is not the endpoint's own bytes.
  bool wrong_endpoint = false;  ///< Not the endpoint or model asked for.
};

/// The platform's way to describe requests and answers.
class RequestProtocol {
 public:
  virtual ~RequestProtocol() = default;

  virtual RequestProfile ReadRequest(const HttpRequest& request) const = 0;

  /// The request as an endpoint gets it.
  virtual HttpRequest MakeAttempt(
      const HttpRequest& request,
      const AttemptParameters& parameters) const = 0;

  virtual ResponseTraits ReadResponse(int status,
                                      const HttpHeaders& headers) const = 0;

  /// The headers of an endpoint's answer that the client gets.
  virtual HttpHeaders ForwardedHeaders(const HttpHeaders& headers) const = 0;

  /// An answer of this node's own. `retry_after` is sent if it is positive.
  virtual HttpResponse MakeOwnResponse(
      int status,
      const RequestProfile& profile,
      std::chrono::milliseconds retry_after) const = 0;
};

}  // namespace tanagerloom

#endif  // FORWARDING_REQUEST_PROTOCOL_H_
