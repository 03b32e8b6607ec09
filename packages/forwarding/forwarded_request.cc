#include "forwarding/forwarded_request.h"

#include <algorithm>
#include <utility>

#include "base/id.h"
#include "fleet/customer.h"
#include "fleet/demand_tracker.h"
#include "fleet/fleet_view.h"
#include "forwarding/endpoint_statements.h"
#include "forwarding/quota_gate.h"
#include "forwarding/request_times.h"
#include "forwarding/service_times.h"
#include "forwarding/upload_limit.h"
#include "forwarding/waiting_lists.h"
#include "http/http_responder.h"
#include "registry/fleet_registry.h"

namespace tanagerloom {

namespace {

using std::chrono::milliseconds;

// Timeout of a request if neither the client nor the route sets a shorter one.
constexpr milliseconds kDefaultTimeout{60000};
// A timed-out request is answered this long before the client's deadline.
constexpr milliseconds kResponseMargin{15};
// Maximum number of times that one request is sent, including to endpoints that
// did not run it.
constexpr std::uint32_t kMaxSends = 4;
// How long an endpoint is excluded for a request after it did not run it, or
// after an attempt failed.
constexpr milliseconds kExcludeNotRun{100};
constexpr milliseconds kExcludeFailed{1500};
// The least urgent rank that endpoints accept.
constexpr std::uint32_t kLeastUrgentRank = 9;

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kOk = 200;
constexpr int kFirstServerError = 500;

// Returns whether the headers of a response allow a stream of events. An
// endpoint that states no type is taken at its route's word.
bool IsEventStream(const HttpHeaders& headers) {
  const auto type = headers.Find("Content-Type");
  return !type || type->starts_with("text/event-stream");
}

// Returns the part of its customer's share that a request uses. Reading and
// generating this many tokens keeps an endpoint about as busy as one more
// request.
double WaitingCost(const RequestProfile& profile) {
  constexpr double kTokensPerRequest = 500;
  const double tokens = static_cast<double>(profile.UnsharedPromptTokens()) +
                        static_cast<double>(profile.max_output_tokens);
  return 1 + tokens / kTokensPerRequest;
}

// Returns whether a status promises that the request did not run.
bool PromisesNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

}  // namespace

ForwardedRequest::ForwardedRequest(const ForwardingDependencies& deps,
                                   SharedRetryBudgets& budgets,
                                   ServiceTimes& service_times,
                                   UploadLimit& uploads,
                                   WaitingLists& waiting_lists,
                                   const HttpRequest& request,
                                   HttpResponder& responder)
    : deps_(deps),
      budgets_(budgets),
      service_times_(service_times),
      uploads_(uploads),
      waiting_lists_(waiting_lists),
      request_(request),
      responder_(responder),
      client_(std::make_shared<ClientState>()),
      arrived_at_(deps.clock.Now()),
      config_(deps.registry.config()),
      profile_(deps.protocol.ReadRequest(request)),
      log_(deps.log, deps.clock, profile_.attempt_id, arrived_at_),
      crash_watch_(deps,
                   profile_.attempt_id,
                   FingerprintsOf(request, profile_)) {}

ForwardedRequest::~ForwardedRequest() {
  client_->attempt = nullptr;
}

// ---- before the first attempt

void ForwardedRequest::Run() {
  if (!FindRoute() || !FindCustomer() || !CheckServable() || !ChargeQuota()) {
    return;
  }
  WatchClient();
  deps_.demand.OnArrival(service_, profile_.model);
  budgets_[service_].OnRequest(arrived_at_);
  while (!RejectBeforeStop()) {
    const auto target = AwaitEndpoint();
    if (!target || RejectQuarantined() ||
        RunAttempt(*target) == NextStep::kDone) {
      return;
    }
  }
}

bool ForwardedRequest::FindRoute() {
  if (config_ == nullptr) {
    Refuse(kUnavailable, "no_configuration", kRetryAfterBusy);
    return false;
  }
  const auto host = request_.headers.Find("Host").value_or("");
  route_ = config_->routes.Match(host, request_.Path());
  if (route_ == nullptr) {
    Refuse(kNotFound, "no_route", milliseconds(0));
    return false;
  }
  const auto* target = ChooseTarget(*route_, RandomUnit());
  if (target == nullptr) {
    Refuse(kUnavailable, "no_service", kRetryAfterBusy);
    return false;
  }
  service_ = target->service;
  auto time = profile_.time_left.value_or(kDefaultTimeout);
  if (route_->timeout.count() > 0) {
    time = std::min(time, route_->timeout);
  }
  deadline_ = arrived_at_ + time - kResponseMargin;
  chooser_.emplace(deps_, profile_, service_, deadline_);
  return true;
}

bool ForwardedRequest::FindCustomer() {
  if (!config_->config.needs_keys) {
    return true;
  }
  customer_ = config_->customers.FindByKey(profile_.key_digest);
  if (customer_ != nullptr || route_->is_public) {
    return true;
  }
  if (deps_.registry.IsBehindPeers()) {
    // The newer version may hold the key, and the client does not try again
    // after a 401.
    Refuse(kUnavailable, "configuration_behind", kRetryAfterBusy);
  } else {
    Refuse(kUnauthorized, "unknown_key", milliseconds(0));
  }
  return false;
}

std::uint32_t ForwardedRequest::Priority() const {
  return customer_ != nullptr ? customer_->priority.value_or(route_->priority)
                              : route_->priority;
}

// The configuration lists the models of engines, but not their adapters.
bool ForwardedRequest::NamesUsableModel(const FleetService& service) const {
  return IsUsableName(profile_.model.adapter) &&
         (service.engine || IsUsableName(profile_.model.model));
}

bool ForwardedRequest::CheckServable() {
  const auto* service = config_->config.FindService(service_);
  if (service == nullptr) {
    Refuse(kUnavailable, "unknown_service", kRetryAfterModel);
    return false;
  }
  if (service->engine && !profile_.model.model.empty() &&
      config_->config.FindModel(service_, profile_.model.model) == nullptr) {
    Refuse(kUnavailable, "unknown_model", kRetryAfterModel);
    return false;
  }
  if (!NamesUsableModel(*service)) {
    Refuse(kBadRequest, "invalid_model_name", milliseconds(0));
    return false;
  }
  return !RejectQuarantined();
}

bool ForwardedRequest::ChargeQuota() {
  if (customer_ == nullptr || !customer_->quota.limited()) {
    return true;
  }
  auto decision =
      deps_.quotas.Admit(*customer_, QuotaCost(customer_->quota, profile_));
  if (const auto* refused = std::get_if<QuotaRefused>(&decision)) {
    // Without an answer it is not known whether the customer is over its quota.
    const bool is_known = refused->reason != QuotaRefusal::kNoAnswer;
    Refuse(is_known ? kTooManyRequests : kUnavailable,
           ToString(refused->reason), refused->retry_after);
    return false;
  }
  charge_ = std::get<QuotaCharge>(std::move(decision));
  return true;
}

bool ForwardedRequest::RejectQuarantined() {
  if (!crash_watch_.IsQuarantined()) {
    return false;
  }
  if (history_.runs == 0) {
    Refuse(kUnavailable, "crashes_endpoints", milliseconds(0));
  } else {
    Abandon(/*timed_out=*/false);
  }
  return true;
}

bool ForwardedRequest::RejectBeforeStop() {
  if (!ended_ && !CannotFinishBeforeStop(service_times_.Expected(route_->name),
                                         deps_.clock.Now(), deps_.stop_at())) {
    return false;
  }
  if (history_.runs == 0) {
    Refuse(kUnavailable, "node_stops", kRetryAfterBusy);
  } else {
    Abandon(/*timed_out=*/false);
  }
  return true;
}

void ForwardedRequest::ClientState::Interrupt() const {
  if (attempt != nullptr) {
    attempt->Abort();
  }
  if (waiting != nullptr) {
    waiting->changed.Signal();
  }
}

void ForwardedRequest::End() {
  ended_ = true;
  client_->Interrupt();
}

void ForwardedRequest::WatchClient() {
  responder_.OnClientGone([client = client_] {
    client->gone = true;
    client->Interrupt();
  });
}

bool ForwardedRequest::IsClientGone() {
  return client_->gone || responder_.client_gone();
}

// ---- choice of the endpoint

TimePoint ForwardedRequest::WaitDeadline() const {
  if (forwarded_events_) {
    return deadline_;  // The client would lose a stream that has already
    // started.
  }
  return LatestStart(arrived_at_, deadline_);
}

OfferResult ForwardedRequest::TakePlace(std::optional<EndpointTarget>& target) {
  if (crash_watch_.MustWait()) {
    return OfferResult::kSkipped;
  }
  target = chooser_->Choose();
  if (target) {
    deps_.view.BeginUse(target->id, target->prompt_tokens);
    crash_watch_.BeginRun();
    had_turn_ = true;
    return OfferResult::kTaken;
  }
  return chooser_->HasRoom() ? OfferResult::kSkipped : OfferResult::kNoPlace;
}

std::optional<EndpointTarget> ForwardedRequest::AwaitEndpoint() {
  std::optional<EndpointTarget> target;
  WaitingRequest waiting;
  waiting.target = {service_, profile_.model};
  waiting.entry.priority = Priority();
  waiting.entry.customer = customer_ == nullptr ? "" : customer_->name;
  // A request that comes back from an endpoint has paid for its turn.
  waiting.entry.cost = had_turn_ ? 0 : WaitingCost(profile_);
  waiting.entry.latest_start = WaitDeadline();
  waiting.offer = [this, &target] { return TakePlace(target); };
  waiting.has_place = [this] {
    return !crash_watch_.MustWait() && chooser_->Choose().has_value();
  };
  waiting.must_end = [this] { return crash_watch_.IsQuarantined(); };
  // The refusal states that the request did not run.
  waiting.refusable = customer_ != nullptr && sends_ == 0;
  waiting_lists_.Enter(waiting);
  if (!target) {
    Await(waiting);
  }
  if (target) {
    // The attempt counts its run from here on.
    crash_watch_.EndRun();
    deps_.view.EndPrompt(target->id, target->prompt_tokens);
    deps_.view.EndUse(target->id);
  }
  if (target && !IsClientGone()) {
    return target;
  }
  if (target) {
    waiting_lists_.OnPlaceFreed(service_, target->id);
  }
  EndWithoutEndpoint(waiting);
  return std::nullopt;
}

void ForwardedRequest::Await(WaitingRequest& waiting) {
  const auto started_at = deps_.clock.Now();
  const auto wait_deadline = waiting.entry.latest_start;
  // Without customers, models are loaded by deadline alone.
  const auto rank = customer_ == nullptr ? 0 : Priority();
  deps_.demand.BeginWait(service_, profile_.model, wait_deadline, rank);
  client_->waiting = &waiting;
  while (!waiting.ended && MayWait(wait_deadline)) {
    waiting.changed.WaitUntil(waiting.changed.count(), wait_deadline);
  }
  client_->waiting = nullptr;
  waiting_lists_.Leave(waiting);
  deps_.demand.EndWait(service_, profile_.model, wait_deadline, rank);
  waited_ += deps_.clock.Now() - started_at;
}

bool ForwardedRequest::MayWait(TimePoint wait_deadline) {
  const auto now = deps_.clock.Now();
  return !IsClientGone() && now < wait_deadline &&
         now < LatestStartBeforeStop(deps_.stop_at()) &&
         !crash_watch_.IsQuarantined();
}

void ForwardedRequest::EndWithoutEndpoint(const WaitingRequest& waiting) {
  if (IsClientGone()) {
    log_.ClientGone("");
    responder_.Abort();
  } else if (waiting.too_long) {
    RefuseTooLong(*waiting.too_long);
  } else if (!RejectQuarantined()) {
    Abandon(/*timed_out=*/false);
  }
}

void ForwardedRequest::RefuseTooLong(const WaitTooLong& wait) {
  log_.TurnTooLate(wait, Priority(), customer_->name);
  const auto now = deps_.clock.Now();
  Refuse(kUnavailable, "turn_too_late",
         RetryAfterPause(now + wait.retry_after, now, RandomUnit()));
}

// ---- one attempt

HttpRequest ForwardedRequest::MakeAttempt(const EndpointTarget& target) const {
  const auto time_left =
      std::chrono::duration_cast<milliseconds>(deadline_ - deps_.clock.Now());
  AttemptParameters parameters;
  parameters.endpoint = target.id;
  parameters.time_left = std::max(milliseconds(1), time_left);
  parameters.urgency = std::min(Priority(), kLeastUrgentRank);
  parameters.hide_key = config_->config.needs_keys;
  if (customer_ != nullptr) {
    parameters.customer = customer_->name;
  }
  if (forwarded_events_) {
    parameters.resume_after_event = event_assembler_.last_event_id();
  }
  return deps_.protocol.MakeAttempt(request_, parameters);
}

ForwardedRequest::NextStep ForwardedRequest::RunAttempt(
    const EndpointTarget& target) {
  Upload upload(uploads_, target.id, request_.body.size());
  if (!upload.granted()) {
    chooser_->Exclude(target.id, deps_.clock.Now() + kExcludeNotRun);
    waiting_lists_.OnPlaceFreed(service_, target.id);
    return NextStep::kRetry;
  }
  EndpointAttempt attempt(deps_.io, deps_.protocol, deps_.clock, deps_.buffers,
                          target.address);
  client_->attempt = &attempt;
  deps_.view.BeginUse(target.id, target.prompt_tokens);
  prompt_pending_ = true;
  crash_watch_.BeginRun();
  deps_.demand.BeginRun(service_, profile_.model);
  deps_.demand.OnPromptSent(service_, profile_.model, target.prompt_tokens);
  const auto next = Exchange(attempt, upload, target);
  if (history_.runs == 0) {
    charge_.MarkNotRun();
  }
  crash_watch_.EndRun();
  deps_.demand.EndRun(service_, profile_.model);
  if (std::exchange(prompt_pending_, false)) {
    deps_.view.EndPrompt(target.id, target.prompt_tokens);
  }
  deps_.view.EndUse(target.id);
  waiting_lists_.OnPlaceFreed(service_, target.id);
  client_->attempt = nullptr;
  return next;
}

ForwardedRequest::NextStep ForwardedRequest::Exchange(
    EndpointAttempt& attempt,
    Upload& upload,
    const EndpointTarget& target) {
  const auto connected = attempt.Connect(deadline_);
  if (!connected) {
    return OnAttemptFailed(target, connected.assume_error());
  }
  if (!deps_.view.AcceptsRequests(target.id, target.boot)) {
    // It has said so while the connection was opened.
    return NextStep::kRetry;
  }
  ++sends_;
  charge_.MarkSent();
  log_.Sent(target.id, sends_);
  sent_at_ = deps_.clock.Now();
  progress_at_ = sent_at_;
  const auto sent = attempt.Send(MakeAttempt(target), request_.body, upload,
                                 profile_.attempt_id, ResponseDeadline(target));
  if (!sent) {
    return OnAttemptFailed(target, sent.assume_error());
  }
  deps_.statements.OnResponse({target.id, target.boot}, attempt.traits(),
                              profile_.attempt_id);
  if (attempt.traits().not_run) {
    return OnNotRun(attempt, target);
  }
  ++history_.runs;
  history_.last_verdict = Verdict::kRan;
  if (route_->kind == RequestKind::kStreaming && attempt.status() == kOk &&
      IsEventStream(attempt.headers())) {
    return RelayStream(attempt, target);
  }
  return RelayWholeResponse(attempt, target);
}

bool ForwardedRequest::MayStillRetry() const {
  // The attempt in flight counts as a run even before its response starts.
  const auto runs =
      history_.runs + (history_.last_verdict == Verdict::kRan ? 0 : 1);
  return route_->IsRetryable() && runs < route_->max_attempts;
}

// Returns whether to keep waiting for a silent endpoint. A stream that has
// started leaves a silent endpoint only if it can continue elsewhere now; with
// no retry or endpoint left, the rest may still arrive. Before the stream has
// started, a client that is told of the failure early can retry itself.
bool ForwardedRequest::ShouldKeepWaiting(const EndpointTarget& target,
                                         const AttemptError& error) {
  const auto now = deps_.clock.Now();
  if (!forwarded_events_ || error.failure != AttemptFailure::kSilent ||
      now >= deadline_ || IsClientGone()) {
    return false;
  }
  return !MayStillRetry() || sends_ >= kMaxSends ||
         !chooser_->HasOther(target.id) ||
         !budgets_[service_].AllowsRetry(deps_.retry_limits, deps_.live_nodes(),
                                         now);
}

// Returns the time until which an endpoint may be silent. If the request cannot
// be retried elsewhere, silence alone does not end it before its deadline.
TimePoint ForwardedRequest::ResponseDeadline(
    const EndpointTarget& target) const {
  if (!MayStillRetry() || !chooser_->HasOther(target.id)) {
    return deadline_;
  }
  return SilenceDeadline(*route_, progress_at_, deadline_);
}

TimePoint ForwardedRequest::EventDeadline(const EndpointTarget& target) const {
  if (!MayStillRetry() || !chooser_->HasOther(target.id)) {
    return deadline_;
  }
  return EventGapDeadline(*route_, progress_at_, deadline_);
}

// ---- whole answers

ForwardedRequest::NextStep ForwardedRequest::RelayWholeResponse(
    EndpointAttempt& attempt,
    const EndpointTarget& target) {
  HttpResponse response;
  response.status = attempt.status();
  response.headers = deps_.protocol.ForwardedHeaders(attempt.headers());
  while (true) {
    const auto n = attempt.Read(response.body, ResponseDeadline(target));
    if (!n) {
      return OnAttemptFailed(target, n.assume_error());
    }
    progress_at_ = deps_.clock.Now();
    if (n.assume_value() == 0) {
      break;
    }
  }
  auto& health = deps_.view.Health(target.id);
  if (response.status < kFirstServerError) {
    crash_watch_.OnWholeResponse();
    health.OnSuccess(deps_.clock.Now());
    service_times_.Observe(route_->name, deps_.clock.Now() - sent_at_);
    deps_.view.OnFirstEvent(target.id, target.boot, target.prompt_tokens,
                            deps_.clock.Now() - sent_at_);
  } else {
    health.OnFailure(deps_.clock.Now());
    fallback_response_ = response;
    if (!forwarded_events_ && MayRetry(*route_, history_)) {
      return Retry(target, /*reached_endpoint=*/true);
    }
  }
  if (forwarded_events_) {
    return Abandon(/*timed_out=*/false);  // The stream cannot continue with an
    // error response.
  }
  if (PromisesNotRun(response.status)) {
    // The endpoint ran the request, so its status would wrongly promise that it
    // did not run.
    fallback_response_.reset();
    return Abandon(/*timed_out=*/false);
  }
  const int status = response.status;
  (void)responder_.Send(std::move(response));
  Finish(status, "answered");
  return NextStep::kDone;
}

// ---- streams

ForwardedRequest::NextStep ForwardedRequest::RelayStream(
    EndpointAttempt& attempt,
    const EndpointTarget& target) {
  while (true) {
    const auto n = attempt.Read(
        event_assembler_.input(),
        first_event_age_ ? EventDeadline(target) : ResponseDeadline(target));
    if (!n && ShouldKeepWaiting(target, n.assume_error())) {
      progress_at_ = deps_.clock.Now();
      continue;
    }
    if (!n) {
      return OnAttemptFailed(target, n.assume_error());
    }
    if (n.assume_value() == 0) {
      return FinishStream(attempt, target);
    }
    OnPromptRead(target);
    const auto events = event_assembler_.TakeEvents();
    if (events.empty()) {
      continue;
    }
    crash_watch_.OnEvent();
    if (!ForwardEvents(attempt, events)) {
      attempt.Abort();
      Finish(attempt.status(), "client_gone");
      return NextStep::kDone;
    }
    progress_at_ = deps_.clock.Now();
  }
}

void ForwardedRequest::OnPromptRead(const EndpointTarget& target) {
  if (!std::exchange(prompt_pending_, false)) {
    return;
  }
  deps_.view.EndPrompt(target.id, target.prompt_tokens);
  deps_.view.PromptSpeedOf(service_).Observe(profile_.UnsharedPromptTokens(),
                                             deps_.clock.Now() - sent_at_);
  deps_.view.OnFirstEvent(target.id, target.boot, target.prompt_tokens,
                          deps_.clock.Now() - sent_at_);
  waiting_lists_.OnPlaceFreed(service_, target.id);
}

bool ForwardedRequest::ForwardEvents(const EndpointAttempt& attempt,
                                     const std::string& events) {
  if (!responder_.started() &&
      !responder_.StartStream(attempt.status(), deps_.protocol.ForwardedHeaders(
                                                    attempt.headers()))) {
    return false;
  }
  if (!first_event_age_) {
    first_event_age_ = log_.Age();
  }
  forwarded_events_ = true;
  return static_cast<bool>(responder_.Write(events));
}

ForwardedRequest::NextStep ForwardedRequest::FinishStream(
    EndpointAttempt& attempt,
    const EndpointTarget& target) {
  if (event_assembler_.HasPartialEvent()) {
    return OnAttemptFailed(target,
                           {AttemptFailure::kBroken, Verdict::kMayHaveRun,
                            "the stream ends within an event"});
  }
  const auto rest = event_assembler_.TakeRemainder();
  if ((!rest.empty() || !responder_.started()) &&
      !ForwardEvents(attempt, rest)) {
    Finish(attempt.status(), "client_gone");
    return NextStep::kDone;
  }
  (void)responder_.Finish();
  crash_watch_.OnStreamEnd();
  deps_.view.Health(target.id).OnSuccess(deps_.clock.Now());
  service_times_.Observe(route_->name, deps_.clock.Now() - sent_at_);
  Finish(attempt.status(), "streamed");
  return NextStep::kDone;
}

// ---- after an attempt that did not serve

ForwardedRequest::NextStep ForwardedRequest::OnNotRun(
    const EndpointAttempt& attempt,
    const EndpointTarget& target) {
  history_.last_verdict = Verdict::kNotRun;
  log_.NotRun(target.id, attempt.status());
  if (attempt.traits().wrong_endpoint) {
    deps_.view.OnModelNotLoaded(target.id, profile_.model);
  }
  chooser_->Exclude(target.id, deps_.clock.Now() + kExcludeNotRun);
  return Retry(target, /*reached_endpoint=*/true);
}

ForwardedRequest::NextStep ForwardedRequest::OnAttemptFailed(
    const EndpointTarget& target,
    const AttemptError& error) {
  const auto now = deps_.clock.Now();
  const bool already_counted = history_.last_verdict == Verdict::kRan;
  history_.last_verdict = error.verdict;
  if (error.verdict != Verdict::kNotRun && !already_counted) {
    ++history_.runs;
  }
  const bool aborted = error.failure == AttemptFailure::kAborted && !ended_;
  if (aborted || IsClientGone()) {
    log_.ClientGone(target.id);
    responder_.Abort();
    if (error.failure == AttemptFailure::kBroken) {
      crash_watch_.OnBroken(target);
    } else if (error.verdict != Verdict::kNotRun) {
      crash_watch_.OnAbandoned(target);
    }
    return NextStep::kDone;
  }
  log_.AttemptFailed(target.id, error);
  if (ended_) {
    return Abandon(/*timed_out=*/true);
  }
  if (error.failure == AttemptFailure::kUnreachable) {
    deps_.view.OnUnreachable(target.id, target.boot);
  } else {
    deps_.view.Health(target.id).OnFailure(now);
  }
  if (error.failure == AttemptFailure::kSilent) {
    deps_.view.OnSilent(target.id, target.boot);
  }
  if (error.failure == AttemptFailure::kBroken) {
    crash_watch_.OnBroken(target);
  }
  if (now >= deadline_) {
    return Abandon(/*timed_out=*/true);
  }
  chooser_->Exclude(target.id, now + kExcludeFailed);
  event_assembler_.DiscardPartialEvent();
  return Retry(target, error.failure != AttemptFailure::kUnreachable);
}

ForwardedRequest::NextStep ForwardedRequest::Retry(const EndpointTarget& target,
                                                   bool reached_endpoint) {
  const auto now = deps_.clock.Now();
  if (!MayRetry(*route_, history_) || sends_ >= kMaxSends) {
    return Abandon(/*timed_out=*/false);
  }
  if (reached_endpoint && !budgets_[service_].TryAcquire(
                              deps_.retry_limits, deps_.live_nodes(), now)) {
    return Abandon(/*timed_out=*/false);
  }
  if (forwarded_events_) {
    log_.Resumed(target.id, event_assembler_.last_event_id());
  }
  history_.last_verdict = Verdict::kNotRun;
  return NextStep::kRetry;
}

ForwardedRequest::NextStep ForwardedRequest::Abandon(bool timed_out) {
  if (responder_.started()) {
    responder_.Abort();
    Finish(0, "broken_off");
    return NextStep::kDone;
  }
  if (fallback_response_ && !PromisesNotRun(fallback_response_->status)) {
    const int status = fallback_response_->status;
    (void)responder_.Send(std::move(*fallback_response_));
    Finish(status, "answered");
    return NextStep::kDone;
  }
  Refuse(FinalStatus(history_, timed_out),
         history_.runs == 0 ? "no_endpoint" : "failed_at_endpoint",
         RetryAfter());
  return NextStep::kDone;
}

milliseconds ForwardedRequest::RetryAfter() const {
  if (const auto until = deps_.view.PausedUntil(service_, profile_.model)) {
    return RetryAfterPause(*until, deps_.clock.Now(), RandomUnit());
  }
  const auto ready_at = deps_.view.ReadyAt(service_, profile_.model.model);
  if (ready_at) {
    return RetryAfterLoad(*ready_at, deps_.clock.Now(), deadline_);
  }
  return profile_.model.model.empty() ? kRetryAfterBusy : kRetryAfterModel;
}

// ---- answers of this node

void ForwardedRequest::Refuse(int status,
                              std::string_view reason,
                              milliseconds retry_after) {
  if (status != kUnavailable && status != kTooManyRequests) {
    retry_after = milliseconds(0);
  }
  log_.Refused(status, reason, Progress());
  (void)responder_.Send(
      deps_.protocol.MakeOwnResponse(status, profile_, retry_after));
}

void ForwardedRequest::Finish(int status, std::string_view outcome) {
  log_.Finished(status, outcome, Progress());
}

RequestProgress ForwardedRequest::Progress() const {
  RequestProgress out;
  out.route = route_ == nullptr ? "" : route_->name;
  out.service = service_;
  out.customer = customer_ == nullptr ? "" : customer_->name;
  out.model = profile_.model.ToString();
  out.config_version = config_ == nullptr ? 0 : config_->config.version;
  out.sends = sends_;
  out.runs = history_.runs;
  out.waited = waited_;
  out.first_event_age = first_event_age_.value_or(Duration(-1));
  return out;
}

}  // namespace tanagerloom
