// Defines HttpClient, an HTTP/1.1 client for fibers. Its failures carry a
// verdict, so that a caller of it knows whether the request may have run.
#ifndef HTTP_HTTP_CLIENT_H_
#define HTTP_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/error.h"
#include "base/verdict.h"
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
  TimePoint deadline;  ///< For the whole call, or up to the response's head.
  bool fresh_connection = false;  ///< Never reuse an idle connection.
  std::uint64_t max_body_bytes = 16ULL * 1024 * 1024;
  /// Asked right before the request is written, for a request that may only be
  /// sent while a condition holds; connecting takes time, in which the process
  /// may also be suspended. False ends the call as not run.
  std::function<bool()> may_send = {};
};

/// HTTP client with a pool of idle connections for each address.
class HttpClient {
 public:
  explicit HttpClient(boost::asio::io_context& io);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request and reads the whole response.
  HttpResult<HttpResponse> Call(const Address& address,
                                const HttpRequest& request,
                                const HttpCallOptions& options);

  /// Sends a request and reads the response's head; the body is then read from
  /// the exchange as it arrives.
  HttpResult<std::unique_ptr<HttpExchange>> Start(
      const Address& address,
      const HttpRequest& request,
      const HttpCallOptions& options);

  /// Opens a connection and closes it again, without a request: whether
  /// something listens at the address.
  bool Probe(const Address& address, TimePoint deadline);

 private:
  friend class HttpExchange;
  using Idle = std::map<Address, std::vector<std::unique_ptr<HttpConnection>>>;

  std::unique_ptr<HttpConnection> TakeIdle(const Address& address);

  boost::asio::io_context& io_;
  std::shared_ptr<Idle> idle_;
};

/// A response whose body is being read.
class HttpExchange {
 public:
  HttpExchange(std::unique_ptr<HttpConnection> connection,
               std::weak_ptr<HttpClient::Idle> idle);
  /// Returns the connection to the pool if the response is complete, and closes
  /// it otherwise.
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  int status() const;
  const HttpHeaders& headers() const;

  /// Appends the next bytes of the body to `out` and returns their number; 0 is
  /// the proper end of the response. A response cut before its end is an error.
  HttpResult<std::size_t> ReadSome(std::string& out, TimePoint deadline);

  /// Whether the whole response has been read.
  bool complete() const;

  /// Closes the connection; a pending read fails.
  void Abort();

 private:
  std::unique_ptr<HttpConnection> connection_;
  std::weak_ptr<HttpClient::Idle> idle_;
};

}  // namespace tanagerloom

#endif  // HTTP_HTTP_CLIENT_H_
