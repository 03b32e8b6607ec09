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

constexpr int kMaxFailures = 5;
constexpr Duration kRetryPause = std::chrono::milliseconds(20);

std::string PoolOf(const CallerRequest& request, const ServiceCall& call) {
  const auto it = request.estate->services.find(call.service);
  return it == request.estate->services.end() ? "" : it->second.pool;
}

}  // namespace

struct ServiceDispatcher::Progress {
  int attempts = 0;
  int failures = 0;  ///< Attempts that may have run.
  std::string endpoint;
  Address address;
  bool alone = false;  ///< The last attempt had its endpoint for itself.
  std::set<std::string> avoid;
  bool held_back = false;  ///< The endpoint's refusal was handled already.
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

ServiceOutcome ServiceDispatcher::Run(const CallerRequest& request,
                                      const ServiceCall& call,
                                      RequestRecord& record,
                                      CancelSource& cancel) {
  budget_.CountRequest();
  Progress progress;
  while (true) {
    WaitTicket ticket;
    ticket.request = request.id;
    ticket.target = ServiceTarget{call.service, PoolOf(request, call),
                                  call.max_in_progress};
    ticket.rank = request.rank;
    ticket.deferred = request.deferred;
    ticket.operator_name = request.operator_name;
    ticket.deadline = request.deadline;
    ticket.avoid = progress.avoid;
    ticket.alone = quarantine_.CountOf(request.crash_fingerprint) > 0;
    ticket.quarantined = [&] {
      return quarantine_.Check(request.crash_fingerprint);
    };
    cancel.SetAction([&] { scheduler_.Cancel(ticket); });
    if (!cancel.cancelled()) {
      scheduler_.Wait(ticket);
    }
    cancel.SetAction(nullptr);
    if (cancel.cancelled()) {
      return CallerLeft();
    }
    if (ticket.lease == nullptr) {
      return std::move(*ticket.refusal);
    }
    if (auto refusal = quarantine_.Check(request.crash_fingerprint)) {
      return std::move(*refusal);
    }
    ++progress.attempts;
    progress.endpoint = ticket.lease->endpoint();
    progress.address = ticket.lease->address();
    progress.alone = ticket.lease->alone();
    progress.held_back = false;
    record.OnDispatch();
    deps_.log.Record(events::kRequestDispatched,
                     {{"request", request.id},
                      {"endpoint", progress.endpoint},
                      {"attempt", progress.attempts}});
    const auto started = deps_.clock.Now();
    auto result = Attempt(request, call, *ticket.lease, progress, cancel);
    ticket.lease.reset();
    std::optional<HttpFailure> failure;
    if (result) {
      failure = RefusalOf(result.assume_value(), call, progress);
    } else {
      failure = result.assume_error();
    }
    if (!failure) {
      scheduler_.CountServiceTime(ticket.target, deps_.clock.Now() - started);
      endpoints_.OnSuccess(progress.endpoint);
      record.OnVerdict(Verdict::kRan);
      if (progress.alone) {
        quarantine_.OnSurvived(request.crash_fingerprint);
      }
      return std::move(result.assume_value());
    }
    if (cancel.cancelled() && record.repeatable()) {
      record.OnVerdict(failure->verdict);
      return CallerLeft();
    }
    if (auto outcome = SettleFailure(request, *failure, record, progress)) {
      return std::move(*outcome);
    }
  }
}

// A repeatable call that gets no answer is tried again after the progress
// timeout, with twice the time each time, so that a slow call can complete. One
// that may not be repeated gains nothing from that and waits for its deadline.
HttpResult<HttpResponse> ServiceDispatcher::Attempt(
    const CallerRequest& request,
    const ServiceCall& call,
    const EndpointLease& lease,
    const Progress& progress,
    CancelSource& cancel) {
  TimePoint deadline = request.deadline;
  if (call.repeatable) {
    deadline =
        std::min(deadline, deps_.clock.Now() +
                               deps_.settings.progress_timeout *
                                   (1 << std::min(progress.failures, 10)));
  }
  BOOST_OUTCOME_TRY(exchange,
                    deps_.client.Start(lease.address(), call.endpoint_request,
                                       {.deadline = deadline,
                                        .fresh_connection = !call.repeatable}));
  if (call.repeatable) {
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
      return response;
    }
  }
}

std::optional<HttpFailure> ServiceDispatcher::RefusalOf(
    const HttpResponse& response,
    const ServiceCall& call,
    Progress& progress) {
  if (response.status != 429 && response.status < 500) {
    return std::nullopt;
  }
  const auto reply =
      ReadRefusal(response.status, response.headers, response.body);
  if (reply.leaving) {
    endpoints_.OnLeaving(progress.endpoint);
  } else if (reply.backpressure) {
    endpoints_.OnBackpressure(progress.endpoint, *reply.backpressure);
  }
  progress.held_back = reply.leaving || reply.backpressure.has_value();
  // The endpoint's own 5xx is the truthful answer of a call that may not be
  // repeated, unless it states that nothing ran.
  if (!reply.states_not_run && !call.repeatable) {
    return std::nullopt;
  }
  return HttpFailure{
      MakeError(ErrorKind::kUnavailable, "status " +
                                             std::to_string(response.status) +
                                             " from " + progress.endpoint),
      reply.states_not_run ? Verdict::kNotRun : Verdict::kMayHaveRun};
}

std::optional<ServiceOutcome> ServiceDispatcher::SettleFailure(
    const CallerRequest& request,
    const HttpFailure& failure,
    RequestRecord& record,
    Progress& progress) {
  record.OnVerdict(failure.verdict);
  deps_.log.Record(events::kAttemptFailed,
                   {{"request", request.id},
                    {"endpoint", progress.endpoint},
                    {"verdict", VerdictName(failure.verdict)},
                    {"cause", failure.error.message}});
  if (!progress.held_back) {
    endpoints_.OnFailure(progress.endpoint);
  }
  progress.avoid.insert(progress.endpoint);
  if (Crashed(failure, progress)) {
    quarantine_.OnCrash(request.crash_fingerprint, progress.alone, request.id,
                        progress.endpoint);
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
    return Refusal{502,
                   "outcome_unknown",
                   "the call may have run and may not be repeated: " +
                       failure.error.message,
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
  // An endpoint that is held back cannot be flooded by retries.
  if (!progress.held_back && !budget_.TakeRetry()) {
    return Refusal{503, "retry_budget_exhausted",
                   "too many requests are being retried; last attempt: " +
                       failure.error.message,
                   record.verdict(), std::chrono::seconds(2)};
  }
  deps_.clock.SleepFor(kRetryPause * std::min(progress.attempts, 10));
  return std::nullopt;
}

bool ServiceDispatcher::Crashed(const HttpFailure& failure,
                                const Progress& progress) {
  constexpr Duration kProbeTime = std::chrono::seconds(1);
  return !progress.held_back && failure.verdict == Verdict::kMayHaveRun &&
         failure.error.kind == ErrorKind::kUnknown &&
         !deps_.client.CanConnect(progress.address,
                                  deps_.clock.Now() + kProbeTime);
}

}  // namespace tanagerloom
