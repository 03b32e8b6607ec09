#include "routing/endpoint_reply.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

namespace tanagerloom {

namespace {

// Pause after a refusal for overload without Retry-After.
constexpr Duration kDefaultBackpressure = std::chrono::milliseconds(500);

// The field "reason" of a refusal's JSON body; empty if there is none.
std::string ReadReason(std::string_view body) {
  const auto json =
      nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return {};
  }
  const auto it = json.find("reason");
  return it != json.end() && it->is_string() ? it->get<std::string>()
                                             : std::string();
}

}  // namespace

bool IsClientError(int status) {
  return status >= 400 && status < 500 && status != 404 && status != 408 &&
         status != 425 && status != 429;
}

bool IsRelayedHeader(std::string_view name) {
  std::string lower(name);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
  });
  static constexpr std::string_view kNotRelayed[] = {
      "connection", "content-length", "keep-alive", "transfer-encoding",
      "te",         "trailer",        "upgrade",    "x-request-id"};
  return std::find(std::begin(kNotRelayed), std::end(kNotRelayed), lower) ==
         std::end(kNotRelayed);
}

EndpointRefusal ParseRefusal(int status,
                             const HttpHeaders& headers,
                             std::string_view body) {
  EndpointRefusal refusal;
  refusal.model_missing = status == 404;
  refusal.states_not_run = headers.Find("X-Not-Run") == "true";
  bool overloaded = status == 429;
  if (status == 503) {
    const auto reason = ReadReason(body);
    refusal.statement.leaving = reason == "leaving";
    refusal.model_missing = reason == "not_loaded";
    overloaded = reason == "overloaded";
  }
  if (status == 503 || status == 429) {
    refusal.statement.pause =
        ParsePause(headers.Find("Retry-After").value_or(""));
  }
  if (overloaded && !refusal.statement.pause) {
    refusal.statement.pause = kDefaultBackpressure;
  }
  return refusal;
}

}  // namespace tanagerloom
