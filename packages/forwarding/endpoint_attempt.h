// Defines EndpointAttempt, one sending of a request to one endpoint.
#ifndef FORWARDING_ENDPOINT_ATTEMPT_H_
#define FORWARDING_ENDPOINT_ATTEMPT_H_

#include <memory>
#include <string>

#include "base/address.h"
#include "base/verdict.h"
#include "forwarding/request_protocol.h"
#include "http/http_client.h"
#include "http/http_message.h"
#include "runtime/clock.h"

namespace boost::asio {
class io_context;
}

namespace tanagerloom {

class HttpConnection;

/// Why an attempt failed.
enum class AttemptFailure {
  kUnreachable,  ///< No connection: nothing was sent.
  kBroken,       ///< The connection ended before the whole answer.
  kSilent,       ///< No answer, or no progress of it, in time.
  kForeign,      ///< The answer is not the endpoint's answer to this request.
  kAborted,      ///< This node ended it, because the client left.
};

/// The name of a failure in events.
std::string_view AttemptFailureName(AttemptFailure failure);

/// A failed step of an attempt.
struct AttemptError {
  AttemptFailure failure = AttemptFailure::kBroken;
  Verdict verdict = Verdict::kMayHaveRun;
  std::string detail;
};

template <typename T>
using AttemptResult = BOOST_OUTCOME_V2_NAMESPACE::
    result<T, AttemptError, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// One connection to one endpoint for one request. Connections are not reused:
/// bytes that an endpoint sends after an answer then belong to no other
/// request, and closing one cancels exactly one request.
class EndpointAttempt {
 public:
  EndpointAttempt(boost::asio::io_context& io,
                  const RequestProtocol& protocol,
                  const Clock& clock,
                  const Address& endpoint);
  ~EndpointAttempt();

  AttemptResult<void> Connect(TimePoint deadline);

  /// Sends the request and reads the head of the answer.
  AttemptResult<void> Send(const HttpRequest& request,
                           const std::string& attempt,
                           TimePoint deadline);

  /// Appends the next bytes of the answer to `out`; 0 is its proper end. May be
  /// called again after it failed with kSilent.
  AttemptResult<std::size_t> Read(std::string& out, TimePoint deadline);

  /// Ends the attempt; a pending step fails with kAborted.
  void Abort();

  int status() const;
  const HttpHeaders& headers() const;
  const ResponseTraits& traits() const { return traits_; }

 private:
  AttemptError Failure(const HttpFailure& failure) const;

  const RequestProtocol& protocol_;
  const Clock& clock_;
  std::unique_ptr<HttpConnection> connection_;
  ResponseTraits traits_;
  bool aborted_ = false;
};

}  // namespace tanagerloom

#endif  // FORWARDING_ENDPOINT_ATTEMPT_H_
