// Defines RequestReader, which reads one request from a connection while there
// is memory for it.
#ifndef HTTP_REQUEST_READER_H_
#define HTTP_REQUEST_READER_H_

#include <variant>

#include "http/http_message.h"
#include "http/malformed_request.h"
#include "runtime/clock.h"

namespace tanagerloom {

struct HttpServerLimits;
struct ServerConnection;
class RequestMemory;

/// A request that has arrived as a whole.
struct ArrivedRequest {
  HttpRequest request;
  bool keep_alive = false;  ///< The client allows another request.
};

/// The connection ended before a request had arrived.
struct ConnectionEnded {};

using ReadOutcome =
    std::variant<ArrivedRequest, ConnectionEnded, MalformedRequest>;

/// Reads one request. Its memory stays counted until RequestMemory::EndRead is
/// called again.
ReadOutcome ReadRequest(ServerConnection& connection,
                        RequestMemory& memory,
                        const HttpServerLimits& limits);

}  // namespace tanagerloom

#endif  // HTTP_REQUEST_READER_H_
