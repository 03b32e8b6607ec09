// Fault soak of a registered fleet: real nodes, stand-ins of the platform's
// object store and of the endpoints behind proxies, and random, overlapping
// sequences of external faults. Guards the guarantees to clients and endpoints
// against sequences of faults that no other test covers. The environment sets
// TANAGERLOOM_SEED and TANAGERLOOM_SOAK_SECONDS; TANAGERLOOM_KEEP_LOGS names a
// folder that receives the nodes' logs.
#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
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
#include "tests/support/soak_endpoint.h"

namespace tanagerloom::testing_support {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Seeds of the CI run: one that never failed, and those that found the named
// faults.
constexpr std::uint64_t kSeeds[] = {
    1,   4,  // SIGTERM during startup ended a node without its grace time.
    9,       // A later order was treated as done when an earlier one was.
    14,      // The same fault as 9.
    243,     // A pause was forgotten when the entry of its endpoint lapsed.
};
constexpr std::uint64_t kDefaultSeconds = 15;
constexpr int kNodes = 4;
constexpr int kEngines = 3;
constexpr int kPlainServices = 2;
constexpr int kModels = 8;
constexpr int kClients = 16;
// An engine's memory fits two models.
constexpr int kModelMb = 400;
constexpr int kEngineMb = 1000;
constexpr std::size_t kModelsInMemory = 2;
// Orders that arrive within this time of their sender's or a link's resumption
// are excluded from the check of the handover gap.
constexpr std::int64_t kResumeToleranceMs = 300;
// After the last fault, requests must be served again within this time.
constexpr seconds kRecoveryTimeout{12};

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// Returns the end of a log, for a message.
std::string LastBytes(const std::string& log) {
  constexpr std::size_t kMaxBytes = 2000;
  return log.substr(log.size() - std::min(log.size(), kMaxBytes));
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

std::vector<std::uint64_t> Seeds() {
  const auto seed = FromEnvironment("TANAGERLOOM_SEED", 0);
  return seed != 0 ? std::vector{seed}
                   : std::vector(std::begin(kSeeds), std::end(kSeeds));
}

class FleetSoakTest : public testing::TestWithParam<std::uint64_t> {
 protected:
  void SetUp() override {
    store_.Set("config", "main", ConfigJson(config_version_));
    for (int i = 0; i < kEngines + kPlainServices; ++i) {
      AddEndpoint(i);
    }
    for (int i = 0; i < kNodes; ++i) {
      auto link = AddLink(store_.address().port);
      store_links_.push_back(link);
      nodes_.push_back(std::make_unique<NodeProcess>(
          folder_.path(), "node-" + std::to_string(i),
          Address{"127.0.0.1", PortOf(*link)}));
    }
    redirection_fiber_ =
        boost::fibers::fiber([this] { RoutePeersThroughProxies(); });
    for (const auto& it : nodes_) {
      ASSERT_TRUE(WaitUntil([&] { return it->IsReady(); }));
    }
    observations_.start_ms = NowMs();
  }

  void TearDown() override {
    finished_ = true;
    redirection_fiber_.join();
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
    auto link = std::make_shared<Link>(target, seed_ + ++link_count_);
    EXPECT_TRUE(link->Listen(0));
    return link;
  }

  void AddEndpoint(int i) {
    const bool engine = i < kEngines;
    auto* it =
        new SoakEndpoint(store_, "i-" + std::to_string(i),
                         engine ? "pool" : "desk", engine, observations_);
    it->link = AddLink(it->standin.address().port);
    it->standin.advertised_port = PortOf(*it->link);
    for (int m = 0; engine && m < kModels; ++m) {
      if (m % kEngines == i || m % 2 == i) {
        it->standin.on_disk.insert("m" + std::to_string(m));
      }
    }
    endpoints_.push_back(it);
    it->standin.Register();
  }

  // Puts a proxy between each node and its peers by replacing the peer port in
  // each node's store entry with the port of a proxy.
  void RoutePeersThroughProxies() {
    std::map<int, std::shared_ptr<Link>> by_port;
    while (!finished_) {
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

  // ---- Endpoints

  // Records a violation whenever an engine has more models loaded than fit in
  // its memory.
  void WatchMemory() {
    while (!finished_) {
      for (const auto* it : endpoints_) {
        if (it->standin.loaded.size() > kModelsInMemory) {
          observations_.violations +=
              it->standin.id() +
              " has more models loaded than its memory fits\n";
        }
      }
      SleepMs(5);
    }
  }

  // ---- Clients

  int RandomInt(int below) {
    return std::uniform_int_distribution<int>(0, below - 1)(random_);
  }

  NodeProcess& AnyNode() {
    return *nodes_[static_cast<std::size_t>(RandomInt(kNodes))];
  }

  // Sends one request over a reused connection. Returns the HTTP status, or 0
  // if there is no response.
  int SendRequest(const NodeProcess& node, SoakKind kind, int time_ms) {
    SoakCall call;
    call.attempt = "s-" + std::to_string(++request_count_);
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
      request.headers.Set("Model", "m" + std::to_string(RandomInt(kModels)));
    }
    observations_.sent_attempts.insert(call.attempt);
    call.sent_ms = NowMs() - observations_.start_ms;
    observations_.statements.OnSent(call.attempt, call.node, call.sent_ms);
    constexpr auto kClientTimeout = milliseconds(3000);
    const auto answer = client_.Call(
        node.front(), request,
        {.deadline = clock_.Now() + milliseconds(time_ms) + kClientTimeout});
    call.ended_ms = NowMs() - observations_.start_ms;
    if (answer) {
      call.status = answer.assume_value().status;
      call.body = answer.assume_value().body;
      observations_.statements.OnAnswered(call.attempt, call.ended_ms);
    }
    calls_.calls.push_back(call);
    return call.status;
  }

  void RunClient() {
    while (!stop_clients_) {
      SendRequest(AnyNode(), kSoakKinds[RandomInt(4)], 1000 + RandomInt(4000));
      SleepMs(RandomInt(60));
    }
  }

  // ---- Faults

  void LogFault(const std::string& text) {
    std::cout << (NowMs() - observations_.start_ms) << " ms: " << text << "\n";
  }

  void RecordFault(const std::string& node, std::int64_t from_ms) {
    calls_.faults.push_back({node, from_ms, NowMs() - observations_.start_ms});
  }

  // Sends a sequence of signals to one node, and starts the node again if the
  // sequence ends its process.
  void SendSignals(double ms) {
    auto& node = AnyNode();
    if (!signalled_nodes_.insert(node.id()).second) {
      return;
    }
    EXPECT_TRUE(node.process().IsRunning()) << node.id() << " ended by itself";
    const auto from = NowMs() - observations_.start_ms;
    const std::vector<std::vector<int>> signal_sequences = {
        {SIGKILL},          {SIGSTOP, SIGCONT}, {SIGTERM},
        {SIGHUP, SIGTERM},  {SIGTERM, SIGTERM}, {SIGSTOP, SIGTERM, SIGCONT},
        {SIGTERM, SIGKILL}, {SIGHUP, SIGHUP},   {SIGTERM, SIGHUP}};
    const auto& signals = signal_sequences[static_cast<std::size_t>(
        RandomInt(static_cast<int>(signal_sequences.size())))];
    bool graceful = true;
    bool ends_process = false;
    for (const int it : signals) {
      LogFault(node.id() + " signal " + std::to_string(it));
      node.process().Signal(it);
      graceful = graceful && (it == SIGTERM || it == SIGHUP);
      ends_process = ends_process || it == SIGTERM || it == SIGKILL;
      SleepMs(it == SIGKILL ? 0 : ms / static_cast<double>(signals.size()));
      if (it == SIGCONT) {
        resumed_.emplace_back(node.id(), NowMs());
      }
    }
    if (ends_process) {
      const auto code = node.process().WaitForExit(kNodeGrace + seconds(1));
      EXPECT_TRUE(code) << node.id() << " still runs after its grace time";
      EXPECT_TRUE(!graceful || code == 0)
          << node.id() << " exited with status " << code.value_or(-1)
          << "; the end of its log:\n"
          << LastBytes(node.process().Output());
      SleepMs(RandomInt(500));
      node.Start();
      EXPECT_TRUE(WaitUntil([&] { return node.process().IsRunning(); }));
    }
    if (!graceful) {
      RecordFault(node.id(), from);
    }
    observations_.statements.OnNodeFault(node.id(), from,
                                         NowMs() - observations_.start_ms);
    signalled_nodes_.erase(node.id());
  }

  void BreakLink(double ms) {
    const auto n = static_cast<std::size_t>(RandomInt(kNodes));
    const auto from = NowMs() - observations_.start_ms;
    const int choice = RandomInt(3);
    std::shared_ptr<Link> link;
    std::string name = nodes_[n]->id();
    if (choice == 0) {
      link = store_links_[n];
    } else if (choice == 1) {
      const auto known = peer_links_.find(name);
      if (known == peer_links_.end()) {
        return;
      }
      link = known->second;
    } else {
      const auto e = static_cast<std::size_t>(
          RandomInt(static_cast<int>(endpoints_.size())));
      link = endpoints_[e]->link;
      name = endpoints_[e]->standin.id();
    }
    // Delays stay below the time that the order lease leaves for an order.
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
    const auto& fault = faults[RandomInt(10)];
    LogFault("link " + std::to_string(choice) + " of " + name + " " +
             fault.dump());
    link->Apply(fault);
    SleepMs(ms);
    link->Apply({{"silent_new", ""},
                 {"refuse", false},
                 {"lose_answers", 0},
                 {"random_delay_ms", 0},
                 {"delay_to_client_ms", 0},
                 {"random_drop", 0}});
    resumed_.emplace_back("", NowMs());
    RecordFault(choice == 2 ? "" : name, from);
  }

  void InjectStoreFault(double ms) {
    const auto from = NowMs() - observations_.start_ms;
    const int choice = RandomInt(4);
    LogFault("store fault " + std::to_string(choice));
    if (choice == 3) {
      store_.ForgetHistory();
      return;
    }
    const StoreStandinFault faults[] = {StoreStandinFault::kRefused,
                                        StoreStandinFault::kAnswerLost,
                                        StoreStandinFault::kSilent};
    const double probability = RandomInt(2) == 0 ? 1 : 0.4;
    store_.fault = [this, fault = faults[choice],
                    probability](const std::string&) {
      return std::uniform_real_distribution<double>(0, 1)(random_) < probability
                 ? fault
                 : StoreStandinFault::kNone;
    };
    SleepMs(ms);
    store_.fault = [](const std::string&) { return StoreStandinFault::kNone; };
    RecordFault("", from);
  }

  void InjectEndpointFault(double ms) {
    const auto n = static_cast<std::size_t>(
        RandomInt(static_cast<int>(endpoints_.size())));
    auto& endpoint = endpoints_[n]->standin;
    const int choice = RandomInt(6);
    LogFault(endpoint.id() + " endpoint fault " + std::to_string(choice));
    if (choice == 4) {  // Its store entry expires and is written again.
      store_.Erase("servers", endpoint.id());
      SleepMs(ms);
      endpoint.Register();
      return;
    }
    if (choice == 5) {  // It drains and is started again.
      endpoint.draining = true;
      endpoint.Register();
      SleepMs(ms);
      endpoint.Restart();
      return;
    }
    const EndpointFault kinds[] = {EndpointFault::kLosesAnswers,
                                   EndpointFault::kFails, EndpointFault::kSlow,
                                   EndpointFault::kTruncatesStream};
    endpoints_[n]->fault = kinds[choice];
    SleepMs(ms);
    endpoints_[n]->fault = EndpointFault::kNone;
  }

  // Lets endpoints say in their answers that they leave, or ask for pauses, one
  // after the other. Draws its own random numbers, so that the other faults of
  // a seed stay the same.
  void InjectStatements(std::int64_t for_ms) {
    std::mt19937_64 random(seed_);
    const auto draw = [&](int below) {
      return std::uniform_int_distribution<int>(0, below - 1)(random);
    };
    while (NowMs() < observations_.start_ms + for_ms) {
      const auto n =
          static_cast<std::size_t>(draw(static_cast<int>(endpoints_.size())));
      auto& endpoint = *endpoints_[n];
      const bool leaves = draw(2) == 0;
      LogFault(endpoint.standin.id() + (leaves ? " leaves" : " wants pauses"));
      endpoint.leaving = leaves;
      endpoint.pause_ms = leaves ? 0 : 300 + draw(2000);
      SleepMs(leaves ? 2500 + draw(2000) : 500 + draw(1500));
      if (leaves) {
        endpoint.standin.Restart();
      }
      endpoint.leaving = false;
      endpoint.pause_ms = 0;
      SleepMs(draw(1500));
    }
  }

  // Restores the store to a copy some seconds old, at intervals that leave time
  // for orders. What the operator and the endpoints wrote since is written
  // again soon; what the nodes wrote is lost. Draws its own random numbers, as
  // InjectStatements does.
  void RestoreStore(std::int64_t for_ms) {
    std::mt19937_64 random(seed_);
    const auto draw = [&](int below) {
      return std::uniform_int_distribution<int>(0, below - 1)(random);
    };
    const auto end = observations_.start_ms + for_ms;
    store_.era = 1;
    while (NowMs() < end) {
      SleepMs(2000 + draw(4000));
      const auto copy = store_.MakeCopy();
      SleepMs(500 + draw(3500));
      LogFault("store restored");
      store_.Restore(copy);
      SleepMs(100 + draw(900));
      store_.Set("config", "main", ConfigJson(config_version_));
      for (auto* it : endpoints_) {
        it->standin.Register();
      }
      const int left =
          static_cast<int>(std::max<std::int64_t>(0, end - NowMs()));
      SleepMs(std::min(left, 10000 + draw(10000)));
    }
  }

  void ChangeConfig(double) {
    LogFault("configuration " + std::to_string(++config_version_));
    store_.Set("config", "main", ConfigJson(config_version_));
  }

  // Starts a random fault at random intervals of 100 to 1000 ms; several faults
  // overlap.
  void InjectFaults(std::int64_t for_ms) {
    using Fault = void (FleetSoakTest::*)(double);
    constexpr Fault kFaults[] = {&FleetSoakTest::SendSignals,
                                 &FleetSoakTest::SendSignals,
                                 &FleetSoakTest::SendSignals,
                                 &FleetSoakTest::BreakLink,
                                 &FleetSoakTest::BreakLink,
                                 &FleetSoakTest::BreakLink,
                                 &FleetSoakTest::InjectStoreFault,
                                 &FleetSoakTest::InjectEndpointFault,
                                 &FleetSoakTest::InjectEndpointFault,
                                 &FleetSoakTest::ChangeConfig};
    std::vector<boost::fibers::fiber> faults;
    while (NowMs() < observations_.start_ms + for_ms) {
      const auto fault = kFaults[RandomInt(10)];
      const double ms = 200 + RandomInt(3000);
      faults.emplace_back([this, fault, ms] { (this->*fault)(ms); });
      SleepMs(100 + RandomInt(900));
    }
    for (auto& it : faults) {
      it.join();
    }
  }

  // ---- Final checks

  // Whether an order is excluded from the check of the handover gap because it
  // arrived around the time its sender or any link resumed.
  bool IsExcused(const ReceivedOrder& order) const {
    for (const auto& [node, at] : resumed_) {
      const auto age = std::chrono::duration_cast<milliseconds>(
                           order.received_at.time_since_epoch())
                           .count() -
                       at;
      if ((node.empty() || node == order.holder) &&
          age >= -kResumeToleranceMs && age <= kResumeToleranceMs) {
        return true;
      }
    }
    return false;
  }

  // Expects that orders of two lease holders reach an engine at least the
  // handover gap apart, and with rising fencing tokens.
  void CheckOrders() {
    for (const auto* endpoint : endpoints_) {
      const auto& engine = endpoint->standin;
      const ReceivedOrder* last = nullptr;
      for (const auto& it : engine.orders()) {
        if (IsExcused(it)) {
          continue;
        }
        if (last != nullptr && last->holder != it.holder) {
          EXPECT_GT(it.fence, last->fence) << engine.id();
          EXPECT_GE(it.received_at - last->received_at, kNodeHandoverGap)
              << engine.id();
        } else if (last != nullptr) {
          EXPECT_GE(it.fence, last->fence) << engine.id();
        }
        last = &it;
      }
    }
  }

  void ExpectServingAgain() {
    for (const auto& node : nodes_) {
      for (const auto kind : kSoakKinds) {
        EXPECT_TRUE(
            WaitUntil([&] { return SendRequest(*node, kind, 5000) == 200; },
                      kRecoveryTimeout))
            << node->id() << " " << PathOf(kind);
      }
    }
  }

  std::uint64_t seed_ = GetParam();
  std::mt19937_64 random_{seed_};
  TestFolder folder_;
  StoreStandin& store_ = *new StoreStandin();
  SoakObservations& observations_ = *new SoakObservations();
  std::uint64_t link_count_ = 0;
  int config_version_ = 1;
  std::vector<SoakEndpoint*> endpoints_;
  std::vector<std::shared_ptr<Link>> store_links_;
  std::map<std::string, std::shared_ptr<Link>> peer_links_;
  boost::fibers::fiber redirection_fiber_;
  std::vector<std::unique_ptr<NodeProcess>> nodes_;
  SteadyClock clock_;
  HttpClient client_{Runtime::Get().io()};
  int request_count_ = 0;
  SoakCalls calls_;
  std::set<std::string>
      signalled_nodes_;  ///< Nodes whose signal sequence is running.
  /// Nodes, or all nodes for an empty name, and when they resumed, in ms.
  std::vector<std::pair<std::string, std::int64_t>> resumed_;
  bool stop_clients_ = false;
  bool finished_ = false;
};

// Guards against lost or repeated requests, overcommitted memory and orders of
// two lease holders at once, after faults that overlap at random.
TEST_P(FleetSoakTest, GuaranteesHoldUnderRandomFaults) {
  std::cout << "seed " << seed_ << "\n";
  std::vector<boost::fibers::fiber> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([this] { RunClient(); });
  }
  boost::fibers::fiber memory([this] { WatchMemory(); });
  const auto duration_ms = static_cast<std::int64_t>(
      1000 * FromEnvironment("TANAGERLOOM_SOAK_SECONDS", kDefaultSeconds));
  boost::fibers::fiber statements(
      [this, duration_ms] { InjectStatements(duration_ms); });
  boost::fibers::fiber restorations(
      [this, duration_ms] { RestoreStore(duration_ms); });
  InjectFaults(duration_ms);
  statements.join();
  restorations.join();
  stop_clients_ = true;
  for (auto& it : clients) {
    it.join();
  }
  ExpectServingAgain();
  finished_ = true;
  memory.join();
  for (const auto* endpoint : endpoints_) {
    for (const auto& it : endpoint->standin.runs()) {
      ++calls_.runs[it];
    }
  }
  CheckOrders();
  EXPECT_EQ(observations_.violations, "");
  EXPECT_EQ(calls_.Violations(), "");
  EXPECT_EQ(observations_.statements.Violations(), "");
  int served = 0;
  for (const auto& it : calls_.calls) {
    served += it.status == 200 ? 1 : 0;
  }
  std::cout << calls_.calls.size() << " requests, " << served << " served, "
            << observations_.statements.pauses() << " pauses, "
            << observations_.statements.leaving_answers()
            << " answers of leaving endpoints\n";
  EXPECT_GT(served, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FleetSoakTest, testing::ValuesIn(Seeds()));

}  // namespace
}  // namespace tanagerloom::testing_support
