#include "testing/harness/test_client.h"

#include <boost/fiber/fiber.hpp>

#include "runtime/runtime.h"

namespace tanagerloom::testing_support {

namespace {

// Returns the text of a stream of server-sent events; empty unless the stream
// is well-formed and ends with [DONE].
std::string StreamText(std::string_view body) {
  std::string text;
  while (true) {
    const auto end = body.find("\n\n");
    if (end == std::string_view::npos || !body.starts_with("data: ")) {
      return "";
    }
    const auto data = body.substr(6, end - 6);
    body.remove_prefix(end + 2);
    if (data == "[DONE]") {
      return body.empty() ? text : "";
    }
    const auto event = nlohmann::json::parse(data, nullptr, false);
    if (!event.is_object() || !event.contains("choices")) {
      return "";
    }
    const auto& choice = event["choices"][0];
    text += choice.contains("delta") ? choice["delta"].value("content", "")
                                     : choice.value("text", "");
  }
}

}  // namespace

nlohmann::json CallResult::Json() const {
  auto json = nlohmann::json::parse(body, nullptr, false);
  return json.is_discarded() ? nlohmann::json() : json;
}

std::string CallResult::RefusalCode() const {
  const auto json = Json();
  return json.is_object() && json.contains("error")
             ? json["error"].value("code", "")
             : "";
}

std::string CallResult::RefusalVerdict() const {
  const auto json = Json();
  return json.is_object() && json.contains("error")
             ? json["error"].value("verdict", "")
             : "";
}

std::string CallResult::Text() const {
  if (status != 200) {
    return "";
  }
  if (body.starts_with("data: ")) {
    return StreamText(body);
  }
  const auto json = Json();
  if (!json.is_object() || !json.contains("choices")) {
    return "";
  }
  const auto& choice = json["choices"][0];
  return choice.contains("message") ? choice["message"].value("content", "")
                                    : choice.value("text", "");
}

TestClient::TestClient() : client_(Runtime::Get().io()) {}

CallResult TestClient::Send(const Call& call) {
  const auto start = std::chrono::steady_clock::now();
  // On a reused connection the call would fail if the other process has closed
  // it meanwhile.
  auto result = client_.Call(
      call.to, call.request,
      {.deadline = start + call.timeout, .fresh_connection = true});
  CallResult answer;
  answer.took = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - start);
  if (result) {
    answer.status = result.assume_value().status;
    answer.headers = std::move(result.assume_value().headers);
    answer.body = std::move(result.assume_value().body);
  } else {
    answer.failure = result.assume_error().error.message;
    answer.verdict = result.assume_error().verdict;
  }
  return answer;
}

std::vector<CallResult> TestClient::SendAll(const std::vector<Call>& calls) {
  std::vector<CallResult> answers(calls.size());
  std::vector<boost::fibers::fiber> fibers;
  for (std::size_t i = 0; i < calls.size(); ++i) {
    fibers.emplace_back([&, i] { answers[i] = Send(calls[i]); });
  }
  for (auto& it : fibers) {
    it.join();
  }
  return answers;
}

CallResult TestClient::SendJson(const Address& to,
                                const std::string& method,
                                const std::string& target,
                                const nlohmann::json& body) {
  return Send({to,
               {method.empty() ? "POST" : method,
                target,
                {{"Content-Type", "application/json"}},
                body.is_null() ? "" : body.dump()}});
}

}  // namespace tanagerloom::testing_support
