#include "ctl/node_client.h"

#include <utility>

namespace tanagerloom {

namespace {

// Longer than a node tries to apply a file, so that its answer is not missed.
constexpr auto kCallTime = std::chrono::seconds(15);

ExitStatus StatusOf(int http_status) {
  // 5xx: the node can't reach the platform, or does not know the outcome.
  return http_status >= 500 ? ExitStatus::kUnreachable : ExitStatus::kRefused;
}

std::string MessageOf(const nlohmann::json& body, int http_status) {
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
  options.deadline = std::chrono::steady_clock::now() + kCallTime;
  const auto response = http_.Call(node_, request, options);
  if (!response) {
    return CtlFailure{ExitStatus::kUnreachable, response.error().error.message};
  }
  const auto& value = response.value();
  auto body = nlohmann::json::parse(value.body, nullptr, false);
  if (value.status != 200) {
    return CtlFailure{StatusOf(value.status), MessageOf(body, value.status)};
  }
  if (!body.is_object()) {
    return CtlFailure{ExitStatus::kUnreachable,
                      node_.ToString() + " gave no JSON object"};
  }
  return body;
}

}  // namespace tanagerloom
