// Operators apply configuration files at the same time. Guards against a file
// that is only partly in force, nodes with different configurations, and
// configuration versions that decrease.
#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>
#include <map>
#include <set>

#include "config/digest.h"
#include "testing/harness/site.h"
#include "testing/harness/wait.h"
#include "testing/support/standin.h"

namespace tanagerloom::testing_support {
namespace {

using namespace std::chrono_literals;

constexpr int kFiles = 12;
constexpr auto kAgreementTimeout = 5s;

class ConfigurationRaceTest : public testing::Test {
 protected:
  static SiteOptions Options() {
    SiteOptions options;
    options.engines_per_pool = 1;
    options.models_per_pool = 3;
    return options;
  }

  // Adds a second operator.
  void SetUp() override {
    ASSERT_EQ(site_.Start(), "");
    auto estate = site_.EstateFile();
    estate["operators"]["cliffline"] = estate["operators"]["ramdeen"];
    std::string output;
    ASSERT_EQ(cluster_.Apply(estate, Site::Node(0), kEstateToken, &output), 0)
        << output;
  }

  // The file of an operator with number `n`. Each of its models has that number
  // as its version, so that a mix of two files is detectable.
  static nlohmann::json NumberedFile(const std::string& owner, int n) {
    auto models = nlohmann::json::object();
    for (int i = 0; i < 3 + n % 3; ++i) {
      models[owner + "-" + std::to_string(i)] = {{"version", std::to_string(n)},
                                                 {"pool", kFenceCheckingPool},
                                                 {"memory_mb", 1000},
                                                 {"replica_limit", 1},
                                                 {"expected_load_ms", 200},
                                                 {"sources", {"remote"}}};
    }
    return {{"operator", owner},
            {"models", models},
            {"callers",
             {{"desk-" + owner,
               {{"key_sha256", Sha256Hex(owner + "-key")},
                {"classes", {"interactive"}}}}}}};
  }

  nlohmann::json Status(const std::string& node) {
    return cluster_.Read(cluster_.admin(node), "/operator/status");
  }

  std::uint64_t Version(const std::string& node) {
    const auto status = Status(node);
    return status.is_object() ? status.value("config_version", std::uint64_t{0})
                              : 0;
  }

  // The file of an operator that is in force at a node; null if the node
  // returns none.
  nlohmann::json FileInForce(const std::string& node,
                             const std::string& owner) {
    const auto answer =
        cluster_.Read(cluster_.admin(node), "/operator/configuration/" + owner);
    return answer.is_object() ? answer["file"] : nlohmann::json();
  }

  // The number of the file whose models are in force at a node; -1 if they
  // match no single file.
  int FileNumberInForce(const std::string& node, const std::string& owner) {
    const auto file = FileInForce(node, owner);
    for (int n = 1; n <= kFiles; ++n) {
      if (file.is_object() &&
          file["models"] == NumberedFile(owner, n)["models"]) {
        return n;
      }
    }
    return -1;
  }

  bool AllNodesAgree() {
    const auto version = Version(Site::Node(0));
    for (const auto& node : cluster_.node_ids()) {
      if (Version(node) != version) {
        return false;
      }
    }
    return true;
  }

  Site site_{Options()};
  Cluster& cluster_ = site_.cluster();
};

// Guards against mixed files and decreasing versions when two operators apply
// files at once, responses to writes are lost and a node restarts meanwhile.
TEST_F(ConfigurationRaceTest, TwoOperatorsApplyManyFilesWithLostAnswers) {
  cluster_.Control("platform", {{"lose_probability", 0.3}});
  bool stop = false;
  // Checks each node's version over HTTP during the whole test.
  boost::fibers::fiber watcher([&] {
    std::map<std::string, std::uint64_t> highest;
    while (!stop) {
      for (const auto& node : cluster_.node_ids()) {
        const auto version = Version(node);
        // A restarted node reports version 0 until it has read the
        // configuration.
        EXPECT_TRUE(version == 0 || version >= highest[node])
            << node << " fell from " << highest[node] << " to " << version;
        highest[node] = std::max(highest[node], version);
      }
      SleepMs(20);
    }
  });
  std::vector<boost::fibers::fiber> apply_fibers;
  std::map<std::string, std::set<int>> accepted;
  std::map<std::string, std::set<int>> unconfirmed;
  for (const std::string owner : {"ramdeen", "cliffline"}) {
    for (int n = 1; n <= kFiles; ++n) {
      apply_fibers.emplace_back([&, owner, n] {
        std::string output;
        const int status =
            cluster_.Apply(NumberedFile(owner, n), Site::Node(1 + n % 7),
                           kOperatorToken, &output);
        EXPECT_TRUE(status == 0 || status == 1 || status == 3) << output;
        (status == 0 ? accepted : unconfirmed)[owner].insert(n);
      });
    }
  }
  // A node that restarts meanwhile must not serve under an older version.
  cluster_.process(Site::Node(0)).Kill();
  EXPECT_TRUE(cluster_.Restart(Site::Node(0)));
  for (auto& it : apply_fibers) {
    it.join();
  }
  cluster_.Control("platform", {{"lose_probability", 0.0}});
  EXPECT_TRUE(WaitUntil([&] { return AllNodesAgree(); }, kAgreementTimeout));
  stop = true;
  watcher.join();
  for (const std::string owner : {"ramdeen", "cliffline"}) {
    const int in_force = FileNumberInForce(Site::Node(0), owner);
    EXPECT_TRUE(accepted[owner].contains(in_force) ||
                unconfirmed[owner].contains(in_force))
        << owner << " " << in_force;
    for (const auto& node : cluster_.node_ids()) {
      EXPECT_EQ(FileNumberInForce(node, owner), in_force)
          << node << " " << owner;
    }
  }
  EXPECT_EQ(site_.Violations(), "");
}

// Guards against a refused file whose valid part takes effect.
TEST_F(ConfigurationRaceTest, InvalidFileChangesNothing) {
  ASSERT_TRUE(WaitUntil([&] { return AllNodesAgree(); }));
  const auto before = Version(Site::Node(0));
  auto file = NumberedFile("cliffline", 1);
  file["models"]["broken"] = {{"version", "1"},
                              {"pool", "no-such-pool"},
                              {"memory_mb", 1000},
                              {"sources", {"remote"}}};
  std::string output;
  EXPECT_EQ(cluster_.Apply(file, Site::Node(1), kOperatorToken, &output), 1);
  EXPECT_NE(output.find("no-such-pool"), std::string::npos) << output;
  for (const auto& node : cluster_.node_ids()) {
    EXPECT_EQ(Version(node), before);
  }
}

// Guards against a process without the right peer key that becomes a reachable
// member.
TEST_F(ConfigurationRaceTest, PeerWithAWrongKeyIsRefused) {
  ASSERT_TRUE(
      cluster_.AddNode("stranger", "dc-1",
                       {{"peer_keys", {"another-key-of-32-characters-xx"}}}));
  EXPECT_TRUE(WaitUntil([&] {
    for (const auto& node : cluster_.node_ids()) {
      if (cluster_.process(node).Output().find("peer_refused") !=
          std::string::npos) {
        return true;
      }
    }
    return false;
  }));
  const auto members = Status("stranger")["members"];
  for (const auto& it : members) {
    EXPECT_TRUE(it["node"] == "stranger" || !it["reachable"].get<bool>())
        << it.dump();
  }
  for (int i = 0; i < site_.options().nodes; ++i) {
    for (const auto& it : Status(Site::Node(i))["members"]) {
      EXPECT_TRUE(it["node"] != "stranger" || !it["reachable"].get<bool>())
          << it.dump();
    }
  }
}

}  // namespace
}  // namespace tanagerloom::testing_support
