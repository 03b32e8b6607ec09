// Defines fakes of the interfaces that the request path uses, and a test
// fixture with nodes that serve client requests over them.
#ifndef TESTS_ROUTING_FAKES_H_
#define TESTS_ROUTING_FAKES_H_

#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/id.h"
#include "config/estate_source.h"
#include "config/settings.h"
#include "http/http_client.h"
#include "http/http_responder.h"
#include "http/http_server.h"
#include "placement/placement_view.h"
#include "ports/engine_control.h"
#include "ports/object_store.h"
#include "ports/peer_network.h"
#include "routing/client_api.h"
#include "runtime/runtime.h"
#include "runtime/steady_clock.h"

namespace tanagerloom {

using namespace std::chrono_literals;

/// A placement whose replicas a test sets. Records the demand it is told.
class FakePlacement final : public PlacementView {
 public:
  std::vector<ReplicaLocation> Replicas(const ModelKey& key) const override {
    const auto it = replicas.find(key);
    return it == replicas.end() ? std::vector<ReplicaLocation>() : it->second;
  }
  void SetDemand(const std::string&,
                 const ModelKey& key,
                 const LocalDemand& value) override {
    demand[key] = value;
    peak_waiting[key] = std::max(peak_waiting[key], value.waiting);
  }
  void CountArrival(const std::string&, const ModelKey& key) override {
    ++arrivals[key];
  }
  ReplicaLoadEstimate EstimateReplicaLoad(const ModelKey&) const override {
    return load_estimate;
  }
  void ReportMissingReplica(const std::string& server,
                            const ModelKey& key) override {
    std::erase_if(replicas[key],
                  [&](const auto& it) { return it.engine == server; });
    changed_.Signal();
  }
  EventFlag& changed() override { return changed_; }

  std::map<ModelKey, std::vector<ReplicaLocation>> replicas;
  std::map<ModelKey, LocalDemand> demand;
  std::map<ModelKey, std::uint32_t> peak_waiting;
  std::map<ModelKey, int> arrivals;
  ReplicaLoadEstimate load_estimate;

 private:
  EventFlag changed_;
};

/// Delivers broadcasts at once to the other FakePeers of the same group. Drops
/// messages to single nodes.
class FakePeers final : public PeerNetwork {
 public:
  using Group = std::vector<FakePeers*>;

  FakePeers(std::string id, Group& group)
      : id_(std::move(id)), self_(id_ + "/1"), group_(group) {
    group_.push_back(this);
  }
  ~FakePeers() override { std::erase(group_, this); }

  const std::string& self() const override { return self_; }
  const std::string& node_id() const override { return id_; }
  std::vector<Member> Members() const override {
    return std::vector<Member>(group_.size());
  }
  std::vector<std::string> LiveIds() const override { return {id_}; }
  bool MayStillRun(std::string_view node) const override {
    return !ended_processes.contains(std::string(node));
  }
  void Broadcast(const PeerMessage& message) override {
    sent.push_back(message);
    for (auto* it : group_) {
      if (it != this && !it->drops_received) {
        for (const auto& handler : it->handlers_) {
          handler(self_, message);
        }
      }
    }
  }
  bool Send(const std::string&, const PeerMessage&) override { return true; }
  void OnMessage(Handler handler) override { handlers_.push_back(handler); }
  void OnMembersChanged(std::function<void()>) override {}
  std::vector<Vm> Vms() const override { return vms; }
  void ReportLeaving(const std::string& endpoint) override {
    leaving_reports.push_back(endpoint);
    Broadcast(EndpointNotice{endpoint, EndpointCondition::kLeaving, 60000});
  }

  std::vector<Vm> vms;
  std::set<std::string> ended_processes;  ///< "ID/INCARNATION".
  std::vector<PeerMessage> sent;
  std::vector<std::string> leaving_reports;
  bool drops_received = false;  ///< Discards broadcasts of other nodes.

 private:
  std::string id_;
  std::string self_;
  Group& group_;
  std::vector<Handler> handlers_;
};

/// An object store in memory that can be unavailable, slow or lose answers.
class FakeObjects final : public ObjectStore {
 public:
  Result<StoredObject> Get(std::string_view key) override {
    ++calls;
    if (unavailable) {
      return MakeError(ErrorKind::kUnavailable, "the store is down");
    }
    const auto it = objects.find(std::string(key));
    if (it == objects.end()) {
      return MakeError(ErrorKind::kNotFound, "no such object");
    }
    return it->second;
  }
  Result<std::uint64_t> Put(std::string_view key,
                            std::string_view value,
                            std::uint64_t expected) override {
    ++calls;
    ++put_calls;
    boost::this_fiber::sleep_for(put_delay);
    if (unavailable) {
      return MakeError(ErrorKind::kUnavailable, "the store is down");
    }
    auto it = objects.find(std::string(key));
    if ((it == objects.end() ? 0 : it->second.version) != expected) {
      return MakeError(ErrorKind::kConflict, "another version");
    }
    const auto version = ++last_version;
    objects[std::string(key)] = {std::string(value), version};
    if (lose_answers > 0) {
      --lose_answers;
      return MakeError(ErrorKind::kUnknown, "the answer was lost");
    }
    return version;
  }
  Result<void> Delete(std::string_view, std::uint64_t) override {
    return MakeError(ErrorKind::kInternal, "not used");
  }
  Result<std::vector<ObjectKey>> List(std::string_view prefix) override {
    std::vector<ObjectKey> keys;
    for (const auto& [key, object] : objects) {
      if (key.starts_with(prefix)) {
        keys.push_back({key, object.version});
      }
    }
    return keys;
  }
  Result<std::optional<StoredObject>> Watch(std::string_view,
                                            std::uint64_t,
                                            Duration) override {
    return MakeError(ErrorKind::kInternal, "not used");
  }

  std::map<std::string, StoredObject> objects;
  std::uint64_t last_version = 0;
  int calls = 0;
  int put_calls = 0;
  bool unavailable = false;
  int lose_answers = 0;  ///< Number of next writes whose answer is lost.
  std::chrono::milliseconds put_delay{0};
};

/// Engine reports that a test sets. An engine without one is unavailable.
class FakeEngineControl final : public EngineControl {
 public:
  Result<OrderAnswer> Send(const Address&, const EngineOrder&) override {
    return MakeError(ErrorKind::kUnavailable, "not used");
  }
  Result<EngineState> ReadState(const Address& engine) override {
    if (!boots.contains(engine)) {
      return MakeError(ErrorKind::kUnavailable, "no report");
    }
    EngineState state;
    state.boot = boots[engine];
    return state;
  }
  Result<EngineLoad> ReadLoad(const Address& engine) override {
    const auto it = loads.find(engine);
    if (it == loads.end()) {
      return MakeError(ErrorKind::kUnavailable, "no report");
    }
    return it->second;
  }

  Result<std::vector<CacheEvent>> ReadCacheEvents(const Address& engine,
                                                  std::uint64_t) override {
    ++event_reads[engine];
    return events[engine];
  }

  std::map<Address, std::vector<CacheEvent>> events;
  std::map<Address, int> event_reads;
  std::map<Address, EngineLoad> loads;
  std::map<Address, std::string> boots;
};

/// An estate with model "m", service "desk", two request classes and two
/// clients, whose keys are "key-a" and "key-b".
class FakeEstate final : public EstateSource {
 public:
  FakeEstate() : estate(std::make_shared<Estate>()) {
    estate->version = 1;
    ModelSpec model;
    model.name = "m";
    model.operator_name = "op-a";
    model.version = "1";
    model.pool = "pool";
    model.adapters["tone"] = {"tone", "op-b", 10, 1};
    estate->models["m"] = model;
    estate->services["desk"] = {"desk",
                                "op-a",
                                "desk-pool",
                                {{"GET", "/", true}, {"*", "/repeat", true}},
                                4};
    estate->classes["fast"] = {"fast", 1, 20s, false};
    estate->classes["later"] = {"later", 5, 60s, true};
    estate->clients["a"] = {
        "a",
        "op-a",
        "f10f781241e2246678b6b45c857069208152a53863e47fac33f607ab405006f4",
        {"fast", "later"}};
    estate->clients["b"] = {
        "b",
        "op-b",
        "a30534a53b23547377ddccbd1ac85a8a84c13db43493c16e55a6abc7b0eba634",
        {"fast"}};
  }
  std::shared_ptr<const Estate> Current() const override { return estate; }
  void OnChange(std::function<void()>) override {}

  std::shared_ptr<Estate> estate;
};

/// An HTTP server on a free loopback port with the handler of a test. Records
/// the requests, and apart from them the targets of cancellations.
class FakeEndpoint {
 public:
  explicit FakeEndpoint(HttpServer::Handler handler) {
    server_ = std::make_unique<HttpServer>(
        Runtime::Get().io(), HttpServerLimits{},
        [this, handler](const HttpRequest& request, HttpResponder& responder) {
          if (request.target.starts_with("/control/cancel/")) {
            cancelled.push_back(request.target.substr(16));
            (void)responder.Send(JsonResponse(200, "{}"));
            return;
          }
          requests.push_back(request);
          handler(request, responder);
        });
    address = server_->Listen({"127.0.0.1", 0}).value();
  }
  /// Closes the port and all connections, as a crashed process does.
  void Stop() { server_.reset(); }

  Address address;
  std::vector<HttpRequest> requests;
  std::vector<std::string> cancelled;

 private:
  std::unique_ptr<HttpServer> server_;
};

/// Response headers with the ID of the request and a content type.
inline HttpHeaders EchoId(const HttpRequest& request, const char* type) {
  return {{"X-Request-Id",
           std::string(request.headers.Find("X-Request-Id").value_or(""))},
          {"Content-Type", type}};
}

/// The event of a streamed chat completion that adds `text`.
inline std::string ChatEvent(const std::string& text) {
  return R"(data: {"id":"c","object":"chat.completion.chunk","choices":)"
         R"([{"index":0,"finish_reason":null,"delta":{"content":")" +
         text + "\"}}]}\n\n";
}

/// The event that carries the finish reason.
inline constexpr std::string_view kStopEvent =
    R"(data: {"id":"c","object":"chat.completion.chunk","choices":)"
    R"([{"index":0,"finish_reason":"stop","delta":{}}]})"
    "\n\n";
/// The event that marks the stream as complete.
inline constexpr std::string_view kEndEvent = "data: [DONE]\n\n";

/// Streams the events "t0 ", "t1 " and so on, from index `from` to below
/// `tokens`, and completes the stream.
inline void StreamTokens(const HttpRequest& request,
                         HttpResponder& responder,
                         int from,
                         int tokens) {
  (void)responder.StartStream(200, EchoId(request, "text/event-stream"));
  for (int i = from; i < tokens; ++i) {
    (void)responder.Write(ChatEvent("t" + std::to_string(i) + " "));
  }
  (void)responder.Write(kStopEvent);
  (void)responder.Write(kEndEvent);
  (void)responder.Finish();
}

/// Returns the text of a chat completion, streamed or not.
inline std::string TextOf(const std::string& body) {
  std::string text;
  const auto add = [&](const nlohmann::json& json) {
    for (const auto& choice : json.value("choices", nlohmann::json::array())) {
      const char* part = choice.contains("delta") ? "delta" : "message";
      text += choice[part].value("content", "");
    }
  };
  if (body.starts_with("{")) {
    add(nlohmann::json::parse(body));
    return text;
  }
  for (std::size_t at = body.find("data: {"); at != std::string::npos;
       at = body.find("data: {", at + 1)) {
    add(nlohmann::json::parse(
        body.substr(at + 6, body.find('\n', at) - at - 6)));
  }
  return text;
}

/// The request path of one node over fakes. Tests leak it, because the fibers
/// of a ClientApi never end.
struct FakeNode {
  FakeNode(std::string id, FakePeers::Group& group, FakeObjects& store)
      : objects(store), peers(std::move(id), group) {
    settings.data_centre = "dc1";
    settings.progress_timeout = 300ms;
    settings.shutdown_timeout = 10s;
  }
  /// Starts the client API on a free loopback port.
  void Start() {
    api = std::make_unique<ClientApi>(
        RoutingDependencies{client, placement, peers, objects, estate, engines,
                            clock, log, settings});
    api->Start();
    server = std::make_unique<HttpServer>(
        Runtime::Get().io(), HttpServerLimits{},
        [this](const HttpRequest& request, HttpResponder& responder) {
          api->Handle(request, responder);
        });
    address = server->Listen({"127.0.0.1", 0}).value();
  }
  /// Adds a loaded replica of model "m" on `endpoint`.
  void AddReplica(const std::string& server_id, const FakeEndpoint& endpoint) {
    placement.replicas[{"m", "1", ""}].push_back(
        {server_id, endpoint.address, "dc1"});
    placement.changed().Signal();
  }
  /// Adds `endpoint` as an instance of service "desk".
  void AddService(const std::string& id, const FakeEndpoint& endpoint) {
    Vm vm;
    vm.id = id;
    vm.role = VmRole::kService;
    vm.address = endpoint.address;
    vm.data_centre = "dc1";
    vm.pool = "desk-pool";
    peers.vms.push_back(vm);
  }

  Settings settings;
  SteadyClock clock;
  HttpClient client{Runtime::Get().io()};
  FakePlacement placement;
  FakeObjects& objects;
  FakePeers peers;
  FakeEstate estate;
  FakeEngineControl engines;
  EventLog log{"test", 20000, MakeNullLogger()};
  std::unique_ptr<ClientApi> api;
  std::unique_ptr<HttpServer> server;
  Address address;
};

/// Test fixture with any number of nodes that share peers and object store.
class RoutingTest : public testing::Test {
 protected:
  FakeNode& AddNode(const std::string& id) {
    nodes_.push_back(new FakeNode(id, group_, objects_));
    return *nodes_.back();
  }

  /// Returns a chat completion request of client "a" for model "m".
  static HttpRequest Chat(bool stream, const std::string& text = "hi") {
    const nlohmann::json body = {
        {"model", "m"},
        {"stream", stream},
        {"messages", {{{"role", "user"}, {"content", text}}}}};
    return {"POST",
            "/v1/chat/completions",
            {{"Authorization", "Bearer key-a"}},
            body.dump()};
  }

  /// Returns a request of client "a" to service "desk", with an idempotency key
  /// unless `key` is empty.
  static HttpRequest Service(const std::string& method,
                             const std::string& path,
                             const std::string& key = "") {
    HttpRequest request{method,
                        "/services/desk" + path,
                        {{"Authorization", "Bearer key-a"}},
                        "body"};
    if (!key.empty()) {
      request.headers.Set("Idempotency-Key", key);
    }
    return request;
  }

  /// Sends a request over a new connection and waits up to 20 s for the answer.
  HttpResult<HttpResponse> Call(const FakeNode& node,
                                const HttpRequest& request) {
    return client_.Call(
        node.address, request,
        {.deadline = clock_.Now() + 20s, .fresh_connection = true});
  }

  /// Waits up to about 10 s for a condition and returns whether it holds. Only
  /// a failing test waits that long.
  template <typename Condition>
  bool Eventually(Condition condition) {
    for (int i = 0; i < 2000 && !condition(); ++i) {
      boost::this_fiber::sleep_for(5ms);
    }
    return condition();
  }

  /// Returns the "error" object of a response, or an empty object.
  static nlohmann::json ErrorOf(const HttpResult<HttpResponse>& response) {
    const auto body =
        nlohmann::json::parse(response.assume_value().body, nullptr, false);
    return body.is_object() ? body.value("error", nlohmann::json::object())
                            : nlohmann::json::object();
  }

  SteadyClock clock_;
  HttpClient client_{Runtime::Get().io()};
  // Leaked, because the fibers of the leaked nodes use them.
  FakePeers::Group& group_ = *new FakePeers::Group;
  FakeObjects& objects_ = *new FakeObjects;
  std::vector<FakeNode*> nodes_;
};

}  // namespace tanagerloom

#endif  // TESTS_ROUTING_FAKES_H_
