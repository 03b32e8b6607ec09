#include "forwarding/endpoint_attempt.h"

#include <algorithm>

#include "forwarding/upload_limit.h"
#include "http/http_connection.h"

namespace tanagerloom {

namespace {

// An endpoint that accepts no connection within this time is unreachable: some
// hundred times the network latency within a region.
constexpr auto kConnectTimeout = std::chrono::milliseconds(500);
// Maximum size of a response body.
constexpr std::uint64_t kMaxResponseBytes = 64ULL * 1024 * 1024;

}  // namespace

std::string_view AttemptFailureName(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kUnreachable:
      return "unreachable";
    case AttemptFailure::kBroken:
      return "broken";
    case AttemptFailure::kSilent:
      return "silent";
    case AttemptFailure::kOversized:
      return "oversized";
    case AttemptFailure::kForeign:
      return "foreign";
    case AttemptFailure::kAborted:
      return "aborted";
  }
  return "broken";
}

EndpointAttempt::EndpointAttempt(boost::asio::io_context& io,
                                 const RequestProtocol& protocol,
                                 const Clock& clock,
                                 BufferBudget& buffers,
                                 const Address& endpoint)
    : protocol_(protocol),
      clock_(clock),
      connection_(std::make_unique<HttpConnection>(io, endpoint)),
      share_(buffers) {}

EndpointAttempt::~EndpointAttempt() = default;

AttemptError EndpointAttempt::Failure(const HttpFailure& failure) const {
  if (aborted_) {
    return {AttemptFailure::kAborted, failure.verdict, "the client left"};
  }
  const auto kind = failure.error.kind == ErrorKind::kTimeout
                        ? AttemptFailure::kSilent
                        : AttemptFailure::kBroken;
  return {kind, failure.verdict, failure.error.message};
}

AttemptResult<void> EndpointAttempt::Connect(TimePoint deadline) {
  const auto until = std::min(deadline, clock_.Now() + kConnectTimeout);
  const auto connected = connection_->Connect(until);
  if (!connected) {
    auto error = Failure(connected.assume_error());
    if (!aborted_) {
      error.failure = AttemptFailure::kUnreachable;
    }
    error.verdict = Verdict::kNotRun;
    return error;
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

AttemptResult<void> EndpointAttempt::Send(const HttpRequest& head,
                                          std::string_view body,
                                          Upload& upload,
                                          const std::string& attempt,
                                          TimePoint deadline) {
  const auto sent =
      connection_->Send(head, body,
                        {.deadline = deadline,
                         .max_body_bytes = kMaxResponseBytes,
                         .on_written = [&upload] { upload.End(); }});
  if (!sent) {
    return Failure(sent.assume_error());
  }
  traits_ = protocol_.ReadResponse(status(), headers());
  if (!traits_.attempt_id.empty() && traits_.attempt_id != attempt) {
    return AttemptError{AttemptFailure::kForeign, Verdict::kMayHaveRun,
                        "the answer names attempt " + traits_.attempt_id};
  }
  if (!traits_.not_run && (!traits_.from_endpoint || traits_.encoded)) {
    return AttemptError{AttemptFailure::kForeign, Verdict::kMayHaveRun,
                        "the answer bears no seal of the endpoint"};
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

AttemptResult<std::size_t> EndpointAttempt::Read(std::string& out,
                                                 TimePoint deadline) {
  const auto n = connection_->ReadSome(out, deadline);
  if (!n) {
    return Failure(n.assume_error());
  }
  if (!share_.Resize(out.size())) {
    connection_->Close();
    return AttemptError{
        AttemptFailure::kOversized, Verdict::kMayHaveRun,
        "unfinished after " + std::to_string(out.size()) + " buffered bytes"};
  }
  return n.assume_value();
}

void EndpointAttempt::Abort() {
  aborted_ = true;
  connection_->Close();
}

int EndpointAttempt::status() const {
  return connection_->status();
}

const HttpHeaders& EndpointAttempt::headers() const {
  return connection_->headers();
}

}  // namespace tanagerloom
