// Defines Refusal, the answer to a request that gets no result. It states
// whether the request may have run.
#ifndef ROUTING_REFUSAL_H_
#define ROUTING_REFUSAL_H_

#include <optional>
#include <string>

#include "base/verdict.h"
#include "http/http_message.h"
#include "runtime/clock.h"

namespace tanagerloom {

/// Why a request was not served, and whether it may have run.
struct Refusal {
  int status = 503;  ///< HTTP status.
  std::string
      code;  ///< Stable error code for programs; docs/api.md lists them.
  /// Text for people that names the invalid value or the cause.
  std::string message;
  Verdict verdict = Verdict::kNotRun;
  std::optional<Duration> retry_after;  ///< Sent as Retry-After.
};

/// The refusal as JSON text `{"error":{...}}`.
std::string RefusalBody(const Refusal& refusal);

/// The refusal as an HTTP response, with Retry-After in whole seconds (at least
/// 1) if `retry_after` is set.
HttpResponse RefusalResponse(const Refusal& refusal);

}  // namespace tanagerloom

#endif  // ROUTING_REFUSAL_H_
