#include "routing/caller_request.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "base/id.h"

namespace tanagerloom {

namespace {

using nlohmann::json;

constexpr std::string_view kServicesPrefix = "/services/";

// The longest deadline a caller may ask for. Deferred work, such as a care
// plan, is due within a day.
constexpr std::int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;

constexpr std::size_t kMaxIdempotencyKeyBytes = 200;

// Bytes of one block of the engines' prefix caches, and the number of blocks
// compared; the first 8 KB tell the conversations of a model apart.
constexpr std::size_t kPrefixBlockBytes = 64;
constexpr std::size_t kMaxPrefixBlocks = 128;

// Deeper JSON is refused, since writing it again uses the stack.
constexpr int kMaxJsonDepth = 64;

Refusal Invalid(int status, std::string code, std::string message) {
  return {status, std::move(code), std::move(message), Verdict::kNotRun, {}};
}

// A value as it may appear in a message: short and printable.
std::string Quoted(std::string_view value) {
  constexpr std::size_t kMaxShown = 80;
  std::string out = "'";
  for (const char c : value.substr(0, kMaxShown)) {
    out += c >= ' ' && c < 127 ? c : '?';
  }
  return out + (value.size() > kMaxShown ? "...'" : "'");
}

std::optional<Refusal> CheckKey(const HttpRequest& request,
                                const Estate& estate,
                                const ClientSpec** caller) {
  constexpr std::string_view kScheme = "Bearer ";
  const auto header = request.headers.Find("Authorization");
  if (!header) {
    return Invalid(401, "missing_key",
                   "the header 'Authorization: Bearer KEY' is missing");
  }
  if (!header->starts_with(kScheme)) {
    return Invalid(401, "invalid_key",
                   "the header 'Authorization' is not of the form 'Bearer "
                   "KEY'");
  }
  *caller = estate.FindClient(header->substr(kScheme.size()));
  if (*caller == nullptr) {
    return Invalid(401, "invalid_key", "the key belongs to no caller");
  }
  return std::nullopt;
}

std::optional<Refusal> CheckClass(const HttpRequest& request,
                                  const ClientSpec& caller,
                                  CallerRequest& out) {
  const auto header = request.headers.Find("X-Precedence");
  if (!header && caller.classes.empty()) {
    return std::nullopt;
  }
  const std::string name =
      header ? std::string(*header) : caller.classes.front();
  const auto it = out.estate->classes.find(name);
  if (it == out.estate->classes.end()) {
    return Invalid(400, "unknown_class",
                   "the class " + Quoted(name) + " of X-Precedence is unknown");
  }
  if (std::find(caller.classes.begin(), caller.classes.end(), name) ==
      caller.classes.end()) {
    return Invalid(403, "class_not_allowed",
                   "the caller " + Quoted(caller.name) +
                       " may not use the class " + Quoted(name));
  }
  out.class_name = name;
  out.rank = it->second.rank;
  out.deferred = it->second.may_wait;
  out.deadline = out.arrived + it->second.default_deadline;
  return std::nullopt;
}

std::optional<Refusal> CheckDeadline(const HttpRequest& request,
                                     CallerRequest& out) {
  const auto header = request.headers.Find("X-Deadline-Ms");
  if (!header) {
    return std::nullopt;
  }
  std::int64_t ms = 0;
  const auto* end = header->data() + header->size();
  const auto parsed = std::from_chars(header->data(), end, ms);
  if (parsed.ec != std::errc() || parsed.ptr != end || ms <= 0 ||
      ms > kMaxDeadlineMs) {
    return Invalid(400, "invalid_deadline",
                   "X-Deadline-Ms is " + Quoted(*header) +
                       "; it must be a whole number from 1 to " +
                       std::to_string(kMaxDeadlineMs));
  }
  out.deadline = out.arrived + std::chrono::milliseconds(ms);
  return std::nullopt;
}

// Headers that concern only the connection or this node.
bool IsForwarded(std::string_view name) {
  static constexpr std::string_view kKept[] = {
      "accept",      "accept-language", "content-type",
      "traceparent", "tracestate",      "user-agent"};
  const auto equal = [](char a, char b) {
    return (a >= 'A' && a <= 'Z' ? a + 32 : a) == b;
  };
  return std::any_of(std::begin(kKept), std::end(kKept),
                     [&](std::string_view kept) {
                       return std::equal(name.begin(), name.end(), kept.begin(),
                                         kept.end(), equal);
                     });
}

HttpRequest EndpointRequest(const HttpRequest& request,
                            std::string target,
                            const CallerRequest& out) {
  HttpRequest result{request.method, std::move(target), {}, {}};
  for (const auto& it : request.headers.fields()) {
    if (IsForwarded(it.name)) {
      result.headers.Add(it.name, it.value);
    }
  }
  result.headers.Set("X-Request-Id", out.id);
  result.headers.Set("X-Precedence-Rank", std::to_string(out.rank));
  return result;
}

// The body for the engine: it always streams, so that this node sees progress
// also while it collects a whole answer, and gets the class as its priority.
std::string EngineBody(const std::string& text,
                       const json& body,
                       std::int64_t priority) {
  if (body.contains("priority") || body.contains("stream")) {
    json changed = body;
    changed["stream"] = true;
    changed["priority"] = priority;
    return changed.dump();
  }
  const auto brace = text.find('{');
  return text.substr(0, brace + 1) + R"("stream":true,"priority":)" +
         std::to_string(priority) + "," + text.substr(brace + 1);
}

std::string PromptText(const json& body) {
  if (const auto prompt = body.find("prompt");
      prompt != body.end() && prompt->is_string()) {
    return prompt->get<std::string>();
  }
  std::string text;
  const auto messages = body.find("messages");
  if (messages == body.end()) {
    return text;
  }
  for (const auto& it : *messages) {
    if (it.is_object() && it.contains("content") && it["content"].is_string()) {
      text += it["content"].get_ref<const std::string&>();
    }
    text += '\n';
    if (text.size() >= kPrefixBlockBytes * kMaxPrefixBlocks) {
      break;
    }
  }
  return text;
}

// Hashes of the prompt's prefixes, as engines name them in cache events: of the
// model's name in the request, a line feed and the prompt up to each block.
std::vector<std::uint64_t> PrefixHashes(const std::string& model,
                                        const json& body) {
  const std::string prompt = PromptText(body);
  std::vector<std::uint64_t> hashes;
  StableHasher hasher;
  hasher.Add(model);
  hasher.Add("\n");
  for (std::size_t at = 0; at + kPrefixBlockBytes <= prompt.size() &&
                           hashes.size() < kMaxPrefixBlocks;
       at += kPrefixBlockBytes) {
    hasher.Add(std::string_view(prompt).substr(at, kPrefixBlockBytes));
    hashes.push_back(hasher.Value());
  }
  return hashes;
}

// The hash that recognises a request that crashes endpoints, from any caller.
// Fields that change with each resend are left out.
std::uint64_t CrashFingerprint(std::string_view method,
                               std::string_view target,
                               json body) {
  for (const char* field :
       {"user", "metadata", "stream", "stream_options", "seed", "priority",
        "request_id", "id", "timestamp", "nonce"}) {
    body.erase(field);
  }
  std::string text(method);
  text += ' ';
  text += target;
  text += '\n';
  return StableHash(text +
                    body.dump(-1, ' ', false, json::error_handler_t::replace));
}

// Whether the nesting of JSON text stays within kMaxJsonDepth.
bool IsShallow(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      i += c == '\\' ? 1 : 0;
      in_string = c != '"';
    } else if (c == '"') {
      in_string = true;
    } else if (c == '{' || c == '[') {
      if (++depth > kMaxJsonDepth) {
        return false;
      }
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  return true;
}

std::optional<Refusal> ReadModelCall(const HttpRequest& request,
                                     CallerRequest& out) {
  if (!IsShallow(request.body)) {
    return Invalid(400, "malformed_json",
                   "the body is nested deeper than " +
                       std::to_string(kMaxJsonDepth) + " levels");
  }
  const auto body =
      json::parse(request.body, nullptr, /*allow_exceptions=*/false);
  if (body.is_discarded()) {
    return Invalid(400, "malformed_json",
                   "the body is not valid JSON in UTF-8");
  }
  if (!body.is_object()) {
    return Invalid(400, "malformed_json", "the body is not a JSON object");
  }
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return Invalid(400, "invalid_model", "the field 'model' is not a string");
  }
  ModelCall call;
  call.model_name = model->get<std::string>();
  if (const auto it = body.find("stream"); it != body.end()) {
    if (!it->is_boolean()) {
      return Invalid(400, "invalid_stream",
                     "the field 'stream' is neither true nor false");
    }
    call.stream = it->get<bool>();
  }
  call.chat = request.Path() == "/v1/chat/completions";
  const char* prompt = call.chat ? "messages" : "prompt";
  if (!body.contains(prompt) || (call.chat && !body[prompt].is_array())) {
    return Invalid(400, "invalid_prompt",
                   std::string("the field '") + prompt + "' is missing" +
                       (call.chat ? " or not an array" : ""));
  }
  const auto resolved = out.estate->Resolve(call.model_name);
  if (!resolved) {
    return Invalid(404, "unknown_model",
                   "the model " + Quoted(call.model_name) + " is not offered");
  }
  call.key = resolved->key;
  call.cell = resolved->model->pool;
  call.prefix = PrefixHashes(call.model_name, body);
  out.crash_fingerprint =
      CrashFingerprint(request.method, request.Path(), body);
  call.engine_request =
      EndpointRequest(request, std::string(request.Path()), out);
  call.engine_request.headers.Set("Content-Type", "application/json");
  call.engine_request.headers.Set("X-Model-Version", call.key.version);
  // Deferred work goes after all other classes at the engine, too.
  constexpr std::int64_t kDeferredPriority = 1000;
  call.engine_request.body = EngineBody(
      request.body, body, out.rank + (out.deferred ? kDeferredPriority : 0));
  out.call = std::move(call);
  return std::nullopt;
}

bool IsRepeatable(const ServiceSpec& service,
                  std::string_view method,
                  std::string_view path) {
  for (const auto& it : service.rules) {
    if ((it.method == "*" || it.method == method) &&
        path.starts_with(it.path_prefix)) {
      return it.retryable;
    }
  }
  return false;
}

std::uint64_t ServiceCrashFingerprint(const HttpRequest& request,
                                      std::uint64_t fingerprint) {
  const bool json_body = request.headers.Find("Content-Type")
                             .value_or("")
                             .starts_with("application/json");
  if (!json_body || !IsShallow(request.body)) {
    return fingerprint;
  }
  auto body = json::parse(request.body, nullptr, /*allow_exceptions=*/false);
  return body.is_object()
             ? CrashFingerprint(request.method, request.target, std::move(body))
             : fingerprint;
}

std::optional<Refusal> ReadServiceCall(const HttpRequest& request,
                                       CallerRequest& out) {
  const auto rest =
      std::string_view(request.target).substr(kServicesPrefix.size());
  const auto name = rest.substr(0, rest.find_first_of("/?"));
  const auto it = out.estate->services.find(name);
  if (it == out.estate->services.end()) {
    return Invalid(404, "unknown_service",
                   "the service " + Quoted(name) + " is not offered");
  }
  std::string target(rest.substr(name.size()));
  if (target.empty() || target[0] != '/') {
    target.insert(0, "/");
  }
  ServiceCall call;
  call.service = it->first;
  call.max_in_progress = it->second.max_in_flight;
  call.repeatable =
      IsRepeatable(it->second, request.method,
                   std::string_view(target).substr(0, target.find('?')));
  if (const auto key = request.headers.Find("Idempotency-Key")) {
    const bool printable = std::all_of(
        key->begin(), key->end(), [](char c) { return c > ' ' && c < 127; });
    if (key->empty() || key->size() > kMaxIdempotencyKeyBytes || !printable) {
      return Invalid(400, "invalid_idempotency_key",
                     "Idempotency-Key must have 1 to " +
                         std::to_string(kMaxIdempotencyKeyBytes) +
                         " printable ASCII characters");
    }
    call.idempotency_key = *key;
  }
  out.fingerprint =
      StableHash(request.method + " " + request.target + "\n" + request.body);
  out.crash_fingerprint = ServiceCrashFingerprint(request, out.fingerprint);
  call.endpoint_request = EndpointRequest(request, std::move(target), out);
  call.endpoint_request.body = request.body;
  if (!call.idempotency_key.empty()) {
    call.endpoint_request.headers.Set("Idempotency-Key", call.idempotency_key);
  }
  out.call = std::move(call);
  return std::nullopt;
}

std::optional<Refusal> ReadCall(const HttpRequest& request,
                                CallerRequest& out) {
  const auto path = request.Path();
  if (path == "/v1/chat/completions" || path == "/v1/completions") {
    if (request.method != "POST") {
      return Invalid(
          405, "method_not_allowed",
          std::string(path) + " takes POST, not " + Quoted(request.method));
    }
    return ReadModelCall(request, out);
  }
  if (path == "/v1/models") {
    if (request.method != "GET") {
      return Invalid(405, "method_not_allowed",
                     "/v1/models takes GET, not " + Quoted(request.method));
    }
    out.call = ModelList();
    return std::nullopt;
  }
  if (path.starts_with(kServicesPrefix)) {
    return ReadServiceCall(request, out);
  }
  return Invalid(404, "unknown_path",
                 "the path " + Quoted(path) + " is unknown");
}

}  // namespace

std::variant<CallerRequest, Refusal> ReadCallerRequest(
    const HttpRequest& request,
    std::string id,
    std::shared_ptr<const Estate> estate,
    TimePoint now) {
  constexpr auto kDefaultDeadline = std::chrono::seconds(30);
  CallerRequest out;
  out.id = std::move(id);
  out.arrived = now;
  out.deadline = now + kDefaultDeadline;
  out.estate = std::move(estate);
  if (out.estate->version == 0) {
    return Refusal{503, "not_configured",
                   "this node does not know the configuration yet",
                   Verdict::kNotRun, std::chrono::seconds(1)};
  }
  const ClientSpec* caller = nullptr;
  if (auto refusal = CheckKey(request, *out.estate, &caller)) {
    return std::move(*refusal);
  }
  out.caller = caller->name;
  out.operator_name = caller->operator_name;
  if (auto refusal = CheckClass(request, *caller, out)) {
    return std::move(*refusal);
  }
  if (auto refusal = CheckDeadline(request, out)) {
    return std::move(*refusal);
  }
  if (auto refusal = ReadCall(request, out)) {
    return std::move(*refusal);
  }
  return out;
}

}  // namespace tanagerloom
