// Defines HttpConnection, one client connection, for HttpClient and for callers
// that must be able to abort a request before its response begins.
#ifndef HTTP_HTTP_CONNECTION_H_
#define HTTP_HTTP_CONNECTION_H_

#include <memory>
#include <string>

#include "base/address.h"
#include "http/http_client.h"

namespace tanagerloom {

/// A connection on which one request runs at a time.
class HttpConnection {
 public:
  HttpConnection(boost::asio::io_context& io, Address address);
  ~HttpConnection();

  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  HttpResult<void> Connect(TimePoint deadline);
  /// Writes the request and reads the response's head.
  HttpResult<void> Send(const HttpRequest& request,
                        const HttpCallOptions& options);
  /// Appends the next bytes of the body to `out`; 0 is the proper end. After a
  /// timeout it may be called again.
  HttpResult<std::size_t> ReadSome(std::string& out, TimePoint deadline);

  /// Whether an idle connection is still open and has no stray input.
  bool Usable();
  /// Whether the response is complete and the connection may be used again.
  bool Reusable() const;
  bool complete() const;
  /// Closes the connection; a pending operation fails.
  void Close();

  int status() const { return status_; }
  const HttpHeaders& headers() const { return headers_; }
  const Address& address() const { return address_; }

 private:
  HttpResult<void> ReadHead(TimePoint deadline);

  struct Impl;
  std::unique_ptr<Impl> impl_;
  Address address_;
  int status_ = 0;
  HttpHeaders headers_;
};

}  // namespace tanagerloom

#endif  // HTTP_HTTP_CONNECTION_H_
