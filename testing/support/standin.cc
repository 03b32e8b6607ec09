#include "testing/support/standin.h"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <cstdio>

#include "runtime/runtime.h"

namespace tanagerloom::testing_support {

std::unique_ptr<HttpServer> ServeLoopback(std::uint16_t port,
                                          HttpServer::Handler handler) {
  auto server = std::make_unique<HttpServer>(
      Runtime::Get().io(), HttpServerLimits{}, std::move(handler));
  const auto address = server->Listen({"127.0.0.1", port});
  if (!address) {
    std::fprintf(stderr, "%s\n", address.assume_error().message.c_str());
    Runtime::Exit(1);
  }
  return server;
}

void RunUntilStopped() {
  Runtime::Get().OnStopSignal([](int) { Runtime::Exit(0); });
  while (true) {
    SleepMs(60000);
  }
}

void Spawn(std::function<void()> body) {
  boost::fibers::fiber(std::move(body)).detach();
}

void SleepMs(double ms) {
  if (ms > 0) {
    boost::this_fiber::sleep_for(
        std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000)));
  }
}

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void SendJson(HttpResponder& responder,
              int status,
              const nlohmann::json& json) {
  (void)responder.Send(JsonResponse(status, json.dump()));
}

std::optional<nlohmann::json> ParseObject(const HttpRequest& request,
                                          HttpResponder& responder) {
  auto json = nlohmann::json::parse(request.body, nullptr, false);
  if (!json.is_object()) {
    SendJson(responder, 400, {{"error", "the body is no JSON object"}});
    return std::nullopt;
  }
  return json;
}

std::optional<std::string> PathAfter(const HttpRequest& request,
                                     std::string_view prefix) {
  const auto path = request.Path();
  if (!path.starts_with(prefix)) {
    return std::nullopt;
  }
  return PercentDecode(path.substr(prefix.size()));
}

bool TestControl::ConsumeFault(const char* name) {
  const auto n = values_.value(name, 0);
  if (n <= 0) {
    return false;
  }
  values_[name] = n - 1;
  return true;
}

bool TestControl::ConsumeFaultFor(const char* name, const std::string& key) {
  if (!values_.contains(name) || values_[name].value(key, 0) <= 0) {
    return false;
  }
  values_[name][key] = values_[name].value(key, 0) - 1;
  return true;
}

}  // namespace tanagerloom::testing_support
