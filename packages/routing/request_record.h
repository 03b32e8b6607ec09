// Defines RequestRecord, which tracks one request from its acceptance to its
// answer and checks the invariants of the request path.
#ifndef ROUTING_REQUEST_RECORD_H_
#define ROUTING_REQUEST_RECORD_H_

#include <cstdint>
#include <string>

#include "base/verdict.h"

namespace tanagerloom {

/// The dispatches and the answer of one request. These invariants are checked
/// in every build:
/// - a request is answered once, unless its client disconnects;
/// - a request that is not retryable is dispatched again only if no earlier
///   dispatch ran;
/// - a refusal states "not run" only if no dispatch ran;
/// - nothing is dispatched after the answer.
class RequestRecord {
 public:
  RequestRecord(std::string id, bool retryable);
  /// Checks that the request was answered or its client disconnected.
  ~RequestRecord();
  RequestRecord(const RequestRecord&) = delete;
  RequestRecord& operator=(const RequestRecord&) = delete;

  /// Must be called before the request is sent to an endpoint.
  void OnDispatch();

  /// Records the verdict of the latest dispatch.
  void OnVerdict(Verdict verdict);

  /// Must be called before the answer is sent. `verdict` is what the answer
  /// states.
  void OnAnswer(Verdict verdict);

  /// Records that the client disconnected before the answer, so that no answer
  /// is required.
  void OnClientGone() { client_gone_ = true; }

  /// Whether the request may be dispatched now, for the first time or as a
  /// retry.
  bool MayDispatch() const;

  /// The verdict that a refusal sent now has to state: kNotRun if no dispatch
  /// ran, else kMayHaveRun.
  Verdict verdict() const;

  bool answered() const { return answers_ > 0; }
  std::uint32_t dispatches() const { return dispatches_; }
  const std::string& id() const { return id_; }
  bool retryable() const { return retryable_; }

 private:
  std::string id_;
  bool retryable_;
  std::uint32_t dispatches_ = 0;
  std::uint32_t not_run_ = 0;  ///< Dispatches whose verdict is kNotRun.
  std::uint32_t answers_ = 0;
  bool client_gone_ = false;
};

}  // namespace tanagerloom

#endif  // ROUTING_REQUEST_RECORD_H_
