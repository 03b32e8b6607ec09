// Defines MalformedRequest, which says why a server refuses a request without
// calling its handler.
#ifndef HTTP_MALFORMED_REQUEST_H_
#define HTTP_MALFORMED_REQUEST_H_

#include <boost/system/error_code.hpp>
#include <optional>
#include <string>

#include "runtime/clock.h"

namespace tanagerloom {

struct HttpRequest;
struct HttpServerLimits;

/// Why a request cannot be read, or not now, and the status that says so.
struct MalformedRequest {
  int status = 400;
  std::string message;
  Duration retry_after{};  ///< When it may be sent again; 0 if it may not.
};

/// Returns whether a read failed only because the connection was closed.
bool IsEndOfConnection(boost::system::error_code ec);

/// Returns the problem of a request whose read failed with `ec`.
MalformedRequest ProblemOf(boost::system::error_code ec,
                           const HttpServerLimits& limits);

/// Returns the problem of a request whose body has an unknown end or a coding
/// that is not supported; `version` is 11 for HTTP/1.1. The parser takes such a
/// body for the next request, or passes it on as it is.
std::optional<MalformedRequest> FramingProblemOf(unsigned version,
                                                 const HttpRequest& request);

}  // namespace tanagerloom

#endif  // HTTP_MALFORMED_REQUEST_H_
