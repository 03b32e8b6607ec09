// Defines EndpointAttempt, which sends a request to one endpoint once and reads
// the response.
#ifndef FORWARDING_ENDPOINT_ATTEMPT_H_
#define FORWARDING_ENDPOINT_ATTEMPT_H_

#include <memory>
#include <string>
#include <string_view>

#include "base/address.h"
#include "base/verdict.h"
#include "forwarding/request_protocol.h"
#include "http/buffer_budget.h"
#include "http/http_client.h"
#include "http/http_message.h"
#include "runtime/clock.h"

namespace boost::asio {
class io_context;
}

namespace tanagerloom {

class HttpConnection;
class Upload;

/// Why an attempt failed.
enum class AttemptFailure {
  kUnreachable,  ///< No connection; nothing was sent.
  kBroken,       ///< The connection broke before the response was complete.
  kSilent,       ///< No response, or no further bytes of it, in time.
  kOversized,    ///< The response uses up the memory that it may use.
  kForeign,  ///< The response is not the endpoint's response to this request.
  kAborted,  ///< This node ended it because the client disconnected.
};

/// Returns the name of a failure in events.
std::string_view AttemptFailureName(AttemptFailure failure);

/// Failure of one step of an attempt.
struct AttemptError {
  AttemptFailure failure = AttemptFailure::kBroken;
  Verdict verdict = Verdict::kMayHaveRun;
  std::string detail;
};

template <typename T>
using AttemptResult = BOOST_OUTCOME_V2_NAMESPACE::
    result<T, AttemptError, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// One connection to one endpoint for one request. Connections are not reused,
/// so that bytes an endpoint sends after a response cannot be taken for the
/// response to another request, and closing a connection cancels exactly one
/// request.
class EndpointAttempt {
 public:
  EndpointAttempt(boost::asio::io_context& io,
                  const RequestProtocol& protocol,
                  const Clock& clock,
                  BufferBudget& buffers,
                  const Address& endpoint);
  ~EndpointAttempt();

  /// Connects to the endpoint; a failure means that the request did not run.
  AttemptResult<void> Connect(TimePoint deadline);

  /// Sends the request, whose body the caller holds, and reads the response
  /// headers; `upload` ends when the request is written. Fails with kForeign if
  /// the response is for another attempt or did not come from the endpoint.
  AttemptResult<void> Send(const HttpRequest& head,
                           std::string_view body,
                           Upload& upload,
                           const std::string& attempt,
                           TimePoint deadline);

  /// Appends the next bytes of the response body to `out` and returns their
  /// number; 0 at the end of a complete body. Fails with kOversized if `out`
  /// would outgrow its share of the buffer budget. May be called again after it
  /// failed with kSilent.
  AttemptResult<std::size_t> Read(std::string& out, TimePoint deadline);

  /// Closes the connection; a step in flight fails with kAborted.
  void Abort();

  int status() const;
  const HttpHeaders& headers() const;
  const ResponseTraits& traits() const { return traits_; }

 private:
  /// Converts a failure of the connection.
  AttemptError Failure(const HttpFailure& failure) const;

  const RequestProtocol& protocol_;
  const Clock& clock_;
  std::unique_ptr<HttpConnection> connection_;
  BufferShare share_;  ///< Of the bytes that were read and not yet taken.
  ResponseTraits traits_;
  bool aborted_ = false;
};

}  // namespace tanagerloom

#endif  // FORWARDING_ENDPOINT_ATTEMPT_H_
