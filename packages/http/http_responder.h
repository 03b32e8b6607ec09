// Defines HttpResponder, the interface through which a handler answers one
// request.
#ifndef HTTP_HTTP_RESPONDER_H_
#define HTTP_HTTP_RESPONDER_H_

#include <functional>
#include <string_view>

#include "base/error.h"
#include "http/http_message.h"

namespace tanagerloom {

/// Sends the response to one request, either as a whole or as a stream. The
/// sending methods fail with kUnavailable if the client does not take the data.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;

  /// Sends a complete response.
  virtual Result<void> Send(HttpResponse response) = 0;

  /// Sends the head of a streamed response, whose body follows in chunks.
  virtual Result<void> StartStream(int status, HttpHeaders headers) = 0;

  /// Sends a chunk. Suspends the fiber while the client reads more slowly.
  virtual Result<void> Write(std::string_view chunk) = 0;

  /// Completes a streamed response.
  virtual Result<void> Finish() = 0;

  /// Closes the connection without completing the response, so that the client
  /// notices that it is truncated.
  virtual void Abort() = 0;

  /// Whether sending a response has started.
  virtual bool started() const = 0;

  /// Whether the client has closed its connection.
  virtual bool client_gone() const = 0;

  /// Registers `handler`, which is called once when the client closes its
  /// connection, or at once if it already has.
  virtual void OnClientGone(std::function<void()> handler) = 0;
};

}  // namespace tanagerloom

#endif  // HTTP_HTTP_RESPONDER_H_
