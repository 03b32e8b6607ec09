// Defines what the stand-in programs share: an HTTP server on the loopback
// address, JSON answers, fibers and time, and the settings that tests change
// over HTTP to inject faults.
#ifndef TESTING_SUPPORT_STANDIN_H_
#define TESTING_SUPPORT_STANDIN_H_

#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "http/http_message.h"
#include "http/http_responder.h"
#include "http/http_server.h"

namespace tanagerloom::testing_support {

/// Starts a server on 127.0.0.1:port. Exits the process with status 1 if the
/// port cannot be opened.
std::unique_ptr<HttpServer> ServeLoopback(std::uint16_t port,
                                          HttpServer::Handler handler);

/// Suspends the calling fiber until a stop signal exits the process.
[[noreturn]] void RunUntilStopped();

/// Starts a detached fiber.
void Spawn(std::function<void()> body);

/// Suspends the calling fiber; returns at once if `ms` is not positive.
void SleepMs(double ms);

/// Returns the time of the steady clock in milliseconds.
std::int64_t NowMs();

/// Sends a response with a JSON body.
void SendJson(HttpResponder& responder, int status, const nlohmann::json& json);

/// Parses the body as a JSON object. If it is none, sends a 400 response and
/// returns nothing.
std::optional<nlohmann::json> ParseObject(const HttpRequest& request,
                                          HttpResponder& responder);

/// Returns the percent-decoded rest of the request path after `prefix`; nothing
/// if the path does not start with it.
std::optional<std::string> PathAfter(const HttpRequest& request,
                                     std::string_view prefix);

/// Settings and faults of a stand-in. A test changes them by POST
/// /test/control, whose JSON object is merged into them.
class TestControl {
 public:
  explicit TestControl(nlohmann::json defaults)
      : values_(std::move(defaults)) {}

  void Merge(const nlohmann::json& changes) { values_.merge_patch(changes); }
  const nlohmann::json& values() const { return values_; }

  double Number(const char* name) const { return values_.value(name, 0.0); }
  bool Bool(const char* name) const { return values_.value(name, false); }
  std::string Text(const char* name) const {
    return values_.value(name, std::string());
  }

  /// Decrements the count of the fault `name`. Returns whether the fault is to
  /// be injected now, which is false if the count was 0.
  bool ConsumeFault(const char* name);
  /// As ConsumeFault, for the count of `key` in the object `name`.
  bool ConsumeFaultFor(const char* name, const std::string& key);

 private:
  nlohmann::json values_;
};

}  // namespace tanagerloom::testing_support

#endif  // TESTING_SUPPORT_STANDIN_H_
