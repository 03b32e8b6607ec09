// Stand-in for a model engine: orders, reports, inference and its ledger. Tests
// set faults by POST /test/control (see kDefaultControl) and POST /test/crash.
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

// Counts apply to the next N. drop_orders closes the connection before the
// order takes effect, lose_order_answers after it. fail_loads counts by model.
// not_run refuses requests with X-Not-Run; fail answers 500 before running;
// lose_answers runs a request and closes the connection; wrong_answers answers
// with another request's id and text; cut_streams closes a stream halfway;
// cut_ends closes it after the last token, and omit_ends ends the response
// properly there, both without the end marker.
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

std::string RequestId(const HttpRequest& request) {
  return std::string(request.headers.Find("X-Request-Id").value_or(""));
}

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

  static void WaitForChange(Generation& generation, std::uint64_t seen) {
    generation.changed.WaitUntil(
        seen, std::chrono::steady_clock::now() + kPollInterval);
  }

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

  // The complete generation of a request that nobody sent.
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

  // Streams the generation from its token number `offset` on; a stream that
  // nobody reads for resume_ms_ is cancelled.
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

  // Returns whether every token was written.
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

  // Ends the process, or acts as a process that ends and starts again after
  // `down_ms`: connections close, the memory is empty, the boot id is new.
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
  double crash_ms_;
  double resume_ms_;
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
