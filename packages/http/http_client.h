// Defines HttpClient, an HTTP/1.1 client for fibers. Its failures carry a
// verdict, which tells whether the request may have run.
#ifndef HTTP_HTTP_CLIENT_H_
#define HTTP_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/address.h"
#include "base/error.h"
#include "base/verdict.h"
#include "http/buffer_budget.h"
#include "http/http_message.h"
#include "runtime/clock.h"

namespace boost::asio {
class io_context;
}

namespace tanagerloom {

class HttpConnection;
class HttpExchange;

/// A failed HTTP call.
struct HttpFailure {
  Error error;
  Verdict verdict = Verdict::kMayHaveRun;
};

/// A value or an HttpFailure.
template <typename T>
using HttpResult = BOOST_OUTCOME_V2_NAMESPACE::
    result<T, HttpFailure, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Limits of one call.
struct HttpCallOptions {
  /// Deadline of HttpClient::Call for the whole response, and of
  /// HttpClient::Start for the head of the response.
  TimePoint deadline;
  bool fresh_connection = false;  ///< Whether to use no idle connection.
  /// Limit on the body of the response; a longer one is an error.
  std::uint64_t max_body_bytes = 16ULL * 1024 * 1024;
  /// Called immediately before the request is written, for a request that may
  /// be sent only while a condition holds: connecting takes time, and the
  /// process may be suspended meanwhile. If it returns false, the call fails
  /// with the verdict kNotRun.
  std::function<bool()> may_send = {};
  /// Called once the whole request is written.
  std::function<void()> on_written = {};
};

/// HTTP client that keeps a pool of idle connections for each address. All
/// bodies that are being read share a limited amount of memory; a response that
/// would exceed it fails.
class HttpClient {
 public:
  static constexpr std::size_t kDefaultBufferBytes = 64UL * 1024 * 1024;

  explicit HttpClient(boost::asio::io_context& io,
                      std::size_t buffer_bytes = kDefaultBufferBytes);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request and reads the whole response.
  HttpResult<HttpResponse> Call(const Address& address,
                                const HttpRequest& request,
                                const HttpCallOptions& options);

  /// Sends a request and reads the head of the response. The body is then read
  /// from the exchange as it arrives.
  HttpResult<std::unique_ptr<HttpExchange>> Start(
      const Address& address,
      const HttpRequest& request,
      const HttpCallOptions& options);

  /// Whether something listens at the address: opens a connection and closes it
  /// without sending a request.
  bool CanConnect(const Address& address, TimePoint deadline);

  /// Memory of the bodies that are being read.
  std::size_t buffered_bytes() const;

 private:
  friend class HttpExchange;

  /// Shared with the exchanges, which may outlive the client.
  struct State;

  /// Removes an idle connection that is still usable from the pool; null if
  /// there is none.
  std::unique_ptr<HttpConnection> TakeIdleConnection(const Address& address);

  boost::asio::io_context& io_;
  std::shared_ptr<State> state_;
};

/// A response whose body is being read.
class HttpExchange {
 public:
  HttpExchange(std::unique_ptr<HttpConnection> connection,
               std::shared_ptr<HttpClient::State> client);
  /// Returns the connection to the pool if the response is complete, and closes
  /// it otherwise.
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  int status() const;
  const HttpHeaders& headers() const;

  /// Appends the next bytes of the body to `out` and returns their number,
  /// which is 0 at the end of the response. A truncated response is an error,
  /// and so is one for which `out` would use more memory than it may.
  HttpResult<std::size_t> ReadSome(std::string& out, TimePoint deadline);

  /// Whether the whole response has been read.
  bool complete() const;

  /// Closes the connection; a pending read fails.
  void Abort();

 private:
  std::unique_ptr<HttpConnection> connection_;
  std::shared_ptr<HttpClient::State> client_;
  BufferShare share_;  ///< Of the buffer that the body is read into.
};

}  // namespace tanagerloom

#endif  // HTTP_HTTP_CLIENT_H_
