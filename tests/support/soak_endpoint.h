// Defines SoakEndpoint, an endpoint of a fault soak that injects its own
// faults, and SoakObservations, what all endpoints of a run observe.
#ifndef TESTS_SUPPORT_SOAK_ENDPOINT_H_
#define TESTS_SUPPORT_SOAK_ENDPOINT_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "testing/fleet_standin/endpoint_standin.h"
#include "testing/support/standin.h"
#include "tests/support/soak_calls.h"
#include "tests/support/statement_checks.h"

namespace tanagerloom::testing_support {

class Link;

/// What the endpoints of one run observe.
struct SoakObservations {
  std::int64_t start_ms = 0;  ///< Start of the run.
  std::set<std::string> sent_attempts;
  StatementChecks statements;
  std::string violations;  ///< One line for each broken guarantee.
};

/// A temporary fault of an endpoint.
enum class EndpointFault {
  kNone,
  kLosesAnswers,
  kFails,
  kSlow,
  kTruncatesStream
};

/// An endpoint behind a proxy. Tests leak it, because the fibers of its server
/// run until the process ends.
class SoakEndpoint {
 public:
  /// `streams` tells whether it answers with streams, as an engine does.
  SoakEndpoint(StoreStandin& store,
               const std::string& id,
               const std::string& service,
               bool streams,
               SoakObservations& observations)
      : standin(store, id, service),
        streams_(streams),
        observations_(observations) {
    standin.serve = [this](const HttpRequest& request,
                           HttpResponder& responder) {
      Serve(request, responder);
    };
    standin.refuse = [this](const HttpRequest& request,
                            HttpResponder& responder) {
      return RefuseWithPause(request, responder);
    };
  }

  EndpointStandin standin;
  std::shared_ptr<Link> link;  ///< The proxy.
  EndpointFault fault = EndpointFault::kNone;
  /// Whether it says in its answers that it leaves.
  bool leaving = false;
  /// Pause that it asks for while it refuses all requests; 0 if it serves them.
  std::int64_t pause_ms = 0;

 private:
  static std::string AttemptOf(const HttpRequest& request) {
    return std::string(request.headers.Find("Attempt-Id").value_or(""));
  }

  EndpointStart Start() const { return {standin.id(), standin.started_ms()}; }

  bool RefuseWithPause(const HttpRequest& request, HttpResponder& responder) {
    constexpr double kMsPerSecond = 1000;
    const auto attempt = AttemptOf(request);
    const auto now = NowMs() - observations_.start_ms;
    observations_.statements.OnArrival(Start(), attempt, now);
    if (pause_ms == 0) {
      return false;
    }
    observations_.statements.OnPause(Start(), attempt, now, pause_ms);
    const auto seconds = static_cast<double>(pause_ms) / kMsPerSecond;
    (void)responder.Send(
        {503,
         {{"Not-Executed", "1"}, {"Retry-After", std::to_string(seconds)}},
         ""});
    return true;
  }

  void Serve(const HttpRequest& request, HttpResponder& responder) {
    const auto attempt = AttemptOf(request);
    if (!observations_.sent_attempts.contains(attempt) ||
        request.body != "body of " + attempt) {
      observations_.violations +=
          "a request that no client sent: " + attempt + "\n";
    }
    const auto current = fault;
    SleepMs(current == EndpointFault::kSlow ? 700 : 15);
    if (current == EndpointFault::kLosesAnswers) {
      responder.Abort();
    } else if (current == EndpointFault::kFails) {
      (void)responder.Send({500, AnswerHeaders(request), "failed"});
    } else if (streams_) {
      WriteStream(request, responder,
                  current == EndpointFault::kTruncatesStream);
    } else {
      (void)responder.Send(
          {200, AnswerHeaders(request), "answer to " + attempt});
    }
  }

  HttpHeaders AnswerHeaders(const HttpRequest& request) {
    auto headers = EndpointStandin::SealedHeaders(request);
    if (leaving) {
      headers.Add("Server-Leaving", "1");
      observations_.statements.OnLeaving(Start(), AttemptOf(request));
    }
    return headers;
  }

  void WriteStream(const HttpRequest& request,
                   HttpResponder& responder,
                   bool truncate) {
    const std::string last(request.headers.Find("Last-Event-Id").value_or("0"));
    if (!responder.StartStream(200, AnswerHeaders(request))) {
      return;
    }
    for (int i = std::stoi(last) + 1; i <= kSoakEvents; ++i) {
      if (truncate && i == kSoakEvents) {
        responder.Abort();
        return;
      }
      if (!responder.Write(SoakEvent(AttemptOf(request), i))) {
        return;
      }
      SleepMs(20);
    }
    (void)responder.Finish();
  }

  bool streams_;
  SoakObservations& observations_;
};

}  // namespace tanagerloom::testing_support

#endif  // TESTS_SUPPORT_SOAK_ENDPOINT_H_
