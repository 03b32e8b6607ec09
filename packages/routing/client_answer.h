// Defines ClientAnswer, the only way to answer a caller: it binds the responder
// to the request's record, so that every request gets exactly one answer.
#ifndef ROUTING_CLIENT_ANSWER_H_
#define ROUTING_CLIENT_ANSWER_H_

#include <chrono>
#include <string_view>

#include "http/http_message.h"
#include "http/http_responder.h"
#include "routing/refusal.h"
#include "routing/request_record.h"

namespace tanagerloom {

class EventLog;

/// The answer to one request.
class ClientAnswer {
 public:
  ClientAnswer(HttpResponder& responder, RequestRecord& record, EventLog& log);

  /// Sends an endpoint's whole response. False if the caller has left.
  bool Send(HttpResponse response);

  /// Sends a refusal. Its verdict is raised to what the record knows.
  void Refuse(Refusal refusal);

  /// Starts a streamed answer.
  bool StartStream(int status, HttpHeaders headers);

  /// States in the answer's X-Cold-Wait-Ms header how long the request waited
  /// for a replica to be loaded.
  void SetColdWait(std::chrono::milliseconds wait) { cold_wait_ = wait; }
  bool Write(std::string_view bytes);
  /// Ends the stream properly; only after the end marker was relayed.
  void Finish();
  /// Ends a stream that cannot be completed: an error event, then the
  /// connection is closed without the end marker.
  void AbortStream(const Refusal& refusal);

  /// Ends without an answer, since the caller has left.
  void Abandon();

  bool started() const { return started_; }
  bool IsClientGone() const { return client_gone_ || responder_.client_gone(); }
  std::size_t bytes_written() const { return bytes_written_; }
  HttpResponder& responder() { return responder_; }
  RequestRecord& record() { return record_; }

 private:
  void AddHeaders(HttpHeaders& headers) const;

  HttpResponder& responder_;
  RequestRecord& record_;
  EventLog& log_;
  std::chrono::milliseconds cold_wait_{0};
  bool started_ = false;
  bool client_gone_ = false;
  std::size_t bytes_written_ = 0;
};

}  // namespace tanagerloom

#endif  // ROUTING_CALLER_ANSWER_H_
