// Defines RequestProtocol, the port to the platform's HTTP headers on requests
// and responses.
#ifndef FORWARDING_REQUEST_PROTOCOL_H_
#define FORWARDING_REQUEST_PROTOCOL_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "fleet/reported_load.h"
#include "fleet/request_profile.h"
#include "http/endpoint_statement.h"
#include "http/http_message.h"

namespace tanagerloom {

/// Values that are added to a request when it is sent to an endpoint.
struct AttemptParameters {
  /// Expected endpoint; any other one refuses the request.
  std::string endpoint;
  std::chrono::milliseconds time_left{0};
  std::uint32_t urgency = 0;  ///< 0 is the most urgent, 9 the least.
  /// Whether the client's API key, and what it says of its customer, are
  /// removed from the request.
  bool hide_key = false;
  std::string customer;  ///< Name of the customer; empty if there is none.
  /// Id of the event after which the stream resumes. If empty, the client's own
  /// value is sent.
  std::string resume_after_event;
};

/// Properties of a response, as its headers state them.
struct ResponseTraits {
  std::string attempt_id;      ///< Id of the request that it responds to.
  bool from_endpoint = false;  ///< It carries the seal of an endpoint.
  /// The endpoint states that it did not run the request.
  bool not_run = false;
  /// It did not run the request because it had no room for it.
  bool is_full = false;
  /// Its body has a content encoding, so it is not the endpoint's own bytes.
  bool encoded = false;
  /// It is not the expected endpoint or lacks the model.
  bool wrong_endpoint = false;
  /// The load that the endpoint reports; not set if it reports none.
  std::optional<ReportedLoad> load;
  /// What the endpoint says of itself.
  EndpointStatement statement;
  /// Name and value of a header with an invalid statement; empty if none is.
  std::string invalid_statement;
};

/// Reads and writes the platform's headers.
class RequestProtocol {
 public:
  virtual ~RequestProtocol() = default;

  /// Returns what the headers of a client request state.
  virtual RequestProfile ReadRequest(const HttpRequest& request) const = 0;

  /// Returns the request to send to an endpoint, without its body, which stays
  /// with `request`.
  virtual HttpRequest MakeAttempt(
      const HttpRequest& request,
      const AttemptParameters& parameters) const = 0;

  /// Returns what the status and headers of an endpoint's response state.
  virtual ResponseTraits ReadResponse(int status,
                                      const HttpHeaders& headers) const = 0;

  /// Returns the headers of an endpoint's response that are forwarded to the
  /// client.
  virtual HttpHeaders ForwardedHeaders(const HttpHeaders& headers) const = 0;

  /// Returns a response of this node's own. `retry_after` is included if it is
  /// positive.
  virtual HttpResponse MakeOwnResponse(
      int status,
      const RequestProfile& profile,
      std::chrono::milliseconds retry_after) const = 0;
};

}  // namespace tanagerloom

#endif  // FORWARDING_REQUEST_PROTOCOL_H_
