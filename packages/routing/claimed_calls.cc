#include "routing/claimed_calls.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <utility>

#include "config/settings.h"
#include "ports/peer_network.h"

namespace tanagerloom {

namespace {

// Larger outcomes are not kept, so that ranges stay small; a resend is told
// that the call ran.
constexpr std::size_t kMaxOutcomeBytes = 32UL * 1024;

// Time to store a claim; beyond it the caller is told that nothing ran.
constexpr Duration kClaimTimeout = std::chrono::seconds(3);

// The answer waits this long for its outcome to be stored, so that a resend at
// another node finds it.
constexpr Duration kSettleTimeout = std::chrono::seconds(1);

constexpr Duration kFirstPoll = std::chrono::milliseconds(30);
constexpr Duration kLongestPoll = std::chrono::seconds(1);

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
  ClaimRecord own;
  own.fingerprint = FingerprintText(request.fingerprint);
  own.request = request.id;
  own.node = deps_.peers.self();
  // A running call's claim outlives its deadline by the retention time.
  own.expires_ms = ExpiryAfter(request.deadline - deps_.clock.Now());
  while (true) {
    auto holder = Hold(claim, own, request.deadline);
    if (!holder) {
      return Refusal{503, "claim_unavailable",
                     "this attempt did not run, since its Idempotency-Key "
                     "could not be recorded: " +
                         holder.assume_error().message,
                     Verdict::kNotRun, std::chrono::seconds(2)};
    }
    if (holder.assume_value().request == request.id) {
      return RunOwned(claim, std::move(own), request, call, record, cancel);
    }
    if (auto outcome =
            OutcomeOf(claim, holder.assume_value(), own.fingerprint)) {
      return std::move(*outcome);
    }
    if (auto outcome = WaitForOutcome(claim, own, request.deadline, cancel)) {
      return std::move(*outcome);
    }
  }
}

Result<ClaimRecord> ClaimedCalls::Hold(const std::string& claim,
                                       const ClaimRecord& own,
                                       TimePoint deadline) {
  if (const auto it = local_.find(claim); it != local_.end()) {
    return it->second;
  }
  return store_.Take(claim, own,
                     std::min(deadline, deps_.clock.Now() + kClaimTimeout));
}

ServiceOutcome ClaimedCalls::RunOwned(const std::string& claim,
                                      ClaimRecord own,
                                      const ClientRequest& request,
                                      const ServiceCall& call,
                                      RequestRecord& record,
                                      CancelSource& cancel) {
  local_[claim] = own;
  auto outcome = services_.Run(request, call, record, cancel);
  if (record.verdict() == Verdict::kNotRun) {
    local_.erase(claim);
    store_.Release(claim, own);
    return outcome;
  }
  own.expires_ms = ExpiryAfter(Duration::zero());
  own.state = ClaimState::kUnknown;
  if (const auto* response = std::get_if<HttpResponse>(&outcome)) {
    if (response->body.size() <= kMaxOutcomeBytes) {
      own.state = ClaimState::kDone;
      own.status = response->status;
      own.content_type = response->headers.Find("Content-Type").value_or("");
      own.body = response->body;
    } else {
      own.message = "the call ran; its answer was too large to be kept";
    }
  } else if (const auto* refusal = std::get_if<Refusal>(&outcome)) {
    own.message = refusal->message;
  }
  Settle(claim, own);
  return outcome;
}

// Stores an outcome. The claim stays known locally until it is stored.
void ClaimedCalls::Settle(const std::string& claim,
                          const ClaimRecord& settled) {
  local_[claim] = settled;
  if (store_.Settle(claim, settled, deps_.clock.Now() + kSettleTimeout)) {
    local_.erase(claim);
    return;
  }
  boost::fibers::fiber([this, claim, settled] {
    constexpr Duration kRetryTime = std::chrono::minutes(10);
    store_.Settle(claim, settled, deps_.clock.Now() + kRetryTime);
    local_.erase(claim);
  }).detach();
}

std::optional<ServiceOutcome> ClaimedCalls::OutcomeOf(
    const std::string& claim,
    const ClaimRecord& holder,
    const std::string& fingerprint) {
  if (holder.fingerprint != fingerprint) {
    return Refusal{422,
                   "idempotency_key_reused",
                   "the Idempotency-Key was used for another request: method, "
                   "path or body differ",
                   Verdict::kNotRun,
                   {}};
  }
  if (holder.state == ClaimState::kDone) {
    HttpResponse response{holder.status, {}, holder.body};
    if (!holder.content_type.empty()) {
      response.headers.Set("Content-Type", holder.content_type);
    }
    response.headers.Set("X-Idempotent-Replay", "true");
    return response;
  }
  if (holder.state == ClaimState::kUnknown) {
    return Unknown("an earlier send of this call may have run: " +
                   holder.message);
  }
  if (deps_.peers.MayStillRun(holder.node)) {
    return std::nullopt;
  }
  ClaimRecord settled = holder;
  settled.state = ClaimState::kUnknown;
  settled.message = "the node that ran it is gone";
  settled.expires_ms = ExpiryAfter(Duration::zero());
  store_.Settle(claim, settled, deps_.clock.Now());
  return Unknown("an earlier send of this call may have run: " +
                 settled.message);
}

std::optional<ServiceOutcome> ClaimedCalls::WaitForOutcome(
    const std::string& claim,
    const ClaimRecord& own,
    TimePoint deadline,
    const CancelSource& cancel) {
  Duration poll = kFirstPoll;
  while (!cancel.cancelled()) {
    const auto now = deps_.clock.Now();
    if (now >= deadline) {
      return Refusal{409, "in_progress",
                     "an earlier send of this call is still running",
                     Verdict::kMayHaveRun, std::chrono::seconds(1)};
    }
    deps_.clock.SleepUntil(std::min(now + poll, deadline));
    poll = std::min(poll * 2, kLongestPoll);
    std::optional<ClaimRecord> holder;
    if (const auto it = local_.find(claim); it != local_.end()) {
      holder = it->second;
    } else if (auto read = store_.Read(claim)) {
      holder = std::move(read.assume_value());
    } else {
      continue;
    }
    if (!holder) {
      return std::nullopt;
    }
    if (auto outcome = OutcomeOf(claim, *holder, own.fingerprint)) {
      return outcome;
    }
  }
  return ClientGone();
}

}  // namespace tanagerloom
