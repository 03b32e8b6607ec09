#include "routing/refusal.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace tanagerloom {

std::string RefusalBody(const Refusal& refusal) {
  const nlohmann::json body = {{"error",
                                {{"code", refusal.code},
                                 {"message", refusal.message},
                                 {"verdict", VerdictName(refusal.verdict)}}}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse RefusalResponse(const Refusal& refusal) {
  auto response = JsonResponse(refusal.status, RefusalBody(refusal));
  if (refusal.retry_after) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*refusal.retry_after).count();
    response.headers.Set(
        "Retry-After", std::to_string(std::max<decltype(seconds)>(1, seconds)));
  }
  return response;
}

}  // namespace tanagerloom
