// Defines ForwardedRequest, which handles one client request from its arrival
// to its single response.
#ifndef FORWARDING_FORWARDED_REQUEST_H_
#define FORWARDING_FORWARDED_REQUEST_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "fleet/request_profile.h"
#include "forwarding/crash_watch.h"
#include "forwarding/endpoint_attempt.h"
#include "forwarding/endpoint_chooser.h"
#include "forwarding/event_assembler.h"
#include "forwarding/forwarding_dependencies.h"
#include "forwarding/quota_charge.h"
#include "forwarding/request_log.h"
#include "forwarding/retry_policy.h"
#include "http/http_message.h"
#include "runtime/clock.h"

namespace tanagerloom {

enum class OfferResult;
struct ConfigInForce;
struct Customer;
struct FleetService;
struct WaitTooLong;
struct WaitingRequest;
class ServiceTimes;
class Upload;
class UploadLimit;
class HttpResponder;
class WaitingLists;

/// Routes a request, waits for an endpoint that can run it, sends it there and
/// relays the response, or retries at another endpoint.
class ForwardedRequest {
 public:
  ForwardedRequest(const ForwardingDependencies& deps,
                   SharedRetryBudgets& budgets,
                   ServiceTimes& service_times,
                   UploadLimit& uploads,
                   WaitingLists& waiting_lists,
                   const HttpRequest& request,
                   HttpResponder& responder);
  ~ForwardedRequest();
  ForwardedRequest(const ForwardedRequest&) = delete;
  ForwardedRequest& operator=(const ForwardedRequest&) = delete;

  /// Serves the request. The client has its response, or the connection is
  /// aborted, when this returns.
  void Run();

  /// Ends the request early because the node stops. Run then answers and
  /// returns; call it from another fiber.
  void End();

 private:
  /// What to do after an attempt.
  enum class NextStep { kDone, kRetry };

  /// Shared with the callback for a disconnected client, which may outlive the
  /// request.
  struct ClientState {
    bool gone = false;
    EndpointAttempt* attempt = nullptr;
    WaitingRequest* waiting = nullptr;

    /// Ends what the request does now.
    void Interrupt() const;
  };

  /// Chooses the route, service and deadline. Refuses the request and returns
  /// false if there is none.
  bool FindRoute();
  /// Finds the customer whose API key the request carries. Refuses the request
  /// and returns false if it needs a key and its key is unknown.
  bool FindCustomer();
  /// Returns the priority of the customer, or else of the route; 0 is the
  /// highest.
  std::uint32_t Priority() const;
  /// Refuses the request and returns false if its service or model is unknown
  /// or if it is quarantined.
  bool CheckServable();
  /// Returns whether the model that the request names can be asked of engines
  /// and reported to other nodes.
  bool NamesUsableModel(const FleetService& service) const;
  /// Charges the request to its customer's quota. Refuses it and returns false
  /// if the quota has no room.
  bool ChargeQuota();
  /// Ends the request and returns true if it is quarantined. Checked before
  /// each attempt, since the last crash may come while the request waits.
  bool RejectQuarantined();
  /// Ends the request and returns true if the node stops before an endpoint is
  /// expected to answer it.
  bool RejectBeforeStop();
  /// Aborts the attempt in flight when the client disconnects.
  void WatchClient();

  /// Waits for an endpoint. Returns nothing if the request was answered or
  /// aborted instead.
  std::optional<EndpointTarget> AwaitEndpoint();
  /// Waits until the request has an endpoint or may no longer wait.
  void Await(WaitingRequest& waiting);
  /// Returns whether the request may wait now.
  bool MayWait(TimePoint wait_deadline);
  /// Chooses an endpoint that can take the request now, and counts its run so
  /// that no other request gets the same place.
  OfferResult TakePlace(std::optional<EndpointTarget>& target);
  /// Answers a request that got no endpoint.
  void EndWithoutEndpoint(const WaitingRequest& waiting);
  void RefuseTooLong(const WaitTooLong& wait);
  /// Returns the time until which the request may wait for an endpoint.
  TimePoint WaitDeadline() const;

  /// Runs one attempt and counts it as in flight meanwhile.
  NextStep RunAttempt(const EndpointTarget& target);
  /// Connects, sends the request and handles the response.
  NextStep Exchange(EndpointAttempt& attempt,
                    Upload& upload,
                    const EndpointTarget& target);
  /// Reads the whole response and sends it to the client.
  NextStep RelayWholeResponse(EndpointAttempt& attempt,
                              const EndpointTarget& target);
  /// Forwards the events of a stream to the client as they arrive.
  NextStep RelayStream(EndpointAttempt& attempt, const EndpointTarget& target);
  /// Writes `events` to the client; returns false if it has disconnected.
  bool ForwardEvents(const EndpointAttempt& attempt, const std::string& events);
  /// The first bytes of an attempt arrived: the endpoint has read the prompt.
  void OnPromptRead(const EndpointTarget& target);
  NextStep FinishStream(EndpointAttempt& attempt, const EndpointTarget& target);
  /// Handles a response that states that the request did not run.
  NextStep OnNotRun(const EndpointAttempt& attempt,
                    const EndpointTarget& target);
  NextStep OnAttemptFailed(const EndpointTarget& target,
                           const AttemptError& error);
  /// Returns kRetry if the request may be retried now; otherwise abandons it.
  NextStep Retry(const EndpointTarget& target, bool reached_endpoint);
  /// Ends the request without a further attempt: breaks off a started stream,
  /// relays the error response of an endpoint, or refuses the request.
  NextStep Abandon(bool timed_out);

  HttpRequest MakeAttempt(const EndpointTarget& target) const;
  TimePoint ResponseDeadline(const EndpointTarget& target) const;
  /// Returns the time until which an endpoint may be silent within a stream.
  TimePoint EventDeadline(const EndpointTarget& target) const;
  bool ShouldKeepWaiting(const EndpointTarget& target,
                         const AttemptError& error);
  /// Returns whether the request may be retried if the attempt in flight fails.
  bool MayStillRetry() const;
  /// Returns the delay after which the client may retry.
  std::chrono::milliseconds RetryAfter() const;

  /// Sends a response of this node's own.
  void Refuse(int status,
              std::string_view reason,
              std::chrono::milliseconds retry_after);
  /// Records the end of a request that got a response from an endpoint.
  void Finish(int status, std::string_view outcome);
  /// Returns whether the client has disconnected.
  bool IsClientGone();
  RequestProgress Progress() const;

  const ForwardingDependencies& deps_;
  SharedRetryBudgets& budgets_;
  ServiceTimes& service_times_;
  UploadLimit& uploads_;
  WaitingLists& waiting_lists_;
  const HttpRequest& request_;
  HttpResponder& responder_;
  const std::shared_ptr<ClientState> client_;
  const TimePoint arrived_at_;

  std::shared_ptr<const ConfigInForce> config_;
  const Route* route_ = nullptr;
  const Customer* customer_ = nullptr;  ///< Null without a known API key.
  std::string service_;
  RequestProfile profile_;
  RequestLog log_;
  CrashWatch crash_watch_;
  TimePoint deadline_{};
  std::optional<EndpointChooser> chooser_;  ///< Set once the service is known.

  QuotaCharge charge_;  ///< Given back if no endpoint runs the request.
  bool ended_ = false;  ///< The node stops.
  RequestHistory history_;
  std::uint32_t sends_ = 0;  ///< Number of times the request was sent.
  bool had_turn_ = false;    ///< Counted toward its customer's share.
  EventAssembler event_assembler_;
  bool forwarded_events_ = false;
  /// Error response of an endpoint, relayed if no retry succeeds.
  std::optional<HttpResponse> fallback_response_;
  TimePoint sent_at_{};  ///< Of the attempt in flight.
  /// When the attempt in flight was sent, or its last whole event or part of a
  /// whole response arrived. Single bytes of an event are no progress.
  TimePoint progress_at_{};
  /// Whether the endpoint of the attempt in flight has still to read the
  /// prompt.
  bool prompt_pending_ = false;
  Duration waited_{};  ///< Total time spent waiting for endpoints.
  /// Age of the request when its first event was forwarded.
  std::optional<Duration> first_event_age_;
};

}  // namespace tanagerloom

#endif  // FORWARDING_FORWARDED_REQUEST_H_
