// Defines ForwardedRequest, one request of a client from its arrival to its
// single answer.
#ifndef FORWARDING_FORWARDED_REQUEST_H_
#define FORWARDING_FORWARDED_REQUEST_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/address.h"
#include "fleet/request_profile.h"
#include "forwarding/endpoint_attempt.h"
#include "forwarding/event_assembler.h"
#include "forwarding/forwarding_dependencies.h"
#include "forwarding/retry_policy.h"
#include "http/http_message.h"
#include "runtime/clock.h"

namespace tanagerloom {

struct ConfigInForce;
class HttpResponder;

/// Routes a request, waits for an endpoint that can run it, sends it, and
/// passes the answer on or goes on at another endpoint.
class ForwardedRequest {
 public:
  ForwardedRequest(const ForwardingDependencies& deps,
                   SharedRetryBudgets& budgets,
                   const HttpRequest& request,
                   HttpResponder& responder);
  ~ForwardedRequest();
  ForwardedRequest(const ForwardedRequest&) = delete;
  ForwardedRequest& operator=(const ForwardedRequest&) = delete;

  /// Serves the request; its answer is given when this returns.
  void Run();

 private:
  /// What follows after an attempt.
  enum class NextStep { kDone, kRetry };

  /// An endpoint chosen for an attempt.
  struct Target {
    std::string id;
    Address address;
  };

  /// Shared with the callback for a client that leaves, which may come late.
  struct ClientState {
    bool gone = false;
    EndpointAttempt* attempt = nullptr;
  };

  bool FindRoute();
  bool CheckServable();
  void WatchClient();

  std::optional<Target> AwaitEndpoint();
  std::optional<Target> ChooseEndpoint();
  std::set<std::string> ExcludedEndpoints() const;
  TimePoint WaitDeadline() const;
  bool IsLoadTooLate() const;

  NextStep RunAttempt(const Target& target);
  NextStep Exchange(EndpointAttempt& attempt, const Target& target);
  NextStep RelayWholeResponse(EndpointAttempt& attempt, const Target& target);
  NextStep RelayStream(EndpointAttempt& attempt, const Target& target);
  bool ForwardEvents(const EndpointAttempt& attempt, const std::string& events);
  NextStep FinishStream(EndpointAttempt& attempt, const Target& target);
  NextStep OnNotRun(const EndpointAttempt& attempt, const Target& target);
  NextStep OnAttemptFailed(const Target& target, const AttemptError& error);
  NextStep Retry(const Target& target, bool reached_endpoint);
  NextStep Abandon(bool timed_out);

  HttpRequest MakeAttempt(const Target& target) const;
  TimePoint ResponseDeadline(const Target& target) const;
  TimePoint EventDeadline(const Target& target) const;
  bool HasOtherEndpoint(const Target& target) const;
  bool ShouldKeepWaiting(const Target& target, const AttemptError& error);
  bool MayStillRetry() const;
  std::chrono::milliseconds RetryAfter() const;
  void ProbeForCrash(const Target& target);

  void Refuse(int status,
              std::string_view reason,
              std::chrono::milliseconds retry_after);
  void Finish(int status, std::string_view outcome);
  bool IsClientGone();
  std::int64_t AgeMs() const;

  const ForwardingDependencies& deps_;
  SharedRetryBudgets& budgets_;
  const HttpRequest& request_;
  HttpResponder& responder_;
  const std::shared_ptr<ClientState> client_;
  const TimePoint arrived_at_;

  std::shared_ptr<const ConfigInForce> config_;
  const Route* route_ = nullptr;
  std::string service_;
  RequestProfile profile_;
  TimePoint deadline_{};

  RequestHistory history_;
  std::uint32_t sends_ = 0;
  std::map<std::string, TimePoint> excluded_until_;
  EventAssembler event_assembler_;
  bool forwarded_events_ = false;
  std::optional<HttpResponse>
      fallback_response_;  ///< An endpoint's own failure.
  std::int64_t waited_ms_ = 0;
  std::int64_t first_event_ms_ = -1;
};

}  // namespace tanagerloom

#endif  // FORWARDING_FORWARDED_REQUEST_H_
