// Stand-in for a plain service. A call of any path outside /test/ runs a
// request. The ledger records its id, Idempotency-Key, method, path and body,
// and the answer repeats all but the key. A body that contains CRASH_SERVICE
// exits the process.
#include "base/id.h"
#include "runtime/runtime.h"
#include "testing/support/flags.h"
#include "testing/support/ledger.h"
#include "testing/support/standin.h"

namespace tanagerloom::testing_support {
namespace {

// Settings of POST /test/control. A count applies to the next N requests:
// - delay_ms: time that a request runs;
// - leaving: refuse all requests with X-Not-Run, as a draining service;
// - crash_before, crash_after: close the connection before or after the request
//   runs;
// - crash_exits: exit the process at these points instead;
// - not_run: refuse a request with X-Not-Run;
// - fail: run the request and answer with fail_status;
// - lose_answers: run the request and close the connection.
const nlohmann::json kDefaultControl = {
    {"delay_ms", 0},     {"leaving", false},   {"crash_before", 0},
    {"crash_after", 0},  {"not_run", 0},       {"fail", 0},
    {"lose_answers", 0}, {"fail_status", 500}, {"crash_exits", false}};

// The HTTP API of the service and its test control.
class Service {
 public:
  explicit Service(const Flags& flags)
      : id_(flags.Text("id", "service")), ledger_(flags.Text("ledger")) {
    control_.Merge({{"delay_ms", flags.Number("delay-ms", 0)}});
  }

  void Handle(const HttpRequest& request, HttpResponder& responder) {
    if (request.Path() == "/test/control") {
      if (const auto changes = ParseObject(request, responder)) {
        control_.Merge(*changes);
        SendJson(responder, 200, control_.values());
      }
    } else if (request.Path() == "/test/ledger") {
      SendJson(responder, 200, {{"id", id_}, {"events", ledger_.events()}});
    } else {
      Run(request, responder);
    }
  }

 private:
  void Run(const HttpRequest& request, HttpResponder& responder) {
    const auto header = [&](std::string_view name) {
      return std::string(request.headers.Find(name).value_or(""));
    };
    const auto request_id = header("X-Request-Id");
    if (control_.Bool("leaving") || control_.ConsumeFault("not_run")) {
      auto response = JsonResponse(503, R"({"reason":"leaving"})");
      response.headers.Set("X-Not-Run", "true");
      response.headers.Set("X-Request-Id", request_id);
      (void)responder.Send(std::move(response));
      return;
    }
    if (control_.ConsumeFault("crash_before")) {
      Crash(responder);
      return;
    }
    const auto run = ++run_count_;
    ledger_.Add("run", {{"run", run},
                        {"request_id", request_id},
                        {"idempotency_key", header("Idempotency-Key")},
                        {"method", request.method},
                        {"path", request.target},
                        {"body", request.body}});
    if (request.body.find("CRASH_SERVICE") != std::string::npos) {
      Runtime::Exit(134);
    }
    SleepMs(control_.Number("delay_ms"));
    if (control_.ConsumeFault("crash_after")) {
      Crash(responder);
      return;
    }
    ledger_.Add("completed", {{"run", run}, {"request_id", request_id}});
    if (control_.ConsumeFault("lose_answers")) {
      responder.Abort();
      return;
    }
    auto response =
        JsonResponse(control_.ConsumeFault("fail")
                         ? static_cast<int>(control_.Number("fail_status"))
                         : 200,
                     nlohmann::json{{"service", id_},
                                    {"run", run},
                                    {"request_id", request_id},
                                    {"method", request.method},
                                    {"path", request.target},
                                    {"body", request.body}}
                         .dump());
    response.headers.Set("X-Request-Id", request_id);
    (void)responder.Send(std::move(response));
  }

  // Exits the process or closes the connection.
  void Crash(HttpResponder& responder) {
    if (control_.Bool("crash_exits")) {
      Runtime::Exit(134);
    }
    responder.Abort();
  }

  std::string id_;
  TestControl control_{kDefaultControl};
  Ledger ledger_;
  std::uint64_t run_count_ = 0;
};

}  // namespace
}  // namespace tanagerloom::testing_support

int main(int argc, char** argv) {
  using namespace tanagerloom::testing_support;
  tanagerloom::Runtime::Get();
  const Flags flags(argc, argv);
  Service service(flags);
  const auto server =
      ServeLoopback(static_cast<std::uint16_t>(flags.Number("port", 0)),
                    [&](const auto& request, auto& responder) {
                      service.Handle(request, responder);
                    });
  RunUntilStopped();
}
