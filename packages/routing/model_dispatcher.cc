#include "routing/model_dispatcher.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/event_log.h"
#include "base/events.h"
#include "base/id.h"
#include "config/estate_source.h"
#include "placement/placement_view.h"
#include "ports/engine_control.h"
#include "routing/crash_quarantine.h"
#include "routing/request_scheduler.h"

namespace tanagerloom {

namespace {

// Max number of failed attempts that may have run. A request that fails this
// often is more likely to be the cause than the endpoints are.
constexpr int kMaxFailures = 6;

constexpr Duration kInitialBackoff = std::chrono::milliseconds(10);

// The pause before a retry. It doubles with each attempt and has random jitter
// of half its length, so that requests that failed together are not retried
// together.
Duration RetryBackoff(int attempt) {
  const auto backoff = kInitialBackoff * (1 << std::min(attempt, 8));
  return std::chrono::duration_cast<Duration>(backoff *
                                              (0.5 + RandomUnit() / 2));
}

}  // namespace

struct ModelDispatcher::Progress {
  int attempts = 0;
  int failures = 0;      ///< Attempts that may have run.
  std::string endpoint;  ///< Endpoint of the last attempt.
  Address address;
  bool exclusive = false;  ///< The last attempt ran alone at its endpoint.
  /// Boot id of the engine before an exclusive attempt; else empty.
  std::string boot;
  std::string cause;  ///< Cause of the last failure.
  std::set<std::string> failed_endpoints;
};

ModelDispatcher::ModelDispatcher(const RoutingDependencies& deps,
                                 RequestScheduler& scheduler,
                                 EndpointTable& endpoints,
                                 RetryBudget& budget,
                                 CrashQuarantine& quarantine)
    : deps_(deps),
      scheduler_(scheduler),
      endpoints_(endpoints),
      budget_(budget),
      quarantine_(quarantine) {}

void ModelDispatcher::Serve(const ClientRequest& request,
                            ModelCall call,
                            ClientAnswer& answer,
                            CancelSource& cancel) {
  deps_.placement.CountArrival(call.cell, call.key);
  budget_.CountRequest();
  const bool cold_start = deps_.placement.Replicas(call.key).empty();
  const auto queued_at = deps_.clock.Now();
  Progress progress;
  bool retry = true;
  while (retry) {
    QueueEntry entry;
    entry.request = request.id;
    entry.target = ModelTarget{call.key, call.cell};
    entry.rank = request.rank;
    entry.deferred = request.deferred;
    entry.operator_name = request.operator_name;
    entry.deadline = request.deadline;
    entry.prefix = &call.prefix;
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
      answer.Abandon();
      return;
    }
    if (entry.slot == nullptr) {
      if (entry.refusal->code == kModelChanged &&
          UpdateToCurrentVersion(call)) {
        continue;
      }
      if (!progress.cause.empty()) {
        entry.refusal->message += "; last attempt: " + progress.cause;
      }
      answer.Refuse(std::move(*entry.refusal));
      return;
    }
    // Another node may have raised the crash count while this request waited.
    if (auto refusal = quarantine_.Check(request.crash_fingerprint)) {
      answer.Refuse(std::move(*refusal));
      return;
    }
    ++progress.attempts;
    if (cold_start && progress.attempts == 1) {
      answer.SetColdWait(std::chrono::ceil<std::chrono::milliseconds>(
          deps_.clock.Now() - queued_at));
    }
    progress.endpoint = entry.slot->endpoint();
    progress.address = entry.slot->address();
    progress.exclusive = entry.slot->exclusive();
    progress.boot = progress.exclusive ? ReadBoot(progress.address) : "";
    const std::string attempt_id =
        progress.attempts == 1
            ? request.id
            : request.id + "." + std::to_string(progress.attempts);
    call.engine_request.headers.Set("X-Request-Id", attempt_id);
    answer.record().OnDispatch();
    deps_.log.Record(events::kRequestDispatched,
                     {{"request", request.id},
                      {"endpoint", progress.endpoint},
                      {"attempt", progress.attempts}});
    const auto started_at = deps_.clock.Now();
    auto outcome = ModelAttempt(deps_, request, call, attempt_id, *entry.slot,
                                answer, cancel)
                       .Run();
    if (std::holds_alternative<AttemptDone>(outcome)) {
      scheduler_.RecordServiceTime(entry.target,
                                   deps_.clock.Now() - started_at);
    }
    entry.slot.reset();
    retry = HandleOutcome(request, call, std::move(outcome), answer, progress);
  }
}

bool ModelDispatcher::HandleOutcome(const ClientRequest& request,
                                    const ModelCall& call,
                                    AttemptOutcome outcome,
                                    ClientAnswer& answer,
                                    Progress& progress) {
  auto& record = answer.record();
  if (auto* failed = std::get_if<AttemptFailed>(&outcome)) {
    return HandleFailure(request, call, *failed, answer, progress);
  }
  if (auto* broken = std::get_if<AttemptBroken>(&outcome)) {
    endpoints_.OnFailure(progress.endpoint);
    record.OnVerdict(Verdict::kMayHaveRun);
    if (broken->suspected_crash) {
      CountCrash(request, progress);
    }
    answer.AbortStream(
        {502, "response_cut", broken->cause, Verdict::kMayHaveRun, {}});
    return false;
  }
  if (std::holds_alternative<AttemptCancelled>(outcome)) {
    record.OnVerdict(Verdict::kMayHaveRun);
    answer.Abandon();
    return false;
  }
  if (std::holds_alternative<AttemptExpired>(outcome)) {
    record.OnVerdict(Verdict::kMayHaveRun);
    answer.Refuse({504,
                   "deadline_exceeded",
                   "the answer was not complete before the deadline",
                   Verdict::kMayHaveRun,
                   {}});
    return false;
  }
  endpoints_.OnSuccess(progress.endpoint);
  record.OnVerdict(Verdict::kRan);
  if (progress.exclusive) {
    quarantine_.ClearSuspect(request.crash_fingerprint);
  }
  if (auto* response = std::get_if<AttemptResponse>(&outcome)) {
    answer.Send(std::move(response->response));
  }
  return false;
}

bool ModelDispatcher::HandleFailure(const ClientRequest& request,
                                    const ModelCall& call,
                                    const AttemptFailed& failed,
                                    ClientAnswer& answer,
                                    Progress& progress) {
  answer.record().OnVerdict(failed.verdict);
  deps_.log.Record(events::kAttemptFailed,
                   {{"request", request.id},
                    {"endpoint", progress.endpoint},
                    {"verdict", VerdictName(failed.verdict)},
                    {"cause", failed.cause}});
  if (failed.statement.leaving) {
    endpoints_.OnLeaving(progress.endpoint);
  } else if (failed.model_missing) {
    deps_.placement.ReportMissingReplica(progress.endpoint, call.key);
    scheduler_.ExcludeEndpoint(ModelTarget{call.key, call.cell},
                               progress.endpoint);
  } else if (failed.statement.pause) {
    endpoints_.OnBackpressure(progress.endpoint, *failed.statement.pause);
  } else if (failed.endpoint_fault) {
    endpoints_.OnFailure(progress.endpoint);
  }
  progress.failed_endpoints.insert(progress.endpoint);
  progress.cause = failed.cause;
  if (failed.suspected_crash) {
    CountCrash(request, progress);
    if (auto refusal = quarantine_.Check(request.crash_fingerprint)) {
      answer.Refuse(std::move(*refusal));
      return false;
    }
  }
  progress.failures += failed.verdict == Verdict::kNotRun ? 0 : 1;
  if (progress.failures >= kMaxFailures) {
    answer.Refuse({502,
                   "endpoints_failed",
                   std::to_string(progress.failures) +
                       " attempts failed; the last: " + failed.cause,
                   answer.record().verdict(),
                   {}});
    return false;
  }
  // An endpoint that is excluded gets no retries, so these need no budget.
  const bool endpoint_excluded = failed.statement.leaving ||
                                 failed.model_missing || failed.statement.pause;
  if (!endpoint_excluded && !budget_.TakeRetry()) {
    answer.Refuse(
        {503, "retry_budget_exhausted",
         "too many requests are being retried; last attempt: " + failed.cause,
         answer.record().verdict(), std::chrono::seconds(2)});
    return false;
  }
  deps_.clock.SleepFor(RetryBackoff(progress.attempts));
  return true;
}

bool ModelDispatcher::UpdateToCurrentVersion(ModelCall& call) {
  const auto estate = deps_.estate.Current();
  const auto resolved = estate->Resolve(call.model_name);
  if (!resolved || resolved->key == call.key) {
    return false;
  }
  call.key = resolved->key;
  call.cell = resolved->model->pool;
  call.engine_request.headers.Set("X-Model-Version", call.key.version);
  return true;
}

std::string ModelDispatcher::ReadBoot(const Address& engine) {
  auto state = deps_.engines.ReadState(engine);
  return state ? std::move(state.assume_value().boot) : std::string();
}

void ModelDispatcher::CountCrash(const ClientRequest& request,
                                 const Progress& progress) {
  // An engine with the same boot id has not crashed; the connection failed.
  if (!progress.boot.empty() && ReadBoot(progress.address) == progress.boot) {
    return;
  }
  quarantine_.OnCrash(request.crash_fingerprint, progress.exclusive, request.id,
                      progress.endpoint);
}

}  // namespace tanagerloom
