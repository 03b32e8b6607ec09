// Defines HttpServer, an HTTP/1.1 server with one fiber for each connection.
#ifndef HTTP_HTTP_SERVER_H_
#define HTTP_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "base/address.h"
#include "base/error.h"
#include "http/http_message.h"
#include "runtime/clock.h"

namespace boost::asio {
class io_context;
}

namespace tanagerloom {

class HttpResponder;

/// Limits on what a client may send.
struct HttpServerLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 8ULL * 1024 * 1024;
  Duration read_timeout = std::chrono::seconds(30);   ///< For one request.
  Duration idle_timeout = std::chrono::seconds(120);  ///< Between requests.
  Duration write_timeout = std::chrono::seconds(60);  ///< For one write.
  std::size_t max_connections = 20000;
};

/// Accepts connections and calls a handler for each request.
class HttpServer {
 public:
  /// Answers one request through the responder before it returns.
  using Handler = std::function<void(const HttpRequest&, HttpResponder&)>;

  HttpServer(boost::asio::io_context& io,
             HttpServerLimits limits,
             Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Listens and starts accepting. Port 0 takes any free port.
  Result<Address> Listen(const Address& address);

  /// Changes the limits for the requests that follow.
  void SetLimits(const HttpServerLimits& limits);

  /// Tells each client with its next response that the connection closes; new
  /// connections are still accepted.
  void AnnounceClose();

  /// Stops accepting and closes idle connections; requests in progress go on
  /// and their connections close after the response.
  void StopAccepting();

  /// Requests whose handler is running.
  std::size_t requests_in_progress() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace tanagerloom

#endif  // HTTP_HTTP_SERVER_H_
