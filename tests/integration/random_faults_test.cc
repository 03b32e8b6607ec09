// Randomized test with combined faults of every kind. Guards the stated
// guarantees against sequences of faults that no other test covers. The
// environment sets TANAGERLOOM_SEED and TANAGERLOOM_RANDOM_SECONDS.
#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <random>

#include "testing/harness/site.h"
#include "testing/harness/wait.h"
#include "testing/support/standin.h"

namespace tanagerloom::testing_support {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kDefaultSeed = 1;
constexpr std::uint64_t kDefaultSeconds = 20;
constexpr int kClients = 24;

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

class RandomFaultsTest : public testing::Test {
 protected:
  static SiteOptions Options() {
    SiteOptions options;
    options.services = 2;
    options.models_per_pool = 8;
    // Memory for about half of the models, so that replicas are evicted.
    options.engine_memory_mb = 24000;
    options.engine_flags = {"--crash", "simulate", "--crash-ms", "700"};
    return options;
  }

  int RandomInt(int below) {
    return std::uniform_int_distribution<int>(0, below - 1)(random_);
  }
  std::string AnyNode() { return Site::Node(RandomInt(site_.options().nodes)); }
  std::string AnyEngine() {
    const auto ids = cluster_.engine_ids();
    return ids[static_cast<std::size_t>(
        RandomInt(static_cast<int>(ids.size())))];
  }
  std::string AnyEndpoint() {
    const auto services = site_.service_ids();
    return RandomInt(3) == 0 ? services[static_cast<std::size_t>(RandomInt(
                                   static_cast<int>(services.size())))]
                             : AnyEngine();
  }

  // Runs one client, which sends requests of each kind one after the other
  // until the end of the load.
  void RunClient(int caller) {
    const auto models = site_.Models();
    for (int i = 0; !stop_; ++i) {
      const auto name =
          "random-" + std::to_string(caller) + "-" + std::to_string(i);
      const auto deadline = std::chrono::milliseconds(1000 + RandomInt(9000));
      if (RandomInt(4) > 0) {
        const auto n = static_cast<std::size_t>(
            RandomInt(static_cast<int>(models.size())));
        Send(site_.CompletionCall(AnyNode(), models[n], name, deadline,
                                  RandomInt(2) == 0, 1 + RandomInt(60)));
      } else {
        const auto first = site_.BookingCall(AnyNode(), name, name, deadline);
        if (!Send(first)) {
          // Like real clients, sends the same call again to any node.
          Send(site_.BookingCall(AnyNode(), name, name, deadline));
        }
      }
      SleepMs(RandomInt(50));
    }
  }

  // Sends a request and records it. Returns whether it was answered.
  bool Send(const Call& call) {
    ++sent_count_;
    auto answer = cluster_.client().Send(call);
    const bool answered = answer.status == 200;
    calls_.push_back(call);
    answers_.push_back(std::move(answer));
    return answered;
  }

  void LogFault(const std::string& fault) {
    std::cout << (NowMs() - start_ms_) << " ms: " << fault << "\n";
  }

  // Each of the following functions injects a fault for `ms` and then removes
  // it.
  void KillNode(double ms) {
    const auto node = AnyNode();
    if (!disturbed_nodes_.insert(node).second) {
      return;
    }
    LogFault("kill " + node);
    killed_nodes_.insert(node);
    EXPECT_TRUE(cluster_.process(node).IsRunning())
        << node << " ended by itself";
    cluster_.process(node).Kill();
    const bool listed = RandomInt(2) == 0;
    if (!listed) {
      cluster_.RemoveVm(node);
    }
    SleepMs(ms);
    EXPECT_TRUE(cluster_.ReplaceNode(node));
    disturbed_nodes_.erase(node);
  }

  void PauseNode(double ms) {
    const auto node = AnyNode();
    if (!disturbed_nodes_.insert(node).second) {
      return;
    }
    LogFault("pause " + node);
    cluster_.process(node).Pause();
    SleepMs(ms);
    cluster_.process(node).Resume();
    disturbed_nodes_.erase(node);
  }

  void CrashEngine(double ms) {
    const auto engine = AnyEngine();
    LogFault("crash " + engine);
    (void)cluster_.client().SendJson(cluster_.address(engine), "POST",
                                     "/test/crash", {{"down_ms", ms}});
    SleepMs(ms);
  }

  void BreakLink(double ms) {
    const std::string links[] = {AnyNode() + "-platform", AnyNode() + "-peer",
                                 AnyEndpoint()};
    const auto link = links[RandomInt(3)];
    const nlohmann::json faults[] = {
        {{"drop_existing", true}},
        {{"silence_existing", "both"}},
        {{"silence_existing", "to_client"}},
        {{"silence_existing", "to_target"}},
        {{"silent_new", "both"}, {"drop_existing", true}},
        {{"refuse", true}, {"drop_existing", true}},
        {{"lose_answers", 5}},
        {{"random_delay_ms", 200}},
        {{"delay_to_target_ms", 700}},
        {{"random_drop", 0.05}}};
    const auto& fault = faults[RandomInt(10)];
    LogFault(link + " " + fault.dump());
    cluster_.SetLinkFaults(link, fault);
    SleepMs(ms);
    ClearLinkFaults(link);
  }

  void ClearLinkFaults(const std::string& link) {
    cluster_.SetLinkFaults(link, {{"silent_new", ""},
                                  {"refuse", false},
                                  {"lose_answers", 0},
                                  {"random_delay_ms", 0},
                                  {"delay_to_target_ms", 0},
                                  {"random_drop", 0}});
  }

  void InjectPlatformFault(double ms) {
    const nlohmann::json faults[] = {{{"mode", "down"}},
                                     {{"mode", "slow"}, {"slow_ms", 800}},
                                     {{"lose_probability", 0.3}}};
    const auto& fault = faults[RandomInt(3)];
    LogFault("platform " + fault.dump());
    cluster_.Control("platform", fault);
    SleepMs(ms);
    cluster_.Control("platform", {{"mode", "up"}, {"lose_probability", 0.0}});
  }

  void InjectEndpointFault(double ms) {
    const nlohmann::json faults[] = {
        {{"lose_answers", 3}},       {{"not_run", 3}},
        {{"lose_order_answers", 2}}, {{"drop_orders", 2}},
        {{"order_delay_ms", 1500}},  {{"cut_streams", 3}},
        {{"wrong_answers", 2}},      {{"cut_ends", 2}}};
    const auto endpoint = AnyEndpoint();
    const auto& fault = faults[RandomInt(8)];
    LogFault(endpoint + " " + fault.dump());
    cluster_.Control(endpoint, fault);
    SleepMs(ms);
    cluster_.Control(endpoint, {{"order_delay_ms", 0}});
  }

  // Starts a random fault at random intervals of 100 to 700 ms; several faults
  // overlap.
  void InjectFaults(std::chrono::milliseconds time) {
    using Fault = void (RandomFaultsTest::*)(double);
    constexpr Fault kFaults[] = {&RandomFaultsTest::KillNode,
                                 &RandomFaultsTest::PauseNode,
                                 &RandomFaultsTest::CrashEngine,
                                 &RandomFaultsTest::BreakLink,
                                 &RandomFaultsTest::BreakLink,
                                 &RandomFaultsTest::BreakLink,
                                 &RandomFaultsTest::InjectPlatformFault,
                                 &RandomFaultsTest::InjectEndpointFault,
                                 &RandomFaultsTest::InjectEndpointFault};
    std::vector<boost::fibers::fiber> faults;
    while (NowMs() < start_ms_ + time.count()) {
      const auto fault = kFaults[RandomInt(9)];
      const double ms = 200 + RandomInt(4000);
      faults.emplace_back([this, fault, ms] { (this->*fault)(ms); });
      SleepMs(100 + RandomInt(600));
    }
    for (auto& it : faults) {
      it.join();
    }
  }

  // Expects that, after the faults, requests for every model are answered at
  // every node.
  void ExpectServingAgain() {
    int round = 0;
    EXPECT_TRUE(WaitUntil(
        [&] {
          const auto calls =
              site_.SpreadCalls("after-" + std::to_string(++round), 128, 20s);
          const auto outcomes =
              site_.Check(calls, cluster_.client().SendAll(calls));
          EXPECT_EQ(outcomes.problems, "");
          return outcomes.answers == 128;
        },
        90s));
  }

  std::uint64_t seed_ = FromEnvironment("TANAGERLOOM_SEED", kDefaultSeed);
  std::mt19937_64 random_{seed_};
  Site site_{Options()};
  Cluster& cluster_ = site_.cluster();
  std::int64_t start_ms_ = 0;
  bool stop_ = false;
  int sent_count_ = 0;
  std::vector<Call> calls_;
  std::vector<CallResult> answers_;
  std::set<std::string>
      disturbed_nodes_;                 ///< Nodes currently killed or paused.
  std::set<std::string> killed_nodes_;  ///< Nodes killed at any time.
};

// Guards against wrong verdicts, lost responses and exceeded limits after
// faults that overlap at random.
TEST_F(RandomFaultsTest, GuaranteesHoldUnderRandomFaults) {
  std::cout << "seed " << seed_ << "\n";
  ASSERT_EQ(site_.Start(), "");
  start_ms_ = NowMs();
  std::vector<boost::fibers::fiber> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([this, i] { RunClient(i); });
  }
  InjectFaults(std::chrono::seconds(
      FromEnvironment("TANAGERLOOM_RANDOM_SECONDS", kDefaultSeconds)));
  stop_ = true;
  for (auto& it : clients) {
    it.join();
  }
  const auto outcomes = site_.Check(calls_, answers_, killed_nodes_, true);
  EXPECT_EQ(outcomes.problems, "");
  EXPECT_EQ(outcomes.answers + outcomes.not_run + outcomes.may_have_run +
                outcomes.broken_connections,
            sent_count_);
  EXPECT_GT(outcomes.answers, 0);
  std::cout << sent_count_ << " requests: " << outcomes.answers << " answers, "
            << outcomes.not_run << " refused as not run, "
            << outcomes.may_have_run << " refused as possibly run, "
            << outcomes.broken_connections << " broken connections\n";
  ExpectServingAgain();
  EXPECT_EQ(site_.Violations(), "");
}

}  // namespace
}  // namespace tanagerloom::testing_support
