// Defines HttpResponder, through which a handler answers one request.
#ifndef HTTP_HTTP_RESPONDER_H_
#define HTTP_HTTP_RESPONDER_H_

#include <functional>
#include <string_view>

#include "base/error.h"
#include "http/http_message.h"

namespace tanagerloom {

/// Answers one request, either whole or as a stream.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;

  /// Sends a whole response.
  virtual Result<void> Send(HttpResponse response) = 0;

  /// Sends the head of a response whose body follows in chunks.
  virtual Result<void> StartStream(int status, HttpHeaders headers) = 0;

  /// Sends a chunk; suspends while the client reads more slowly.
  virtual Result<void> Write(std::string_view chunk) = 0;

  /// Ends a streamed response properly.
  virtual Result<void> Finish() = 0;

  /// Closes the connection without ending the response, so that the client
  /// sees that it is not complete.
  virtual void Abort() = 0;

  /// Whether a response was started.
  virtual bool started() const = 0;

  /// Whether the client has closed its connection.
  virtual bool client_gone() const = 0;

  /// Calls `handler` once when the client closes its connection.
  virtual void OnClientGone(std::function<void()> handler) = 0;
};

}  // namespace tanagerloom

#endif  // HTTP_HTTP_RESPONDER_H_
