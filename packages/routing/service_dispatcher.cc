#include "routing/service_dispatcher.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "base/event_log.h"
#include "base/events.h"
#include "config/estate.h"
#include "config/settings.h"
#include "routing/crash_quarantine.h"
#include "routing/endpoint_reply.h"
#include "routing/request_scheduler.h"

namespace tanagerloom {

namespace {

// Max number of failed attempts that may have run, and the step by which the
// pause between attempts grows.
constexpr int kMaxFailures = 5;
constexpr Duration kRetryBackoff = std::chrono::milliseconds(20);

// The pool of the call's service; empty if the service is unknown.
std::string PoolOf(const ClientRequest& request, const ServiceCall& call) {
  const auto it = request.estate->services.find(call.service);
  return it == request.estate->services.end() ? "" : it->second.pool;
}

// Whether an endpoint refused a call or failed to serve it.
bool IsRefusal(int status) {
  return status == 429 || status >= 500;
}

}  // namespace

struct ServiceDispatcher::Progress {
  int attempts = 0;
  int failures = 0;      ///< Attempts that may have run.
  std::string endpoint;  ///< Endpoint of the last attempt.
  Address address;
  bool exclusive = false;  ///< The last attempt ran alone at its endpoint.
  std::set<std::string> failed_endpoints;
  /// Whether the endpoint gets no new work, since it drains or asked for a
  /// pause.
  bool endpoint_excluded = false;
};

ServiceDispatcher::ServiceDispatcher(const RoutingDependencies& deps,
                                     RequestScheduler& scheduler,
                                     EndpointTable& endpoints,
                                     RetryBudget& budget,
                                     CrashQuarantine& quarantine)
    : deps_(deps),
      scheduler_(scheduler),
      endpoints_(endpoints),
      budget_(budget),
      quarantine_(quarantine) {}

ServiceOutcome ServiceDispatcher::Run(const ClientRequest& request,
                                      const ServiceCall& call,
                                      RequestRecord& record,
                                      CancelSource& cancel) {
  budget_.CountRequest();
  Progress progress;
  while (true) {
    QueueEntry entry;
    entry.request = request.id;
    entry.target =
        ServiceTarget{call.service, PoolOf(request, call), call.max_in_flight};
    entry.rank = request.rank;
    entry.deferred = request.deferred;
    entry.operator_name = request.operator_name;
    entry.deadline = request.deadline;
    entry.failed_endpoints = progress.failed_endpoints;
    entry.exclusive = quarantine_.CountOf(request.crash_fingerprint) > 0;
    entry.check_quarantine = [&] {
      return quarantine_.Check(request.crash_fingerprint);
    };
    cancel.SetAction([&] { scheduler_.Cancel(entry); });
    if (!cancel.cancelled()) {
      scheduler_.WaitForSlot(entry);
    }
    cancel.SetAction(nullptr);
    if (cancel.cancelled()) {
      return ClientGone();
    }
    if (entry.slot == nullptr) {
      return std::move(*entry.refusal);
    }
    if (auto refusal = quarantine_.Check(request.crash_fingerprint)) {
      return std::move(*refusal);
    }
    ++progress.attempts;
    progress.endpoint = entry.slot->endpoint();
    progress.address = entry.slot->address();
    progress.exclusive = entry.slot->exclusive();
    progress.endpoint_excluded = false;
    record.OnDispatch();
    deps_.log.Record(events::kRequestDispatched,
                     {{"request", request.id},
                      {"endpoint", progress.endpoint},
                      {"attempt", progress.attempts}});
    const auto started_at = deps_.clock.Now();
    auto result = Attempt(request, call, *entry.slot, progress, cancel);
    entry.slot.reset();
    std::optional<HttpFailure> failure;
    if (result) {
      failure = HandleResponse(result.assume_value(), call, progress);
    } else {
      failure = result.assume_error();
    }
    if (!failure) {
      scheduler_.RecordServiceTime(entry.target,
                                   deps_.clock.Now() - started_at);
      endpoints_.OnSuccess(progress.endpoint);
      record.OnVerdict(Verdict::kRan);
      if (progress.exclusive) {
        quarantine_.ClearSuspect(request.crash_fingerprint);
      }
      return std::move(result.assume_value());
    }
    if (cancel.cancelled() && record.retryable()) {
      record.OnVerdict(failure->verdict);
      return ClientGone();
    }
    if (auto outcome = HandleFailure(request, *failure, record, progress)) {
      return std::move(*outcome);
    }
  }
}

// A retryable call without an answer is retried after the progress timeout,
// which doubles with each failure, so that a slow call can complete. A call
// that is not retryable would gain nothing from a timeout and waits until its
// deadline.
HttpResult<HttpResponse> ServiceDispatcher::Attempt(
    const ClientRequest& request,
    const ServiceCall& call,
    const EndpointSlot& slot,
    const Progress& progress,
    CancelSource& cancel) {
  TimePoint deadline = request.deadline;
  if (call.retryable) {
    deadline =
        std::min(deadline, deps_.clock.Now() +
                               deps_.settings.progress_timeout *
                                   (1 << std::min(progress.failures, 10)));
  }
  BOOST_OUTCOME_TRY(
      exchange, deps_.http_client.Start(slot.address(), call.endpoint_request,
                                        {.deadline = deadline,
                                         .fresh_connection = !call.retryable}));
  if (call.retryable) {
    cancel.SetAction([&] { exchange->Abort(); });
  }
  const auto id = exchange->headers().Find("X-Request-Id");
  if (id != request.id) {
    exchange->Abort();
    cancel.SetAction(nullptr);
    return HttpFailure{MakeError(ErrorKind::kUnknown,
                                 "the answer carries another X-Request-Id"),
                       Verdict::kMayHaveRun};
  }
  HttpResponse response{exchange->status(), {}, {}};
  for (const auto& it : exchange->headers().fields()) {
    if (IsRelayedHeader(it.name)) {
      response.headers.Add(it.name, it.value);
    }
  }
  while (true) {
    auto read = exchange->ReadSome(response.body, deadline);
    if (!read || read.assume_value() == 0) {
      cancel.SetAction(nullptr);
      if (!read) {
        return std::move(read.assume_error());
      }
      if (IsRefusal(response.status)) {
        // All attempts of a call have the same id, so a refusal that the
        // endpoint repeats could be taken for the answer to the next attempt.
        exchange->Abort();
      }
      return response;
    }
  }
}

std::optional<HttpFailure> ServiceDispatcher::HandleResponse(
    const HttpResponse& response,
    const ServiceCall& call,
    Progress& progress) {
  if (!IsRefusal(response.status)) {
    return std::nullopt;
  }
  const auto reply =
      ParseRefusal(response.status, response.headers, response.body);
  if (reply.statement.leaving) {
    endpoints_.OnLeaving(progress.endpoint);
  } else if (reply.statement.pause) {
    endpoints_.OnBackpressure(progress.endpoint, *reply.statement.pause);
  }
  progress.endpoint_excluded =
      reply.statement.leaving || reply.statement.pause.has_value();
  // A 429 or 5xx of the endpoint is passed on as the answer of a call that is
  // not retryable, unless it states that the call did not run.
  if (!reply.states_not_run && !call.retryable) {
    return std::nullopt;
  }
  return HttpFailure{
      MakeError(ErrorKind::kUnavailable, "status " +
                                             std::to_string(response.status) +
                                             " from " + progress.endpoint),
      reply.states_not_run ? Verdict::kNotRun : Verdict::kMayHaveRun};
}

std::optional<ServiceOutcome> ServiceDispatcher::HandleFailure(
    const ClientRequest& request,
    const HttpFailure& failure,
    RequestRecord& record,
    Progress& progress) {
  record.OnVerdict(failure.verdict);
  deps_.log.Record(events::kAttemptFailed,
                   {{"request", request.id},
                    {"endpoint", progress.endpoint},
                    {"verdict", VerdictName(failure.verdict)},
                    {"cause", failure.error.message}});
  if (!progress.endpoint_excluded) {
    endpoints_.OnFailure(progress.endpoint);
  }
  progress.failed_endpoints.insert(progress.endpoint);
  if (Crashed(failure, progress)) {
    quarantine_.OnCrash(request.crash_fingerprint, progress.exclusive,
                        request.id, progress.endpoint);
    if (auto refusal = quarantine_.Check(request.crash_fingerprint)) {
      refusal->verdict = record.verdict();
      return std::move(*refusal);
    }
  }
  if (deps_.clock.Now() >= request.deadline) {
    return Refusal{504,
                   "deadline_exceeded",
                   "no answer before the deadline: " + failure.error.message,
                   record.verdict(),
                   {}};
  }
  if (!record.MayDispatch()) {
    return Refusal{
        502,
        "outcome_unknown",
        "the call may have run and is not retryable: " + failure.error.message,
        Verdict::kMayHaveRun,
        {}};
  }
  progress.failures += failure.verdict == Verdict::kNotRun ? 0 : 1;
  if (progress.failures >= kMaxFailures) {
    return Refusal{502,
                   "endpoints_failed",
                   std::to_string(progress.failures) +
                       " attempts failed; the last: " + failure.error.message,
                   record.verdict(),
                   {}};
  }
  // An endpoint that is excluded gets no retries, so these need no budget.
  if (!progress.endpoint_excluded && !budget_.TakeRetry()) {
    return Refusal{503, "retry_budget_exhausted",
                   "too many requests are being retried; last attempt: " +
                       failure.error.message,
                   record.verdict(), std::chrono::seconds(2)};
  }
  deps_.clock.SleepFor(kRetryBackoff * std::min(progress.attempts, 10));
  return std::nullopt;
}

bool ServiceDispatcher::Crashed(const HttpFailure& failure,
                                const Progress& progress) {
  constexpr Duration kProbeTimeout = std::chrono::seconds(1);
  return !progress.endpoint_excluded &&
         failure.verdict == Verdict::kMayHaveRun &&
         failure.error.kind == ErrorKind::kUnknown &&
         !deps_.http_client.CanConnect(progress.address,
                                       deps_.clock.Now() + kProbeTimeout);
}

}  // namespace tanagerloom
