#include "forwarding/request_log.h"

#include <chrono>

#include "base/event_log.h"
#include "base/events.h"
#include "forwarding/endpoint_attempt.h"
#include "forwarding/waiting_list.h"

namespace tanagerloom {

namespace {

std::int64_t ToMs(Duration duration) {
  return std::chrono::floor<std::chrono::milliseconds>(duration).count();
}

}  // namespace

std::int64_t RequestLog::AgeMs() const {
  return ToMs(Age());
}

void RequestLog::Sent(const std::string& endpoint, std::uint32_t send) const {
  log_.Record(events::kForwardSent, {{"request", request_},
                                     {"endpoint", endpoint},
                                     {"send", send},
                                     {"age_ms", AgeMs()}});
}

void RequestLog::NotRun(const std::string& endpoint, int status) const {
  log_.Record(events::kForwardAttemptFailed,
              {{"request", request_},
               {"endpoint", endpoint},
               {"status", status},
               {"verdict", VerdictName(Verdict::kNotRun)},
               {"age_ms", AgeMs()}});
}

void RequestLog::AttemptFailed(const std::string& endpoint,
                               const AttemptError& error) const {
  log_.Record(events::kForwardAttemptFailed,
              {{"request", request_},
               {"endpoint", endpoint},
               {"failure", AttemptFailureName(error.failure)},
               {"verdict", VerdictName(error.verdict)},
               {"age_ms", AgeMs()},
               {"detail", error.detail}});
}

void RequestLog::Resumed(const std::string& left,
                         const std::string& after) const {
  log_.Record(events::kForwardResumed, {{"request", request_},
                                        {"left", left},
                                        {"after", after},
                                        {"age_ms", AgeMs()}});
}

void RequestLog::ClientGone(const std::string& endpoint) const {
  log_.Record(
      events::kForwardClientGone,
      {{"request", request_}, {"endpoint", endpoint}, {"age_ms", AgeMs()}});
}

void RequestLog::TurnTooLate(const WaitTooLong& wait,
                             std::uint32_t priority,
                             const std::string& customer) const {
  log_.Record(events::kForwardTurnTooLate,
              {{"request", request_},
               {"priority", priority},
               {"customer", customer},
               {"ahead", wait.ahead},
               {"place_interval_ms", ToMs(wait.place_interval)},
               {"expected_wait_ms", ToMs(wait.expected_wait)},
               {"retry_after_ms", ToMs(wait.retry_after)},
               {"age_ms", AgeMs()}});
}

void RequestLog::Refused(int status,
                         std::string_view reason,
                         const RequestProgress& progress) const {
  log_.Record(events::kForwardRefused, {{"request", request_},
                                        {"status", status},
                                        {"reason", reason},
                                        {"route", progress.route},
                                        {"service", progress.service},
                                        {"customer", progress.customer},
                                        {"model", progress.model},
                                        {"config", progress.config_version},
                                        {"runs", progress.runs},
                                        {"sends", progress.sends},
                                        {"waited_ms", ToMs(progress.waited)},
                                        {"age_ms", AgeMs()}});
}

void RequestLog::Finished(int status,
                          std::string_view outcome,
                          const RequestProgress& progress) const {
  log_.Record(events::kForwardFinished,
              {{"request", request_},
               {"status", status},
               {"outcome", outcome},
               {"route", progress.route},
               {"customer", progress.customer},
               {"model", progress.model},
               {"sends", progress.sends},
               {"runs", progress.runs},
               {"waited_ms", ToMs(progress.waited)},
               {"first_event_ms", ToMs(progress.first_event_age)},
               {"age_ms", AgeMs()}});
}

}  // namespace tanagerloom
