// Defines HttpConnection, one client connection. It serves HttpClient, and code
// that must be able to abort a request before its response starts.
#ifndef HTTP_HTTP_CONNECTION_H_
#define HTTP_HTTP_CONNECTION_H_

#include <memory>
#include <string>
#include <string_view>

#include "base/address.h"
#include "http/http_client.h"

namespace tanagerloom {

/// A connection that carries one request at a time.
class HttpConnection {
 public:
  HttpConnection(boost::asio::io_context& io, Address address);
  ~HttpConnection();

  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Connects to the address; the verdict of a failure is kNotRun.
  HttpResult<void> Connect(TimePoint deadline);
  /// Writes the request and reads the head of the response.
  HttpResult<void> Send(const HttpRequest& request,
                        const HttpCallOptions& options) {
    return Send(request, request.body, options);
  }
  /// As above, with a body that the caller holds; that of `head` is not used.
  HttpResult<void> Send(const HttpRequest& head,
                        std::string_view body,
                        const HttpCallOptions& options);
  /// Appends the next bytes of the body to `out` and returns their number,
  /// which is 0 at the end of the response. Input that had arrived by the
  /// deadline is returned also after it. After a timeout it may be called
  /// again.
  HttpResult<std::size_t> ReadSome(std::string& out, TimePoint deadline);

  /// Whether an idle connection is still open and has received no unexpected
  /// input.
  bool IsUsable();
  /// Whether the response is complete and the connection may be used again.
  bool IsReusable() const;
  /// Whether the whole response has been read.
  bool complete() const;
  /// Closes the connection; a pending operation fails.
  void Close();

  int status() const { return status_; }
  const HttpHeaders& headers() const { return headers_; }
  const Address& address() const { return address_; }

 private:
  /// Reads the head of the answer, after any interim responses.
  HttpResult<void> ReadHead(const HttpRequest& request,
                            const HttpCallOptions& options);

  struct Impl;
  std::unique_ptr<Impl> impl_;
  Address address_;
  int status_ = 0;
  HttpHeaders headers_;
};

}  // namespace tanagerloom

#endif  // HTTP_HTTP_CONNECTION_H_
