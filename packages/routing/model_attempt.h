// Defines ModelAttempt: one dispatch of a model request to an engine, with the
// relay of its stream and its resumption over new connections.
#ifndef ROUTING_MODEL_ATTEMPT_H_
#define ROUTING_MODEL_ATTEMPT_H_

#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "base/address.h"
#include "base/verdict.h"
#include "http/http_client.h"
#include "http/http_message.h"
#include "routing/cancel_source.h"
#include "routing/client_answer.h"
#include "routing/client_request.h"
#include "routing/event_stream.h"
#include "routing/routing_dependencies.h"

namespace tanagerloom {

class EndpointSlot;

/// The caller has its complete answer.
struct AttemptDone {};

/// The engine answered with something that is passed on as it is.
struct AttemptResponse {
  HttpResponse response;
};

/// The endpoint did not serve the request.
struct AttemptFailed {
  Verdict verdict = Verdict::kMayHaveRun;
  std::string cause;
  std::optional<Duration> backpressure;  ///< The endpoint asked for a pause.
  bool leaving = false;                  ///< The endpoint said that it leaves.
  bool model_missing = false;    ///< The engine does not hold the model.
  bool endpoint_fault = true;    ///< Counts against the endpoint's breaker.
  bool suspected_crash = false;  ///< The connection broke while it ran.
};

/// The stream broke after bytes had reached the caller.
struct AttemptBroken {
  std::string cause;
  bool suspected_crash = false;
};

/// The caller left, or the deadline passed while the request ran.
struct AttemptCancelled {};
struct AttemptExpired {};

using AttemptOutcome = std::variant<AttemptDone,
                                    AttemptResponse,
                                    AttemptFailed,
                                    AttemptBroken,
                                    AttemptCancelled,
                                    AttemptExpired>;

/// One dispatch. The record's OnDispatch is called before it.
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

  AttemptOutcome Run();

 private:
  struct ReadFailure {
    std::string cause;
    bool connection_broken = false;  ///< Closed by the other side.
    bool before_head = false;  ///< A stale idle connection fails like this.
  };

  std::optional<AttemptOutcome> Open();
  std::optional<AttemptOutcome> Resume(const ReadFailure& failure);
  std::optional<AttemptOutcome> OpenResumed(const ReadFailure& failure);
  AttemptOutcome Relay();
  AttemptOutcome ReadFullResponse();
  std::optional<AttemptOutcome> Deliver();
  std::optional<ReadFailure> ReadOnce();
  AttemptOutcome Complete();
  AttemptOutcome HandleRefusal(const HttpResponse& response) const;
  AttemptOutcome MakeFailure(std::string cause, bool suspected_crash) const;
  std::optional<AttemptOutcome> CheckInterrupted();
  bool AnswersThisRequest() const;
  void CancelAtEngine();
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
  std::string collected_events_;
  int resumes_without_data_ = 0;
};

}  // namespace tanagerloom

#endif  // ROUTING_MODEL_ATTEMPT_H_
