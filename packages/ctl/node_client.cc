#include "ctl/node_client.h"

#include <utility>

namespace tanagerloom {

namespace {

// Timeout of a call. It exceeds the time in which a node tries to apply a file,
// so that the node's response is not missed.
constexpr auto kCallTimeout = std::chrono::seconds(15);

ExitStatus ExitStatusOf(int http_status) {
  // With 5xx the node can't reach the platform or does not know the outcome.
  return http_status >= 500 ? ExitStatus::kUnreachable : ExitStatus::kRefused;
}

// Returns the message of an error response, or its status if it has none.
std::string ErrorMessageOf(const nlohmann::json& body, int http_status) {
  const auto error =
      body.is_object() ? body.value("error", nlohmann::json()) : body;
  if (error.is_object() && error.contains("message") &&
      error["message"].is_string()) {
    return error["message"].get<std::string>();
  }
  return "HTTP status " + std::to_string(http_status);
}

}  // namespace

NodeClient::NodeClient(HttpClient& http, Address node, std::string token)
    : http_(http), node_(std::move(node)), token_(std::move(token)) {}

CtlResult<nlohmann::json> NodeClient::Get(const std::string& target) {
  return Call({"GET", target, {}, ""});
}

CtlResult<nlohmann::json> NodeClient::Send(const std::string& method,
                                           const std::string& target,
                                           std::string body) {
  HttpRequest request{method, target, {}, std::move(body)};
  if (!token_.empty()) {
    request.headers.Set("Authorization", "Bearer " + token_);
  }
  return Call(request);
}

CtlResult<nlohmann::json> NodeClient::Call(const HttpRequest& request) {
  HttpCallOptions options;
  options.deadline = std::chrono::steady_clock::now() + kCallTimeout;
  const auto response = http_.Call(node_, request, options);
  if (!response) {
    return CtlFailure{ExitStatus::kUnreachable, response.error().error.message};
  }
  const auto& value = response.value();
  auto body = nlohmann::json::parse(value.body, nullptr, false);
  if (value.status != 200) {
    return CtlFailure{ExitStatusOf(value.status),
                      ErrorMessageOf(body, value.status)};
  }
  if (!body.is_object()) {
    return CtlFailure{ExitStatus::kUnreachable,
                      node_.ToString() + " did not respond with a JSON object"};
  }
  return body;
}

}  // namespace tanagerloom
