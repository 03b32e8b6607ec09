#include "testing/harness/site.h"

#include <algorithm>
#include <sstream>

#include "config/digest.h"
#include "testing/harness/ledgers.h"
#include "testing/harness/wait.h"
#include "testing/support/engine_text.h"

namespace tanagerloom::testing_support {

namespace {

using nlohmann::json;

// Time that a client waits beyond the deadline before the request counts as
// lost.
constexpr auto kClientGrace = std::chrono::seconds(30);
constexpr auto kStartTimeout = std::chrono::seconds(60);
constexpr double kLoadsPerS = 40;

json OperatorGrant(const std::string& token) {
  return {{"token_salt", "salt"},
          {"token_sha256", Sha256Hex("salt" + token)},
          {"classes", {"interactive", "deferred"}},
          {"pools", {kFenceCheckingPool, kFenceIgnoringPool, kServicePool}}};
}

// What identifies a call in the ledgers, and the answer it must get.
struct Expectation {
  std::string key;      ///< Prompt or body.
  std::string text;     ///< Generated text; empty for a service call.
  bool stream = false;  ///< Whether the call asks for an event stream.
};

Expectation ExpectationFor(const Call& call) {
  const auto body = json::parse(call.request.body, nullptr, false);
  if (body.is_object() && body.contains("prompt")) {
    const auto prompt = body["prompt"].get<std::string>();
    return {prompt,
            EngineText(body["model"].get<std::string>(), prompt,
                       body.value("max_tokens", 16)),
            body.value("stream", false)};
  }
  return {call.request.body, "", false};
}

std::string Truncated(const std::string& text) {
  return text.size() <= 300 ? text : text.substr(0, 300) + "...";
}

}  // namespace

Site::Site(SiteOptions options)
    : options_(std::move(options)), cluster_(MakeClusterOptions(options_)) {}

ClusterOptions Site::MakeClusterOptions(const SiteOptions& options) {
  ClusterOptions out;
  out.with_proxy = options.with_proxy;
  out.platform_flags = options.platform_flags;
  out.weight_store_flags = {"--ms-per-gb", "20", "--loads-per-s",
                            std::to_string(static_cast<int>(kLoadsPerS))};
  // Shorter than the defaults, so that every timeout expires within a test.
  out.node_settings = {{"bootstrap_token_sha256", Sha256Hex(kBootstrapToken)},
                       {"order_progress_ms", 1000},
                       {"sender_gone_ms", 3000},
                       {"engine_timeout_ms", 1000},
                       {"progress_timeout_ms", 2000}};
  out.node_settings.merge_patch(options.node_settings);
  return out;
}

std::string Site::Start() {
  for (const auto& pool : {kFenceCheckingPool, kFenceIgnoringPool}) {
    for (int i = 0; i < options_.engines_per_pool; ++i) {
      std::vector<std::string> flags{
          "--memory-mb", std::to_string(options_.engine_memory_mb),
          "--checks-fence", pool == kFenceCheckingPool ? "true" : "false"};
      flags.insert(flags.end(), options_.engine_flags.begin(),
                   options_.engine_flags.end());
      if (!cluster_.AddEngine(Engine(pool, i), pool, flags)) {
        return "an engine did not start";
      }
    }
  }
  for (int i = 0; i < options_.services; ++i) {
    service_ids_.push_back("desk-" + std::to_string(i));
    if (!cluster_.AddService(service_ids_.back(), kServicePool,
                             options_.service_flags)) {
      return "a service did not start";
    }
  }
  for (int i = 0; i < options_.nodes; ++i) {
    if (!cluster_.AddNode(Node(i), "dc-" + std::to_string(i % 3))) {
      return Node(i) + " did not start: " + cluster_.process(Node(i)).Output();
    }
  }
  std::string output;
  if (cluster_.Apply(EstateFile(), Node(0), kBootstrapToken, &output) != 0 ||
      cluster_.Apply(OperatorFile(), Node(0), kOperatorToken, &output) != 0) {
    return output;
  }
  for (int i = 0; i < options_.nodes; ++i) {
    if (!WaitUntil([&] { return ServesConfiguration(Node(i)); },
                   kStartTimeout)) {
      return Node(i) + " does not serve under the configuration";
    }
  }
  return "";
}

bool Site::ServesConfiguration(const std::string& node) {
  if (cluster_.client()
          .SendJson(cluster_.admin(node), "GET", "/readyz", nullptr)
          .status != 200) {
    return false;
  }
  const auto answer = cluster_.client().Send(
      {cluster_.address(node),
       {"GET", "/v1/models", {{"Authorization", "Bearer " + kClientKey}}, ""}});
  const auto list = answer.Json();
  return list.is_object() && list.contains("data") &&
         list["data"].size() == Models().size();
}

bool Site::StartNode(int n) {
  return cluster_.Restart(Node(n)) &&
         WaitUntil([&] { return ServesConfiguration(Node(n)); }, kStartTimeout);
}

std::vector<std::string> Site::Models() const {
  std::vector<std::string> models;
  for (const auto& pool : {kFenceCheckingPool, kFenceIgnoringPool}) {
    for (int i = 0; i < options_.models_per_pool; ++i) {
      models.push_back(Model(pool, i));
    }
  }
  return models;
}

json Site::EstateFile() const {
  return {
      {"operator", "estate"},
      {"pools",
       {{kFenceCheckingPool, {{"checks_fence", true}}},
        {kFenceIgnoringPool, {{"checks_fence", false}}},
        {kServicePool, json::object()}}},
      {"classes",
       {{"interactive", {{"rank", 0}, {"default_deadline_ms", 30000}}},
        {"deferred",
         {{"rank", 10}, {"default_deadline_ms", 60000}, {"may_wait", true}}}}},
      {"weight_store", {{"concurrent_loads", 4}, {"loads_per_s", kLoadsPerS}}},
      {"operators",
       {{"estate", OperatorGrant(kEstateToken)},
        {"ramdeen", OperatorGrant(kOperatorToken)}}}};
}

json Site::OperatorFile() const {
  auto models = json::object();
  for (const auto& pool : {kFenceCheckingPool, kFenceIgnoringPool}) {
    for (int i = 0; i < options_.models_per_pool; ++i) {
      models[Model(pool, i)] = {{"version", "1"},
                                {"pool", pool},
                                {"memory_mb", options_.model_memory_mb},
                                {"replica_limit", options_.replica_limit},
                                {"expected_load_ms", 200},
                                {"sources", {"remote", "disk"}}};
    }
  }
  const json rules = {
      {{"method", "GET"}, {"path_prefix", "/"}, {"repeatable", true}},
      {{"method", "POST"}, {"path_prefix", "/"}, {"repeatable", false}}};
  return {{"operator", "ramdeen"},
          {"models", models},
          {"services",
           {{"closures",
             {{"pool", kServicePool},
              {"max_in_progress", 100},
              {"rules", rules}}}}},
          {"callers",
           {{"crew-desk",
             {{"key_sha256", Sha256Hex(kClientKey)},
              {"classes", {"interactive", "deferred"}}}}}}};
}

Call Site::CompletionCall(const std::string& node,
                          const std::string& model,
                          const std::string& prompt,
                          std::chrono::milliseconds deadline,
                          bool stream,
                          int tokens) const {
  return {cluster_.address(node),
          {"POST",
           "/v1/completions",
           {{"Authorization", "Bearer " + kClientKey},
            {"Content-Type", "application/json"},
            {"X-Deadline-Ms", std::to_string(deadline.count())}},
           json{{"model", model},
                {"prompt", prompt},
                {"max_tokens", tokens},
                {"stream", stream}}
               .dump()},
          deadline + kClientGrace};
}

Call Site::BookingCall(const std::string& node,
                       const std::string& idempotency_key,
                       const std::string& body,
                       std::chrono::milliseconds deadline) const {
  return {cluster_.address(node),
          {"POST",
           "/services/closures/book",
           {{"Authorization", "Bearer " + kClientKey},
            {"Idempotency-Key", idempotency_key},
            {"X-Deadline-Ms", std::to_string(deadline.count())}},
           body},
          deadline + kClientGrace};
}

std::vector<Call> Site::SpreadCalls(const std::string& name,
                                    int count,
                                    std::chrono::milliseconds deadline) const {
  const auto models = Models();
  const int size = static_cast<int>(models.size());
  std::vector<Call> calls;
  for (int i = 0; i < count; ++i) {
    calls.push_back(CompletionCall(Node(i / size % options_.nodes),
                                   models[i % size],
                                   name + "-" + std::to_string(i), deadline));
  }
  return calls;
}

std::map<std::string, int> Site::RunsByPrompt() const {
  std::map<std::string, int> runs;
  for (const auto& ledger : cluster_.EngineLedgers()) {
    for (const auto& it : EventsOfKind(ledger, "request")) {
      ++runs[it.value("prompt", "")];
    }
  }
  return runs;
}

std::map<std::string, int> Site::RunsByIdempotencyKey() const {
  std::map<std::string, int> runs;
  for (const auto& id : service_ids_) {
    for (const auto& it : EventsOfKind(cluster_.Ledger(id), "run")) {
      ++runs[it.value("idempotency_key", "")];
    }
  }
  return runs;
}

std::string Site::CheckRefusal(const std::string& key,
                               const CallResult& answer,
                               const std::set<std::string>& ran) const {
  const auto verdict = answer.RefusalVerdict();
  if (answer.RefusalCode().empty()) {
    return "neither an answer nor a refusal";
  }
  if (verdict != "not_run" && verdict != "may_have_run") {
    return "the refusal has no valid verdict";
  }
  if (verdict == "not_run" && ran.contains(key)) {
    return "refused with the verdict not_run, but a ledger records a run";
  }
  return "";
}

OutcomeCounts Site::Check(const std::vector<Call>& calls,
                          const std::vector<CallResult>& answers,
                          const std::set<std::string>& ended,
                          bool streams_may_break) const {
  std::set<std::string> ran;
  for (const auto& [prompt, n] : RunsByPrompt()) {
    ran.insert(prompt);
  }
  for (const auto& id : service_ids_) {
    for (const auto& it : EventsOfKind(cluster_.Ledger(id), "run")) {
      ran.insert(it.value("request_id", ""));
    }
  }
  std::set<Address> ended_addresses;
  for (const auto& it : ended) {
    ended_addresses.insert(cluster_.address(it));
  }
  OutcomeCounts outcomes;
  std::ostringstream problems;
  for (std::size_t i = 0; i < calls.size(); ++i) {
    const auto& answer = answers[i];
    const auto expected = ExpectationFor(calls[i]);
    std::string problem;
    if (answer.status == 0) {
      ++outcomes.broken_connections;
      const bool allowed = ended_addresses.contains(calls[i].to) ||
                           (expected.stream && streams_may_break);
      problem = allowed ? "" : "broken connection";
    } else if (answer.status == 200) {
      ++outcomes.answers;
      const auto got = expected.text.empty()
                           ? answer.Json().value("body", std::string())
                           : answer.Text();
      const auto& whole_text =
          expected.text.empty() ? expected.key : expected.text;
      problem = got == whole_text
                    ? ""
                    : "the answer is incomplete or belongs to another request";
    } else {
      // A service call may be sent several times with the same body. Therefore
      // the verdict of each is checked by its request id.
      problem = CheckRefusal(
          expected.text.empty()
              ? std::string(answer.headers.Find("X-Request-Id").value_or(""))
              : expected.key,
          answer, ran);
      ++(answer.RefusalVerdict() == "not_run" ? outcomes.not_run
                                              : outcomes.may_have_run);
    }
    if (!problem.empty()) {
      problems << expected.key << ": " << problem << "; status "
               << answer.status << " " << answer.failure << " "
               << Truncated(answer.body) << "\n";
    }
  }
  outcomes.problems = problems.str();
  return outcomes;
}

std::string Site::Violations(const std::set<std::string>& ended) {
  std::ostringstream out;
  const auto ledgers = cluster_.EngineLedgers();
  for (const auto& [model, peak] : PeakReplicas(ledgers)) {
    if (peak > options_.replica_limit) {
      out << model << ": " << peak << " replicas at the same time, limit "
          << options_.replica_limit << "\n";
    }
  }
  const auto ids = cluster_.engine_ids();
  for (std::size_t i = 0; i < ids.size(); ++i) {
    if (PeakMemoryMb(ledgers[i]) > options_.engine_memory_mb) {
      out << ids[i] << ": " << PeakMemoryMb(ledgers[i])
          << " MB reserved, capacity " << options_.engine_memory_mb << "\n";
    }
    for (const auto& it :
         EventsOfKind(ledgers[i], "base_removed_under_adapter")) {
      out << ids[i] << ": " << it.dump() << "\n";
    }
  }
  for (const auto& [key, runs] : RunsByIdempotencyKey()) {
    if (runs > 1) {
      out << key << ": ran " << runs << " times\n";
    }
  }
  for (const auto& id : cluster_.node_ids()) {
    auto& process = cluster_.process(id);
    if (!ended.contains(id) && !process.IsRunning()) {
      out << id << " ended with status "
          << process.WaitForExit(std::chrono::milliseconds(0)).value_or(-1)
          << "\n";
    }
    // The log also has the output of earlier processes of this node.
    std::istringstream log(process.Output());
    for (std::string line; std::getline(log, line);) {
      if (line.find("invariant violated") != std::string::npos) {
        out << id << ": " << Truncated(line) << "\n";
      }
    }
  }
  return out.str();
}

std::string Site::FindExecutor(const std::string& pool,
                               const std::string& model) {
  const auto record = cluster_.Object("cells/" + pool);
  if (!record.is_object()) {
    return "";
  }
  for (const auto& server : record["servers"]) {
    for (const auto& it : server["replicas"]) {
      if (it.value("model", "") == model && it.value("state", "") != "loaded") {
        const auto executor = it.value("executor", "");
        return executor.substr(0, executor.find('/'));
      }
    }
  }
  return "";
}

int Site::CountLoads(const std::string& model) const {
  int loads = 0;
  for (const auto& ledger : cluster_.EngineLedgers()) {
    for (const auto& it : EventsOfKind(ledger, "load_started")) {
      loads += it.value("model", "") == model ? 1 : 0;
    }
  }
  return loads;
}

}  // namespace tanagerloom::testing_support
