// Stand-in for a model engine. It executes orders, reports its state and load,
// serves inference requests and keeps a ledger. Tests inject faults by POST
// /test/control (see kDefaultControl) and POST /test/crash.
#include "base/id.h"
#include "runtime/runtime.h"
#include "testing/engine_standin/batch.h"
#include "testing/engine_standin/replica_table.h"
#include "testing/support/engine_text.h"
#include "testing/support/flags.h"
#include "testing/support/ledger.h"
#include "testing/support/standin.h"

namespace tanagerloom::testing_support {
namespace {

// Settings of POST /test/control. A count applies to the next N events:
// - leaving: refuse requests and all orders but unloads, as a draining engine;
// - order_delay_ms: delay before an order is executed;
// - drop_orders: close the connection before the order takes effect;
// - lose_order_answers: close the connection after the order took effect;
// - fail_loads: number of failing loads by model;
// - not_run: refuse a request with X-Not-Run;
// - fail: answer 500 without running the request;
// - lose_answers: run the request and close the connection;
// - wrong_answers: answer with the id and text of another request;
// - cut_streams: close the connection in the middle of a stream;
// - cut_ends: close the connection after the last token, without the end
//   marker;
// - omit_ends: end the response properly after the last token, without the end
//   marker;
// - slow_factor: multiplies the time for each token.
const nlohmann::json kDefaultControl = {
    {"leaving", false},
    {"order_delay_ms", 0},
    {"drop_orders", 0},
    {"lose_order_answers", 0},
    {"fail_loads", nlohmann::json::object()},
    {"not_run", 0},
    {"fail", 0},
    {"lose_answers", 0},
    {"wrong_answers", 0},
    {"cut_streams", 0},
    {"cut_ends", 0},
    {"omit_ends", 0},
    {"slow_factor", 1.0}};

constexpr auto kPollInterval = std::chrono::milliseconds(20);
constexpr int kDefaultMaxTokens = 16;

// Returns the X-Request-Id of a request; empty if there is none.
std::string RequestId(const HttpRequest& request) {
  return std::string(request.headers.Find("X-Request-Id").value_or(""));
}

// The engine: its HTTP API, test control and simulated crashes.
class Engine {
 public:
  explicit Engine(const Flags& flags)
      : port_(static_cast<std::uint16_t>(flags.Number("port", 0))),
        crash_exits_(flags.Text("crash", "exit") == "exit"),
        crash_ms_(flags.Number("crash-ms", 1000)),
        resume_ms_(flags.Number("resume-ms", 5000)),
        ledger_(flags.Text("ledger")),
        replicas_(flags, control_, ledger_),
        batch_(flags, control_, ledger_, [this] { Crash(crash_ms_); }) {
    ledger_.Add("boot", {{"boot", replicas_.boot()}});
    Listen();
  }

 private:
  void Listen() {
    server_ =
        ServeLoopback(port_, [this](const auto& request, auto& responder) {
          Handle(request, responder);
        });
  }

  void Handle(const HttpRequest& request, HttpResponder& responder) {
    const auto path = request.Path();
    if (path == "/v1/chat/completions" || path == "/v1/completions") {
      HandleInference(request, responder);
    } else if (const auto id = PathAfter(request, "/v1/streams/")) {
      ResumeStream(*id, request, responder);
    } else if (path == "/control/orders") {
      HandleOrder(request, responder);
    } else if (path == "/control/state") {
      SendJson(responder, 200, replicas_.State());
    } else if (path == "/control/load") {
      SendJson(responder, 200, batch_.lagging_load());
    } else if (path == "/control/cache-events") {
      SendJson(responder, 200,
               batch_.prefixes().PublishedEvents(
                   std::stoull("0" + request.Query("after").value_or(""))));
    } else if (const auto cancelled = PathAfter(request, "/control/cancel/")) {
      HandleCancel(*cancelled, responder);
    } else {
      HandleTest(request, responder);
    }
  }

  void HandleTest(const HttpRequest& request, HttpResponder& responder) {
    if (request.Path() == "/test/ledger") {
      SendJson(responder, 200,
               {{"boot", replicas_.boot()},
                {"events", ledger_.events()},
                {"loads", replicas_.load_counts()},
                {"peak_memory_mb", replicas_.peak_mb()},
                {"peak_replicas", replicas_.peak_replicas()}});
      return;
    }
    const auto body = ParseObject(request, responder);
    if (!body) {
      return;
    }
    if (request.Path() == "/test/control") {
      control_.Merge(*body);
      SendJson(responder, 200, control_.values());
    } else if (request.Path() == "/test/crash") {
      SendJson(responder, 200, {{"crashed", true}});
      Crash(body->value("down_ms", crash_ms_));
    } else {
      SendJson(responder, 404, {{"error", "no such path"}});
    }
  }

  void HandleOrder(const HttpRequest& request, HttpResponder& responder) {
    const auto order = ParseObject(request, responder);
    if (!order) {
      return;
    }
    if (control_.ConsumeFault("drop_orders")) {
      responder.Abort();
      return;
    }
    const auto boot = replicas_.boot();
    SleepMs(control_.Number("order_delay_ms"));
    if (boot != replicas_.boot()) {
      responder.Abort();
      return;
    }
    const auto [status, body] = replicas_.Execute(*order);
    if (control_.ConsumeFault("lose_order_answers")) {
      responder.Abort();
    } else {
      SendJson(responder, status, body);
    }
  }

  void HandleCancel(const std::string& id, HttpResponder& responder) {
    const auto generation = batch_.Find(id);
    if (generation == nullptr) {
      SendJson(responder, 404, {{"error", "no such request"}});
      return;
    }
    if (!generation->HasEnded()) {
      generation->cancelled = true;
      generation->changed.Signal();
    }
    SendJson(responder, 200, {{"cancelled", generation->cancelled}});
  }

  // Sends a 503 which says that the request was not run.
  static void RefuseNotRun(const HttpRequest& request,
                           HttpResponder& responder,
                           const char* reason) {
    auto response =
        JsonResponse(503, nlohmann::json{{"reason", reason}}.dump());
    response.headers.Set("X-Not-Run", "true");
    response.headers.Set("X-Request-Id", RequestId(request));
    (void)responder.Send(std::move(response));
  }

  void HandleInference(const HttpRequest& request, HttpResponder& responder) {
    const auto body = ParseObject(request, responder);
    if (!body) {
      return;
    }
    if (control_.Bool("leaving")) {
      RefuseNotRun(request, responder, "leaving");
      return;
    }
    if (control_.ConsumeFault("not_run")) {
      RefuseNotRun(request, responder, "overloaded");
      return;
    }
    if (control_.ConsumeFault("fail")) {
      SendJson(responder, 500, {{"error", "internal"}});
      return;
    }
    auto generation = std::make_shared<Generation>();
    generation->request_id = RequestId(request);
    generation->model = body->value("model", "");
    generation->prompt = PromptOf(*body);
    generation->max_tokens = body->value("max_tokens", kDefaultMaxTokens);
    generation->priority = body->value("priority", 0);
    generation->stream = body->value("stream", false);
    generation->replica = replicas_.FindServing(generation->model);
    if (generation->replica == nullptr) {
      RefuseNotRun(request, responder, "not_loaded");
      return;
    }
    if (!batch_.Start(generation)) {
      RefuseNotRun(request, responder, "overloaded");
      return;
    }
    const bool chat = request.Path() == "/v1/chat/completions";
    if (generation->stream) {
      StreamGeneration(generation, 0, chat, responder);
    } else {
      SendWholeAnswer(generation, chat, responder);
    }
  }

  // Waits for a change after number `seen`, at most for kPollInterval.
  static void WaitForChange(Generation& generation, std::uint64_t seen) {
    generation.changed.WaitUntil(
        seen, std::chrono::steady_clock::now() + kPollInterval);
  }

  // Waits for the end of the generation and sends it as one response. Cancels
  // the generation if the client closes the connection.
  void SendWholeAnswer(const std::shared_ptr<Generation>& generation,
                       bool chat,
                       HttpResponder& responder) {
    while (!generation->HasEnded()) {
      WaitForChange(*generation, generation->changed.count());
      if (responder.client_gone()) {
        generation->cancelled = !generation->HasEnded();
      }
    }
    if (!generation->completed || control_.ConsumeFault("lose_answers")) {
      responder.Abort();
      return;
    }
    auto id = generation->request_id;
    std::string text;
    for (const auto& it : generation->tokens) {
      text += it;
    }
    if (control_.ConsumeFault("wrong_answers")) {
      id = NewId("foreign-");
      text = EngineText(generation->model, id, generation->max_tokens);
    }
    auto choice = nlohmann::json{{"index", 0}, {"finish_reason", "stop"}};
    if (chat) {
      choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
      choice["text"] = text;
    }
    auto response = JsonResponse(
        200,
        nlohmann::json{
            {"id", id},
            {"object", chat ? "chat.completion" : "text_completion"},
            {"model", generation->model},
            {"choices", {choice}},
            {"usage", {{"completion_tokens", generation->tokens.size()}}}}
            .dump());
    response.headers.Set("X-Request-Id", id);
    (void)responder.Send(std::move(response));
  }

  // Streams an existing generation from a token offset on.
  void ResumeStream(const std::string& id,
                    const HttpRequest& request,
                    HttpResponder& responder) {
    const auto generation = batch_.Find(id);
    if (generation == nullptr || generation->cancelled) {
      SendJson(responder, 404, {{"error", "no such stream"}});
      return;
    }
    StreamGeneration(
        generation, std::stoull("0" + request.Query("offset").value_or("")),
        request.Query("format").value_or("chat") == "chat", responder);
  }

  // Returns one server-sent event with a piece of the generated text.
  static std::string StreamEvent(const Generation& generation,
                                 bool chat,
                                 const std::string& text,
                                 const nlohmann::json& finish_reason) {
    auto choice =
        nlohmann::json{{"index", 0}, {"finish_reason", finish_reason}};
    if (chat) {
      choice["delta"] = nlohmann::json::object();
      if (!text.empty()) {
        choice["delta"]["content"] = text;
      }
    } else {
      choice["text"] = text;
    }
    return "data: " +
           nlohmann::json{
               {"id", generation.request_id},
               {"object", chat ? "chat.completion.chunk" : "text_completion"},
               {"model", generation.model},
               {"choices", {choice}}}
               .dump() +
           "\n\n";
  }

  // Returns a complete generation of a request that was never sent.
  static std::shared_ptr<Generation> ForeignGeneration(
      const Generation& generation) {
    auto foreign = std::make_shared<Generation>();
    foreign->request_id = NewId("foreign-");
    foreign->model = generation.model;
    foreign->max_tokens = generation.max_tokens;
    for (int i = 0; i < foreign->max_tokens; ++i) {
      foreign->tokens.push_back(
          EngineToken(foreign->model, foreign->request_id, i));
    }
    foreign->completed = true;
    return foreign;
  }

  // Streams the generation from its token number `offset` on. A generation that
  // has no reader for resume_ms_ is cancelled.
  void StreamGeneration(const std::shared_ptr<Generation>& generation,
                        std::size_t offset,
                        bool chat,
                        HttpResponder& responder) {
    ++generation->readers;
    const bool truncate = control_.ConsumeFault("cut_streams");
    const auto source = control_.ConsumeFault("wrong_answers")
                            ? ForeignGeneration(*generation)
                            : generation;
    (void)responder.StartStream(200, {{"Content-Type", "text/event-stream"},
                                      {"X-Request-Id", source->request_id}});
    const bool whole = WriteTokens(*source, offset, chat, truncate, responder);
    if (whole && control_.ConsumeFault("cut_ends")) {
      responder.Abort();
    } else if (whole && control_.ConsumeFault("omit_ends")) {
      (void)responder.Finish();
    } else if (whole) {
      (void)responder.Write(StreamEvent(*source, chat, "", "stop"));
      (void)responder.Write("data: [DONE]\n\n");
      (void)responder.Finish();
    } else {
      responder.Abort();
    }
    if (--generation->readers == 0 && !generation->HasEnded()) {
      Spawn([this, generation] {
        SleepMs(resume_ms_);
        if (generation->readers == 0 && !generation->HasEnded()) {
          generation->cancelled = true;
          generation->changed.Signal();
        }
      });
    }
  }

  // Streams the tokens from number `next` on, if `truncate` only the first
  // half. Returns whether every token was written.
  static bool WriteTokens(Generation& generation,
                          std::size_t next,
                          bool chat,
                          bool truncate,
                          HttpResponder& responder) {
    const auto half = static_cast<std::size_t>(generation.max_tokens) / 2;
    while (!responder.client_gone() && !(truncate && next >= half)) {
      const auto seen = generation.changed.count();
      if (next < generation.tokens.size()) {
        const auto event =
            StreamEvent(generation, chat, generation.tokens[next++], nullptr);
        if (!responder.Write(event)) {
          return false;
        }
      } else if (generation.HasEnded()) {
        return generation.completed;
      } else {
        WaitForChange(generation, seen);
      }
    }
    return false;
  }

  // Exits the process, or simulates a restart with an outage of `down_ms`:
  // connections close, the memory is empty and the boot id is new.
  void Crash(double down_ms) {
    ledger_.Add("crash", {{"boot", replicas_.boot()}});
    if (crash_exits_) {
      Runtime::Exit(134);
    }
    server_.reset();
    replicas_.Restart();
    batch_.CrashAll();
    Spawn([this, down_ms] {
      SleepMs(down_ms);
      ledger_.Add("boot", {{"boot", replicas_.boot()}});
      Listen();
    });
  }

  std::uint16_t port_;
  bool crash_exits_;
  double crash_ms_;   // Default outage of a simulated crash.
  double resume_ms_;  // Time for which a stream can be resumed.
  TestControl control_{kDefaultControl};
  Ledger ledger_;
  ReplicaTable replicas_;
  Batch batch_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace
}  // namespace tanagerloom::testing_support

int main(int argc, char** argv) {
  using namespace tanagerloom::testing_support;
  tanagerloom::Runtime::Get();
  const Flags flags(argc, argv);
  const Engine engine(flags);
  RunUntilStopped();
}
