// Defines Site: a cluster with a configured estate of two pools of engines, one
// of which checks fencing numbers, a pool of services and eight nodes. Its
// checks compare what callers were told with the ledgers of the endpoints.
#ifndef TESTING_HARNESS_SITE_H_
#define TESTING_HARNESS_SITE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "testing/harness/cluster.h"
#include "testing/harness/test_client.h"

namespace tanagerloom::testing_support {

/// The pool whose engines reject orders with an old fencing number.
inline const std::string kFenceCheckingPool = "greenwriter";
/// The pool whose engines ignore fencing numbers.
inline const std::string kFenceIgnoringPool = "setter-models";
inline const std::string kServicePool = "gym-desk";
inline const std::string kEstateToken = "estate-token";
inline const std::string kOperatorToken = "operator-token";
inline const std::string kBootstrapToken = "bootstrap-token";
inline const std::string kClientKey = "caller-key";

/// The size of a site and the flags of its programs.
struct SiteOptions {
  bool with_proxy = true;
  int nodes = 8;
  int engines_per_pool = 2;
  int services = 1;
  int models_per_pool = 10;
  std::uint64_t engine_memory_mb = 100000;
  std::uint64_t model_memory_mb = 8000;
  int replica_limit = 2;
  std::vector<std::string> engine_flags;
  std::vector<std::string> service_flags;
  std::vector<std::string> platform_flags;
  nlohmann::json node_settings = nlohmann::json::object();
};

/// What became of a set of requests.
struct OutcomeCounts {
  int answers = 0;
  int not_run = 0;
  int may_have_run = 0;
  int broken_connections = 0;
  /// One line for each answer or refusal that breaks a guarantee.
  std::string problems;
};

/// A running site. Engines are named "POOL-N", services "desk-N" and nodes
/// "node-N"; the models of a pool "POOL-model-N", the service "closures".
class Site {
 public:
  explicit Site(SiteOptions options = {});

  /// Starts every process, applies the configuration and waits until every
  /// node serves under it; the reason if that fails.
  std::string Start();

  /// Starts one more node process or a node that ended, and waits until it
  /// serves.
  bool StartNode(int n);
  bool ServesConfiguration(const std::string& node);

  static std::string Node(int n) { return "node-" + std::to_string(n); }
  static std::string Model(const std::string& pool, int n) {
    return pool + "-model-" + std::to_string(n);
  }
  std::string Engine(const std::string& pool, int n) const {
    return pool + "-" + std::to_string(n);
  }
  /// Every model of both pools.
  std::vector<std::string> Models() const;

  /// A completion request; the prompt is the key by which ledgers name it.
  Call CompletionCall(
      const std::string& node,
      const std::string& model,
      const std::string& prompt,
      std::chrono::milliseconds deadline = std::chrono::seconds(60),
      bool stream = false,
      int tokens = 8) const;
  /// A service call that may not be repeated. `body` is the key by which
  /// ledgers name it.
  Call BookingCall(
      const std::string& node,
      const std::string& idempotency_key,
      const std::string& body,
      std::chrono::milliseconds deadline = std::chrono::seconds(30)) const;

  /// `count` requests spread over all models and nodes, with prompts that start
  /// with `name`.
  std::vector<Call> SpreadCalls(
      const std::string& name,
      int count,
      std::chrono::milliseconds deadline = std::chrono::seconds(60)) const;

  /// Checks G3, G4 and G5 for each call: its own whole answer, or a refusal
  /// with a verdict that the ledgers confirm. A broken connection is a problem
  /// unless the call went to one of `ended` nodes, or if it is a stream and
  /// `streams_may_break`: a caller recognises the missing end marker.
  OutcomeCounts Check(const std::vector<Call>& calls,
                      const std::vector<CallResult>& answers,
                      const std::set<std::string>& ended = {},
                      bool streams_may_break = false) const;

  /// Checks G1, G2 and G6 for the whole run by the ledgers, and that no node
  /// outside `ended` ended; one line for each violation, empty if there is
  /// none.
  std::string Violations(const std::set<std::string>& ended = {});

  /// Runs of the service by Idempotency-Key in all ledgers.
  std::map<std::string, int> RunsByIdempotencyKey() const;
  /// Requests of the engines' ledgers by prompt.
  std::map<std::string, int> RunsByPrompt() const;

  /// The node that executes the order of a replica of `model` that is not
  /// loaded; empty if there is none.
  std::string FindExecutor(const std::string& pool, const std::string& model);
  /// The number of load orders of `model` that engines began to execute.
  int CountLoads(const std::string& model) const;

  /// The configuration files.
  nlohmann::json EstateFile() const;
  nlohmann::json OperatorFile() const;

  Cluster& cluster() { return cluster_; }
  const SiteOptions& options() const { return options_; }
  std::vector<std::string> service_ids() const { return service_ids_; }

 private:
  static ClusterOptions MakeClusterOptions(const SiteOptions& options);
  std::string CheckRefusal(const std::string& key,
                           const CallResult& answer,
                           const std::set<std::string>& ran) const;

  SiteOptions options_;
  Cluster cluster_;
  std::vector<std::string> service_ids_;
};

}  // namespace tanagerloom::testing_support

#endif  // TESTING_HARNESS_SITE_H_
