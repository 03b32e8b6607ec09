// Defines ModelAttempt, one dispatch of a model request to an engine. It relays
// the engine's stream and resumes it over a new connection if one breaks.
#ifndef ROUTING_MODEL_ATTEMPT_H_
#define ROUTING_MODEL_ATTEMPT_H_

#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "base/address.h"
#include "base/verdict.h"
#include "http/endpoint_statement.h"
#include "http/http_client.h"
#include "http/http_message.h"
#include "routing/cancel_source.h"
#include "routing/client_answer.h"
#include "routing/client_request.h"
#include "routing/event_stream.h"
#include "routing/routing_dependencies.h"

namespace tanagerloom {

class EndpointSlot;

/// The client was sent its complete answer.
struct AttemptDone {};

/// The engine answered with a response that is passed on unchanged: a client
/// error, or a completion that is not streamed.
struct AttemptResponse {
  HttpResponse response;
};

/// The engine did not serve the request, and no part of the answer was sent.
struct AttemptFailed {
  Verdict verdict = Verdict::kMayHaveRun;
  std::string cause;
  EndpointStatement statement;  ///< What the endpoint says of itself.
  bool model_missing = false;   ///< The engine has not loaded the model.
  /// Whether the failure counts against the endpoint's circuit breaker.
  bool endpoint_fault = true;
  /// Whether the connection broke as it does in a crash of the engine.
  bool suspected_crash = false;
};

/// The stream broke, and could not be resumed, after a part of it was sent.
struct AttemptBroken {
  std::string cause;
  bool suspected_crash = false;
};

/// The client disconnected while the request ran.
struct AttemptCancelled {};

/// The deadline passed while the request ran.
struct AttemptExpired {};

/// How an attempt ended.
using AttemptOutcome = std::variant<AttemptDone,
                                    AttemptResponse,
                                    AttemptFailed,
                                    AttemptBroken,
                                    AttemptCancelled,
                                    AttemptExpired>;

/// One attempt. RequestRecord::OnDispatch() must be called before Run(). While
/// the object exists, a cancellation aborts the request at the engine.
class ModelAttempt {
 public:
  ModelAttempt(const RoutingDependencies& deps,
               const ClientRequest& request,
               const ModelCall& call,
               std::string attempt_id,
               const EndpointSlot& slot,
               ClientAnswer& answer,
               CancelSource& cancel);
  ~ModelAttempt();
  ModelAttempt(const ModelAttempt&) = delete;
  ModelAttempt& operator=(const ModelAttempt&) = delete;

  /// Sends the request and relays the answer. Suspends until the attempt ends.
  AttemptOutcome Run();

 private:
  /// Why the response could not be read on.
  struct ReadFailure {
    std::string cause;
    /// Whether the connection broke. False for a timeout and for a wrong or
    /// incomplete response.
    bool connection_broken = false;
    /// Failed before the response head, as requests over a stale idle
    /// connection do.
    bool before_head = false;
  };

  /// Sends the request. Returns nothing if a response head was received, also
  /// over a resumed connection, so that the response can be read.
  std::optional<AttemptOutcome> Open();
  /// Resumes the stream after a failure. Returns nothing if it goes on.
  std::optional<AttemptOutcome> Resume(const ReadFailure& failure);
  /// Requests the rest of the stream. Returns nothing if it was opened.
  std::optional<AttemptOutcome> OpenResumed(const ReadFailure& failure);
  /// Relays the stream until it ends or fails.
  AttemptOutcome Relay();
  /// Reads a response that is not a stream.
  AttemptOutcome ReadFullResponse();
  /// Sends the complete events received so far to the client, or collects
  /// them. Returns an outcome if the client has disconnected.
  std::optional<AttemptOutcome> Deliver();
  /// Reads the bytes that have arrived; waits until there are some.
  std::optional<ReadFailure> ReadOnce();
  /// Completes the answer after the end marker.
  AttemptOutcome Complete();
  /// The outcome of a response that refuses the request.
  AttemptOutcome HandleRefusal(const HttpResponse& response) const;
  /// The outcome of a failure: AttemptBroken if the answer has started.
  AttemptOutcome MakeFailure(std::string cause, bool suspected_crash) const;
  /// The outcome if the request was cancelled or, before the answer has
  /// started, its deadline has passed.
  std::optional<AttemptOutcome> CheckInterrupted();
  /// Whether the response carries the id of this attempt.
  bool AnswersThisRequest() const;
  /// Asks the engine to cancel the request, without waiting for an answer.
  void CancelAtEngine();
  /// Deadline of the next read: the progress timeout and, before the answer has
  /// started, the request's deadline.
  TimePoint ReadDeadline() const;

  const RoutingDependencies& deps_;
  const ClientRequest& request_;
  const ModelCall& call_;
  std::string attempt_id_;
  const EndpointSlot& slot_;
  ClientAnswer& answer_;
  CancelSource& cancel_;
  std::unique_ptr<HttpExchange> exchange_;
  EventStreamBuffer buffer_;
  std::string collected_events_;  ///< For an answer that is not streamed.
  int resumes_without_data_ = 0;  ///< In a row.
};

}  // namespace tanagerloom

#endif  // ROUTING_MODEL_ATTEMPT_H_
