// Defines Site, a cluster with a complete configuration: two pools of engines,
// one of which checks fencing tokens, a pool of plain services and several
// nodes. Its checks compare what clients received with the ledgers of the
// endpoints.
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

/// The pool whose engines refuse orders with an old fencing token.
inline const std::string kFenceCheckingPool = "greenwriter";
/// The pool whose engines ignore fencing tokens.
inline const std::string kFenceIgnoringPool = "setter-models";
/// The pool of the plain services.
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

/// How many requests of a set had which outcome.
struct OutcomeCounts {
  int answers = 0;             ///< Responses with status 200.
  int not_run = 0;             ///< Refusals with the verdict "not_run".
  int may_have_run = 0;        ///< Other responses.
  int broken_connections = 0;  ///< No complete response.
  /// One line for each answer or refusal that breaks a guarantee.
  std::string problems;
};

/// A running site. Engines have the ids "POOL-N", stand-ins of the service
/// "closures" the ids "desk-N" and nodes the ids "node-N". The models of a pool
/// are "POOL-model-N".
class Site {
 public:
  explicit Site(SiteOptions options = {});

  /// Starts every process, applies the configuration and waits until every node
  /// serves under it. Returns the reason of a failure; empty on success.
  std::string Start();

  /// Starts an ended node again and waits until it serves under the
  /// configuration. Returns false if it does not.
  bool StartNode(int n);
  /// Whether a node is ready and lists all models of the configuration.
  bool ServesConfiguration(const std::string& node);

  static std::string Node(int n) { return "node-" + std::to_string(n); }
  static std::string Model(const std::string& pool, int n) {
    return pool + "-model-" + std::to_string(n);
  }
  std::string Engine(const std::string& pool, int n) const {
    return pool + "-" + std::to_string(n);
  }
  /// Returns every model of both pools.
  std::vector<std::string> Models() const;

  /// Returns a completion request. Ledgers identify it by its prompt.
  Call CompletionCall(
      const std::string& node,
      const std::string& model,
      const std::string& prompt,
      std::chrono::milliseconds deadline = std::chrono::seconds(60),
      bool stream = false,
      int tokens = 8) const;
  /// Returns a service call that may not run twice. Ledgers identify it by its
  /// body.
  Call BookingCall(
      const std::string& node,
      const std::string& idempotency_key,
      const std::string& body,
      std::chrono::milliseconds deadline = std::chrono::seconds(30)) const;

  /// Returns `count` completion requests, spread over all models and nodes,
  /// with prompts that start with `name`.
  std::vector<Call> SpreadCalls(
      const std::string& name,
      int count,
      std::chrono::milliseconds deadline = std::chrono::seconds(60)) const;

  /// Checks the guarantees G3, G4 and G5 for each call: it gets its own whole
  /// answer, or a refusal with a verdict that the ledgers confirm. A broken
  /// connection is a problem unless the call went to one of the `ended` nodes,
  /// or is a stream and `streams_may_break` is set: there the client recognises
  /// the missing end marker.
  OutcomeCounts Check(const std::vector<Call>& calls,
                      const std::vector<CallResult>& answers,
                      const std::set<std::string>& ended = {},
                      bool streams_may_break = false) const;

  /// Checks the guarantees G1, G2 and G6 for the whole run with the ledgers,
  /// and that no node outside `ended` has ended. Returns one line for each
  /// violation; empty if there is none.
  std::string Violations(const std::set<std::string>& ended = {});

  /// Returns the runs of the service in all ledgers by Idempotency-Key.
  std::map<std::string, int> RunsByIdempotencyKey() const;
  /// Returns the requests in the ledgers of all engines by prompt.
  std::map<std::string, int> RunsByPrompt() const;

  /// Returns the node that executes the order for a replica of `model` that is
  /// not loaded; empty if there is none.
  std::string FindExecutor(const std::string& pool, const std::string& model);
  /// Returns the number of loads of `model` that engines have started.
  int CountLoads(const std::string& model) const;

  /// Returns the configuration file of the estate.
  nlohmann::json EstateFile() const;
  /// Returns the configuration file of the operator.
  nlohmann::json OperatorFile() const;

  Cluster& cluster() { return cluster_; }
  const SiteOptions& options() const { return options_; }
  std::vector<std::string> service_ids() const { return service_ids_; }

 private:
  static ClusterOptions MakeClusterOptions(const SiteOptions& options);
  /// Returns what is wrong with a refusal of the call `key`; empty if nothing
  /// is. `ran` has the keys and request ids that the ledgers name.
  std::string CheckRefusal(const std::string& key,
                           const CallResult& answer,
                           const std::set<std::string>& ran) const;

  SiteOptions options_;
  Cluster cluster_;
  std::vector<std::string> service_ids_;
};

}  // namespace tanagerloom::testing_support

#endif  // TESTING_HARNESS_SITE_H_
