// Defines what the stand-in programs share: serving on the loopback address,
// JSON answers, and the fault settings that tests change over HTTP.
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

/// Listens on 127.0.0.1:port; ends the process if that fails.
std::unique_ptr<HttpServer> ServeLoopback(std::uint16_t port,
                                          HttpServer::Handler handler);

/// Suspends the calling fiber until the process is stopped by a signal.
[[noreturn]] void RunUntilStopped();

/// Starts a detached fiber.
void Spawn(std::function<void()> body);

void SleepMs(double ms);

/// Milliseconds of the steady clock.
std::int64_t NowMs();

/// Answers with JSON.
void SendJson(HttpResponder& responder, int status, const nlohmann::json& json);

/// Parses a JSON object; answers 400 and returns nothing if it is none.
std::optional<nlohmann::json> ParseObject(const HttpRequest& request,
                                          HttpResponder& responder);

/// The part of `path` after `prefix`, decoded; nothing if it does not start
/// with it.
std::optional<std::string> PathAfter(const HttpRequest& request,
                                     std::string_view prefix);

/// Faults and settings that a test changes by POST /test/control with a JSON
/// object that is merged in.
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

  /// Uses up one of the next N faults called `name`; false if none is left.
  bool ConsumeFault(const char* name);
  /// As ConsumeFault, for a count of `key` in the object called `name`.
  bool ConsumeFaultFor(const char* name, const std::string& key);

 private:
  nlohmann::json values_;
};

}  // namespace tanagerloom::testing_support

#endif  // TESTING_SUPPORT_STANDIN_H_
