// Defines the HTTP requests and responses that other packages use, so that
// their headers do not include the HTTP library.
#ifndef HTTP_HTTP_MESSAGE_H_
#define HTTP_HTTP_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerloom {

/// One header field.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// Header fields in the order they were added. Names are case-insensitive.
class HttpHeaders {
 public:
  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<HttpHeader> fields) : fields_(fields) {}

  /// The first value of `name`, if present.
  std::optional<std::string_view> Find(std::string_view name) const;

  /// All values of `name`, in their order.
  std::vector<std::string_view> FindAll(std::string_view name) const;

  /// Replaces every value of `name`.
  void Set(std::string_view name, std::string_view value);

  /// Appends a field, also if `name` is already present.
  void Add(std::string_view name, std::string_view value);

  const std::vector<HttpHeader>& fields() const { return fields_; }

 private:
  std::vector<HttpHeader> fields_;
};

/// A request with its whole body.
struct HttpRequest {
  std::string method;
  std::string target;  ///< Path and query, percent-encoded as sent.
  HttpHeaders headers;
  std::string body;
  std::string client_ip = {};  ///< Sender's address; empty if unknown.

  /// The target without its query.
  std::string_view Path() const;

  /// The decoded value of the query parameter `name`, if present.
  std::optional<std::string> Query(std::string_view name) const;
};

/// A response with its whole body.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

/// A response with a JSON body.
HttpResponse JsonResponse(int status, std::string body);

/// Decodes %XX escapes; malformed escapes stay unchanged.
std::string PercentDecode(std::string_view text);

/// Percent-encodes all bytes except unreserved characters and '/'.
std::string PercentEncode(std::string_view text);

}  // namespace tanagerloom

#endif  // HTTP_HTTP_MESSAGE_H_
