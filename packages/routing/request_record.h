// Defines RequestRecord, which follows one request from its acceptance to its
// answer and checks the invariants of the request path.
#ifndef ROUTING_REQUEST_RECORD_H_
#define ROUTING_REQUEST_RECORD_H_

#include <cstdint>
#include <string>

#include "base/verdict.h"

namespace tanagerloom {

/// The dispatches and the answer of one request. Checked always:
/// one answer; a request that may not be repeated is dispatched again only if
/// every earlier dispatch did not run; no refusal says "not run" after a
/// dispatch with another verdict; nothing is dispatched after the answer.
class RequestRecord {
 public:
  RequestRecord(std::string id, bool retryable);
  /// Checks that the request was answered or its caller left.
  ~RequestRecord();
  RequestRecord(const RequestRecord&) = delete;
  RequestRecord& operator=(const RequestRecord&) = delete;

  /// The request is about to be sent to an endpoint.
  void OnDispatch();

  /// The verdict of the dispatch in progress.
  void OnVerdict(Verdict verdict);

  /// The single answer is about to be sent; `verdict` is what it states.
  void OnAnswer(Verdict verdict);

  /// The caller left before the answer, so none is owed.
  void OnClientGone() { client_gone_ = true; }

  /// Whether a repeated dispatch is allowed now.
  bool MayDispatch() const;

  /// What a refusal sent now has to state.
  Verdict verdict() const;

  bool answered() const { return answers_ > 0; }
  std::uint32_t dispatches() const { return dispatches_; }
  const std::string& id() const { return id_; }
  bool retryable() const { return retryable_; }

 private:
  std::string id_;
  bool retryable_;
  std::uint32_t dispatches_ = 0;
  std::uint32_t not_run_ = 0;
  std::uint32_t answers_ = 0;
  bool client_gone_ = false;
};

}  // namespace tanagerloom

#endif  // ROUTING_REQUEST_RECORD_H_
