// Defines ClientAnswer, the only way to answer a client. It reports every
// answer to the request's RequestRecord, so that each request gets exactly one
// answer.
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

/// The answer to one request: a whole response, a refusal or an event stream.
/// Functions that send return false if the client has disconnected.
class ClientAnswer {
 public:
  ClientAnswer(HttpResponder& responder, RequestRecord& record, EventLog& log);

  /// Sends an endpoint's whole response. Returns false if the client has
  /// disconnected.
  bool Send(HttpResponse response);

  /// Sends a refusal. A verdict of kNotRun is replaced by the record's verdict,
  /// so that the refusal never claims "not run" for a request that may have
  /// run.
  void Refuse(Refusal refusal);

  /// Sends the head of a streamed response.
  bool StartStream(int status, HttpHeaders headers);

  /// Sets the value of the X-Cold-Wait-Ms header: how long the request waited
  /// for a replica to be loaded. The header is omitted for zero.
  void SetColdWait(std::chrono::milliseconds wait) { cold_wait_ = wait; }
  /// Sends a part of the stream's body.
  bool Write(std::string_view bytes);
  /// Completes the stream. Must be called only after the end marker was
  /// relayed.
  void Finish();
  /// Ends a stream that cannot be completed: sends the refusal as an error
  /// event, then closes the connection without the end marker.
  void AbortStream(const Refusal& refusal);

  /// Ends the request without an answer, since the client has disconnected.
  void Abandon();

  /// Whether the answer, or the head of a stream, was sent.
  bool started() const { return started_; }
  bool IsClientGone() const { return client_gone_ || responder_.client_gone(); }
  /// Size of the body sent so far, in bytes.
  std::size_t bytes_written() const { return bytes_written_; }
  HttpResponder& responder() { return responder_; }
  RequestRecord& record() { return record_; }

 private:
  /// Adds the headers that every answer carries.
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

#endif  // ROUTING_CLIENT_ANSWER_H_
