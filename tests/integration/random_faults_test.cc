// A randomised run with faults of every kind in combination: guards the stated
// guarantees against sequences of faults that no other test names. The
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
constexpr int kCallers = 24;

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
    // Room for about half of the models, so that replicas are evicted.
    options.engine_memory_mb = 24000;
    options.engine_flags = {"--crash", "simulate", "--crash-ms", "700"};
    return options;
  }

  int Number(int below) {
    return std::uniform_int_distribution<int>(0, below - 1)(random_);
  }
  std::string AnyNode() { return Site::Node(Number(site_.options().nodes)); }
  std::string AnyEngine() {
    const auto ids = cluster_.engine_ids();
    return ids[static_cast<std::size_t>(Number(static_cast<int>(ids.size())))];
  }
  std::string AnyEndpoint() {
    const auto services = site_.service_ids();
    return Number(3) == 0 ? services[static_cast<std::size_t>(
                                Number(static_cast<int>(services.size())))]
                          : AnyEngine();
  }

  // One caller: a request after the other, of each kind.
  void RunCaller(int caller) {
    const auto models = site_.Models();
    for (int i = 0; !stop_; ++i) {
      const auto name =
          "random-" + std::to_string(caller) + "-" + std::to_string(i);
      const auto deadline = std::chrono::milliseconds(1000 + Number(9000));
      if (Number(4) > 0) {
        const auto n =
            static_cast<std::size_t>(Number(static_cast<int>(models.size())));
        Send(site_.CompletionCall(AnyNode(), models[n], name, deadline,
                                  Number(2) == 0, 1 + Number(60)));
      } else {
        const auto first = site_.BookingCall(AnyNode(), name, name, deadline);
        if (!Send(first)) {
          // As real callers do, it sends the same call again elsewhere.
          Send(site_.BookingCall(AnyNode(), name, name, deadline));
        }
      }
      SleepMs(Number(50));
    }
  }

  // Returns whether an answer came.
  bool Send(const Call& call) {
    ++sent_;
    auto answer = cluster_.client().Send(call);
    const bool answered = answer.status == 200;
    calls_.push_back(call);
    answers_.push_back(std::move(answer));
    return answered;
  }

  void Note(const std::string& fault) {
    std::cout << (NowMs() - start_ms_) << " ms: " << fault << "\n";
  }

  // Each fault lasts for `ms` and ends by itself.
  void KillNode(double ms) {
    const auto node = AnyNode();
    if (!busy_.insert(node).second) {
      return;
    }
    Note("kill " + node);
    ended_.insert(node);
    EXPECT_TRUE(cluster_.process(node).IsRunning())
        << node << " ended by itself";
    cluster_.process(node).Kill();
    const bool listed = Number(2) == 0;
    if (!listed) {
      cluster_.RemoveVm(node);
    }
    SleepMs(ms);
    EXPECT_TRUE(cluster_.ReplaceNode(node));
    busy_.erase(node);
  }

  void PauseNode(double ms) {
    const auto node = AnyNode();
    if (!busy_.insert(node).second) {
      return;
    }
    Note("pause " + node);
    cluster_.process(node).Pause();
    SleepMs(ms);
    cluster_.process(node).Resume();
    busy_.erase(node);
  }

  void CrashEngine(double ms) {
    const auto engine = AnyEngine();
    Note("crash " + engine);
    (void)cluster_.client().SendJson(cluster_.address(engine), "POST",
                                     "/test/crash", {{"down_ms", ms}});
    SleepMs(ms);
  }

  void BreakLink(double ms) {
    const std::string links[] = {AnyNode() + "-platform", AnyNode() + "-peer",
                                 AnyEndpoint()};
    const auto link = links[Number(3)];
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
    const auto& fault = faults[Number(10)];
    Note(link + " " + fault.dump());
    cluster_.SetLinkFaults(link, fault);
    SleepMs(ms);
    HealLink(link);
  }

  void HealLink(const std::string& link) {
    cluster_.SetLinkFaults(link, {{"silent_new", ""},
                                  {"refuse", false},
                                  {"lose_answers", 0},
                                  {"random_delay_ms", 0},
                                  {"delay_to_target_ms", 0},
                                  {"random_drop", 0}});
  }

  void DisturbPlatform(double ms) {
    const nlohmann::json faults[] = {{{"mode", "down"}},
                                     {{"mode", "slow"}, {"slow_ms", 800}},
                                     {{"lose_probability", 0.3}}};
    const auto& fault = faults[Number(3)];
    Note("platform " + fault.dump());
    cluster_.Control("platform", fault);
    SleepMs(ms);
    cluster_.Control("platform", {{"mode", "up"}, {"lose_probability", 0.0}});
  }

  void DisturbEndpoint(double ms) {
    const nlohmann::json faults[] = {
        {{"lose_answers", 3}},       {{"not_run", 3}},
        {{"lose_order_answers", 2}}, {{"drop_orders", 2}},
        {{"order_delay_ms", 1500}},  {{"cut_streams", 3}},
        {{"wrong_answers", 2}},      {{"cut_ends", 2}}};
    const auto endpoint = AnyEndpoint();
    const auto& fault = faults[Number(8)];
    Note(endpoint + " " + fault.dump());
    cluster_.Control(endpoint, fault);
    SleepMs(ms);
    cluster_.Control(endpoint, {{"order_delay_ms", 0}});
  }

  // Starts a random fault every few 100 ms, several at the same time.
  void InjectFaults(std::chrono::milliseconds time) {
    using Fault = void (RandomFaultsTest::*)(double);
    constexpr Fault kFaults[] = {
        &RandomFaultsTest::KillNode,        &RandomFaultsTest::PauseNode,
        &RandomFaultsTest::CrashEngine,     &RandomFaultsTest::BreakLink,
        &RandomFaultsTest::BreakLink,       &RandomFaultsTest::BreakLink,
        &RandomFaultsTest::DisturbPlatform, &RandomFaultsTest::DisturbEndpoint,
        &RandomFaultsTest::DisturbEndpoint};
    std::vector<boost::fibers::fiber> faults;
    while (NowMs() < start_ms_ + time.count()) {
      const auto fault = kFaults[Number(9)];
      const double ms = 200 + Number(4000);
      faults.emplace_back([this, fault, ms] { (this->*fault)(ms); });
      SleepMs(100 + Number(600));
    }
    for (auto& it : faults) {
      it.join();
    }
  }

  // Requests for every model at every node succeed once the faults are over.
  void EverythingServesAgain() {
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
  int sent_ = 0;
  std::vector<Call> calls_;
  std::vector<CallResult> answers_;
  std::set<std::string> busy_;   ///< Nodes that are killed or paused now.
  std::set<std::string> ended_;  ///< Nodes that were killed at any time.
};

TEST_F(RandomFaultsTest, GuaranteesHoldUnderRandomFaults) {
  std::cout << "seed " << seed_ << "\n";
  ASSERT_EQ(site_.Start(), "");
  start_ms_ = NowMs();
  std::vector<boost::fibers::fiber> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([this, i] { RunCaller(i); });
  }
  InjectFaults(std::chrono::seconds(
      FromEnvironment("TANAGERLOOM_RANDOM_SECONDS", kDefaultSeconds)));
  stop_ = true;
  for (auto& it : callers) {
    it.join();
  }
  const auto outcomes = site_.Check(calls_, answers_, ended_, true);
  EXPECT_EQ(outcomes.problems, "");
  EXPECT_EQ(outcomes.answers + outcomes.not_run + outcomes.may_have_run +
                outcomes.broken_connections,
            sent_);
  EXPECT_GT(outcomes.answers, 0);
  std::cout << sent_ << " requests: " << outcomes.answers << " answers, "
            << outcomes.not_run << " refused as not run, "
            << outcomes.may_have_run << " as possibly run, "
            << outcomes.broken_connections << " broken connections\n";
  EverythingServesAgain();
  EXPECT_EQ(site_.Violations(), "");
}

}  // namespace
}  // namespace tanagerloom::testing_support
