#include "routing/client_request.h"

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

// The max value of X-Deadline-Ms: 24 hours. Deferred work, such as a care plan,
// has to be complete within a day.
constexpr std::int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;

constexpr std::size_t kMaxIdempotencyKeyBytes = 200;

// Size of one block of the engines' prefix caches, and the max number of blocks
// that are hashed for a prompt. The first 8 KB are enough to tell the
// conversations of a model apart.
constexpr std::size_t kPrefixBlockBytes = 64;
constexpr std::size_t kMaxPrefixBlocks = 128;

// Max nesting depth of a JSON body. Serializing JSON is recursive, so deeper
// nesting could overflow the stack.
constexpr int kMaxJsonDepth = 64;

// The refusal of a request that fails a check.
Refusal InvalidRequest(int status, std::string code, std::string message) {
  return {status, std::move(code), std::move(message), Verdict::kNotRun, {}};
}

// Quotes a client's value for a message: at most 80 bytes, with '?' for bytes
// that are not printable ASCII.
std::string Quoted(std::string_view value) {
  constexpr std::size_t kMaxShown = 80;
  std::string out = "'";
  for (const char c : value.substr(0, kMaxShown)) {
    out += c >= ' ' && c < 127 ? c : '?';
  }
  return out + (value.size() > kMaxShown ? "...'" : "'");
}

// Finds the client that the request's API key belongs to.
std::optional<Refusal> Authenticate(const HttpRequest& request,
                                    const Estate& estate,
                                    const ClientSpec** client) {
  constexpr std::string_view kScheme = "Bearer ";
  const auto header = request.headers.Find("Authorization");
  if (!header) {
    return InvalidRequest(401, "missing_key",
                          "the header 'Authorization: Bearer KEY' is missing");
  }
  if (!header->starts_with(kScheme)) {
    return InvalidRequest(
        401, "invalid_key",
        "the header 'Authorization' is not of the form 'Bearer "
        "KEY'");
  }
  *client = estate.FindClient(header->substr(kScheme.size()));
  if (*client == nullptr) {
    return InvalidRequest(401, "invalid_key", "the key belongs to no client");
  }
  return std::nullopt;
}

// Sets the request's class, rank and default deadline from X-Precedence, or
// from the client's first class if the header is missing.
std::optional<Refusal> CheckClass(const HttpRequest& request,
                                  const ClientSpec& client,
                                  ClientRequest& out) {
  const auto header = request.headers.Find("X-Precedence");
  if (!header && client.classes.empty()) {
    return std::nullopt;
  }
  const std::string name =
      header ? std::string(*header) : client.classes.front();
  const auto it = out.estate->classes.find(name);
  if (it == out.estate->classes.end()) {
    return InvalidRequest(
        400, "unknown_class",
        "the class " + Quoted(name) + " of X-Precedence is unknown");
  }
  if (std::find(client.classes.begin(), client.classes.end(), name) ==
      client.classes.end()) {
    return InvalidRequest(403, "class_not_allowed",
                          "the client " + Quoted(client.name) +
                              " may not use the class " + Quoted(name));
  }
  out.class_name = name;
  out.rank = it->second.rank;
  out.deferred = it->second.may_wait;
  out.deadline = out.arrived + it->second.default_deadline;
  return std::nullopt;
}

// Sets the request's deadline from X-Deadline-Ms if the header is present.
std::optional<Refusal> CheckDeadline(const HttpRequest& request,
                                     ClientRequest& out) {
  const auto header = request.headers.Find("X-Deadline-Ms");
  if (!header) {
    return std::nullopt;
  }
  std::int64_t ms = 0;
  const auto* end = header->data() + header->size();
  const auto parsed = std::from_chars(header->data(), end, ms);
  if (parsed.ec != std::errc() || parsed.ptr != end || ms <= 0 ||
      ms > kMaxDeadlineMs) {
    return InvalidRequest(400, "invalid_deadline",
                          "X-Deadline-Ms is " + Quoted(*header) +
                              "; it must be a whole number from 1 to " +
                              std::to_string(kMaxDeadlineMs));
  }
  out.deadline = out.arrived + std::chrono::milliseconds(ms);
  return std::nullopt;
}

// Whether a client's header is forwarded to the endpoint. All others concern
// only the connection or this node.
bool IsForwarded(std::string_view name) {
  static constexpr std::string_view kForwardedHeaders[] = {
      "accept",      "accept-language", "content-type",
      "traceparent", "tracestate",      "user-agent"};
  const auto equal_ignoring_case = [](char a, char b) {
    return (a >= 'A' && a <= 'Z' ? a + 32 : a) == b;
  };
  return std::any_of(std::begin(kForwardedHeaders), std::end(kForwardedHeaders),
                     [&](std::string_view forwarded) {
                       return std::equal(name.begin(), name.end(),
                                         forwarded.begin(), forwarded.end(),
                                         equal_ignoring_case);
                     });
}

// The request to an endpoint, without a body: the forwarded headers, the
// request's id and its rank.
HttpRequest MakeEndpointRequest(const HttpRequest& request,
                                std::string target,
                                const ClientRequest& out) {
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

// The request body for the engine, with "stream" set to true and "priority" to
// `priority`. Engines always stream, so that this node sees progress even while
// it collects a whole completion. A body without these fields is not serialized
// again; they are inserted into its text.
std::string MakeEngineBody(const std::string& text,
                           const json& body,
                           std::int64_t priority) {
  if (body.contains("priority") || body.contains("stream")) {
    json updated = body;
    updated["stream"] = true;
    updated["priority"] = priority;
    return updated.dump();
  }
  const auto brace = text.find('{');
  return text.substr(0, brace + 1) + R"("stream":true,"priority":)" +
         std::to_string(priority) + "," + text.substr(brace + 1);
}

// The prompt's text: the field "prompt", or the contents of all "messages" with
// a line feed after each, up to the length that is hashed.
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

// Hashes of the prompt's prefixes, as engines name them in cache events: the
// hash of the model's name in the request, a line feed, and the prompt up to
// the end of each block.
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

// The hash that identifies a request that crashes endpoints, whichever client
// sends it. Fields that change with each resend are left out.
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

// Whether JSON text is nested at most kMaxJsonDepth deep. Scans the text
// without parsing it.
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

// Parses and checks a completion request into `out.call`.
std::optional<Refusal> ReadModelCall(const HttpRequest& request,
                                     ClientRequest& out) {
  if (!IsShallow(request.body)) {
    return InvalidRequest(400, "malformed_json",
                          "the body is nested deeper than " +
                              std::to_string(kMaxJsonDepth) + " levels");
  }
  const auto body =
      json::parse(request.body, nullptr, /*allow_exceptions=*/false);
  if (body.is_discarded()) {
    return InvalidRequest(400, "malformed_json",
                          "the body is not valid JSON in UTF-8");
  }
  if (!body.is_object()) {
    return InvalidRequest(400, "malformed_json",
                          "the body is not a JSON object");
  }
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return InvalidRequest(400, "invalid_model",
                          "the field 'model' is not a string");
  }
  ModelCall call;
  call.model_name = model->get<std::string>();
  if (const auto it = body.find("stream"); it != body.end()) {
    if (!it->is_boolean()) {
      return InvalidRequest(400, "invalid_stream",
                            "the field 'stream' is neither true nor false");
    }
    call.stream = it->get<bool>();
  }
  call.chat = request.Path() == "/v1/chat/completions";
  const char* prompt = call.chat ? "messages" : "prompt";
  if (!body.contains(prompt) || (call.chat && !body[prompt].is_array())) {
    return InvalidRequest(400, "invalid_prompt",
                          std::string("the field '") + prompt + "' is missing" +
                              (call.chat ? " or not an array" : ""));
  }
  const auto resolved = out.estate->Resolve(call.model_name);
  if (!resolved) {
    return InvalidRequest(
        404, "unknown_model",
        "the model " + Quoted(call.model_name) + " is not offered");
  }
  call.key = resolved->key;
  call.cell = resolved->model->pool;
  call.prefix = PrefixHashes(call.model_name, body);
  out.crash_fingerprint =
      CrashFingerprint(request.method, request.Path(), body);
  call.engine_request =
      MakeEndpointRequest(request, std::string(request.Path()), out);
  call.engine_request.headers.Set("Content-Type", "application/json");
  call.engine_request.headers.Set("X-Model-Version", call.key.version);
  // Deferred work is served after all other classes at the engine, too.
  constexpr std::int64_t kDeferredPriority = 1000;
  call.engine_request.body = MakeEngineBody(
      request.body, body, out.rank + (out.deferred ? kDeferredPriority : 0));
  out.call = std::move(call);
  return std::nullopt;
}

// Whether the service's first rule that matches the method and path allows
// retries. A call that no rule matches is not retryable.
bool IsRetryable(const ServiceSpec& service,
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

// The crash fingerprint of a service call: as that of a model call for a JSON
// object, else `fingerprint`.
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

// Parses and checks a service call into `out.call`.
std::optional<Refusal> ReadServiceCall(const HttpRequest& request,
                                       ClientRequest& out) {
  const auto rest =
      std::string_view(request.target).substr(kServicesPrefix.size());
  const auto name = rest.substr(0, rest.find_first_of("/?"));
  const auto it = out.estate->services.find(name);
  if (it == out.estate->services.end()) {
    return InvalidRequest(404, "unknown_service",
                          "the service " + Quoted(name) + " is not offered");
  }
  std::string target(rest.substr(name.size()));
  if (target.empty() || target[0] != '/') {
    target.insert(0, "/");
  }
  ServiceCall call;
  call.service = it->first;
  call.max_in_flight = it->second.max_in_flight;
  call.retryable =
      IsRetryable(it->second, request.method,
                  std::string_view(target).substr(0, target.find('?')));
  if (const auto key = request.headers.Find("Idempotency-Key")) {
    const bool printable = std::all_of(
        key->begin(), key->end(), [](char c) { return c > ' ' && c < 127; });
    if (key->empty() || key->size() > kMaxIdempotencyKeyBytes || !printable) {
      return InvalidRequest(400, "invalid_idempotency_key",
                            "Idempotency-Key must have 1 to " +
                                std::to_string(kMaxIdempotencyKeyBytes) +
                                " printable ASCII characters");
    }
    call.idempotency_key = *key;
  }
  out.fingerprint =
      StableHash(request.method + " " + request.target + "\n" + request.body);
  out.crash_fingerprint = ServiceCrashFingerprint(request, out.fingerprint);
  call.endpoint_request = MakeEndpointRequest(request, std::move(target), out);
  call.endpoint_request.body = request.body;
  if (!call.idempotency_key.empty()) {
    call.endpoint_request.headers.Set("Idempotency-Key", call.idempotency_key);
  }
  out.call = std::move(call);
  return std::nullopt;
}

// Parses the call that the request's method and path stand for.
std::optional<Refusal> ReadCall(const HttpRequest& request,
                                ClientRequest& out) {
  const auto path = request.Path();
  if (path == "/v1/chat/completions" || path == "/v1/completions") {
    if (request.method != "POST") {
      return InvalidRequest(
          405, "method_not_allowed",
          std::string(path) + " takes POST, not " + Quoted(request.method));
    }
    return ReadModelCall(request, out);
  }
  if (path == "/v1/models") {
    if (request.method != "GET") {
      return InvalidRequest(
          405, "method_not_allowed",
          "/v1/models takes GET, not " + Quoted(request.method));
    }
    out.call = ModelList();
    return std::nullopt;
  }
  if (path.starts_with(kServicesPrefix)) {
    return ReadServiceCall(request, out);
  }
  return InvalidRequest(404, "unknown_path",
                        "the path " + Quoted(path) + " is unknown");
}

}  // namespace

std::variant<ClientRequest, Refusal> ReadClientRequest(
    const HttpRequest& request,
    std::string id,
    std::shared_ptr<const Estate> estate,
    TimePoint now) {
  constexpr auto kDefaultDeadline = std::chrono::seconds(30);
  ClientRequest out;
  out.id = std::move(id);
  out.arrived = now;
  out.deadline = now + kDefaultDeadline;
  out.estate = std::move(estate);
  if (out.estate->version == 0) {
    return Refusal{503, "not_configured",
                   "this node does not know the configuration yet",
                   Verdict::kNotRun, std::chrono::seconds(1)};
  }
  const ClientSpec* client = nullptr;
  if (auto refusal = Authenticate(request, *out.estate, &client)) {
    return std::move(*refusal);
  }
  out.client_name = client->name;
  out.operator_name = client->operator_name;
  if (auto refusal = CheckClass(request, *client, out)) {
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
