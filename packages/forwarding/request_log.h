// Defines RequestLog, which writes the events of one forwarded request.
#ifndef FORWARDING_REQUEST_LOG_H_
#define FORWARDING_REQUEST_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "runtime/clock.h"

namespace tanagerloom {

class EventLog;
struct AttemptError;
struct WaitTooLong;

/// What became of a request so far.
struct RequestProgress {
  std::string route;     ///< Name; empty while unknown.
  std::string service;   ///< Empty while unknown.
  std::string customer;  ///< Name; empty without a known API key.
  std::string model;
  std::uint64_t config_version = 0;  ///< 0 without a configuration.
  std::uint32_t sends = 0;           ///< Number of times the request was sent.
  std::uint32_t runs = 0;  ///< Number of endpoints that ran it or may have.
  Duration waited{};       ///< Total time spent waiting for endpoints.
  /// Age of the request when its first event was forwarded; negative before.
  Duration first_event_age = Duration(-1);
};

/// Writes one line for each decision about a request, with its id and age.
class RequestLog {
 public:
  RequestLog(EventLog& log,
             const Clock& clock,
             std::string request,
             TimePoint arrived_at)
      : log_(log),
        clock_(clock),
        request_(std::move(request)),
        arrived_at_(arrived_at) {}

  /// Time since the request arrived.
  Duration Age() const { return clock_.Now() - arrived_at_; }

  void Sent(const std::string& endpoint, std::uint32_t send) const;
  /// An endpoint stated that it did not run the request.
  void NotRun(const std::string& endpoint, int status) const;
  void AttemptFailed(const std::string& endpoint,
                     const AttemptError& error) const;
  /// A started stream is resumed after event `after` at another endpoint.
  void Resumed(const std::string& left, const std::string& after) const;
  /// The client disconnected; `endpoint` is empty if none ran the request.
  void ClientGone(const std::string& endpoint) const;
  /// The request would wait too long in the order of its priority and customer.
  void TurnTooLate(const WaitTooLong& wait,
                   std::uint32_t priority,
                   const std::string& customer) const;
  /// This node answered with a status of its own.
  void Refused(int status,
               std::string_view reason,
               const RequestProgress& progress) const;
  /// The client got a response of an endpoint, whole or not.
  void Finished(int status,
                std::string_view outcome,
                const RequestProgress& progress) const;

 private:
  std::int64_t AgeMs() const;

  EventLog& log_;
  const Clock& clock_;
  std::string request_;
  TimePoint arrived_at_;
};

}  // namespace tanagerloom

#endif  // FORWARDING_REQUEST_LOG_H_
