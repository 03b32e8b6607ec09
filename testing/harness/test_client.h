// Defines TestClient, an HTTP client for tests that can send many requests at
// the same time, and what it reports about each of them.
#ifndef TESTING_HARNESS_TEST_CLIENT_H_
#define TESTING_HARNESS_TEST_CLIENT_H_

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/verdict.h"
#include "http/http_client.h"
#include "http/http_message.h"

namespace tanagerloom::testing_support {

/// A request, the address it is sent to and its timeout.
struct Call {
  Address to;
  HttpRequest request;
  std::chrono::milliseconds timeout{60000};
};

/// The response to a call, or the failure of the connection.
struct CallResult {
  int status = 0;  ///< 0 if no whole response arrived.
  HttpHeaders headers;
  std::string body;
  std::string failure;  ///< Message of the connection failure if status is 0.
  /// Whether the request may have run, if status is 0.
  Verdict verdict = Verdict::kRan;
  std::chrono::milliseconds took{0};  ///< Duration of the call.

  /// Returns the body as JSON; null if it is no JSON.
  nlohmann::json Json() const;
  /// Returns the "code" of a refusal; empty if the body is no refusal.
  std::string RefusalCode() const;
  /// Returns the "verdict" of a refusal; empty if the body is no refusal.
  std::string RefusalVerdict() const;
  /// Returns the generated text of a completion, whole or streamed; empty
  /// unless it is complete.
  std::string Text() const;
};

/// An HTTP client that opens a new connection for each call.
class TestClient {
 public:
  TestClient();

  /// Sends a call and waits for its response or failure.
  CallResult Send(const Call& call);

  /// Sends all calls at the same time and waits for all results, which have the
  /// order of the calls.
  std::vector<CallResult> SendAll(const std::vector<Call>& calls);

  /// Sends a JSON body, or an empty one for null. An empty `method` stands for
  /// POST.
  CallResult SendJson(const Address& to,
                      const std::string& method,
                      const std::string& target,
                      const nlohmann::json& body);

 private:
  HttpClient client_;
};

}  // namespace tanagerloom::testing_support

#endif  // TESTING_HARNESS_TEST_CLIENT_H_
