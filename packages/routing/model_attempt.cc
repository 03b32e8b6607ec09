#include "routing/model_attempt.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <utility>

#include "base/event_log.h"
#include "base/events.h"
#include "config/settings.h"
#include "routing/completion_assembler.h"
#include "routing/endpoint_reply.h"
#include "routing/request_scheduler.h"

namespace tanagerloom {

namespace {

// Max number of resumptions in a row that bring no byte before a stream that
// has started at the client is abandoned.
constexpr int kMaxResumesWithoutData = 6;

// Max number of requests for the rest of a stream before it is abandoned, and
// the step by which the pause between them grows.
constexpr int kMaxResumeAttempts = 4;
constexpr Duration kResumeBackoff = std::chrono::milliseconds(100);

// Max wait for the end of a response whose end marker was received.
constexpr Duration kStreamEndTimeout = std::chrono::milliseconds(50);

constexpr Duration kCancelTimeout = std::chrono::seconds(2);

}  // namespace

ModelAttempt::ModelAttempt(const RoutingDependencies& deps,
                           const ClientRequest& request,
                           const ModelCall& call,
                           std::string attempt_id,
                           const EndpointSlot& slot,
                           ClientAnswer& answer,
                           CancelSource& cancel)
    : deps_(deps),
      request_(request),
      call_(call),
      attempt_id_(std::move(attempt_id)),
      slot_(slot),
      answer_(answer),
      cancel_(cancel) {
  cancel_.SetAction([this] {
    CancelAtEngine();
    if (exchange_ != nullptr) {
      exchange_->Abort();
    }
  });
}

ModelAttempt::~ModelAttempt() {
  cancel_.SetAction(nullptr);
}

AttemptOutcome ModelAttempt::Run() {
  if (auto outcome = Open()) {
    return std::move(*outcome);
  }
  if (exchange_ != nullptr) {
    const auto type = exchange_->headers().Find("Content-Type");
    if (exchange_->status() != 200 ||
        (type && !type->starts_with("text/event-stream"))) {
      return ReadFullResponse();
    }
  }
  return Relay();
}

std::optional<AttemptOutcome> ModelAttempt::CheckInterrupted() {
  if (cancel_.cancelled()) {
    return AttemptCancelled();
  }
  if (!answer_.started() && deps_.clock.Now() >= request_.deadline) {
    CancelAtEngine();
    return AttemptExpired();
  }
  return std::nullopt;
}

TimePoint ModelAttempt::ReadDeadline() const {
  const auto progress = deps_.clock.Now() + deps_.settings.progress_timeout;
  return answer_.started() ? progress : std::min(progress, request_.deadline);
}

bool ModelAttempt::AnswersThisRequest() const {
  const auto id = exchange_->headers().Find("X-Request-Id");
  return id && *id == attempt_id_;
}

AttemptOutcome ModelAttempt::MakeFailure(std::string cause,
                                         bool suspected_crash) const {
  if (answer_.started()) {
    return AttemptBroken{std::move(cause), suspected_crash};
  }
  AttemptFailed failed;
  failed.cause = std::move(cause);
  failed.suspected_crash = suspected_crash;
  return failed;
}

std::optional<AttemptOutcome> ModelAttempt::Open() {
  if (cancel_.cancelled()) {
    return AttemptCancelled();
  }
  auto started = deps_.http_client.Start(slot_.address(), call_.engine_request,
                                         {.deadline = ReadDeadline()});
  if (!started) {
    const auto& failure = started.assume_error();
    if (auto interrupted = CheckInterrupted()) {
      return interrupted;
    }
    if (failure.verdict == Verdict::kNotRun) {
      AttemptFailed failed;
      failed.verdict = Verdict::kNotRun;
      failed.cause = failure.error.message;
      return failed;
    }
    return Resume({failure.error.message,
                   failure.error.kind != ErrorKind::kTimeout,
                   /*before_head=*/true});
  }
  exchange_ = std::move(started.assume_value());
  if (cancel_.cancelled()) {
    // A cancellation sent to the engine before may have overtaken the request,
    // so it is sent again.
    CancelAtEngine();
    return AttemptCancelled();
  }
  if (!AnswersThisRequest()) {
    // The answer belongs to another request, so the connection cannot be used.
    exchange_->Abort();
    exchange_.reset();
    return Resume({"the answer carries another X-Request-Id", false});
  }
  return std::nullopt;
}

std::optional<AttemptOutcome> ModelAttempt::Resume(const ReadFailure& failure) {
  if (exchange_ != nullptr) {
    exchange_->Abort();
    exchange_.reset();
  }
  if (++resumes_without_data_ > kMaxResumesWithoutData && answer_.started()) {
    CancelAtEngine();
    return MakeFailure(failure.cause, /*suspected_crash=*/false);
  }
  return OpenResumed(failure);
}

// Requests the rest of the stream over a new connection. Once a part of the
// answer was sent, no other engine can continue it, so this is then retried a
// few times.
std::optional<AttemptOutcome> ModelAttempt::OpenResumed(
    const ReadFailure& failure) {
  buffer_.PrepareResume();
  const HttpRequest resume{"GET",
                           "/v1/streams/" + attempt_id_ + "?offset=" +
                               std::to_string(buffer_.consumed_events()) +
                               (call_.chat ? "&format=chat" : "&format=text"),
                           {{"X-Request-Id", attempt_id_}},
                           ""};
  const int max_attempts = answer_.started() ? kMaxResumeAttempts : 1;
  std::string cause = failure.cause;
  bool suspected_crash = false;
  for (int i = 0; i < max_attempts; ++i) {
    if (i > 0) {
      deps_.clock.SleepFor(kResumeBackoff * i);
    }
    auto started = deps_.http_client.Start(
        slot_.address(), resume,
        {.deadline = ReadDeadline(), .fresh_connection = true});
    if (auto interrupted = CheckInterrupted()) {
      return interrupted;
    }
    if (!started) {
      const auto& error = started.assume_error();
      suspected_crash =
          failure.connection_broken && error.verdict == Verdict::kNotRun;
      cause = failure.cause + "; " + error.error.message;
      continue;
    }
    exchange_ = std::move(started.assume_value());
    if (exchange_->status() == 200 && AnswersThisRequest()) {
      deps_.log.Record(events::kStreamResumed,
                       {{"request", request_.id},
                        {"endpoint", slot_.endpoint()},
                        {"offset", buffer_.consumed_events()},
                        {"cause", failure.cause}});
      return std::nullopt;
    }
    const int status = exchange_->status();
    exchange_->Abort();
    exchange_.reset();
    cause = failure.cause + "; the stream cannot be resumed: status " +
            std::to_string(status);
    suspected_crash = failure.connection_broken && !failure.before_head;
    if (status == 404) {
      break;
    }
  }
  CancelAtEngine();
  return MakeFailure(std::move(cause), suspected_crash);
}

// A broken connection, a timeout and an end without the end marker are
// failures.
std::optional<ModelAttempt::ReadFailure> ModelAttempt::ReadOnce() {
  auto read = exchange_->ReadSome(buffer_.input(), ReadDeadline());
  if (!read) {
    const auto& error = read.assume_error().error;
    return ReadFailure{error.message, error.kind != ErrorKind::kTimeout};
  }
  const auto n = read.assume_value();
  if (n == 0) {
    return ReadFailure{"the stream ended without its end marker", false};
  }

  resumes_without_data_ = 0;
  return std::nullopt;
}

AttemptOutcome ModelAttempt::Relay() {
  while (true) {
    if (auto failure = ReadOnce()) {
      if (auto interrupted = CheckInterrupted()) {
        return std::move(*interrupted);
      }
      if (auto outcome = Resume(*failure)) {
        return std::move(*outcome);
      }
      continue;
    }
    if (auto outcome = Deliver()) {
      return std::move(*outcome);
    }
    if (buffer_.ended()) {
      return Complete();
    }
    if (auto interrupted = CheckInterrupted()) {
      return std::move(*interrupted);
    }
  }
}

std::optional<AttemptOutcome> ModelAttempt::Deliver() {
  const auto events = buffer_.CompleteEvents();
  if (events.empty()) {
    return std::nullopt;
  }
  if (!call_.stream) {
    collected_events_ += events;
    buffer_.Consume(events.size());
    return std::nullopt;
  }
  if (!answer_.started()) {
    answer_.StartStream(200, {{"Content-Type", "text/event-stream"},
                              {"Cache-Control", "no-cache"}});
  }
  const bool written = answer_.Write(events);
  buffer_.Consume(events.size());
  if (!written) {
    if (!cancel_.cancelled()) {
      CancelAtEngine();
    }
    return AttemptCancelled();
  }
  return std::nullopt;
}

AttemptOutcome ModelAttempt::Complete() {
  if (call_.stream) {
    answer_.Finish();
  } else {
    auto body = AssembleCompletion(collected_events_);
    if (!body) {
      return MakeFailure(body.assume_error().message,
                         /*suspected_crash=*/false);
    }
    answer_.Send(JsonResponse(200, std::move(body.assume_value())));
  }
  // Reads the end of the response, so that the connection can be reused.
  std::string rest;
  (void)exchange_->ReadSome(rest, deps_.clock.Now() + kStreamEndTimeout);
  return AttemptDone();
}

// The response is an error, or a completion of an engine that does not stream.
AttemptOutcome ModelAttempt::ReadFullResponse() {
  HttpResponse response{exchange_->status(), {}, {}};
  if (const auto type = exchange_->headers().Find("Content-Type")) {
    response.headers.Set("Content-Type", *type);
  }
  while (true) {
    auto read = exchange_->ReadSome(response.body, ReadDeadline());
    if (!read) {
      if (auto interrupted = CheckInterrupted()) {
        return std::move(*interrupted);
      }
      const auto& error = read.assume_error().error;
      return MakeFailure(error.message, error.kind != ErrorKind::kTimeout);
    }
    if (read.assume_value() == 0) {
      break;
    }
  }
  if (response.status == 200 || IsClientError(response.status)) {
    return AttemptResponse{std::move(response)};
  }
  return HandleRefusal(response);
}

AttemptOutcome ModelAttempt::HandleRefusal(const HttpResponse& response) const {
  const auto reply =
      ParseRefusal(response.status, exchange_->headers(), response.body);
  AttemptFailed failed;
  // An engine that is overloaded or has not loaded the model has not run the
  // request.
  const bool not_run =
      reply.states_not_run || response.status == 429 || reply.model_missing;
  failed.verdict = not_run ? Verdict::kNotRun : Verdict::kMayHaveRun;
  failed.cause = "status " + std::to_string(response.status);
  failed.statement = reply.statement;
  failed.model_missing = reply.model_missing;
  failed.endpoint_fault = !not_run;
  return failed;
}

void ModelAttempt::CancelAtEngine() {
  boost::fibers::fiber([&http_client = deps_.http_client, &clock = deps_.clock,
                        address = slot_.address(), id = attempt_id_] {
    (void)http_client.Call(
        address, {"POST", "/control/cancel/" + id, {}, ""},
        {.deadline = clock.Now() + kCancelTimeout, .fresh_connection = true});
  }).detach();
}

}  // namespace tanagerloom
