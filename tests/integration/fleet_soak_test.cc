// A fault soak of a registered fleet: real nodes, stand-ins of the platform's
// store and endpoints behind proxies, and random faults from outside that come
// in series and overlap. Guards the promises to callers and endpoints against
// sequences of faults that no other test names. The environment sets
// TANAGERLOOM_SEED and TANAGERLOOM_SOAK_SECONDS; TANAGERLOOM_KEEP_LOGS keeps
// the nodes' logs.
#include <gtest/gtest.h>
#include <signal.h>

#include <boost/fiber/fiber.hpp>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>
#include <random>
#include <set>

#include "http/http_client.h"
#include "runtime/runtime.h"
#include "runtime/steady_clock.h"
#include "testing/fault_proxy/link.h"
#include "testing/fleet_standin/endpoint_standin.h"
#include "testing/fleet_standin/store_standin.h"
#include "testing/harness/node_process.h"
#include "testing/harness/process.h"
#include "testing/harness/wait.h"
#include "testing/support/standin.h"
#include "tests/support/soak_calls.h"

namespace tanagerloom::testing_support {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Seeds of the run in CI: one that never failed, and those that did.
constexpr std::uint64_t kSeeds[] = {
    1,
    4,   // SIGTERM while a node started ended it without its grace.
    9,   // A later order was taken for done when an earlier one was.
    14,  // As 9.
};
constexpr std::uint64_t kDefaultSeconds = 15;
constexpr int kNodes = 4;
constexpr int kEngines = 3;
constexpr int kDesks = 2;
constexpr int kModels = 8;
constexpr int kCallers = 16;
// An engine's memory holds two models.
constexpr int kModelMb = 400;
constexpr int kEngineMb = 1000;
constexpr std::size_t kModelsInMemory = 2;
// Orders that arrive this soon after their sender went on do not count.
constexpr std::int64_t kThawMs = 300;
// Requests are served again this long after the last fault.
constexpr seconds kRecovery{12};

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

nlohmann::json ConfigJson(int version) {
  auto models = nlohmann::json::array();
  for (int i = 0; i < kModels; ++i) {
    models.push_back({{"name", "m" + std::to_string(i)},
                      {"weightsMb", kModelMb},
                      {"loadS", 1.0},
                      {"diskS", 0.3},
                      {"warmS", 0.3}});
  }
  const auto route = [](SoakKind kind, const char* name, const char* service,
                        int attempts) {
    return nlohmann::json{
        {"name", PathOf(kind)},       {"host", "h.example"},
        {"pathPrefix", PathOf(kind)}, {"kind", name},
        {"timeoutMs", 6000},          {"goalMs", 500},
        {"service", service},         {"maxAttempts", attempts},
        {"gapTargetMs", 400},         {"resumable", kind == SoakKind::kStream}};
  };
  return {{"version", version},
          {"routes",
           {route(SoakKind::kStream, "streaming", "pool", 2),
            route(SoakKind::kPlan, "streaming", "pool", 1),
            route(SoakKind::kBooking, "non_idempotent", "desk", 1),
            route(SoakKind::kLookup, "idempotent", "desk", 2)}},
          {"services",
           {{{"name", "desk"}},
            {{"name", "pool"},
             {"engine",
              {{"slots", 8},
               {"weightsMb", kEngineMb},
               {"adapterSlots", 2},
               {"loadsPerS", 4},
               {"models", models}}}}}}};
}

// What an endpoint does wrong for a time.
enum class Misbehaviour { kNone, kLosesAnswers, kFails, kSlow, kCuts };

std::vector<std::uint64_t> Seeds() {
  const auto seed = FromEnvironment("TANAGERLOOM_SEED", 0);
  return seed != 0 ? std::vector{seed}
                   : std::vector(std::begin(kSeeds), std::end(kSeeds));
}

class FleetSoak : public testing::TestWithParam<std::uint64_t> {
 protected:
  void SetUp() override {
    store_.Set("config", "main", ConfigJson(version_));
    for (int i = 0; i < kEngines + kDesks; ++i) {
      AddEndpoint(i);
    }
    for (int i = 0; i < kNodes; ++i) {
      auto link = AddLink(store_.address().port);
      store_links_.push_back(link);
      nodes_.push_back(std::make_unique<NodeProcess>(
          folder_.path(), "node-" + std::to_string(i),
          Address{"127.0.0.1", PortOf(*link)}));
    }
    redirection_ = boost::fibers::fiber([this] { RedirectPeers(); });
    for (const auto& it : nodes_) {
      ASSERT_TRUE(WaitUntil([&] { return it->IsReady(); }));
    }
    start_ms_ = NowMs();
  }

  void TearDown() override {
    ended_ = true;
    redirection_.join();
    if (const char* to = std::getenv("TANAGERLOOM_KEEP_LOGS")) {
      std::filesystem::create_directories(to);
      std::filesystem::copy(folder_.path(), to,
                            std::filesystem::copy_options::recursive);
    }
  }

  static std::uint16_t PortOf(const Link& link) {
    return link.ToJson().at("listen").get<std::uint16_t>();
  }

  std::shared_ptr<Link> AddLink(std::uint16_t target) {
    auto link = std::make_shared<Link>(target, seed_ + ++links_);
    EXPECT_TRUE(link->Listen(0));
    return link;
  }

  void AddEndpoint(int i) {
    const bool engine = i < kEngines;
    auto* it = new EndpointStandin(store_, "i-" + std::to_string(i),
                                   engine ? "pool" : "desk");
    endpoint_links_.push_back(AddLink(it->address().port));
    it->advertised_port = PortOf(*endpoint_links_.back());
    for (int m = 0; engine && m < kModels; ++m) {
      if (m % kEngines == i || m % 2 == i) {
        it->on_disk.insert("m" + std::to_string(m));
      }
    }
    misbehaviour_.push_back(Misbehaviour::kNone);
    const auto n = static_cast<std::size_t>(i);
    it->serve = [this, n](const HttpRequest& request,
                          HttpResponder& responder) {
      Serve(n, request, responder);
    };
    endpoints_.push_back(it);
    it->Register();
  }

  // Puts a proxy between each node and its peers: its entry names the proxy.
  void RedirectPeers() {
    std::map<int, std::shared_ptr<Link>> by_port;
    while (!ended_) {
      for (const auto& it : nodes_) {
        auto entry = store_.Spec("fleet-nodes", it->id());
        if (entry.is_null()) {
          continue;
        }
        const int port = entry.at("peer_port").get<int>();
        const auto known = peer_links_.find(it->id());
        if (known == peer_links_.end() || PortOf(*known->second) != port) {
          auto& link = by_port[port];
          link = link == nullptr ? AddLink(static_cast<std::uint16_t>(port))
                                 : link;
          peer_links_[it->id()] = link;
          entry["peer_port"] = PortOf(*link);
          store_.Set("fleet-nodes", it->id(), entry);
        }
      }
      SleepMs(20);
    }
  }

  // ---- endpoints

  void Serve(std::size_t n,
             const HttpRequest& request,
             HttpResponder& responder) {
    const std::string attempt(request.headers.Find("Attempt-Id").value_or(""));
    if (!sent_.contains(attempt) || request.body != "body of " + attempt) {
      violations_ += "a request that no client sent: " + attempt + "\n";
    }
    const auto fault = misbehaviour_[n];
    SleepMs(fault == Misbehaviour::kSlow ? 700 : 15);
    if (fault == Misbehaviour::kLosesAnswers) {
      responder.Abort();
    } else if (fault == Misbehaviour::kFails) {
      (void)responder.Send(
          {500, EndpointStandin::SealedHeaders(request), "failed"});
    } else if (n < kEngines) {
      Stream(request, responder, attempt, fault == Misbehaviour::kCuts);
    } else {
      (void)responder.Send({200, EndpointStandin::SealedHeaders(request),
                            "answer to " + attempt});
    }
  }

  static void Stream(const HttpRequest& request,
                     HttpResponder& responder,
                     const std::string& attempt,
                     bool cut) {
    const std::string last(request.headers.Find("Last-Event-Id").value_or("0"));
    if (!responder.StartStream(200, EndpointStandin::SealedHeaders(request))) {
      return;
    }
    for (int i = std::stoi(last) + 1; i <= kSoakEvents; ++i) {
      if (cut && i == kSoakEvents) {
        responder.Abort();
        return;
      }
      if (!responder.Write(SoakEvent(attempt, i))) {
        return;
      }
      SleepMs(20);
    }
    (void)responder.Finish();
  }

  // No engine may hold more than its memory at any time.
  void WatchMemory() {
    while (!ended_) {
      for (const auto* it : endpoints_) {
        if (it->loaded.size() > kModelsInMemory) {
          violations_ += it->id() + " holds more than its memory\n";
        }
      }
      SleepMs(5);
    }
  }

  // ---- callers

  int Number(int below) {
    return std::uniform_int_distribution<int>(0, below - 1)(random_);
  }

  NodeProcess& AnyNode() {
    return *nodes_[static_cast<std::size_t>(Number(kNodes))];
  }

  // Sends one request over a kept connection; its status.
  int Ask(const NodeProcess& node, SoakKind kind, int time_ms) {
    SoakCall call;
    call.attempt = "s-" + std::to_string(++asked_);
    call.kind = kind;
    call.node = node.id();
    call.timeout_ms = time_ms;
    HttpRequest request;
    request.method = "POST";
    request.target = PathOf(kind) + "x";
    request.body = "body of " + call.attempt;
    request.headers = {{"Host", "h.example"},
                       {"Attempt-Id", call.attempt},
                       {"Deadline-Ms", std::to_string(time_ms)}};
    if (IsStream(kind)) {
      request.headers.Set("Model", "m" + std::to_string(Number(kModels)));
    }
    sent_.insert(call.attempt);
    call.sent_ms = NowMs() - start_ms_;
    constexpr auto kClientPatience = milliseconds(3000);
    const auto answer = client_.Call(
        node.front(), request,
        {.deadline = clock_.Now() + milliseconds(time_ms) + kClientPatience});
    call.ended_ms = NowMs() - start_ms_;
    if (answer) {
      call.status = answer.assume_value().status;
      call.body = answer.assume_value().body;
    }
    calls_.calls.push_back(call);
    return call.status;
  }

  void RunCaller() {
    while (!stop_) {
      Ask(AnyNode(), kSoakKinds[Number(4)], 1000 + Number(4000));
      SleepMs(Number(60));
    }
  }

  // ---- faults

  void Note(const std::string& text) {
    std::cout << (NowMs() - start_ms_) << " ms: " << text << "\n";
  }

  void Disturb(const std::string& node, std::int64_t from_ms) {
    calls_.faults.push_back({node, from_ms, NowMs() - start_ms_});
  }

  // A series of signals to one node, which is then started again if it ended.
  void SignalNode(double ms) {
    auto& node = AnyNode();
    if (!busy_.insert(node.id()).second) {
      return;
    }
    EXPECT_TRUE(node.process().IsRunning()) << node.id() << " ended by itself";
    const auto from = NowMs() - start_ms_;
    const std::vector<std::vector<int>> series = {
        {SIGKILL},          {SIGSTOP, SIGCONT}, {SIGTERM},
        {SIGHUP, SIGTERM},  {SIGTERM, SIGTERM}, {SIGSTOP, SIGTERM, SIGCONT},
        {SIGTERM, SIGKILL}, {SIGHUP, SIGHUP},   {SIGTERM, SIGHUP}};
    const auto& signals = series[static_cast<std::size_t>(
        Number(static_cast<int>(series.size())))];
    bool planned = true;
    bool stops = false;
    for (const int it : signals) {
      Note(node.id() + " signal " + std::to_string(it));
      node.process().Signal(it);
      planned = planned && (it == SIGTERM || it == SIGHUP);
      stops = stops || it == SIGTERM || it == SIGKILL;
      SleepMs(it == SIGKILL ? 0 : ms / static_cast<double>(signals.size()));
      if (it == SIGCONT) {
        thawed_.emplace_back(node.id(), NowMs());
      }
    }
    if (stops) {
      const auto code = node.process().WaitForExit(kNodeGrace + seconds(1));
      EXPECT_TRUE(code) << node.id() << " still runs after its grace time";
      EXPECT_TRUE(!planned || code == 0) << node.id() << " ended badly";
      SleepMs(Number(500));
      node.Start();
      EXPECT_TRUE(WaitUntil([&] { return node.process().IsRunning(); }));
    }
    if (!planned) {
      Disturb(node.id(), from);
    }
    busy_.erase(node.id());
  }

  void BreakLink(double ms) {
    const auto n = static_cast<std::size_t>(Number(kNodes));
    const auto from = NowMs() - start_ms_;
    const int which = Number(3);
    std::shared_ptr<Link> link;
    std::string name = nodes_[n]->id();
    if (which == 0) {
      link = store_links_[n];
    } else if (which == 1) {
      const auto known = peer_links_.find(name);
      if (known == peer_links_.end()) {
        return;
      }
      link = known->second;
    } else {
      const auto e =
          static_cast<std::size_t>(Number(static_cast<int>(endpoints_.size())));
      link = endpoint_links_[e];
      name = endpoints_[e]->id();
    }
    // Delays stay below the time that the lease leaves for an order.
    const nlohmann::json faults[] = {
        {{"drop_existing", true}},
        {{"silence_existing", "both"}},
        {{"silence_existing", "to_client"}},
        {{"silence_existing", "to_target"}},
        {{"silent_new", "both"}, {"drop_existing", true}},
        {{"refuse", true}, {"drop_existing", true}},
        {{"lose_answers", 5}},
        {{"random_delay_ms", 120}},
        {{"delay_to_client_ms", 250}},
        {{"random_drop", 0.05}}};
    const auto& fault = faults[Number(10)];
    Note("link " + std::to_string(which) + " of " + name + " " + fault.dump());
    link->Apply(fault);
    SleepMs(ms);
    link->Apply({{"silent_new", ""},
                 {"refuse", false},
                 {"lose_answers", 0},
                 {"random_delay_ms", 0},
                 {"delay_to_client_ms", 0},
                 {"random_drop", 0}});
    thawed_.emplace_back("", NowMs());
    Disturb(which == 2 ? "" : name, from);
  }

  void DisturbStore(double ms) {
    const auto from = NowMs() - start_ms_;
    const int which = Number(4);
    Note("store fault " + std::to_string(which));
    if (which == 3) {
      store_.ForgetHistory();
      return;
    }
    const StoreStandinFault faults[] = {StoreStandinFault::kRefused,
                                        StoreStandinFault::kAnswerLost,
                                        StoreStandinFault::kSilent};
    const double part = Number(2) == 0 ? 1 : 0.4;
    store_.fault = [this, fault = faults[which], part](const std::string&) {
      return std::uniform_real_distribution<double>(0, 1)(random_) < part
                 ? fault
                 : StoreStandinFault::kNone;
    };
    SleepMs(ms);
    store_.fault = [](const std::string&) { return StoreStandinFault::kNone; };
    Disturb("", from);
  }

  void DisturbEndpoint(double ms) {
    const auto n =
        static_cast<std::size_t>(Number(static_cast<int>(endpoints_.size())));
    auto& endpoint = *endpoints_[n];
    const int which = Number(6);
    Note(endpoint.id() + " misbehaves, " + std::to_string(which));
    if (which == 4) {  // Its entry lapses and comes back.
      store_.Erase("servers", endpoint.id());
      SleepMs(ms);
      endpoint.Register();
      return;
    }
    if (which == 5) {  // It leaves and is started again.
      endpoint.draining = true;
      endpoint.Register();
      SleepMs(ms);
      endpoint.Restart();
      return;
    }
    const Misbehaviour kinds[] = {Misbehaviour::kLosesAnswers,
                                  Misbehaviour::kFails, Misbehaviour::kSlow,
                                  Misbehaviour::kCuts};
    misbehaviour_[n] = kinds[which];
    SleepMs(ms);
    misbehaviour_[n] = Misbehaviour::kNone;
  }

  void ChangeConfig(double) {
    Note("configuration " + std::to_string(++version_));
    store_.Set("config", "main", ConfigJson(version_));
  }

  // Starts a random fault every few 100 ms, several at the same time.
  void InjectFaults(std::int64_t for_ms) {
    using Fault = void (FleetSoak::*)(double);
    constexpr Fault kFaults[] = {
        &FleetSoak::SignalNode,      &FleetSoak::SignalNode,
        &FleetSoak::SignalNode,      &FleetSoak::BreakLink,
        &FleetSoak::BreakLink,       &FleetSoak::BreakLink,
        &FleetSoak::DisturbStore,    &FleetSoak::DisturbEndpoint,
        &FleetSoak::DisturbEndpoint, &FleetSoak::ChangeConfig};
    std::vector<boost::fibers::fiber> faults;
    while (NowMs() < start_ms_ + for_ms) {
      const auto fault = kFaults[Number(10)];
      const double ms = 200 + Number(3000);
      faults.emplace_back([this, fault, ms] { (this->*fault)(ms); });
      SleepMs(100 + Number(900));
    }
    for (auto& it : faults) {
      it.join();
    }
  }

  // ---- checks at the end

  // No two nodes may order an engine within the handover gap; orders that come
  // as their sender or a link goes on again do not count.
  bool Excused(const ReceivedOrder& order) const {
    for (const auto& [node, at] : thawed_) {
      const auto age = std::chrono::duration_cast<milliseconds>(
                           order.received_at.time_since_epoch())
                           .count() -
                       at;
      if ((node.empty() || node == order.holder) && age >= -kThawMs &&
          age <= kThawMs) {
        return true;
      }
    }
    return false;
  }

  void CheckOrders() {
    for (const auto* engine : endpoints_) {
      const ReceivedOrder* last = nullptr;
      for (const auto& it : engine->orders()) {
        if (Excused(it)) {
          continue;
        }
        if (last != nullptr && last->holder != it.holder) {
          EXPECT_GT(it.fence, last->fence) << engine->id();
          EXPECT_GE(it.received_at - last->received_at, kNodeHandoverGap)
              << engine->id();
        } else if (last != nullptr) {
          EXPECT_GE(it.fence, last->fence) << engine->id();
        }
        last = &it;
      }
    }
  }

  void ServesAgain() {
    for (const auto& node : nodes_) {
      for (const auto kind : kSoakKinds) {
        EXPECT_TRUE(
            WaitUntil([&] { return Ask(*node, kind, 5000) == 200; }, kRecovery))
            << node->id() << " " << PathOf(kind);
      }
    }
  }

  std::uint64_t seed_ = GetParam();
  std::mt19937_64 random_{seed_};
  TestFolder folder_;
  StoreStandin& store_ = *new StoreStandin();
  std::uint64_t links_ = 0;
  int version_ = 1;
  std::vector<EndpointStandin*> endpoints_;
  std::vector<Misbehaviour> misbehaviour_;
  std::vector<std::shared_ptr<Link>> endpoint_links_;
  std::vector<std::shared_ptr<Link>> store_links_;
  std::map<std::string, std::shared_ptr<Link>> peer_links_;
  boost::fibers::fiber redirection_;
  std::vector<std::unique_ptr<NodeProcess>> nodes_;
  SteadyClock clock_;
  HttpClient client_{Runtime::Get().io()};
  std::int64_t start_ms_ = 0;
  int asked_ = 0;
  std::set<std::string> sent_;
  SoakCalls calls_;
  std::string violations_;
  std::set<std::string> busy_;  ///< Nodes that get signals now.
  std::vector<std::pair<std::string, std::int64_t>> thawed_;
  bool stop_ = false;
  bool ended_ = false;
};

TEST_P(FleetSoak, PromisesHoldUnderRandomFaults) {
  std::cout << "seed " << seed_ << "\n";
  std::vector<boost::fibers::fiber> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([this] { RunCaller(); });
  }
  boost::fibers::fiber memory([this] { WatchMemory(); });
  InjectFaults(static_cast<std::int64_t>(
      1000 * FromEnvironment("TANAGERLOOM_SOAK_SECONDS", kDefaultSeconds)));
  stop_ = true;
  for (auto& it : callers) {
    it.join();
  }
  ServesAgain();
  ended_ = true;
  memory.join();
  for (const auto* endpoint : endpoints_) {
    for (const auto& it : endpoint->runs()) {
      ++calls_.runs[it];
    }
  }
  CheckOrders();
  EXPECT_EQ(violations_, "");
  EXPECT_EQ(calls_.Violations(), "");
  int served = 0;
  for (const auto& it : calls_.calls) {
    served += it.status == 200 ? 1 : 0;
  }
  std::cout << calls_.calls.size() << " requests, " << served << " served\n";
  EXPECT_GT(served, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FleetSoak, testing::ValuesIn(Seeds()));

}  // namespace
}  // namespace tanagerloom::testing_support
