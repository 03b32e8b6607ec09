#include "routing/claimed_calls.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <utility>

#include "config/settings.h"
#include "ports/peer_network.h"

namespace tanagerloom {

namespace {

// Max size of a stored outcome's body, so that ranges stay small. A resend of a
// call with a larger one is told only that the call ran.
constexpr std::size_t kMaxOutcomeBytes = 32UL * 1024;

// Max time to store a claim. After it the client is told that the call did not
// run.
constexpr Duration kClaimTimeout = std::chrono::seconds(3);

// Max time that the answer is delayed until its outcome is stored, so that a
// resend to another node finds it.
constexpr Duration kOutcomeStoreTimeout = std::chrono::seconds(1);

constexpr Duration kInitialPollInterval = std::chrono::milliseconds(30);
constexpr Duration kMaxPollInterval = std::chrono::seconds(1);

std::string FingerprintText(std::uint64_t fingerprint) {
  return std::to_string(fingerprint);
}

Refusal Unknown(const std::string& message) {
  return {502, "outcome_unknown", message, Verdict::kMayHaveRun, {}};
}

}  // namespace

ClaimedCalls::ClaimedCalls(const RoutingDependencies& deps,
                           ClaimStore& store,
                           ServiceDispatcher& services)
    : deps_(deps), store_(store), services_(services) {}

std::int64_t ClaimedCalls::ExpiryAfter(Duration time) const {
  return (deps_.clock.WallNow() + deps_.settings.claim_retention +
          std::chrono::duration_cast<std::chrono::milliseconds>(time))
      .count();
}

ServiceOutcome ClaimedCalls::Run(const ClientRequest& request,
                                 const ServiceCall& call,
                                 RequestRecord& record,
                                 CancelSource& cancel) {
  const std::string claim = request.client_name + "/" + call.idempotency_key;
  ClaimRecord own_record;
  own_record.fingerprint = FingerprintText(request.fingerprint);
  own_record.request = request.id;
  own_record.node = deps_.peers.self();
  // The claim of a running call expires one retention time after its deadline.
  own_record.expires_ms = ExpiryAfter(request.deadline - deps_.clock.Now());
  while (true) {
    auto current = AcquireClaim(claim, own_record, request.deadline);
    if (!current) {
      return Refusal{503, "claim_unavailable",
                     "this attempt did not run, since its Idempotency-Key "
                     "could not be recorded: " +
                         current.assume_error().message,
                     Verdict::kNotRun, std::chrono::seconds(2)};
    }
    if (current.assume_value().request == request.id) {
      return RunOwned(claim, std::move(own_record), request, call, record,
                      cancel);
    }
    if (auto outcome = ResolveOutcome(claim, current.assume_value(),
                                      own_record.fingerprint)) {
      return std::move(*outcome);
    }
    if (auto outcome =
            WaitForOutcome(claim, own_record, request.deadline, cancel)) {
      return std::move(*outcome);
    }
  }
}

Result<ClaimRecord> ClaimedCalls::AcquireClaim(const std::string& claim,
                                               const ClaimRecord& own_record,
                                               TimePoint deadline) {
  if (const auto it = local_.find(claim); it != local_.end()) {
    return it->second;
  }
  return store_.Take(claim, own_record,
                     std::min(deadline, deps_.clock.Now() + kClaimTimeout));
}

ServiceOutcome ClaimedCalls::RunOwned(const std::string& claim,
                                      ClaimRecord own_record,
                                      const ClientRequest& request,
                                      const ServiceCall& call,
                                      RequestRecord& record,
                                      CancelSource& cancel) {
  local_[claim] = own_record;
  auto outcome = services_.Run(request, call, record, cancel);
  if (record.verdict() == Verdict::kNotRun) {
    local_.erase(claim);
    store_.Release(claim, own_record);
    return outcome;
  }
  own_record.expires_ms = ExpiryAfter(Duration::zero());
  own_record.state = ClaimState::kUnknown;
  if (const auto* response = std::get_if<HttpResponse>(&outcome)) {
    if (response->body.size() <= kMaxOutcomeBytes) {
      own_record.state = ClaimState::kDone;
      own_record.status = response->status;
      own_record.content_type =
          response->headers.Find("Content-Type").value_or("");
      own_record.body = response->body;
    } else {
      own_record.message = "the call ran; its answer was too large to be kept";
    }
  } else if (const auto* refusal = std::get_if<Refusal>(&outcome)) {
    own_record.message = refusal->message;
  }
  StoreOutcome(claim, own_record);
  return outcome;
}

void ClaimedCalls::StoreOutcome(const std::string& claim,
                                const ClaimRecord& final_record) {
  local_[claim] = final_record;
  if (store_.StoreOutcome(claim, final_record,
                          deps_.clock.Now() + kOutcomeStoreTimeout)) {
    local_.erase(claim);
    return;
  }
  boost::fibers::fiber([this, claim, final_record] {
    constexpr Duration kRetryTimeout = std::chrono::minutes(10);
    store_.StoreOutcome(claim, final_record, deps_.clock.Now() + kRetryTimeout);
    local_.erase(claim);
  }).detach();
}

std::optional<ServiceOutcome> ClaimedCalls::ResolveOutcome(
    const std::string& claim,
    const ClaimRecord& current,
    const std::string& fingerprint) {
  if (current.fingerprint != fingerprint) {
    return Refusal{422,
                   "idempotency_key_reused",
                   "the Idempotency-Key was used for another request: method, "
                   "path or body differ",
                   Verdict::kNotRun,
                   {}};
  }
  if (current.state == ClaimState::kDone) {
    HttpResponse response{current.status, {}, current.body};
    if (!current.content_type.empty()) {
      response.headers.Set("Content-Type", current.content_type);
    }
    response.headers.Set("X-Idempotent-Replay", "true");
    return response;
  }
  if (current.state == ClaimState::kUnknown) {
    return Unknown("an earlier send of this call may have run: " +
                   current.message);
  }
  if (deps_.peers.MayStillRun(current.node)) {
    return std::nullopt;
  }
  ClaimRecord final_record = current;
  final_record.state = ClaimState::kUnknown;
  final_record.message = "the node that ran it is gone";
  final_record.expires_ms = ExpiryAfter(Duration::zero());
  store_.StoreOutcome(claim, final_record, deps_.clock.Now());
  return Unknown("an earlier send of this call may have run: " +
                 final_record.message);
}

std::optional<ServiceOutcome> ClaimedCalls::WaitForOutcome(
    const std::string& claim,
    const ClaimRecord& own_record,
    TimePoint deadline,
    const CancelSource& cancel) {
  Duration poll_interval = kInitialPollInterval;
  while (!cancel.cancelled()) {
    const auto now = deps_.clock.Now();
    if (now >= deadline) {
      return Refusal{409, "in_progress",
                     "an earlier send of this call is still running",
                     Verdict::kMayHaveRun, std::chrono::seconds(1)};
    }
    deps_.clock.SleepUntil(std::min(now + poll_interval, deadline));
    poll_interval = std::min(poll_interval * 2, kMaxPollInterval);
    std::optional<ClaimRecord> current;
    if (const auto it = local_.find(claim); it != local_.end()) {
      current = it->second;
    } else if (auto read = store_.Read(claim)) {
      current = std::move(read.assume_value());
    } else {
      continue;
    }
    if (!current) {
      return std::nullopt;
    }
    if (auto outcome =
            ResolveOutcome(claim, *current, own_record.fingerprint)) {
      return outcome;
    }
  }
  return ClientGone();
}

}  // namespace tanagerloom
