// Stand-in for the platform: its object store and VM list. Tests inject faults
// by POST /test/control (see kDefaultControl) and change VMs by PUT and DELETE
// /test/vms/ID. GET /test/counters and /test/objects/KEY do not count as calls.
#include <deque>
#include <map>

#include "base/id.h"
#include "runtime/event_flag.h"
#include "runtime/runtime.h"
#include "testing/support/flags.h"
#include "testing/support/standin.h"

namespace tanagerloom::testing_support {
namespace {

constexpr std::size_t kMaxValueBytes = 1024 * 1024;

// Settings of POST /test/control:
// - mode: "up", "down" (each call gets 503) or "slow";
// - slow_ms: additional time for each call in the mode "slow";
// - lose_probability: probability that the answer to a write is lost after the
//   write took effect;
// - lose_next, lose_prefix: lose the answers to the next N writes of keys with
//   this prefix, after the writes took effect;
// - vm_list_lag_ms: age of the VM list in answers;
// - writes_per_s, reads_per_s: limits on calls per second; a call above its
//   limit gets 429.
const nlohmann::json kDefaultControl = {
    {"mode", "up"},          {"slow_ms", 0},         {"lose_probability", 0.0},
    {"lose_next", 0},        {"lose_prefix", ""},    {"vm_list_lag_ms", 0},
    {"writes_per_s", 400.0}, {"reads_per_s", 2000.0}};

// Counts the calls of one kind and limits their number in each second.
class CallLimiter {
 public:
  // Counts a call. Returns false if it exceeds `limit` calls in this second.
  bool Admit(double limit) {
    ++total_;
    const auto second = NowMs() / 1000;
    if (second != second_) {
      second_ = second;
      in_second_ = 0;
    }
    ++in_second_;
    peak_ = std::max(peak_, in_second_);
    if (static_cast<double>(in_second_) > limit) {
      ++limited_;
      return false;
    }
    return true;
  }

  nlohmann::json ToJson() const {
    return {{"total", total_}, {"peak_per_s", peak_}, {"limited", limited_}};
  }

 private:
  std::int64_t second_ = 0;  // Current second of the steady clock.
  std::uint64_t in_second_ = 0;
  std::uint64_t total_ = 0;
  std::uint64_t peak_ = 0;     // Greatest number of calls in one second.
  std::uint64_t limited_ = 0;  // Calls above the limit.
};

// The VM list, whose changes reach readers with a lag.
class LaggingVmList {
 public:
  LaggingVmList() { Publish(); }

  // Adds a VM in the state "live", or changes fields of a VM.
  void Put(const std::string& id, const nlohmann::json& fields) {
    auto& vm = vms_[id];
    if (vm.is_null()) {
      vm = {{"id", id}, {"state", "live"}};
    }
    vm.merge_patch(fields);
    Publish();
  }

  void Delete(const std::string& id) {
    vms_.erase(id);
    Publish();
  }

  // Returns the newest list that is at least `lag_ms` old, else the oldest one.
  std::string Read(double lag_ms) const {
    const auto latest = NowMs() - static_cast<std::int64_t>(lag_ms);
    for (auto it = history_.rbegin(); it != history_.rend(); ++it) {
      if (it->first <= latest) {
        return it->second;
      }
    }
    return history_.front().second;
  }

 private:
  void Publish() {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [id, vm] : vms_) {
      list.push_back(vm);
    }
    history_.emplace_back(NowMs(), nlohmann::json{{"vms", list}}.dump());
  }

  std::map<std::string, nlohmann::json> vms_;
  // Every published list with its time on the steady clock in ms.
  std::deque<std::pair<std::int64_t, std::string>> history_;
};

// A stored object. Its version rises with each write in the whole store.
struct Object {
  std::string value;
  std::uint64_t version = 0;
};

// The HTTP API of the platform and its test control.
class Platform {
 public:
  explicit Platform(const Flags& flags) {
    control_.Merge({{"vm_list_lag_ms", flags.Number("vm-list-lag-ms", 0)},
                    {"writes_per_s", flags.Number("writes-per-s", 400)},
                    {"reads_per_s", flags.Number("reads-per-s", 2000)}});
  }

  void Handle(const HttpRequest& request, HttpResponder& responder) {
    if (request.Path().starts_with("/test/")) {
      HandleTest(request, responder);
      return;
    }
    const auto half_delay = IsSlow() ? control_.Number("slow_ms") / 2 : 0;
    SleepMs(half_delay);
    if (IsDown()) {
      ++refused_;
      SendJson(responder, 503, {{"error", "unavailable"}});
      return;
    }
    auto [response, lost] = Answer(request);
    SleepMs(half_delay);
    if (lost) {
      responder.Abort();
    } else {
      (void)responder.Send(std::move(response));
    }
  }

 private:
  struct CallResult {
    HttpResponse response;
    bool lost = false;  // Close the connection instead of the response.
  };

  bool IsDown() const { return control_.Text("mode") == "down"; }
  bool IsSlow() const { return control_.Text("mode") == "slow"; }

  static HttpResponse WithVersion(const Object& object, std::string body) {
    return {
        200, {{"X-Version", std::to_string(object.version)}}, std::move(body)};
  }

  CallResult Answer(const HttpRequest& request) {
    const bool write = request.method == "PUT" || request.method == "DELETE";
    const auto watch = PathAfter(request, "/watch/");
    auto& counter = write ? writes_ : (watch ? watches_ : reads_);
    const auto limit = control_.Number(write ? "writes_per_s" : "reads_per_s");
    if (request.Path() == "/vms") {
      vm_reads_.Admit(limit);
      return {JsonResponse(200, vms_.Read(control_.Number("vm_list_lag_ms")))};
    }
    if (!counter.Admit(limit)) {
      return {JsonResponse(429, R"({"error":"rate limit"})")};
    }
    if (request.Path() == "/objects") {
      return {List(request.Query("prefix").value_or(""))};
    }
    if (watch) {
      return {Watch(request, *watch)};
    }
    const auto key = PathAfter(request, "/objects/");
    if (!key || key->empty()) {
      return {JsonResponse(404, R"({"error":"no such path"})")};
    }
    ++by_key_[*key];
    return write ? Write(request, *key) : CallResult{Get(*key)};
  }

  HttpResponse Get(const std::string& key) const {
    const auto it = objects_.find(key);
    return it == objects_.end()
               ? JsonResponse(404, R"({"error":"no such object"})")
               : WithVersion(it->second, it->second.value);
  }

  HttpResponse List(const std::string& prefix) const {
    auto list = nlohmann::json::array();
    for (auto it = objects_.lower_bound(prefix);
         it != objects_.end() && it->first.starts_with(prefix); ++it) {
      list.push_back({{"key", it->first}, {"version", it->second.version}});
    }
    return JsonResponse(200, list.dump());
  }

  // Waits until the object has a version above `after`; 204 on the timeout.
  HttpResponse Watch(const HttpRequest& request, const std::string& key) {
    const auto after = std::stoull("0" + request.Query("after").value_or(""));
    const auto timeout =
        std::stoull("0" + request.Query("timeout_ms").value_or("1000"));
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout);
    while (true) {
      if (IsDown()) {
        return JsonResponse(503, R"({"error":"unavailable"})");
      }
      const auto it = objects_.find(key);
      if (it != objects_.end() && it->second.version > after) {
        return WithVersion(it->second, it->second.value);
      }
      if (!changed_.WaitUntil(changed_.count(), end)) {
        return {204, {}, ""};
      }
    }
  }

  // Executes a conditional PUT or DELETE; 412 if the condition is not met.
  CallResult Write(const HttpRequest& request, const std::string& key) {
    if (request.body.size() > kMaxValueBytes) {
      return {JsonResponse(413, R"({"error":"value above 1 MB"})")};
    }
    const auto it = objects_.find(key);
    const auto match = request.headers.Find("If-Match");
    const bool create = request.headers.Find("If-None-Match").has_value();
    if (!match && (!create || request.method == "DELETE")) {
      return {JsonResponse(400, R"({"error":"a condition is required"})")};
    }
    const bool is_condition_met =
        create ? it == objects_.end()
               : it != objects_.end() &&
                     *match == std::to_string(it->second.version);
    if (!is_condition_met) {
      ++conflicts_;
      return {JsonResponse(412, R"({"error":"conflict"})")};
    }
    Object object{request.body, ++version_};
    if (request.method == "DELETE") {
      objects_.erase(it);
    } else {
      objects_[key] = object;
    }
    changed_.Signal();
    const bool lost = ShouldLoseAnswer(key);
    return {WithVersion(object, ""), lost};
  }

  // Decides whether the answer to a write is lost, and counts it.
  bool ShouldLoseAnswer(const std::string& key) {
    if (key.starts_with(control_.Text("lose_prefix")) &&
        control_.ConsumeFault("lose_next")) {
      ++lost_;
      return true;
    }
    const bool lost = RandomUnit() < control_.Number("lose_probability");
    lost_ += lost ? 1 : 0;
    return lost;
  }

  void HandleTest(const HttpRequest& request, HttpResponder& responder) {
    if (const auto id = PathAfter(request, "/test/vms/")) {
      if (request.method == "DELETE") {
        vms_.Delete(*id);
      } else if (const auto fields = ParseObject(request, responder)) {
        vms_.Put(*id, *fields);
      } else {
        return;
      }
      SendJson(responder, 200, {{"id", *id}});
    } else if (const auto key = PathAfter(request, "/test/objects/")) {
      (void)responder.Send(key->empty()
                               ? List(request.Query("prefix").value_or(""))
                               : Get(*key));
    } else if (request.Path() == "/test/control") {
      if (const auto changes = ParseObject(request, responder)) {
        control_.Merge(*changes);
        changed_.Signal();
        SendJson(responder, 200, control_.values());
      }
    } else if (request.Path() == "/test/counters") {
      SendJson(responder, 200,
               {{"reads", reads_.ToJson()},
                {"writes", writes_.ToJson()},
                {"watches", watches_.ToJson()},
                {"vm_reads", vm_reads_.ToJson()},
                {"conflicts", conflicts_},
                {"lost", lost_},
                {"refused", refused_},
                {"by_key", by_key_}});
    } else {
      SendJson(responder, 404, {{"error", "no such path"}});
    }
  }

  TestControl control_{kDefaultControl};
  std::map<std::string, Object> objects_;
  std::uint64_t version_ = 0;
  EventFlag changed_;
  LaggingVmList vms_;
  CallLimiter reads_;
  CallLimiter writes_;
  CallLimiter watches_;
  CallLimiter vm_reads_;
  std::map<std::string, std::uint64_t> by_key_;  // Calls by object key.
  std::uint64_t conflicts_ = 0;  // Writes whose condition was not met.
  std::uint64_t lost_ = 0;       // Answers lost on purpose.
  std::uint64_t refused_ = 0;    // Calls during outages.
};

}  // namespace
}  // namespace tanagerloom::testing_support

int main(int argc, char** argv) {
  using namespace tanagerloom::testing_support;
  tanagerloom::Runtime::Get();
  const Flags flags(argc, argv);
  Platform platform(flags);
  const auto server =
      ServeLoopback(static_cast<std::uint16_t>(flags.Number("port", 0)),
                    [&](const auto& request, auto& responder) {
                      platform.Handle(request, responder);
                    });
  RunUntilStopped();
}
