// Defines Refusal, the truthful answer to a request that gets no result.
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
  int status = 503;
  std::string code;     ///< Stable, for programs; docs/api.md lists them.
  std::string message;  ///< Names the bad value or the cause.
  Verdict verdict = Verdict::kNotRun;
  std::optional<Duration> retry_after;
};

/// The refusal as `{"error":{...}}`.
std::string RefusalBody(const Refusal& refusal);

/// The refusal as a whole response with Retry-After.
HttpResponse RefusalResponse(const Refusal& refusal);

}  // namespace tanagerloom

#endif  // ROUTING_REFUSAL_H_
