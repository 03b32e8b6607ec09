// Defines HttpServer, an HTTP/1.1 server with one fiber for each connection.
#ifndef HTTP_HTTP_SERVER_H_
#define HTTP_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
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
class RequestMemory;

/// Limits on the connections and requests of clients.
struct HttpServerLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 8ULL * 1024 * 1024;
  Duration read_timeout = std::chrono::seconds(30);   ///< To read one request.
  Duration idle_timeout = std::chrono::seconds(120);  ///< Without a request.
  Duration write_timeout = std::chrono::seconds(60);  ///< For each write.
  std::size_t max_connections = 20000;
  /// Limit on the connections together with the requests that are handled, each
  /// of which may need a connection to an endpoint.
  std::size_t max_sockets = std::numeric_limits<std::size_t>::max();
};

/// Accepts connections and calls a handler for each request. A connection that
/// exceeds a limit is closed, and with it one whose client is stalled or has
/// sent nothing for long. A malformed or too large request is refused without
/// calling the handler, and so is one for which there is no memory.
class HttpServer {
 public:
  /// Handles one request. It answers through the responder before it returns.
  using Handler = std::function<void(const HttpRequest&, HttpResponder&)>;

  /// Requests share `memory`, which must outlive the process's fibers. Without
  /// it, only their single sizes are limited.
  HttpServer(boost::asio::io_context& io,
             HttpServerLimits limits,
             Handler handler,
             RequestMemory* memory = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Listens and starts to accept connections. Port 0 selects a free port.
  /// Returns the bound address; kInvalid for an invalid IP address,
  /// kUnavailable if the address cannot be bound.
  Result<Address> Listen(const Address& address);

  /// Changes the limits for subsequent requests.
  void SetLimits(const HttpServerLimits& limits);

  /// Closes each connection after its next response, which announces it. New
  /// connections are still accepted.
  void AnnounceClose();

  /// Stops accepting connections and closes idle ones. Requests in flight
  /// continue, and their connections close after the response.
  void StopAccepting();

  /// Number of requests whose handler is running.
  std::size_t requests_in_flight() const;

  /// Number of open connections.
  std::size_t connections() const;
  /// Number of connections closed because a limit on connections was reached.
  std::uint64_t closed_at_limit() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace tanagerloom

#endif  // HTTP_HTTP_SERVER_H_
