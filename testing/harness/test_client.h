// Defines TestClient, which sends requests from a test, many at the same time.
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

/// A request to one address.
struct Call {
  Address to;
  HttpRequest request;
  std::chrono::milliseconds timeout{60000};
};

/// What came back.
struct CallResult {
  int status = 0;  ///< 0 if no whole response arrived.
  HttpHeaders headers;
  std::string body;
  std::string failure;
  Verdict verdict = Verdict::kRan;  ///< Of the connection, if status is 0.
  std::chrono::milliseconds took{0};

  /// The body as JSON; null if it is none.
  nlohmann::json Json() const;
  /// The "code" or "verdict" of a refusal; empty if it is none.
  std::string RefusalCode() const;
  std::string RefusalVerdict() const;
  /// The generated text of a completion, whole or streamed; empty unless it
  /// is complete.
  std::string Text() const;
};

/// An HTTP client for tests.
class TestClient {
 public:
  TestClient();

  CallResult Send(const Call& call);

  /// Sends all calls at once and waits for all answers, in the same order.
  std::vector<CallResult> SendAll(const std::vector<Call>& calls);

  /// Sends a JSON body; an empty method name stands for POST.
  CallResult SendJson(const Address& to,
                      const std::string& method,
                      const std::string& target,
                      const nlohmann::json& body);

 private:
  HttpClient client_;
};

}  // namespace tanagerloom::testing_support

#endif  // TESTING_HARNESS_TEST_CLIENT_H_
